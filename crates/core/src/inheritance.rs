//! What a job inherits from the jobs that need it: priority, and the time by which it has
//! to be done for them to meet their deadlines. Users set both on the last job of a
//! pipeline only (kit/change/LATER.md).

use crate::event::Secs;
use marblebarrow_proto::job::Priority;

/// The urgency of a job, as it passes it on to the jobs that it needs, or as one of them
/// inherits it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The highest priority among the job and those that need it.
    pub priority: Priority,
    /// When it has to be done, on the leader's clock, if any of them has a deadline.
    pub deadline: Option<DeadlineAhead>,
}

/// A deadline as a job sees it that other jobs wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineAhead {
    /// Done by then, the job leaves the ones after it the time that they take.
    pub due: Secs,
    /// The same for the widest multiple of the deadline that a service-level objective
    /// names: past that, nothing is won by hurry.
    pub latest: Secs,
    /// How many jobs come one after another from here to the one with the deadline.
    pub stages: u32,
}

impl Urgency {
    /// What the jobs that a job needs inherit from it, if it takes `stage_s` seconds from
    /// when the last of them is done until it is done itself.
    pub fn passed_on(self, stage_s: Secs) -> Self {
        let ahead = |deadline: DeadlineAhead| DeadlineAhead {
            due: deadline.due - stage_s,
            latest: deadline.latest - stage_s,
            stages: deadline.stages + 1,
        };
        Self { deadline: self.deadline.map(ahead), ..self }
    }

    /// The urgency of a job that several need.
    pub fn merged(self, other: Self) -> Self {
        let deadline = match (self.deadline, other.deadline) {
            (Some(one), Some(another)) => Some(if one.due <= another.due { one } else { another }),
            (one, another) => one.or(another),
        };
        Self { priority: self.priority.max(other.priority), deadline }
    }
}

#[cfg(test)]
#[path = "tests/inheritance.rs"]
mod tests;
