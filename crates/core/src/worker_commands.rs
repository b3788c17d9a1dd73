//! Commands to workers: starts, stops and clears in heartbeat answers, stops and prompts in direct
//! commands; probes of whether they arrive; expiry of worker leases.

use crate::consts::*;
use crate::direct_results::DirectSent;
use crate::event::{Action, ActionSink, Secs};
use crate::fleet::{AttemptKey, Machine};
use crate::jobs::{Job, Phase, live_attempt, live_attempt_mut};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, EndReason};
use std::cmp::Ordering;

/// A machine that waits for a direct command.
struct WaitingDirectCommand {
    /// Whether it left the last direct command unanswered.
    unanswered: bool,
    /// Whether there is no command to send, only a probe of whether the machine can be reached.
    only_probe: bool,
    /// The earliest time from which it may have been waiting.
    since: Secs,
    machine: MachineId,
}

impl WaitingDirectCommand {
    /// Order of sending. Machines that answered last time come first, as each unreachable one
    /// occupies a thread for a second or two. Among these, machines with commands precede probes,
    /// because starts wait for the commands; then the longest waiting come first. When machines
    /// were served in the order of their names, the last ones of a fleet with few threads were
    /// never contacted at all.
    fn compare(&self, other: &Self) -> Ordering {
        self.unanswered
            .cmp(&other.unanswered)
            .then(self.only_probe.cmp(&other.only_probe))
            .then(self.since.total_cmp(&other.since))
    }
}

impl Leader {
    /// Stop commands for a machine's tasks, restricted to the jobs that `of` selects. `of` gets
    /// `None` for a job that is over and closed.
    pub(crate) fn stops(&self, id: &MachineId, of: impl Fn(Option<&Job>) -> bool) -> Vec<Command> {
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let stop = |task: &TaskId, attempt, grace_s| Command::Stop {
            task: task.to_string(),
            attempt,
            grace_s,
        };
        let wanted = |task: &TaskId| of(self.jobs.get(&task.job));
        let unneeded = m.unknown_attempts.iter().filter(|(task, _)| wanted(task));
        let unneeded = unneeded.map(|(task, attempt)| stop(task, *attempt, 0.0));
        let stopping = m.tasks.iter().filter(|task| wanted(task)).filter_map(|task| {
            let live = live_attempt(&self.jobs, task)?;
            Some(stop(task, live.attempt, live.stop_grace_s?))
        });
        unneeded.chain(stopping).collect()
    }

    /// The commands for the answer to a machine's heartbeat: first stops, then removals from its
    /// list of exited tasks, then starts.
    pub(crate) fn commands_for_answer(&mut self, now: Secs, id: &MachineId) -> Vec<Command> {
        let mut commands = self.stops(id, |_| true);
        commands.extend(self.clears(id));
        let room = COMMANDS_MAX.saturating_sub(commands.len());
        commands.extend(self.starts(now, id, room));
        if let Some(m) = self.machines.get_mut(id) {
            m.direct_send_due = false;
            // A higher token that overtook the answer would make its worker discard it.
            m.next_prompt_at = m.next_prompt_at.max(now + WORKER_MARGIN_S);
        }
        self.log_commands(id, &commands);
        commands
    }

    /// Start commands for the machine, at most `limit`. They are sent in answers to heartbeats
    /// alone: see [`crate::prompts`].
    fn starts(&mut self, now: Secs, id: &MachineId, limit: usize) -> Vec<Command> {
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let startable = m.recorded && m.accepts_starts();
        let unsent: Vec<(TaskId, bool)> = self
            .unsent_starts(m)
            .map(|(task, _)| (task.clone(), startable && self.is_start_recorded(task, m)))
            .collect();
        let mut commands = Vec::new();
        let mut waiting = false;
        for (task, ready) in unsent {
            if !ready || commands.len() >= limit {
                waiting = true;
                continue;
            }
            let Some(live) = live_attempt_mut(&mut self.jobs, &task) else { continue };
            live.phase = Phase::Sent;
            live.start_sent_at = Some(now);
            commands.push(Command::Start { task: task.to_string(), attempt: live.attempt });
        }
        self.message_counts.starts += commands.len() as u64;
        if let Some(m) = self.machines.get_mut(id) {
            m.prompt_due = waiting;
        }
        commands
    }

    /// Whether the start of a task on this machine is recorded, so that it may be sent.
    pub(crate) fn is_start_recorded(&self, task: &TaskId, machine: &Machine) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.start_recorded(task.index, machine.info.number))
    }

    /// The ended attempts that the worker lists and that may be cleared: their ends are recorded.
    pub(crate) fn clearable_entries(&self, id: &MachineId) -> Vec<AttemptKey> {
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let is_recorded = |(task, _): &AttemptKey, why: EndReason| match self.jobs.get(&task.job) {
            None => true,
            Some(job) => why != EndReason::Done || job.stored_finished.contains(task.index),
        };
        let ended = m.ended_attempts.iter().filter(|(key, why)| is_recorded(key, **why));
        ended.map(|(key, _)| key.clone()).collect()
    }

    /// Removals from the worker's list of exited tasks.
    fn clears(&self, id: &MachineId) -> Vec<Command> {
        let cleared = self.clearable_entries(id).into_iter().take(COMMANDS_MAX);
        cleared.map(|(task, attempt)| Command::Forget { task: task.to_string(), attempt }).collect()
    }

    /// Logs which knowledge the commands in an answer are based on.
    fn log_commands(&mut self, id: &MachineId, commands: &[Command]) {
        if commands.is_empty() {
            return;
        }
        let Some(m) = self.machines.get(id) else { return };
        let (agent_epoch, token) = (m.agent_epoch, self.fencing_token_for(m));
        for command in commands {
            let (event, task, attempt) = match command {
                Command::Start { task, attempt } => ("start_sent", task, attempt),
                Command::Forget { task, attempt } => ("clear_sent", task, attempt),
                Command::Stop { .. } => continue,
            };
            self.log.debug(|| {
                format!(
                    "event={event} task={task} attempt={} machine={id} session={agent_epoch} \
                     token={token}",
                    attempt.0
                )
            });
        }
        let (term, commands, knowledge) = (self.term.0, commands.len(), self.knowledge);
        self.log.debug(|| {
            format!(
                "event=commands machine={id} commands={commands} token={token} term={term} \
                 revision={} known_at_s={:.2} authority_until_s={:.2}",
                knowledge.revision, knowledge.known_at, knowledge.authority_until
            )
        });
    }

    /// Sends direct commands to machines that shouldn't wait for their next heartbeat: stops, and
    /// prompts to send one. They may be executed late and more than once, so they start nothing.
    pub(crate) fn push_direct(&mut self, now: Secs, out: &mut ActionSink) {
        if now < self.next_direct_round_at {
            return;
        }
        self.next_direct_round_at = now + DIRECT_ROUND_INTERVAL_S;
        let limit = self.facts.max_direct_commands;
        if self.directs.len() >= limit {
            return;
        }
        let mut ready: Vec<WaitingDirectCommand> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.direct_in_flight.is_none()
                    && now >= m.next_direct_at
                    && (m.direct_send_due && m.agent_epoch != 0 && m.expired_epoch.is_none()
                        || m.is_prompt_due(now)
                        || m.probe_due)
            })
            .map(|(id, m)| WaitingDirectCommand {
                unanswered: m.failed_direct_sends > 0,
                only_probe: !m.direct_send_due && !m.is_prompt_due(now),
                since: m.commands_waiting_since(),
                machine: id.clone(),
            })
            .collect();
        ready.sort_by(WaitingDirectCommand::compare);
        let mut unanswered = self.directs.values().filter(|d| d.unanswered).count();
        let unanswered_limit = ((limit as f64 * UNANSWERED_SHARE) as usize).max(1);
        for WaitingDirectCommand { unanswered: is_unanswered, machine: id, .. } in ready {
            if self.directs.len() >= limit || is_unanswered && unanswered >= unanswered_limit {
                break;
            }
            let Some(m) = self.machines.get_mut(&id) else { continue };
            let (agent_epoch, probe_due) = (m.agent_epoch, m.probe_due);
            // The answer to a held heartbeat carries the commands too.
            m.direct_send_due &= m.heartbeat_held;
            let commands = self.direct_commands(now, &id);
            if let Some(commands) = commands.or(probe_due.then(Vec::new)) {
                unanswered += usize::from(is_unanswered);
                // The worker refuses an unknown epoch and returns its heartbeat, which is what is
                // needed.
                self.send_direct(&id, agent_epoch.max(1), commands, out);
            }
        }
    }

    /// The commands to send directly to a machine; `None` if there is no reason to send any.
    fn direct_commands(&mut self, now: Secs, id: &MachineId) -> Option<Vec<Command>> {
        let m = self.machines.get(id).filter(|m| m.agent_epoch != 0)?;
        let prompt_due = m.is_prompt_due(now);
        let stops = self.stops(id, |_| true);
        let prompted = prompt_due && self.prompt(now, id);
        (prompted || !stops.is_empty()).then_some(stops)
    }

    fn send_direct(
        &mut self,
        id: &MachineId,
        agent_epoch: u64,
        commands: Vec<Command>,
        out: &mut ActionSink,
    ) {
        let Some(token) = self.machines.get(id).map(|m| self.fencing_token_for(m)) else {
            return;
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let op = out.op();
        m.direct_in_flight = Some(op);
        let known = (m.agent_epoch, m.seq);
        let unanswered = m.failed_direct_sends > 0;
        out.actions.push(Action::Direct {
            op,
            addr: m.info.addr.clone(),
            fencing_token: token,
            agent_epoch,
            commands,
        });
        let machine = id.clone();
        let sent = DirectSent { machine, fencing_token: token, known, unanswered };
        self.directs.insert(op, sent);
    }

    /// Schedules probes of machines whose heartbeats arrive but that haven't shown for long that
    /// answers reach them, and of machines that missed a heartbeat.
    pub(crate) fn probe_doubtful_machines(&mut self, now: Secs) {
        let probe_after = (self.facts.heartbeat_interval_s * REACH_HEARTBEATS
            + WORKER_REPORT_TIMEOUT_S)
            * PROBE_SHARE;
        let quiet_limit = self.facts.heartbeat_interval_s * MISSED_HEARTBEAT_INTERVALS
            + MISSED_HEARTBEAT_MARGIN_S;
        for m in self.machines.values_mut() {
            let Some(since) = m.last_heard_at.map(|h| now - h) else { continue };
            let heard = since < self.facts.heartbeat_interval_s * UNREACHABLE_HEARTBEATS;
            let unconfirmed = heard && m.last_reached_at.is_none_or(|at| now - at > probe_after);
            let missed = since > quiet_limit
                && m.failed_while_overdue < FAILED_PROBES_MIN
                && m.expired_epoch.is_none();
            if unconfirmed || missed && !m.releasing {
                m.probe_due = true;
            }
        }
    }

    /// Handles worker leases that have certainly expired.
    pub(crate) fn expire_leases(&mut self, now: Secs) {
        let lease_life = self.facts.lease_s * (1.0 + DRIFT) + LEASE_MARGIN_S;
        let expired: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.expired_epoch.is_none() && now > m.last_answered_at + lease_life)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(m) = self.machines.get_mut(&id) {
                m.expired_epoch = Some(m.agent_epoch);
                m.probe_due = false;
                m.confirmed = true;
            }
            self.log.debug(|| format!("event=lapsed machine={id} term={}", self.term.0));
            self.lose_tasks(&id, now);
        }
    }
}
