//! Stand-ins of workers.

use super::*;

/// Tasks that a machine has room for.
const TASKS_PER_MACHINE: usize = 4;
/// Wait of a worker for the answer to a heartbeat, seconds.
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// Pause before a worker tries the next controller, seconds.
const NEXT_CONTROLLER_S: f64 = 1.0;
/// Pause between a change on a machine and the heartbeat that tells of it, seconds.
const CHANGE_PAUSE_S: f64 = 0.5;
/// While heartbeats are kept for the next leader, one in so many is.
const KEPT_ONE_IN: u32 = 3;
/// While jobs are cancelled at their end, one in so many is.
const CANCELLED_AT_END_ONE_IN: u32 = 2;
/// How much longer tasks take on a slow machine.
const SLOW_FACTOR: f64 = 6.0;
/// Run time of a task of low priority, seconds.
const LOW_PRIORITY_RUN_S: f64 = 60.0;
/// Run time of a task of a job that fails everywhere, seconds.
const MISTAKEN_RUN_S: f64 = 0.5;

impl Worker {
    /// Tasks that take room.
    fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|run| run.state != TaskState::Exited).count()
    }

    /// Until when, in steps, messages don't reach it.
    pub(super) fn unreachable_until(&self) -> u32 {
        self.cut_until.max(self.deaf_until).max(self.hung_until)
    }

    /// Something changed: the next heartbeat comes soon.
    fn tell_soon(&mut self, now: f64) {
        self.next_report = self.next_report.min(now + CHANGE_PAUSE_S);
    }

    /// Turns to the next controller, after a pause.
    fn try_next_controller(&mut self, now: f64) {
        self.at = (self.at + 1) % NODES;
        self.next_report = now + NEXT_CONTROLLER_S;
    }

    /// Why a worker refuses to start a task, if it does.
    fn refusal(&self, task: &TaskId) -> Option<Why> {
        if self.tasks.contains_key(task) {
            Some(Why::Busy)
        } else if self.live_tasks() >= TASKS_PER_MACHINE {
            Some(Why::NoRoom)
        } else {
            None
        }
    }
}

impl World {
    /// A worker's next heartbeat.
    pub(super) fn heartbeat_of(&mut self, id: &MachineId) -> Option<Report> {
        let w = self.machines.get_mut(id)?;
        w.seq += 1;
        Some(Report {
            machine: id.clone(),
            addr: id.to_string(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, r)| ReportTask {
                    task: t.to_string(),
                    attempt: r.attempt,
                    state: r.state,
                    why: r.why,
                })
                .collect(),
        })
    }

    /// One step of all workers.
    pub(super) fn work(&mut self) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.work_on(&id);
        }
        self.check_cancelled();
    }

    /// One step of a worker: its lease, ends of tasks, heartbeats.
    fn work_on(&mut self, id: &MachineId) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        if w.dead || now < w.up_at {
            return;
        }
        // One that hangs does this as it goes on, before anything else.
        if now - w.leased_from > self.beat.1 {
            self.lapses += u32::from(!w.tasks.is_empty());
            w.tasks.clear();
            w.session += 1;
            w.seq = 0;
            w.leased_from = now;
        }
        if self.step < w.hung_until {
            return;
        }
        self.end_tasks(id, now);
        self.send_heartbeat_if_due(id, now);
    }

    fn end_tasks(&mut self, id: &MachineId, now: f64) {
        let Some(w) = self.machines.get(id) else { return };
        let due =
            |(_, run): &(&TaskId, &Running)| run.state == TaskState::Running && now >= run.ends;
        let ended: Vec<TaskId> = w.tasks.iter().filter(due).map(|(t, _)| t.clone()).collect();
        for task in ended {
            let why = self.end_task(&task);
            let Some(w) = self.machines.get_mut(id) else { return };
            w.tell_soon(now);
            if let Some(run) = w.tasks.get_mut(&task) {
                run.state = TaskState::Exited;
                run.why = Some(why);
            }
        }
    }

    /// A task ends: how, and what follows for its job.
    fn end_task(&mut self, task: &TaskId) -> Why {
        let number = number_of(&task.job);
        if self.mistaken.is_some_and(|divisor| number.is_multiple_of(divisor)) {
            self.fails += 1;
            return Why::Error;
        }
        self.finished.insert(task.clone());
        self.newly_finished.push(task.clone());
        if self.all_finished(&task.job)
            && self.step < self.cancel_ends_until
            && self.rng.random_range(0..CANCELLED_AT_END_ONE_IN) == 0
        {
            self.met.cancelled_at_end += 1;
            self.called_off.insert(task.job.clone());
        }
        Why::Done
    }

    /// Whether all tasks of a job that was submitted here are finished.
    fn all_finished(&self, job: &JobId) -> bool {
        self.specs.get(job).is_some_and(|spec| {
            let finished = |index| self.finished.contains(&TaskId { job: job.clone(), index });
            (0..spec.tasks).all(finished)
        })
    }

    fn send_heartbeat_if_due(&mut self, id: &MachineId, now: f64) {
        let Some(w) = self.machines.get_mut(id) else { return };
        if w.waiting.is_some_and(|sent| now - sent > HEARTBEAT_TIMEOUT_S) {
            w.waiting = None;
            w.try_next_controller(now);
        }
        if w.waiting.is_some() || now < w.next_report {
            return;
        }
        w.waiting = Some(now);
        w.next_report = now + self.beat.0;
        let (node, cut) = (w.at, w.cut_until);
        let mute = self.step < w.mute_until;
        let Some(report) = self.heartbeat_of(id).filter(|_| !mute) else { return };
        if self.step < self.keep_until && self.rng.random_range(0..KEPT_ONE_IN) == 0 {
            self.kept.push((report.clone(), now));
        }
        if self.step < self.copies.0 {
            self.send_late_copy(node, report.clone(), now);
        }
        let late = Late::Report { node, report, sent: now };
        // Held back by a cut, and delivered when it ends.
        if cut > self.step {
            self.late.push((cut, late));
        } else {
            self.after(0, late);
        }
    }

    /// A copy of a heartbeat comes later, to any controller.
    fn send_late_copy(&mut self, node: usize, report: Report, sent: f64) {
        let node = (node + self.step as usize) % NODES;
        let delay = self.rng.random_range(1..self.copies.1.max(2));
        self.met.copies += 1;
        self.late.push((self.step + delay, Late::Report { node, report, sent }));
    }

    /// The answer to a heartbeat arrives at its worker.
    pub(super) fn heartbeat_answered(
        &mut self,
        id: &MachineId,
        session: u64,
        sent: f64,
        answer: Answer,
    ) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let unreachable = self.step < w.unreachable_until();
        self.met.unheard += u32::from(unreachable);
        if w.dead || w.waiting != Some(sent) || w.session != session || unreachable {
            return;
        }
        w.waiting = None;
        match answer {
            Answer::Report(a) => {
                if a.token < w.token {
                    return;
                }
                if a.token > w.token {
                    w.tell_soon(now);
                }
                w.token = a.token;
                w.leased_from = sent;
                self.execute(id, &a.commands);
            }
            Answer::Elsewhere(node) => {
                let named = node.and_then(|n| n.as_str()[1..].parse().ok());
                w.at = named.unwrap_or((w.at + 1) % NODES);
                w.next_report = now + CHANGE_PAUSE_S;
            }
            _ => w.try_next_controller(now),
        }
    }

    /// Direct commands arrive at a worker. None if there is no worker that could answer.
    pub(super) fn direct(&mut self, id: &MachineId, cmd: &DirectCommands) -> Option<DirectResult> {
        let now = self.now();
        let w = self.machines.get_mut(id)?;
        if w.dead || now < w.up_at {
            return None;
        }
        let good = cmd.token >= w.token && cmd.session == w.session;
        if good {
            self.met.mute_orders += u32::from(self.step < w.mute_until);
            w.token = cmd.token;
            self.execute(id, &cmd.commands);
        }
        Some(DirectResult::Report(good, Box::new(self.heartbeat_of(id)?)))
    }

    /// Executes commands, in their order.
    pub(super) fn execute(&mut self, id: &MachineId, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(id, task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(id, task, *attempt),
                Command::Forget { task, attempt } => self.forget(id, task, *attempt),
            }
        }
    }

    fn stop(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let Some(task) = TaskId::parse(name) else { return };
        let Some(run) = w.tasks.get_mut(&task) else { return };
        if run.attempt == attempt && run.state != TaskState::Exited {
            run.state = TaskState::Exited;
            run.why = Some(Why::Stopped);
            w.tell_soon(now);
        }
    }

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
            return self.broken.push(format!("invented: {name}"));
        };
        let spec = self.specs.get(&task.job).or_else(|| self.guest_specs.get(&task.job));
        let Some(spec) = spec.cloned() else {
            return self.broken.push(format!("invented: {task}"));
        };
        let Some(w) = self.machines.get(id) else { return };
        if w.tasks.get(&task).is_some_and(|run| run.attempt == attempt) {
            return;
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
            w.tell_soon(now);
            if why != Some(Why::Busy) {
                w.tasks.insert(task, Running { attempt, state, why, ends });
            }
        }
    }

    fn count_start(&mut self, task: &TaskId, spec: &JobSpec) {
        self.starts += 1;
        let first = !self.begun.contains_key(&task.job);
        self.met.dependents_started += u32::from(first && !spec.dependencies.is_empty());
        self.begun.entry(task.job.clone()).or_insert(self.step);
        self.met.zoned_starts += u32::from(spec.zone.is_some());
    }

    /// The rules of a start: `ran_twice`, `wrong_place`, `quota` and `ran_cancelled`.
    fn check_start(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) {
        let Some(w) = self.machines.get(id) else { return };
        let holds =
            |w: &Worker| w.tasks.get(task).is_some_and(|run| run.state != TaskState::Exited);
        let twice = self.machines.iter().find(|(o, w)| *o != id && !w.dead && holds(w));
        if let Some((other, _)) = twice {
            self.broken.push(format!("ran_twice: {task} on {id} and {other}"));
        }
        if w.spot && !spec.spot || spec.zone.as_ref().is_some_and(|zone| *zone != w.zone) {
            self.broken.push(format!("wrong_place: {task} on {id}"));
        }
        let team: usize = self.machines.values().map(Worker::live_tasks).sum();
        if team as f64 + 1.0 > self.size.1 {
            self.broken.push(format!("quota: {task} on {id}"));
        }
        if matches!(self.told.get(&task.job), Some((Stage::Cancelled, _))) {
            self.met.late_starts += 1;
            if self.past_cancellation(&task.job) {
                self.broken.push(format!("ran_cancelled: {task} starts on {id}"));
            }
        }
    }

    /// When a task that starts now will end by itself.
    fn end_of_run(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) -> f64 {
        let now = self.now();
        let slow = self.machines.get(id).is_some_and(|w| self.step < w.slow_until);
        let usual = self.rng.random_range(1.0..5.0);
        let run = match spec.priority {
            Priority::Low => LOW_PRIORITY_RUN_S,
            _ if self.gaps && task.index > 0 => self.gap_s * f64::from(task.index),
            _ => usual,
        };
        let run = run * if slow { SLOW_FACTOR } else { 1.0 };
        match spec.kind {
            _ if self.mistaken(&task.job) => now + MISTAKEN_RUN_S,
            Kind::Service => f64::INFINITY,
            _ if self.finished.contains(task) => now,
            _ => now + run,
        }
    }
}
