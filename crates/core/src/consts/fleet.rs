//! The fleet: renting and returning machines.

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
