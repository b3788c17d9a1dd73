//! Checks of a single machine: failures, stuck starts, and what it is kept for.

use crate::consts::{MACHINE_ERRORS, SLOW_SAMPLES};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Jobs, Live, Phase, live_attempt};
use crate::log::Log;
use marblebarrow_proto::ids::MachineId;

/// Whether tasks fail on the machine, or run slowly, more often than by chance.
pub(super) fn is_faulty(machine: &Machine) -> bool {
    machine.errors >= MACHINE_ERRORS || machine.slow >= SLOW_SAMPLES
}

/// Keeps new tasks away from a machine.
pub(super) fn cordon(id: &MachineId, machine: &mut Machine, log: &mut Log) {
    if !machine.cordoned {
        let (errors, slow) = (machine.errors, machine.slow);
        log.push(|| format!("event=cordon machine={id} errors={errors} slow={slow}"));
    }
    machine.cordoned = true;
}

/// Whether all that is left on a cordoned machine is unconfirmed starts that are to stop:
/// its release proves them gone.
pub(super) fn is_stuck(machine: &Machine, jobs: &Jobs) -> bool {
    let stuck = |live: &Live| live.unconfirmed && live.stop.is_some() && live.phase == Phase::Sent;
    machine.cordoned
        && machine.direct.is_none()
        && !machine.releasing
        && machine.tasks.iter().all(|task| {
            let live = live_attempt(jobs, task);
            live.is_some_and(stuck)
        })
}

/// Notes since when a machine has run nothing but spare-capacity work, if it does.
pub(super) fn note_spare_only(machine: &mut Machine, jobs: &Jobs, now: Secs) {
    if !runs_only_spare_work(machine, jobs, now) {
        machine.spare_since = None;
    } else if machine.spare_since.is_none() {
        machine.spare_since = Some(now);
    }
}

/// Whether there is nothing but spare-capacity work on an ordinary machine, which is dearer
/// than that work is worth.
fn runs_only_spare_work(machine: &Machine, jobs: &Jobs, now: Secs) -> bool {
    let evictable = |job: &Job, index: u32| {
        let confirmed = job.live.get(&index).is_some_and(|live| !live.unconfirmed);
        job.cheap_only(now) && confirmed && !job.keeps(now)
    };
    !machine.info.spot
        && !machine.tasks.is_empty()
        && !machine.cordoned
        && machine
            .tasks
            .iter()
            .all(|task| jobs.get(&task.job).is_some_and(|job| evictable(job, task.index)))
}
