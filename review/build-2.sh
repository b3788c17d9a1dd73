#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 and the cases themselves. Needs no network: the package
# has no dependencies. Everything it makes goes under target/.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/kit-2/Cargo.toml --target-dir target/review-2
