//! A rolling upgrade: which version each controller announces, and what the store records
//! of it. An old controller is played by the present code, which then hears no announcement
//! and so neither opens its version gate nor writes the record.

use super::*;
use marblebarrow_core::consts::PRODUCTION_FORMAT;
use marblebarrow_core::membership::Announcement;
use marblebarrow_proto::records::{COMMON_FORMAT, FormatRecord};

/// A new process knows at once that every controller runs this version, as a real one learns
/// it from their first heartbeats. (Sent as messages with every heartbeat, the announcements
/// moved other events and the verdicts of seeded days.)
pub(super) fn tell_versions(node: &mut Node, own: usize) {
    for other in (0..NODES).filter(|&o| o != own) {
        let announced = PeerNews::Announced { node: name(other), runs: Announcement::own() };
        node.handle(0.0, 0, Event::Peer(announced));
    }
}

fn name(n: usize) -> NodeId {
    NodeId::new(&format!("c{n}"))
}

impl World {
    /// All controllers run the version in production, and will be upgraded.
    pub fn begin_upgrade(&mut self) {
        self.upgrading = true;
        self.hosts.iter_mut().for_each(|host| host.format = PRODUCTION_FORMAT);
    }

    /// A controller ends; so many steps later it is started with a version of that format.
    pub fn restart(&mut self, n: usize, format: u32, steps: u32) {
        self.crash(n, steps);
        self.hosts[n].format = format;
    }

    /// Steps so far.
    pub fn elapsed(&self) -> u32 {
        self.step
    }

    /// Whether a controller's version gate is open; `None` while it is down.
    pub fn dependencies_allowed(&self, n: usize) -> Option<bool> {
        self.hosts[n].node.as_ref().map(Node::dependencies_allowed)
    }

    /// The format that the store records every controller to run at least.
    pub fn format_in_store(&self) -> Option<u32> {
        let (value, ..) = self.kv.get(COMMON_FORMAT)?;
        let record: Option<FormatRecord> = cbor::from_value(value).ok();
        record.map(|record| record.format)
    }

    /// The record of an upgrade that was complete before the day began. It takes no revision
    /// of its own: nobody has read the store yet.
    pub fn record_format(&mut self, format: u32) {
        let value = cbor::to_value(&FormatRecord { format });
        self.kv.insert(COMMON_FORMAT.into(), (value, self.revision, None));
    }

    /// A controller's heartbeats tell the others what it runs.
    pub(super) fn announce(&mut self, n: usize) {
        let format = self.hosts[n].format;
        let version = if format == PRODUCTION_FORMAT { "" } else { "new" };
        let runs = Announcement::from_wire(version, format);
        let alone = |host: &Host| self.step < host.alone_until;
        let hears =
            |host: &Host| host.node.is_some() && host.format != PRODUCTION_FORMAT && !alone(host);
        if alone(&self.hosts[n]) {
            return;
        }
        let hearers: Vec<usize> = (0..NODES).filter(|&o| o != n && hears(&self.hosts[o])).collect();
        for o in hearers {
            let announced = PeerNews::Announced { node: name(n), runs: runs.clone() };
            let boot = self.hosts[o].born;
            self.after(1, Late::Event { node: o, boot, event: Event::Peer(announced) });
        }
    }
}
