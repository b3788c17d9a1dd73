//! Reconciliation of the tasks listed in a heartbeat with those placed on its machine.

use crate::consts::LAG_WEIGHT;
use crate::event::Secs;
use crate::jobs::{Live, Outcome, Phase};
use crate::leader::Leader;
use marblebarrow_proto::ids::{Attempt, MachineId, TaskId};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::wire::{EndReason, HeartbeatTask, TaskState};
use std::collections::BTreeSet;

impl Leader {
    /// Applies one entry of a heartbeat. Tasks that are placed on the machine and run or will run
    /// there are added to `listed`.
    pub(super) fn apply_task(
        &mut self,
        now: Secs,
        id: &MachineId,
        entry: &HeartbeatTask,
        listed: &mut BTreeSet<TaskId>,
    ) {
        let Some(task) = TaskId::parse(&entry.task) else { return };
        let Some(m) = self.machines.get_mut(id) else { return };
        let key = (task.clone(), entry.attempt);
        let exit = exit_reason(entry);
        let job = self.jobs.get(&task.job).filter(|job| task.index < job.spec().tasks);
        let Some(job) = job else {
            // The job is over and closed, or was never known to this cell.
            if let Some(why) = exit {
                m.ended_attempts.insert(key, why);
            } else {
                m.unknown_attempts.insert(key);
            }
            return;
        };
        let is_placed = |live: &Live| live.machine == *id && live.attempt == entry.attempt;
        let placed = job.live.get(&task.index).is_some_and(is_placed);
        if let Some(why) = exit {
            if placed {
                m.last_reached_at = Some(now);
            }
            m.ended_attempts.insert(key, why);
            self.task_ended(now, id, &task, why, placed);
        } else if placed {
            self.confirm_attempt(now, id, &task, entry.state);
            listed.insert(task);
        } else if !self.is_newer_attempt(&task, entry.attempt) {
            self.note_unneeded_attempt(now, id, task, entry.attempt);
        } else if self.adopt_attempt(now, id, &task, entry).is_some() {
            listed.insert(task);
        }
    }

    /// Records that the worker lists a placed attempt, so the start command arrived.
    fn confirm_attempt(&mut self, now: Secs, id: &MachineId, task: &TaskId, state: TaskState) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(live) = job.live.get_mut(&task.index) else { return };
        if live.phase == Phase::Sent {
            m.last_reached_at = Some(now);
        }
        if !matches!(state, TaskState::Running | TaskState::Waiting) {
            if live.phase != Phase::Running {
                live.phase = Phase::Seen;
            }
            return;
        }
        let (image, image_gb) = (&job.record.spec.image, job.record.spec.image_gb);
        if m.touch_image(image, image_gb)
            && let Some(block) = m.block
        {
            self.writer.images_changed(block, now);
        }
        if state == TaskState::Running {
            self.confirm_running(now, id, task);
        } else {
            live.phase = Phase::Seen;
        }
    }

    fn confirm_running(&mut self, now: Secs, id: &MachineId, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(live) = job.live.get_mut(&task.index) else { return };
        if live.ran_from.is_none() {
            let after = now - live.placed_at;
            if !live.adopted && job.record.spec.kind == Kind::Array {
                self.start_lag += (after - self.start_lag) * LAG_WEIGHT;
            }
            self.log.debug(|| format!("event=runs task={task} machine={id} after_s={after:.1}"));
        }
        live.phase = Phase::Running;
        let ran_from = *live.ran_from.get_or_insert(now);
        job.note_run_time(now - ran_from);
    }

    /// Whether an attempt is newer than the placed one. Attempts are ordered: a later one is
    /// created only when the earlier one is certainly gone. The lower of two attempts therefore
    /// comes from an old heartbeat, even if this leader has only just learnt of both.
    fn is_newer_attempt(&self, task: &TaskId, attempt: Attempt) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let newer = job.live.get(&task.index).is_none_or(|live| live.attempt < attempt);
        newer && !job.finished.contains(task.index)
    }

    /// Records an attempt that isn't needed, so that it gets stopped.
    fn note_unneeded_attempt(&mut self, now: Secs, id: &MachineId, task: TaskId, attempt: Attempt) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let (agent_epoch, token, term) = (m.agent_epoch, m.fencing_token, self.term.0);
        self.message_counts.unneeded_attempts += 1;
        self.log.info(now, || {
            format!(
                "event=stranger task={task} attempt={} machine={id} session={agent_epoch} \
                 token={token} term={term}",
                attempt.0
            )
        });
        m.unknown_attempts.insert((task, attempt));
    }

    /// Adopts an attempt that was started under an earlier term.
    fn adopt_attempt(
        &mut self,
        now: Secs,
        id: &MachineId,
        task: &TaskId,
        entry: &HeartbeatTask,
    ) -> Option<()> {
        if self.jobs.get(&task.job)?.live.contains_key(&task.index) {
            self.end_attempt(&task.job, task.index, Outcome::Lost, now);
        }
        let number = self.machine_number(id)?;
        let job = self.jobs.get_mut(&task.job)?;
        let m = self.machines.get_mut(id)?;
        job.maybe_running.remove(&task.index);
        job.retry_at.remove(&task.index);
        job.started.insert(task.index);
        job.machines.insert(number);
        self.writer.want_machine(id, m, now);
        job.live.insert(task.index, adopted(id, entry, job.cancelled, now));
        if entry.state == TaskState::Running {
            m.touch_image(&job.record.spec.image, job.record.spec.image_gb);
        }
        self.writer.touch_task(&task.job, task.index, now, false);
        self.attach(&task.job, task.index, id);
        Some(())
    }
}

/// Why the task ended; `None` if it hasn't.
fn exit_reason(entry: &HeartbeatTask) -> Option<EndReason> {
    (entry.state == TaskState::Exited).then(|| entry.end_reason.unwrap_or(EndReason::Other))
}

/// State of an attempt that an earlier leader started, as listed in a heartbeat.
fn adopted(id: &MachineId, entry: &HeartbeatTask, cancelled: bool, now: Secs) -> Live {
    let running = entry.state == TaskState::Running;
    Live {
        machine: id.clone(),
        attempt: entry.attempt,
        phase: if running { Phase::Running } else { Phase::Seen },
        placed_at: now,
        ran_from: None,
        stop_grace_s: cancelled.then_some(0.0),
        start_sent_at: None,
        adopted: true,
    }
}
