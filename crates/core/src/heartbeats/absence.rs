//! Reconciliation of placed tasks that are missing from a heartbeat. They are gone, unless their
//! start command may still arrive.

use super::ListSource;
use crate::consts::{WORKER_MARGIN_S, WORKER_REPLY_EXPIRY_S};
use crate::event::Secs;
use crate::jobs::{Live, Outcome, Phase, live_attempt_mut};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use std::collections::BTreeSet;

/// What the absence of an attempt from a heartbeat shows.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    /// Nothing can be concluded yet.
    Inconclusive,
    /// The start command wasn't carried out, or hasn't been so far.
    NotStarted,
    /// The attempt is gone.
    Gone,
}

impl Absence {
    /// Classifies an attempt that is absent from a list that arrived in this way.
    fn of(live: &Live, source: ListSource, now: Secs) -> Self {
        let to_stop = live.stop_grace_s.is_some();
        match live.phase {
            Phase::Placed | Phase::Ready if to_stop && live.never_sent(now) => Self::Gone,
            Phase::Placed | Phase::Ready => Self::Inconclusive,
            Phase::Sent if !to_stop && source == ListSource::Heartbeat => Self::NotStarted,
            Phase::Sent if may_be_in_flight(live, now) => Self::Inconclusive,
            Phase::Sent if !to_stop => Self::NotStarted,
            Phase::Sent | Phase::Seen | Phase::Running => Self::Gone,
        }
    }
}

/// Whether a heartbeat answer that carries the start command may still arrive.
fn may_be_in_flight(live: &Live, now: Secs) -> bool {
    live.start_sent_at.is_some_and(|at| now < at + WORKER_REPLY_EXPIRY_S + WORKER_MARGIN_S)
}

impl Leader {
    /// Applies the absence of tasks that are placed on machine `id` and not listed in its
    /// heartbeat.
    pub(super) fn apply_absence(
        &mut self,
        now: Secs,
        id: &MachineId,
        listed: &BTreeSet<TaskId>,
        source: ListSource,
    ) {
        // A list from before the worker saw this leader's fencing token doesn't show what the
        // commands of earlier leaders have done since.
        let Some(m) = self.machines.get(id).filter(|m| m.confirmed) else { return };
        let absent: Vec<TaskId> = m.tasks.difference(listed).cloned().collect();
        let mut start_missed = false;
        for task in absent {
            let live = live_attempt_mut(&mut self.jobs, &task);
            let Some(live) = live else { continue };
            match Absence::of(live, source, now) {
                Absence::Inconclusive => {}
                Absence::NotStarted => {
                    // Resend the start command: an attempt starts at most once.
                    live.phase = Phase::Ready;
                    start_missed = true;
                }
                Absence::Gone => self.end_attempt(&task.job, task.index, Outcome::Lost, now),
            }
        }
        // Probe whether commands reach the machine.
        if start_missed && let Some(m) = self.machines.get_mut(id) {
            m.probe_due = true;
            m.prompt_due = true;
        }
    }
}
