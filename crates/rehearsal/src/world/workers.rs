//! Stand-ins of workers: leases, ends of tasks, heartbeats and their answers.

use super::*;

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

impl Worker {
    /// Tasks that take room.
    pub(super) fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|run| run.state != TaskState::Exited).count()
    }

    /// Until when, in steps, messages don't reach it.
    pub(super) fn unreachable_until(&self) -> u32 {
        self.cut_until.max(self.deaf_until).max(self.hung_until)
    }

    /// Something changed: the next heartbeat comes soon.
    pub(super) fn tell_soon(&mut self, now: f64) {
        self.next_heartbeat = self.next_heartbeat.min(now + CHANGE_PAUSE_S);
    }

    /// Turns to the next controller, after a pause.
    fn try_next_controller(&mut self, now: f64) {
        self.at = (self.at + 1) % NODES;
        self.next_heartbeat = now + NEXT_CONTROLLER_S;
    }
}

impl World {
    /// A worker's next heartbeat.
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
            if !w.tasks.is_empty() {
                self.lapses += 1;
                self.met.lease_lapses.push(LeaseLapse {
                    machine: id.to_string(),
                    renewed_s: w.leased_from,
                    ended_s: now,
                    trace: w.trace.clone(),
                });
            }
            w.trace.renewed();
            w.tasks.clear();
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
            w.trace.failed(now, HeartbeatOutcome::TimedOut);
            w.try_next_controller(now);
        }
        if w.waiting.is_some() || now < w.next_heartbeat {
            return;
        }
        w.waiting = Some(now);
        w.next_heartbeat = now + self.beat.0;
        w.trace.sent(w.at, now);
        let (node, cut) = (w.at, w.cut_until);
        let mute = self.step < w.mute_until;
        let Some(heartbeat) = self.heartbeat_of(id).filter(|_| !mute) else { return };
        if self.step < self.keep_until && self.rng.random_range(0..KEPT_ONE_IN) == 0 {
            self.kept.push((heartbeat.clone(), now));
        }
        if self.step < self.copies.0 {
            self.send_late_copy(node, heartbeat.clone(), now);
        }
        let late = Late::Heartbeat { node, heartbeat, sent: now };
        // Held back by a cut, and delivered when it ends.
        if cut > self.step {
            self.late.push((cut, late));
        } else {
            self.after(0, late);
        }
    }

    /// A copy of a heartbeat comes later, to any controller.
    fn send_late_copy(&mut self, node: usize, heartbeat: Heartbeat, sent: f64) {
        let node = (node + self.step as usize) % NODES;
        let delay = self.rng.random_range(1..self.copies.1.max(2));
        self.met.copies += 1;
        self.late.push((self.step + delay, Late::Heartbeat { node, heartbeat, sent }));
    }

    /// The answer to a heartbeat arrives at its worker.
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
        self.met.unheard += u32::from(unreachable);
        if w.dead || w.waiting != Some(sent) || w.agent_epoch != agent_epoch || unreachable {
            return;
        }
        w.waiting = None;
        match answer {
            Answer::Heartbeat(a) => {
                if a.fencing_token < w.fencing_token {
                    w.trace.failed(now, HeartbeatOutcome::StaleToken);
                    return;
                }
                if a.fencing_token > w.fencing_token {
                    w.tell_soon(now);
                }
                w.fencing_token = a.fencing_token;
                w.leased_from = sent;
                w.trace.renewed();
                self.execute(id, &a.commands);
            }
            Answer::Elsewhere(node) => {
                w.trace.failed(now, HeartbeatOutcome::Redirected);
                let named = node.and_then(|n| n.as_str()[1..].parse().ok());
                w.at = named.unwrap_or((w.at + 1) % NODES);
                w.next_heartbeat = now + CHANGE_PAUSE_S;
            }
            _ => {
                w.trace.failed(now, HeartbeatOutcome::Refused);
                w.try_next_controller(now);
            }
        }
    }

    /// Direct commands arrive at a worker. None if there is no worker that could answer.
    pub(super) fn direct(&mut self, id: &MachineId, cmd: &DirectCommands) -> Option<DirectResult> {
        let now = self.now();
        let w = self.machines.get_mut(id)?;
        if w.dead || now < w.up_at {
            return None;
        }
        let good = cmd.fencing_token >= w.fencing_token && cmd.agent_epoch == w.agent_epoch;
        if good {
            self.met.mute_orders += u32::from(self.step < w.mute_until);
            w.fencing_token = cmd.fencing_token;
            self.execute(id, &cmd.commands);
        }
        Some(DirectResult::Heartbeat(good, Box::new(self.heartbeat_of(id)?)))
    }
}
