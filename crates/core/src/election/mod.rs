//! Leader election: which controller leads, and until when this is guaranteed.
//!
//! The leader holds the leader key under a lease of the state service. It acts only while the lease
//! is guaranteed to be valid, counted from when the last successful renewal was sent. In an outage
//! of the state service it may also act while every other controller has pledged not to stand for
//! election ([`pledges`]). A controller gives a pledge only if the state service refuses its own
//! requests too. A newly started process waits for the length of a pledge before it stands, so that
//! a pledge outlives a restart of the process that gave it ([`candidacy`]). The steps of an
//! election are in [`campaign`].

mod campaign;
mod candidacy;
mod lease;
mod placement;
mod pledges;
mod step_request;

use crate::consts::*;
use crate::event::{ActionSink, OpId, PledgeAnswer, Secs, StoreRequest, StoreResult};
use crate::replica::Replica;
use candidacy::Candidacy;
use lease::LeaseRenewal;
use marblebarrow_proto::ids::{NodeId, Term};
pub use placement::Placement;
use pledges::Pledges;
use std::fmt;
use step_request::StepRequest;

/// A leadership that this controller holds.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// Id of the lease that holds the leader key.
    pub lease: u64,
    /// The term of this leadership.
    pub term: Term,
    /// Version of the leader key; every write is conditional on it.
    pub version: u64,
    /// The lease is guaranteed to be valid until this time.
    pub valid_until: Secs,
}

/// Until when no other controller can lead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeadershipBounds {
    /// The term of this controller's leadership.
    pub term: u64,
    /// The lease of the leader key is guaranteed to be valid until this time.
    pub lease_until: Secs,
    /// Every peer has pledged not to stand before this time.
    pub pledged_until: Secs,
}

/// The role of this controller in the election.
#[derive(Debug)]
enum Role {
    /// Another controller leads, or none does.
    Follower,
    /// Has requested a lease.
    LeaseRequested { since: Secs },
    /// Has a lease and is reading the term counter.
    ReadingTerm { lease: u64, since: Secs },
    /// Has sent the transaction that makes it leader. If the answer is lost, the watch shows the
    /// outcome.
    Candidate { lease: u64, since: Secs, term: Term },
    /// Holds the leadership.
    Leader(Leadership),
}

/// The effect of an election step on this controller's leadership.
#[derive(Debug, PartialEq)]
pub enum LeadershipChange {
    /// No change.
    None,
    /// This controller became leader.
    Won,
    /// This controller is no longer leader.
    Lost(LossReason),
}

/// Why a leadership ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// Resigned because all workers became unreachable at once.
    WorkersUnreachable,
    /// Handed over to a controller whose workers would find a successor sooner if their leader
    /// stalled.
    Transferred,
    /// Resigned because the replica of the state service became too old.
    OutOfDate,
    /// The state service no longer knows the lease of the leader key.
    LeaseGone,
    /// The watch showed another leader.
    Superseded,
    /// A transaction failed because the leader key had changed.
    Deposed,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WorkersUnreachable => "workers_unreachable",
            Self::Transferred => "transferred",
            Self::OutOfDate => "out_of_date",
            Self::LeaseGone => "lease_gone",
            Self::Superseded => "superseded",
            Self::Deposed => "deposed",
        })
    }
}

/// Election state of one controller.
#[derive(Debug)]
pub struct Election {
    me: NodeId,
    /// Distinguishes this process from earlier ones of the same controller.
    boot: u64,
    peers: Vec<NodeId>,
    role: Role,
    /// The request of the election step in flight.
    step: StepRequest,
    /// The request that removes this controller's leader key after it resigned.
    key_removal: StepRequest,
    candidacy: Candidacy,
    renewal: LeaseRenewal,
    pledges: Pledges,
    /// The lease of an earlier process of this controller that was last revoked.
    revoked_lease: Option<u64>,
}

impl Election {
    /// State of a newly started process. `boot` distinguishes it from earlier processes of the same
    /// controller.
    pub fn new(me: NodeId, peers: Vec<NodeId>, boot: u64, now: Secs) -> Self {
        Self {
            me,
            boot,
            candidacy: Candidacy::new(peers.len(), boot, now),
            peers,
            role: Role::Follower,
            step: StepRequest::default(),
            key_removal: StepRequest::default(),
            renewal: LeaseRenewal::default(),
            pledges: Pledges::default(),
            revoked_lease: None,
        }
    }

    /// Skips the startup wait if there are no peers: no pledge can have been given to anybody.
    pub fn skip_startup_wait_if_single(mut self) -> Self {
        if self.peers.is_empty() {
            self.candidacy.skip_wait();
        }
        self
    }

    /// The leadership, if this controller holds it, whether or not it may act.
    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// The term in which this controller may act, and the bounds of that: the guaranteed life of
    /// its lease, and the earliest end of its peers' pledges.
    pub fn leadership_bounds(&self) -> Option<LeadershipBounds> {
        let held = self.leadership()?;
        Some(LeadershipBounds {
            term: held.term.0,
            lease_until: held.valid_until,
            pledged_until: self.pledges.pledged_until(&self.peers),
        })
    }

    /// As of this time, this controller knew every cancellation that any peer had confirmed. It
    /// follows from the answers of the peers to pledge requests.
    pub fn cancellations_known_at(&self) -> Secs {
        self.pledges.complete_answers_at(&self.peers)
    }

    /// Whether the last renewal of the lease failed.
    pub fn renewal_failing(&self) -> bool {
        self.renewal.is_failing()
    }

    /// Advances timers: retries, renewals, and the start of an election.
    pub fn tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) -> LeadershipChange {
        self.key_removal.resend_if_due(now, out);
        match &self.role {
            Role::Follower => self.tick_follower(now, replica, out),
            Role::LeaseRequested { since } | Role::ReadingTerm { since, .. } => {
                self.step.resend_if_due(now, out);
                if now > *since + LEADER_LEASE_S {
                    self.become_follower(now);
                }
            }
            Role::Candidate { since, .. } => {
                self.step.resend_if_due(now, out);
                // The lease isn't renewed meanwhile, so by now the key has expired with it or was
                // never written.
                if now > *since + LEADER_LEASE_S + 1.0 {
                    self.become_follower(now);
                }
            }
            Role::Leader(leadership) => {
                let (lease, term) = (leadership.lease, leadership.term);
                self.renewal.renew_if_due(now, lease, out);
                if self.renewal.is_failing() && !self.peers.is_empty() {
                    self.pledges.request_if_due(now, term, replica.revision, out);
                }
            }
        }
        LeadershipChange::None
    }

    /// Records whether the controller that workers try after this one is unreachable while others
    /// are reachable.
    pub fn note_next_unreachable(&mut self, unreachable: bool) {
        self.candidacy.set_next_unreachable(unreachable);
    }

    /// Records whether any peer was heard recently.
    pub fn note_peer_heard(&mut self, now: Secs, heard_any: bool) {
        self.candidacy.note_isolated(now, !heard_any && !self.peers.is_empty());
    }

    /// Whether this process is still in its startup wait, because its previous process may have
    /// given a pledge.
    pub fn is_starting_up(&self) -> bool {
        self.candidacy.has_startup_wait() && !self.peers.is_empty()
    }

    /// Records whether a peer that answered since this process started leads. Only a leader can
    /// hold a pledge of the previous process, so the startup wait ends once no peer leads.
    pub fn note_peer_role(&mut self, now: Secs, peer: NodeId, leading: bool) {
        self.candidacy.note_peer_leads(now, peer, leading);
    }

    /// Gives up the leadership, so that another controller, such as one that workers can reach, can
    /// win it.
    pub fn resign(
        &mut self,
        now: Secs,
        reason: LossReason,
        out: &mut ActionSink,
    ) -> LeadershipChange {
        if let Some(held) = self.leadership() {
            let key_removal = StoreRequest::RevokeLease(held.lease);
            // If this request were lost, workers would have no leader until the lease expired, so
            // it is retried.
            self.key_removal.send(now, key_removal, out);
        }
        let change = self.lose_leadership(now, reason);
        let pause = match reason {
            LossReason::Transferred => TRANSFER_GRACE_S,
            _ => RESIGN_BACKOFF_S,
        };
        self.candidacy.wait_until(now + pause);
        change
    }

    /// Ends the leadership, if this controller holds it.
    pub fn lose_leadership(&mut self, now: Secs, reason: LossReason) -> LeadershipChange {
        let led = self.leadership().is_some();
        self.renewal.abandon();
        self.become_follower(now);
        if led { LeadershipChange::Lost(reason) } else { LeadershipChange::None }
    }

    /// Handles an answer of the state service. Returns `None` if it belongs to another component.
    pub fn handle_store_result(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> Option<LeadershipChange> {
        if self.key_removal.take_answer(op) {
            return Some(LeadershipChange::None);
        }
        if let Some(sent) = self.renewal.take_answer(op) {
            return Some(self.renewal_answered(now, sent, result));
        }
        self.campaign_answered(now, op, result, out)
    }

    fn renewal_answered(
        &mut self,
        now: Secs,
        sent: Secs,
        result: &StoreResult,
    ) -> LeadershipChange {
        let Role::Leader(leadership) = &mut self.role else {
            return LeadershipChange::None;
        };
        match result {
            StoreResult::LeaseRenewed => {
                // Answers may arrive in a different order than the renewals were sent.
                leadership.valid_until = leadership.valid_until.max(lease::guaranteed_until(sent));
                self.renewal.renewed(sent);
                LeadershipChange::None
            }
            StoreResult::NoLease => self.lose_leadership(now, LossReason::LeaseGone),
            _ => {
                self.renewal.failed(now);
                LeadershipChange::None
            }
        }
    }

    /// Handles a change of the watched leader key.
    pub fn leader_changed(&mut self, now: Secs, replica: &Replica) -> LeadershipChange {
        let seen = replica.leader.as_ref();
        match (&self.role, seen) {
            // The leader key was removed. Until the watch has shown this controller's own key, this
            // may be an older removal; the next renewal tells.
            (Role::Leader(_), None) => LeadershipChange::None,
            (Role::Leader(held), Some((_, version))) if *version <= held.version => {
                LeadershipChange::None
            }
            (Role::Leader(_), Some(_)) => self.lose_leadership(now, LossReason::Superseded),
            (Role::Candidate { lease, since, term }, Some((record, version)))
                if record.boot == self.boot && record.lease == *lease =>
            {
                let (lease, since, term) = (*lease, *since, *term);
                self.become_leader(now, lease, since, term, *version)
            }
            (Role::Candidate { .. }, Some(_)) => {
                // Another controller won.
                self.become_follower(now);
                LeadershipChange::None
            }
            _ => LeadershipChange::None,
        }
    }

    /// Handles a leader's request not to stand for election, and returns whether this controller
    /// pledges. `store_refuses` states that the state service has refused this controller's own
    /// recent requests too, so that, as far as it can tell, there is an outage.
    pub fn handle_pledge_request(
        &mut self,
        now: Secs,
        (from, term): (&NodeId, u64),
        replica: &Replica,
        store_refuses: bool,
    ) -> bool {
        let known = replica.leader.as_ref().is_some_and(|(r, _)| r.node == *from && r.term == term);
        let granted = store_refuses && known && matches!(self.role, Role::Follower);
        if granted {
            self.candidacy.pledge(now);
        }
        granted
    }

    /// Records a peer's answer to a pledge request that was sent at `sent`. All cancellations in
    /// the answer must have been applied before.
    pub fn handle_pledge_answer(&mut self, peer: NodeId, sent: Secs, answer: &PledgeAnswer) {
        self.pledges.take_answer(peer, sent, answer);
    }
}
