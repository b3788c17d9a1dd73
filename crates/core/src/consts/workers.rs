//! Workers: leases, heartbeats, direct commands.

/// Added to a worker's lease before its tasks count as gone, seconds: our
/// answer may leave a little after its time was noted.
pub const LEASE_MARGIN_S: f64 = 0.5;
/// A machine unheard for this many heartbeat intervals gets no new tasks.
pub const SILENT_HEARTBEATS: f64 = 2.5;
/// A machine whose lease ran out is kept this much longer, seconds: a cut ends,
/// and a machine with its images is worth more than a new one.
pub const LAPSED_KEPT_S: f64 = 30.0;
/// A spot machine that is silent for this many heartbeat intervals,
/// while others report, is returned: mostly it was taken, and a
/// completed release proves its tasks gone long before their lease does.
pub const GONE_HEARTBEATS: f64 = 2.5;
/// Added to that, seconds.
pub const GONE_MARGIN_S: f64 = 1.0;
/// A spot machine that a new leader couldn't reach so often, while most others
/// answered, is returned: it was mostly taken, and its jobs wait for proof.
pub const PROBES: u32 = 2;
/// Pause between two of these tries, seconds.
pub const PROBE_AGAIN_S: f64 = 0.8;
/// A machine that was heard before and is silent for this many heartbeat
/// intervals is asked directly: heartbeats come within a quarter more than one.
pub const QUIET_HEARTBEATS: f64 = 1.3;
/// Added to that, seconds.
pub const QUIET_MARGIN_S: f64 = 0.6;
/// Direct tries that must fail before a machine that serves is given up early.
pub const QUIET_PROBES: u32 = 2;
/// Within so many heartbeat intervals, of which each machine sends one, ...
pub const HEARING_HEARTBEATS: f64 = 0.6;
/// ... so large a share of all machines must have been heard for us to be sure
/// that we hear: half of what is expected, as a part of them may be dead.
pub const HEARING_SHARE: f64 = 0.3;
/// Share of a zone's machines that must be silent for it to be cut off rather
/// than its machines dead, if there are other zones. Its replicas serve on until
/// their leases end, and its machines are worth waiting for.
pub const ZONE_CUT_SHARE: f64 = 0.5;
/// Share of the direct commands under way that may be to machines which did not
/// answer the last: a crowd of silent ones must not hold up the others.
pub const UNREACHED_SHARE: f64 = 0.5;
/// Least time between two rounds of direct commands, seconds: a round looks at
/// all machines.
pub const PUSH_EVERY_S: f64 = 0.02;
/// No machine is given up as silent so soon after a takeover, seconds: workers
/// need a heartbeat's timeout and a try or two to find the new leader.
pub const GONE_AFTER_S: f64 = 6.5;
/// After a direct command failed, heartbeats carry the commands for this long,
/// seconds.
pub const DIRECT_BACKOFF_S: f64 = 3.0;
/// A worker drops an answer that comes later than this after it sent its
/// report, seconds (protocol page).
pub const WORKER_DROPS_S: f64 = 4.0;
/// A worker that got no answer sends its next heartbeat no sooner than this after
/// the last, seconds (protocol page: 4 s, then 1 s).
pub const WORKER_GIVES_UP_S: f64 = 5.0;
/// Margin on either, seconds: clocks, and the way through our queue.
pub const WORKER_MARGIN_S: f64 = 0.2;
/// A machine that hasn't proven for this many heartbeat intervals, and a worker's
/// patience, that our words reach it, gets no new tasks.
pub const REACH_HEARTBEATS: f64 = 2.0;
/// After so much of that time it is asked directly.
pub const PROBE_SHARE: f64 = 0.6;
/// Commands in one message: an answer stays far below 64 KiB.
pub const COMMANDS_MAX: usize = 200;
/// Task failures on a machine, with no success between, after which it gets no
/// more work: mostly the machine is faulty.
pub const MACHINE_ERRORS: u32 = 3;
/// First wait before a failed task is tried again, seconds; doubles.
pub const ERROR_BACKOFF_S: f64 = 0.5;
/// Longest such wait, seconds.
pub const ERROR_BACKOFF_MAX_S: f64 = 20.0;
/// Wait before a refused task is tried again, seconds.
pub const REFUSED_BACKOFF_S: f64 = 0.5;
/// Different machines on which a job must have failed, with no success, to be
/// taken for one submitted with a mistake.
pub const BAD_JOB_MACHINES: usize = 2;
/// A replica that ran for this long, seconds, shows that its service is sound: those
/// submitted with a mistake fail within seconds.
pub const SERVES_S: f64 = 20.0;
/// An evicted task gets this many times what its job says that saving takes.
pub const SAVE_GRACE: f64 = 2.0;
/// Tasks that a job taken for mistaken may have under way at once.
pub const BAD_JOB_TASKS: usize = 1;
/// A machine whose tasks take this many times their jobs' mean is slow.
pub const SLOW_FACTOR: f64 = 2.2;
/// Tasks that must say so in a row.
pub const SLOW_SAMPLES: u32 = 3;

/// Sums of CPUs, GPUs and memory are compared with this tolerance: they are fractions.
pub const AMOUNT_TOLERANCE: f64 = 1e-9;
