//! Pipelines of jobs with DAG dependencies: no task starts before every job its job
//! needs is done (`too_early`), and the jobs after a cancelled one are told aborted
//! within the cancellation's time (`orphaned`), through failover, lost answers of the
//! write of `done`, late copies of heartbeats and restarts within a second.

use crate::at_leader;
use marblebarrow_proto::wire::Stage;
use marblebarrow_rehearsal::world::{CascadePlan, CascadeTimes, StoreLimits, Trouble, World};

/// Plays a day with pipelines of three jobs under the troubles, over several seeds; every
/// fourth job is called off a second after it was accepted.
fn pipelines_under(troubles: &[(u32, Trouble)]) -> (u32, u32) {
    let mut followers_started = 0;
    let mut cascades = 0;
    for seed in 0..6u64 {
        let mut world = World::new(seed, troubles.to_vec());
        (world.width, world.pace, world.no_services) = (3, (10, 600), true);
        world.pipeline = Some(3);
        world.quarter = true;
        world.run(2_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} {troubles:?}");
        followers_started += world.met.dependents_started;
        cascades += world.met.cascaded;
    }
    (followers_started, cascades)
}

#[test]
fn pipelines_wait_and_cascade_on_a_quiet_day() {
    let (started, cascaded) = pipelines_under(&[]);
    assert!(started > 30, "only {started} jobs after others began");
    assert!(cascaded > 3, "only {cascaded} jobs cancelled by a cascade");
}

#[test]
fn pipelines_hold_through_failover_and_lost_answers() {
    let (started, cascaded) = pipelines_under(&[
        (150, Trouble::AnswersLost(120)),
        (200, at_leader(Trouble::Crash(0, 3))),
        (260, Trouble::LateCopies(200)),
        (300, at_leader(Trouble::Crash(0, 40))),
        (380, Trouble::LateWrites(150)),
        (420, Trouble::CrashAll(2)),
        (470, at_leader(Trouble::Freeze(0, 30))),
    ]);
    assert!(started > 30, "only {started} jobs after others began");
    assert!(cascaded > 3, "only {cascaded} jobs cancelled by a cascade");
}

/// A cascade cancellation that was carried out though its answer was lost isn't repeated for
/// good: each failed repetition counts against the store's rate of changes, and the few that
/// may be under way at once would hold up all later ones.
#[test]
fn a_cascade_whose_answer_was_lost_is_not_repeated_for_good() {
    for seed in 0..6u64 {
        let mut world = World::new(seed, vec![(20, Trouble::AnswersLost(580))]);
        (world.width, world.pace, world.no_services) = (3, (10, 600), true);
        world.pipeline = Some(3);
        world.quarter = true;
        world.run(2_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert!(world.met.cascaded > 3, "seed {seed}: {} cascaded", world.met.cascaded);
        let late = world.met.conflicts.iter().filter(|at| **at > 1_500).count();
        assert!(late < 10, "seed {seed}: {late} transactions refused in the last 50 s");
    }
}

/// A job accepted as queued though one it names was cancelled just before, and is over: the
/// leader finds that in the store and cancels it, and so does the next leader if this one
/// ends first.
#[test]
fn a_job_accepted_as_its_dependency_was_cancelled_is_cancelled_too() {
    let leader_ends = |at| (at, at_leader(Trouble::Crash(0, 40)));
    for troubles in [vec![], vec![leader_ends(151)], vec![leader_ends(153)]] {
        for seed in 0..4u64 {
            let mut world = World::new(seed, troubles.clone());
            (world.width, world.pace, world.no_services) = (3, (25, 300), true);
            world.play(150);
            let job = world.accept_after_cancellation();
            world.run(600);
            assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} {troubles:?}");
            let told = world.told(&job);
            assert!(matches!(told, Some((Stage::Cancelled, _))), "seed {seed}: {told:?}");
            assert!(!world.begun.contains_key(&job), "seed {seed}: it started");
        }
    }
}
/// The smallest limits that were announced: 15 changes a second, five in a transaction.
const LIMITS: StoreLimits = StoreLimits {
    requests_per_s: 100.0,
    changes_per_s: 15.0,
    changes_per_transaction: 5,
    value_bytes: 2 * 1024,
    announced: true,
    from: 0,
};
/// When the root of the cascade is cancelled, in steps.
const CASCADE_AT: u32 = 1_400;
/// Jobs after it.
const FOLLOWERS: u32 = 1_000;
/// The least time that cancellations have at the operators' sites, seconds.
const CANCEL_S: f64 = 32.0;

/// A cascade of a thousand jobs in pipelines of so many, beside other jobs, on a store with
/// the smallest limits.
fn cascade(seed: u64, depth: u32, troubles: &[(u32, Trouble)]) -> World {
    let mut world = World::new(seed, troubles.to_vec());
    (world.width, world.pace, world.no_services) = (1, (50, 3_000), true);
    (world.gaps, world.gap_s, world.page) = (true, 100_000.0, 100);
    (world.poll_every, world.store_limits) = (50, Some(LIMITS));
    world.cascade = Some(CascadePlan {
        first: 1_001,
        followers: FOLLOWERS,
        depth,
        submit_from: 100,
        per_step: 1,
        cancel_at: CASCADE_AT,
    });
    world
}

/// Runs until users have been told of the whole cascade; returns how long that took.
fn tell_all(world: &mut World) -> CascadeTimes {
    world.play(CASCADE_AT - 1);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.cascade_accepted(), FOLLOWERS as usize + 1);
    let before = world.store_work.changes;
    world.play(CASCADE_AT + 400);
    assert_eq!(world.broken, Vec::<String>::new());
    let times = world.cascade_times().expect("the root is cancelled");
    let (changes, met) = (world.store_work.changes - before, &world.met);
    println!("{times:?}; {changes} changes in 40 s, {} in the busiest second", world.changes);
    println!("{} refusals, {} unanswered polls", met.store_refusals, met.cascade_unanswered);
    assert_eq!(times.jobs, FOLLOWERS as usize);
    assert!(times.max_s < CANCEL_S, "{times:?}");
    times
}

#[test]
fn a_thousand_jobs_are_aborted_in_time_by_a_slow_store() {
    let mut world = cascade(1, 20, &[]);
    let times = tell_all(&mut world);
    // Users ask every five seconds.
    assert!(times.p99_s < 6.0, "{times:?}");
    assert!(world.cascade_lists() > 0);
    // The final states follow, and then the lists go.
    world.run(CASCADE_AT + 7_000);
    assert_eq!(world.broken, Vec::<String>::new());
    println!("{} ends, {} refusals", world.ends(), world.met.store_refusals);
    assert_eq!(world.cascade_lists(), 0);
    assert!(world.ends() > FOLLOWERS as usize);
    assert!(world.changes <= 2 * LIMITS.changes_per_s as usize, "{} a second", world.changes);
}

/// Leaders end while the lists are written and after, answers of transactions are lost, and
/// some transactions take effect late, after newer ones.
#[test]
fn a_thousand_jobs_are_aborted_through_failover_and_lost_answers() {
    let after = |steps: u32, trouble| (CASCADE_AT + steps, trouble);
    let days: [&[(u32, Trouble)]; 3] = [
        &[
            after(0, Trouble::AnswersLost(100)),
            after(5, at_leader(Trouble::Crash(0, 30))),
            after(60, at_leader(Trouble::Crash(0, 5))),
            after(90, Trouble::CrashAll(3)),
        ],
        &[
            after(0, Trouble::LateWrites(150)),
            after(6, at_leader(Trouble::Freeze(0, 60))),
            after(70, at_leader(Trouble::Crash(0, 20))),
        ],
        &[after(3, at_leader(Trouble::StoreRefuses(0, 40))), after(8, Trouble::CrashAll(10))],
    ];
    for (seed, troubles) in (2..).zip(days) {
        let mut world = cascade(seed, 20, troubles);
        tell_all(&mut world);
        if seed == 2 {
            // The last leader goes on from the lists that it found.
            world.run(CASCADE_AT + 7_500);
            assert_eq!(world.broken, Vec::<String>::new());
            assert_eq!(world.cascade_lists(), 0);
        }
    }
}

/// A controller's watch brings nothing, and users ask all controllers right after one said
/// aborted: the one that is behind answers no job with something older.
#[test]
fn a_controller_that_is_behind_says_nothing_older_than_aborted() {
    for stuck in 0..3 {
        let mut world = cascade(
            5 + stuck as u64,
            20,
            &[
                (CASCADE_AT - 2, Trouble::WatchStuck(stuck, 150)),
                (CASCADE_AT, Trouble::CloseLooks(200)),
            ],
        );
        tell_all(&mut world);
        assert!(world.met.looks >= FOLLOWERS, "{} looks", world.met.looks);
        assert!(world.met.cascade_unanswered > 0);
    }
}
