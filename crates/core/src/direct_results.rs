//! Direct commands under way, and what their answers, or that there are none, prove.

use crate::consts::{DIRECT_BACKOFF_S, PROBE_AGAIN_S, PROBES};
use crate::event::{DirectResult, OpId, Secs};
use crate::jobs::{Phase, live_attempt_mut};
use crate::leader::Leader;
use crate::unconfirmed_starts::AttemptKey;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::Heartbeat;

/// Direct commands under way.
#[derive(Debug)]
pub(crate) struct DirectSent {
    pub machine: MachineId,
    pub agent_epoch: u64,
    pub fencing_token: u64,
    /// When it was sent.
    pub at: Secs,
    /// Epoch and number of the newest message known at sending.
    pub known: (u64, u64),
    pub starts: Vec<AttemptKey>,
    /// The machine didn't answer the last.
    pub unreached: bool,
}

impl Leader {
    /// A worker answered direct commands, or didn't.
    pub fn direct(&mut self, now: Secs, op: OpId, result: DirectResult) {
        let Some(sent) = self.directs.remove(&op) else {
            return;
        };
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        if m.direct == Some(op) {
            m.direct = None;
        }
        match result {
            DirectResult::Heartbeat(_, heartbeat) => self.direct_answered(now, &sent, &heartbeat),
            DirectResult::Unknown => {
                self.note_unconfirmed_starts(now, &sent);
                self.direct_failed(now, sent);
            }
            DirectResult::NotSent => self.direct_failed(now, sent),
        }
    }

    fn direct_answered(&mut self, now: Secs, sent: &DirectSent, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        m.reached = Some(now);
        m.unreached = 0;
        m.probe_due = false;
        if (heartbeat.agent_epoch, heartbeat.seq) <= sent.known {
            return self.worker_began_anew(now, &sent.machine);
        }
        self.apply_heartbeat(now, heartbeat);
        self.place_due = true;
    }

    /// The answer to a question of ours can't be a late copy, and yet it counts from below what
    /// we knew: the worker itself began anew. Its numbers no longer tell old from new, and
    /// orders held back for the one before match its epoch, so nothing but its release
    /// proves what doesn't run there. (A copy of its former self's list once was believed, and
    /// a task ran twice.)
    fn worker_began_anew(&mut self, now: Secs, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        self.log.push(|| format!("event=reborn machine={id} term={}", self.term.0));
        m.reborn = true;
        m.cordoned = true;
        m.releasing = true;
        m.probe_due = false;
        m.answered = now;
        self.cloud_requests.to_release.insert(id.clone());
    }

    fn direct_failed(&mut self, now: Secs, sent: DirectSent) {
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        m.unreached += 1;
        m.direct_failed = Some(now);
        let again = if m.unreached < PROBES { PROBE_AGAIN_S } else { DIRECT_BACKOFF_S };
        m.direct_after = now + again;
        if m.agent_epoch != sent.agent_epoch {
            return;
        }
        for key in sent.starts {
            let (task, attempt) = &key;
            let live = live_attempt_mut(&mut self.jobs, task);
            if let Some(live) = live
                && live.machine == sent.machine
                && live.attempt == *attempt
            {
                // May still arrive, minutes later: it is unconfirmed until the worker has shown
                // a higher token, and its attempt must not be cleared before.
                live.unconfirmed = m.unconfirmed_starts.contains(&key);
                if live.phase == Phase::Sent {
                    live.phase = Phase::Ready;
                }
            }
        }
    }
}
