use super::*;
use crate::inheritance::DeadlineAhead;
use marblebarrow_proto::ids::JobId;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

fn job(tasks: u32) -> Job {
    let spec = JobSpec {
        id: JobId::new("req-1"),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    let record = Arc::new(SpecRecord::submitted(spec, 0));
    Job::new(record, 1, 0.0, &Tuning::default(), &mut StdRng::seed_from_u64(1))
}

fn place(job: &mut Job, n: u32, machine: &str, now: Secs) {
    let live = Live {
        machine: MachineId::new(machine),
        attempt: Attempt(1),
        phase: Phase::Running,
        placed_at: now,
        ran_from: Some(now),
        stop_grace_s: None,
        start_sent_at: None,
        adopted: false,
    };
    job.place(n, live, 1);
}

#[test]
fn queue_bounds_match_the_paper() {
    assert_eq!(queue_for_size(1_000.0), 0);
    assert_eq!(queue_for_size(1_001.0), 1);
    assert_eq!(queue_for_size(100_000.0), 2);
    assert_eq!(queue_for_size(f64::INFINITY), 9);
}

#[test]
fn only_jobs_with_enough_tasks_run_pilots() {
    assert_eq!((job(2).pilots.len(), job(2).queue), (0, Some(0)));
    assert_eq!((job(3).pilots.len(), job(3).queue), (1, None));
    assert_eq!(job(100).pilots.len(), 3);
}

/// Counting the short run times of failed pilots would make a large job look tiny.
#[test]
fn failed_pilots_do_not_count_as_run_times() {
    let mut j = job(1_000);
    for n in j.pilots.clone() {
        place(&mut j, n, "m", 0.0);
        j.end_attempt(n, Outcome::Error, 0.5);
    }
    assert_eq!((j.runs.0, j.queue), (0, None));
    for n in j.pilots.clone() {
        place(&mut j, n, "m", 10.0);
        j.end_attempt(n, Outcome::Done, 40.0);
    }
    assert_eq!((j.mean_run(), j.queue), (Some(30.0), Some(2)));
}

/// A service with a long-running replica must not be suspected to be broken, however many
/// machines fail below its other replicas.
#[test]
fn a_service_with_a_running_replica_is_not_suspected_to_be_broken() {
    let mut j = job(4);
    let record = Arc::make_mut(&mut j.record);
    record.spec.kind = Kind::Service;
    for (n, m) in [(0, "a"), (1, "b"), (2, "c")] {
        place(&mut j, n, m, 0.0);
    }
    j.note_run_time(SERVICE_ESTABLISHED_S + 1.0);
    j.end_attempt(0, Outcome::Error, 40.0);
    j.end_attempt(1, Outcome::Error, 80.0);
    assert!(!j.suspected_broken() && j.next_task(200.0).is_some());
}

/// Failures on a machine are attributed to the machine once the job succeeds elsewhere.
#[test]
fn a_success_elsewhere_attributes_failures_to_the_machine() {
    let mut j = job(10);
    place(&mut j, 0, "faulty", 0.0);
    j.end_attempt(0, Outcome::Error, 1.0);
    assert_eq!(j.unattributed_failures(), vec![MachineId::new("faulty")]);
    place(&mut j, 0, "sound", 2.0);
    j.end_attempt(0, Outcome::Done, 10.0);
    assert!(j.has_succeeded() && j.unattributed_failures().is_empty());
}

/// In a full fleet the youngest attempt is evicted first. The first task of spare-capacity
/// work is exempt until it has run for longer than `CONSOLIDATE_AGE_S`, or it would never get
/// to run.
#[test]
fn the_first_task_of_spare_capacity_work_is_not_evicted() {
    let mut j = job(40);
    Arc::make_mut(&mut j.record).spec.priority = Priority::Low;
    place(&mut j, 0, "a", 0.0);
    assert!(j.exempt_from_eviction(5.0));
    place(&mut j, 1, "b", 6.0);
    assert!(!j.exempt_from_eviction(7.0), "one of the two may go");
    j.end_attempt(1, Outcome::Lost, 8.0);
    assert!(j.exempt_from_eviction(9.0));
    j.note_run_time(CONSOLIDATE_AGE_S + 1.0);
    assert!(!j.exempt_from_eviction(40.0));
    j.has_objective = true;
    assert!(!j.is_spare_capacity_work());
}

/// One slow pilot moves a job to a lower queue only until run times of other tasks correct it.
#[test]
fn later_run_times_correct_a_slow_pilot() {
    let mut j = job(30);
    let pilot = j.pilots[0];
    place(&mut j, pilot, "slow", 0.0);
    j.end_attempt(pilot, Outcome::Done, 400.0);
    assert_eq!(j.queue, Some(2));
    for n in (0..30).filter(|n| *n != pilot).take(20) {
        place(&mut j, n, "m", 0.0);
        j.end_attempt(n, Outcome::Done, 10.0);
    }
    assert_eq!(j.queue, Some(0));
}

/// The part of a run that a new leader saw must not count as a whole run.
#[test]
fn run_times_after_a_takeover_do_not_count() {
    let mut j = job(300);
    for n in j.pilots.clone() {
        place(&mut j, n, "m", 0.0);
        if let Some(l) = j.live.get_mut(&n) {
            l.adopted = true;
        }
        j.end_attempt(n, Outcome::Done, 1.0);
    }
    assert_eq!((j.mean_run(), j.queue), (None, None));
    // Whole runs of other tasks then determine its size.
    let n = j.next_task(1.0).expect("waits");
    place(&mut j, n, "m", 1.0);
    j.end_attempt(n, Outcome::Done, 41.0);
    assert_eq!((j.mean_run(), j.queue), (Some(40.0), Some(2)));
}

/// A job that fails everywhere must not fill the machines with its retries.
#[test]
fn a_job_that_fails_everywhere_tries_one_task_at_a_time() {
    let mut j = job(10);
    for (n, m) in [(0, "a"), (1, "b")] {
        place(&mut j, n, m, 0.0);
        j.end_attempt(n, Outcome::Error, 1.0);
    }
    assert!(j.suspected_broken());
    assert_eq!(j.next_task(1.1), None);
    let n = j.next_task(60.0).expect("goes on trying");
    place(&mut j, n, "c", 60.0);
    assert_eq!(j.next_task(60.0), None);
    j.end_attempt(n, Outcome::Done, 61.0);
    assert!(!j.suspected_broken() && j.next_task(61.0).is_some());
}

fn deadline_ahead(due: Secs) -> Urgency {
    let deadline = DeadlineAhead { due, latest: due, stages: 1 };
    Urgency { priority: Priority::High, deadline: Some(deadline) }
}

#[test]
fn times_without_a_deadline_count_from_when_the_last_dependency_is_done() {
    let mut waiting = job(10);
    waiting.waits_for_dependencies = true;
    waiting.start_within = Some(40.0);
    assert_eq!(waiting.waiting(), 0, "it holds no part of a quota and rents nothing");
    waiting.dependencies_done(100.0);
    assert_eq!(waiting.waiting(), 10);
    let start = 100.0 + 40.0 * START_OBJECTIVE_SHARE;
    assert_eq!(waiting.due(), start + 10.0 * RENT_SPREAD);
}

#[test]
fn a_deadline_is_inherited_with_the_priority_and_stays_however_long_the_job_waits() {
    let mut upstream = job(10);
    assert!(upstream.inherit(deadline_ahead(60.0)));
    assert!(!upstream.inherit(deadline_ahead(70.0)), "a later one changes nothing");
    upstream.dependencies_done(30.0);
    assert_eq!((upstream.due(), upstream.priority()), (60.0, Priority::High));
    assert_eq!(upstream.spec().priority, Priority::Normal);
}

#[test]
fn likely_end_is_that_of_the_last_task() {
    let mut running = job(2);
    place(&mut running, 0, "a", 0.0);
    place(&mut running, 1, "b", 5.0);
    assert_eq!(running.likely_end(6.0, 1.0), 15.0);
    assert_eq!(running.likely_end(14.0, 1.0), 14.0 + 10.0 * OVERDUE_SHARE);
    assert_eq!(job(2).likely_end(6.0, 1.0), 17.0, "what waits has its run before it");
}
