//! marblebarrow: a cluster scheduler. `--config FILE` runs a controller; the other commands check
//! settings, run rehearsals and call a running controller.

mod authority;
mod cells;
mod cells_cli;
mod cli;
mod clock;
#[cfg(test)]
#[path = "tests/closing_listener.rs"]
mod closing_listener;
mod controller;
mod event_loop;
mod event_queue;
mod http;
mod job_cli;
mod limits;
mod links;
mod operator;
mod peers;
mod pending_replies;
mod pool;
mod server;
mod settings;
mod store_client;
mod thread;
mod watch;

use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::Cli::parse().run()
}
