//! Timing of elections, the lease of the leader key, pledges and leadership transfers.

/// Lease of the leader key, in milliseconds. Short, so that a failed leader is replaced soon; long
/// enough for a slow answer of the state service (a few hundred ms) and a processor stall.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// [`LEADER_LEASE_MS`] in seconds.
pub const LEADER_LEASE_S: f64 = LEADER_LEASE_MS as f64 / 1e3;
/// Interval between renewals of the leader lease, in seconds: five attempts within a lease.
pub const KEEP_ALIVE_EVERY_S: f64 = 0.6;
/// Maximum number of concurrent lease renewals, equal to the number of threads that send them. One
/// lost answer then doesn't delay the next renewal, and four attempts remain within a lease.
pub const RENEWALS_UNANSWERED_MAX: usize = 2;
/// Safety margin subtracted from the guaranteed remaining time of the leader lease, in seconds. It
/// covers the queueing delay in the owner thread between the authority check and the moment the
/// bytes leave the process.
pub const LEADER_LEASE_MARGIN_S: f64 = 0.25;
/// Clock drift allowed for, as a fraction: twice the protocol's bound of 0.05% between two clocks.
pub const DRIFT: f64 = 0.001;
/// Number of heartbeat intervals without any worker heartbeat after which a leader, if several
/// workers reported to it before, considers itself partitioned from them and resigns.
pub const WORKERS_UNREACHABLE_HEARTBEATS: f64 = 1.3;
/// Margin added to the time given by [`WORKERS_UNREACHABLE_HEARTBEATS`], in seconds.
pub const WORKERS_UNREACHABLE_MARGIN_S: f64 = 0.6;
/// A step that runs this many seconds late shows that the process had no processor time; heartbeats
/// missed in that time say nothing about the other processes.
pub const LATE_STEP_S: f64 = 0.25;
/// Minimum number of workers that must have been heard from before the absence of all heartbeats
/// counts as a partition of the leader.
pub const WORKERS_UNREACHABLE_MIN: usize = 3;
/// How long a controller doesn't stand for election after it resigned, in seconds, so that another
/// one can win.
pub const RESIGN_BACKOFF_S: f64 = 8.0;
/// Extra delay before a controller that hears from no other controller stands for election, in
/// seconds. If the others are alive, this controller is the partitioned one, and they stand within
/// less than this. It must not be longer: with one controller down and the leader stalled, workers
/// that contact the third controller while it waits move on to the one that is down, and their
/// leases expire. A wait of 4 s had this effect on hundreds of workers.
pub const ISOLATED_DELAY_S: f64 = 1.0;
/// Duration of a pledge not to stand for election, in seconds. A restarted process waits this long
/// before it stands, so the value must stay short.
pub const PLEDGE_S: f64 = 1.6;
/// Maximum number of cancellations in one answer to a pledge request: some 20 bytes each, so that a
/// message fits a frame.
pub const PLEDGE_CANCELS: usize = 500;
/// Maximum number of cancellations confirmed to users that a controller keeps until its replica of
/// the store shows them: minutes' worth at the store's highest rate, in half a MB.
pub const CONFIRMED_CANCELLATIONS_MAX: usize = 4_096;
/// Safety margin subtracted from the time in which cancelled tasks must stop, when computing how
/// long a leader may renew leases without receiving new cancellations from the store, in seconds. It
/// covers the transit time of the answer and the worker's interval between lease checks.
pub const CANCEL_MARGIN_S: f64 = 1.0;
/// Lower bound for the permitted lag of a leader's replica while the store serves the leader, in
/// seconds. It covers the blocking time of a watch, its slack and a retry, and applies however short
/// the time is in which cancelled tasks must stop.
pub const WATCH_LAG_S: f64 = 4.5;
/// Lead time of a resignation because of an old replica, as a share of the permitted replica age. A
/// leader that the store serves but whose replica gets no updates resigns this long before the
/// worker leases would have to run out, which leaves room for an election. [`STALE_MAX_S`] caps it.
pub const STALE_SHARE: f64 = 0.4;
/// Upper bound of the lead time given by [`STALE_SHARE`], in seconds.
pub const STALE_MAX_S: f64 = 6.0;
/// Blocking time of a watch, and also the wait for its answer after that, each as a share of the
/// replica age at which a leader resigns. On a quiet store, the replica gets as old as two blocking
/// times. If one answer is lost, the wait for it and a retry add to these.
pub const WATCH_TIMING_SHARE: f64 = 0.2;
/// Maximum blocking time of a watch, in seconds: short, so that a watch stuck behind a partition is
/// soon given up.
pub const WATCH_BLOCK_MAX_S: f64 = 2.5;
/// Maximum wait for the answer of a watch beyond its blocking time, in seconds.
pub const WATCH_SLACK_MAX_S: f64 = 1.5;
/// Interval at which the leader asks for pledges while the store refuses its requests, in seconds.
pub const PLEDGE_EVERY_S: f64 = 0.35;
/// Upper bound of the random delay before a follower stands for election, in seconds, so that
/// candidates seldom collide.
pub const STAND_SPREAD_S: f64 = 0.15;
/// Extra delay before a controller stands for election while the controller that workers try after
/// it is unreachable, in seconds. There are three controllers, and workers without an answer try them
/// in the cyclic order of their names. If this controller won and then stalled, workers would spend
/// two timeouts before they reach the third controller, more than the shortest leases last.
pub const NEXT_UNREACHABLE_DELAY_S: f64 = 0.5;
/// Share of its interval by which a worker's heartbeat may be late (protocol page).
pub const HEARTBEAT_JITTER: f64 = 0.25;
/// Time that must remain on a worker's lease when the worker finds the leader, in seconds; it
/// covers the round trip to the controller.
pub const PLACEMENT_MARGIN_S: f64 = 0.5;
/// How long a controller must be unreachable before the leader hands over because of it, in
/// seconds. A restart or a short partition is over by then, and a takeover delays the starts of
/// users' tasks by a second.
pub const TRANSFER_SILENT_S: f64 = 10.0;
/// Minimum time between a leader's election and a transfer of leadership, in seconds: its own
/// takeover has to finish first.
pub const TRANSFER_AFTER_S: f64 = 3.0;
/// Minimum time between two leadership transfers by the same process, in seconds. However often the
/// reason for a transfer appears and disappears, each controller causes at most one a minute.
pub const TRANSFER_EVERY_S: f64 = 60.0;
/// How long a controller doesn't stand for election after it handed over, in seconds. The
/// other controller can win in this time; if that one has just failed, little time is lost.
pub const TRANSFER_GRACE_S: f64 = 2.0;
/// Maximum time a worker heartbeat is held while an election is in progress, in seconds. Workers
/// wait 4 s for an answer, and its transit takes a part of that.
pub const HEARTBEAT_WAIT_S: f64 = 3.0;
/// Maximum number of heartbeats held during an election: 1.5 times the number of machines in the
/// largest fleet. Each takes a few hundred bytes.
pub const HEARTBEATS_WAITING_MAX: usize = 6_000;
/// Maximum number of held heartbeats answered in one step, so that other due work runs in between.
pub const WAITING_HEARTBEATS_PER_STEP: usize = 128;
/// An election request without an answer is sent once more after this time, in seconds. The state
/// service occasionally takes a few hundred ms, while workers' leases run down without a leader.
pub const ELECTION_RESEND_S: f64 = 0.5;
/// Delay after a failed attempt to stand for election, in seconds.
pub const STAND_RETRY_S: f64 = 0.4;

/// Number of fencing tokens that a leader reserves with one change of the store. Attempts have room
/// for 2^32 terms, and each block uses up this many.
pub const FENCING_TOKEN_BLOCK: u64 = 256;
/// The leader reserves the next block when a machine's token leaves fewer unused ones than this, so
/// that a slow answer of the store delays nobody.
pub const FENCING_TOKENS_LOW: u64 = 128;
/// Minimum time between two raises of the fencing token, in seconds. Each raise costs one change of
/// the store.
pub const RAISE_EVERY_S: f64 = 3.0;
