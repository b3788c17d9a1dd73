//! The leader's view of attempts: on which machines they may run, and when they have certainly
//! ended.

use crate::event::Secs;
use crate::jobs::Outcome;
use crate::leader::Leader;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::Kind;

impl Leader {
    /// Cancels a job: none of its tasks start from now on, and the running ones are stopped.
    pub(crate) fn cancel(&mut self, now: Secs, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        job.cancelled_at = Some(self.knowledge.known_at);
        job.retry_at.clear();
        let mut unsent = Vec::new();
        for (&n, live) in &mut job.live {
            if live.never_sent(now) {
                unsent.push(n);
            } else {
                live.stop_grace_s = Some(0.0);
                if let Some(m) = self.machines.get_mut(&live.machine) {
                    m.direct_send_due = true;
                }
            }
        }
        for n in unsent {
            self.end_attempt(id, n, Outcome::Lost, now);
        }
        self.writer.close(id, now);
        self.place_due = true;
        self.dependency_cancelled(now, id);
    }

    /// Handles the certain end of an attempt: releases its capacity and records the outcome.
    pub(crate) fn end_attempt(&mut self, id: &JobId, n: u32, outcome: Outcome, now: Secs) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(live) = job.live.get(&n) {
            let task = TaskId { job: id.clone(), index: n };
            if let Some(m) = self.machines.get_mut(&live.machine)
                && m.tasks.remove(&task)
            {
                let spec = job.record.spec.clone();
                if spec.kind == Kind::Service {
                    m.remove_service(spec.cpus);
                }
                if !m.freed_tasks.remove(&task) {
                    m.unreserve(&spec);
                }
                let image = &spec.image;
                let needs_image = |t: &TaskId| {
                    t.job == *id || self.jobs.get(&t.job).is_some_and(|j| j.spec().image == *image)
                };
                if m.fetching.contains_key(image) && !m.tasks.iter().any(needs_image) {
                    // No task waits for this image any more, so its fetch is given up.
                    m.fetching.remove(image);
                }
                if m.tasks.is_empty() {
                    m.used = [0.0; 3];
                    m.idle_since = now;
                }
            }
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        // During recovery, the task may also have a later attempt of an earlier leader on a
        // machine that has not reported yet.
        let earlier = job.live.get(&n).is_some_and(|l| (l.attempt.0 >> 32) < self.term.0);
        job.end_attempt(n, outcome, now);
        if self.recovering && earlier && outcome != Outcome::Done {
            job.retry_at.remove(&n);
            job.maybe_running.insert(n);
        }
        if outcome == Outcome::Done {
            self.writer.touch_task(id, n, now, false);
            if job.complete() {
                self.writer.close(id, now);
            }
        }
        if job.cancelled {
            self.writer.close(id, now);
        }
        self.place_due = true;
    }

    /// Reserves capacity for an attempt on its machine.
    pub(crate) fn attach(&mut self, id: &JobId, n: u32, machine: &MachineId) {
        let (Some(job), Some(m)) = (self.jobs.get(id), self.machines.get_mut(machine)) else {
            return;
        };
        if m.tasks.insert(TaskId { job: id.clone(), index: n }) {
            let spec = job.spec();
            if spec.kind == Kind::Service {
                m.add_service(spec.cpus);
            }
            m.reserve(spec);
        }
    }

    /// Handles the certain loss of all tasks on a machine.
    pub(crate) fn lose_tasks(&mut self, machine: &MachineId, now: Secs) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        m.ended_attempts.clear();
        m.unknown_attempts.clear();
        if !m.tasks.is_empty() {
            m.tasks_lost_at = Some(now);
        }
        for task in m.tasks.clone() {
            self.end_attempt(&task.job, task.index, Outcome::Lost, now);
        }
    }
}
