//! The scenario of repeated commands: its verdict, that runs repeat, and that its faults take
//! effect.

use marblebarrow_rehearsal::repeated_commands::RepeatedOutcome;
use marblebarrow_rehearsal::scenario::{Outcome, Scenario};
use marblebarrow_rehearsal::world::RepeatCounts;

/// Least counts of all seeds together: copies of commands that name attempts which had been executed
/// and cleared, those of cancelled jobs, copies that a restarted worker executed before it was shown
/// a token, and copies that reached a worker after a restart or came from a process that had ended.
const LEAST: [u32; 5] = [480, 120, 60, 60, 240];

fn run(seed: u64) -> RepeatedOutcome {
    let verdict = Scenario::RepeatedCommands.run(seed);
    assert!(verdict.passed(), "{verdict}");
    let Outcome::RepeatedCommands(outcome) = verdict.outcome else {
        unreachable!("this scenario returns the counts of repeated commands");
    };
    outcome
}

#[test]
fn the_first_12_seeds_pass_and_their_faults_take_effect() {
    let mut total = RepeatCounts::default();
    (0..12).for_each(|seed| total.add(&run(seed).repeats));
    let met = [
        total.of_cleared_attempts,
        total.of_cancelled_jobs,
        total.without_token,
        total.after_restart,
        total.from_ended_process,
    ];
    assert!(met.iter().zip(LEAST).all(|(met, least)| *met >= least), "{total:?}");
}

/// Guards against restarted workers that start tasks because of copies for their former process.
/// These arrive at any moment, also before the leader can show the worker a token.
#[test]
fn restarted_workers_are_shown_a_token_before_late_copies_arrive() {
    for seed in [323, 1003, 1226] {
        run(seed);
    }
}

/// The same seed must give the same verdict, event for event.
#[test]
fn same_seed_repeats_a_run_and_another_seed_differs() {
    let digest = |seed| Scenario::RepeatedCommands.run(seed).digest;
    assert_eq!(digest(5), digest(5));
    assert_ne!(digest(5), digest(6));
}
