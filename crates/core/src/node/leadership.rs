//! When this controller leads and may act, and when it gives its leadership up.

use super::{Node, ShownLeader};
use crate::consts::*;
use crate::election::{LeadershipBounds, LeadershipChange, LossReason};
use crate::event::Secs;
use crate::leader::{Knowledge, Leader};
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

impl Node {
    /// Whether this controller may act for all of them now.
    pub fn may_act(&self, now: Secs) -> bool {
        self.authority().is_some_and(|(_, until)| now < until)
    }

    /// The term in which this controller may act, and until when, if it leads:
    /// while nobody else can, and while a cancellation that it may not know
    /// could still be enforced by the leases that it lets run out.
    ///
    /// (The store once refused the leader alone, a peer confirmed cancellations,
    /// and then it refused all for longer than those may take. The leader kept
    /// the leases of tasks that it didn't know to be cancelled.)
    pub fn authority(&self) -> Option<(u64, Secs)> {
        let LeadershipBounds { term, lease_until, pledged_until } =
            self.election.leadership_bounds()?;
        if self.facts.others.is_empty() {
            return Some((term, lease_until));
        }
        let (known_at, room) = (self.known_at(), self.facts.cancel_room());
        // While the store serves us, its word on what is new may take a while.
        let served_until = lease_until.min(known_at + self.facts.replica_age_limit());
        let refused_until = pledged_until.min(known_at + room);
        Some((term, served_until.max(refused_until)))
    }

    /// The highest token that a leadership of ours may use besides its term.
    pub fn highest_fencing_token(&self) -> u64 {
        self.leader.as_ref().map_or(0, Leader::highest_fencing_token)
    }

    /// Every cancellation confirmed by then is known to us.
    pub(super) fn known_at(&self) -> Secs {
        if self.replica.is_complete() {
            self.replica.current_at.max(self.election.cancellations_known_at())
        } else {
            self.replica.current_at
        }
    }

    /// Tells the leader how far its knowledge of cancellations reaches; only once it has been
    /// told them all, as it takes a cancellation that is news for one confirmed since.
    pub(super) fn note_knowledge(&mut self) {
        let (known_at, revision) = (self.known_at(), self.replica.revision);
        let authority_until = self.authority().map_or(0.0, |(_, until)| until);
        if let Some(l) = &mut self.leader {
            l.knowledge = Knowledge { known_at, revision, authority_until };
        }
    }

    // Serves the store well enough to keep our lease, and yet doesn't tell what is
    // new, and soon we may not act for it: another's watch may fare better.
    pub(super) fn out_of_date(&self, now: Secs) -> bool {
        self.election.leadership().is_some()
            && !self.election.renewal_failing()
            && !self.facts.others.is_empty()
            && now > self.known_at() + self.facts.replica_age_to_resign()
    }

    /// Logs whom the watch shows as leader, if that is news.
    pub(super) fn note_leader(&mut self, now: Secs) {
        let shown = self.replica.leader.as_ref().map(|(record, _)| ShownLeader {
            node: record.node.clone(),
            term: record.term,
            since: now,
        });
        let terms = |leader: &Option<ShownLeader>| leader.as_ref().map(|leader| leader.term);
        if terms(&shown) == terms(&self.leader_shown) {
            return;
        }
        if let Some(former) = self.leader_shown.take() {
            self.led_until.insert(former.node, now);
        }
        match &shown {
            Some(ShownLeader { node, term, .. }) => {
                self.log.info(now, || format!("event=leader node={node} term={term}"));
            }
            None => self.log.info(now, || "event=no_leader".into()),
        }
        self.leader_shown = shown;
    }

    pub(super) fn resign(&mut self, now: Secs, reason: LossReason) {
        let turn = self.election.resign(now, reason, &mut self.out);
        self.change_leadership(now, turn);
    }

    pub(super) fn change_leadership(&mut self, now: Secs, turn: LeadershipChange) {
        match turn {
            LeadershipChange::None => return,
            LeadershipChange::Won => {
                if let Some(held) = self.election.leadership().cloned() {
                    self.log.info(now, || format!("event=won term={}", held.term.0));
                    let facts = self.facts.clone();
                    self.leader =
                        Some(Leader::new(facts, held.term, held.version, now, &mut self.out));
                    self.note_knowledge();
                }
            }
            LeadershipChange::Lost(reason) => {
                let Some(mut leader) = self.leader.take() else { return };
                self.log.append(leader.log.take());
                let term = leader.term.0;
                self.log.info(now, || format!("event=lost term={term} why={reason}"));
            }
        }
        // Peers hear at once whether we lead.
        self.next_heartbeat = now;
    }

    /// Hands the leadership over if another controller is better placed, should this one stand
    /// still. The other wins the election that follows as any other, under a new term.
    pub(super) fn transfer_if_badly_placed(&mut self, now: Secs) {
        let settled = self.leader.as_ref().is_some_and(|leader| leader.is_settled(now));
        let served = !self.store_bad() && !self.election.renewal_failing();
        if !settled || !served || !self.may_act(now) || now < self.next_transfer {
            return;
        }
        let Some(better) = self.better_placed(now) else { return };
        let to = better.clone();
        self.next_transfer = now + TRANSFER_EVERY_S;
        self.log.info(now, || format!("event=transfer to={to} why=next_in_turn_silent"));
        self.resign(now, LossReason::Transferred);
    }

    /// A controller that is better placed to lead than this one, and that peers and the store
    /// serve.
    fn better_placed(&self, now: Secs) -> Option<&NodeId> {
        let silent = self.silent_for(now, TRANSFER_SILENT_S);
        if silent.is_empty() || self.placement.is_safe(&self.facts.node, &silent) {
            return None;
        }
        // The other must be well placed by what is known of the last seconds, too.
        let silent = self.silent_for(now, HEARTBEAT_FRESH_S);
        let better = self.placement.better(&self.facts.node, &silent)?;
        let served = self.peers.get(better).is_some_and(|peer| peer.store_ok);
        // One that gave its leadership up may have had reason to: its workers couldn't reach it.
        let led_lately =
            self.led_until.get(better).is_some_and(|until| now - until < TRANSFER_EVERY_S);
        (served && !led_lately).then_some(better)
    }

    /// Controllers not heard for so long, seconds.
    fn silent_for(&self, now: Secs, span: Secs) -> BTreeSet<NodeId> {
        let heard_at = |peer: &NodeId| self.peers.get(peer).map_or(0.0, |word| word.at);
        let silent = |peer: &&NodeId| now - heard_at(peer) >= span;
        self.facts.others.iter().filter(silent).cloned().collect()
    }
}
