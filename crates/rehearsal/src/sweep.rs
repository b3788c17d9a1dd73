//! Sweeps of a check over seeds. CI plays a few fixed seeds; with the variable
//! `SWEEP_SEEDS=FROM..TO` a sweep plays those instead, on all cores, and prints what each
//! failing seed came to:
//!
//! ```text
//! SWEEP_SEEDS=0..240 cargo test --release -p marblebarrow-core --test cluster -- \
//!     --nocapture sweep_one_down
//! ```

use std::env;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The variable that widens a sweep.
const SEEDS_VARIABLE: &str = "SWEEP_SEEDS";

/// A seed, and what broke in its run.
struct Failure {
    seed: u64,
    text: String,
}

/// The seeds that were asked for, or the few that CI plays.
fn seeds(usual: &[u64]) -> Vec<u64> {
    let Ok(asked) = env::var(SEEDS_VARIABLE) else { return usual.to_vec() };
    let range = asked.split_once("..").and_then(|(from, to)| {
        let (from, to) = (from.parse::<u64>().ok()?, to.parse::<u64>().ok()?);
        Some((from..to).collect())
    });
    range.unwrap_or_else(|| panic!("{SEEDS_VARIABLE} is FROM..TO, not {asked}"))
}

/// Plays all seeds on all cores, prints each failing one, and panics if there are any.
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
