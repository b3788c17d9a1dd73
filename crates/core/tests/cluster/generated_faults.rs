//! Property tests with faults of generated kinds and times; the simulation checks all its rules.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, HoldPlan, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fault() -> impl Strategy<Value = (u32, Fault)> {
    let kind = prop_oneof![
        (0usize..3, 1u32..60).prop_map(|(n, s)| Fault::Crash(n, s)),
        (1u32..60).prop_map(Fault::CrashAll),
        // Restarts within a fraction of a second, also during an election.
        (0usize..3, 1u32..5).prop_map(|(n, s)| Fault::Crash(n, s)),
        (1u32..5).prop_map(Fault::CrashAll),
        (0usize..3, 1u32..200).prop_map(|(n, s)| Fault::CutFromStoreAndPeers(n, s)),
        (0usize..3, 1u32..400).prop_map(|(n, s)| Fault::Pause(n, s)),
        (0usize..8, 1u32..400).prop_map(|(m, s)| Fault::MachineReceivesNothing(m, s)),
        (0usize..8).prop_map(Fault::AgentRestarts),
        (10u32..400).prop_map(Fault::LateHeartbeatCopies),
        (1u32..200).prop_map(Fault::StoreSlow),
        (1u32..200).prop_map(Fault::PeersRefuse),
        (10u32..200).prop_map(Fault::LateWrites),
        (0u32..60, 1u32..300).prop_map(|(f, s)| Fault::BootTimes(f, s)),
        (1u32..60).prop_map(Fault::PollStorm),
        (0usize..8, 1u32..300).prop_map(|(m, s)| Fault::MachineSlow(m, s)),
        (1u32..150).prop_map(Fault::StoreDown),
        (0usize..3, 1u32..200).prop_map(|(n, s)| Fault::StoreRefuses(n, s)),
        (0usize..3, 1u32..200).prop_map(|(n, s)| Fault::WorkersCut(n, s)),
        (0usize..8, 1u32..400).prop_map(|(m, s)| Fault::MachinePartitioned(m, s)),
        (0usize..8).prop_map(Fault::MachineFails),
        (1u32..200).prop_map(Fault::CloudDown),
        held_commands(),
    ];
    (10u32..500, kind)
}

/// Single direct commands and answers are held for less or more than the time that a
/// cancellation may take.
fn held_commands() -> impl Strategy<Value = Fault> {
    let kind = (2u32..12, 1u32..300, 1u32..700, any::<bool>(), 1u32..400);
    kind.prop_map(|(one_in, min_steps, more, cancelled, steps)| {
        Fault::HeldCommands(
            HoldPlan { one_in, min_steps, max_steps: min_steps + more, answers: true, cancelled },
            steps,
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_under_generated_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec(fault(), 0..7),
        staggered_tasks in any::<bool>(),
        failing_job_interval in proptest::option::of(2u32..9),
    ) {
        let mut world = World::new(seed, faults);
        (world.staggered_tasks, world.failing_job_interval) =
            (staggered_tasks, failing_job_interval);
        world.max_tasks = if staggered_tasks { 3 } else { 6 };
        world.run(1_600);
        prop_assert_eq!(world.violations.clone(), Vec::<String>::new());
    }
}

/// The rarer faults, which the test below combines with the others.
fn rarer_fault() -> impl Strategy<Value = (u32, Fault)> {
    let kind = prop_oneof![
        (1u32..400).prop_map(|s| at_leader(Fault::WatchStuck(0, s))),
        (1u32..200).prop_map(|s| at_leader(Fault::StoreRefuses(0, s))),
        (1u32..200).prop_map(|s| at_leader(Fault::ZonePartitionedWithController("a", 0, s))),
        (1u32..60).prop_map(|s| at_leader(Fault::Crash(0, s))),
        (1u32..250).prop_map(Fault::StoreDown),
        (1usize..8).prop_map(Fault::CancelNow),
        (1u32..200).prop_map(Fault::AnswersLost),
        (1u32..200).prop_map(Fault::HeldHeartbeats),
        (1u32..100).prop_map(Fault::ClosePolling),
        (1u32..300).prop_map(Fault::CancelAtEnd),
        (0usize..8, 1u32..300).prop_map(|(m, s)| Fault::MachineReachesNoController(m, s)),
        (0usize..8, 1u32..200).prop_map(|(m, s)| Fault::MachineHangs(m, s)),
        (1u32..150).prop_map(Fault::NoMachineReachesController),
        held_commands(),
    ];
    (10u32..500, kind)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_under_rarer_faults(
        seed in any::<u64>(),
        rarer in proptest::collection::vec(rarer_fault(), 1..6),
        other_faults in proptest::collection::vec(fault(), 0..4),
        staggered_tasks in any::<bool>(),
        zone_bound_jobs in any::<bool>(),
    ) {
        let mut world = World::new(seed, rarer.into_iter().chain(other_faults).collect());
        (world.staggered_tasks, world.zone_bound_jobs, world.submit_unrunnable_jobs) =
            (staggered_tasks, zone_bound_jobs, true);
        world.max_tasks = if staggered_tasks { 3 } else { 6 };
        world.run(1_700);
        prop_assert_eq!(world.violations.clone(), Vec::<String>::new());
    }
}
