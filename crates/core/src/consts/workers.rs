//! Workers: leases, heartbeats and direct commands.

/// Margin added to a worker's lease before its tasks count as gone, in seconds: the controller's
/// answer may leave a little after its time was noted.
pub const LEASE_MARGIN_S: f64 = 0.5;
/// A machine not heard from for this many heartbeat intervals gets no new tasks.
pub const UNREACHABLE_HEARTBEATS: f64 = 2.5;
/// How long a machine is kept after its lease expired, in seconds. Partitions end, and a machine
/// that holds its images is worth more than a new one.
pub const EXPIRED_LEASE_KEPT_S: f64 = 30.0;
/// A spot machine that sends nothing for this many heartbeat intervals while others report is
/// returned. Usually it was reclaimed by the cloud, and a completed release proves its tasks gone
/// long before their lease does.
pub const PRESUMED_DEAD_HEARTBEATS: f64 = 2.5;
/// Added to [`PRESUMED_DEAD_HEARTBEATS`] intervals, in seconds.
pub const PRESUMED_DEAD_MARGIN_S: f64 = 1.0;
/// Number of failed direct commands by a new leader after which a spot machine is returned,
/// provided most others answered. Usually it was reclaimed by the cloud, and its jobs wait for
/// proof that their tasks are gone.
pub const PROBES: u32 = 2;
/// Delay between two such direct commands, in seconds.
pub const PROBE_RETRY_DELAY_S: f64 = 0.8;
/// A machine that reported before and sends nothing for this many heartbeat intervals is probed
/// directly; heartbeats come within 1.25 intervals.
pub const MISSED_HEARTBEAT_INTERVALS: f64 = 1.3;
/// Added to [`MISSED_HEARTBEAT_INTERVALS`] intervals, in seconds.
pub const MISSED_HEARTBEAT_MARGIN_S: f64 = 0.6;
/// Number of direct probes that must fail before a machine that runs services is given up early.
pub const FAILED_PROBES_MIN: u32 = 2;
/// Window, in heartbeat intervals, in which a leader counts the machines heard from, to tell
/// whether it receives heartbeats at all; each machine sends one per interval. See
/// [`HEARD_NOW_SHARE`].
pub const HEARD_NOW_HEARTBEATS: f64 = 0.6;
/// Share of all machines that must have been heard from within [`HEARD_NOW_HEARTBEATS`] for the
/// leader to be sure that it receives heartbeats: half of what is expected, as a part of the
/// machines may have failed.
pub const HEARD_NOW_SHARE: f64 = 0.3;
/// Share of a zone's machines that must be unreachable for the zone to count as partitioned rather
/// than its machines as failed, if there are other zones. The replicas of a partitioned zone serve
/// on until their leases expire, and its machines are worth waiting for.
pub const ZONE_PARTITION_SHARE: f64 = 0.5;
/// Share of the direct commands in flight that may go to machines which did not answer the last
/// one, so that many unreachable machines don't delay the others.
pub const UNANSWERED_SHARE: f64 = 0.5;
/// Minimum interval between two rounds of direct commands, in seconds: a round scans all machines.
pub const DIRECT_ROUND_INTERVAL_S: f64 = 0.02;
/// No machine is given up as unreachable within this time after a takeover, and after the leader
/// began to hear most machines, in seconds: workers need a heartbeat timeout and one or two attempts
/// to find the new leader.
pub const PRESUMED_DEAD_AFTER_S: f64 = 6.5;
/// Backoff after a failed direct command, in seconds; until then, heartbeat answers carry the
/// commands.
pub const DIRECT_BACKOFF_S: f64 = 3.0;
/// A worker discards an answer that arrives later than this after it sent its heartbeat, in seconds
/// (protocol page).
pub const WORKER_REPLY_EXPIRY_S: f64 = 4.0;
/// Minimum time between the heartbeat of a worker that got no answer and its next one, in seconds
/// (protocol page: 4 s, then 1 s).
pub const WORKER_REPORT_TIMEOUT_S: f64 = 5.0;
/// Margin on [`WORKER_REPLY_EXPIRY_S`] and [`WORKER_REPORT_TIMEOUT_S`], in seconds: clock
/// differences and the controller's queueing delay.
pub const WORKER_MARGIN_S: f64 = 0.2;
/// Number of heartbeat intervals, plus a worker's timeout, within which a machine must have proven
/// that answers reach it; otherwise it gets no new tasks.
pub const REACH_HEARTBEATS: f64 = 2.0;
/// Share of that time after which the machine is probed directly.
pub const PROBE_SHARE: f64 = 0.6;
/// How long the answer to a heartbeat may wait for a start command, in seconds. Workers wait 4 s for
/// an answer, and its transit takes a part of that.
pub const HEARTBEAT_HOLD_MAX_S: f64 = 3.0;
/// Share of a heartbeat interval that the answer may wait at most. A worker has one heartbeat in
/// flight at a time and sends the next one up to a quarter of an interval early, so a longer wait
/// would delay it.
pub const HEARTBEAT_HOLD_SHARE: f64 = 0.75;
/// A machine that lists this many ended attempts has them cleared at once, instead of with the next
/// start.
pub const CLEARS_HELD_MAX: usize = 40;
/// Minimum time between two heartbeats of a worker (protocol page), in seconds.
pub const HEARTBEAT_MIN_INTERVAL_S: f64 = 0.5;
/// Time within which a prompted worker sends a heartbeat, in seconds: at most one each half second,
/// and the transit of the messages. A machine is prompted again only after that.
pub const PROMPT_RETRY_S: f64 = 1.0;
/// Share of its lease that passes before a worker takes another higher token for a reason to send a
/// heartbeat (protocol page).
pub const TOKEN_PROMPT_LEASE_SHARE: f64 = 0.5;
/// Maximum number of commands in one message; an answer then stays far below 64 KiB.
pub const COMMANDS_MAX: usize = 200;
/// Maximum number of attempts, ended or not, that a worker may list; a machine that lists more gets
/// no new tasks. An entry takes some hundred bytes, and a heartbeat may have 64 KiB.
pub const LISTED_ATTEMPTS_MAX: usize = 400;
/// Number of task failures on a machine without a success in between after which it gets no more
/// work: usually the machine is faulty.
pub const MACHINE_ERRORS: u32 = 3;
/// Initial backoff before a failed task is retried, in seconds; it doubles with each failure.
pub const ERROR_BACKOFF_S: f64 = 0.5;
/// Upper bound of the backoff of a failed task, in seconds.
pub const ERROR_BACKOFF_MAX_S: f64 = 20.0;
/// Backoff before a refused task is retried, in seconds.
pub const REFUSED_BACKOFF_S: f64 = 0.5;
/// Number of different machines on which a job must have failed, without a success, to count as
/// submitted with a mistake.
pub const BROKEN_JOB_MACHINES: usize = 2;
/// Run time after which a replica shows that its service works, in seconds; services submitted with
/// a mistake fail within seconds.
pub const SERVICE_ESTABLISHED_S: f64 = 20.0;
/// Multiple of the job's declared save time that an evicted task is given.
pub const SAVE_GRACE: f64 = 2.0;
/// Maximum number of concurrent tasks of a job that counts as submitted with a mistake.
pub const BROKEN_JOB_TASKS: usize = 1;
/// A machine is slow if its tasks take this many times the mean of their jobs.
pub const SLOW_FACTOR: f64 = 2.2;
/// Number of consecutive slow tasks after which a machine counts as slow.
pub const SLOW_SAMPLES: u32 = 3;

/// Tolerance for comparing sums of CPUs, GPUs and memory, which are fractional.
pub const AMOUNT_TOLERANCE: f64 = 1e-9;
