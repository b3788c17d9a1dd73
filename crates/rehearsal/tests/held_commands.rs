//! The scenario of delayed commands: its verdict, that runs repeat, and that its faults take
//! effect.

use marblebarrow_rehearsal::scenario::{Outcome, Scenario};

/// Runs these seeds. All must pass, with at least four commands per seed that arrive too late after
/// a cancellation, four starts that arrive after their worker waited for them, and four blocks of
/// fencing tokens reserved.
fn check_seeds(seeds: std::ops::Range<u64>) {
    let least = 4 * seeds.clone().count() as u32;
    let (mut too_late, mut discarded, mut raised) = (0, 0, 0);
    for seed in seeds {
        let verdict = Scenario::HeldCommands.run(seed);
        assert!(verdict.passed(), "{verdict}");
        let Outcome::HeldCommands(outcome) = verdict.outcome else {
            unreachable!("this scenario returns the counts of held commands");
        };
        too_late += outcome.commands_past_cancellation;
        discarded += outcome.discarded_starts;
        raised += outcome.fencing_tokens_raised;
    }
    assert!(too_late >= least, "only {too_late} commands arrived too late after a cancellation");
    assert!(discarded >= least, "only {discarded} starts were discarded");
    assert!(raised >= least, "only {raised} tokens were raised");
}

#[test]
fn the_first_25_seeds_pass_and_their_faults_take_effect() {
    check_seeds(0..25);
}

#[test]
fn the_next_25_seeds_pass_and_their_faults_take_effect() {
    check_seeds(25..50);
}

/// The same seed must give the same verdict, event for event.
#[test]
fn same_seed_repeats_a_run_and_another_seed_differs() {
    let digest = |seed| Scenario::HeldCommands.run(seed).digest;
    assert_eq!(digest(5), digest(5));
    assert_ne!(digest(5), digest(6));
}
