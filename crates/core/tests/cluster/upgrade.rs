//! The version gate through a rolling upgrade: pipelines are refused until every controller
//! runs the new version, and taken from then on by every process, also by one that begins
//! while another controller is down.

use crate::at_leader;
use marblebarrow_core::consts::DEPENDENCIES_FORMAT;
use marblebarrow_proto::ids::JobId;
use marblebarrow_rehearsal::world::{Trouble, World};

/// Controllers in the world.
const CONTROLLERS: usize = 3;
/// Jobs of a pipeline; the first names none.
const PIPELINE: u32 = 3;

/// A day that begins with the version in production everywhere; its users submit pipelines.
fn day_of_upgrade(seed: u64, troubles: Vec<(u32, Trouble)>) -> World {
    let mut world = World::new(seed, troubles);
    (world.width, world.pace, world.no_services) = (3, (10, 900), true);
    world.pipeline = Some(PIPELINE);
    world.begin_upgrade();
    world
}

/// Steps at which a job that names dependencies was first told accepted.
fn pipelines_accepted(world: &World) -> Vec<u32> {
    let number = |id: &JobId| id.as_str()["req-".len()..].parse::<u32>().expect("a number");
    let named = world.accepted_at.iter().filter(|(id, _)| number(id) % PIPELINE != 0);
    named.map(|(_, at)| *at).collect()
}

fn no_gate_is_open(world: &World) -> bool {
    (0..CONTROLLERS).all(|n| world.dependencies_allowed(n) != Some(true))
}

/// Replaces the controllers one after the other; returns when the last has its new version.
fn upgrade(world: &mut World) -> u32 {
    for n in 0..CONTROLLERS {
        world.restart(n, DEPENDENCIES_FORMAT, 20);
        assert!(no_gate_is_open(world), "before c{n} is new");
        assert_eq!(world.format_in_store(), None, "before c{n} is new");
        world.play(100 * (n as u32 + 2));
    }
    100 * (CONTROLLERS as u32 + 1)
}

#[test]
fn a_process_that_begins_while_another_is_down_takes_pipelines_after_the_upgrade() {
    for seed in 0..4 {
        let mut world = day_of_upgrade(seed, Vec::new());
        world.play(100);
        let upgraded = upgrade(&mut world);
        assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT), "seed {seed}");
        let last_turn = upgraded - 100;
        let early: Vec<u32> =
            pipelines_accepted(&world).into_iter().filter(|at| *at < last_turn).collect();
        assert_eq!(early, Vec::<u32>::new(), "seed {seed}: accepted before all were new");
        // All end at once, and c1 stays away: nobody has heard it since.
        for n in 0..CONTROLLERS {
            world.restart(n, DEPENDENCIES_FORMAT, if n == 1 { 300 } else { 5 });
        }
        world.play(upgraded + 250);
        assert_eq!(world.dependencies_allowed(1), None, "c1 is down");
        for n in [0, 2] {
            assert_eq!(world.dependencies_allowed(n), Some(true), "seed {seed}: c{n}");
        }
        let since = pipelines_accepted(&world).into_iter().filter(|at| *at > upgraded + 5).count();
        assert!(since > 5, "seed {seed}: {since} accepted while c1 was down");
        world.run(2_400);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// Without the record of a complete upgrade a process must hear all: one controller that was
/// last heard old, or was never heard, keeps every gate shut and the record unwritten,
/// through whatever goes wrong.
#[test]
fn nothing_is_recorded_and_no_pipeline_taken_while_one_controller_is_old() {
    for seed in 0..6 {
        let mut world = day_of_upgrade(
            seed,
            vec![
                (200, at_leader(Trouble::Crash(0, 5))),
                (250, Trouble::PeersRefuse(60)),
                (340, Trouble::Crash(1, 100)),
                (360, Trouble::Crash(0, 5)),
                (420, Trouble::AnswersLost(80)),
                (460, Trouble::Isolated(2, 60)),
                (560, Trouble::LateWrites(80)),
                (600, Trouble::CrashAll(5)),
                (700, at_leader(Trouble::Freeze(0, 30))),
            ],
        );
        world.play(100);
        for n in [0, 2] {
            world.restart(n, DEPENDENCIES_FORMAT, 5);
        }
        while world.elapsed() < 900 && world.broken.is_empty() {
            world.advance(900);
            assert!(no_gate_is_open(&world), "seed {seed} step {}", world.elapsed());
            assert_eq!(world.format_in_store(), None, "seed {seed} step {}", world.elapsed());
        }
        assert_eq!(pipelines_accepted(&world), Vec::<u32>::new(), "seed {seed}");
        // Its turn comes in the end.
        world.restart(1, DEPENDENCIES_FORMAT, 5);
        world.play(1_000);
        assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT), "seed {seed}");
        assert!(!pipelines_accepted(&world).is_empty(), "seed {seed}");
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// The record comes and stays though answers to its write are lost and old tries take effect
/// late, and a leader that ends is followed by one that writes it.
#[test]
fn the_record_is_written_through_lost_answers_late_writes_and_a_failover() {
    for seed in 0..6 {
        let troubles = vec![
            (295, Trouble::AnswersLost(200)),
            (295, Trouble::LateWrites(200)),
            (330, at_leader(Trouble::Crash(0, 20))),
        ];
        let mut world = day_of_upgrade(seed, troubles);
        world.play(100);
        upgrade(&mut world);
        let mut recorded = None;
        while world.elapsed() < 2_400 && world.broken.is_empty() {
            world.advance(2_400);
            let now = world.format_in_store();
            assert!(now >= recorded, "seed {seed}: {now:?} after {recorded:?}");
            recorded = now;
        }
        assert_eq!(recorded, Some(DEPENDENCIES_FORMAT), "seed {seed}");
        world.check_over();
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        let late = world.met.conflicts.iter().filter(|at| **at > 1_500).count();
        assert!(late < 10, "seed {seed}: {late} transactions refused after the troubles");
    }
}

/// A record higher than what all were heard to run, as a later version left it, is kept.
#[test]
fn the_record_never_falls() {
    let mut world = day_of_upgrade(1, Vec::new());
    world.record_format(DEPENDENCIES_FORMAT + 1);
    for n in 0..CONTROLLERS {
        world.restart(n, DEPENDENCIES_FORMAT, n as u32);
    }
    world.play(300);
    assert_eq!(world.format_in_store(), Some(DEPENDENCIES_FORMAT + 1));
    assert!((0..CONTROLLERS).all(|n| world.dependencies_allowed(n) == Some(true)));
    assert_eq!(world.broken, Vec::<String>::new());
}
