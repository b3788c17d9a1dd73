//! Prompts a worker to send a heartbeat, because a start command waits for the answer.
//!
//! Start commands are sent in answers to heartbeats alone. A worker executes such an answer once,
//! and only while it waits for it. A direct command is executed whenever it arrives, as long as its
//! token and agent epoch match: a copy of a direct start could be executed by a worker that had
//! restarted under its name and knew no token yet, while the task ran elsewhere or its job was
//! cancelled.
//!
//! A worker sends a heartbeat as soon as it sees a higher token, once in half of its lease. So a
//! direct command that starts nothing and shows one saves the wait for the next heartbeat. Its
//! copies do nothing.

use crate::consts::{HEARTBEAT_MIN_INTERVAL_S, PROMPT_RETRY_S, WORKER_MESSAGES_LOG_S};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Live, Phase, live_attempt};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};

/// Counters of messages to workers since the leader was elected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MessageCounts {
    /// Prompts sent.
    pub prompts: u64,
    /// Prompts that were due while the machine couldn't be prompted.
    pub prompts_impossible: u64,
    /// Heartbeats that were held.
    pub heartbeats_held: u64,
    /// Of these, those answered because their time had passed.
    pub heartbeats_held_in_vain: u64,
    /// Start commands sent.
    pub starts: u64,
    /// Blocks of fencing tokens reserved.
    pub token_blocks: u64,
    /// Reports of attempts that no worker should run.
    pub unneeded_attempts: u64,
}

impl Leader {
    /// The attempts on a machine whose start is still to be sent.
    pub(crate) fn unsent_starts<'a>(
        &'a self,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (&'a TaskId, &'a Live)> {
        machine.tasks.iter().filter_map(|task| {
            let cancelled = self.jobs.get(&task.job).is_none_or(|job| job.cancelled);
            let live = live_attempt(&self.jobs, task)?;
            let unsent = matches!(live.phase, Phase::Placed | Phase::Ready);
            (unsent && !cancelled && live.stop_grace_s.is_none()).then_some((task, live))
        })
    }

    /// Raises the token of a machine for which a start waits, so that a direct command without
    /// commands makes it send a heartbeat. Returns false if that wouldn't.
    pub(crate) fn prompt(&mut self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get(id) else { return false };
        let waits = m.accepts_starts() && self.unsent_starts(m).next().is_some();
        let can_prompt = waits && m.token_prompts(now, self.facts.heartbeat_timing());
        if !waits && let Some(m) = self.machines.get_mut(id) {
            m.prompt_due = false;
        }
        let prompted = can_prompt && self.raise_token(id);
        if let Some(m) = self.machines.get_mut(id) {
            m.next_prompt_at = now + PROMPT_RETRY_S;
            if prompted {
                m.heartbeat_expected_by = now + HEARTBEAT_MIN_INTERVAL_S;
            }
        }
        self.message_counts.prompts += u64::from(prompted);
        self.message_counts.prompts_impossible += u64::from(waits && !prompted);
        prompted
    }

    /// Logs the counters of messages to workers at a fixed interval.
    pub(crate) fn log_message_counts(&mut self, now: Secs) {
        if now < self.next_messages_log {
            return;
        }
        self.next_messages_log = now + WORKER_MESSAGES_LOG_S;
        let MessageCounts { prompts, prompts_impossible, .. } = self.message_counts;
        let MessageCounts { heartbeats_held, heartbeats_held_in_vain, starts, .. } =
            self.message_counts;
        let MessageCounts { token_blocks, unneeded_attempts, .. } = self.message_counts;
        let (term, suppressed) = (self.term.0, self.log.suppressed());
        self.log.info(now, || {
            format!(
                "event=worker_messages starts={starts} prompts={prompts} \
                 prompts_impossible={prompts_impossible} \
                 heartbeats_held={heartbeats_held} held_in_vain={heartbeats_held_in_vain} \
                 tokens_raised={token_blocks} strangers={unneeded_attempts} \
                 suppressed_lines={suppressed} term={term}"
            )
        });
    }
}
