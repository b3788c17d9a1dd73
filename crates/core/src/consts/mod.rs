//! All constants of the scheduler, each with its unit and reason. Values that come from the
//! settings (heartbeat interval, worker lease, rates, limits) are in [`crate::facts`] instead.

mod cascades;
mod election;
mod fleet;
mod logging;
mod queues;
mod state_service;
mod users;
mod versions;
mod workers;

pub use cascades::*;
pub use election::*;
pub use fleet::*;
pub use logging::*;
pub use queues::*;
pub use state_service::*;
pub use users::*;
pub use versions::*;
pub use workers::*;
