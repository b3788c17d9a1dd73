//! Pledges of the other controllers not to stand for election. They allow a leader to continue
//! during an outage of the state service.

use crate::consts::*;
use crate::event::{Action, ActionSink, PledgeAnswer, Secs};
use marblebarrow_proto::ids::{NodeId, Term};
use std::collections::BTreeMap;

/// The peers' pledges, and how complete the cancellations in their answers were.
#[derive(Debug, Default)]
pub(super) struct Pledges {
    /// End of each peer's pledge.
    pledge_ends: BTreeMap<NodeId, Secs>,
    /// For each peer, when the last request was sent to which it answered with all cancellations it
    /// had confirmed.
    complete_answer_at: BTreeMap<NodeId, Secs>,
    next_request: Secs,
}

impl Pledges {
    /// Until when no peer will stand.
    pub(super) fn pledged_until(&self, peers: &[NodeId]) -> Secs {
        earliest(&self.pledge_ends, peers)
    }

    /// As of this time, every cancellation that any peer had confirmed is known.
    pub(super) fn complete_answers_at(&self, peers: &[NodeId]) -> Secs {
        earliest(&self.complete_answer_at, peers)
    }

    /// Discards the pledges given to an earlier leadership.
    pub(super) fn clear(&mut self) {
        self.pledge_ends.clear();
    }

    /// Asks all peers for a pledge if a request is due.
    pub(super) fn request_if_due(
        &mut self,
        now: Secs,
        term: Term,
        revision: u64,
        out: &mut ActionSink,
    ) {
        if now >= self.next_request {
            self.next_request = now + PLEDGE_EVERY_S;
            out.actions.push(Action::RequestPledges { term: term.0, revision });
        }
    }

    /// Records a peer's answer to a request that was sent at `sent`. A pledge counts only with the
    /// last of the answers that carry its cancellations; the cancellations count as complete only
    /// if the peer itself knows all of them.
    pub(super) fn take_answer(&mut self, peer: NodeId, sent: Secs, answer: &PledgeAnswer) {
        if !answer.granted || answer.more {
            return;
        }
        if answer.complete {
            let at = self.complete_answer_at.entry(peer.clone()).or_insert(sent);
            *at = at.max(sent);
        }
        let until = sent + PLEDGE_S * (1.0 - DRIFT) - LEADER_LEASE_MARGIN_S;
        let slot = self.pledge_ends.entry(peer).or_insert(until);
        *slot = slot.max(until);
    }
}

/// The earliest time of all peers; 0 if any peer has no time, or if there are no peers.
fn earliest(times: &BTreeMap<NodeId, Secs>, peers: &[NodeId]) -> Secs {
    let at = |peer: &NodeId| times.get(peer).copied().unwrap_or(0.0);
    peers.iter().map(at).reduce(f64::min).unwrap_or(0.0)
}
