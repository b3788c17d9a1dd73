//! Checks of a single machine: failures, stuck starts, and whether it only runs spare-capacity
//! work.

use crate::consts::{MACHINE_ERRORS, SLOW_SAMPLES};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Jobs, Live, Phase, live_attempt};
use crate::log::Log;
use marblebarrow_proto::ids::MachineId;

/// Whether tasks fail or run slowly on the machine more often than chance would explain.
pub(super) fn is_faulty(machine: &Machine) -> bool {
    machine.error_streak >= MACHINE_ERRORS || machine.slow_streak >= SLOW_SAMPLES
}

/// Cordons a machine, so that it gets no new tasks.
pub(super) fn cordon(id: &MachineId, machine: &mut Machine, log: &mut Log) {
    if !machine.cordoned {
        let (errors, slow) = (machine.error_streak, machine.slow_streak);
        log.debug(|| format!("event=cordon machine={id} errors={errors} slow={slow}"));
    }
    machine.cordoned = true;
}

/// Whether all that is left on a cordoned machine is unconfirmed starts that are to be stopped.
/// Releasing the machine proves that they are gone.
pub(super) fn is_stuck(machine: &Machine, jobs: &Jobs) -> bool {
    let stuck =
        |live: &Live| live.unconfirmed && live.stop_grace_s.is_some() && live.phase == Phase::Sent;
    machine.cordoned
        && machine.direct_in_flight.is_none()
        && !machine.releasing
        && machine.tasks.iter().all(|task| {
            let live = live_attempt(jobs, task);
            live.is_some_and(stuck)
        })
}

/// Records since when a machine has run only spare-capacity work, if it does.
pub(super) fn track_spare_only(machine: &mut Machine, jobs: &Jobs, now: Secs) {
    if !runs_only_spare_work(machine, jobs, now) {
        machine.spare_since = None;
    } else if machine.spare_since.is_none() {
        machine.spare_since = Some(now);
    }
}

/// Whether an ordinary machine runs only spare-capacity work, whose value doesn't justify the
/// machine's price.
fn runs_only_spare_work(machine: &Machine, jobs: &Jobs, now: Secs) -> bool {
    let evictable = |job: &Job, index: u32| {
        let confirmed = job.live.get(&index).is_some_and(|live| !live.unconfirmed);
        job.spot_only(now) && confirmed && !job.exempt_from_eviction(now)
    };
    !machine.info.spot
        && !machine.tasks.is_empty()
        && !machine.cordoned
        && machine
            .tasks
            .iter()
            .all(|task| jobs.get(&task.job).is_some_and(|job| evictable(job, task.index)))
}
