//! Who the configured controllers are and what each was last heard to run: the version gate
//! of a rolling upgrade. Peers announce their version in their heartbeats; once a leader has
//! heard all run a format, it records that in the store, and the record stands in for what
//! later processes have not heard yet (see docs/design.md, "Versions during an upgrade").

use crate::consts::{DEPENDENCIES_FORMAT, FORMAT, MEMBER_FRESH_S, PRODUCTION_FORMAT};
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a controller says it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The crate version; `None` from a version that announces none (the production one).
    pub version: Option<String>,
    /// What its records and requests may hold; see [`FORMAT`].
    pub format: u32,
}

impl Announcement {
    /// What this process runs.
    pub fn own() -> Self {
        Self { version: Some(env!("CARGO_PKG_VERSION").to_owned()), format: FORMAT }
    }

    /// As read from a beat: a version that announces nothing leaves the fields at their
    /// defaults, an empty text and 0, and counts as [`PRODUCTION_FORMAT`].
    pub fn from_wire(version: &str, format: u32) -> Self {
        Self {
            version: (!version.is_empty()).then(|| version.to_owned()),
            format: if format == 0 { PRODUCTION_FORMAT } else { format },
        }
    }
}

/// One controller as heard here, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberView {
    /// Its name in the settings.
    pub node: String,
    /// Its crate version; empty when it announces none.
    pub version: String,
    /// Its format; 0 while it was never heard.
    pub format: u32,
    /// For how long it has been heard running this, without a gap, seconds.
    pub seen_for_s: f64,
    /// Whether it was heard lately. A silent one counts for the gate with its last word.
    pub current: bool,
}

/// The controllers as heard here, and the gate that they open, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipView {
    /// Each configured controller, in the order of names.
    pub controllers: Vec<MemberView>,
    /// The format that the store records every controller to run at least; 0: no record.
    pub format_in_store: u32,
    /// Whether users' DAG dependencies are taken now; see [`Membership::all_run_at_least`].
    pub dependencies_allowed: bool,
}

/// When a controller was heard running what.
#[derive(Debug, Clone)]
struct Sighting {
    runs: Announcement,
    since: Secs,
    heard_at: Secs,
}

/// Every configured controller, this one included, and what each was last heard to run.
#[derive(Debug)]
pub struct Membership {
    me: NodeId,
    members: BTreeMap<NodeId, Option<Sighting>>,
}

impl Membership {
    /// This controller, which runs [`Announcement::own`], and the others of the settings,
    /// of which nothing is known yet.
    pub fn new(me: NodeId, others: &[NodeId], now: Secs) -> Self {
        let mut members: BTreeMap<_, _> = others.iter().map(|n| (n.clone(), None)).collect();
        let own = Sighting { runs: Announcement::own(), since: now, heard_at: now };
        members.insert(me.clone(), Some(own));
        Self { me, members }
    }

    /// A peer announced what it runs. Names not in the settings are ignored. A change of
    /// version, or a gap in what was heard, starts a new sighting.
    pub fn heard(&mut self, node: &NodeId, runs: Announcement, now: Secs) {
        if *node == self.me {
            return;
        }
        let Some(entry) = self.members.get_mut(node) else { return };
        match entry {
            Some(seen) if seen.runs == runs && now - seen.heard_at <= MEMBER_FRESH_S => {
                seen.heard_at = seen.heard_at.max(now);
            }
            _ => *entry = Some(Sighting { runs, since: now, heard_at: now }),
        }
    }

    /// The lowest format that any configured controller was last heard running; 0 while one
    /// was never heard since this process began.
    pub fn common_format(&self) -> u32 {
        self.members.values().map(|seen| last_format(seen).unwrap_or(0)).min().unwrap_or(0)
    }

    /// True only when every configured controller is known to run at least that format.
    ///
    /// One heard since this process began counts with its last word, also while it is
    /// silent: by the upgrade's order only a process that dies before its turn comes back
    /// old, and one heard new has had its turn. (A gate that shut on every silence refused
    /// pipelines for as long as any controller was down or cut off, past the users' 60 s
    /// of retries.) One heard running an older format shuts the gate, whatever the store
    /// says.
    ///
    /// One never heard counts with `format_in_store`, the record of what all of them ran at
    /// least at some time (0: there is none). (Without it a controller that was restarted
    /// while another was down refused pipelines until that one was back.)
    pub fn all_run_at_least(&self, format: u32, format_in_store: u32) -> bool {
        self.members.values().all(|seen| last_format(seen).unwrap_or(format_in_store) >= format)
    }

    /// Each controller, and whether all run at least the format that dependencies need.
    pub fn view(&self, now: Secs, format_in_store: u32) -> MembershipView {
        MembershipView {
            controllers: self.members(now),
            format_in_store,
            dependencies_allowed: self.all_run_at_least(DEPENDENCIES_FORMAT, format_in_store),
        }
    }

    /// Each controller, in the order of names.
    pub fn members(&self, now: Secs) -> Vec<MemberView> {
        let view = |(node, seen): (&NodeId, &Option<Sighting>)| {
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

    fn current(&self, node: &NodeId, now: Secs) -> Option<&Sighting> {
        let seen = self.members.get(node)?.as_ref()?;
        (*node == self.me || now - seen.heard_at <= MEMBER_FRESH_S).then_some(seen)
    }
}

fn last_format(seen: &Option<Sighting>) -> Option<u32> {
    seen.as_ref().map(|sighting| sighting.runs.format)
}
