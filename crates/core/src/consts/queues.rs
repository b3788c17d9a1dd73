//! Sizing and queues (the paper's, section 5), and the pace of placement.

/// Jobs with fewer tasks are thin and skip sampling.
pub const THIN_LIMIT: u32 = 3;
/// Share of a wide job's tasks that are pilots.
pub const PILOT_SHARE: f64 = 0.03;
/// Number of queues.
pub const QUEUES: usize = 10;
/// Upper bound of the top queue, task-seconds.
pub const TOP_BOUND_S: f64 = 1_000.0;
/// Each bound is this many times the one before; weights fall by it too.
pub const QUEUE_GROWTH: f64 = 10.0;
/// The queue pilots run from.
pub const PILOT_QUEUE: usize = 1;
/// Finished tasks after which the mean is no longer refined: it has settled.
pub const MEAN_SAMPLES: u32 = 64;
/// Tasks recorded as started ahead of need in one write, so that a machine
/// coming free need not wait for the store. A new leader must only prove of
/// these too that they don't run.
pub const START_AHEAD: u32 = 16;
/// A job that waited longer than this for machines with its image takes any,
/// seconds: about the fetch that it would spare.
pub const IMAGE_PATIENCE_S: f64 = 12.0;
/// A fetch is worth it where more waits for an image than this share of what its
/// holders' CPUs take on within the fetch: they serve other images too. (Simulated
/// days with 0.5, 0.8, 1 and 2: the more, the fewer fetches, but at 2 deadlines of
/// a half empty fleet suffered.)
pub const HOLDERS_FREE_SHARE: f64 = 0.8;
/// A job with less slack than this many seconds goes before its queue.
pub const URGENT_SLACK_S: f64 = 15.0;
/// The same for an aim on being done at all, which fewer jobs come near.
pub const FINISH_SLACK_S: f64 = 60.0;
/// A job within its team's guarantee takes room from teams beyond theirs after
/// so long, seconds.
pub const GUARANTEE_PATIENCE_S: f64 = 4.0;
/// Tasks that ran longer than this are not stopped for it, seconds: their loss
/// would be the greater harm.
pub const GUARANTEE_LOSS_S: f64 = 10.0;
/// Preemptions of spare-capacity work for array jobs in one pass: each looks at
/// all machines, and the next pass follows at once.
pub const PREEMPTIONS_PER_PASS: usize = 24;
/// A job of which nothing was ever started for this long, seconds, goes before
/// all queues with one task: weights share machines, but promise no one a
/// beginning.
pub const BEGIN_LATEST_S: f64 = 60.0;
/// A job past all its deadlines goes last for this long after its arrival,
/// seconds; then in its turn again.
pub const MISSED_LAST_S: f64 = 120.0;
/// A leader looks at what is due at least so often, seconds: placement and orders want
/// it.
pub const LEADER_STEP_S: f64 = 0.05;
/// So does a follower, seconds: it has beats to send and polls to answer.
pub const FOLLOWER_STEP_S: f64 = 0.1;
/// Least time between two looks at what is due, seconds.
pub const STEP_EVERY_S: f64 = 0.005;
/// Processor time of such a look per machine known, seconds of a core (measured: some
/// 150 us for 400 machines) ...
pub const LOOK_S: f64 = 0.000_000_4;
/// ... and the share of our processor that they may take. With hundreds of heartbeats a
/// second, a look after each took as much of it as the heartbeats themselves.
pub const LOOK_SHARE: f64 = 0.06;
/// Least time between two placement passes, seconds.
pub const PLACE_EVERY_S: f64 = 0.04;
/// And per machine known, seconds: a pass looks at all of them, while a machine
/// that comes free is filled at once, by itself.
pub const PLACE_PER_MACHINE_S: f64 = 0.000_25;
/// How often all machines are looked over for leases, notices and silence,
/// seconds.
pub const SWEEP_EVERY_S: f64 = 0.2;
/// A placement pass without cause, seconds: backoffs end, slack shrinks.
pub const PLACE_IDLE_S: f64 = 0.5;
