//! Stand-ins of state service, cloud and workers over loopback, and real controllers
//! among them.

// The tests and the load measurement share these, and each uses a part.
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
pub use inputs::{Plan, Resources, WorkerTimes, job_body, settings_text, stage};
pub use usage::Usage;
