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
use crate::jobs::live_attempt_mut;
use crate::leader::Leader;
use crate::replica::Replica;
use crate::worker_commands::Channel;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, Heartbeat, HeartbeatAnswer, HeartbeatTask, TaskState};

impl Leader {
    /// Applies a heartbeat and returns the answer. `None` means that it must not be answered with
    /// status 200.
    pub(crate) fn answer_heartbeat(
        &mut self,
        now: Secs,
        heartbeat: &Heartbeat,
        replica: &Replica,
    ) -> Option<Answer> {
        if self.released_machines.contains_key(&heartbeat.machine) {
            return None;
        }
        if self.loading.is_some() {
            // Leases are renewed during loading, while machines are tracked only after it. Loading
            // may last as long as an outage of the state service, so tasks known to be cancelled
            // are stopped even now.
            let commands = stops_while_loading(heartbeat, replica);
            return Some(Answer::Heartbeat(HeartbeatAnswer {
                fencing_token: self.term.0,
                commands,
            }));
        }
        if self.machines.get(&heartbeat.machine).is_some_and(|m| is_late_copy(heartbeat, m)) {
            if self
                .machines
                .get(&heartbeat.machine)
                .is_some_and(|m| overtaken_by_direct_command(now, heartbeat, m))
            {
                return self.answer_overtaken(now, heartbeat);
            }
            self.probe_after_late_copy(now, heartbeat);
            return None;
        }
        self.apply_heartbeat(now, heartbeat);
        self.note_heartbeat_interval(now, heartbeat);
        if !self.renew_lease(now, &heartbeat.machine)? {
            return None;
        }
        self.fill_machine(now, &heartbeat.machine)?;
        let commands = self.commands_for_answer(now, &heartbeat.machine)?;
        let token = self.machines.get(&heartbeat.machine).map(|m| self.fencing_token_for(m))?;
        Some(Answer::Heartbeat(HeartbeatAnswer { fencing_token: token, commands }))
    }

    /// Answers a heartbeat that was overtaken by a direct command: its task list is outdated, but
    /// its worker still waits for the answer.
    fn answer_overtaken(&mut self, now: Secs, heartbeat: &Heartbeat) -> Option<Answer> {
        let id = &heartbeat.machine;
        if !self.renew_lease(now, id)? {
            return None;
        }
        let commands = self.stops(id, |job| job.is_none_or(|j| j.cancelled));
        let fencing_token = self.machines.get(id).map(|m| self.fencing_token_for(m))?;
        Some(Answer::Heartbeat(HeartbeatAnswer { fencing_token, commands }))
    }

    /// Probes the machine: a late copy may also mean that the worker restarted, which only a new
    /// exchange can show. The probe revokes the direct starts that it would then execute again.
    fn probe_after_late_copy(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let id = &heartbeat.machine;
        let Some(m) = self.machines.get_mut(id) else { return };
        // A worker that is known to have restarted may do so again.
        let restart_handled = m.worker_restarted
            && m.direct_starts.highest_token().is_none_or(|sent| sent < heartbeat.fencing_token);
        if !restart_handled && m.last_reached_at.is_none_or(|at| now - at > WORKER_MARGIN_S) {
            m.probe_due = true;
            self.revoke_direct_starts(id);
        }
    }

    /// Whether the answer may renew the lease of the worker's tasks. If so, the lease counts from
    /// now.
    fn renew_lease(&mut self, now: Secs, id: &MachineId) -> Option<bool> {
        if self.machines.get(id)?.expired_epoch.is_some() || !self.may_renew(now, id) {
            return Some(false);
        }
        let m = self.machines.get_mut(id)?;
        m.last_answered_at = now;
        m.replies_withheld = false;
        Some(true)
    }

    /// Places tasks on freed capacity at once; if their start is already recorded, the same answer
    /// carries the commands. Where a start binds a job to this cell, a machine whose tasks were
    /// lost waits for a full placement pass, which considers the lost tasks too.
    fn fill_machine(&mut self, now: Secs, id: &MachineId) -> Option<()> {
        let tasks_lost_at = self.machines.get(id)?.tasks_lost_at;
        if self.cells.is_some() && tasks_lost_at.is_some_and(|at| at >= self.placed_at) {
            return Some(());
        }
        if self.backlog && self.machines.get(id)?.free()[0] + AMOUNT_TOLERANCE >= self.least_cpus {
            self.place(now, Some(id));
        }
        Some(())
    }

    fn commands_for_answer(&mut self, now: Secs, id: &MachineId) -> Option<Vec<Command>> {
        if self.machines.get(id)?.direct_in_flight.is_some() {
            // Direct commands are in flight, and commands sent both ways could overtake each other.
            // Stops of cancelled tasks are sent regardless: they are repeated until a heartbeat
            // confirms them, and an answer that renews the lease of such tasks must carry them.
            return Some(self.stops(id, |job| job.is_none_or(|j| j.cancelled)));
        }
        let (commands, starts) = self.compose_commands(id, Channel::HeartbeatAnswer);
        for (task, _) in starts {
            let live = live_attempt_mut(&mut self.jobs, &task);
            if let Some(live) = live {
                live.start_sent_at = Some(now);
            }
        }
        Some(commands)
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
