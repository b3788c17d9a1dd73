//! Leader election: who leads, and until when that is certain.
//!
//! The leader holds the leader key under a lease of the state service. It acts only while the
//! lease surely lives, counted from the sending of the last good renewal;
//! in an outage of the state service also while every other controller has pledged not to
//! stand ([`pledges`]). A pledge is given only by a controller that the store refuses too, and
//! a fresh process waits a pledge's length before it stands, so that a pledge outlives the
//! restart of the process that gave it ([`candidacy`]). [`campaign`] holds the steps of an
//! election.

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

/// A leadership.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// The lease of the leader key.
    pub lease: u64,
    /// The term.
    pub term: Term,
    /// Version of the leader key: the condition of every write.
    pub version: u64,
    /// The lease surely lives until then.
    pub valid_until: Secs,
}

/// Until when nobody else can lead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeadershipBounds {
    /// Our term.
    pub term: u64,
    /// The lease of the leader key surely lives until then.
    pub lease_until: Secs,
    /// Every peer has pledged not to stand until then.
    pub pledged_until: Secs,
}

/// The state of this controller in an election.
#[derive(Debug)]
enum Role {
    /// Another leads, or nobody.
    Follower,
    /// Asked for a lease.
    LeaseRequested { since: Secs },
    /// Reads the term counter.
    Reading { lease: u64, since: Secs },
    /// Sent the transaction that makes it leader; if its answers are lost, the watch will tell.
    Candidate { lease: u64, since: Secs, term: Term },
    /// Leads.
    Leader(Leadership),
}

/// What an election step led to.
#[derive(Debug, PartialEq)]
pub enum LeadershipChange {
    /// Nothing.
    None,
    /// We lead from now on.
    Won,
    /// We no longer lead.
    Lost(LossReason),
}

/// Why a leadership ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// Resigned: all workers fell silent at once.
    WorkersUnreachable,
    /// Handed over: another controller is better placed should the leader stand still.
    Transferred,
    /// Resigned: the copy of the store got too old.
    OutOfDate,
    /// The state service no longer knows the lease of the leader key.
    LeaseGone,
    /// The watch showed another leader.
    Superseded,
    /// A transaction failed as the leader key had changed.
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

/// The election as one controller sees it.
#[derive(Debug)]
pub struct Election {
    me: NodeId,
    /// Tells this process from earlier ones of the same name.
    boot: u64,
    peers: Vec<NodeId>,
    role: Role,
    /// What the step of the election that is under way asks of the store.
    step: StepRequest,
    /// The removal of our key after a leadership that we gave up.
    removal: StepRequest,
    candidacy: Candidacy,
    lease: LeaseRenewal,
    pledges: Pledges,
    /// The lease of an earlier process of ours that was revoked last.
    revoked: Option<u64>,
}

impl Election {
    /// A fresh process. `boot` tells it from earlier ones of the same name.
    pub fn new(me: NodeId, peers: Vec<NodeId>, boot: u64, now: Secs) -> Self {
        Self {
            me,
            boot,
            candidacy: Candidacy::new(peers.len(), boot, now),
            peers,
            role: Role::Follower,
            step: StepRequest::default(),
            removal: StepRequest::default(),
            lease: LeaseRenewal::default(),
            pledges: Pledges::default(),
            revoked: None,
        }
    }

    /// A cluster of one has nobody to have pledged to.
    pub fn founded(mut self) -> Self {
        if self.peers.is_empty() {
            self.candidacy.stand_at_once();
        }
        self
    }

    /// The leadership, if we hold it (whether or not we may act).
    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// The term in which we may act, and until when nobody else can: while the lease surely
    /// lives, and while every peer's pledge does.
    pub fn leadership_bounds(&self) -> Option<LeadershipBounds> {
        let held = self.leadership()?;
        Some(LeadershipBounds {
            term: held.term.0,
            lease_until: held.valid_until,
            pledged_until: self.pledges.pledged_until(&self.peers),
        })
    }

    /// When we knew of every cancellation that any peer had confirmed, as the peers themselves
    /// told.
    pub fn cancellations_known_at(&self) -> Secs {
        self.pledges.informed_at(&self.peers)
    }

    /// Whether the last renewal of the lease failed.
    pub fn renewal_failing(&self) -> bool {
        self.lease.is_failing()
    }

    /// Steps with time.
    pub fn tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) -> LeadershipChange {
        self.removal.resend_if_due(now, out);
        match &self.role {
            Role::Follower => self.follow(now, replica, out),
            Role::LeaseRequested { since } | Role::Reading { since, .. } => {
                self.step.resend_if_due(now, out);
                if now > *since + LEADER_LEASE_S {
                    self.fall_back(now);
                }
            }
            Role::Candidate { since, .. } => {
                self.step.resend_if_due(now, out);
                // The lease isn't renewed, so by then whatever became of the transaction, the
                // key is gone or was never there.
                if now > *since + LEADER_LEASE_S + 1.0 {
                    self.fall_back(now);
                }
            }
            Role::Leader(leadership) => {
                let (lease, term) = (leadership.lease, leadership.term);
                self.lease.renew_if_due(now, lease, out);
                if self.lease.is_failing() && !self.peers.is_empty() {
                    self.pledges.ask_if_due(now, term, replica.revision, out);
                }
            }
        }
        LeadershipChange::None
    }

    /// Whether the controller that workers try after us is the silent one.
    pub fn next_in_turn(&mut self, silent: bool) {
        self.candidacy.note_next_silent(silent);
    }

    /// Whether any other controller was heard lately.
    pub fn note_peer_heard(&mut self, now: Secs, any: bool) {
        self.candidacy.note_alone(now, !any && !self.peers.is_empty());
    }

    /// Whether this process still waits lest its earlier self has pledged.
    pub fn fresh(&self) -> bool {
        self.candidacy.is_fresh() && !self.peers.is_empty()
    }

    /// A peer that was alive after our start says whether it leads. Only a leader can hold a
    /// pledge of our earlier process; if none of the peers is one, there is nothing to wait
    /// for.
    pub fn peer_leads(&mut self, now: Secs, peer: NodeId, leading: bool) {
        self.candidacy.note_peer_leads(now, peer, leading);
    }

    /// Gives up the leadership so that a controller that workers can reach may win it.
    pub fn resign(
        &mut self,
        now: Secs,
        reason: LossReason,
        out: &mut ActionSink,
    ) -> LeadershipChange {
        if let Some(held) = self.leadership() {
            let removal = StoreRequest::RevokeLease(held.lease);
            // Lost, it would leave workers without a leader until the lease ends.
            self.removal.send(now, removal, out);
        }
        let change = self.lose(now, reason);
        let pause = match reason {
            LossReason::Transferred => TRANSFER_GRACE_S,
            _ => RESIGNED_S,
        };
        self.candidacy.wait_until(now + pause);
        change
    }

    /// Loses a leadership, if we hold one.
    pub fn lose(&mut self, now: Secs, reason: LossReason) -> LeadershipChange {
        let led = self.leadership().is_some();
        self.lease.abandon();
        self.fall_back(now);
        if led { LeadershipChange::Lost(reason) } else { LeadershipChange::None }
    }

    /// Whether an answer of the store is for us; if so, takes it.
    pub fn store(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> Option<LeadershipChange> {
        if self.removal.answered(op) {
            return Some(LeadershipChange::None);
        }
        if let Some(sent) = self.lease.answered(op) {
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
                // Answers may come in another order than the renewals were sent.
                leadership.valid_until = leadership.valid_until.max(lease::certain_until(sent));
                self.lease.renewed(sent);
                LeadershipChange::None
            }
            StoreResult::NoLease => self.lose(now, LossReason::LeaseGone),
            _ => {
                self.lease.failed(now);
                LeadershipChange::None
            }
        }
    }

    /// The watched leader key changed.
    pub fn leader_changed(&mut self, now: Secs, replica: &Replica) -> LeadershipChange {
        let seen = replica.leader.as_ref();
        match (&self.role, seen) {
            // Removed: before the watch has shown our own key, it may be an older removal;
            // the renewal will find out.
            (Role::Leader(_), None) => LeadershipChange::None,
            (Role::Leader(held), Some((_, version))) if *version <= held.version => {
                LeadershipChange::None
            }
            (Role::Leader(_), Some(_)) => self.lose(now, LossReason::Superseded),
            (Role::Candidate { lease, since, term }, Some((record, version)))
                if record.boot == self.boot && record.lease == *lease =>
            {
                let (lease, since, term) = (*lease, *since, *term);
                self.win(now, lease, since, term, *version)
            }
            (Role::Candidate { .. }, Some(_)) => {
                // Another won.
                self.fall_back(now);
                LeadershipChange::None
            }
            _ => LeadershipChange::None,
        }
    }

    /// A leader asks us not to stand. `store_refuses`: the store has refused us lately too, so
    /// that it has an outage as far as we can tell. Whether we pledge.
    pub fn pledge_asked(
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

    /// A peer answered a request sent at `sent`, and all cancellations that it told are known
    /// by now.
    pub fn pledged(&mut self, peer: NodeId, sent: Secs, answer: &PledgeAnswer) {
        self.pledges.answered(peer, sent, answer);
    }
}
