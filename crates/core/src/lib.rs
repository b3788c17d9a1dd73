//! The scheduler without input or output: events and time in, actions out.

pub mod consts;
pub mod desk;
pub mod election;
pub mod event;
pub mod facts;
pub mod fleet;
mod give_back;
mod hire;
pub mod jobs;
pub mod leader;
pub mod node;
mod place;
mod recover;
mod rent;
pub mod replica;
mod reports;
mod writer;
