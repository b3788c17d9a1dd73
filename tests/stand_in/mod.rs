//! Simulated state service, cloud API and workers on loopback, and real controller processes
//! that run against them.

// Shared by the integration tests and the `fleet` bench; each uses only part of it.
#![allow(dead_code, unused_imports)]

mod cells;
mod cloud;
mod cluster;
mod http;
mod inputs;
mod link;
mod store;
mod usage;
mod worker;

pub use cells::{CellPlan, Cells};
pub use cluster::Cluster;
pub use inputs::{Plan, Resources, WorkerTimes, job_body, ranked_job_body, settings_text, stage};
pub use usage::Usage;
pub use worker::ReceivedCommands;
