//! One controller: events and time in, actions out.

use crate::consts::*;
use crate::election::{Election, LeadershipBounds, LeadershipChange, LossReason};
use crate::event::*;
use crate::facts::Facts;
use crate::leader::{Knowledge, Leader};
use crate::log::{Log, LogLine};
use crate::membership::Membership;
use crate::replica::{Change, Replica};
use crate::user_api::{RequestContext, UserApi};
use marblebarrow_cells::message::{CellError, CellReply, CellRequest, Exchange};
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::records::TERM;
use marblebarrow_proto::wire::MachineType;
use std::collections::BTreeMap;
use std::sync::Arc;

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
    peers_ok: BTreeMap<NodeId, (Secs, bool)>,
    /// The leader and its term, as last logged.
    leader_shown: Option<(NodeId, u64)>,
    /// What every configured controller is known to run.
    membership: Membership,
    log: Log,
}

impl Node {
    /// A fresh process. `boot` is random and tells it from earlier ones.
    pub fn new(facts: Facts, boot: u64, now: Secs) -> Self {
        let facts = Arc::new(facts);
        let log = Log::new(facts.log);
        let election = Election::new(facts.node.clone(), facts.others.clone(), boot, now).founded();
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
            peers_ok: BTreeMap::new(),
            leader_shown: None,
            membership,
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

    /// Whether this controller may act for all of them now.
    pub fn may_act(&self, now: Secs) -> bool {
        self.authority().is_some_and(|(_, until)| now < until)
    }

    /// The term in which this controller may act, and until when, if it leads:
    /// while nobody else can, and while a cancellation that it may not know
    /// could still be enforced by the leases that it lets run out.
    ///
    /// (The store once refused the leader alone, a peer confirmed cancellations,
    /// and then it refused all for longer than those may take. The leader kept
    /// the leases of tasks that it didn't know to be cancelled.)
    pub fn authority(&self) -> Option<(u64, Secs)> {
        let LeadershipBounds { term, lease_until, pledged_until } =
            self.election.leadership_bounds()?;
        if self.facts.others.is_empty() {
            return Some((term, lease_until));
        }
        let (known_at, room) = (self.known_at(), self.facts.cancel_room());
        // While the store serves us, its word on what is new may take a while.
        let served_until = lease_until.min(known_at + self.facts.replica_age_limit());
        let refused_until = pledged_until.min(known_at + room);
        Some((term, served_until.max(refused_until)))
    }

    /// The highest token that a leadership of ours may use besides its term.
    pub fn highest_fencing_token(&self) -> u64 {
        self.leader.as_ref().map_or(0, Leader::highest_fencing_token)
    }

    /// Every cancellation confirmed by then is known to us.
    fn known_at(&self) -> Secs {
        if self.replica.is_complete() {
            self.replica.current_at.max(self.election.cancellations_known_at())
        } else {
            self.replica.current_at
        }
    }

    /// Tells the leader how far its knowledge of cancellations reaches; only once it has been
    /// told them all, as it takes a cancellation that is news for one confirmed since.
    fn note_knowledge(&mut self) {
        let (known_at, revision) = (self.known_at(), self.replica.revision);
        let authority_until = self.authority().map_or(0.0, |(_, until)| until);
        if let Some(l) = &mut self.leader {
            l.knowledge = Knowledge { known_at, revision, authority_until };
        }
    }

    // Serves the store well enough to keep our lease, and yet doesn't tell what is
    // new, and soon we may not act for it: another's watch may fare better.
    fn out_of_date(&self, now: Secs) -> bool {
        self.election.leadership().is_some()
            && !self.election.renewal_failing()
            && !self.facts.others.is_empty()
            && now > self.known_at() + self.facts.replica_age_to_resign()
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
            Event::Heartbeat(to, heartbeat) => self.heartbeat(now, to, &heartbeat),
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
        let company = self.peers_ok.values().any(|&(at, _)| now - at < HEARTBEAT_FRESH_S);
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

    /// Logs whom the watch shows as leader, if that is news.
    fn note_leader(&mut self, now: Secs) {
        let shown =
            self.replica.leader.as_ref().map(|(record, _)| (record.node.clone(), record.term));
        if shown == self.leader_shown {
            return;
        }
        match &shown {
            Some((node, term)) => {
                self.log.info(now, || format!("event=leader node={node} term={term}"));
            }
            None => self.log.info(now, || "event=no_leader".into()),
        }
        self.leader_shown = shown;
    }

    fn resign(&mut self, now: Secs, reason: LossReason) {
        let turn = self.election.resign(now, reason, &mut self.out);
        self.change_leadership(now, turn);
    }

    fn heard(&self, now: Secs, peer: Option<&NodeId>) -> bool {
        let at = peer.and_then(|p| self.peers_ok.get(p)).map(|&(at, _)| at);
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
            self.peers_ok.values().filter(|(at, _)| now - at < HEARTBEAT_FRESH_S).peekable();
        let alone = heard.peek().is_none() && !self.facts.others.is_empty();
        let better = alone || heard.any(|&(_, ok)| ok);
        let healthy = self.replica.synced && !(self.store_bad() && better);
        let answer = if healthy { Answer::Healthy } else { Answer::Unavailable(RETRY_STORE_S) };
        self.out.reply(to, answer);
    }

    fn heartbeat(
        &mut self,
        now: Secs,
        to: ReplyTo,
        heartbeat: &marblebarrow_proto::wire::Heartbeat,
    ) {
        if self.may_act(now)
            && let Some(l) = &mut self.leader
        {
            return l.heartbeat(now, to, heartbeat, &self.replica, &mut self.out);
        }
        let leader = self.replica.leader.as_ref().map(|(r, _)| r.node.clone());
        let elsewhere = leader.filter(|n| *n != self.facts.node);
        self.out.reply(to, Answer::Elsewhere(elsewhere));
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

    fn change_leadership(&mut self, now: Secs, turn: LeadershipChange) {
        match turn {
            LeadershipChange::None => {}
            LeadershipChange::Won => {
                if let Some(held) = self.election.leadership().cloned() {
                    self.log.info(now, || format!("event=won term={}", held.term.0));
                    let facts = self.facts.clone();
                    self.leader =
                        Some(Leader::new(facts, held.term, held.version, now, &mut self.out));
                    self.note_knowledge();
                }
            }
            LeadershipChange::Lost(reason) => {
                let Some(mut leader) = self.leader.take() else { return };
                self.log.append(leader.log.take());
                let term = leader.term.0;
                self.log.info(now, || format!("event=lost term={term} why={reason}"));
            }
        }
    }

    fn peer(&mut self, now: Secs, news: PeerNews) {
        match news {
            PeerNews::Heartbeat { node, store_ok, leading } => {
                self.peers_ok.insert(node.clone(), (now, store_ok));
                if let Some(leading) = leading {
                    self.election.peer_leads(now, node, leading);
                }
            }
            PeerNews::PledgeAsked { reply, from, term, revision, after } => {
                let (refuses, replica) = (self.store_bad(), &self.replica);
                let granted = self.election.pledge_asked(now, (&from, term), replica, refuses);
                let (cancelled, more) =
                    replica.cancelled_since(revision, after.as_ref(), PLEDGE_CANCELS);
                let answer =
                    PledgeAnswer { granted, whole: replica.is_complete(), cancelled, more };
                self.out.actions.push(Action::PledgeReply(reply, answer));
            }
            PeerNews::Pledged { node, sent, answer } => {
                for (id, revision) in &answer.cancelled {
                    self.learn_cancelled(now, id, *revision);
                }
                self.election.pledged(node, sent, &answer);
                self.note_knowledge();
            }
            PeerNews::Progress(jobs) => self.learn_progress(jobs),
            PeerNews::Announced { node, runs } => self.membership.heard(&node, runs, now),
        }
    }

    /// Another cell, or an operator, asks: only a leader answers.
    fn cell_request(&mut self, now: Secs, wall_ms: u64, to: ReplyTo, request: CellRequest) {
        let leads = self.may_act(now);
        let Some(leader) = self.leader.as_mut().filter(|_| leads) else {
            return self.out.actions.push(Action::CellReply(to, Err(CellError::NotLeader)));
        };
        match request {
            CellRequest::Offer(offer) => {
                leader.offered(now, to, *offer, &self.replica, &mut self.out);
            }
            CellRequest::DeclareLost(cell) => leader.declare_lost(to, cell, &mut self.out),
            CellRequest::Overview => {
                let overview = leader.cells_overview(now, &self.replica).map(Box::new);
                let answer = overview.ok_or(CellError::UnknownCell);
                self.out.actions.push(Action::CellReply(to, answer));
            }
            CellRequest::Exchange(exchange) => self.cell_exchange(now, wall_ms, to, &exchange),
        }
    }

    fn cell_exchange(&mut self, now: Secs, wall_ms: u64, to: ReplyTo, exchange: &Exchange) {
        let Some(leader) = &mut self.leader else { return };
        let user_api = &self.user_api;
        let terminal = |id: &JobId| user_api.terminal_state(id).cloned();
        let outcome = leader.exchange(now, exchange, &self.replica, terminal, &mut self.out);
        let (reply, work) = match outcome {
            Ok(outcome) => outcome,
            Err(error) => return leader.refuse_request(to, error, &mut self.out),
        };
        let answer = Ok(Box::new(CellReply::Exchange(reply)));
        self.out.actions.push(Action::CellReply(to, answer));
        self.with_user_api(now, wall_ms, |user_api, context, out| {
            for job in work.cancel {
                user_api.ask(context, NOBODY, UserRequest::Cancel(job), out);
            }
            for job in work.read_end {
                user_api.learn_end(job, out);
            }
        });
    }

    fn learn_progress(&mut self, jobs: Vec<JobCounts>) {
        let specs = &self.replica.specs;
        let known = jobs
            .into_iter()
            .filter(|update| specs.contains_key(&update.job))
            .map(|update| (update.job, update.counts));
        self.user_api.progress.extend(known);
        self.user_api.progress.retain(|id, _| specs.contains_key(id));
    }
}
