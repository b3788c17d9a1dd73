//! Reconciliation of booked tasks that a heartbeat doesn't list: they are gone, unless their
//! start may still arrive.

use crate::consts::{WORKER_DROPS_S, WORKER_MARGIN_S};
use crate::event::Secs;
use crate::jobs::{Live, Outcome, Phase, live_attempt_mut};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use std::collections::BTreeSet;

/// What the absence of an attempt from a heartbeat says of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Absence {
    /// Nothing yet.
    Inconclusive,
    /// Its start wasn't executed, or not yet.
    NotStarted,
    /// It was there and is gone, but a late copy of its start could run it again.
    MayStartAgain,
    /// It is gone.
    Gone,
}

impl Absence {
    /// `direct_under_way`: a direct command to the machine hasn't been answered.
    fn of(live: &Live, direct_under_way: bool, now: Secs) -> Self {
        match live.phase {
            Phase::Placed | Phase::Ready => Self::of_unsent(live, now),
            Phase::Sent if direct_under_way => Self::Inconclusive,
            Phase::Sent if live.stop.is_none() => Self::NotStarted,
            Phase::Sent if live.unconfirmed || may_be_under_way(live, now) => Self::Inconclusive,
            Phase::Sent | Phase::Seen | Phase::Running if live.unconfirmed => Self::MayStartAgain,
            Phase::Sent | Phase::Seen | Phase::Running => Self::Gone,
        }
    }

    fn of_unsent(live: &Live, now: Secs) -> Self {
        let to_stop = live.stop.is_some() && !live.unconfirmed;
        if to_stop && live.never_sent(now) { Self::Gone } else { Self::Inconclusive }
    }
}

/// Whether an answer to a heartbeat that carries the start may still arrive.
fn may_be_under_way(live: &Live, now: Secs) -> bool {
    live.sent.is_some_and(|at| now < at + WORKER_DROPS_S + WORKER_MARGIN_S)
}

impl Leader {
    /// Takes what a heartbeat says of the tasks that are booked on its machine and not listed.
    pub(super) fn apply_absence(&mut self, now: Secs, id: &MachineId, listed: &BTreeSet<TaskId>) {
        // A list from before the worker saw our token says nothing of what an earlier
        // leader's commands did to it since.
        let Some(m) = self.machines.get(id).filter(|m| m.confirmed) else { return };
        let direct_under_way = m.direct.is_some();
        let absent: Vec<TaskId> = m.tasks.difference(listed).cloned().collect();
        let mut start_missed = false;
        for task in absent {
            let live = live_attempt_mut(&mut self.jobs, &task);
            let Some(live) = live else { continue };
            match Absence::of(live, direct_under_way, now) {
                Absence::Inconclusive => {}
                Absence::NotStarted => {
                    // Send it again: the same attempt starts but once.
                    live.phase = Phase::Ready;
                    start_missed = true;
                }
                Absence::MayStartAgain => {
                    // Keep it booked and stop it.
                    live.stop.get_or_insert(0.0);
                    live.phase = Phase::Sent;
                }
                Absence::Gone => self.over(&task.job, task.index, Outcome::Lost, now),
            }
        }
        // The machine is asked whether it hears us.
        if start_missed && let Some(m) = self.machines.get_mut(id) {
            m.probe_due = true;
        }
    }
}
