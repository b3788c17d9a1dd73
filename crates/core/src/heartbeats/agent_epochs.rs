//! A heartbeat's news of its worker: its epoch, and what that proves.

use super::is_obsolete;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::Heartbeat;
use std::collections::BTreeSet;

impl Leader {
    /// Takes a heartbeat's news, unless a newer message was taken before.
    pub(crate) fn apply_heartbeat(&mut self, now: Secs, heartbeat: &Heartbeat) {
        if self.released_machines.contains_key(&heartbeat.machine) {
            return;
        }
        let id = &heartbeat.machine;
        self.meet_machine(now, heartbeat);
        let Some(m) = self.machines.get(id) else { return };
        if is_obsolete(heartbeat, m)
            || (heartbeat.agent_epoch, heartbeat.seq) <= (m.agent_epoch, m.seq)
        {
            return;
        }
        if m.agent_epoch != 0 && heartbeat.agent_epoch > m.agent_epoch {
            self.end_agent_epoch(now, id);
        }
        self.take_agent_epoch(now, heartbeat);
        self.take_reachability(now, heartbeat);
        self.revoke_shown(now, id);
        let mut listed = BTreeSet::new();
        for entry in &heartbeat.tasks {
            self.apply_task(now, id, entry, &mut listed);
        }
        self.apply_absence(now, id, &listed);
    }

    /// A machine that isn't known yet is from now on.
    fn meet_machine(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(machine_record(heartbeat), now));
        self.cloud_requests.heard(now, &heartbeat.machine);
        if machine.heard.is_none() {
            machine.learn_type(self.cloud_requests.machine_type(&machine.info.kind));
        }
    }

    /// The worker has begun a new epoch: its lease ended though we heard it, or it was
    /// silent. Either way its tasks are gone, and it must show anew that it hears us.
    fn end_agent_epoch(&mut self, now: Secs, id: &MachineId) {
        self.lose_tasks(id, now);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.reached = None;
        m.heartbeat_seq = 0;
        m.last_heartbeat = None;
        m.withheld = false;
    }

    fn take_agent_epoch(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        if m.heard.is_none() || m.lapsed.is_some() || m.agent_epoch != heartbeat.agent_epoch {
            self.place_due = true;
        }
        if m.agent_epoch != heartbeat.agent_epoch {
            // Its lease counts from when the epoch began, which may be just now: counted
            // from our last answer to the one before, it once seemed to end while tasks ran
            // on.
            m.answered = now;
        }
        m.lapsed = None;
        m.agent_epoch = heartbeat.agent_epoch;
        m.seq = heartbeat.seq;
        if heartbeat.fencing_token > m.fencing_token {
            m.fencing_token = heartbeat.fencing_token;
            m.token_risen_at = now;
        }
        m.heard = Some(now);
        m.unreached = 0;
        if m.info.addr != heartbeat.addr {
            m.info.addr.clone_from(&heartbeat.addr);
            if let Some(block) = m.block {
                self.writer.machine_changed(block, now);
            }
        }
        m.notice = heartbeat.notice_s.map(|s| now + s);
    }

    fn take_reachability(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        // It has seen our token: whatever older leaders sent is void, and this list is all
        // there is.
        if !m.confirmed && heartbeat.fencing_token >= self.term.0 {
            m.confirmed = true;
            m.reached = Some(now);
        }
        m.probe_due = m.reached.is_none();
        m.exited.clear();
        m.strangers.clear();
    }
}

/// What a heartbeat tells to be recorded of its machine.
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
