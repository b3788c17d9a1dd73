//! Simulated workers: leases, ends of tasks, heartbeats and their answers.

use super::*;

/// Timeout of a heartbeat, in seconds.
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// Backoff before a worker tries the next controller, in seconds.
const NEXT_CONTROLLER_S: f64 = 1.0;
/// Delay between a change on a machine and the heartbeat that reports it, in seconds.
const CHANGE_PAUSE_S: f64 = 0.5;
/// While heartbeats are kept back for the next leader, one in this many is copied.
const KEPT_ONE_IN: u32 = 3;
/// While jobs are cancelled at their end, one in this many is.
const CANCELLED_AT_END_ONE_IN: u32 = 2;

impl Worker {
    /// Number of tasks that haven't exited.
    pub(super) fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|run| run.state != TaskState::Exited).count()
    }

    /// The step up to which messages don't reach the worker.
    pub(super) fn unreachable_until(&self) -> u32 {
        self.cut_until.max(self.inbound_cut_until).max(self.hung_until)
    }

    /// Advances the next heartbeat to report a change.
    pub(super) fn report_soon(&mut self, now: f64) {
        self.next_heartbeat = self.next_heartbeat.min(now + CHANGE_PAUSE_S);
    }

    /// Adopts a token. A higher one makes the worker send a heartbeat, once in half of its lease.
    fn adopt_token(&mut self, now: f64, token: u64, lease_s: f64) {
        if token > self.fencing_token && now - self.token_reported_at >= lease_s / 2.0 {
            self.token_reported_at = now;
            self.report_soon(now);
        }
        self.fencing_token = token;
    }

    /// Switches to the next controller, after a backoff.
    fn try_next_controller(&mut self, now: f64) {
        self.controller = (self.controller + 1) % NODES;
        self.next_heartbeat = now + NEXT_CONTROLLER_S;
    }
}

/// The tasks that an answer starts.
pub(super) fn starts_in(answer: &Answer) -> impl Iterator<Item = TaskId> + '_ {
    let commands = match answer {
        Answer::Heartbeat(answer) => answer.commands.as_slice(),
        _ => &[],
    };
    commands.iter().filter_map(|command| match command {
        Command::Start { task, .. } => TaskId::parse(task),
        _ => None,
    })
}

impl World {
    /// Creates the next heartbeat of a worker.
    pub(super) fn heartbeat_of(&mut self, id: &MachineId) -> Option<Heartbeat> {
        let w = self.machines.get_mut(id)?;
        w.seq += 1;
        Some(Heartbeat {
            machine: id.clone(),
            addr: id.to_string(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            agent_epoch: w.agent_epoch,
            seq: w.seq,
            fencing_token: w.fencing_token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, r)| HeartbeatTask {
                    task: t.to_string(),
                    attempt: r.attempt,
                    state: r.state,
                    end_reason: r.why,
                })
                .collect(),
        })
    }

    /// One step of all workers, and the check of cancelled jobs.
    pub(super) fn step_workers(&mut self) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.step_worker(&id);
        }
        self.check_cancelled();
    }

    /// One step of a worker: expiry of its lease, ends of tasks, heartbeat.
    fn step_worker(&mut self, id: &MachineId) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        if w.dead || now < w.up_at {
            return;
        }
        // A suspended worker does this when it resumes, before anything else.
        if now - w.leased_from > self.heartbeat_and_lease_s.1 {
            if !w.tasks.is_empty() {
                self.expired_leases += 1;
                self.observed.lease_expiries.push(LeaseExpiry {
                    machine: id.to_string(),
                    renewed_s: w.leased_from,
                    ended_s: now,
                    trace: w.trace.clone(),
                });
            }
            w.trace.renewed();
            w.tasks.clear();
            w.started.clear();
            w.agent_epoch += 1;
            w.seq = 0;
            w.leased_from = now;
        }
        if self.step < w.hung_until {
            return;
        }
        self.end_tasks(id, now);
        self.send_heartbeat_if_due(id, now);
    }

    /// Ends the tasks of a worker that are due.
    fn end_tasks(&mut self, id: &MachineId, now: f64) {
        let Some(w) = self.machines.get(id) else { return };
        let due =
            |(_, run): &(&TaskId, &Running)| run.state == TaskState::Running && now >= run.ends;
        let ended: Vec<TaskId> = w.tasks.iter().filter(due).map(|(t, _)| t.clone()).collect();
        for task in ended {
            let why = self.end_task(&task);
            let Some(w) = self.machines.get_mut(id) else { return };
            w.report_soon(now);
            if let Some(run) = w.tasks.get_mut(&task) {
                run.state = TaskState::Exited;
                run.why = Some(why);
            }
        }
    }

    /// Ends a task, and returns its outcome. May schedule a cancellation of its job.
    fn end_task(&mut self, task: &TaskId) -> EndReason {
        let number = number_of(&task.job);
        if self.failing_job_interval.is_some_and(|divisor| number.is_multiple_of(divisor)) {
            self.failed_attempts += 1;
            return EndReason::Error;
        }
        if self.fails_first(task) {
            self.failed_once.insert(task.clone());
            self.failed_attempts += 1;
            return EndReason::Error;
        }
        self.finished.insert(task.clone());
        self.newly_finished.push(task.clone());
        if self.all_finished(&task.job)
            && self.step < self.cancel_at_end_until
            && self.rng.random_range(0..CANCELLED_AT_END_ONE_IN) == 0
        {
            self.observed.cancelled_at_end += 1;
            self.cancel_requested.insert(task.job.clone());
        }
        EndReason::Done
    }

    /// Whether all tasks of a job that was submitted in this cell are finished.
    fn all_finished(&self, job: &JobId) -> bool {
        self.specs.get(job).is_some_and(|spec| {
            let finished = |index| self.finished.contains(&TaskId { job: job.clone(), index });
            (0..spec.tasks).all(finished)
        })
    }

    /// Sends a heartbeat if one is due and none awaits its answer.
    fn send_heartbeat_if_due(&mut self, id: &MachineId, now: f64) {
        let Some(w) = self.machines.get_mut(id) else { return };
        if w.awaiting_since.is_some_and(|sent| now - sent > HEARTBEAT_TIMEOUT_S) {
            w.awaiting_since = None;
            w.trace.failed(now, HeartbeatOutcome::TimedOut);
            w.try_next_controller(now);
        }
        if w.awaiting_since.is_some() || now < w.next_heartbeat {
            return;
        }
        w.awaiting_since = Some(now);
        w.next_heartbeat = now + self.heartbeat_and_lease_s.0;
        w.trace.sent(w.controller, now);
        let (node, cut) = (w.controller, w.cut_until);
        let outbound_cut = self.step < w.outbound_cut_until;
        let Some(heartbeat) = self.heartbeat_of(id).filter(|_| !outbound_cut) else { return };
        if self.step < self.keep_heartbeats_until && self.rng.random_range(0..KEPT_ONE_IN) == 0 {
            self.kept_heartbeats.push((heartbeat.clone(), now));
        }
        if self.step < self.copies.0 {
            self.send_late_copy(node, heartbeat.clone(), now);
        }
        let delivery = Delivery::Heartbeat { node, heartbeat, sent: now };
        // Delivered when the cut ends.
        if cut > self.step {
            self.deliveries.push((cut, delivery));
        } else {
            self.after(0, delivery);
        }
    }

    /// Sends a duplicate of a heartbeat later, to any controller.
    fn send_late_copy(&mut self, node: usize, heartbeat: Heartbeat, sent: f64) {
        let node = (node + self.step as usize) % NODES;
        let delay = self.rng.random_range(1..self.copies.1.max(2));
        self.observed.copies += 1;
        self.deliveries.push((self.step + delay, Delivery::Heartbeat { node, heartbeat, sent }));
    }

    /// Handles the answer to a heartbeat at its worker.
    pub(super) fn heartbeat_answered(
        &mut self,
        id: &MachineId,
        agent_epoch: u64,
        sent: f64,
        answer: Answer,
    ) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let unreachable = self.step < w.unreachable_until();
        self.observed.undelivered_answers += u32::from(unreachable);
        if w.dead || w.awaiting_since != Some(sent) || w.agent_epoch != agent_epoch || unreachable {
            self.observed.discarded_starts += starts_in(&answer).count() as u32;
            return;
        }
        w.awaiting_since = None;
        match answer {
            Answer::Heartbeat(a) => {
                if a.fencing_token < w.fencing_token {
                    w.trace.failed(now, HeartbeatOutcome::StaleToken);
                    return;
                }
                w.adopt_token(now, a.fencing_token, self.heartbeat_and_lease_s.1);
                w.leased_from = sent;
                w.trace.renewed();
                self.execute(id, &a.commands);
            }
            Answer::RedirectTo(node) => {
                w.trace.failed(now, HeartbeatOutcome::Redirected);
                let named = node.and_then(|n| n.as_str()[1..].parse().ok());
                w.controller = named.unwrap_or((w.controller + 1) % NODES);
                w.next_heartbeat = now + CHANGE_PAUSE_S;
            }
            _ => {
                w.trace.failed(now, HeartbeatOutcome::Refused);
                w.try_next_controller(now);
            }
        }
    }

    /// Executes direct commands at a worker. `None` if there is no worker that could answer.
    pub(super) fn direct(&mut self, id: &MachineId, cmd: &DirectCommands) -> Option<DirectResult> {
        let now = self.now();
        let w = self.machines.get_mut(id)?;
        if w.dead || now < w.up_at {
            return None;
        }
        let is_current = cmd.fencing_token >= w.fencing_token && cmd.agent_epoch == w.agent_epoch;
        if is_current {
            self.observed.one_way_commands += u32::from(self.step < w.outbound_cut_until);
            w.adopt_token(now, cmd.fencing_token, self.heartbeat_and_lease_s.1);
            self.execute(id, &cmd.commands);
        }
        Some(DirectResult::Heartbeat(is_current, Box::new(self.heartbeat_of(id)?)))
    }
}
