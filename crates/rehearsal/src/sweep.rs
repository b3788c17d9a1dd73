//! Runs a check over a range of seeds. CI uses a few fixed seeds. If the environment variable
//! `SWEEP_SEEDS=FROM..TO` is set, a sweep runs those seeds instead, on all cores, and prints the
//! result of each failing seed:
//!
//! ```text
//! SWEEP_SEEDS=0..240 cargo test --release -p marblebarrow-core --test cluster -- \
//!     --nocapture sweep_one_down
//! ```

use std::env;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Environment variable that replaces the seeds of a sweep.
const SEEDS_VARIABLE: &str = "SWEEP_SEEDS";

/// A failing seed and the description of its failure.
struct Failure {
    seed: u64,
    text: String,
}

/// The seeds from the environment variable, or the default ones.
fn seeds(usual: &[u64]) -> Vec<u64> {
    let Ok(asked) = env::var(SEEDS_VARIABLE) else { return usual.to_vec() };
    let range = asked.split_once("..").and_then(|(from, to)| {
        let (from, to) = (from.parse::<u64>().ok()?, to.parse::<u64>().ok()?);
        Some((from..to).collect())
    });
    range.unwrap_or_else(|| panic!("{SEEDS_VARIABLE} must be FROM..TO, not {asked}"))
}

/// Runs the check for all seeds on all cores, prints each failing seed, and panics if there are
/// any.
pub fn sweep(name: &str, usual: &[u64], check: impl Fn(u64) -> Result<(), String> + Sync) {
    let seeds = seeds(usual);
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    let cores = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if let Err(text) = check(seed) {
                        failures.lock().expect("no panic").push(Failure { seed, text });
                    }
                }
            });
        }
    });
    let mut failures = failures.into_inner().expect("no panic");
    failures.sort_by_key(|failure| failure.seed);
    for failure in &failures {
        println!("{name} seed {}: {}", failure.seed, failure.text);
    }
    println!("{name}: {} of {} seeds fail", failures.len(), seeds.len());
    let failed: Vec<u64> = failures.iter().map(|failure| failure.seed).collect();
    assert!(failed.is_empty(), "{name}: seeds {failed:?} fail");
}
