//! The version gate during a rolling upgrade: pipelines are refused until every controller runs
//! the new version, and accepted from then on by every process, also by one that is started while
//! another controller is down.

use crate::at_leader;
use marblebarrow_core::consts::DEPENDENCIES_FORMAT;
use marblebarrow_proto::ids::JobId;
use marblebarrow_rehearsal::world::{Fault, World};

/// Controllers in the simulation.
const CONTROLLERS: usize = 3;
/// Jobs in a pipeline; the first one names no dependencies.
const PIPELINE: u32 = 3;

/// A world in which all controllers run the production version at first and users submit
/// pipelines.
fn upgrade_world(seed: u64, faults: Vec<(u32, Fault)>) -> World {
    let mut world = World::new(seed, faults);
    (world.max_tasks, world.submission_interval_and_end, world.no_services) = (3, (10, 900), true);
    world.pipeline = Some(PIPELINE);
    world.start_upgrade();
    world
}

/// Steps at which each job with dependencies was first reported as accepted.
fn pipelines_accepted(world: &World) -> Vec<u32> {
    let number = |id: &JobId| id.as_str()["req-".len()..].parse::<u32>().expect("a number");
    let named = world.accepted_at.iter().filter(|(id, _)| number(id) % PIPELINE != 0);
    named.map(|(_, at)| *at).collect()
}

fn no_gate_is_open(world: &World) -> bool {
    (0..CONTROLLERS).all(|n| world.dependencies_allowed(n) != Some(true))
}

/// Upgrades the controllers one after the other; returns the step by which the last one runs the
/// new version.
fn upgrade(world: &mut World) -> u32 {
    for n in 0..CONTROLLERS {
        world.restart(n, DEPENDENCIES_FORMAT, 20);
        assert!(no_gate_is_open(world), "before c{n} is upgraded");
        assert_eq!(world.format_in_store(), None, "before c{n} is upgraded");
        world.advance_to(100 * (n as u32 + 2));
    }
    100 * (CONTROLLERS as u32 + 1)
}

#[test]
fn a_process_started_while_another_is_down_accepts_pipelines_after_the_upgrade() {
    for seed in 0..4 {
        let mut world = upgrade_world(seed, Vec::new());
        world.advance_to(100);
        let upgraded = upgrade(&mut world);
        assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT), "seed {seed}");
        let last_upgrade_at = upgraded - 100;
        let early: Vec<u32> =
            pipelines_accepted(&world).into_iter().filter(|at| *at < last_upgrade_at).collect();
        assert_eq!(early, Vec::<u32>::new(), "seed {seed}: accepted before all were upgraded");
        // All controllers restart at once, and c1 stays down: no process has heard from it since.
        for n in 0..CONTROLLERS {
            world.restart(n, DEPENDENCIES_FORMAT, if n == 1 { 300 } else { 5 });
        }
        world.advance_to(upgraded + 250);
        assert_eq!(world.dependencies_allowed(1), None, "c1 is down");
        for n in [0, 2] {
            assert_eq!(world.dependencies_allowed(n), Some(true), "seed {seed}: c{n}");
        }
        let since = pipelines_accepted(&world).into_iter().filter(|at| *at > upgraded + 5).count();
        assert!(since > 5, "seed {seed}: {since} accepted while c1 was down");
        world.run(2_400);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Without the record of a complete upgrade, a process must have heard from all controllers. One
/// controller that was last heard with the old version, or was never heard, keeps every gate
/// closed and the record unwritten, whatever faults occur.
#[test]
fn no_format_is_recorded_and_no_pipeline_accepted_while_one_controller_is_old() {
    for seed in 0..6 {
        let mut world = upgrade_world(
            seed,
            vec![
                (200, at_leader(Fault::Crash(0, 5))),
                (250, Fault::PeersRefuse(60)),
                (340, Fault::Crash(1, 100)),
                (360, Fault::Crash(0, 5)),
                (420, Fault::AnswersLost(80)),
                (460, Fault::CutFromStoreAndPeers(2, 60)),
                (560, Fault::LateWrites(80)),
                (600, Fault::CrashAll(5)),
                (700, at_leader(Fault::Pause(0, 30))),
            ],
        );
        world.advance_to(100);
        for n in [0, 2] {
            world.restart(n, DEPENDENCIES_FORMAT, 5);
        }
        while world.elapsed() < 900 && world.violations.is_empty() {
            world.advance(900);
            assert!(no_gate_is_open(&world), "seed {seed} step {}", world.elapsed());
            assert_eq!(world.format_in_store(), None, "seed {seed} step {}", world.elapsed());
        }
        assert_eq!(pipelines_accepted(&world), Vec::<u32>::new(), "seed {seed}");
        // Finally the last controller is upgraded.
        world.restart(1, DEPENDENCIES_FORMAT, 5);
        world.advance_to(1_000);
        assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT), "seed {seed}");
        assert!(!pipelines_accepted(&world).is_empty(), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The record is written and kept although answers to its write are lost and earlier attempts take
/// effect late; if a leader crashes before writing it, the next leader does.
#[test]
fn the_format_record_is_written_despite_lost_answers_late_writes_and_a_failover() {
    for seed in 0..6 {
        let faults = vec![
            (295, Fault::AnswersLost(200)),
            (295, Fault::LateWrites(200)),
            (330, at_leader(Fault::Crash(0, 20))),
        ];
        let mut world = upgrade_world(seed, faults);
        world.advance_to(100);
        upgrade(&mut world);
        let mut recorded = None;
        while world.elapsed() < 2_400 && world.violations.is_empty() {
            world.advance(2_400);
            let now = world.format_in_store();
            assert!(now >= recorded, "seed {seed}: {now:?} after {recorded:?}");
            recorded = now;
        }
        assert_eq!(recorded, Some(DEPENDENCIES_FORMAT), "seed {seed}");
        world.check_completed();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        let late = world.observed.conflicts.iter().filter(|at| **at > 1_500).count();
        assert!(late < 10, "seed {seed}: {late} transactions refused after the faults");
    }
}

/// A recorded format higher than what all controllers run, left by a later version, is kept.
#[test]
fn the_recorded_format_is_never_lowered() {
    let mut world = upgrade_world(1, Vec::new());
    world.record_format(DEPENDENCIES_FORMAT + 1);
    for n in 0..CONTROLLERS {
        world.restart(n, DEPENDENCIES_FORMAT, n as u32);
    }
    world.advance_to(300);
    assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT + 1));
    assert!((0..CONTROLLERS).all(|n| world.dependencies_allowed(n) == Some(true)));
    assert_eq!(world.violations, Vec::<String>::new());
}
