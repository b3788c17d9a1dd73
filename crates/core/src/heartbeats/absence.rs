//! Reconciliation of placed tasks that are missing from a heartbeat. They are gone, unless their
//! start command may still arrive.

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
    /// The attempt was there and is gone, but a late copy of its start command could run it again.
    MayStartAgain,
    /// The attempt is gone.
    Gone,
}

impl Absence {
    /// Classifies an absent attempt. `direct_in_flight` states that a direct command to the machine
    /// hasn't been answered.
    fn of(live: &Live, direct_in_flight: bool, now: Secs) -> Self {
        match live.phase {
            Phase::Placed | Phase::Ready => Self::of_unsent_start(live, now),
            Phase::Sent if direct_in_flight => Self::Inconclusive,
            Phase::Sent if live.stop_grace_s.is_none() => Self::NotStarted,
            Phase::Sent if live.unconfirmed || may_be_in_flight(live, now) => Self::Inconclusive,
            Phase::Sent | Phase::Seen | Phase::Running if live.unconfirmed => Self::MayStartAgain,
            Phase::Sent | Phase::Seen | Phase::Running => Self::Gone,
        }
    }

    fn of_unsent_start(live: &Live, now: Secs) -> Self {
        let to_stop = live.stop_grace_s.is_some() && !live.unconfirmed;
        if to_stop && live.never_sent(now) { Self::Gone } else { Self::Inconclusive }
    }
}

/// Whether a heartbeat answer that carries the start command may still arrive.
fn may_be_in_flight(live: &Live, now: Secs) -> bool {
    live.start_sent_at.is_some_and(|at| now < at + WORKER_REPLY_EXPIRY_S + WORKER_MARGIN_S)
}

impl Leader {
    /// Applies the absence of tasks that are placed on machine `id` and not listed in its
    /// heartbeat.
    pub(super) fn apply_absence(&mut self, now: Secs, id: &MachineId, listed: &BTreeSet<TaskId>) {
        // A list from before the worker saw this leader's fencing token doesn't show what the
        // commands of earlier leaders have done since.
        let Some(m) = self.machines.get(id).filter(|m| m.confirmed) else { return };
        let direct_in_flight = m.direct_in_flight.is_some();
        let absent: Vec<TaskId> = m.tasks.difference(listed).cloned().collect();
        let mut start_missed = false;
        for task in absent {
            let live = live_attempt_mut(&mut self.jobs, &task);
            let Some(live) = live else { continue };
            match Absence::of(live, direct_in_flight, now) {
                Absence::Inconclusive => {}
                Absence::NotStarted => {
                    // Resend the start command: an attempt starts at most once.
                    live.phase = Phase::Ready;
                    start_missed = true;
                }
                Absence::MayStartAgain => {
                    // Keep the attempt placed, and stop it.
                    live.stop_grace_s.get_or_insert(0.0);
                    live.phase = Phase::Sent;
                }
                Absence::Gone => self.end_attempt(&task.job, task.index, Outcome::Lost, now),
            }
        }
        // Probe whether commands reach the machine.
        if start_missed && let Some(m) = self.machines.get_mut(id) {
            m.probe_due = true;
        }
    }
}
