//! The version gate: open only while every configured controller is heard running the format.

use marblebarrow_core::consts::{DEPENDENCIES_FORMAT, FORMAT, MEMBER_FRESH_S, PRODUCTION_FORMAT};
use marblebarrow_core::membership::{Announcement, Membership};
use marblebarrow_proto::ids::NodeId;

/// What the store holds before all ran a new format.
const NO_RECORD: u32 = 0;

#[test]
fn the_gate_opens_when_all_are_heard_new_and_shuts_on_an_old_return() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    let open = |m: &Membership| m.all_run_at_least(DEPENDENCIES_FORMAT, NO_RECORD);
    members.heard(&c1, Announcement::own(), 0.5);
    members.heard(&NodeId::new("stranger"), Announcement::from_wire("", 0), 0.5);
    assert!(!open(&members), "c2 was never heard");
    members.heard(&c2, Announcement::own(), 1.0);
    assert!(open(&members), "and a silent one keeps its last word: no time is asked for");
    assert!(!members.members(0.5 + MEMBER_FRESH_S + 0.1)[1].current, "shown as not current");
    // c1 comes back with the version in production, which announces nothing.
    members.heard(&c1, Announcement::from_wire("", 0), 2.0);
    members.heard(&c2, Announcement::own(), 2.0);
    assert!(!open(&members));
    let c1_seen = &members.members(3.0)[1];
    assert_eq!((c1_seen.format, c1_seen.seen_for_s, c1_seen.version.as_str()), (1, 1.0, ""));
}

#[test]
fn the_record_stands_in_for_a_controller_not_heard_yet_but_not_for_one_heard_old() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    assert!(!members.all_run_at_least(DEPENDENCIES_FORMAT, PRODUCTION_FORMAT));
    assert!(members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT), "just begun, nobody heard");
    members.heard(&c1, Announcement::own(), 1.0);
    assert!(members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT), "c2 is down");
    members.heard(&c2, Announcement::from_wire("", 0), 1.0);
    assert!(!members.all_run_at_least(DEPENDENCIES_FORMAT, FORMAT), "c2 is old");
    let view = members.view(1.0, FORMAT);
    assert_eq!((view.format_in_store, view.dependencies_allowed), (FORMAT, false));
}

/// What a leader records: nothing before all were heard, and the lowest of them.
#[test]
fn the_common_format_is_the_lowest_that_was_heard_of_all() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    members.heard(&c1, Announcement::own(), 1.0);
    assert_eq!(members.common_format(), 0, "c2 was never heard");
    members.heard(&c2, Announcement::from_wire("", 0), 1.0);
    assert_eq!(members.common_format(), PRODUCTION_FORMAT);
    members.heard(&c2, Announcement::from_wire("9.9.9", FORMAT + 1), 2.0);
    assert_eq!(members.common_format(), FORMAT);
    assert_eq!(Membership::new(c1, &[], 0.0).common_format(), FORMAT, "the only controller");
}
