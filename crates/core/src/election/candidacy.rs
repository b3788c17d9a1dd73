//! Delays that a controller observes before it stands for election.

use crate::consts::*;
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

/// The candidacy delays of one controller.
#[derive(Debug)]
pub(super) struct Candidacy {
    /// The controller doesn't stand before this time.
    not_before: Secs,
    /// Per-process offset derived from the boot id, so that two controllers rarely stand at the
    /// same time, seconds.
    jitter: Secs,
    peer_count: usize,
    /// Startup wait, which ends when all peers have reported that they don't lead; holds the peers
    /// that have. `None` once it is over.
    startup_wait: Option<BTreeSet<NodeId>>,
    /// Since when this controller has heard from no peer.
    isolated_since: Option<Secs>,
    /// When a leader was last known.
    leader_known_at: Secs,
    /// Whether the controller that workers try after this one is unreachable while another peer is
    /// reachable.
    next_unreachable: bool,
}

impl Candidacy {
    /// State of a newly started process. It waits as long as a pledge that its previous process
    /// gave may last.
    pub(super) fn new(peer_count: usize, boot: u64, now: Secs) -> Self {
        Self {
            not_before: now + PLEDGE_S * (1.0 + DRIFT),
            jitter: (boot % 1000) as f64 / 1000.0 * STAND_SPREAD_S,
            peer_count,
            startup_wait: Some(BTreeSet::new()),
            isolated_since: None,
            leader_known_at: now,
            next_unreachable: false,
        }
    }

    /// Ends the startup delay at once.
    pub(super) fn skip_wait(&mut self) {
        self.not_before = 0.0;
    }

    /// Whether this controller may stand while there is no leader.
    pub(super) fn may_stand(&self, now: Secs) -> bool {
        now >= self.not_before + self.placement_delay() && !self.waits_while_isolated(now)
    }

    /// Whether the delays that safety requires are over. Delays that only order the candidates
    /// aren't counted.
    pub(super) fn is_wait_over(&self, now: Secs) -> bool {
        now >= self.not_before
    }

    /// Extra delay that lets a better placed controller stand first: one whose workers would find
    /// another controller sooner if it failed too. Without it, when one controller was down and
    /// then the leader stalled, half of the workers outlived their leases in between.
    fn placement_delay(&self) -> Secs {
        if self.next_unreachable { NEXT_UNREACHABLE_DELAY_S } else { 0.0 }
    }

    /// Whether this controller hears from no peer and hasn't yet waited [`ISOLATED_DELAY_S`] since
    /// there is no leader. The wait counts from when the leader was lost and not from each attempt;
    /// restarting it with each attempt added 3 s to an election with one lost answer.
    fn waits_while_isolated(&self, now: Secs) -> bool {
        self.isolated_since
            .is_some_and(|since| now - since.max(self.leader_known_at) < ISOLATED_DELAY_S)
    }

    /// Delays candidacy at least until `at`.
    pub(super) fn wait_until(&mut self, at: Secs) {
        self.not_before = self.not_before.max(at);
    }

    /// Records that there is a leader.
    pub(super) fn note_leader(&mut self, now: Secs) {
        self.leader_known_at = now;
        self.wait_until(now + self.jitter);
    }

    /// Delays the next candidacy after a failed attempt or the end of a leadership.
    pub(super) fn retry_later(&mut self, now: Secs) {
        self.wait_until(now + STAND_RETRY_S + self.jitter);
    }

    /// Records a pledge of this controller not to stand.
    pub(super) fn pledge(&mut self, now: Secs) {
        self.startup_wait = None;
        self.wait_until(now + PLEDGE_S * (1.0 + DRIFT));
    }

    pub(super) fn set_next_unreachable(&mut self, unreachable: bool) {
        self.next_unreachable = unreachable;
    }

    /// Records whether no peer was heard recently although peers are configured.
    pub(super) fn note_isolated(&mut self, now: Secs, alone: bool) {
        if alone {
            self.isolated_since.get_or_insert(now);
        } else {
            self.isolated_since = None;
        }
    }

    /// Whether the startup wait is still in effect.
    pub(super) fn has_startup_wait(&self) -> bool {
        self.startup_wait.is_some()
    }

    /// Records whether a peer leads. Once all peers have reported that they don't, the startup wait
    /// ends.
    pub(super) fn note_peer_leads(&mut self, now: Secs, peer: NodeId, leading: bool) {
        let Some(not_leading) = &mut self.startup_wait else { return };
        if leading {
            not_leading.remove(&peer);
        } else {
            not_leading.insert(peer);
        }
        if not_leading.len() == self.peer_count {
            self.startup_wait = None;
            self.not_before = now;
        }
    }
}
