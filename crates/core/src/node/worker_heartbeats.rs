//! Heartbeats of workers, as any controller takes them.

use super::Node;
use crate::consts::{LEADER_LEASE_S, PEER_WORD_DELAY_S, WAITING_HEARTBEATS_PER_STEP};
use crate::event::{Answer, ReplyTo, Secs};
use marblebarrow_proto::ids::NodeId;
use marblebarrow_proto::wire::Heartbeat;

impl Node {
    /// A worker's heartbeat: the leader answers it, others name the leader, and while nobody
    /// is known to lead it waits for the outcome of the election.
    pub(super) fn heartbeat(&mut self, now: Secs, to: ReplyTo, heartbeat: Box<Heartbeat>) {
        if self.answers_heartbeats(now) {
            return self.answer_heartbeat(now, to, &heartbeat);
        }
        if self.leader_soon_known(now) && self.waiting_heartbeats.has_room() {
            return self.waiting_heartbeats.push(now, to, heartbeat);
        }
        self.answer_heartbeat(now, to, &heartbeat);
    }

    /// Answers heartbeats that waited, once there is an answer or they waited long enough.
    pub(super) fn answer_waiting_heartbeats(&mut self, now: Secs) {
        if self.answers_heartbeats(now) || self.other_leader(now).is_some() {
            for _ in 0..WAITING_HEARTBEATS_PER_STEP {
                let Some(waiting) = self.waiting_heartbeats.pop() else { return };
                self.answer_heartbeat(now, waiting.to, &waiting.heartbeat);
            }
        }
        while let Some(waiting) = self.waiting_heartbeats.pop_expired(now) {
            self.answer_heartbeat(now, waiting.to, &waiting.heartbeat);
        }
    }

    fn answers_heartbeats(&self, now: Secs) -> bool {
        self.leader.is_some() && self.may_act(now)
    }

    /// Whether nobody is known to lead, and this controller will learn of a leader as soon as
    /// there is one: the store served it lately, and its watch goes on. In an outage nobody can
    /// be elected. Only where leases are short: with longer ones workers have the time to come
    /// round, and those of a large fleet would hold most of the sockets meanwhile.
    fn leader_soon_known(&self, now: Secs) -> bool {
        self.placement.has_short_leases()
            && self.other_leader(now).is_none()
            && self.replica.synced
            && now - self.store_ok_at < LEADER_LEASE_S
            && now - self.replica.current_at < self.facts.replica_age_to_resign()
    }

    /// Another controller that leads, as the watch shows.
    fn shown_leader(&self) -> Option<&NodeId> {
        let leader = self.replica.leader.as_ref().map(|(record, _)| &record.node);
        leader.filter(|node| **node != self.facts.node)
    }

    /// The same, unless it is silent: then its key may be gone soon. (A renewal of a leader that
    /// had ended was once carried out 3 s late, and workers were sent back to it, 4 s each.)
    fn other_leader(&self, now: Secs) -> Option<&NodeId> {
        let gives_way = |leader: &&NodeId| self.has_given_way(leader);
        self.shown_leader().filter(|leader| self.heard(now, Some(*leader)) && !gives_way(leader))
    }

    /// Whether the controller that the watch shows as leader has said since that it doesn't
    /// lead. (A leader that workers couldn't reach once resigned, the removal of its key was
    /// carried out 3 s late, and workers were sent back to it.)
    fn has_given_way(&self, leader: &NodeId) -> bool {
        let Some(shown) = &self.leader_shown else { return false };
        let follows = self.peers.get(leader).and_then(|word| word.follows);
        // What it said before it was elected may have come after the watch's news.
        follows.is_some_and(|at| at > shown.since + PEER_WORD_DELAY_S)
    }

    fn answer_heartbeat(&mut self, now: Secs, to: ReplyTo, heartbeat: &Heartbeat) {
        if self.may_act(now)
            && let Some(leader) = &mut self.leader
        {
            return leader.heartbeat(now, to, heartbeat, &self.replica, &mut self.out);
        }
        let elsewhere = self.shown_leader().cloned();
        self.out.reply(to, Answer::Elsewhere(elsewhere));
    }
}
