//! Tests of the version gate: it is open only while every configured controller is known to run the
//! format.

use marblebarrow_core::consts::{DEPENDENCIES_FORMAT, FORMAT, MEMBER_FRESH_S, PRODUCTION_FORMAT};
use marblebarrow_core::membership::{Announcement, Membership};
use marblebarrow_proto::ids::NodeId;

/// Format in the state service before all controllers ran a new one.
const NO_RECORD: u32 = 0;

#[test]
fn the_gate_opens_once_all_run_the_format_and_closes_when_an_older_version_returns() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    let open = |m: &Membership| m.all_run_at_least(DEPENDENCIES_FORMAT, NO_RECORD);
    members.note_announcement(&c1, Announcement::own(), 0.5);
    members.note_announcement(&NodeId::new("stranger"), Announcement::from_wire("", 0), 0.5);
    assert!(!open(&members), "c2 was never heard");
    members.note_announcement(&c2, Announcement::own(), 1.0);
    assert!(open(&members), "an unreachable controller keeps its last announcement, however old");
    assert!(!members.members(0.5 + MEMBER_FRESH_S + 0.1)[1].current, "c1 is shown as not current");
    // c1 returns with the version in production, which announces nothing.
    members.note_announcement(&c1, Announcement::from_wire("", 0), 2.0);
    members.note_announcement(&c2, Announcement::own(), 2.0);
    assert!(!open(&members));
    let c1_seen = &members.members(3.0)[1];
    assert_eq!((c1_seen.format, c1_seen.seen_for_s, c1_seen.version.as_str()), (1, 1.0, ""));
}

#[test]
fn the_record_substitutes_for_a_controller_not_heard_yet_but_not_for_an_older_one() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    assert!(!members.all_run_at_least(DEPENDENCIES_FORMAT, PRODUCTION_FORMAT));
    assert!(
        members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT),
        "just started, no peer was heard"
    );
    members.note_announcement(&c1, Announcement::own(), 1.0);
    assert!(members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT), "c2 is down");
    members.note_announcement(&c2, Announcement::from_wire("", 0), 1.0);
    assert!(!members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT), "c2 runs an older version");
    let view = members.view(1.0, FORMAT);
    assert_eq!((view.format_in_store, view.dependencies_allowed), (FORMAT, false));
}

/// A leader records nothing before all controllers were heard, and then the lowest of their
/// formats.
#[test]
fn the_common_format_is_the_lowest_announced_once_all_were_heard() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    members.note_announcement(&c1, Announcement::own(), 1.0);
    assert_eq!(members.common_format(), 0, "c2 was never heard");
    members.note_announcement(&c2, Announcement::from_wire("", 0), 1.0);
    assert_eq!(members.common_format(), PRODUCTION_FORMAT);
    members.note_announcement(&c2, Announcement::from_wire("9.9.9", FORMAT + 1), 2.0);
    assert_eq!(members.common_format(), FORMAT);
    assert_eq!(Membership::new(c1, &[], 0.0).common_format(), FORMAT, "the only controller");
}
