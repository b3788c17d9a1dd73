//! What a job inherits from its dependents: their priority, and the time by which it has to be
//! done so that they can meet their deadlines. Inheritance is needed because users set both
//! only on the last job of a pipeline.

use crate::event::Secs;
use marblebarrow_proto::job::Priority;

/// The urgency that a job passes on to its dependencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The highest priority among the job and its direct and transitive dependents.
    pub priority: Priority,
    /// When the job has to be done, if it or one of these dependents has a deadline.
    pub deadline: Option<DeadlineAhead>,
}

/// A dependent's deadline, translated into the time by which the job itself has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineAhead {
    /// When the job has to be done to leave its dependents the time that they take, on the
    /// leader's clock.
    pub due: Secs,
    /// The same for the largest multiple of the deadline that a service-level objective names:
    /// after this time, finishing sooner brings no benefit.
    pub latest: Secs,
    /// Number of stages from the job to the one that has the deadline; 0 for the latter.
    pub stages: u32,
}

impl Urgency {
    /// The urgency that the job's dependencies inherit, if the job takes `stage_s` seconds from
    /// the end of its last dependency to its own end.
    pub fn passed_on(self, stage_s: Secs) -> Self {
        let ahead = |deadline: DeadlineAhead| DeadlineAhead {
            due: deadline.due - stage_s,
            latest: deadline.latest - stage_s,
            stages: deadline.stages + 1,
        };
        Self { deadline: self.deadline.map(ahead), ..self }
    }

    /// Combines two urgencies: the higher priority and the earlier deadline.
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
