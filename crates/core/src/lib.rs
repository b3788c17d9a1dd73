//! The scheduler without input or output: events and time in, actions out.

mod attempts;
mod cells;
mod cloud_requests;
pub mod consts;
mod deprovision;
mod direct_results;
pub mod election;
pub mod event;
pub mod facts;
pub mod fencing;
pub mod fleet;
mod gangs;
pub mod jobs;
pub mod leader;
pub mod log;
pub mod node;
mod orders;
mod place;
mod preempt;
mod provision;
mod recover;
pub mod replica;
mod reports;
mod revocation;
pub mod start_doubts;
pub mod user_api;
mod writer;
