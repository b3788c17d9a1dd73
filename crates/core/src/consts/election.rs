//! Elections, the lease of the leader key, pledges and transfers.

/// Lease of the leader key, milliseconds: short, so that a dead leader is
/// replaced soon; long enough for a slow answer of the state service (a few
/// hundred ms) and a processor stall.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// The same in seconds.
pub const LEADER_LEASE_S: f64 = LEADER_LEASE_MS as f64 / 1e3;
/// Seconds between renewals: five tries within a lease.
pub const KEEP_ALIVE_EVERY_S: f64 = 0.6;
/// Renewals without an answer that may be under way at once, as many as the threads that make
/// them: one lost answer holds up no other, and there are four tries within a lease.
pub const RENEWALS_UNANSWERED_MAX: usize = 2;
/// Taken off a lease's certain life, seconds: owner-queue delay between the
/// authority check and the bytes leaving.
pub const LEADER_LEASE_MARGIN_S: f64 = 0.25;
/// Clock drift allowed for, as a fraction: the protocol's 0.05% between two
/// clocks, doubled.
pub const DRIFT: f64 = 0.001;
/// A leader that no worker reports to for this many heartbeat intervals, while
/// several did before, is cut off from them and resigns.
pub const WORKERS_SILENT_HEARTBEATS: f64 = 1.3;
/// Added to that, seconds.
pub const WORKERS_SILENT_MARGIN_S: f64 = 0.6;
/// A step that comes so much later than it should, seconds, says that this process had
/// no processor: what it hasn't heard meanwhile says nothing of the others.
pub const LATE_STEP_S: f64 = 0.25;
/// Workers that must have been heard for their common silence to say that.
pub const WORKERS_SILENT_LEAST: usize = 3;
/// After resigning a controller doesn't stand for this long,
/// seconds, so that another can.
pub const RESIGNED_S: f64 = 8.0;
/// A controller that hears no other stands this much later, seconds: if the
/// others live, it is the one that is cut off, and they stand within less. No longer
/// than that: where one was down and the leader stood still, the third waited 4 s,
/// and hundreds of workers that asked it in between went on to the one that was down
/// and outlived their leases.
pub const ALONE_S: f64 = 1.0;
/// How long a pledge not to stand lasts, seconds. A fresh process waits this
/// long before standing, so it must stay short.
pub const PLEDGE_S: f64 = 1.6;
/// Cancellations that one answer to a request for a pledge names: some 20 bytes
/// each, so that a message fits a frame.
pub const PLEDGE_CANCELS: usize = 500;
/// Cancellations confirmed to users that a controller keeps until its copy of the
/// store shows them: minutes of them at the store's highest rate, in half a MB.
pub const CONFIRMED_CANCELLATIONS_MAX: usize = 4_096;
/// Taken off the time that cancelled tasks may take, when reckoning how long a
/// leader may keep leases without news of cancellations, seconds: the answer's way,
/// and a worker's look at its lease.
pub const CANCEL_MARGIN_S: f64 = 1.0;
/// While the store serves a leader, its copy may lag so much, seconds, however little
/// time cancelled tasks have: a watch's blocking, its slack and a retry.
pub const WATCH_LAG_S: f64 = 4.5;
/// A leader that the store serves, but tells nothing new, resigns this share of the
/// time before its leases would have to run out: room for an election, ...
pub const STALE_SHARE: f64 = 0.4;
/// ... and no earlier than this before, seconds.
pub const STALE_MOST_S: f64 = 6.0;
/// Share of the age at which a leader with an old copy resigns that a watch may block, and
/// that its answer may be late after that: the copy may get as old as two blocking times
/// on a quiet store, and as two, a lost answer's wait and a retry when one is lost.
pub const WATCH_TIMING_SHARE: f64 = 0.2;
/// Longest that a watch blocks, seconds: so short that one held by a cut is soon given up.
pub const WATCH_BLOCK_MOST_S: f64 = 2.5;
/// Longest wait for the answer of a watch beyond its blocking, seconds.
pub const WATCH_SLACK_MOST_S: f64 = 1.5;
/// How often the leader asks for pledges while the store refuses it, seconds.
pub const PLEDGE_EVERY_S: f64 = 0.35;
/// Most that followers wait apart before standing, seconds, so that they
/// seldom collide.
pub const STAND_SPREAD_S: f64 = 0.15;
/// Workers that get no answer try the controllers in turn. One whose next in turn
/// is silent stands this much later, seconds: should it stand still in its turn,
/// workers would spend two timeouts on their way to the third, more than the
/// shortest leases last.
pub const NEXT_SILENT_S: f64 = 0.5;
/// Share of its interval by which a worker's heartbeat may come later than it (protocol page).
pub const HEARTBEAT_JITTER: f64 = 0.25;
/// Time for the way to a controller and back that a worker's lease must still last when it has
/// found one, seconds.
pub const PLACEMENT_MARGIN_S: f64 = 0.5;
/// A leader hands over because a controller is silent only once it was for so long, seconds:
/// a restart or a short cut is over by then, and a takeover costs users a second of starts.
pub const TRANSFER_SILENT_S: f64 = 10.0;
/// A leader hands over no sooner after its election, seconds: its takeover comes first.
pub const TRANSFER_AFTER_S: f64 = 3.0;
/// Least time between two transfers of leadership by the same process, seconds: whatever
/// flaps, each controller causes one such change a minute at most.
pub const TRANSFER_EVERY_S: f64 = 60.0;
/// After handing over a controller doesn't stand for this long, seconds: enough for the other
/// to win, and little if that one has just failed.
pub const TRANSFER_GRACE_S: f64 = 2.0;
/// Longest wait of a heartbeat for the outcome of an election, seconds: workers wait 4 s for
/// an answer, of which its way takes a part.
pub const HEARTBEAT_WAIT_S: f64 = 3.0;
/// Heartbeats that may wait so: half as many again as the largest fleet has machines. Each is a
/// few hundred bytes.
pub const HEARTBEATS_WAITING_MAX: usize = 6_000;
/// Heartbeats that waited and are answered in one step at most, so that what is due comes in
/// between.
pub const WAITING_HEARTBEATS_PER_STEP: usize = 128;
/// A request of an election that has no answer after so long is sent once more, seconds: the
/// state service takes a few hundred ms now and then, while workers' leases wait for a leader.
pub const ELECTION_RESEND_S: f64 = 0.5;
/// Wait after a failed attempt to stand, seconds.
pub const STAND_RETRY_S: f64 = 0.4;

/// Least time between two raises of the fencing token while a cancelled job's start is
/// unconfirmed, seconds: one change of the store each, and all machines with unconfirmed starts by
/// then share it.
pub const RAISE_CANCELLED_EVERY_S: f64 = 1.0;
/// The same where only booked room, or an entry that can't be cleared, waits for it, seconds.
pub const RAISE_EVERY_S: f64 = 3.0;
