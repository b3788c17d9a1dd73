//! When a controller may stand for election.

use crate::consts::*;
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

/// The waits of one controller before it stands.
#[derive(Debug)]
pub(super) struct Candidacy {
    /// It stands no sooner.
    not_before: Secs,
    /// Different for each controller, so that two seldom stand at once, seconds.
    spread: Secs,
    peers: usize,
    /// The first wait, until all peers said that they don't lead: those that have.
    fresh_wait: Option<BTreeSet<NodeId>>,
    /// Since when it has heard no other controller.
    alone_since: Option<Secs>,
    /// When a leader was last known.
    led_at: Secs,
    /// The controller that workers try after this one is silent, while another isn't.
    next_silent: bool,
}

impl Candidacy {
    /// A fresh process, which waits as long as a pledge of its earlier self may last.
    pub(super) fn new(peers: usize, boot: u64, now: Secs) -> Self {
        Self {
            not_before: now + PLEDGE_S * (1.0 + DRIFT),
            spread: (boot % 1000) as f64 / 1000.0 * STAND_SPREAD_S,
            peers,
            fresh_wait: Some(BTreeSet::new()),
            alone_since: None,
            led_at: now,
            next_silent: false,
        }
    }

    /// Nothing to wait for.
    pub(super) fn stand_at_once(&mut self) {
        self.not_before = 0.0;
    }

    /// Whether it may stand while nobody leads.
    pub(super) fn may_stand(&self, now: Secs) -> bool {
        now >= self.not_before + self.backoff() && !self.waits_alone(now)
    }

    /// Whether none of the waits that safety demands is left.
    pub(super) fn is_wait_over(&self, now: Secs) -> bool {
        now >= self.not_before
    }

    /// Lets another stand first whose workers would find their way sooner. (Where a
    /// controller was down and then the leader stood still, half the workers once outlived
    /// their leases between the two.)
    fn backoff(&self) -> Secs {
        if self.next_silent { NEXT_SILENT_S } else { 0.0 }
    }

    /// Hears no other controller, and hasn't waited the longer for it since nobody leads. (Once
    /// the wait began anew with every try, and an election with a lost answer took 3 s more.)
    fn waits_alone(&self, now: Secs) -> bool {
        self.alone_since.is_some_and(|since| now - since.max(self.led_at) < ALONE_S)
    }

    /// Stands no sooner than that.
    pub(super) fn wait_until(&mut self, at: Secs) {
        self.not_before = self.not_before.max(at);
    }

    /// Somebody leads.
    pub(super) fn note_leader(&mut self, now: Secs) {
        self.led_at = now;
        self.wait_until(now + self.spread);
    }

    /// An attempt to stand failed, or a leadership ended.
    pub(super) fn retry_later(&mut self, now: Secs) {
        self.wait_until(now + STAND_RETRY_S + self.spread);
    }

    /// Pledges not to stand.
    pub(super) fn pledge(&mut self, now: Secs) {
        self.fresh_wait = None;
        self.wait_until(now + PLEDGE_S * (1.0 + DRIFT));
    }

    pub(super) fn note_next_silent(&mut self, silent: bool) {
        self.next_silent = silent;
    }

    /// Whether no other controller was heard lately, though there are some.
    pub(super) fn note_alone(&mut self, now: Secs, alone: bool) {
        if alone {
            self.alone_since.get_or_insert(now);
        } else {
            self.alone_since = None;
        }
    }

    /// Whether the first wait isn't over.
    pub(super) fn is_fresh(&self) -> bool {
        self.fresh_wait.is_some()
    }

    /// A peer says whether it leads: if none does, the first wait ends.
    pub(super) fn note_peer_leads(&mut self, now: Secs, peer: NodeId, leading: bool) {
        let Some(not_leading) = &mut self.fresh_wait else { return };
        if leading {
            not_leading.remove(&peer);
        } else {
            not_leading.insert(peer);
        }
        if not_leading.len() == self.peers {
            self.fresh_wait = None;
            self.not_before = now;
        }
    }
}
