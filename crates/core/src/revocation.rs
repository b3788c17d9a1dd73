//! Revokes starts whose outcome is unknown, by raising the fencing token of their machines.
//!
//! A machine with an unconfirmed start that is no longer wanted gets answers with a higher token
//! than the start carried. The worker adopts that token from the same answer that renews its
//! lease, so every renewal also revokes the start. Until a higher token is available, the lease
//! may be renewed only as long as it can still expire before the tasks of the cancelled job must
//! be gone. After that the leader withholds its answers, and the end of the agent epoch revokes
//! the start.

use crate::consts::*;
use crate::direct_results::DirectSent;
use crate::event::{ActionSink, OpId, Secs, StoreResult};
use crate::fencing::RaiseOutcome;
use crate::fleet::Machine;
use crate::jobs::{Phase, live_attempt, live_attempt_mut};
use crate::leader::{Leader, WriteOutcome};
use crate::unconfirmed_starts::UnconfirmedStart;
use marblebarrow_proto::ids::{JobId, MachineId};

/// Counters of unconfirmed starts since the leader was elected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationCounters {
    /// Starts that became unconfirmed.
    pub unconfirmed: u64,
    /// Blocks of fencing tokens reserved.
    pub raised: u64,
    /// Raises of the token of a single machine.
    pub machine_raises: u64,
    /// Attempts that a worker listed no longer although they weren't cleared.
    pub vanished: u64,
    /// Reports of attempts that no worker should run, as a late or repeated start causes them.
    pub unneeded: u64,
    /// Starts revoked, because their worker showed a higher token.
    pub revoked: u64,
    /// Answers withheld, because they would have renewed a lease for too long.
    pub withheld: u64,
}

/// How urgently a higher token is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Reserved capacity, or a task entry that can't be cleared, waits for it.
    Room,
    /// The start of a cancelled job could be executed too late.
    Cancellation,
}

impl Leader {
    /// The token for commands and answers to a machine: the term, unless it was raised for this
    /// machine.
    pub(crate) fn fencing_token_for(&self, machine: &Machine) -> u64 {
        let shown = machine.fencing_token.min(self.fencing.highest());
        self.term.0.max(machine.raised_fencing_token).max(shown)
    }

    /// Raises the token for a machine above `sent`, unless it is higher already or no higher one is
    /// reserved yet. Reserves more tokens in time.
    pub(crate) fn raise_token_above(&mut self, id: &MachineId, sent: u64) {
        let Some(token) = self.machines.get(id).map(|m| self.fencing_token_for(m)) else { return };
        self.tokens_needed |= self.fencing.is_low_above(token.max(sent));
        if token > sent || sent >= self.fencing.highest() {
            return;
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.raised_fencing_token = sent + 1;
            self.revocations.machine_raises += 1;
        }
        let term = self.term.0;
        self.log.debug(|| {
            format!("event=machine_token_raised machine={id} token={} term={term}", sent + 1)
        });
    }

    /// The highest token that this leader may use.
    pub fn highest_fencing_token(&self) -> u64 {
        self.fencing.highest()
    }

    /// Records the starts of unanswered direct commands as unconfirmed if the worker may still
    /// accept their token.
    pub(crate) fn note_unconfirmed_starts(&mut self, now: Secs, sent: &DirectSent) {
        let Some(m) = self.machines.get_mut(&sent.machine) else { return };
        let ended = m.expired_epoch.is_some()
            || m.agent_epoch != sent.agent_epoch
            || m.fencing_token > sent.fencing_token;
        if ended || sent.starts.is_empty() {
            return;
        }
        for key in &sent.starts {
            let (task, attempt) = key;
            let job = self.jobs.get(&task.job);
            let cancelled_at = match job {
                Some(job) => job.cancelled_at,
                // The job was closed after the command was sent; a cancellation was unknown then.
                None => Some(sent.at - self.facts.replica_age_limit()),
            };
            let listed = m.ended_attempts.contains_key(key)
                || job.and_then(|j| j.live.get(&task.index)).is_some_and(|live| {
                    live.attempt == *attempt && matches!(live.phase, Phase::Seen | Phase::Running)
                });
            let start = UnconfirmedStart {
                fencing_token: sent.fencing_token,
                since: sent.at,
                cancelled_at,
                listed,
            };
            m.unconfirmed_starts.record(key.clone(), start);
            self.revocations.unconfirmed += 1;
            let (machine, agent_epoch, token) =
                (&sent.machine, sent.agent_epoch, sent.fencing_token);
            self.log.info(now, || {
                format!(
                    "event=start_in_doubt task={task} attempt={} machine={machine} \
                     session={agent_epoch} token={token}",
                    attempt.0
                )
            });
        }
        self.machines_with_unconfirmed_starts.insert(sent.machine.clone());
    }

    /// Raises the token for a machine above that of any start sent directly to it.
    pub(crate) fn revoke_direct_starts(&mut self, id: &MachineId) {
        let highest = self.machines.get(id).and_then(|m| m.direct_starts.highest_token());
        if let Some(highest) = highest {
            self.raise_token_above(id, highest);
        }
    }

    /// Removes the unconfirmed starts that carried a lower token than the worker has shown.
    pub(crate) fn revoke_shown(&mut self, now: Secs, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let shown = m.fencing_token;
        m.direct_starts.revoke(shown);
        if m.unconfirmed_starts.is_empty() {
            return;
        }
        let revoked = m.unconfirmed_starts.revoke(shown);
        if revoked.is_empty() {
            return;
        }
        for (task, attempt) in &revoked {
            let live = live_attempt_mut(&mut self.jobs, task);
            if let Some(live) = live.filter(|l| l.machine == *id && l.attempt == *attempt) {
                live.unconfirmed = false;
            }
        }
        self.revocations.revoked += revoked.len() as u64;
        self.log.info(now, || {
            format!("event=revoked machine={id} token={shown} starts={}", revoked.len())
        });
    }

    /// Marks the unconfirmed starts of a job that was just cancelled for revocation.
    pub(crate) fn unconfirmed_starts_cancelled(&mut self, now: Secs, id: &JobId) {
        let known_at = self.knowledge.known_at;
        let mut starts = 0;
        for machine in &self.machines_with_unconfirmed_starts {
            if let Some(m) = self.machines.get_mut(machine) {
                starts += m.unconfirmed_starts.cancel(id, known_at);
            }
        }
        if starts > 0 {
            let left = known_at + self.facts.cancel_s - now;
            self.log.info(now, || {
                format!("event=cancelled_in_doubt job={id} starts={starts} left_s={left:.1}")
            });
        }
    }

    /// Assigns a higher token to machines where it revokes an unconfirmed start, and requests a
    /// higher one if there is none yet.
    pub(crate) fn revoke_unconfirmed_starts(&mut self, now: Secs, out: &mut ActionSink) {
        let mut needed: Option<Urgency> = None;
        for id in std::mem::take(&mut self.machines_with_unconfirmed_starts) {
            let Some((urgency, token)) = self.unconfirmed_start_to_revoke(&id) else {
                if self.machines.get(&id).is_some_and(|m| !m.unconfirmed_starts.is_empty()) {
                    self.machines_with_unconfirmed_starts.insert(id);
                }
                continue;
            };
            if token < self.fencing.highest() {
                self.raise_token_above(&id, token);
                if let Some(m) = self.machines.get_mut(&id) {
                    // A direct command shows the worker the token sooner than a heartbeat answer.
                    m.probe_due |= urgency == Urgency::Cancellation;
                }
            } else {
                needed = needed.max(Some(urgency));
            }
            self.machines_with_unconfirmed_starts.insert(id);
        }
        if self.tokens_needed {
            needed = needed.max(Some(Urgency::Room));
        }
        let Some(urgency) = needed else { return };
        let pause = match urgency {
            Urgency::Cancellation => RAISE_CANCELLED_EVERY_S,
            Urgency::Room => RAISE_EVERY_S,
        };
        let changes = self.fencing.raise(now, pause, out);
        self.writer.charge(f64::from(changes));
    }

    /// The highest urgency of the unwanted unconfirmed starts on a machine that its present token
    /// doesn't revoke, and the highest token that these starts carried.
    fn unconfirmed_start_to_revoke(&self, id: &MachineId) -> Option<(Urgency, u64)> {
        let m = self.machines.get(id)?;
        if m.expired_epoch.is_some() || m.releasing {
            return None;
        }
        let token = self.fencing_token_for(m);
        let unrevoked =
            m.unconfirmed_starts.iter().filter(|(_, start)| start.fencing_token >= token);

        let unwanted = unrevoked.filter_map(|((task, attempt), start)| {
            if start.must_revoke_since().is_some() {
                return Some((Urgency::Cancellation, start.fencing_token));
            }
            let live = live_attempt(&self.jobs, task);
            let wanted = live.is_some_and(|l| l.attempt == *attempt && l.stop_grace_s.is_none());
            (!wanted).then_some((Urgency::Room, start.fencing_token))
        });
        unwanted.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)))
    }

    /// Handles an answer of the state service if it belongs to a raise of the token.
    pub(crate) fn fencing_token_answered(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> WriteOutcome {
        match self.fencing.handle_answer(now, op, result, out) {
            RaiseOutcome::Unrelated => WriteOutcome::Unrelated,
            RaiseOutcome::Pending => WriteOutcome::Handled,
            RaiseOutcome::NotLeading => WriteOutcome::NotLeading,
            RaiseOutcome::Raised(token) => {
                self.revocations.raised += 1;
                self.tokens_needed = false;
                let machines = self.machines_with_unconfirmed_starts.len();
                self.log.info(now, || {
                    format!(
                        "event=token_raised token={token} term={} doubtful_machines={machines}",
                        self.term.0
                    )
                });
                self.revoke_unconfirmed_starts(now, out);
                WriteOutcome::Handled
            }
        }
    }

    /// Whether an answer may renew a machine's lease: either its token revokes every unconfirmed
    /// start of a cancelled job there, or the lease can still expire in time. Starts in flight
    /// count as unconfirmed, as their answer may never arrive.
    pub(crate) fn may_renew(&mut self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get(id) else { return true };
        if m.unconfirmed_starts.is_empty() && m.direct_in_flight.is_none() {
            return true;
        }
        let token = self.fencing_token_for(m);
        let unconfirmed =
            m.unconfirmed_starts.iter().filter(|(_, start)| start.fencing_token >= token);
        let cancelled = unconfirmed.filter_map(|(_, start)| start.must_revoke_since());
        let sent = m
            .direct_in_flight
            .and_then(|op| self.directs.get(&op))
            .filter(|s| s.fencing_token >= token);
        let sent = sent.into_iter().flat_map(|sent| &sent.starts);
        let pending = sent.filter_map(|(task, _)| self.jobs.get(&task.job)?.cancelled_at);
        let Some(cancelled_at) = cancelled.chain(pending).reduce(f64::min) else { return true };
        let renewable_until = cancelled_at + self.facts.cancel_slack();
        if now <= renewable_until {
            return true;
        }
        self.withhold_answer(now, id, cancelled_at);
        false
    }

    /// Counts a withheld answer, and logs the first one in a row per machine.
    fn withhold_answer(&mut self, now: Secs, id: &MachineId, cancelled_at: Secs) {
        self.revocations.withheld += 1;
        let Some(m) = self.machines.get_mut(id) else { return };
        if std::mem::replace(&mut m.replies_withheld, true) {
            return;
        }
        let left = cancelled_at + self.facts.cancel_s - now;
        let term = self.term.0;
        self.log.info(now, || {
            format!("event=answers_withheld machine={id} left_s={left:.1} term={term}")
        });
    }

    /// Logs the counters of unconfirmed starts at a fixed interval.
    pub(crate) fn log_unconfirmed_starts(&mut self, now: Secs) {
        if now < self.next_unconfirmed_log {
            return;
        }
        self.next_unconfirmed_log = now + UNCONFIRMED_LOG_S;
        let unconfirmed_starts = || {
            let machines =
                self.machines_with_unconfirmed_starts.iter().filter_map(|id| self.machines.get(id));
            machines.flat_map(|m| m.unconfirmed_starts.iter())
        };
        let starts = unconfirmed_starts().count();
        let oldest = unconfirmed_starts().map(|(_, start)| now - start.since).fold(0.0, f64::max);
        let cancelled = || unconfirmed_starts().filter_map(|(_, start)| start.must_revoke_since());
        let unrevoked = cancelled().count();
        let earliest = cancelled().reduce(f64::min);
        let least_left =
            earliest.map_or("-".into(), |at| format!("{:.1}", at + self.facts.cancel_s - now));
        let RevocationCounters { unconfirmed, raised, revoked, withheld, .. } = self.revocations;
        let RevocationCounters { machine_raises, vanished, unneeded, .. } = self.revocations;
        let (term, suppressed) = (self.term.0, self.log.suppressed());
        self.log.info(now, || {
            format!(
                "event=doubts starts={starts} oldest_s={oldest:.1} cancelled_starts={unrevoked} \
                 least_left_s={least_left} became_doubtful={unconfirmed} tokens_raised={raised} \
                 revoked={revoked} answers_withheld={withheld} machine_raises={machine_raises} \
                 vanished={vanished} strangers={unneeded} suppressed_lines={suppressed} \
                 term={term}"
            )
        });
    }
}
