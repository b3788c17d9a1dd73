//! Pipelines of jobs with DAG dependencies. No task starts before every job that its job depends
//! on is done (rule `too_early`), and the dependents of a cancelled job are reported as aborted
//! within the time limit of cancellations (rule `orphaned`), despite failover, lost answers to
//! the write of `done`, late copies of heartbeats and restarts within a second.

use crate::at_leader;
use marblebarrow_proto::wire::Stage;
use marblebarrow_rehearsal::world::{CascadePlan, CascadeTimes, Fault, StoreLimits, World};

/// Runs pipelines of three jobs under the faults, for several seeds; every fourth job is
/// cancelled a second after it was accepted. Returns how many dependents started and how many
/// jobs a cascade cancelled.
fn pipelines_under(faults: &[(u32, Fault)]) -> (u32, u32) {
    let mut dependents_started = 0;
    let mut cascades = 0;
    for seed in 0..6u64 {
        let mut world = World::new(seed, faults.to_vec());
        (world.max_tasks, world.submission_interval_and_end, world.no_services) =
            (3, (10, 600), true);
        world.pipeline = Some(3);
        world.cancel_every_fourth = true;
        world.run(2_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} {faults:?}");
        dependents_started += world.observed.dependents_started;
        cascades += world.observed.cascade_cancelled;
    }
    (dependents_started, cascades)
}

#[test]
fn pipelines_wait_and_cascade_without_faults() {
    let (started, cascaded) = pipelines_under(&[]);
    assert!(started > 30, "only {started} jobs after others began");
    assert!(cascaded > 3, "only {cascaded} jobs cancelled by a cascade");
}

#[test]
fn pipelines_hold_through_failover_and_lost_answers() {
    let (started, cascaded) = pipelines_under(&[
        (150, Fault::AnswersLost(120)),
        (200, at_leader(Fault::Crash(0, 3))),
        (260, Fault::LateHeartbeatCopies(200)),
        (300, at_leader(Fault::Crash(0, 40))),
        (380, Fault::LateWrites(150)),
        (420, Fault::CrashAll(2)),
        (470, at_leader(Fault::Pause(0, 30))),
    ]);
    assert!(started > 30, "only {started} jobs after others began");
    assert!(cascaded > 3, "only {cascaded} jobs cancelled by a cascade");
}

/// A cascade cancellation that was executed although its answer was lost must not be retried
/// forever: each failed retry counts against the store's rate limit, and only a few may be in
/// flight at once, so they would delay all later ones.
#[test]
fn a_cascade_whose_answer_was_lost_is_not_retried_forever() {
    for seed in 0..6u64 {
        let mut world = World::new(seed, vec![(20, Fault::AnswersLost(580))]);
        (world.max_tasks, world.submission_interval_and_end, world.no_services) =
            (3, (10, 600), true);
        world.pipeline = Some(3);
        world.cancel_every_fourth = true;
        world.run(2_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            world.observed.cascade_cancelled > 3,
            "seed {seed}: {} cascaded",
            world.observed.cascade_cancelled
        );
        let late = world.observed.conflicts.iter().filter(|at| **at > 1_500).count();
        assert!(late < 10, "seed {seed}: {late} transactions refused in the last 50 s");
    }
}

/// A job is accepted as queued although one of its dependencies was cancelled just before and has
/// ended. The leader finds this in the store and cancels the job, and so does the next leader if
/// the first one crashes before.
#[test]
fn a_job_accepted_as_its_dependency_was_cancelled_is_cancelled_too() {
    let leader_crash = |at| (at, at_leader(Fault::Crash(0, 40)));
    for faults in [vec![], vec![leader_crash(151)], vec![leader_crash(153)]] {
        for seed in 0..4u64 {
            let mut world = World::new(seed, faults.clone());
            (world.max_tasks, world.submission_interval_and_end, world.no_services) =
                (3, (25, 300), true);
            world.advance_to(150);
            let job = world.accept_after_cancellation();
            world.run(600);
            assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} {faults:?}");
            let reported = world.last_reported(&job);
            assert!(matches!(reported, Some((Stage::Cancelled, _))), "seed {seed}: {reported:?}");
            assert!(!world.started_at.contains_key(&job), "seed {seed}: the job started");
        }
    }
}
/// The smallest limits that the state service announces: 15 changes per second, five per
/// transaction.
const LIMITS: StoreLimits = StoreLimits {
    requests_per_s: 100.0,
    changes_per_s: 15.0,
    changes_per_transaction: 5,
    value_bytes: 2 * 1024,
    announced: true,
    from: 0,
};
/// Step at which the root of the cascade is cancelled.
const CASCADE_AT: u32 = 1_400;
/// Jobs that depend, directly or not, on the root of the cascade.
const DEPENDENTS: u32 = 1_000;
/// Shortest time limit for cancellations at any site of the operators, seconds.
const CANCEL_S: f64 = 32.0;

/// A cascade of a thousand jobs in pipelines of the given depth, alongside other jobs, on a store
/// with the smallest limits.
fn cascade(seed: u64, depth: u32, faults: &[(u32, Fault)]) -> World {
    let mut world = World::new(seed, faults.to_vec());
    (world.max_tasks, world.submission_interval_and_end, world.no_services) =
        (1, (50, 3_000), true);
    (world.staggered_tasks, world.stagger_s, world.store_page_keys) = (true, 100_000.0, 100);
    (world.poll_every, world.store_limits) = (50, Some(LIMITS));
    world.cascade = Some(CascadePlan {
        first: 1_001,
        dependents: DEPENDENTS,
        depth,
        submit_from: 100,
        per_step: 1,
        cancel_at: CASCADE_AT,
    });
    world
}

/// Runs until users have been told of every cancelled job; returns how long that took.
fn run_until_all_reported(world: &mut World) -> CascadeTimes {
    world.advance_to(CASCADE_AT - 1);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.cascade_accepted(), DEPENDENTS as usize + 1);
    let before = world.store_work.changes;
    world.advance_to(CASCADE_AT + 400);
    assert_eq!(world.violations, Vec::<String>::new());
    let times = world.cascade_times().expect("the root is cancelled");
    let (changes, observed) = (world.store_work.changes - before, &world.observed);
    println!(
        "{times:?}; {changes} changes in 40 s, {} in the busiest second",
        world.max_changes_per_second
    );
    println!(
        "{} refusals, {} unanswered polls",
        observed.store_refusals, observed.cascade_unanswered
    );
    assert_eq!(times.jobs, DEPENDENTS as usize);
    assert!(times.max_s < CANCEL_S, "{times:?}");
    times
}

#[test]
fn a_thousand_jobs_are_aborted_in_time_with_the_smallest_store_limits() {
    let mut world = cascade(1, 20, &[]);
    let times = run_until_all_reported(&mut world);
    // Users poll every five seconds.
    assert!(times.p99_s < 6.0, "{times:?}");
    assert!(world.cascade_lists() > 0);
    // The final states are written later, and then the cascade lists are deleted.
    world.run(CASCADE_AT + 7_000);
    assert_eq!(world.violations, Vec::<String>::new());
    println!("{} ends, {} refusals", world.recorded_ends(), world.observed.store_refusals);
    assert_eq!(world.cascade_lists(), 0);
    assert!(world.recorded_ends() > DEPENDENTS as usize);
    assert!(
        world.max_changes_per_second <= 2 * LIMITS.changes_per_s as usize,
        "{} a second",
        world.max_changes_per_second
    );
}

/// Leaders crash while the cascade lists are written and after that, answers to transactions are
/// lost, and some transactions take effect late, after newer ones.
#[test]
fn a_thousand_jobs_are_aborted_through_failover_and_lost_answers() {
    let after = |steps: u32, fault| (CASCADE_AT + steps, fault);
    let fault_plans: [&[(u32, Fault)]; 3] = [
        &[
            after(0, Fault::AnswersLost(100)),
            after(5, at_leader(Fault::Crash(0, 30))),
            after(60, at_leader(Fault::Crash(0, 5))),
            after(90, Fault::CrashAll(3)),
        ],
        &[
            after(0, Fault::LateWrites(150)),
            after(6, at_leader(Fault::Pause(0, 60))),
            after(70, at_leader(Fault::Crash(0, 20))),
        ],
        &[after(3, at_leader(Fault::StoreRefuses(0, 40))), after(8, Fault::CrashAll(10))],
    ];
    for (seed, faults) in (2..).zip(fault_plans) {
        let mut world = cascade(seed, 20, faults);
        run_until_all_reported(&mut world);
        if seed == 2 {
            // The last leader continues from the lists that it found in the store.
            world.run(CASCADE_AT + 7_500);
            assert_eq!(world.violations, Vec::<String>::new());
            assert_eq!(world.cascade_lists(), 0);
        }
    }
}

/// A controller's watch is stuck, and users ask all controllers right after one reported a job
/// as aborted: the lagging controller must not answer with an older state.
#[test]
fn a_lagging_controller_reports_no_state_older_than_aborted() {
    for stuck in 0..3 {
        let mut world = cascade(
            5 + stuck as u64,
            20,
            &[
                (CASCADE_AT - 2, Fault::WatchStuck(stuck, 150)),
                (CASCADE_AT, Fault::ClosePolling(200)),
            ],
        );
        run_until_all_reported(&mut world);
        assert!(
            world.observed.close_polls >= DEPENDENTS,
            "{} close polls",
            world.observed.close_polls
        );
        assert!(world.observed.cascade_unanswered > 0);
    }
}
