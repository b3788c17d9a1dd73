//! Orders to workers, directly or in answers, whether they arrive, and leases.

use crate::consts::*;
use crate::direct_results::DirectSent;
use crate::event::{Action, ActionSink, Secs};
use crate::jobs::{Job, Phase, live_attempt};
use crate::leader::Leader;
use crate::unconfirmed_starts::AttemptKey;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::wire::{Command, Why};
use std::cmp::Ordering;

/// A machine that waits for a direct order.
struct WaitingOrder {
    /// It didn't answer the last one.
    unreached: bool,
    /// Nothing is to be done there: it is only asked whether it hears us.
    only_probe: bool,
    /// Since when, at the longest.
    since: Secs,
    machine: MachineId,
}

impl WaitingOrder {
    /// Those that answered last time first: each silent one holds a thread for a second or
    /// two. Then those with something to do, as starts wait for it; then who waited
    /// longest. (In order of names, the last machines of a fleet with few threads were
    /// never asked at all.)
    fn compare(&self, other: &Self) -> Ordering {
        self.unreached
            .cmp(&other.unreached)
            .then(self.only_probe.cmp(&other.only_probe))
            .then(self.since.total_cmp(&other.since))
    }
}

impl Leader {
    /// What must end on a machine, of jobs of that kind (`None`: over and closed).
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
        let strangers = m.strangers.iter().filter(|(task, _)| wanted(task));
        let strangers = strangers.map(|(task, attempt)| stop(task, *attempt, 0.0));
        let ours = m.tasks.iter().filter(|task| wanted(task)).filter_map(|task| {
            let live = live_attempt(&self.jobs, task)?;
            Some(stop(task, live.attempt, live.stop?))
        });
        strangers.chain(ours).collect()
    }

    /// The commands a machine should get now: stops, clears, then starts.
    pub(crate) fn compose(&mut self, id: &MachineId) -> (Vec<Command>, Vec<AttemptKey>) {
        let mut commands = self.stops(id, |_| true);
        let mut starts = Vec::new();
        let Some(m) = self.machines.get_mut(id) else {
            return (commands, starts);
        };
        m.push = false;
        for (key, why) in &m.exited {
            let (task, attempt) = key;
            let safe = match self.jobs.get(&task.job) {
                None => true,
                Some(j) => *why != Why::Done || j.stored_finished.contains(task.index),
            };
            if safe && !m.unconfirmed_starts.contains(key) {
                commands.push(Command::Forget { task: task.to_string(), attempt: *attempt });
            }
        }
        let startable = m.recorded && m.lapsed.is_none() && !m.releasing && m.reached.is_some();
        let number = m.info.number;
        for task in m.tasks.iter().filter(|_| startable) {
            if commands.len() >= COMMANDS_MAX {
                m.push = true;
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
            if live.stop.is_none() && matches!(live.phase, Phase::Placed | Phase::Ready) {
                live.phase = Phase::Sent;
                commands.push(Command::Start { task: task.to_string(), attempt: live.attempt });
                starts.push((task.clone(), live.attempt));
            }
        }
        self.log_commands(id, commands.len(), &starts);
        (commands, starts)
    }

    /// Logs on what the permission rests to send commands to a machine.
    fn log_commands(&mut self, id: &MachineId, commands: usize, starts: &[AttemptKey]) {
        if commands == 0 {
            return;
        }
        let (term, starts, knowledge) = (self.term.0, starts.len(), self.knowledge);
        self.log.push(|| {
            format!(
                "event=commands machine={id} commands={commands} starts={starts} term={term} \
                 revision={} known_at_s={:.2} authority_until_s={:.2}",
                knowledge.revision, knowledge.known_at, knowledge.authority_until
            )
        });
    }

    /// Sends directly what shouldn't wait for the next heartbeat.
    pub(crate) fn push_direct(&mut self, now: Secs, out: &mut ActionSink) {
        if now < self.next_push {
            return;
        }
        self.next_push = now + PUSH_EVERY_S;
        let most = self.facts.direct_most;
        if self.directs.len() >= most {
            return;
        }
        let mut ready: Vec<WaitingOrder> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.direct.is_none()
                    && now >= m.direct_after
                    && (m.push && m.agent_epoch != 0 && m.lapsed.is_none() || m.probe_due)
            })
            .map(|(id, m)| WaitingOrder {
                unreached: m.unreached > 0,
                only_probe: !m.push,
                since: m.waiting_since(),
                machine: id.clone(),
            })
            .collect();
        ready.sort_by(WaitingOrder::compare);
        let mut unreached = self.directs.values().filter(|d| d.unreached).count();
        let most_unreached = ((most as f64 * UNREACHED_SHARE) as usize).max(1);
        for WaitingOrder { unreached: is_unreached, machine: id, .. } in ready {
            if self.directs.len() >= most || is_unreached && unreached >= most_unreached {
                break;
            }
            let Some((agent_epoch, probe_due)) =
                self.machines.get(&id).map(|m| (m.agent_epoch, m.probe_due))
            else {
                continue;
            };
            let (commands, starts) =
                if agent_epoch != 0 { self.compose(&id) } else { (Vec::new(), Vec::new()) };
            if probe_due || commands.iter().any(is_urgent) {
                unreached += usize::from(is_unreached);
                // An unknown epoch is refused, with the heartbeat we want.
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
        m.direct = Some(op);
        let known = (m.agent_epoch, m.seq);
        let unreached = m.unreached > 0;
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
            unreached,
        };
        self.directs.insert(op, sent);
    }

    /// Machines that are heard but haven't shown for long that they hear us are
    /// asked directly, and so are those that missed a heartbeat.
    pub(crate) fn check_reach(&mut self, now: Secs) {
        let ask =
            (self.facts.heartbeat_interval_s * REACH_HEARTBEATS + WORKER_GIVES_UP_S) * PROBE_SHARE;
        let quiet = self.facts.heartbeat_interval_s * QUIET_HEARTBEATS + QUIET_MARGIN_S;
        for m in self.machines.values_mut() {
            let Some(since) = m.heard.map(|h| now - h) else { continue };
            let heard = since < self.facts.heartbeat_interval_s * SILENT_HEARTBEATS;
            let unsure = heard && m.reached.is_none_or(|at| now - at > ask);
            let missed = since > quiet && m.unreached < QUIET_PROBES && m.lapsed.is_none();
            if unsure || missed && !m.releasing {
                m.probe_due = true;
            }
        }
    }

    /// Leases that surely ran out.
    pub(crate) fn expire_leases(&mut self, now: Secs) {
        let life = self.facts.lease_s * (1.0 + DRIFT) + LEASE_MARGIN_S;
        let lapsed: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.lapsed.is_none() && now > m.answered + life)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            if let Some(m) = self.machines.get_mut(&id) {
                m.lapsed = Some(m.agent_epoch);
                m.probe_due = false;
                m.confirmed = true;
            }
            self.log.push(|| format!("event=lapsed machine={id} term={}", self.term.0));
            self.lose_tasks(&id, now);
        }
    }
}

/// Whether a command is worth a direct order. A worker's list of exited tasks may wait for
/// the answer to its next heartbeat. (A machine whose next start wasn't recorded yet once got
/// an order that cleared its list and nothing else: a third of all direct orders, and the
/// start waited until that one was answered.)
fn is_urgent(command: &Command) -> bool {
    !matches!(command, Command::Forget { .. })
}
