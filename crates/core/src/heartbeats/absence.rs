//! Reconciliation of placed tasks that are missing from a heartbeat. They are gone, unless their
//! start command may still arrive.

use crate::consts::{WORKER_MARGIN_S, WORKER_REPLY_EXPIRY_S};
use crate::event::Secs;
use crate::jobs::{Live, Outcome, Phase, live_attempt, live_attempt_mut};
use crate::leader::Leader;
use crate::unconfirmed_starts::{AttemptKey, UnconfirmedStart};
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

    /// Marks starts that were sent directly as unconfirmed if the worker doesn't list their attempts
    /// although it was not told to clear them: a late or repeated command would be executed. A
    /// worker that restarted has lost its attempts, and accepts the tokens of earlier commands.
    pub(super) fn note_vanished(&mut self, now: Secs, id: &MachineId, listed: &BTreeSet<TaskId>) {
        let Some(m) = self.machines.get(id).filter(|m| m.confirmed) else { return };
        let vanished: Vec<(AttemptKey, u64)> = m
            .direct_starts
            .iter()
            .filter(|(key, _)| {
                !m.ended_attempts.contains_key(*key)
                    && !m.unknown_attempts.contains(*key)
                    && !m.unconfirmed_starts.contains(key)
            })
            .filter(|(key, _)| !self.is_listed_or_on_its_way(now, id, key, listed))
            .map(|(key, token)| (key.clone(), token))
            .collect();
        for (key, fencing_token) in vanished {
            self.mark_vanished(now, id, key, fencing_token);
        }
    }

    /// Whether an attempt is placed on the machine, and its worker either lists it or may not have
    /// got its start yet.
    fn is_listed_or_on_its_way(
        &self,
        now: Secs,
        id: &MachineId,
        key: &AttemptKey,
        listed: &BTreeSet<TaskId>,
    ) -> bool {
        let (task, attempt) = key;
        let live = live_attempt(&self.jobs, task);
        let Some(live) = live.filter(|live| live.machine == *id && live.attempt == *attempt) else {
            return false;
        };
        let direct_in_flight = self.machines.get(id).is_some_and(|m| m.direct_in_flight.is_some());
        match live.phase {
            Phase::Placed | Phase::Ready => true,
            Phase::Sent => listed.contains(task) || direct_in_flight || may_be_in_flight(live, now),
            Phase::Seen | Phase::Running => listed.contains(task),
        }
    }

    fn mark_vanished(&mut self, now: Secs, id: &MachineId, key: AttemptKey, fencing_token: u64) {
        let (task, attempt) = &key;
        let cancelled_at = match self.jobs.get(&task.job) {
            Some(job) => job.cancelled_at,
            // The job was closed; a cancellation was unknown until then.
            None => Some(now - self.facts.replica_age_limit()),
        };
        let live = live_attempt_mut(&mut self.jobs, task);
        if let Some(live) = live.filter(|l| l.machine == *id && l.attempt == *attempt) {
            live.unconfirmed = true;
        }
        self.revocations.vanished += 1;
        self.log.info(now, || {
            format!(
                "event=vanished task={task} attempt={} machine={id} token={fencing_token}",
                attempt.0
            )
        });
        let Some(m) = self.machines.get_mut(id) else { return };
        let start = UnconfirmedStart { fencing_token, since: now, cancelled_at, listed: false };
        m.unconfirmed_starts.note_vanished(key, start);
        self.machines_with_unconfirmed_starts.insert(id.clone());
    }
}
