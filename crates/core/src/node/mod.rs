//! One controller: events and time in, actions out.
//!
//! [`leadership`] decides when it may act for all, [`worker_heartbeats`] takes what workers
//! send, and [`peers`] what other controllers and other cells do.

mod leadership;
mod peers;
mod worker_heartbeats;

use crate::consts::*;
use crate::election::{Election, LossReason, Placement};
use crate::event::*;
use crate::facts::Facts;
use crate::leader::Leader;
use crate::log::{Log, LogLine};
use crate::membership::Membership;
use crate::replica::{Change, Replica};
use crate::user_api::{RequestContext, UserApi};
use crate::waiting_heartbeats::WaitingHeartbeats;
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::records::TERM;
use marblebarrow_proto::wire::MachineType;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a peer last said of itself.
#[derive(Clone, Copy, Debug)]
struct PeerWord {
    /// When.
    at: Secs,
    /// Whether the store serves it.
    store_ok: bool,
    /// When it last said, in answer to a question of ours, that it doesn't lead; `None`: it
    /// leads, or hasn't answered.
    follows: Option<Secs>,
}

impl PeerWord {
    /// A heartbeat of the peer, after what it said before.
    fn next(before: Option<&Self>, now: Secs, store_ok: bool, leading: Option<bool>) -> Self {
        let follows = match leading {
            Some(true) => None,
            Some(false) => Some(now),
            None => before.and_then(|word| word.follows),
        };
        Self { at: now, store_ok, follows }
    }
}

/// A leader as the watch shows it.
#[derive(Clone, Debug, PartialEq)]
struct ShownLeader {
    node: NodeId,
    term: u64,
    /// Since when.
    since: Secs,
}

/// A controller's whole state.
#[derive(Debug)]
pub struct Node {
    facts: Arc<Facts>,
    election: Election,
    replica: Replica,
    user_api: UserApi,
    leader: Option<Leader>,
    types: Option<Vec<MachineType>>,
    types_op: Option<OpId>,
    next_types: Secs,
    out: ActionSink,
    store_fails: u32,
    store_ok_at: Secs,
    probe: Option<OpId>,
    next_heartbeat: Secs,
    /// When the next step was asked for.
    due: Secs,
    peers: BTreeMap<NodeId, PeerWord>,
    /// The leader, as the watch last showed it.
    leader_shown: Option<ShownLeader>,
    /// When each controller that the watch showed as leader was last seen to lead.
    led_until: BTreeMap<NodeId, Secs>,
    /// What every configured controller is known to run.
    membership: Membership,
    /// Heartbeats that wait for the outcome of an election.
    waiting_heartbeats: WaitingHeartbeats,
    /// Which controllers may lead while others are silent.
    placement: Placement,
    /// When it may next hand its leadership over.
    next_transfer: Secs,
    log: Log,
}

impl Node {
    /// A fresh process. `boot` is random and tells it from earlier ones.
    pub fn new(facts: Facts, boot: u64, now: Secs) -> Self {
        let facts = Arc::new(facts);
        let log = Log::new(facts.log);
        let election = Election::new(facts.node.clone(), facts.others.clone(), boot, now).founded();
        let controllers = facts.others.iter().chain([&facts.node]).cloned().collect();
        let placement = Placement::new(controllers, facts.heartbeat_interval_s, facts.lease_s);
        let membership = Membership::new(facts.node.clone(), &facts.others, now);
        Self {
            facts,
            election,
            replica: Replica::default(),
            user_api: UserApi::default(),
            leader: None,
            types: None,
            types_op: None,
            next_types: now,
            out: ActionSink::default(),
            store_fails: 0,
            store_ok_at: now,
            probe: None,
            next_heartbeat: now,
            due: now,
            peers: BTreeMap::new(),
            leader_shown: None,
            led_until: BTreeMap::new(),
            membership,
            waiting_heartbeats: WaitingHeartbeats::default(),
            placement,
            next_transfer: now,
            log,
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out.actions)
    }

    /// Decisions since the last call, for the log.
    pub fn take_log(&mut self) -> Vec<LogLine> {
        let mut log = self.log.take();
        if let Some(l) = &mut self.leader {
            log.append(&mut l.log.take());
        }
        log
    }

    /// The leader's state, while in office. For tests.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The version gate of DAG dependencies: whether every configured controller is known
    /// to run a version that keeps `waits_on`, as it was heard or as the store records it.
    /// Until then users' dependencies are refused, lest an old leader start a job before
    /// what it waits on is done.
    pub fn dependencies_allowed(&self) -> bool {
        self.membership.all_run_at_least(DEPENDENCIES_FORMAT, self.replica.format_in_store())
    }

    /// What every configured controller is known to run.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn store_bad(&self) -> bool {
        self.store_fails >= STORE_BAD_AFTER
    }

    /// When [`Node::tick`] should be called at the latest.
    pub fn wake(&self, now: Secs) -> Secs {
        let usual = now + if self.leader.is_some() { LEADER_STEP_S } else { FOLLOWER_STEP_S };
        self.user_api.wake().map_or(usual, |w| usual.min(w))
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Secs, wall_ms: u64, event: Event) {
        match event {
            Event::User(to, UserRequest::Health) => self.health(now, to),
            Event::User(to, req) => self.with_user_api(now, wall_ms, |user_api, context, out| {
                user_api.ask(context, to, req, out)
            }),
            Event::Heartbeat(to, heartbeat) => self.heartbeat(now, to, heartbeat),
            Event::Store(op, result) => self.store(now, wall_ms, op, result),
            Event::Watch(news) => {
                let changes = self.replica.apply(news);
                for change in &changes {
                    if matches!(change, Change::Leader | Change::All) {
                        self.note_leader(now);
                        let turn = self.election.leader_changed(now, &self.replica);
                        self.change_leadership(now, turn);
                    }
                    if let Some(l) = &mut self.leader {
                        l.change(now, wall_ms, change, &self.replica);
                    }
                }
                self.note_knowledge();
            }
            Event::Cloud(op, result) => {
                if self.types_op == Some(op) {
                    self.types_op = None;
                    if let CloudResult::Types(types) = result {
                        self.types = Some(types);
                    }
                } else if let Some(l) = &mut self.leader {
                    l.cloud(now, op, result);
                }
            }
            Event::Direct(op, result) => {
                if let Some(l) = &mut self.leader {
                    l.direct(now, op, result);
                }
            }
            Event::Peer(news) => self.peer(now, news),
            Event::CellRequest(to, request) => self.cell_request(now, wall_ms, to, *request),
            Event::Members(to) => {
                let view = self.membership.view(now, self.replica.format_in_store());
                self.out.reply(to, Answer::Members(Box::new(view)));
            }
            Event::CellAnswer(op, answer) => {
                // Whatever comes of it depends on the leader key in the store.
                if let Some(l) = &mut self.leader {
                    l.cell_answered(now, op, answer, &self.replica, &mut self.out);
                }
            }
        }
    }

    /// Steps with time; call after each batch of events.
    pub fn tick(&mut self, now: Secs, wall_ms: u64) {
        if now > self.due + LATE_STEP_S
            && let Some(l) = &mut self.leader
        {
            l.late_step(now);
        }
        self.due = now + LEADER_STEP_S;
        let company = self.peers.values().any(|peer| now - peer.at < HEARTBEAT_FRESH_S);
        self.election.note_peer_heard(now, company);
        self.election.next_in_turn(company && !self.heard(now, self.facts.next_in_turn()));
        let turn = self.election.tick(now, &self.replica, &mut self.out);
        self.change_leadership(now, turn);
        if self.leader.as_ref().is_some_and(|l| l.workers_unreachable(now))
            && !self.facts.others.is_empty()
            && !self.store_bad()
        {
            // The store alone still hears us: someone else should lead. Where it refuses us
            // too, resigning wins nothing: in an outage nobody can be elected (a leader of
            // three machines that missed two heartbeats each once left them to their
            // leases), and a leader refused alone loses its key by itself.
            self.resign(now, LossReason::WorkersUnreachable);
        }
        if self.out_of_date(now) {
            self.resign(now, LossReason::OutOfDate);
        }
        self.transfer_if_badly_placed(now);
        let cascade_lists_allowed = self.dependencies_allowed();
        if self.may_act(now)
            && let Some(l) = &mut self.leader
        {
            l.common_format = self.membership.common_format();
            l.cascade_lists_allowed = cascade_lists_allowed;
            l.tick(now, wall_ms, &self.replica, &mut self.out);
            for (id, end) in l.take_terminal_states() {
                self.user_api.remember(&id, end);
            }
            let updates = l.progress_updates(now);
            if !updates.is_empty() {
                self.learn_progress(updates.clone());
                self.out.actions.push(Action::SendProgress(updates));
            }
        }
        self.answer_waiting_heartbeats(now);
        self.with_user_api(now, wall_ms, |user_api, context, out| user_api.tick(context, out));
        if now >= self.next_heartbeat {
            let every = if self.election.fresh() { HEARTBEAT_FIRST_S } else { HEARTBEAT_EVERY_S };
            self.next_heartbeat = now + every;
            let (store_ok, leading) = (!self.store_bad(), self.election.leadership().is_some());
            self.out.actions.push(Action::PeerHeartbeat { store_ok, leading });
        }
        if self.probe.is_none() && now - self.store_ok_at > STORE_PROBE_S {
            self.probe = Some(self.out.store(StoreRequest::Get(TERM.into())));
        }
        let known = self.types.is_some() || self.replica.types.is_some();
        if !known && self.types_op.is_none() && now >= self.next_types {
            self.next_types = now + CLOUD_RETRY_S * 2.0;
            self.types_op = Some(self.out.cloud(CloudRequest::Types));
        }
    }

    fn heard(&self, now: Secs, peer: Option<&NodeId>) -> bool {
        let at = peer.and_then(|p| self.peers.get(p)).map(|peer| peer.at);
        peer.is_none() || at.is_some_and(|at| now - at < HEARTBEAT_FRESH_S)
    }

    fn with_user_api(
        &mut self,
        now: Secs,
        wall_ms: u64,
        f: impl FnOnce(&mut UserApi, &RequestContext<'_>, &mut ActionSink),
    ) {
        let dependencies_allowed = self.dependencies_allowed();
        let around = RequestContext {
            now,
            wall_ms,
            facts: &self.facts,
            replica: &self.replica,
            types: self.types.as_deref().or(self.replica.types.as_deref()),
            store_bad: self.store_fails >= STORE_BAD_AFTER,
            // The version gate: only once every controller runs a version that knows
            // DAG dependencies (an old leader would start such a job at once).
            dependencies_allowed,
        };
        f(&mut self.user_api, &around, &mut self.out);
        // Before any answer leaves: what we tell users, we know ourselves.
        for (id, revision) in self.user_api.take_confirmed() {
            self.learn_cancelled(now, &id, revision);
        }
    }

    fn learn_cancelled(&mut self, now: Secs, id: &JobId, revision: u64) {
        if self.replica.confirmed(id, revision)
            && let Some(l) = &mut self.leader
        {
            l.cancel(now, id);
        }
    }

    // Healthy if the store serves us, or serves nobody: in an outage of the
    // store no controller is better than another. One that neither the store
    // serves nor any peer is heard by is the one cut off.
    fn health(&mut self, now: Secs, to: ReplyTo) {
        let mut heard =
            self.peers.values().filter(|peer| now - peer.at < HEARTBEAT_FRESH_S).peekable();
        let alone = heard.peek().is_none() && !self.facts.others.is_empty();
        let better = alone || heard.any(|peer| peer.store_ok);
        let healthy = self.replica.synced && !(self.store_bad() && better);
        let answer = if healthy { Answer::Healthy } else { Answer::Unavailable(RETRY_STORE_S) };
        self.out.reply(to, answer);
    }

    fn store(&mut self, now: Secs, wall_ms: u64, op: OpId, result: StoreResult) {
        match result {
            StoreResult::Refused | StoreResult::Unknown => {
                self.store_fails = self.store_fails.saturating_add(1);
            }
            _ => {
                self.store_fails = 0;
                self.store_ok_at = now;
            }
        }
        if self.probe == Some(op) {
            self.probe = None;
            return;
        }
        if let Some(turn) = self.election.store(now, op, &result, &mut self.out) {
            return self.change_leadership(now, turn);
        }
        let mut ours = false;
        self.with_user_api(now, wall_ms, |user_api, context, out| {
            ours = user_api.store(context, op, &result, out)
        });
        if ours {
            return;
        }
        if let Some(l) = &mut self.leader
            && !l.store(now, wall_ms, op, result, &self.replica, &mut self.out)
        {
            let turn = self.election.lose(now, LossReason::Deposed);
            self.change_leadership(now, turn);
        }
    }
}
