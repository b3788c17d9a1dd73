//! The steps of an election: requesting a lease, reading the term counter, and committing the
//! transaction that makes this controller leader.

use super::{Election, Leadership, LeadershipChange, Role, lease};
use crate::consts::LEADER_LEASE_MS;
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use crate::replica::Replica;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::Term;
use marblebarrow_proto::records::{LEADER_KEY, LeaderRecord, TERM_KEY, TermRecord};
use marblebarrow_proto::wire::{Condition, Item, Txn, Write};

/// The term counter as read from the state service.
struct TermCounter {
    /// The last term that was used; 0 if there was none yet.
    term: u64,
    /// Version of the counter's key; 0 if the key is absent.
    version: u64,
}

impl TermCounter {
    /// Decodes the counter. Returns `None` if the record is malformed.
    fn of(item: Option<&Item>) -> Option<Self> {
        let Some(item) = item else { return Some(Self { term: 0, version: 0 }) };
        let record = from_value::<TermRecord>(&item.value).ok()?;
        Some(Self { term: record.term, version: item.version })
    }
}

impl Election {
    /// Starts an election if there is no leader and this controller's waits are over. If the leader
    /// key belongs to an earlier process of this controller, revokes that lease first.
    pub(super) fn tick_follower(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if !replica.synced {
            return;
        }
        match &replica.leader {
            Some((leader, _)) if self.is_own_former_process(leader) => {
                self.revoked_lease = Some(leader.lease);
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

    /// Whether the leader key belongs to an earlier process of this controller. That process is
    /// dead, so its key may be removed.
    fn is_own_former_process(&self, leader: &LeaderRecord) -> bool {
        leader.node == self.me
            && leader.boot != self.boot
            && self.revoked_lease != Some(leader.lease)
    }

    /// Returns to the follower role and delays the next candidacy.
    pub(super) fn become_follower(&mut self, now: Secs) {
        self.role = Role::Follower;
        self.step.abandon();
        self.candidacy.retry_later(now);
    }

    /// Handles an answer of the state service to an election step. Returns `None` if the answer
    /// belongs to another request.
    pub(super) fn campaign_answered(
        &mut self,
        now: Secs,
        answered: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> Option<LeadershipChange> {
        if !self.step.take_answer(answered) {
            return None;
        }
        let no_answer = matches!(result, StoreResult::Refused | StoreResult::Unknown);
        if no_answer && self.step.awaits_answer() {
            // The other copy of the request is still in flight.
            return Some(LeadershipChange::None);
        }
        match self.role {
            Role::LeaseRequested { since } => self.lease_granted(now, since, result, out),
            Role::ReadingTerm { lease, since } => match result {
                StoreResult::Value(item) => {
                    self.submit_candidacy(now, lease, since, item.as_ref(), out)
                }
                _ => self.become_follower(now),
            },
            Role::Candidate { lease, since, term } => {
                return Some(self.candidacy_answered(now, lease, since, term, result));
            }
            Role::Follower | Role::Leader(_) => {}
        }
        Some(LeadershipChange::None)
    }

    fn lease_granted(
        &mut self,
        now: Secs,
        since: Secs,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        let StoreResult::LeaseGranted(lease) = result else { return self.become_follower(now) };
        self.step.send(now, StoreRequest::Get(TERM_KEY.into()), out);
        self.role = Role::ReadingTerm { lease: *lease, since };
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
                return self.become_leader(now, lease, since, term, *version);
            }
            // The watch will show the outcome. If the request was sent twice, the copy that failed
            // may have conflicted with the key that the other copy wrote.
            StoreResult::Unknown => {}
            StoreResult::Conflict(_) if self.step.was_resent() => {}
            _ => self.become_follower(now),
        }
        LeadershipChange::None
    }

    /// Commits the transaction that makes this controller leader of the next term.
    fn submit_candidacy(
        &mut self,
        now: Secs,
        lease: u64,
        since: Secs,
        counter: Option<&Item>,
        out: &mut ActionSink,
    ) {
        if !self.candidacy.is_wait_over(now) {
            return self.become_follower(now);
        }
        let Some(counter) = TermCounter::of(counter) else { return self.become_follower(now) };
        let term = Term(counter.term + 1);
        let txn = self.campaign_txn(lease, term, counter.version);
        self.step.send(now, StoreRequest::Commit(txn), out);
        self.role = Role::Candidate { lease, since, term };
    }

    /// Builds the transaction that takes the leader key and increments the term counter, on
    /// condition that neither was written in the meantime.
    fn campaign_txn(&self, lease: u64, term: Term, counter_version: u64) -> Txn {
        let leader = LeaderRecord { node: self.me.clone(), term: term.0, lease, boot: self.boot };
        let counter = TermRecord { term: term.0 };
        Txn {
            conditions: vec![
                Condition { key: LEADER_KEY.into(), version: 0 },
                Condition { key: TERM_KEY.into(), version: counter_version },
            ],
            writes: vec![
                Write::Put { key: LEADER_KEY.into(), value: to_value(&leader), lease: Some(lease) },
                Write::Put { key: TERM_KEY.into(), value: to_value(&counter), lease: None },
            ],
        }
    }

    /// Becomes leader: this controller owns the leader key at `version`, under a lease that was
    /// requested at `since`.
    pub(super) fn become_leader(
        &mut self,
        now: Secs,
        lease: u64,
        since: Secs,
        term: Term,
        version: u64,
    ) -> LeadershipChange {
        let valid_until = lease::guaranteed_until(since);
        self.pledges.clear();
        self.step.abandon();
        self.renewal.start(now);
        self.role = Role::Leader(Leadership { lease, term, version, valid_until });
        LeadershipChange::Won
    }
}
