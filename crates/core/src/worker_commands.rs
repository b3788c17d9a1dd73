//! Commands to workers, sent directly or in heartbeat answers; probes of whether they arrive;
//! expiry of worker leases.

use crate::consts::*;
use crate::direct_results::DirectSent;
use crate::event::{Action, ActionSink, Secs};
use crate::jobs::{Job, Phase, live_attempt};
use crate::leader::Leader;
use crate::unconfirmed_starts::AttemptKey;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, EndReason};
use std::cmp::Ordering;

/// How commands reach a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Channel {
    /// In the answer to a heartbeat, which the worker takes once and only while it waits for it.
    HeartbeatAnswer,
    /// In a request to the worker, which may be delivered late or again.
    Direct,
}

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

    /// The commands to send to a machine now: first stops, then removals from its list of exited
    /// tasks, then starts. The second value lists the starts.
    pub(crate) fn compose_commands(
        &mut self,
        id: &MachineId,
        channel: Channel,
    ) -> (Vec<Command>, Vec<AttemptKey>) {
        let mut commands = self.stops(id, |_| true);
        commands.extend(self.clears(id, channel));
        let mut starts = Vec::new();
        let Some(m) = self.machines.get_mut(id) else {
            return (commands, starts);
        };
        m.direct_send_due = false;
        let startable =
            m.recorded && m.expired_epoch.is_none() && !m.releasing && m.last_reached_at.is_some();
        let number = m.info.number;
        for task in m.tasks.iter().filter(|_| startable) {
            if commands.len() >= COMMANDS_MAX {
                m.direct_send_due = true;
                break;
            }
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if job.cancelled || !job.start_recorded(task.index, number) {
                continue;
            }
            let Some(live) = job.live.get_mut(&task.index) else {
                continue;
            };
            if live.stop_grace_s.is_none() && matches!(live.phase, Phase::Placed | Phase::Ready) {
                live.phase = Phase::Sent;
                commands.push(Command::Start { task: task.to_string(), attempt: live.attempt });
                starts.push((task.clone(), live.attempt));
            }
        }
        self.log_commands(id, commands.len(), &starts, channel);
        (commands, starts)
    }

    /// Removals from the worker's list of exited tasks. Where the start was sent directly, they need
    /// a higher token than it carried: a copy of it would start the attempt again.
    ///
    /// Only the answer to a heartbeat raises the token for that. A direct command with a higher
    /// token could overtake such an answer, which its worker would then discard.
    fn clears(&mut self, id: &MachineId, channel: Channel) -> Vec<Command> {
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let is_recorded = |(task, _): &AttemptKey, why: EndReason| match self.jobs.get(&task.job) {
            None => true,
            Some(job) => why != EndReason::Done || job.stored_finished.contains(task.index),
        };
        let ended = m.ended_attempts.iter().filter(|(key, why)| is_recorded(key, **why));
        let ended: Vec<(AttemptKey, Option<u64>)> =
            ended.map(|(key, _)| (key.clone(), m.direct_starts.token_of(key))).collect();
        if channel == Channel::HeartbeatAnswer
            && let Some(highest) = ended.iter().filter_map(|(_, sent)| *sent).max()
        {
            self.raise_token_above(id, highest);
        }
        let Some(m) = self.machines.get(id) else { return Vec::new() };
        let (agent_epoch, token) = (m.agent_epoch, self.fencing_token_for(m));
        let mut commands = Vec::new();
        let clearable = ended.into_iter().filter(|(_, sent)| sent.is_none_or(|sent| sent < token));
        for ((task, attempt), sent) in clearable.take(COMMANDS_MAX) {
            self.log.debug(|| {
                let started_with = sent.map_or("-".into(), |sent| sent.to_string());
                format!(
                    "event=clear_sent task={task} attempt={} machine={id} session={agent_epoch} \
                     token={token} started_with={started_with}",
                    attempt.0
                )
            });
            commands.push(Command::Forget { task: task.to_string(), attempt });
        }
        commands
    }

    /// Logs which knowledge the commands to a machine are based on.
    fn log_commands(
        &mut self,
        id: &MachineId,
        commands: usize,
        starts: &[AttemptKey],
        channel: Channel,
    ) {
        if commands == 0 {
            return;
        }
        let Some(m) = self.machines.get(id) else { return };
        let (agent_epoch, token) = (m.agent_epoch, self.fencing_token_for(m));
        for (task, attempt) in starts {
            self.log.debug(|| {
                format!(
                    "event=start_sent task={task} attempt={} machine={id} session={agent_epoch} \
                     token={token} channel={channel:?}",
                    attempt.0
                )
            });
        }
        let (term, starts, knowledge) = (self.term.0, starts.len(), self.knowledge);
        self.log.debug(|| {
            format!(
                "event=commands machine={id} commands={commands} starts={starts} token={token} \
                 term={term} \
                 revision={} known_at_s={:.2} authority_until_s={:.2}",
                knowledge.revision, knowledge.known_at, knowledge.authority_until
            )
        });
    }

    /// Sends commands directly to machines that shouldn't wait for their next heartbeat.
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
                        || m.probe_due)
            })
            .map(|(id, m)| WaitingDirectCommand {
                unanswered: m.failed_direct_sends > 0,
                only_probe: !m.direct_send_due,
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
            let Some((agent_epoch, probe_due)) =
                self.machines.get(&id).map(|m| (m.agent_epoch, m.probe_due))
            else {
                continue;
            };
            let (commands, starts) = if agent_epoch != 0 {
                self.compose_commands(&id, Channel::Direct)
            } else {
                (Vec::new(), Vec::new())
            };
            if probe_due || commands.iter().any(is_urgent) {
                unanswered += usize::from(is_unanswered);
                // The worker refuses an unknown epoch and returns its heartbeat, which is what is
                // needed.
                self.send_direct(now, &id, agent_epoch.max(1), commands, starts, out);
            }
        }
    }

    pub(crate) fn send_direct(
        &mut self,
        now: Secs,
        id: &MachineId,
        agent_epoch: u64,
        commands: Vec<Command>,
        starts: Vec<AttemptKey>,
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
        for start in &starts {
            m.direct_starts.record(start.clone(), token);
        }
        // A higher token will be needed to clear them.
        self.tokens_needed |= !starts.is_empty() && self.fencing.is_low_above(token);
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
        let sent = DirectSent {
            machine,
            agent_epoch,
            fencing_token: token,
            at: now,
            known,
            starts,
            unanswered,
        };
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

/// Whether a command is worth sending directly. Removals from a worker's list of exited tasks can
/// wait for the answer to its next heartbeat. When they were sent directly to machines whose next
/// start wasn't recorded yet, they made up a third of all direct commands, and the start had to
/// wait for their answer.
fn is_urgent(command: &Command) -> bool {
    !matches!(command, Command::Forget { .. })
}
