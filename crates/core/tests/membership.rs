//! The version gate: open only while every configured controller is heard running the format.

use marblebarrow_core::consts::{DEPENDENCIES_FORMAT, MEMBER_FRESH_S};
use marblebarrow_core::membership::{Announcement, Membership};
use marblebarrow_proto::ids::NodeId;

#[test]
fn the_gate_opens_when_all_are_heard_new_and_shuts_on_silence_or_an_old_return() {
    let (c1, c2) = (NodeId::new("c1"), NodeId::new("c2"));
    let mut members = Membership::new(NodeId::new("c0"), &[c1.clone(), c2.clone()], 0.0);
    let open = |m: &Membership, at| m.all_run_at_least(DEPENDENCIES_FORMAT, at);
    members.heard(&c1, Announcement::own(), 0.5);
    members.heard(&NodeId::new("stranger"), Announcement::from_wire("", 0), 0.5);
    assert!(!open(&members, 0.5), "c2 was never heard");
    members.heard(&c2, Announcement::own(), 1.0);
    assert!(open(&members, 1.0));
    assert!(open(&members, 0.5 + MEMBER_FRESH_S + 0.1), "a silent c1 keeps its last word");
    assert!(!members.members(0.5 + MEMBER_FRESH_S + 0.1)[1].current, "shown as not current");
    // c1 comes back with the version in production, which announces nothing.
    members.heard(&c1, Announcement::from_wire("", 0), 2.0);
    members.heard(&c2, Announcement::own(), 2.0);
    assert!(!open(&members, 2.0));
    let c1_seen = &members.members(3.0)[1];
    assert_eq!((c1_seen.format, c1_seen.seen_for_s, c1_seen.version.as_str()), (1, 1.0, ""));
}
