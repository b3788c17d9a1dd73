//! Every constant of the scheduler, with unit and reason. What the settings
//! tell (heartbeat interval, worker lease, rates, limits) is read there instead.

// --- election -------------------------------------------------------------

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

// --- log --------------------------------------------------------------------

/// Info lines a second at most, in the mean: a zone of a thousand machines that is cut off
/// makes as many starts unconfirmed at once, and a log of them all helps nobody. A line costs
/// some 10 us of a core, so this is 0.02%.
pub const INFO_LINES_PER_S: f64 = 20.0;
/// Info lines that may come at once.
pub const INFO_LINES_BURST: f64 = 60.0;
/// How often a leader tells its counters of unconfirmed starts, seconds.
pub const UNCONFIRMED_LOG_S: f64 = 60.0;

// --- state service --------------------------------------------------------

/// Consecutive failures after which the store counts as refusing us.
pub const STORE_BAD_AFTER: u32 = 2;
/// A controller without other traffic looks at the store this often, seconds.
pub const STORE_PROBE_S: f64 = 1.0;
/// Share of the store's change rate that the leader's records may always take;
/// the rest is for submissions and cancels at any controller.
pub const LEADER_WRITE_SHARE: f64 = 0.6;
/// The share they may take while users leave theirs unused.
pub const LEADER_WRITE_MAX: f64 = 0.9;
/// Users' changes are averaged over this long, seconds.
pub const USER_RATE_S: f64 = 5.0;
/// Finished tasks gather for this long before they are written, seconds: only
/// their machines' lists wait for it, and a job's end carries all of them.
pub const FINISH_LAZY_S: f64 = 1.5;
/// Machines gone gather for so long, seconds; images longer, see [`IMAGES_WRITE_SHARE`].
pub const BLOCK_LAZY_S: f64 = 4.0;
/// A job's end is written before all else when it waited this long, seconds:
/// users may be told three seconds late.
pub const CLOSE_LATEST_S: f64 = 1.0;
/// Machines whose records are written together at most: a takeover reads few blocks, and
/// one change of a machine rewrites no more than this.
pub const BLOCK_MACHINES: usize = 24;
/// What a machine's record takes of a block, bytes of JSON, images it holds included: a
/// new block is given so many machines that it stays below the value limit.
pub const MACHINE_RECORD_BYTES: usize = 250;
/// A machine's record may take this share of a value: images held longest ago are left
/// out beyond. So a block of [`BLOCK_MACHINES`], as an earlier version or wider limits
/// left it, splits into four, which one transaction of [`CHANGES_LEAST`] holds.
pub const MACHINE_RECORD_SHARE: f64 = 1.0 / 6.0;
/// Share of the value limit that records fill: how the state service writes JSON (spaces,
/// escapes) is not ours to know.
pub const VALUE_FILL: f64 = 0.8;
/// Changes that a transaction must allow: a block split in four, or a job's end.
pub const CHANGES_LEAST: usize = 4;
/// After so many refusals in a row the next transactions have half as many changes, until
/// one goes through: a burst of others' changes is over after one or two retries.
pub const REFUSALS_PER_HALVING: u32 = 3;
/// Value limit below which the writer never goes after rejections, bytes: a submission
/// and a machine's record need about half of it.
pub const VALUE_BYTES_LEAST: usize = 1024;
/// Share of the store's change rate that records may take which only list images: a
/// new leader that lacks them fetches an image again. (At 15 changes a second and six
/// machines a block, a fleet of hundreds would take the whole rate for them.)
pub const IMAGES_WRITE_SHARE: f64 = 0.2;
/// Share of the store's request rate for the checks behind polls, over all
/// controllers.
pub const POLL_CHECK_SHARE: f64 = 0.3;
/// Least time between two record transactions, seconds: a few batches a second.
pub const FLUSH_EVERY_S: f64 = 0.05;
/// Reads of records of uncertain version that may be under way at once: one less than the
/// threads that make requests of the store, so that a store that answers none of them still
/// leaves one to users' requests.
pub const UNCERTAIN_READS_MAX: usize = 3;
/// Wait before repeating a refused store request, seconds.
pub const STORE_RETRY_S: f64 = 0.25;
/// Keys asked for in a page: fits the service's 512 KiB answers and our memory.
pub const PAGE_LIMIT: u32 = 200;
/// Conditions of a transaction per change allowed (protocol page).
pub const CONDS_PER_OP: usize = 4;
/// Conditions that a check of one DAG dependency takes: its spec and its final
/// state, both absent (version 0).
pub const CONDS_PER_DEPENDENCY: usize = 2;
/// Bytes of JSON of the values in a transaction, beyond which no more is added: below the
/// 64 KiB limit with room for one more value and for the conditions.
pub const TXN_BYTES: usize = 32 * 1024;

// --- users ----------------------------------------------------------------

/// Submissions and cancels waiting for the store at once, at each controller;
/// more are told to come back. What the store takes from one in a second where
/// it takes 60 to 90 changes from all.
pub const USER_WRITES_MAX: usize = 24;
/// Polls waiting at once; more are told to come back. A controller has threads
/// for some hundreds of users at once, and a check answers dozens of them.
pub const POLLS_MAX: usize = 400;
/// Retry-After given when the store can't be reached, seconds: an outage ends
/// unannounced, and this is the least that users wait anyway.
pub const RETRY_STORE_S: u32 = 1;
/// Retry-After given to a cancellation that another cell must confirm, seconds: its leader
/// is asked once a second, and writes its record.
pub const RETRY_ELSEWHERE_S: u32 = 2;
/// Retry-After given when this controller is too full, seconds.
pub const RETRY_FULL_S: u32 = 2;
/// Final answers remembered; the rest are read from the store. A fleet of four
/// thousand machines ends six jobs a second, and users ask again for minutes:
/// about a quarter of an hour's, in less than two MB.
pub const FINALS_KEPT: usize = 6_000;
/// How often the leader shows the followers progress, seconds: status may lag
/// three seconds, and this is for display only.
pub const PROGRESS_EVERY_S: f64 = 1.0;
/// Every so many such rounds all jobs are shown, as a word may have been lost.
pub const PROGRESS_ALL_EVERY: u32 = 8;
/// How often controllers beat to each other, seconds.
pub const HEARTBEAT_EVERY_S: f64 = 1.0;
/// The same while a fresh process waits to learn that nobody leads.
pub const HEARTBEAT_FIRST_S: f64 = 0.3;
/// How long a peer's word may be under way, seconds: what comes later was said later than the
/// watch's news.
pub const PEER_WORD_DELAY_S: f64 = 0.5;
/// A peer's word on the store is believed for this long, seconds.
pub const HEARTBEAT_FRESH_S: f64 = 2.5;

// --- versions -------------------------------------------------------------

/// What this version's records and requests may hold, a number: 2 knows DAG dependencies
/// (`waits_on`). Raised by a change that an older version would misread.
pub const FORMAT: u32 = 2;
/// The format of a version that announces none: the one in production before formats.
pub const PRODUCTION_FORMAT: u32 = 1;
/// The format that users' DAG dependencies need on every controller.
pub const DEPENDENCIES_FORMAT: u32 = 2;
/// A controller silent for longer is shown as such, and its sighting begins anew when it is
/// heard again, seconds: as long as its word on the store, over two beats.
pub const MEMBER_FRESH_S: f64 = HEARTBEAT_FRESH_S;

// --- workers --------------------------------------------------------------

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

// --- sizing and queues (the paper's, section 5) -----------------------------

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

// --- fleet ----------------------------------------------------------------

/// How often the machine list is read, seconds; slower than the cloud's lag
/// would need, quicker than boots end.
pub const LIST_EVERY_S: f64 = 3.0;
/// How often machine types (and spot prices) are read, seconds.
pub const TYPES_EVERY_S: f64 = 60.0;
/// How often the fleet's state is logged, seconds.
pub const FLEET_LOG_S: f64 = 10.0;
/// A new leader rents nothing for so long, seconds, unless no machine is up:
/// those that are report first.
pub const RENT_AFTER_S: f64 = 4.0;
/// How often renting and returning is thought over, seconds.
pub const FLEET_EVERY_S: f64 = 0.5;
/// An idle machine is returned after this long, seconds: about a boot and a
/// fetch, since a machine returned costs its next renter that.
pub const IDLE_S: f64 = 10.0;
/// The same for spot machines, which cost less and may not be had again.
pub const IDLE_SPOT_S: f64 = 15.0;
/// Idle machines are kept longer by the time that fetching their rare images
/// took, since their next user is spared it, but by no more than this, seconds.
pub const IDLE_IMAGES_S: f64 = 60.0;
/// An image is rare while no more machines of its kind than this hold it: what
/// a large fleet holds a hundred times over is not lost with one machine.
pub const RARE_HOLDERS: u32 = 4;
/// The same for ordinary machines, whose idle second costs twice as much.
pub const IDLE_IMAGES_ORDINARY_S: f64 = 30.0;
/// Arrays that keep ordinary machines busy for this long, seconds, are worth
/// spot machines in their place: that pays for boots and fetches in a minute.
pub const SPOT_REPLACE_AFTER_S: f64 = 20.0;
/// Share of those CPUs that is rented as spot at a time; also the least CPUs
/// worth it, in machines.
pub const SPOT_REPLACE_SHARE: f64 = 0.3;
/// An idle job (work for spare capacity) that could use spot machines, and of which
/// nothing began, gets an ordinary machine after this long, seconds.
pub const SPARE_BEGIN_S: f64 = 30.0;
/// A machine is rented for idle work only if it keeps it busy for so long, seconds:
/// twice the least bill.
pub const SPARE_BUSY_S: f64 = 120.0;
/// And all that it needs, like any other job, after this long, seconds: it shall
/// run some day, whatever the others leave.
pub const SPARE_LATEST_S: f64 = 900.0;
/// A backlog of arrays that lasted this long, seconds, is worth machines of its
/// own, however short: half of a usual boot.
pub const BACKLOG_S: f64 = 12.0;
/// It should be worked off within this, seconds: the least that a machine is
/// worth renting for.
pub const DRAIN_S: f64 = 45.0;
/// A job without a deadline whose class has an aim on being done is due after this
/// share of it: room for what goes wrong.
pub const FINISH_SHARE: f64 = 0.6;
/// A machine costs this long at least (protocol page), seconds.
pub const LEAST_BILL_S: f64 = 60.0;
/// Weight of a boot just seen in what is expected of the next: most of it, as boots
/// come by the dozen and trouble with them ends as suddenly as it begins.
pub const BOOT_WEIGHT: f64 = 0.3;
/// Usual spread of boots (protocol page: to 1.5 times the usual).
pub const BOOT_SPREAD: f64 = 1.6;
/// Machines overdue by that, of a type and zone, that say boots are slow there.
pub const BOOTS_LATE: usize = 2;
/// Slowest boots reckoned with, in usual ones: beyond, machines won't come.
pub const BOOT_SLOWEST: f64 = 8.0;
/// A boot that is overdue takes this share of what was expected more.
pub const BOOT_MORE: f64 = 0.3;
/// A machine counts as room on its way for this many expected boots.
pub const BOOT_COUNTED: f64 = 2.0;
/// Bounds of the boots that the warm reserve reckons with, in usual ones: what is
/// kept warm is paid for, trouble or not.
pub const BOOT_WARM: (f64, f64) = (0.5, 2.0);
/// A boot of more than this many times the usual is given up.
pub const BOOT_GIVE_UP: f64 = 4.0;
/// A zone that had no capacity isn't asked again for this long, seconds.
pub const NO_CAPACITY_S: f64 = 15.0;
/// Replicas are moved together, to return a machine, at most so often, seconds.
pub const CONSOLIDATE_EVERY_S: f64 = 4.0;
/// In a fleet of more than this many machines the pause shrinks in proportion.
pub const CONSOLIDATE_FLEET: f64 = 40.0;
/// A replica is not moved before it has run this long, seconds: a start that is
/// stopped within half a minute counts for nobody.
pub const CONSOLIDATE_AGE_S: f64 = 35.0;
/// Only machines used up to this share are emptied by moving replicas.
pub const CONSOLIDATE_SHARE: f64 = 0.5;
/// Machines in one rental request (protocol page).
pub const RENT_MAX: u32 = 50;
/// Rents without an answer beyond which no more are sent: one lost answer (some seconds, then
/// a retry) holds up no others, while a cloud that answers none is not asked for more and more.
pub const RENTS_UNANSWERED_MAX: usize = 4;
/// The same for releases: two are as many as the threads that ask the cloud.
pub const RELEASES_UNANSWERED_MAX: usize = 2;
/// Machines that one round of renting plans at most, if the fleet is small:
/// capacity shows only when it is asked for, and a wrong guess costs a minute
/// each.
pub const PLAN_MAX: usize = 24;
/// And as a share of the tasks that find no room, if many do.
pub const PLAN_SHARE: f64 = 0.125;
/// Of the machines that could take a lost replica at once, as they hold its image
/// and have or lend the room, so many are kept, as a share of the replicas of that
/// image: machines die by the dozen, and a fetch keeps users waiting.
pub const HOLDERS_SHARE: f64 = 0.1;
/// Idle machines returned in one round, as a share of those that may go.
pub const SCALE_IN_SHARE: f64 = 0.15;
/// Machines in one release (protocol page: 100).
pub const RELEASE_MAX: usize = 100;
/// How long a released machine's name is remembered, in list lags.
pub const RELEASED_KEPT_LAGS: f64 = 20.0;
/// Part of the cloud's request rate that is used.
pub const CLOUD_SHARE: f64 = 0.8;
/// Wait after a failed cloud request, seconds.
pub const CLOUD_RETRY_S: f64 = 1.0;
/// Arrivals are averaged over this long, seconds, for the warm reserve.
pub const RATE_WINDOW_S: f64 = 60.0;
/// Tasks of one service that count as arrivals: one job of thousands is no rate.
pub const ARRIVAL_TASKS_MAX: u32 = 16;
/// Spare service places kept, as a multiple of the arrivals expected while a
/// machine boots and fetches.
pub const WARM_FACTOR: f64 = 1.5;
/// Service places kept spare at least, while services have been seen.
pub const WARM_MIN: f64 = 1.0;
/// A job's last task takes about this many times the mean, as tasks differ.
pub const RUN_SPREAD: f64 = 2.0;
/// Tasks that an objective wants started within so long are due to start after this share
/// of it: a machine may fetch an image, and some boots take longer.
pub const START_AIM_SHARE: f64 = 0.5;
/// Between a job's last task and the next job's start: the heartbeat that tells of it, the
/// write of its final state, placing and the command, seconds. Each stage of a pipeline
/// takes so much besides its tasks.
pub const STAGE_LAG_S: f64 = 2.0;
/// Renting reckons with this many times the mean for a job's last task: more
/// than the usual spread, as estimates are off by half and machines get lost,
/// and a late job costs users more than a machine for a minute.
pub const RENT_SPREAD: f64 = 2.5;
/// Waiting tasks that a rental plan lays out at least, as a job may have
/// 100,000; a large fleet starts so many within a boot.
pub const LAID_OUT_MIN: u32 = 4_000;
/// And per CPU of the fleet: as many as start within two runs, or a backlog
/// beyond a boot is never seen. (With 4,000 for 8,800 CPUs none ever was.)
pub const LAID_OUT_SHARE: f64 = 2.0;
/// A task that runs longer than the mean is thought to take this share of it
/// more.
pub const OVERDUE_SHARE: f64 = 0.3;
/// Weight of a new sample in the average time from placing to running.
pub const LAG_WEIGHT: f64 = 0.02;
/// Waves in which a job's waiting tasks may run if its deadline leaves time.
pub const WAVES_MAX: f64 = 2.0;
/// Run time assumed for a task nobody knows anything of, seconds.
pub const DEFAULT_RUN_S: f64 = 30.0;

/// Most reads of dependencies' final states under way at once: a leader that takes over
/// reads one for each job named that ended before it knew it, and must not crowd the
/// store's request rate.
pub const DEPENDENCY_READS_MAX: usize = 16;
/// Seconds before a dependency's final state is read again when a read found none or
/// failed.
pub const DEPENDENCY_READ_RETRY_S: f64 = 2.0;
/// Conditions that a check behind a poll takes at most: the job's final state and its spec.
pub const CONDS_PER_POLL: usize = 2;
/// How long a poll waits for a copy that lacks the latest cascade, seconds: users wait 2 s
/// for an answer (protocol page), and a watch brings a change within tenths of one.
pub const CASCADE_WAIT_S: f64 = 1.0;
/// A poll that has waited so long for the watch has the lists read from the store, seconds: a
/// watch that goes on is quicker, and there is time for the pages within the wait above.
pub const CASCADE_READ_AFTER_S: f64 = 0.3;
/// Pause before a check is tried again with such a copy, seconds: ten requests a second.
pub const CASCADE_LOOK_S: f64 = 0.1;
/// Jobs queued for cancellation from which on they are recorded in lists, instead of one by
/// one: below, writing each takes at most 16 changes, a second of the smallest store's rate,
/// while lists cost three changes more in all (the generation, a list and its removal). The
/// operators' pipelines have 4 to 6 jobs.
pub const CASCADE_LISTED_LEAST: usize = 9;
/// Most cascade lists in one transaction: with the generation, five changes, the smallest
/// limit of a transaction that was announced; they hold some 500 jobs.
pub const CASCADE_LISTS_PER_TXN: usize = 4;
/// Most final states of listed jobs under way at once; each is one transaction.
pub const CASCADE_ENDS_MAX: usize = 2;
/// Share of the store's change rate that the final states of listed jobs may take: users have
/// their answers already, and starts and submissions need the rest.
pub const CASCADE_ENDS_SHARE: f64 = 0.25;
/// Most cascade cancellations under way at once; each is one transaction.
pub const CASCADE_WRITES_MAX: usize = 4;
/// Changes one cascade cancellation costs the store: the final state and the spec.
pub const CASCADE_CHANGES: f64 = 2.0;
