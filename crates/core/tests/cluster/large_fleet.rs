//! Four thousand machines: what they run, a takeover with a quarter of them dead, and what
//! that costs the store and the links, in counts and bytes.

use marblebarrow_rehearsal::world::{CascadePlan, StoreLimits, Trouble, World};

const MACHINES: usize = 4_200;
/// Replicas of each service; half of the jobs are services.
pub(crate) const REPLICAS: u32 = 600;
/// When a quarter of the machines dies and all controllers end, in steps.
pub(crate) const LOSS_AT: u32 = 640;
/// Bytes that values stay below here: half of what the store takes.
const VALUE_LIMIT: usize = 8 * 1024;
/// Largest body of a transaction (protocol page), bytes.
const TRANSACTION_LIMIT: usize = 64 * 1024;
/// Changes a second that the store takes in these tests, and as many at once.
const STORE_RATE: usize = 60;

pub(crate) fn fleet(seed: u64) -> World {
    let dies = |n: usize| (LOSS_AT, Trouble::MachineDies(n * 4));
    let mut troubles: Vec<_> = (0..MACHINES / 4).map(dies).collect();
    troubles.push((LOSS_AT + 1, Trouble::CrashAll(5)));
    let mut world = World::new(seed, troubles);
    world.size = (MACHINES, 18_000.0);
    world.beat = (6.0, 31.0);
    world.page = 200;
    world.replicas = REPLICAS;
    world.pace = (4, 190);
    world
}

/// All replicas serve before, and again after; the store gets no more changes, and no
/// larger values, than it takes.
#[test]
fn four_thousand_machines_lose_a_quarter_in_a_takeover() {
    let mut world = fleet(12);
    world.run(LOSS_AT - 5);
    assert_eq!(world.broken, Vec::<String>::new());
    let (up, replicas) = (world.up(), world.serving());
    assert_eq!(replicas, 24 * REPLICAS as usize);
    assert!(up > 3_600, "{up} machines");
    let before = world.store_work;
    let starts_before = world.starts;

    world.run(LOSS_AT + 10);
    assert!(world.serving() < replicas - 2_500, "{} of {replicas}", world.serving());
    world.run(LOSS_AT + 600);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.serving(), replicas);

    let after = world.store_work;
    assert!(world.directs <= 40, "{} direct commands at once", world.directs);
    assert!(world.changes <= 2 * STORE_RATE, "{} changes in a second", world.changes);
    assert!(after.largest_value <= VALUE_LIMIT, "{after:?}");
    assert!(after.largest_transaction <= TRANSACTION_LIMIT, "{after:?}");
    // What was lost (some 3,600 replicas) is started again, and nothing else.
    let starts = world.starts - starts_before;
    assert!(starts < MACHINES as u32, "{starts} starts");
    // Machines are recorded by blocks, and replicas by jobs: far less than a change each.
    let changes = after.changes - before.changes;
    assert!(changes < MACHINES / 4, "{changes} changes for the takeover");
    let bytes = after.bytes - before.bytes;
    assert!(bytes < MACHINES * 250, "{bytes} bytes for the takeover");

    // Back in a steady state: hardly anything is written, and no machine that works is
    // taken for deaf, though 40 direct orders at once can't ask so many every ten seconds.
    // (Some twenty a second were returned, and one replica in twenty-five was always away.)
    world.run(LOSS_AT + 800);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.serving(), replicas);
    let quiet = world.store_work.changes - after.changes;
    assert!(quiet < STORE_RATE, "{quiet} changes in twenty quiet seconds");
}

/// Jobs after the one that is cancelled.
const FOLLOWERS: u32 = 1_000;
/// When it is cancelled, in steps.
const CASCADE_AT: u32 = 1_700;
/// The least time that cancellations have at the operators' sites, seconds.
const CANCEL_S: f64 = 32.0;

/// Four thousand machines serve, and of pipelines 20 deep a thousand jobs are cancelled with
/// the one that they need: users learn it in time, the store takes all, no replica is lost.
#[test]
fn four_thousand_machines_and_a_cascade_of_a_thousand_jobs() {
    let mut world = World::new(13, Vec::new());
    (world.size, world.beat) = ((MACHINES, 18_000.0), (6.0, 31.0));
    (world.page, world.replicas, world.pace) = (200, REPLICAS, (4, 190));
    (world.width, world.gaps, world.gap_s, world.poll_every) = (1, true, 100_000.0, 50);
    world.store_limits = Some(StoreLimits {
        requests_per_s: 100.0,
        changes_per_s: 20.0,
        changes_per_transaction: 16,
        value_bytes: 2 * 1024,
        announced: true,
        from: 0,
    });
    world.cascade = Some(CascadePlan {
        first: 1_001,
        followers: FOLLOWERS,
        depth: 20,
        submit_from: 300,
        per_step: 1,
        cancel_at: CASCADE_AT,
    });
    world.play(CASCADE_AT - 1);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.cascade_accepted(), FOLLOWERS as usize + 1);
    let (replicas, before) = (world.serving(), world.store_work);
    assert_eq!(replicas, 24 * REPLICAS as usize);

    world.play(CASCADE_AT + 400);
    assert_eq!(world.broken, Vec::<String>::new());
    let times = world.cascade_times().expect("the root is cancelled");
    let changes = world.store_work.changes - before.changes;
    println!("{times:?}; {changes} changes in 40 s, {} in the busiest second", world.changes);
    println!("{} refusals, {} ends", world.met.store_refusals, world.ends());
    assert_eq!(times.jobs, FOLLOWERS as usize);
    assert!(times.max_s < CANCEL_S, "{times:?}");
    assert_eq!(world.serving(), replicas);
    assert!(changes < 20 * 40, "{changes} changes in 40 s");
}
