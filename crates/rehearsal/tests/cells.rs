//! Three cells with links that lose, double and delay messages.

use marblebarrow_rehearsal::scenario::Scenario;

#[test]
fn scenarios_pass() {
    for scenario in Scenario::ALL {
        for seed in 0..6 {
            let verdict = scenario.run(seed);
            eprintln!("{verdict}");
            assert!(verdict.passed(), "{verdict}");
            assert!(verdict.met.moved >= 3, "{verdict}");
        }
    }
}
