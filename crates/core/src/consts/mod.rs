//! Every constant of the scheduler, with unit and reason. What the settings
//! tell (heartbeat interval, worker lease, rates, limits) is read there instead.

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
