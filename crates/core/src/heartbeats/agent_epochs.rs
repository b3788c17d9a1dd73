//! Applies what a heartbeat reports about its worker: its agent epoch, and what follows from that.

use super::{ListSource, is_obsolete};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::Heartbeat;
use std::collections::BTreeSet;

impl Leader {
    /// Applies a heartbeat, unless a newer message was applied before.
    pub(crate) fn apply_heartbeat(&mut self, now: Secs, heartbeat: &Heartbeat, source: ListSource) {
        if self.released_machines.contains_key(&heartbeat.machine) {
            return;
        }
        let id = &heartbeat.machine;
        self.register_machine(now, heartbeat);
        let Some(m) = self.machines.get(id) else { return };
        if is_obsolete(heartbeat, m)
            || (heartbeat.agent_epoch, heartbeat.seq) <= (m.agent_epoch, m.seq)
        {
            return;
        }
        if m.agent_epoch != 0 && heartbeat.agent_epoch > m.agent_epoch {
            self.end_agent_epoch(now, id);
        }
        self.apply_agent_epoch(now, heartbeat);
        self.update_reachability(now, heartbeat);
        let mut listed = BTreeSet::new();
        for entry in &heartbeat.tasks {
            self.apply_task(now, id, entry, &mut listed);
        }
        self.apply_absence(now, id, &listed, source);
    }

    /// Adds the machine if it isn't known yet.
    fn register_machine(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(machine_record(heartbeat), now));
        self.cloud_requests.boot_finished(now, &heartbeat.machine);
        if machine.last_heard_at.is_none() {
            machine.apply_machine_type(self.cloud_requests.machine_type(&machine.info.kind));
        }
    }

    /// Handles the start of a new agent epoch: the worker's lease expired, although its heartbeats
    /// arrived or because they didn't. In both cases its tasks are gone, and the worker must show
    /// again that answers reach it.
    fn end_agent_epoch(&mut self, now: Secs, id: &MachineId) {
        self.lose_tasks(id, now);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.last_reached_at = None;
        m.heartbeat_seq = 0;
        m.last_heartbeat = None;
    }

    fn apply_agent_epoch(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        if m.last_heard_at.is_none()
            || m.expired_epoch.is_some()
            || m.agent_epoch != heartbeat.agent_epoch
        {
            self.place_due = true;
        }
        if m.agent_epoch != heartbeat.agent_epoch {
            // The new lease counts from the start of the epoch, which may be as late as now. When
            // it was counted from the last answer to the previous epoch, the lease appeared to
            // expire while tasks were still running.
            m.last_answered_at = now;
        }
        m.expired_epoch = None;
        m.agent_epoch = heartbeat.agent_epoch;
        m.seq = heartbeat.seq;
        if heartbeat.fencing_token > m.fencing_token {
            m.fencing_token = heartbeat.fencing_token;
            m.token_raised_at = now;
        }
        m.last_heard_at = Some(now);
        m.failed_direct_sends = 0;
        m.failed_while_overdue = 0;
        if m.info.addr != heartbeat.addr {
            m.info.addr.clone_from(&heartbeat.addr);
            if let Some(block) = m.block {
                self.writer.machine_changed(block, now);
            }
        }
        m.notice = heartbeat.notice_s.map(|s| now + s);
    }

    fn update_reachability(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        // The worker has seen this leader's fencing token, so commands of earlier leaders have no
        // effect any more and the list is complete.
        if !m.confirmed && heartbeat.fencing_token >= self.term.0 {
            m.confirmed = true;
            m.last_reached_at = Some(now);
        }
        m.probe_due = m.last_reached_at.is_none();
        m.ended_attempts.clear();
        m.unknown_attempts.clear();
    }
}

/// The record to store for a machine first seen in this heartbeat.
fn machine_record(heartbeat: &Heartbeat) -> MachineRecord {
    MachineRecord {
        kind: heartbeat.kind.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        addr: heartbeat.addr.clone(),
        images: Vec::new(),
        number: 0,
    }
}
