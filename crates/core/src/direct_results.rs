//! Tracks direct commands in flight, and handles their answers or the lack of one.

use crate::consts::{DIRECT_BACKOFF_S, PROBE_RETRY_DELAY_S, PROBES};
use crate::event::{DirectResult, OpId, Secs};
use crate::heartbeats::ListSource;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::Heartbeat;

/// A message with direct commands in flight to one worker.
#[derive(Debug)]
pub(crate) struct DirectSent {
    pub machine: MachineId,
    pub fencing_token: u64,
    /// Agent epoch and sequence number of the worker's newest message known when this was sent.
    pub known: (u64, u64),
    /// The machine didn't answer the previous message.
    pub unanswered: bool,
}

impl Leader {
    /// Handles the result of direct commands.
    pub fn direct(&mut self, now: Secs, op: OpId, result: DirectResult) {
        let Some(sent) = self.directs.remove(&op) else {
            return;
        };
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        if m.direct_in_flight == Some(op) {
            m.direct_in_flight = None;
        }
        match result {
            DirectResult::Heartbeat(_, heartbeat) => self.direct_answered(now, &sent, &heartbeat),
            DirectResult::Unknown | DirectResult::NotSent => self.direct_failed(now, &sent),
        }
    }

    /// Handles an answered message: the worker is reachable, and its answer is a heartbeat.
    fn direct_answered(&mut self, now: Secs, sent: &DirectSent, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        m.last_reached_at = Some(now);
        m.failed_direct_sends = 0;
        m.failed_while_overdue = 0;
        m.probe_due = false;
        if (heartbeat.agent_epoch, heartbeat.seq) <= sent.known {
            return self.worker_was_reset(now, sent);
        }
        self.apply_heartbeat(now, heartbeat, ListSource::DirectAnswer);
        self.place_due = true;
    }

    /// Handles a worker whose state was reset. Its answer to a direct command can't be a delayed
    /// duplicate, and yet its sequence number is not above the ones known when the command was
    /// sent. Its sequence numbers therefore no longer order its messages, so only the release of the
    /// machine proves what doesn't run there. When the machine was kept, a duplicate of an old task list
    /// was accepted and a task ran twice.
    fn worker_was_reset(&mut self, now: Secs, sent: &DirectSent) {
        let id = &sent.machine;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if !std::mem::replace(&mut m.worker_restarted, true) {
            let (token, term) = (sent.fencing_token, self.term.0);
            self.log.info(now, || format!("event=reborn machine={id} token={token} term={term}"));
        }
        m.cordoned = true;
        m.releasing = true;
        m.last_answered_at = now;
        self.cloud_requests.to_release.insert(id.clone());
    }

    /// Handles an unanswered message: delays the next one.
    fn direct_failed(&mut self, now: Secs, sent: &DirectSent) {
        let Some(m) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        m.failed_direct_sends += 1;
        let overdue = m.is_heartbeat_overdue(now, self.facts.heartbeat_interval_s);
        m.failed_while_overdue += u32::from(overdue);
        m.direct_failed = Some(now);
        let backoff =
            if m.failed_direct_sends < PROBES { PROBE_RETRY_DELAY_S } else { DIRECT_BACKOFF_S };
        m.next_direct_at = now + backoff;
    }
}
