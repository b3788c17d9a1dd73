//! Combinations of faults that the operators have listed, each run with several seeds.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, Observations, World};

/// Runs a combination of faults for 12 seeds, at the given times or some seconds later, with
/// jobs whose tasks end far apart and many cancellations. `occurrences` counts after each run how
/// often the faults took effect, which must be at least `min_total` in all runs together.
fn run_and_count(
    faults: &[(u32, Fault)],
    occurrences: impl Fn(&Observations) -> u32,
    min_total: u32,
) {
    let mut total = 0;
    for seed in 0..12u64 {
        let shift = (seed % 4) as u32 * 17;
        let shifted_faults = faults.iter().map(|(at, t)| (at + shift, t.clone())).collect();
        let mut world = World::new(seed, shifted_faults);
        (world.staggered_tasks, world.max_tasks, world.submission_interval_and_end) =
            (true, 3, (12, 500));
        world.run(1_700);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} {faults:?}");
        assert!(world.starts > 60, "seed {seed}: only {} starts", world.starts);
        total += occurrences(&world.observed);
    }
    assert!(total >= min_total, "the faults coincided only {total} times");
}

fn changes(observed: &Observations) -> u32 {
    observed.changes_of_leader.len() as u32
}

/// Leadership moves between controllers and back, all controllers crash and only one returns,
/// also within a second.
#[test]
fn leadership_moves_back_and_forth_within_a_second() {
    run_and_count(
        &[
            (200, at_leader(Fault::Crash(0, 4))),
            (205, at_leader(Fault::Crash(0, 2))),
            (232, at_leader(Fault::Crash(0, 6))),
            (236, Fault::CrashAll(3)),
            (240, Fault::Crash(1, 300)),
            (240, Fault::Crash(2, 300)),
            (262, at_leader(Fault::Crash(0, 1))),
        ],
        changes,
        24,
    );
}

/// A leader is cut off from the state service and the other controllers, but not from workers
/// and users, while jobs are cancelled through the new leader.
#[test]
fn cancelled_through_the_new_leader_while_the_old_is_cut_off() {
    run_and_count(
        &[
            (180, at_leader(Fault::CutFromStoreAndPeers(0, 250))),
            (330, at_leader(Fault::CutFromStoreAndPeers(0, 250))),
            (340, Fault::LateHeartbeatCopies(200)),
        ],
        |observed| changes(observed).min(observed.cancelled.len() as u32),
        24,
    );
}

/// The state service is slow, refuses only the leader, and then is down for longer than a
/// cancelled task may run.
#[test]
fn the_store_refuses_the_leader_and_then_everyone() {
    run_and_count(
        &[
            (150, Fault::StoreSlow(120)),
            (200, at_leader(Fault::StoreRefuses(0, 300))),
            (260, Fault::StoreDown(260)),
            (600, at_leader(Fault::StoreRefuses(0, 40))),
            (615, Fault::StoreDown(30)),
        ],
        changes,
        12,
    );
}

/// Tasks of a job end far apart, and the leader changes several times in between.
#[test]
fn tasks_end_far_apart_across_changes_of_leader() {
    let crash = |at| (at, at_leader(Fault::Crash(0, 50)));
    run_and_count(
        &[crash(160), crash(230), crash(300), crash(370), crash(440), crash(510)],
        changes,
        60,
    );
}

/// Old heartbeats arrive after newer ones, also from earlier agent epochs and attempts.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    run_and_count(
        &[
            (120, Fault::LateHeartbeatCopies(400)),
            (150, Fault::MachineReceivesNothing(0, 130)),
            (170, Fault::MachinePartitioned(1, 120)),
            (200, at_leader(Fault::Crash(0, 20))),
            (320, Fault::MachineReceivesNothing(2, 130)),
            (330, at_leader(Fault::WorkersCut(0, 60))),
        ],
        |observed| observed.copies.min(observed.undelivered_answers * 10),
        240,
    );
}

/// Commands and their answers are delayed for seconds while the machines keep running.
#[test]
fn commands_delayed_for_seconds() {
    let held = |at, m| (at, Fault::MachinePartitioned(m, 40));
    run_and_count(
        &[
            held(140, 0),
            held(150, 1),
            held(160, 2),
            (170, Fault::MachineReceivesNothing(3, 60)),
            held(205, 3),
            held(215, 1),
            held(250, 0),
            held(290, 3),
            (255, at_leader(Fault::Crash(0, 10))),
            held(330, 1),
            held(335, 2),
            (360, at_leader(Fault::Pause(0, 35))),
        ],
        |observed| observed.delayed_commands,
        24,
    );
}

/// Transactions without an answer take effect late, after newer ones.
#[test]
fn writes_take_effect_late_and_out_of_order() {
    run_and_count(
        &[
            (120, Fault::LateWrites(200)),
            (200, at_leader(Fault::Crash(0, 15))),
            (240, at_leader(Fault::Pause(0, 40))),
            (330, Fault::LateWrites(150)),
            (350, Fault::CrashAll(4)),
        ],
        |observed| observed.late_writes,
        120,
    );
}

/// A leader crashes while machines with long tasks are unreachable or don't receive the new
/// leader's answers.
#[test]
fn a_leader_crashes_while_machines_are_unreachable() {
    run_and_count(
        &[
            (190, Fault::MachinePartitioned(0, 60)),
            (192, Fault::MachineReceivesNothing(1, 70)),
            (195, Fault::MachinePartitioned(2, 200)),
            (200, at_leader(Fault::Crash(0, 30))),
            (215, Fault::MachineReceivesNothing(3, 200)),
            (260, at_leader(Fault::Crash(0, 30))),
        ],
        |observed| observed.undelivered_answers.min(changes(observed) * 10),
        24,
    );
}

/// Pairs of faults that are not in the operators' list.
#[test]
fn unlisted_pairs_of_faults() {
    run_and_count(
        &[
            (150, Fault::BootTimes(50, 200)),
            (160, Fault::MachineFails(0)),
            (160, Fault::MachineFails(1)),
            (170, Fault::LateWrites(100)),
            (175, Fault::CloudDown(80)),
            (200, Fault::PollStorm(40)),
            (205, at_leader(Fault::StoreRefuses(0, 60))),
            (230, Fault::PeersRefuse(150)),
            (300, at_leader(Fault::Pause(0, 50))),
            (310, Fault::BootTimes(0, 200)),
            (320, Fault::AgentRestarts(2)),
            (340, Fault::CrashAll(2)),
        ],
        |observed| observed.late_writes.min(changes(observed) * 10),
        60,
    );
}
