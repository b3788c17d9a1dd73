//! Simulation of a rolling upgrade: which version each controller announces, and what the store
//! records of it. An old controller runs the current code, but hears no announcements, so that it
//! neither opens its version gate nor writes the record.

use super::*;
use marblebarrow_core::consts::PRODUCTION_FORMAT;
use marblebarrow_core::membership::Announcement;
use marblebarrow_proto::records::{COMMON_FORMAT_KEY, FormatRecord};

/// Tells a new process at once that every controller runs this version, which a real one learns
/// from the first heartbeats of its peers. If the announcements were sent as messages, they would
/// shift the random draws and change the verdicts of seeded runs.
pub(super) fn announce_peer_versions(node: &mut Node, own: usize) {
    for other in (0..NODES).filter(|&o| o != own) {
        let announced = PeerEvent::Announced { node: name(other), runs: Announcement::own() };
        node.handle(0.0, 0, Event::Peer(announced));
    }
}

fn name(n: usize) -> NodeId {
    NodeId::new(&format!("c{n}"))
}

impl World {
    /// Starts with all controllers on the version in production, to be upgraded by `restart`.
    pub fn start_upgrade(&mut self) {
        self.upgrading = true;
        self.hosts.iter_mut().for_each(|host| host.format = PRODUCTION_FORMAT);
    }

    /// Crashes a controller and restarts it after this many steps with a version of the given
    /// format.
    pub fn restart(&mut self, n: usize, format: u32, steps: u32) {
        self.crash(n, steps);
        self.hosts[n].format = format;
    }

    /// Number of steps simulated so far.
    pub fn elapsed(&self) -> u32 {
        self.step
    }

    /// Whether a controller's version gate for dependencies is open. `None` while it is down.
    pub fn dependencies_allowed(&self, n: usize) -> Option<bool> {
        self.hosts[n].node.as_ref().map(Node::dependencies_allowed)
    }

    /// The format that, as the store records, every controller supports.
    pub fn format_in_store(&self) -> Option<u32> {
        let (value, ..) = self.kv.get(COMMON_FORMAT_KEY)?;
        let record: Option<FormatRecord> = cbor::from_value(value).ok();
        record.map(|record| record.format)
    }

    /// Writes the record of an upgrade that was complete before the start. It takes no revision of
    /// its own, since no controller has read the store yet.
    pub fn record_format(&mut self, format: u32) {
        let value = cbor::to_value(&FormatRecord { format });
        self.kv.insert(COMMON_FORMAT_KEY.into(), (value, self.revision, None));
    }

    /// Announces a controller's version to its peers, as its heartbeats do.
    pub(super) fn announce(&mut self, n: usize) {
        let format = self.hosts[n].format;
        let version = if format == PRODUCTION_FORMAT { "" } else { "new" };
        let runs = Announcement::from_wire(version, format);
        let is_cut_off = |host: &Host| self.step < host.peers_cut_until;
        let receives = |host: &Host| {
            host.node.is_some() && host.format != PRODUCTION_FORMAT && !is_cut_off(host)
        };
        if is_cut_off(&self.hosts[n]) {
            return;
        }
        let receivers: Vec<usize> =
            (0..NODES).filter(|&o| o != n && receives(&self.hosts[o])).collect();
        for o in receivers {
            let announced = PeerEvent::Announced { node: name(n), runs: runs.clone() };
            let boot = self.hosts[o].started_at;
            self.after(1, Delivery::Event { node: o, boot, event: Event::Peer(announced) });
        }
    }
}
