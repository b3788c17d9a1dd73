//! The rehearsal of held commands: its verdict, that it repeats, and that its troubles meet.

use marblebarrow_rehearsal::scenario::{Outcome, Scenario};

/// Plays these seeds: all pass, and starts arrive too late again and again.
fn pass(seeds: std::ops::Range<u64>) {
    let least = 4 * seeds.clone().count() as u32;
    let (mut past, mut raised) = (0, 0);
    for seed in seeds {
        let verdict = Scenario::HeldCommands.run(seed);
        assert!(verdict.passed(), "{verdict}");
        let Outcome::HeldCommands(outcome) = verdict.outcome else {
            unreachable!("the rehearsal of held commands tells of them");
        };
        past += outcome.starts_past_cancellation;
        raised += outcome.fencing_tokens_raised;
    }
    assert!(past >= least, "only {past} starts came past their cancellation");
    assert!(raised >= least, "only {raised} tokens were raised");
}

#[test]
fn the_first_twenty_five_seeds_pass_and_their_troubles_meet() {
    pass(0..25);
}

#[test]
fn the_next_twenty_five_seeds_pass_and_their_troubles_meet() {
    pass(25..50);
}

/// The same seed gives the same verdict, event for event.
#[test]
fn a_run_repeats_and_another_seed_differs() {
    let digest = |seed| Scenario::HeldCommands.run(seed).digest;
    assert_eq!(digest(5), digest(5));
    assert_ne!(digest(5), digest(6));
}
