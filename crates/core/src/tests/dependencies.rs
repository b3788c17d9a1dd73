use super::*;

fn id(name: &str) -> JobId {
    JobId::new(name)
}

fn unfinished(_: &JobId) -> DependencyState {
    DependencyState::Unfinished
}

#[test]
fn a_job_waits_until_every_dependency_is_durably_done() {
    let mut graph = DependencyGraph::default();
    assert!(graph.add(&id("req-3"), &[id("req-1"), id("req-2")], 0.0, unfinished));
    assert!(graph.finished(&id("req-1"), Outcome::Done).is_empty());
    assert!(graph.is_waiting(&id("req-3")));
    assert_eq!(graph.finished(&id("req-2"), Outcome::Done), vec![id("req-3")]);
    assert!(!graph.is_waiting(&id("req-3")));
}

#[test]
fn a_dependency_done_before_needs_no_wait() {
    let mut graph = DependencyGraph::default();
    assert!(!graph.add(&id("req-2"), &[id("req-1")], 0.0, |_| DependencyState::Done));
    graph.finished(&id("req-0"), Outcome::Done);
    assert!(!graph.add(&id("req-5"), &[id("req-0")], 0.0, |_| DependencyState::Unknown));
}

#[test]
fn a_cancellation_cascades_through_every_job_that_follows() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.add(&id("req-3"), &[id("req-2")], 0.0, unfinished);
    graph.add(&id("req-4"), &[id("req-1"), id("req-3")], 0.0, unfinished);
    graph.add(&id("req-9"), &[id("req-8")], 0.0, unfinished);
    assert!(graph.finished(&id("req-1"), Outcome::Cancelled).is_empty());
    let due = graph.cancels_due(10);
    assert_eq!(due, vec![id("req-2"), id("req-3"), id("req-4")]);
}

#[test]
fn a_job_that_names_a_cancelled_one_is_cancelled_itself() {
    let mut graph = DependencyGraph::default();
    assert!(graph.add(&id("req-5"), &[id("req-1")], 0.0, |_| DependencyState::Cancelled));
    assert_eq!(graph.cancels_due(10), vec![id("req-5")]);
    let mut later = DependencyGraph::default();
    later.finished(&id("req-1"), Outcome::Cancelled);
    later.add(&id("req-6"), &[id("req-1")], 0.0, |_| DependencyState::Unknown);
    assert_eq!(later.cancels_due(10), vec![id("req-6")]);
}

#[test]
fn an_unknown_dependency_is_read_and_read_again_until_found() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 5.0, |_| DependencyState::Unknown);
    assert!(graph.reads_due(4.0, 8).is_empty());
    assert_eq!(graph.reads_due(5.0, 8), vec![id("req-1")]);
    graph.read_sent(OpId(7), id("req-1"));
    assert!(graph.reads_due(5.0, 8).is_empty(), "one read at a time");
    let nothing = graph.read_answered(OpId(7), None, 5.0, 2.0).expect("ours");
    assert!(nothing.ready.is_empty());
    assert!(graph.reads_due(6.0, 8).is_empty());
    assert_eq!(graph.reads_due(7.0, 8), vec![id("req-1")]);
    graph.read_sent(OpId(8), id("req-1"));
    let done = graph.read_answered(OpId(8), Some(Outcome::Done), 7.0, 2.0).expect("ours");
    assert_eq!(done.ready, vec![id("req-2")]);
    assert!(graph.read_answered(OpId(9), None, 7.0, 2.0).is_none(), "not ours");
}

#[test]
fn a_cancellation_that_failed_is_tried_again() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, |_| DependencyState::Cancelled);
    graph.cancel_sent(OpId(1), id("req-2"));
    assert!(graph.cancels_due(10).is_empty(), "under way");
    assert_eq!(graph.cancel_answered(OpId(1), false), Some(id("req-2")));
    assert_eq!(graph.cancels_due(10), vec![id("req-2")]);
    graph.cancel_sent(OpId(2), id("req-2"));
    graph.cancel_answered(OpId(2), true);
    assert!(graph.cancels_due(10).is_empty());
}

#[test]
fn a_closed_job_waits_for_nothing_and_is_not_cancelled_again() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.forget(&id("req-2"));
    assert!(!graph.is_waiting(&id("req-2")));
    assert!(graph.finished(&id("req-1"), Outcome::Done).is_empty());
    assert!(graph.cancels_due(10).is_empty());
}

#[test]
fn jobs_in_lists_end_in_the_background_and_cancel_what_comes_later() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.add(&id("req-3"), &[id("req-2")], 0.0, unfinished);
    graph.finished(&id("req-1"), Outcome::Cancelled);
    graph.recorded(&[id("req-2"), id("req-3"), id("req-9")]);
    assert_eq!((graph.cascade_count(), graph.listed_count()), (0, 2), "none that is not queued");
    // One that names a listed job is queued, and not the listed ones again.
    assert!(graph.add(&id("req-4"), &[id("req-3")], 0.0, unfinished));
    graph.finished(&id("req-2"), Outcome::Cancelled);
    assert_eq!(graph.cancels_due(10), vec![id("req-4")]);
    assert_eq!(graph.end_due(1), Some(id("req-2")));
    graph.cancel_sent(OpId(1), id("req-2"));
    assert_eq!((graph.end_due(1), graph.end_due(2)), (None, Some(id("req-3"))));
    assert_eq!(graph.cancel_answered(OpId(1), true), Some(id("req-2")));
    graph.forget(&id("req-3"));
    assert_eq!((graph.end_due(1), graph.listed_count()), (None, 0));
}

#[test]
fn a_new_leader_goes_on_from_the_lists_it_finds() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-3"), &[id("req-2")], 0.0, unfinished);
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.found_listed(&id("req-2"));
    assert_eq!(graph.end_due(1), Some(id("req-2")));
    assert_eq!(graph.cancels_due(10), vec![id("req-3")], "it is in no list");
}
