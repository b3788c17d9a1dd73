//! Limits and timing for renting and returning machines.

/// Interval between reads of the machine list, in seconds: longer than the cloud's list lag
/// requires, shorter than a boot.
pub const LIST_EVERY_S: f64 = 3.0;
/// Interval between reads of the machine types and spot prices, in seconds.
pub const TYPES_EVERY_S: f64 = 60.0;
/// Interval at which the state of the fleet is logged, in seconds.
pub const FLEET_LOG_S: f64 = 10.0;
/// How long a new leader rents no machines, in seconds, unless no machine is up; the running
/// machines have to report first.
pub const RENT_AFTER_S: f64 = 4.0;
/// Interval between evaluations of renting and returning machines, in seconds.
pub const FLEET_EVERY_S: f64 = 0.5;
/// An idle ordinary machine is returned after this time, in seconds: about a boot and an image
/// fetch, the cost of renting it again.
pub const IDLE_S: f64 = 10.0;
/// An idle spot machine is returned after this time, in seconds; it costs less than an ordinary one
/// and may not be available again.
pub const IDLE_SPOT_S: f64 = 15.0;
/// Upper bound of the extra time for which an idle machine is kept because of its rare images, in
/// seconds. The extra time is what fetching these images took, since the next user is spared the
/// fetch.
pub const IDLE_IMAGES_S: f64 = 60.0;
/// An image is rare while at most this many machines of its kind hold it. An image that hundreds of
/// machines of a large fleet hold is not lost with one machine.
pub const RARE_HOLDERS: u32 = 4;
/// [`IDLE_IMAGES_S`] for ordinary machines, whose idle second costs twice as much, in seconds.
pub const IDLE_IMAGES_ORDINARY_S: f64 = 30.0;
/// Arrays that keep ordinary machines busy for this long are moved to spot machines, in seconds:
/// the saving pays for boots and fetches in a minute.
pub const SPOT_REPLACE_AFTER_S: f64 = 20.0;
/// Share of the CPUs to be replaced that is rented as spot at a time; also the minimum CPUs worth
/// replacing, in machines.
pub const SPOT_REPLACE_SHARE: f64 = 0.3;
/// A low-priority job (work for spare capacity) that could use spot machines and of which nothing
/// has started gets an ordinary machine after this time, in seconds.
pub const SPARE_BEGIN_S: f64 = 30.0;
/// A machine is rented for low-priority work only if that work keeps it busy for this long, in
/// seconds: twice the minimum bill.
pub const SPARE_BUSY_S: f64 = 120.0;
/// After this time a low-priority job gets all the machines that it needs, like any other job, in
/// seconds, so that it runs eventually even if the other jobs leave no capacity.
pub const SPARE_LATEST_S: f64 = 900.0;
/// A backlog of array tasks that has lasted this long is worth machines of its own, however short
/// it is, in seconds: half of a usual boot.
pub const BACKLOG_S: f64 = 12.0;
/// Target time in which a backlog should be worked off, in seconds; also the minimum use that
/// justifies renting a machine.
pub const DRAIN_S: f64 = 45.0;
/// A job without a deadline whose class has a completion objective is due after this share of it;
/// the rest is a reserve for faults.
pub const FINISH_SHARE: f64 = 0.6;
/// Minimum billed time of a machine (protocol page), in seconds.
pub const MIN_BILLING_S: f64 = 60.0;
/// Weight of the latest boot in the moving average of boot times. It is high because machines boot
/// by the dozen and slow boots end as suddenly as they begin.
pub const BOOT_WEIGHT: f64 = 0.3;
/// Usual spread of boot times, as a multiple of the usual one (the protocol page says up to 1.5
/// times).
pub const BOOT_SPREAD: f64 = 1.6;
/// Number of machines of one type and zone overdue by [`BOOT_SPREAD`] from which boots there count
/// as slow.
pub const BOOTS_LATE: usize = 2;
/// Upper bound of the expected boot time, as a multiple of the usual one. Machines that take longer
/// are not expected to come up.
pub const BOOT_SLOWEST: f64 = 8.0;
/// An overdue boot is expected to take this share of its expected time longer.
pub const BOOT_MORE: f64 = 0.3;
/// A booting machine counts as future capacity for this many expected boot times.
pub const BOOT_COUNTED: f64 = 2.0;
/// Bounds of the boot time used to size the warm reserve, as multiples of the usual one. The upper
/// bound limits the cost, as warm capacity is paid for also while boots are slow.
pub const BOOT_WARM: (f64, f64) = (0.5, 2.0);
/// A boot that takes more than this many times the usual one is given up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// A zone that had no capacity isn't asked again for this long, in seconds.
pub const NO_CAPACITY_S: f64 = 15.0;
/// Minimum interval between two consolidations, which move replicas together to return a machine,
/// in seconds.
pub const CONSOLIDATE_EVERY_S: f64 = 4.0;
/// Fleet size, in machines, above which [`CONSOLIDATE_EVERY_S`] shrinks in proportion.
pub const CONSOLIDATE_FLEET: f64 = 40.0;
/// Minimum run time of a replica before it is moved, in seconds: a start that is stopped within
/// half a minute counts for no objective.
pub const CONSOLIDATE_AGE_S: f64 = 35.0;
/// Only machines whose utilisation is at most this share are emptied by moving replicas.
pub const CONSOLIDATE_SHARE: f64 = 0.5;
/// Maximum number of machines in one rental request (protocol page).
pub const RENT_MAX: u32 = 50;
/// Maximum number of rental requests in flight. One lost answer (some seconds, then a retry)
/// doesn't block the others, while a cloud that answers none isn't asked for more and more
/// machines.
pub const RENTS_UNANSWERED_MAX: usize = 4;
/// Maximum number of release requests in flight: two, as many as the threads that call the cloud.
pub const RELEASES_UNANSWERED_MAX: usize = 2;
/// Maximum number of machines that one round of renting plans in a small fleet. Available capacity
/// shows only when it is asked for, and each wrong guess costs a minute of a machine.
pub const PLAN_MAX: usize = 24;
/// Maximum number of machines that one round of renting plans, as a share of the tasks that find no
/// room, if there are many such tasks.
pub const PLAN_SHARE: f64 = 0.125;
/// Machines kept that can take over a lost replica at once, because they hold its image and have or
/// can free the capacity, as a share of the replicas of that image. Machines fail by the dozen, and
/// a fetch keeps users waiting.
pub const HOLDERS_SHARE: f64 = 0.1;
/// Idle machines returned in one round, as a share of those that may be returned.
pub const SCALE_IN_SHARE: f64 = 0.15;
/// Maximum number of machines in one release request (protocol page: 100).
pub const RELEASE_MAX: usize = 100;
/// How long the name of a released machine is remembered, in multiples of the list lag.
pub const RELEASED_KEPT_LAGS: f64 = 20.0;
/// Share of the cloud's request rate limit that is used.
pub const CLOUD_SHARE: f64 = 0.8;
/// Delay after a failed cloud request, in seconds.
pub const CLOUD_RETRY_S: f64 = 1.0;
/// Averaging window of the arrival rate that sizes the warm reserve, in seconds.
pub const RATE_WINDOW_S: f64 = 60.0;
/// Maximum number of tasks of one service that count as arrivals: a single job with thousands of
/// tasks says nothing about the rate.
pub const ARRIVAL_TASKS_MAX: u32 = 16;
/// Spare service slots kept, as a multiple of the arrivals expected while a machine boots and
/// fetches its images.
pub const WARM_FACTOR: f64 = 1.5;
/// Minimum number of spare service slots once services have been seen.
pub const WARM_MIN: f64 = 1.0;
/// A job's last task takes about this many times the mean, as run times vary.
pub const RUN_SPREAD: f64 = 2.0;
/// Tasks with a start objective are due to start after this share of it, as a machine may have to
/// fetch an image and some boots take longer.
pub const START_OBJECTIVE_SHARE: f64 = 0.5;
/// Time between the end of a job's last task and the start of a dependent job, in seconds: the
/// heartbeat that reports the end, the write of the final state, placement and the start command.
/// Each stage of a pipeline takes this long in addition to its tasks.
pub const STAGE_LAG_S: f64 = 2.0;
/// Multiple of the mean that renting assumes for a job's last task. It exceeds the usual spread
/// because estimates are off by half and machines get lost, and a late job costs users more than a
/// machine for a minute.
pub const RENT_SPREAD: f64 = 2.5;
/// Minimum number of waiting tasks that a rental plan considers, as a job may have 100,000 tasks; a
/// large fleet starts this many within a boot.
pub const PROJECTED_TASKS_MIN: u32 = 4_000;
/// Waiting tasks that a rental plan considers per CPU of the fleet: as many as start within two run
/// times. With fewer, a backlog longer than a boot is never seen; a limit of 4,000 tasks for 8,800
/// CPUs hid every one.
pub const PROJECTED_TASKS_SHARE: f64 = 2.0;
/// A task that already runs longer than the mean is expected to take this share of the mean longer.
pub const OVERDUE_SHARE: f64 = 0.3;
/// Weight of a new sample in the moving average of the time from placement to running.
pub const LAG_WEIGHT: f64 = 0.02;
/// Maximum number of waves in which a job's waiting tasks may run if its deadline leaves time.
pub const WAVES_MAX: f64 = 2.0;
/// Run time assumed for a task without an estimate or samples, in seconds.
pub const DEFAULT_RUN_S: f64 = 30.0;
