//! Worker heartbeats, and the commands carried in the answers.
//!
//! [`agent_epochs`] applies what a heartbeat reports about its worker, [`tasks`] handles each task
//! listed, [`absence`] the tasks that aren't listed, and [`outcomes`] records tasks that ended.

mod absence;
mod agent_epochs;
mod outcomes;
mod tasks;

use crate::consts::*;
use crate::event::{Answer, Secs};
use crate::fleet::Machine;
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, Heartbeat, HeartbeatAnswer, HeartbeatTask, TaskState};

/// What is to be done about a heartbeat.
pub(crate) enum HeartbeatDecision {
    /// It is answered at once.
    Answer(Answer),
    /// It must not be answered with status 200.
    Refuse,
    /// It is answered with the machine's commands, at once or when there are some.
    SendCommands,
}

/// How the list of a worker's tasks arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListSource {
    /// In a heartbeat, which a worker sends only once it has executed or discarded the answer to
    /// the one before.
    Heartbeat,
    /// In the answer to a direct command, which the worker may have sent before an answer to its
    /// last heartbeat reached it.
    DirectAnswer,
}

impl Leader {
    /// Applies a heartbeat and renews its worker's lease.
    pub(crate) fn apply_and_renew(
        &mut self,
        now: Secs,
        heartbeat: &Heartbeat,
        replica: &Replica,
    ) -> HeartbeatDecision {
        if self.released_machines.contains_key(&heartbeat.machine) {
            return HeartbeatDecision::Refuse;
        }
        if self.loading.is_some() {
            // Leases are renewed during loading, while machines are tracked only after it. Loading
            // may last as long as an outage of the state service, so tasks known to be cancelled
            // are stopped even now.
            let commands = stops_while_loading(heartbeat, replica);
            return HeartbeatDecision::Answer(Answer::Heartbeat(HeartbeatAnswer {
                fencing_token: self.term.0,
                commands,
            }));
        }
        let id = &heartbeat.machine;
        if let Some(m) = self.machines.get(id).filter(|m| is_late_copy(heartbeat, m)) {
            if overtaken_by_direct_command(now, heartbeat, m) {
                return self.answer_overtaken(now, heartbeat);
            }
            self.probe_after_late_copy(now, heartbeat);
            return HeartbeatDecision::Refuse;
        }
        self.apply_heartbeat(now, heartbeat, ListSource::Heartbeat);
        self.note_heartbeat_interval(now, heartbeat);
        if !self.renew_lease(now, id) {
            return HeartbeatDecision::Refuse;
        }
        self.fill_machine(now, id);
        HeartbeatDecision::SendCommands
    }

    /// Answers a heartbeat that was overtaken by a direct command: its task list is outdated, but
    /// its worker still waits for the answer.
    fn answer_overtaken(&mut self, now: Secs, heartbeat: &Heartbeat) -> HeartbeatDecision {
        let id = &heartbeat.machine;
        if !self.renew_lease(now, id) {
            return HeartbeatDecision::Refuse;
        }
        let commands = self.stops(id, |job| job.is_none_or(|j| j.cancelled));
        match self.answer_with(id, commands) {
            Some(answer) => HeartbeatDecision::Answer(answer),
            None => HeartbeatDecision::Refuse,
        }
    }

    /// The answer with these commands under the machine's token; `None` if it isn't known.
    pub(crate) fn answer_with(&self, id: &MachineId, commands: Vec<Command>) -> Option<Answer> {
        let fencing_token = self.machines.get(id).map(|m| self.fencing_token_for(m))?;
        Some(Answer::Heartbeat(HeartbeatAnswer { fencing_token, commands }))
    }

    /// Probes the machine: a late copy may also mean that the worker restarted, which only a new
    /// exchange can show.
    fn probe_after_late_copy(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        if !m.worker_restarted && m.last_reached_at.is_none_or(|at| now - at > WORKER_MARGIN_S) {
            m.probe_due = true;
        }
    }

    /// Renews the lease of the worker's tasks, which counts from now. Returns false if it has
    /// certainly expired.
    fn renew_lease(&mut self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.expired_epoch.is_none()) else {
            return false;
        };
        m.last_answered_at = now;
        true
    }

    /// Places tasks on freed capacity at once; if their start is already recorded, the same answer
    /// carries the commands. Where a start binds a job to this cell, a machine whose tasks were
    /// lost waits for a full placement pass, which considers the lost tasks too.
    fn fill_machine(&mut self, now: Secs, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        if self.cells.is_some() && m.tasks_lost_at.is_some_and(|at| at >= self.placed_at) {
            return;
        }
        if self.backlog && m.free()[0] + AMOUNT_TOLERANCE >= self.least_cpus {
            self.place(now, Some(id));
        }
    }

    /// Infers from the interval between a worker's heartbeats whether answers reach it: a worker
    /// that gets no answer waits for the timeout and then tries another controller, so one that
    /// returns sooner got its answer.
    fn note_heartbeat_interval(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        let soon =
            m.last_heartbeat.is_some_and(|at| now - at < WORKER_REPORT_TIMEOUT_S - WORKER_MARGIN_S);
        if soon && m.heartbeat_seq != 0 && m.confirmed {
            m.last_reached_at = Some(now);
        }
        m.last_heartbeat = Some(now);
        m.heartbeat_seq = heartbeat.seq;
    }
}

/// Whether a heartbeat is a copy that arrived late. Its sender gave it up long ago, and counting an
/// answer as a lease renewal would make a dead machine appear alive.
fn is_late_copy(heartbeat: &Heartbeat, m: &Machine) -> bool {
    (heartbeat.agent_epoch, heartbeat.seq) <= (m.agent_epoch, m.heartbeat_seq)
        || heartbeat.agent_epoch < m.agent_epoch
        || is_obsolete(heartbeat, m)
}

/// Whether a heartbeat shows a lower fencing token only because a direct command, which was sent
/// after it or at the same time, arrived and was answered first. Its worker still waits for the
/// answer; it would take a refusal as coming from this controller and try the next one.
///
/// Without this check, a new leader that had already shown workers its fencing token refused the
/// heartbeats in flight; the workers went on to a controller that was down, and their leases
/// expired.
fn overtaken_by_direct_command(now: Secs, heartbeat: &Heartbeat, m: &Machine) -> bool {
    heartbeat.agent_epoch == m.agent_epoch
        && !m.worker_restarted
        && m.expired_epoch.is_none()
        && (m.heartbeat_seq..m.seq).contains(&heartbeat.seq)
        && heartbeat.seq != m.heartbeat_seq
        && heartbeat.fencing_token < m.fencing_token
        && now - m.token_raised_at < WORKER_REPLY_EXPIRY_S
}

/// Whether a heartbeat comes from an epoch whose lease expired, or from before the worker
/// restarted: the highest fencing token that a worker has seen never decreases.
fn is_obsolete(heartbeat: &Heartbeat, m: &Machine) -> bool {
    heartbeat.fencing_token < m.fencing_token
        || m.worker_restarted
        || m.expired_epoch.is_some_and(|lapsed| heartbeat.agent_epoch <= lapsed)
}

/// Stop commands for the listed tasks whose jobs are known to be cancelled.
fn stops_while_loading(heartbeat: &Heartbeat, replica: &Replica) -> Vec<Command> {
    let cancelled = |entry: &&HeartbeatTask| {
        TaskId::parse(&entry.task).is_some_and(|task| replica.is_cancelled(&task.job))
    };
    let stop = |entry: &HeartbeatTask| Command::Stop {
        task: entry.task.clone(),
        attempt: entry.attempt,
        grace_s: 0.0,
    };
    let running = heartbeat.tasks.iter().filter(|entry| entry.state != TaskState::Exited);
    running.filter(cancelled).map(stop).collect()
}
