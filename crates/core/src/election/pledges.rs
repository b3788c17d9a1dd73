//! Pledges of the other controllers not to stand, by which a leader may go on while the state
//! service has an outage.

use crate::consts::*;
use crate::event::{Action, ActionSink, PledgeAnswer, Secs};
use marblebarrow_proto::ids::{NodeId, Term};
use std::collections::BTreeMap;

/// What the peers have pledged and told.
#[derive(Debug, Default)]
pub(super) struct Pledges {
    /// Until when each peer won't stand.
    until: BTreeMap<NodeId, Secs>,
    /// When we asked for each peer's last answer that named all cancellations it had
    /// confirmed.
    informed: BTreeMap<NodeId, Secs>,
    next_ask: Secs,
}

impl Pledges {
    /// Until when none of the peers will stand.
    pub(super) fn pledged_until(&self, peers: &[NodeId]) -> Secs {
        earliest(&self.until, peers)
    }

    /// When we knew of every cancellation that any peer had confirmed.
    pub(super) fn informed_at(&self, peers: &[NodeId]) -> Secs {
        earliest(&self.informed, peers)
    }

    /// A leadership begins: pledges to an earlier one don't count.
    pub(super) fn clear(&mut self) {
        self.until.clear();
    }

    /// Asks all peers for a pledge, if it is time.
    pub(super) fn ask_if_due(
        &mut self,
        now: Secs,
        term: Term,
        revision: u64,
        out: &mut ActionSink,
    ) {
        if now >= self.next_ask {
            self.next_ask = now + PLEDGE_EVERY_S;
            out.actions.push(Action::AskPledges { term: term.0, revision });
        }
    }

    /// A peer answered a request sent at `sent`. Only a pledge for which all cancellations
    /// came counts, and it informs us only if the peer itself knows all.
    pub(super) fn answered(&mut self, peer: NodeId, sent: Secs, answer: &PledgeAnswer) {
        if !answer.granted || answer.more {
            return;
        }
        if answer.whole {
            let at = self.informed.entry(peer.clone()).or_insert(sent);
            *at = at.max(sent);
        }
        let until = sent + PLEDGE_S * (1.0 - DRIFT) - LEADER_LEASE_MARGIN_S;
        let slot = self.until.entry(peer).or_insert(until);
        *slot = slot.max(until);
    }
}

/// The earliest time of all peers; 0 for one without a time, or without any peers.
fn earliest(times: &BTreeMap<NodeId, Secs>, peers: &[NodeId]) -> Secs {
    let at = |peer: &NodeId| times.get(peer).copied().unwrap_or(0.0);
    peers.iter().map(at).reduce(f64::min).unwrap_or(0.0)
}
