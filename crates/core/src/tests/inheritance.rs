use super::*;

fn urgency(priority: Priority, due: Secs, stages: u32) -> Urgency {
    let deadline = DeadlineAhead { due, latest: due + 50.0, stages };
    Urgency { priority, deadline: Some(deadline) }
}

#[test]
fn each_stage_moves_the_deadline_earlier() {
    let last = urgency(Priority::High, 100.0, 0);
    let first = last.passed_on(10.0).passed_on(25.0);
    assert_eq!(first, urgency(Priority::High, 65.0, 2));
}

#[test]
fn a_job_with_several_dependents_is_as_urgent_as_the_most_urgent() {
    let soon = urgency(Priority::Normal, 40.0, 1);
    let high = urgency(Priority::High, 90.0, 3);
    let both = Urgency { priority: Priority::High, ..soon };
    assert_eq!(soon.merged(high), both);
    assert_eq!(high.merged(soon), both);
    let none = Urgency { priority: Priority::Low, deadline: None };
    assert_eq!(none.merged(soon), soon);
    assert_eq!(soon.merged(none), soon);
}
