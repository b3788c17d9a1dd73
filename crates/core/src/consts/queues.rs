//! Job sizing, queues and the pace of placement. The queueing follows section 5 of the paper.

/// Jobs with fewer tasks than this are thin and skip sampling.
pub const THIN_LIMIT: u32 = 3;
/// Share of a wide job's tasks that run as pilots, to sample the run time.
pub const PILOT_SHARE: f64 = 0.03;
/// Number of queues.
pub const QUEUES: usize = 10;
/// Upper bound of the top queue, in task-seconds.
pub const TOP_BOUND_S: f64 = 1_000.0;
/// Factor between the bounds of successive queues; the weights fall by the same factor.
pub const QUEUE_GROWTH: f64 = 10.0;
/// The queue that pilots run from.
pub const PILOT_QUEUE: usize = 1;
/// Number of finished tasks after which a job's mean run time is no longer updated, as it has
/// converged.
pub const MEAN_SAMPLES: u32 = 64;
/// Number of tasks recorded as started ahead of need in one write, so that a machine with free
/// capacity need not wait for the store. The cost is that a new leader has to prove of these too
/// that they don't run.
pub const START_AHEAD: u32 = 16;
/// How long a job waits for machines that hold its image before it takes any machine, in seconds:
/// about the fetch that it would save.
pub const IMAGE_PATIENCE_S: f64 = 12.0;
/// An image is fetched to further machines when the tasks waiting for it exceed this share of what
/// the CPUs of its holders take on during the fetch, as these serve other images too. In simulated
/// days with 0.5, 0.8, 1 and 2, higher values made fewer fetches, but with 2 deadlines suffered in
/// a half-empty fleet.
pub const HOLDERS_FREE_SHARE: f64 = 0.8;
/// A job with less slack to its deadline than this is placed ahead of its queue, in seconds.
pub const URGENT_SLACK_S: f64 = 15.0;
/// Like [`URGENT_SLACK_S`], for a completion objective, which fewer jobs come near.
pub const FINISH_SLACK_S: f64 = 60.0;
/// How long a job within its team's guarantee waits before it preempts teams beyond theirs, in
/// seconds.
pub const GUARANTEE_PATIENCE_S: f64 = 4.0;
/// Tasks that have run longer than this are not preempted for a guarantee, in seconds: losing their
/// work would be the greater harm.
pub const GUARANTEE_LOSS_S: f64 = 10.0;
/// Maximum number of preemptions of spare-capacity work for array jobs in one placement pass. Each
/// one scans all machines, and the next pass follows at once.
pub const PREEMPTIONS_PER_PASS: usize = 24;
/// A job of which nothing has started for this long is placed ahead of all queues with one task, in
/// seconds. Queue weights share the machines but don't guarantee that a job ever starts.
pub const FIRST_TASK_DEADLINE_S: f64 = 60.0;
/// A job that has missed all its deadlines is placed last until this long after its arrival, in
/// seconds; then in its normal order again.
pub const MISSED_DEADLINE_DELAY_S: f64 = 120.0;
/// Maximum interval between two steps of a leader, in seconds; placement and commands need this
/// rate.
pub const LEADER_STEP_S: f64 = 0.05;
/// Maximum interval between two steps of a follower, in seconds; it has heartbeats to send and
/// polls to answer.
pub const FOLLOWER_STEP_S: f64 = 0.1;
/// Minimum interval between two steps, in seconds.
pub const STEP_EVERY_S: f64 = 0.005;
/// Processor time of a step per known machine, in seconds of a core (measured: some 150 us for 400
/// machines).
pub const STEP_COST_PER_MACHINE_S: f64 = 0.000_000_4;
/// Share of the controller's processor time that steps may take. With hundreds of heartbeats a
/// second, a step after each one took as much processor time as the heartbeats themselves.
pub const STEP_CPU_SHARE: f64 = 0.06;
/// Minimum interval between two placement passes, in seconds.
pub const PLACE_EVERY_S: f64 = 0.04;
/// Additional interval between placement passes per known machine, in seconds. A pass scans all
/// machines, while a machine with newly freed capacity is filled at once without a pass.
pub const PLACE_PER_MACHINE_S: f64 = 0.000_25;
/// Interval at which all machines are scanned for expired leases, spot notices and missing
/// heartbeats, in seconds.
pub const SWEEP_EVERY_S: f64 = 0.2;
/// Maximum interval between placement passes when nothing has triggered one, in seconds: backoffs
/// end and slack shrinks.
pub const PLACE_IDLE_S: f64 = 0.5;
