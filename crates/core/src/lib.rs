//! The scheduler without input or output: events and time in, actions out.

pub mod consts;
pub mod desk;
pub mod election;
pub mod event;
pub mod facts;
pub mod fleet;
mod gangs;
mod give_back;
mod hire;
pub mod jobs;
pub mod leader;
pub mod log;
pub mod node;
mod orders;
mod place;
mod preempt;
mod recover;
mod rent;
pub mod replica;
mod reports;
mod writer;
