//! Handling of worker heartbeats by any controller, leader or not.

use super::Node;
use crate::consts::{LEADER_LEASE_S, PEER_REPORT_DELAY_S, WAITING_HEARTBEATS_PER_STEP};
use crate::event::{Answer, ReplyTo, Secs};
use marblebarrow_proto::ids::NodeId;
use marblebarrow_proto::wire::Heartbeat;

impl Node {
    /// Handles a worker's heartbeat. The leader answers it, and other controllers redirect to the
    /// leader. While no leader is known, the heartbeat waits for the outcome of the election.
    pub(super) fn handle_heartbeat(&mut self, now: Secs, to: ReplyTo, heartbeat: Box<Heartbeat>) {
        if self.is_acting_leader(now) {
            return self.answer_heartbeat(now, now, to, &heartbeat);
        }
        if self.expects_leader_soon(now) && self.waiting_heartbeats.has_room() {
            return self.waiting_heartbeats.push(now, to, heartbeat);
        }
        self.answer_heartbeat(now, now, to, &heartbeat);
    }

    /// Answers waiting heartbeats once a leader is known, and those that have waited too long.
    pub(super) fn answer_waiting_heartbeats(&mut self, now: Secs) {
        if self.is_acting_leader(now) || self.reachable_other_leader(now).is_some() {
            for _ in 0..WAITING_HEARTBEATS_PER_STEP {
                let Some(waiting) = self.waiting_heartbeats.pop() else { return };
                self.answer_heartbeat(now, waiting.since, waiting.to, &waiting.heartbeat);
            }
        }
        while let Some(waiting) = self.waiting_heartbeats.pop_expired(now) {
            self.answer_heartbeat(now, waiting.since, waiting.to, &waiting.heartbeat);
        }
    }

    fn is_acting_leader(&self, now: Secs) -> bool {
        self.leader.is_some() && self.may_act(now)
    }

    /// Whether no leader is known but this controller will learn of one as soon as there is one:
    /// the state service answered recently, and the watch is current. During an outage nobody can
    /// be elected. This applies only where leases are short. Longer leases give workers the time to
    /// try all controllers, and the waiting heartbeats of a large fleet would occupy most of the
    /// sockets meanwhile.
    fn expects_leader_soon(&self, now: Secs) -> bool {
        self.placement.has_short_leases()
            && self.reachable_other_leader(now).is_none()
            && self.replica.synced
            && now - self.store_ok_at < LEADER_LEASE_S
            && now - self.replica.current_at < self.facts.replica_age_to_resign()
    }

    /// The leader that the watch shows, if that is another controller.
    fn other_watched_leader(&self) -> Option<&NodeId> {
        let leader = self.replica.leader.as_ref().map(|(record, _)| &record.node);
        leader.filter(|node| **node != self.facts.node)
    }

    /// The other controller that leads, unless it is unreachable or has stepped down: then its key
    /// may disappear soon. Without this check, when a lease renewal of a dead leader was carried
    /// out 3 s late, workers were redirected to it and spent 4 s each on it.
    fn reachable_other_leader(&self, now: Secs) -> Option<&NodeId> {
        let stepped_down = |leader: &&NodeId| self.has_stepped_down(leader);
        self.other_watched_leader()
            .filter(|leader| self.recently_heard(now, Some(*leader)) && !stepped_down(leader))
    }

    /// Whether the controller that the watch shows as leader has since reported that it doesn't
    /// lead. Without this check, when a leader that workers couldn't reach resigned and the removal
    /// of its key was carried out 3 s late, workers were redirected to it.
    fn has_stepped_down(&self, leader: &NodeId) -> bool {
        let Some(watched) = &self.watched_leader else { return false };
        let not_leading_at = self.peers.get(leader).and_then(|state| state.not_leading_at);
        // A report from before its election may arrive after the watch has shown the election.
        not_leading_at.is_some_and(|at| at > watched.since + PEER_REPORT_DELAY_S)
    }

    fn answer_heartbeat(&mut self, now: Secs, arrived: Secs, to: ReplyTo, heartbeat: &Heartbeat) {
        if self.may_act(now)
            && let Some(leader) = &mut self.leader
        {
            return leader.handle_heartbeat(
                now,
                arrived,
                to,
                heartbeat,
                &self.replica,
                &mut self.out,
            );
        }
        let elsewhere = self.other_watched_leader().cloned();
        self.out.reply(to, Answer::RedirectTo(elsewhere));
    }
}
