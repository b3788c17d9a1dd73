//! Checks of a single machine: failures, stuck starts, and whether it only runs spare-capacity
//! work.

use crate::consts::{MACHINE_ERRORS, SLOW_SAMPLES};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Jobs};
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
        job.spot_only(now) && job.live.contains_key(&index) && !job.exempt_from_eviction(now)
    };
    !machine.info.spot
        && !machine.tasks.is_empty()
        && !machine.cordoned
        && machine
            .tasks
            .iter()
            .all(|task| jobs.get(&task.job).is_some_and(|job| evictable(job, task.index)))
}
