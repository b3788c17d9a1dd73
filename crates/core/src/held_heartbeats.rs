//! Heartbeats whose answers wait for a start command.
//!
//! A start is sent in the answer to a heartbeat. Where one is being recorded, or a machine has room
//! and can't be prompted at any time, the answer waits until there is a command to send, but no
//! longer than delays the worker's next heartbeat.

use crate::consts::{
    AMOUNT_TOLERANCE, CLEARS_HELD_MAX, HEARTBEAT_HOLD_MAX_S, HEARTBEAT_HOLD_SHARE, RETRY_STORE_S,
};
use crate::event::{ActionSink, Answer, ReplyTo, Secs};
use crate::fleet::Machine;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use std::collections::BTreeMap;

/// A heartbeat that hasn't been answered yet.
#[derive(Clone, Copy, Debug)]
struct HeldHeartbeat {
    to: ReplyTo,
    arrived: Secs,
}

/// The held heartbeats, by machine.
#[derive(Debug, Default)]
pub(crate) struct HeldHeartbeats(BTreeMap<MachineId, HeldHeartbeat>);

impl Leader {
    /// Answers a heartbeat that arrived at that time with the machine's commands, or holds it.
    pub(crate) fn answer_or_hold(
        &mut self,
        now: Secs,
        arrived: Secs,
        to: ReplyTo,
        id: &MachineId,
        out: &mut ActionSink,
    ) {
        // The worker has given up an earlier heartbeat.
        if let Some(earlier) = self.take_held(id) {
            out.reply(earlier.to, Answer::Unavailable(RETRY_STORE_S));
        }
        let has_room = self.held_heartbeats.0.len() < self.facts.max_held_heartbeats;
        let in_time = now - arrived < self.longest_hold();
        if has_room && in_time && self.has_reason_to_wait(now, id) {
            self.message_counts.heartbeats_held += 1;
            self.hold(id, HeldHeartbeat { to, arrived });
        } else {
            self.send_commands(now, to, id, out);
        }
    }

    /// Answers the held heartbeats for whose machines there is something to send, and those that
    /// have waited long enough.
    pub(crate) fn answer_held_heartbeats(&mut self, now: Secs, out: &mut ActionSink) {
        let longest = self.longest_hold();
        let is_due = |id: &MachineId, held: &HeldHeartbeat| {
            now - held.arrived >= longest
                || self.machines.get(id).is_none_or(|m| m.direct_send_due || !m.accepts_starts())
                    && !self.has_reason_to_wait(now, id)
        };
        let held = self.held_heartbeats.0.iter();
        let due: Vec<MachineId> =
            held.filter(|(id, held)| is_due(id, held)).map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(HeldHeartbeat { to, arrived }) = self.take_held(&id) else { continue };
            let in_vain = now - arrived >= longest;
            self.message_counts.heartbeats_held_in_vain += u64::from(in_vain);
            self.send_commands(now, to, &id, out);
        }
    }

    /// Refuses all held heartbeats, as this controller may no longer act as leader.
    pub(crate) fn refuse_held_heartbeats(&mut self, out: &mut ActionSink) {
        let machines: Vec<MachineId> = self.held_heartbeats.0.keys().cloned().collect();
        for held in machines.iter().filter_map(|id| self.take_held(id)) {
            out.reply(held.to, Answer::Unavailable(RETRY_STORE_S));
        }
    }

    fn hold(&mut self, id: &MachineId, held: HeldHeartbeat) {
        self.held_heartbeats.0.insert(id.clone(), held);
        if let Some(m) = self.machines.get_mut(id) {
            m.heartbeat_held = true;
        }
    }

    fn take_held(&mut self, id: &MachineId) -> Option<HeldHeartbeat> {
        if let Some(m) = self.machines.get_mut(id) {
            m.heartbeat_held = false;
        }
        self.held_heartbeats.0.remove(id)
    }

    fn send_commands(&mut self, now: Secs, to: ReplyTo, id: &MachineId, out: &mut ActionSink) {
        let expired = self.machines.get(id).is_none_or(|m| m.expired_epoch.is_some());
        let answer = if expired {
            None
        } else {
            let commands = self.commands_for_answer(now, id);
            self.answer_with(id, commands)
        };
        out.reply(to, answer.unwrap_or(Answer::Unavailable(RETRY_STORE_S)));
    }

    /// How long an answer may wait at most, in seconds.
    fn longest_hold(&self) -> Secs {
        (self.facts.heartbeat_interval_s * HEARTBEAT_HOLD_SHARE).min(HEARTBEAT_HOLD_MAX_S)
    }

    /// Whether an answer should wait, as far as its machine is concerned.
    fn has_reason_to_wait(&self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get(id) else { return false };
        m.confirmed
            && m.accepts_starts()
            && self.stops(id, |_| true).is_empty()
            && (self.records_start(m) || self.waits_for_work(now, m))
    }

    /// Whether the machine's next start is being recorded, and none can be sent now.
    fn records_start(&self, machine: &Machine) -> bool {
        let mut starts = self.unsent_starts(machine).peekable();
        starts.peek().is_some()
            && !starts.any(|(task, _)| machine.recorded && self.is_start_recorded(task, machine))
    }

    /// Whether a task may be placed on the machine at any time. Clears can wait for that too, unless
    /// there are many.
    fn waits_for_work(&self, now: Secs, machine: &Machine) -> bool {
        // No job is known at first.
        let least = if self.least_cpus.is_finite() { self.least_cpus } else { 0.0 };
        machine.usable(now, self.facts.heartbeat_interval_s)
            && machine.free()[0] + AMOUNT_TOLERANCE >= least
            && machine.ended_attempts.len() < CLEARS_HELD_MAX
            && self.unsent_starts(machine).next().is_none()
    }
}
