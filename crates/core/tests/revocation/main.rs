//! Tests how the leader makes sure that a start command which was sent directly can't be executed
//! any more once its attempt is over or unwanted.

mod repeated_starts;
mod single_worker;
mod unanswered_starts;
