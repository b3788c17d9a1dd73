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
fn a_job_does_not_wait_for_a_dependency_already_done() {
    let mut graph = DependencyGraph::default();
    assert!(!graph.add(&id("req-2"), &[id("req-1")], 0.0, |_| DependencyState::Done));
    graph.finished(&id("req-0"), Outcome::Done);
    assert!(!graph.add(&id("req-5"), &[id("req-0")], 0.0, |_| DependencyState::Unknown));
}

#[test]
fn a_cancellation_cascades_to_all_transitive_dependents() {
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
fn a_job_with_a_cancelled_dependency_is_cancelled() {
    let mut graph = DependencyGraph::default();
    assert!(graph.add(&id("req-5"), &[id("req-1")], 0.0, |_| DependencyState::Cancelled));
    assert_eq!(graph.cancels_due(10), vec![id("req-5")]);
    let mut later = DependencyGraph::default();
    later.finished(&id("req-1"), Outcome::Cancelled);
    later.add(&id("req-6"), &[id("req-1")], 0.0, |_| DependencyState::Unknown);
    assert_eq!(later.cancels_due(10), vec![id("req-6")]);
}

#[test]
fn an_unknown_dependency_is_read_until_its_final_state_is_found() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 5.0, |_| DependencyState::Unknown);
    assert!(graph.reads_due(4.0, 8).is_empty());
    assert_eq!(graph.reads_due(5.0, 8), vec![id("req-1")]);
    graph.read_sent(OpId(7), id("req-1"));
    assert!(graph.reads_due(5.0, 8).is_empty(), "one read at a time");
    let nothing = graph.read_answered(OpId(7), None, 5.0, 2.0).expect("a read of the graph");
    assert!(nothing.ready.is_empty());
    assert!(graph.reads_due(6.0, 8).is_empty());
    assert_eq!(graph.reads_due(7.0, 8), vec![id("req-1")]);
    graph.read_sent(OpId(8), id("req-1"));
    let done =
        graph.read_answered(OpId(8), Some(Outcome::Done), 7.0, 2.0).expect("a read of the graph");
    assert_eq!(done.ready, vec![id("req-2")]);
    assert!(graph.read_answered(OpId(9), None, 7.0, 2.0).is_none(), "no read of the graph");
}

#[test]
fn a_failed_cancellation_is_retried() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, |_| DependencyState::Cancelled);
    graph.cancel_sent(OpId(1), id("req-2"));
    assert!(graph.cancels_due(10).is_empty(), "in flight");
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
fn listed_jobs_end_in_the_background_and_cancel_later_dependents() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.add(&id("req-3"), &[id("req-2")], 0.0, unfinished);
    graph.finished(&id("req-1"), Outcome::Cancelled);
    graph.recorded(&[id("req-2"), id("req-3"), id("req-9")]);
    assert_eq!(
        (graph.cascade_count(), graph.listed_count()),
        (0, 2),
        "only queued jobs become listed"
    );
    // A job that depends on a listed job is queued; the listed jobs are not queued again.
    assert!(graph.add(&id("req-4"), &[id("req-3")], 0.0, unfinished));
    graph.finished(&id("req-2"), Outcome::Cancelled);
    assert_eq!(graph.cancels_due(10), vec![id("req-4")]);
    assert_eq!(graph.final_state_due(1), Some(id("req-2")));
    graph.cancel_sent(OpId(1), id("req-2"));
    assert_eq!((graph.final_state_due(1), graph.final_state_due(2)), (None, Some(id("req-3"))));
    assert_eq!(graph.cancel_answered(OpId(1), true), Some(id("req-2")));
    graph.forget(&id("req-3"));
    assert_eq!((graph.final_state_due(1), graph.listed_count()), (None, 0));
}

#[test]
fn a_new_leader_continues_from_existing_lists() {
    let mut graph = DependencyGraph::default();
    graph.add(&id("req-3"), &[id("req-2")], 0.0, unfinished);
    graph.add(&id("req-2"), &[id("req-1")], 0.0, unfinished);
    graph.add_listed(&id("req-2"));
    assert_eq!(graph.final_state_due(1), Some(id("req-2")));
    assert_eq!(graph.cancels_due(10), vec![id("req-3")], "it is not in any list");
}
