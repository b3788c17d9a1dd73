//! Pipelines of jobs with DAG dependencies: no task starts before every job its job
//! needs is done (`too_early`), and the jobs after a cancelled one are told aborted
//! within the cancellation's time (`orphaned`), through failover, lost answers of the
//! write of `done`, late copies of heartbeats and restarts within a second.

use super::*;
use marblebarrow_proto::wire::Stage;

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
