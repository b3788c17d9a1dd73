//! How often each job in another cell is polled, by simulated exchanges with that cell.

mod support;

use marblebarrow_cells::outbound::{EXCHANGE_JOBS_MAX, Outbound};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{ForwardRecord, TransferId};
use std::collections::{BTreeMap, BTreeSet};
use support::array;

/// Three exchange intervals, seconds.
const THREE_INTERVALS_S: f64 = 3.0;
/// Seconds between two checks for exchanges that are due.
const TICK_S: f64 = 0.1;
/// Seconds simulated.
const SIMULATED_S: f64 = 60.0;

fn target() -> CellName {
    CellName::new("target")
}

/// The home side of `jobs` jobs that the target has accepted.
fn home_with_jobs(jobs: usize) -> Outbound {
    let mut outbound = Outbound::default();
    for n in 0..jobs {
        let transfer = TransferId { home: CellName::new("home"), term: 1, number: n as u32 };
        let forward = ForwardRecord { transfer, target: target(), accepted: true };
        outbound.apply_record(0.0, &array(&format!("req-{n:06}")), Some(&forward));
    }
    outbound
}

/// Simulates exchanges of which every `fails_every`th, if given, reaches no leader. Returns the
/// longest time for which a job was not polled by a successful exchange, and the number of all
/// exchanges.
fn longest_poll_gap(jobs: usize, fails_every: Option<usize>) -> (f64, usize) {
    let mut outbound = home_with_jobs(jobs);
    let mut polled: BTreeMap<JobId, f64> = BTreeMap::new();
    let (mut longest, mut exchanges) = (0.0_f64, 0);
    for tick in 0..(SIMULATED_S / TICK_S) as u32 {
        let now = f64::from(tick) * TICK_S;
        if !outbound.exchange_due(now, &target()) {
            continue;
        }
        exchanges += 1;
        let tracked = outbound.next_tracked_jobs(&target(), &BTreeSet::new());
        assert!(tracked.len() <= EXCHANGE_JOBS_MAX);
        if fails_every.is_some_and(|every| exchanges % every == 0) {
            outbound.exchange_failed(now, &target());
            continue;
        }
        outbound.exchange_answered(&target());
        for job in tracked {
            let last = polled.insert(job.job, now).unwrap_or(0.0);
            longest = longest.max(now - last);
        }
    }
    assert_eq!(polled.len(), jobs, "every job was polled");
    (longest, exchanges)
}

/// Guards against polling too few jobs: with one message of 256 jobs a second, each of a thousand
/// jobs was polled only every four seconds, and its end became known more than three intervals
/// after it was durable.
#[test]
fn every_job_is_polled_within_three_intervals() {
    for jobs in [1, EXCHANGE_JOBS_MAX, EXCHANGE_JOBS_MAX + 1, 1_000, 2_000, 2_500] {
        let (longest, _) = longest_poll_gap(jobs, None);
        assert!(longest <= THREE_INTERVALS_S, "{jobs} jobs: {longest}");
    }
}

/// Guards against a delay after a failed exchange: an exchange that reached a controller that is
/// not the leader was repeated only a second later and polled other jobs, so that the jobs of the
/// failed one waited for a whole round.
#[test]
fn jobs_of_a_failed_exchange_are_polled_again_soon() {
    for fails_every in [2, 3, 5] {
        let (longest, _) = longest_poll_gap(1_000, Some(fails_every));
        assert!(longest <= THREE_INTERVALS_S, "every {fails_every}th fails: {longest}");
    }
}

/// The number of exchanges is bounded, however many jobs there are and however many exchanges fail.
#[test]
fn the_exchange_rate_is_bounded() {
    let (_, usual) = longest_poll_gap(EXCHANGE_JOBS_MAX - 1, None);
    assert!(usual <= SIMULATED_S as usize + 1, "{usual}");
    for (jobs, fails_every) in [(5_000, None), (1_000, Some(1))] {
        let mut outbound = home_with_jobs(jobs);
        let mut exchanges = 0;
        for tick in 0..(SIMULATED_S / TICK_S) as u32 {
            let now = f64::from(tick) * TICK_S;
            if outbound.exchange_due(now, &target()) {
                exchanges += 1;
                outbound.next_tracked_jobs(&target(), &BTreeSet::new());
                match fails_every {
                    Some(_) => outbound.exchange_failed(now, &target()),
                    None => outbound.exchange_answered(&target()),
                }
            }
        }
        assert!(exchanges <= 5 * SIMULATED_S as usize + 1, "{exchanges}");
    }
}
