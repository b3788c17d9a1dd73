#!/usr/bin/env bash
# Builds what the cases start besides the controllers: one program with the stand-ins and the
# users, of the standard library alone. Needs the toolchain that builds the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name review_kit -o target/review/review-kit review/kit/main.rs
