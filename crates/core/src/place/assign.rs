//! Assigning a task to a machine: the bookkeeping of a placement.

use super::candidates::TaskRequest;
use super::{ImagePolicy, RequestShape, SchedulingPass};
use crate::consts::AMOUNT_TOLERANCE;
use crate::event::Secs;
use crate::jobs::{Live, Phase};
use crate::leader::Leader;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind};

impl Leader {
    /// Places one task on the best machine with enough free capacity. Returns false if there is
    /// none.
    pub(super) fn place_task(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        images: ImagePolicy,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        if !self.within_limit(pass, job.spec()) {
            return false;
        }
        let shape = RequestShape::of(job.spec(), images, None);
        if pass.is_unplaceable(shape.as_ref()) {
            return false;
        }
        let task = TaskId { job: id.clone(), index };
        let search = TaskRequest { job, task, images }.search(pass, &self.machines);
        let Some(machine) = search.best else {
            if !search.attempt_listed {
                pass.unplaceable.extend(shape);
            }
            return false;
        };
        let attempt = self.new_attempt();
        self.assign(pass, id, index, &machine, attempt);
        true
    }

    /// Returns a new attempt number, higher than all previous ones.
    pub(crate) fn new_attempt(&mut self) -> Attempt {
        self.next_attempt += 1;
        Attempt::new(self.term, self.next_attempt)
    }

    /// Assigns a task to a machine: reserves the capacity and queues the start to be recorded in
    /// the store. The machine is told of the task once that is done.
    pub(crate) fn assign(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: Attempt,
    ) {
        let Some(number) = self.machine_number(machine) else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let must_record = !job.start_recorded(index, number);
        job.place(index, placed(machine, attempt, pass.now), number);
        let spec = job.record.spec.clone();
        let used = pass.usage.entry(spec.team.clone()).or_default();
        used[0] += spec.cpus;
        used[1] += spec.gpus;
        if must_record {
            self.writer.touch_task(id, index, pass.now, true);
        }
        if spec.kind == Kind::Array
            && let Some(demand) = self.image_demand.get_mut(&spec.image)
        {
            demand.waiting -= spec.cpus;
        }
        self.attach(id, index, machine);
        self.log_assignment(pass.now, id, index, machine, attempt, &spec);
        self.prepare_machine(pass, machine, &spec);
    }

    /// The number under which stored records refer to the machine; assigns one if it has none.
    pub(crate) fn machine_number(&mut self, machine: &MachineId) -> Option<u32> {
        let machine = self.machines.get_mut(machine)?;
        if machine.info.number == 0 {
            self.next_number += 1;
            machine.info.number = self.next_number;
        }
        Some(machine.info.number)
    }

    fn log_assignment(
        &mut self,
        now: Secs,
        id: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: Attempt,
        spec: &JobSpec,
    ) {
        let Some(fetch) =
            self.machines.get(machine).map(|m| m.fetch_time(&spec.image, spec.image_gb, now))
        else {
            return;
        };
        self.log.debug(|| {
            format!(
                "event=place task={id}/{index} attempt={} machine={machine} image={} \
                 fetch_s={fetch:.1} term={}",
                attempt.0, spec.image, self.term.0
            )
        });
    }

    /// Updates the machine after an assignment: expects the image fetch, schedules a message to the
    /// worker, and refreshes the free capacity.
    fn prepare_machine(&mut self, pass: &mut SchedulingPass, id: &MachineId, spec: &JobSpec) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.prompt_due = true;
        if machine.expect_image(&spec.image, spec.image_gb, pass.now)
            && let Some(demand) = self.image_demand.get_mut(&spec.image)
        {
            demand.holders += machine.size[0];
        }
        self.writer.want_machine(id, machine, pass.now);
        let free = machine.free();
        if free[0] + AMOUNT_TOLERANCE >= self.least_cpus {
            pass.available.insert(id.clone(), free);
        } else {
            pass.available.remove(id);
        }
    }
}

/// The state of an attempt that has just been placed.
fn placed(machine: &MachineId, attempt: Attempt, now: Secs) -> Live {
    Live {
        machine: machine.clone(),
        attempt,
        phase: Phase::Placed,
        placed_at: now,
        ran_from: None,
        stop_grace_s: None,
        start_sent_at: None,
        adopted: false,
    }
}
