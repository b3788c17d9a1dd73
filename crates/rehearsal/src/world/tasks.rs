//! Tasks on workers: execution of commands, and the safety rules checked at each start.

use super::*;

/// Tasks that fit on a machine.
const TASKS_PER_MACHINE: usize = 4;
/// Factor by which tasks run longer on a slow machine.
const SLOW_FACTOR: f64 = 6.0;
/// Run time of a low-priority task, in seconds.
const LOW_PRIORITY_RUN_S: f64 = 60.0;
/// Run time of an attempt that fails, in seconds.
const FAILING_TASK_RUN_S: f64 = 0.5;

impl Worker {
    /// The reason why the worker refuses to start a task, if it does.
    fn refusal(&self, task: &TaskId) -> Option<EndReason> {
        if self.tasks.contains_key(task) {
            Some(EndReason::Busy)
        } else if self.live_tasks() >= TASKS_PER_MACHINE {
            Some(EndReason::NoRoom)
        } else {
            None
        }
    }
}

impl World {
    /// Executes commands in order.
    pub(super) fn execute(&mut self, id: &MachineId, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(id, task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(id, task, *attempt),
                Command::Forget { task, attempt } => self.forget(id, task, *attempt),
            }
        }
    }

    /// Stops a running attempt of a task.
    fn stop(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let Some(task) = TaskId::parse(name) else { return };
        let Some(run) = w.tasks.get_mut(&task) else { return };
        if run.attempt == attempt && run.state != TaskState::Exited {
            run.state = TaskState::Exited;
            run.why = Some(EndReason::Stopped);
            w.report_soon(now);
        }
    }

    /// Removes an attempt from the worker's list of tasks.
    fn forget(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let Some(w) = self.machines.get_mut(id) else { return };
        let Some(task) = TaskId::parse(name) else { return };
        if w.tasks.get(&task).is_some_and(|run| run.attempt == attempt) {
            w.tasks.remove(&task);
        }
    }

    /// Starts a task, or lists it as refused.
    pub(super) fn start(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let now = self.now();
        let Some(task) = TaskId::parse(name) else {
            return self.violations.push(format!("invented: {name}"));
        };
        let spec = self.specs.get(&task.job).or_else(|| self.guest_specs.get(&task.job));
        let Some(spec) = spec.cloned() else {
            return self.violations.push(format!("invented: {task}"));
        };
        let Some(w) = self.machines.get(id) else { return };
        if w.tasks.get(&task).is_some_and(|run| run.attempt == attempt) {
            return;
        }
        if w.has_cleared(&task, attempt) {
            self.violations.push(format!("started_again: {task} attempt {} on {id}", attempt.0));
        }
        let why = w.refusal(&task);
        if why.is_none() {
            self.check_dependencies_done(&task, &spec);
            self.count_start(&task, &spec);
            self.check_start(id, &task, &spec);
        }
        let ends = self.end_of_run(id, &task, &spec);
        let state = if why.is_some() { TaskState::Exited } else { TaskState::Running };
        if let Some(w) = self.machines.get_mut(id) {
            w.report_soon(now);
            w.started.insert((task.clone(), attempt));
            if why != Some(EndReason::Busy) {
                w.tasks.insert(task, Running { attempt, state, why, ends });
            }
        }
    }

    /// Whether the next attempt of the task fails because it is the first one.
    pub(super) fn fails_first(&self, task: &TaskId) -> bool {
        self.first_attempts_fail && !self.failed_once.contains(task)
    }

    /// Counts a start, and records the first one of its job.
    fn count_start(&mut self, task: &TaskId, spec: &JobSpec) {
        self.starts += 1;
        let first = !self.started_at.contains_key(&task.job);
        self.observed.dependents_started += u32::from(first && !spec.dependencies.is_empty());
        self.started_at.entry(task.job.clone()).or_insert(self.step);
        self.observed.zoned_starts += u32::from(spec.zone.is_some());
    }

    /// Checks the rules of a start: `ran_twice`, `wrong_place`, `quota` and `ran_cancelled`.
    fn check_start(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) {
        let Some(w) = self.machines.get(id) else { return };
        let holds =
            |w: &Worker| w.tasks.get(task).is_some_and(|run| run.state != TaskState::Exited);
        let twice = self.machines.iter().find(|(o, w)| *o != id && !w.dead && holds(w));
        if let Some((other, _)) = twice {
            self.violations.push(format!("ran_twice: {task} on {id} and {other}"));
        }
        if w.spot && !spec.spot || spec.zone.as_ref().is_some_and(|zone| *zone != w.zone) {
            self.violations.push(format!("wrong_place: {task} on {id}"));
        }
        let team: usize = self.machines.values().map(Worker::live_tasks).sum();
        if team as f64 + 1.0 > self.size.1 {
            self.violations.push(format!("quota: {task} on {id}"));
        }
        if matches!(self.last_reported.get(&task.job), Some((Stage::Cancelled, _))) {
            self.observed.late_starts += 1;
            if self.after_cancellation_deadline(&task.job) {
                self.violations.push(format!("ran_cancelled: {task} starts on {id}"));
            }
        }
    }

    /// The time at which a task that starts now ends by itself.
    fn end_of_run(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) -> f64 {
        let now = self.now();
        let slow = self.machines.get(id).is_some_and(|w| self.step < w.slow_until);
        let usual = self.rng.random_range(1.0..5.0);
        let run = match spec.priority {
            Priority::Low => LOW_PRIORITY_RUN_S,
            _ if self.staggered_tasks && task.index > 0 => self.stagger_s * f64::from(task.index),
            _ => usual,
        };
        let run = run * if slow { SLOW_FACTOR } else { 1.0 };
        match spec.kind {
            _ if self.always_fails(&task.job) || self.fails_first(task) => now + FAILING_TASK_RUN_S,
            Kind::Service => f64::INFINITY,
            _ if self.finished.contains(task) => now,
            _ => now + run,
        }
    }
}
