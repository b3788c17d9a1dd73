//! Tests how start commands reach a worker: in answers to heartbeats alone, and soon.

mod copies;
mod prompts;
mod single_worker;
