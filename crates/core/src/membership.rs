//! The configured controllers and the version that each was last heard to run. This is the version
//! gate of a rolling upgrade: peers announce their version in heartbeats. Once a leader has heard
//! that all run a format, it records this in the state service, and the record substitutes for
//! announcements that later processes haven't heard yet (see docs/design.md, "Versions during an
//! upgrade").

use crate::consts::{DEPENDENCIES_FORMAT, FORMAT, MEMBER_FRESH_S, PRODUCTION_FORMAT};
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use serde::Serialize;
use std::collections::BTreeMap;

/// The version that a controller announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The crate version; `None` if the controller runs a version that announces none, as the one
    /// in production does.
    pub version: Option<String>,
    /// The format of its records and requests; see [`FORMAT`].
    pub format: u32,
}

impl Announcement {
    /// The announcement of this process.
    pub fn own() -> Self {
        Self { version: Some(env!("CARGO_PKG_VERSION").to_owned()), format: FORMAT }
    }

    /// Decodes the fields of a heartbeat between controllers. A version that announces nothing
    /// leaves them at their defaults, an empty text and 0, and counts as [`PRODUCTION_FORMAT`].
    pub fn from_wire(version: &str, format: u32) -> Self {
        Self {
            version: (!version.is_empty()).then(|| version.to_owned()),
            format: if format == 0 { PRODUCTION_FORMAT } else { format },
        }
    }
}

/// What this controller knows of one controller, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberView {
    /// Its configured name.
    pub node: String,
    /// Its crate version; empty if it announces none.
    pub version: String,
    /// Its format; 0 while it hasn't been heard.
    pub format: u32,
    /// For how long it has been heard running this version without a gap, seconds.
    pub seen_for_s: f64,
    /// Whether it was heard recently. An unreachable controller counts for the gate with its last
    /// announcement.
    pub current: bool,
}

/// What this controller knows of all controllers, and the resulting state of the gate, for
/// operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipView {
    /// All configured controllers, in the order of their names.
    pub controllers: Vec<MemberView>,
    /// The format that every controller runs at least according to the state service; 0 if there is
    /// no record.
    pub format_in_store: u32,
    /// Whether DAG dependencies of users are accepted now; see [`Membership::all_run_at_least`].
    pub dependencies_allowed: bool,
}

/// The last announcement of a controller, since when it has been the same, and when it was last
/// heard.
#[derive(Debug, Clone)]
struct HeardAnnouncement {
    runs: Announcement,
    since: Secs,
    heard_at: Secs,
}

/// All configured controllers, including this one, and the last announcement of each.
#[derive(Debug)]
pub struct Membership {
    me: NodeId,
    members: BTreeMap<NodeId, Option<HeardAnnouncement>>,
}

impl Membership {
    /// Starts with this controller, which runs [`Announcement::own`], and the other configured
    /// ones, of which nothing is known yet.
    pub fn new(me: NodeId, others: &[NodeId], now: Secs) -> Self {
        let mut members: BTreeMap<_, _> = others.iter().map(|n| (n.clone(), None)).collect();
        let own = HeardAnnouncement { runs: Announcement::own(), since: now, heard_at: now };
        members.insert(me.clone(), Some(own));
        Self { me, members }
    }

    /// Records the announcement of a peer. Names that aren't configured are ignored. A change of
    /// version, or a gap in what was heard, restarts the time for which it has been seen.
    pub fn note_announcement(&mut self, node: &NodeId, runs: Announcement, now: Secs) {
        if *node == self.me {
            return;
        }
        let Some(entry) = self.members.get_mut(node) else { return };
        match entry {
            Some(seen) if seen.runs == runs && now - seen.heard_at <= MEMBER_FRESH_S => {
                seen.heard_at = seen.heard_at.max(now);
            }
            _ => *entry = Some(HeardAnnouncement { runs, since: now, heard_at: now }),
        }
    }

    /// The lowest format that any configured controller was last heard to run; 0 while one hasn't
    /// been heard since this process started.
    pub fn common_format(&self) -> u32 {
        self.members.values().map(|seen| last_format(seen).unwrap_or(0)).min().unwrap_or(0)
    }

    /// Whether every configured controller is known to run at least `format`.
    ///
    /// A controller heard since this process started counts with its last announcement, even while
    /// it is unreachable. By the order of an upgrade only a process that dies before its turn
    /// returns with the old version, and one that announced the new version has had its turn. (A
    /// gate that closed whenever a controller was unreachable refused pipelines for as long as any
    /// controller was down or partitioned, longer than the 60 s for which users retry.) A
    /// controller heard running an older format closes the gate, whatever the state service says.
    ///
    /// A controller not heard yet counts with `format_in_store`, the record of the format that all
    /// of them ran at least at some time; 0 if there is none. Without it, a controller that was
    /// restarted while another was down refused pipelines until that one was back.
    pub fn all_run_at_least(&self, format: u32, format_in_store: u32) -> bool {
        self.members.values().all(|seen| last_format(seen).unwrap_or(format_in_store) >= format)
    }

    /// All controllers, and whether all run at least the format that dependencies require.
    pub fn view(&self, now: Secs, format_in_store: u32) -> MembershipView {
        MembershipView {
            controllers: self.members(now),
            format_in_store,
            dependencies_allowed: self.all_run_at_least(DEPENDENCIES_FORMAT, format_in_store),
        }
    }

    /// All controllers, in the order of their names.
    pub fn members(&self, now: Secs) -> Vec<MemberView> {
        let view = |(node, seen): (&NodeId, &Option<HeardAnnouncement>)| {
            let runs = seen.as_ref().map(|s| &s.runs);
            MemberView {
                node: node.to_string(),
                version: runs.and_then(|r| r.version.clone()).unwrap_or_default(),
                format: runs.map_or(0, |r| r.format),
                seen_for_s: seen.as_ref().map_or(0.0, |s| (now - s.since).max(0.0)),
                current: self.current(node, now).is_some(),
            }
        };
        self.members.iter().map(view).collect()
    }

    fn current(&self, node: &NodeId, now: Secs) -> Option<&HeardAnnouncement> {
        let seen = self.members.get(node)?.as_ref()?;
        (*node == self.me || now - seen.heard_at <= MEMBER_FRESH_S).then_some(seen)
    }
}

fn last_format(seen: &Option<HeardAnnouncement>) -> Option<u32> {
    seen.as_ref().map(|announcement| announcement.runs.format)
}
