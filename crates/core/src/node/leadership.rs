//! Decides when this controller leads and may act, and when it gives up its leadership.

use super::{Node, WatchedLeader};
use crate::consts::*;
use crate::election::{LeadershipBounds, LeadershipChange, LossReason};
use crate::event::Secs;
use crate::leader::{Knowledge, Leader};
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

impl Node {
    /// Whether this controller may act as leader now.
    pub fn may_act(&self, now: Secs) -> bool {
        self.authority().is_some_and(|(_, until)| now < until)
    }

    /// The term in which this controller may act and until when, if it leads. It may act while no
    /// other controller can lead, and while every cancellation that it may not know of can still be
    /// enforced by letting leases expire.
    ///
    /// The second bound guards against this fault: the state service refused only the leader, a
    /// peer confirmed cancellations to users, and then the state service refused everybody for
    /// longer than a cancellation may take. The leader kept renewing the leases of tasks that it
    /// didn't know to be cancelled.
    pub fn authority(&self) -> Option<(u64, Secs)> {
        let LeadershipBounds { term, lease_until, pledged_until } =
            self.election.leadership_bounds()?;
        if self.facts.others.is_empty() {
            return Some((term, lease_until));
        }
        let (known_at, cancel_slack) = (self.known_at(), self.facts.cancel_slack());
        // While the state service answers, its watch may still take a while to deliver what is new.
        let served_until = lease_until.min(known_at + self.facts.replica_age_limit());
        let refused_until = pledged_until.min(known_at + cancel_slack);
        Some((term, served_until.max(refused_until)))
    }

    /// The highest fencing token, apart from its term, that a leadership of this controller may
    /// use.
    pub fn highest_fencing_token(&self) -> u64 {
        self.leader.as_ref().map_or(0, Leader::highest_fencing_token)
    }

    /// As of this time, this controller knows every cancellation confirmed to a user.
    pub(super) fn known_at(&self) -> Secs {
        if self.replica.is_complete() {
            self.replica.current_at.max(self.election.cancellations_known_at())
        } else {
            self.replica.current_at
        }
    }

    /// Passes the state of its knowledge to the leader. Call this only after all known
    /// cancellations have been passed on: the leader takes a cancellation that is new to it for one
    /// confirmed since.
    pub(super) fn update_knowledge(&mut self) {
        let (known_at, revision) = (self.known_at(), self.replica.revision);
        let authority_until = self.authority().map_or(0.0, |(_, until)| until);
        if let Some(leader) = &mut self.leader {
            leader.knowledge = Knowledge { known_at, revision, authority_until };
        }
    }

    // The state service answers well enough to keep the leader's lease but its watch delivers
    // nothing new, so this controller will soon not be allowed to act. Another controller's watch
    // may work.
    pub(super) fn is_replica_stale(&self, now: Secs) -> bool {
        self.election.leadership().is_some()
            && !self.election.renewal_failing()
            && !self.facts.others.is_empty()
            && now > self.known_at() + self.facts.replica_age_to_resign()
    }

    /// Logs which controller the watch shows as leader, if that changed.
    pub(super) fn log_leader_change(&mut self, now: Secs) {
        let watched = self.replica.leader.as_ref().map(|(record, _)| WatchedLeader {
            node: record.node.clone(),
            term: record.term,
            since: now,
        });
        let terms = |leader: &Option<WatchedLeader>| leader.as_ref().map(|leader| leader.term);
        if terms(&watched) == terms(&self.watched_leader) {
            return;
        }
        if let Some(former) = self.watched_leader.take() {
            self.last_led_at.insert(former.node, now);
        }
        match &watched {
            Some(WatchedLeader { node, term, .. }) => {
                self.log.info(now, || format!("event=leader node={node} term={term}"));
            }
            None => self.log.info(now, || "event=no_leader".into()),
        }
        self.watched_leader = watched;
    }

    pub(super) fn resign(&mut self, now: Secs, reason: LossReason) {
        let leadership_change = self.election.resign(now, reason, &mut self.out);
        self.change_leadership(now, leadership_change);
    }

    pub(super) fn change_leadership(&mut self, now: Secs, leadership_change: LeadershipChange) {
        match leadership_change {
            LeadershipChange::None => return,
            LeadershipChange::Won => {
                if let Some(held) = self.election.leadership().cloned() {
                    self.log.info(now, || format!("event=won term={}", held.term.0));
                    let facts = self.facts.clone();
                    self.leader =
                        Some(Leader::new(facts, held.term, held.version, now, &mut self.out));
                    self.update_knowledge();
                }
            }
            LeadershipChange::Lost(reason) => {
                let Some(mut leader) = self.leader.take() else { return };
                leader.refuse_held_heartbeats(&mut self.out);
                self.log.append(leader.log.take());
                let term = leader.term.0;
                self.log.info(now, || format!("event=lost term={term} why={reason}"));
            }
        }
        // Tell the peers at once whether this controller leads.
        self.next_heartbeat = now;
    }

    /// Hands the leadership over if another controller is better placed in case the leader stalls.
    /// The other controller wins an ordinary election under a new term.
    pub(super) fn transfer_if_badly_placed(&mut self, now: Secs) {
        let settled = self.leader.as_ref().is_some_and(|leader| leader.is_settled(now));
        let served = !self.store_unavailable() && !self.election.renewal_failing();
        if !settled || !served || !self.may_act(now) || now < self.next_transfer {
            return;
        }
        let Some(better) = self.better_placed(now) else { return };
        let to = better.clone();
        self.next_transfer = now + TRANSFER_EVERY_S;
        self.log.info(now, || format!("event=transfer to={to} why=next_in_turn_silent"));
        self.resign(now, LossReason::Transferred);
    }

    /// A controller that is better placed to lead than this one, is heard from, and is served by
    /// the state service.
    fn better_placed(&self, now: Secs) -> Option<&NodeId> {
        let unreachable = self.unreachable_for(now, TRANSFER_SILENT_S);
        if unreachable.is_empty() || self.placement.is_safe(&self.facts.node, &unreachable) {
            return None;
        }
        // The other controller must be well placed also by what was heard in the last seconds.
        let unreachable = self.unreachable_for(now, HEARTBEAT_FRESH_S);
        let better = self.placement.better_placed_leader(&self.facts.node, &unreachable)?;
        let served = self.peers.get(better).is_some_and(|peer| peer.store_ok);
        // A controller that recently gave up its leadership may have done so because its workers
        // couldn't reach it.
        let led_recently =
            self.last_led_at.get(better).is_some_and(|until| now - until < TRANSFER_EVERY_S);
        (served && !led_recently).then_some(better)
    }

    /// The controllers not heard from for at least `span` seconds.
    fn unreachable_for(&self, now: Secs, span: Secs) -> BTreeSet<NodeId> {
        let last_heard = |peer: &NodeId| self.peers.get(peer).map_or(0.0, |state| state.heard_at);
        let unreachable = |peer: &&NodeId| now - last_heard(peer) >= span;
        self.facts.others.iter().filter(unreachable).cloned().collect()
    }
}
