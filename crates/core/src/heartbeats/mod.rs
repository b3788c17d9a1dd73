//! Heartbeats of workers, and the commands that the answers carry.
//!
//! [`agent_epochs`] takes a heartbeat's news of its worker, [`tasks`] of each task listed, and
//! [`absence`] of the tasks that aren't; [`outcomes`] books tasks that ended.

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
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, Heartbeat, HeartbeatAnswer, HeartbeatTask, TaskState};

impl Leader {
    /// Takes a heartbeat and answers it; `None`: must not be answered with 200.
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
            // Leases go on; machines are counted from when loading ends. That may take as
            // long as an outage of the store does, so what is known to be cancelled is
            // stopped even now.
            let commands = stops_while_loading(heartbeat, replica);
            return Some(Answer::Heartbeat(HeartbeatAnswer {
                fencing_token: self.term.0,
                commands,
            }));
        }
        if self.machines.get(&heartbeat.machine).is_some_and(|m| is_late_copy(heartbeat, m)) {
            if self.machines.get(&heartbeat.machine).is_some_and(|m| overtaken(now, heartbeat, m)) {
                return self.answer_overtaken(now, heartbeat);
            }
            self.probe_after_late_copy(now, &heartbeat.machine);
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

    /// Answers a heartbeat that a direct command overtook: its list is old, its worker waits.
    fn answer_overtaken(&mut self, now: Secs, heartbeat: &Heartbeat) -> Option<Answer> {
        let id = &heartbeat.machine;
        if !self.renew_lease(now, id)? {
            return None;
        }
        let commands = self.stops(id, |job| job.is_none_or(|j| j.cancelled));
        let fencing_token = self.machines.get(id).map(|m| self.fencing_token_for(m))?;
        Some(Answer::Heartbeat(HeartbeatAnswer { fencing_token, commands }))
    }

    /// A late copy may also mean that the worker began anew, which only a fresh exchange can
    /// tell.
    fn probe_after_late_copy(&mut self, now: Secs, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if !m.reborn && m.reached.is_none_or(|at| now - at > WORKER_MARGIN_S) {
            m.probe_due = true;
        }
    }

    /// Whether the answer may renew the lease of the worker's tasks; if so, counts it from
    /// now.
    fn renew_lease(&mut self, now: Secs, id: &MachineId) -> Option<bool> {
        if self.machines.get(id)?.lapsed.is_some() || !self.may_renew(now, id) {
            return Some(false);
        }
        let m = self.machines.get_mut(id)?;
        m.answered = now;
        m.withheld = false;
        Some(true)
    }

    /// What becomes free is filled at once, in the same answer if the start is recorded
    /// already. Where a start binds a job to this cell, a machine whose tasks were lost waits
    /// for a full pass, which knows that these wait too.
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
        if self.machines.get(id)?.direct.is_some() {
            // Direct commands are under way: two ways at once would cross. The end of
            // cancelled tasks may, as it is repeated until a heartbeat shows it: an answer that
            // renews their lease must carry it.
            return Some(self.stops(id, |job| job.is_none_or(|j| j.cancelled)));
        }
        let (commands, starts) = self.compose(id);
        for (task, _) in starts {
            let live = live_attempt_mut(&mut self.jobs, &task);
            if let Some(live) = live {
                live.sent = Some(now);
            }
        }
        Some(commands)
    }

    /// What the interval of a worker's own heartbeats proves: one that got no answer waits for
    /// it, then tries elsewhere, so one that is back sooner got it.
    fn note_heartbeat_interval(&mut self, now: Secs, heartbeat: &Heartbeat) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else { return };
        let soon =
            m.last_heartbeat.is_some_and(|at| now - at < WORKER_GIVES_UP_S - WORKER_MARGIN_S);
        if soon && m.heartbeat_seq != 0 && m.confirmed {
            m.reached = Some(now);
        }
        m.last_heartbeat = Some(now);
        m.heartbeat_seq = heartbeat.seq;
    }
}

/// Whether a heartbeat is a copy that came late: its sender gave it up long ago, and an answer
/// would only make a dead machine's lease seem alive.
fn is_late_copy(heartbeat: &Heartbeat, m: &Machine) -> bool {
    (heartbeat.agent_epoch, heartbeat.seq) <= (m.agent_epoch, m.heartbeat_seq)
        || heartbeat.agent_epoch < m.agent_epoch
        || is_obsolete(heartbeat, m)
}

/// Whether a heartbeat shows a lower fencing token only as a direct command, which was sent
/// after it or at the same time, arrived and was answered first. Its worker still waits for the
/// answer, and would take a refusal for this controller's, and try the next.
///
/// (A new leader that had shown workers its token once refused the heartbeats that were under
/// way, sent them on to a controller that was down, and their leases ended.)
fn overtaken(now: Secs, heartbeat: &Heartbeat, m: &Machine) -> bool {
    heartbeat.agent_epoch == m.agent_epoch
        && !m.reborn
        && m.lapsed.is_none()
        && (m.heartbeat_seq..m.seq).contains(&heartbeat.seq)
        && heartbeat.seq != m.heartbeat_seq
        && heartbeat.fencing_token < m.fencing_token
        && now - m.token_risen_at < WORKER_DROPS_S
}

/// Whether a heartbeat comes from an epoch whose lease ended, or from before the worker began
/// anew: the highest token seen never falls.
fn is_obsolete(heartbeat: &Heartbeat, m: &Machine) -> bool {
    heartbeat.fencing_token < m.fencing_token
        || m.reborn
        || m.lapsed.is_some_and(|lapsed| heartbeat.agent_epoch <= lapsed)
}

/// Commands that end what a heartbeat lists of jobs known to be cancelled.
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
