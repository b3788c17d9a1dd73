//! Who leads, and until when that is certain.
//!
//! The leader holds the leader key under a grant. It acts only while the grant
//! surely lives, counted from the sending of the last good touch; in an outage
//! of the state service also while every other controller has pledged not to
//! stand. A pledge is given only by a controller that the store refuses too,
//! and a fresh process waits a pledge's length before it stands, so that a
//! pledge outlives the restart of the process that gave it.

use crate::consts::*;
use crate::event::{Action, ActionSink, OpId, PledgeAnswer, Secs, StoreRequest, StoreResult};
use crate::replica::Replica;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::{NodeId, Term};
use marblebarrow_proto::records::{LEADER, LeaderRecord, TERM, TermRecord};
use marblebarrow_proto::wire::{Cond, Txn, Write};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A leadership.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// The grant of the leader key.
    pub grant: u64,
    /// The term.
    pub term: Term,
    /// Version of the leader key: the condition of every write.
    pub version: u64,
    /// The grant surely lives until then.
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

#[derive(Debug)]
enum Role {
    Follower,
    /// Asked for a grant, at that time.
    Granting(OpId, Secs),
    /// Reads the term counter.
    Reading {
        op: OpId,
        grant: u64,
        since: Secs,
    },
    /// Sent the transaction that makes it leader.
    Standing {
        op: Option<OpId>,
        grant: u64,
        since: Secs,
        term: Term,
    },
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
    /// Gave up the office: all workers fell silent at once.
    WorkersUnreachable,
    /// Gave up the office: the copy of the store got too old.
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
    boot: u64,
    peers: Vec<NodeId>,
    role: Role,
    not_before: Secs,
    spread: Secs,
    touch: Option<(OpId, Secs)>,
    next_touch: Secs,
    touch_failing: bool,
    pledges: BTreeMap<NodeId, Secs>,
    /// When we asked for each peer's last answer that named all cancellations
    /// it had confirmed.
    informed: BTreeMap<NodeId, Secs>,
    next_ask: Secs,
    revoked: Option<u64>,
    /// The first wait, until all peers said that they don't lead.
    fresh_wait: Option<BTreeSet<NodeId>>,
    alone_since: Option<Secs>,
    /// The controller that workers try after us is silent, while another isn't.
    next_silent: bool,
}

impl Election {
    /// A fresh process. `boot` tells it from earlier ones of the same name.
    pub fn new(me: NodeId, peers: Vec<NodeId>, boot: u64, now: Secs) -> Self {
        // Different for each controller, so that two seldom stand at once.
        let spread = (boot % 1000) as f64 / 1000.0 * STAND_SPREAD_S;
        Self {
            me,
            boot,
            peers,
            role: Role::Follower,
            not_before: now + PLEDGE_S * (1.0 + DRIFT),
            spread,
            touch: None,
            next_touch: 0.0,
            touch_failing: false,
            pledges: BTreeMap::new(),
            informed: BTreeMap::new(),
            next_ask: 0.0,
            revoked: None,
            fresh_wait: Some(BTreeSet::new()),
            alone_since: None,
            next_silent: false,
        }
    }

    /// A cluster of one has nobody to have pledged to.
    pub fn founded(mut self) -> Self {
        if self.peers.is_empty() {
            self.not_before = 0.0;
        }
        self
    }

    /// The leadership, if we hold it (whether or not we may act).
    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(h) => Some(h),
            _ => None,
        }
    }

    /// The term in which we may act, and until when nobody else can: while the
    /// grant surely lives, and while every peer's pledge does.
    pub fn leadership_bounds(&self) -> Option<LeadershipBounds> {
        let held = self.leadership()?;
        Some(LeadershipBounds {
            term: held.term.0,
            lease_until: held.valid_until,
            pledged_until: self.least_of(&self.pledges),
        })
    }

    /// When we knew of every cancellation that any peer had confirmed, as the
    /// peers themselves told.
    pub fn cancellations_known_at(&self) -> Secs {
        self.least_of(&self.informed)
    }

    /// Whether the last touch of the grant failed.
    pub fn touch_failing(&self) -> bool {
        self.touch_failing
    }

    fn least_of(&self, of: &BTreeMap<NodeId, Secs>) -> Secs {
        let at = |p: &NodeId| of.get(p).copied().unwrap_or(0.0);
        self.peers.iter().map(at).reduce(f64::min).unwrap_or(0.0)
    }

    /// Steps with time.
    pub fn tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) -> LeadershipChange {
        match &mut self.role {
            Role::Follower => self.follow(now, replica, out),
            Role::Granting(_, since) | Role::Reading { since, .. } => {
                if now > *since + GRANT_MS as f64 / 1e3 {
                    self.fall_back(now);
                }
            }
            Role::Standing { since, .. } => {
                // The grant isn't touched, so by then whatever became of the
                // transaction, the key is gone or was never there.
                if now > *since + GRANT_MS as f64 / 1e3 + 1.0 {
                    self.fall_back(now);
                }
            }
            Role::Leader(h) => {
                let (grant, term) = (h.grant, h.term);
                if self.touch.is_none() && now >= self.next_touch {
                    let op = out.store(StoreRequest::Touch(grant));
                    self.touch = Some((op, now));
                }
                if self.touch_failing && now >= self.next_ask && !self.peers.is_empty() {
                    self.next_ask = now + PLEDGE_EVERY_S;
                    let revision = replica.revision;
                    out.actions.push(Action::AskPledges { term: term.0, revision });
                }
            }
        }
        LeadershipChange::None
    }

    fn follow(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if !replica.synced {
            return;
        }
        match &replica.leader {
            // Our own earlier process led: it is dead, so its key may go.
            Some((rec, _))
                if rec.node == self.me
                    && rec.boot != self.boot
                    && self.revoked != Some(rec.grant) =>
            {
                self.revoked = Some(rec.grant);
                out.store(StoreRequest::Revoke(rec.grant));
            }
            Some(_) => self.not_before = self.not_before.max(now + self.spread),
            None if now >= self.not_before + self.election_backoff()
                && !self.hears_no_peer(now) =>
            {
                let op = out.store(StoreRequest::Grant(GRANT_MS));
                self.role = Role::Granting(op, now);
            }
            None => {}
        }
    }

    /// Lets another stand first whose workers would find their way sooner. (Where
    /// a controller was down and then the leader stood still, half the workers
    /// once outlived their leases between the two.)
    fn election_backoff(&self) -> Secs {
        if self.next_silent { NEXT_SILENT_S } else { 0.0 }
    }

    /// Whether the controller that workers try after us is the silent one.
    pub fn next_in_turn(&mut self, silent: bool) {
        self.next_silent = silent;
    }

    /// Hears no other controller, and hasn't waited the longer for it.
    fn hears_no_peer(&self, now: Secs) -> bool {
        self.alone_since.is_some_and(|since| now - since.max(self.not_before) < ALONE_S)
    }

    /// Whether any other controller was heard lately.
    pub fn note_peer_heard(&mut self, now: Secs, any: bool) {
        if any || self.peers.is_empty() {
            self.alone_since = None;
        } else {
            self.alone_since.get_or_insert(now);
        }
    }

    /// Whether this process still waits lest its earlier self has pledged.
    pub fn fresh(&self) -> bool {
        self.fresh_wait.is_some() && !self.peers.is_empty()
    }

    /// A peer that was alive after our start says whether it leads. Only a
    /// leader in office can hold a pledge of our earlier process; if none of
    /// the peers is one, there is nothing to wait for.
    pub fn peer_leads(&mut self, now: Secs, peer: NodeId, leading: bool) {
        let Some(known) = &mut self.fresh_wait else { return };
        if leading {
            known.remove(&peer);
        } else {
            known.insert(peer);
        }
        if known.len() == self.peers.len() {
            self.fresh_wait = None;
            self.not_before = now;
        }
    }

    /// Gives up the office so that a controller that workers can reach may
    /// take it.
    pub fn resign(
        &mut self,
        now: Secs,
        reason: LossReason,
        out: &mut ActionSink,
    ) -> LeadershipChange {
        if let Some(held) = self.leadership() {
            out.store(StoreRequest::Revoke(held.grant));
        }
        let turn = self.lose(now, reason);
        self.not_before = self.not_before.max(now + RESIGNED_S);
        turn
    }

    fn fall_back(&mut self, now: Secs) {
        self.role = Role::Follower;
        self.not_before = self.not_before.max(now + STAND_RETRY_S + self.spread);
    }

    /// Whether an answer of the store is for us; if so, takes it.
    pub fn store(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> Option<LeadershipChange> {
        if let Some((touch, sent)) = self.touch
            && touch == op
        {
            self.touch = None;
            return Some(self.touched(now, sent, result));
        }
        match &self.role {
            Role::Granting(o, since) if *o == op => {
                let since = *since;
                if let StoreResult::Granted(grant) = result {
                    let op = out.store(StoreRequest::Get(TERM.into()));
                    self.role = Role::Reading { op, grant: *grant, since };
                } else {
                    self.fall_back(now);
                }
                Some(LeadershipChange::None)
            }
            Role::Reading { op: o, grant, since } if *o == op => {
                let (grant, since) = (*grant, *since);
                match result {
                    StoreResult::Value(item) => self.stand(now, grant, since, item.as_ref(), out),
                    _ => self.fall_back(now),
                }
                Some(LeadershipChange::None)
            }
            Role::Standing { op: Some(o), grant, since, term } if *o == op => {
                let (grant, since, term) = (*grant, *since, *term);
                match result {
                    StoreResult::Committed(version) => {
                        return Some(self.win(now, grant, since, term, *version));
                    }
                    // The watch will tell.
                    StoreResult::Unknown => {
                        self.role = Role::Standing { op: None, grant, since, term };
                    }
                    _ => self.fall_back(now),
                }
                Some(LeadershipChange::None)
            }
            _ => None,
        }
    }

    fn stand(
        &mut self,
        now: Secs,
        grant: u64,
        since: Secs,
        counter: Option<&marblebarrow_proto::wire::Item>,
        out: &mut ActionSink,
    ) {
        if now < self.not_before {
            return self.fall_back(now);
        }
        let (last, version) = match counter {
            None => (0, 0),
            Some(item) => match from_value::<TermRecord>(&item.value) {
                Ok(r) => (r.term, item.version),
                Err(_) => return self.fall_back(now),
            },
        };
        let term = Term(last + 1);
        let record = LeaderRecord { node: self.me.clone(), term: term.0, grant, boot: self.boot };
        let txn = Txn {
            conds: vec![
                Cond { key: LEADER.into(), version: 0 },
                Cond { key: TERM.into(), version },
            ],
            writes: vec![
                Write::Put { key: LEADER.into(), value: to_value(&record), grant: Some(grant) },
                Write::Put {
                    key: TERM.into(),
                    value: to_value(&TermRecord { term: term.0 }),
                    grant: None,
                },
            ],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.role = Role::Standing { op: Some(op), grant, since, term };
    }

    fn win(
        &mut self,
        now: Secs,
        grant: u64,
        since: Secs,
        term: Term,
        version: u64,
    ) -> LeadershipChange {
        let valid_until = certain_life(since);
        self.pledges.clear();
        self.touch_failing = false;
        self.next_touch = now;
        self.role = Role::Leader(Leadership { grant, term, version, valid_until });
        LeadershipChange::Won
    }

    fn touched(&mut self, now: Secs, sent: Secs, result: &StoreResult) -> LeadershipChange {
        let Role::Leader(h) = &mut self.role else {
            return LeadershipChange::None;
        };
        match result {
            StoreResult::Touched => {
                h.valid_until = certain_life(sent);
                self.next_touch = sent + TOUCH_EVERY_S;
                self.touch_failing = false;
                LeadershipChange::None
            }
            StoreResult::NoGrant => self.lose(now, LossReason::LeaseGone),
            _ => {
                self.next_touch = now + STORE_RETRY_S;
                self.touch_failing = true;
                LeadershipChange::None
            }
        }
    }

    /// Gives up a leadership.
    pub fn lose(&mut self, now: Secs, reason: LossReason) -> LeadershipChange {
        let led = self.leadership().is_some();
        self.touch = None;
        self.fall_back(now);
        if led { LeadershipChange::Lost(reason) } else { LeadershipChange::None }
    }

    /// The watched leader key changed.
    pub fn leader_changed(&mut self, now: Secs, replica: &Replica) -> LeadershipChange {
        let seen = replica.leader.as_ref();
        match &self.role {
            Role::Leader(h) => match seen {
                Some((_, version)) if *version <= h.version => LeadershipChange::None,
                // Gone, or somebody else's: either way ours no longer stands.
                // Before the watch has shown our own key, it may be an older
                // removal; the touch will find out.
                None if !replica.synced => LeadershipChange::None,
                None => LeadershipChange::None,
                Some(_) => self.lose(now, LossReason::Superseded),
            },
            Role::Standing { grant, since, term, .. } => {
                let (grant, since, term) = (*grant, *since, *term);
                match seen {
                    Some((rec, version)) if rec.boot == self.boot && rec.grant == grant => {
                        self.win(now, grant, since, term, *version)
                    }
                    _ => LeadershipChange::None,
                }
            }
            _ => LeadershipChange::None,
        }
    }

    /// A leader asks us not to stand. `store_refuses`: the store has refused
    /// us lately too, so that it has an outage as far as we can tell. Whether we
    /// pledge.
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
            self.fresh_wait = None;
            self.not_before = self.not_before.max(now + PLEDGE_S * (1.0 + DRIFT));
        }
        granted
    }

    /// A peer answered a request sent at `sent`, and all cancellations that it
    /// told are known by now. Only a pledge for which all came counts, and it
    /// informs us only if the peer itself knows all.
    pub fn pledged(&mut self, peer: NodeId, sent: Secs, answer: &PledgeAnswer) {
        if !answer.granted || answer.more {
            return;
        }
        if answer.whole {
            let at = self.informed.entry(peer.clone()).or_insert(sent);
            *at = at.max(sent);
        }
        let until = sent + PLEDGE_S * (1.0 - DRIFT) - GRANT_MARGIN_S;
        let slot = self.pledges.entry(peer).or_insert(until);
        *slot = slot.max(until);
    }
}

fn certain_life(sent: Secs) -> Secs {
    sent + GRANT_MS as f64 / 1e3 * (1.0 - DRIFT) - GRANT_MARGIN_S
}
