//! The steps of an election: a lease, the term counter, and the transaction that makes this
//! controller leader.

use super::{Election, Leadership, LeadershipChange, Role, lease};
use crate::consts::LEADER_LEASE_MS;
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use crate::replica::Replica;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::Term;
use marblebarrow_proto::records::{LEADER, LeaderRecord, TERM, TermRecord};
use marblebarrow_proto::wire::{Cond, Item, Txn, Write};

/// The term counter as it was read.
struct TermCounter {
    /// The last term; 0: none yet.
    term: u64,
    /// Version of its key; 0: absent.
    version: u64,
}

impl TermCounter {
    /// `None` if the record can't be read.
    fn of(item: Option<&Item>) -> Option<Self> {
        let Some(item) = item else { return Some(Self { term: 0, version: 0 }) };
        let record = from_value::<TermRecord>(&item.value).ok()?;
        Some(Self { term: record.term, version: item.version })
    }
}

impl Election {
    /// Stands, if nobody leads and it is time.
    pub(super) fn follow(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if !replica.synced {
            return;
        }
        match &replica.leader {
            Some((leader, _)) if self.is_dead_self(leader) => {
                self.revoked = Some(leader.lease);
                out.store(StoreRequest::RevokeLease(leader.lease));
            }
            Some(_) => self.candidacy.note_leader(now),
            None if self.candidacy.may_stand(now) => {
                self.step.send(now, StoreRequest::GrantLease(LEADER_LEASE_MS), out);
                self.role = Role::LeaseRequested { since: now };
            }
            None => {}
        }
    }

    /// Whether our own earlier process led: it is dead, so its key may go.
    fn is_dead_self(&self, leader: &LeaderRecord) -> bool {
        leader.node == self.me && leader.boot != self.boot && self.revoked != Some(leader.lease)
    }

    /// Follows again, and stands no sooner than after a while.
    pub(super) fn fall_back(&mut self, now: Secs) {
        self.role = Role::Follower;
        self.step.abandon();
        self.candidacy.retry_later(now);
    }

    /// Whether an answer of the store is to a step of the election; if so, takes it.
    pub(super) fn campaign_answered(
        &mut self,
        now: Secs,
        answered: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> Option<LeadershipChange> {
        if !self.step.answered(answered) {
            return None;
        }
        let no_answer = matches!(result, StoreResult::Refused | StoreResult::Unknown);
        if no_answer && self.step.is_open() {
            // A copy of the request is under way.
            return Some(LeadershipChange::None);
        }
        match self.role {
            Role::LeaseRequested { since } => self.granted(now, since, result, out),
            Role::Reading { lease, since } => match result {
                StoreResult::Value(item) => self.stand(now, lease, since, item.as_ref(), out),
                _ => self.fall_back(now),
            },
            Role::Candidate { lease, since, term } => {
                return Some(self.candidacy_answered(now, lease, since, term, result));
            }
            Role::Follower | Role::Leader(_) => {}
        }
        Some(LeadershipChange::None)
    }

    fn granted(&mut self, now: Secs, since: Secs, result: &StoreResult, out: &mut ActionSink) {
        let StoreResult::LeaseGranted(lease) = result else { return self.fall_back(now) };
        self.step.send(now, StoreRequest::Get(TERM.into()), out);
        self.role = Role::Reading { lease: *lease, since };
    }

    fn candidacy_answered(
        &mut self,
        now: Secs,
        lease: u64,
        since: Secs,
        term: Term,
        result: &StoreResult,
    ) -> LeadershipChange {
        match result {
            StoreResult::Committed(version) => {
                return self.win(now, lease, since, term, *version);
            }
            // The watch will tell. A copy that failed may have met the key that the other put.
            StoreResult::Unknown => {}
            StoreResult::Conflict(_) if self.step.was_resent() => {}
            _ => self.fall_back(now),
        }
        LeadershipChange::None
    }

    /// Sends the transaction that makes this controller leader of the next term.
    fn stand(
        &mut self,
        now: Secs,
        lease: u64,
        since: Secs,
        counter: Option<&Item>,
        out: &mut ActionSink,
    ) {
        if !self.candidacy.is_wait_over(now) {
            return self.fall_back(now);
        }
        let Some(counter) = TermCounter::of(counter) else { return self.fall_back(now) };
        let term = Term(counter.term + 1);
        let txn = self.campaign_txn(lease, term, counter.version);
        self.step.send(now, StoreRequest::Commit(txn), out);
        self.role = Role::Candidate { lease, since, term };
    }

    /// Takes the leader key and counts the term, if nobody else did either.
    fn campaign_txn(&self, lease: u64, term: Term, counter_version: u64) -> Txn {
        let leader = LeaderRecord { node: self.me.clone(), term: term.0, lease, boot: self.boot };
        let counter = TermRecord { term: term.0 };
        Txn {
            conds: vec![
                Cond { key: LEADER.into(), version: 0 },
                Cond { key: TERM.into(), version: counter_version },
            ],
            writes: vec![
                Write::Put { key: LEADER.into(), value: to_value(&leader), lease: Some(lease) },
                Write::Put { key: TERM.into(), value: to_value(&counter), lease: None },
            ],
        }
    }

    /// The leader key is ours, at that version, under a lease asked for at `since`.
    pub(super) fn win(
        &mut self,
        now: Secs,
        lease: u64,
        since: Secs,
        term: Term,
        version: u64,
    ) -> LeadershipChange {
        let valid_until = lease::certain_until(since);
        self.pledges.clear();
        self.step.abandon();
        self.lease.begin(now);
        self.role = Role::Leader(Leadership { lease, term, version, valid_until });
        LeadershipChange::Won
    }
}
