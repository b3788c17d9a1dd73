//! One controller as a state machine: events and time go in, actions come out.
//!
//! [`leadership`] decides when it may act as leader, [`worker_heartbeats`] handles messages of
//! workers, and [`peers`] those of other controllers and other cells.

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
use marblebarrow_proto::records::TERM_KEY;
use marblebarrow_proto::wire::MachineType;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The last known state of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// When the peer was last heard from.
    heard_at: Secs,
    /// Whether the state service answers the peer.
    store_ok: bool,
    /// When the peer last reported, in answer to a request of this controller, that it doesn't
    /// lead. `None` if it leads or hasn't answered.
    not_leading_at: Option<Secs>,
}

impl PeerState {
    /// Updates the previous state with a heartbeat of the peer.
    fn updated(before: Option<&Self>, now: Secs, store_ok: bool, leading: Option<bool>) -> Self {
        let not_leading_at = match leading {
            Some(true) => None,
            Some(false) => Some(now),
            None => before.and_then(|state| state.not_leading_at),
        };
        Self { heard_at: now, store_ok, not_leading_at }
    }
}

/// A leader as shown by the watch.
#[derive(Clone, Debug, PartialEq)]
struct WatchedLeader {
    node: NodeId,
    term: u64,
    /// When the watch first showed it.
    since: Secs,
}

/// The whole state of one controller.
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
    store_failures: u32,
    store_ok_at: Secs,
    store_probe: Option<OpId>,
    next_heartbeat: Secs,
    /// When the next step was due.
    next_step_due: Secs,
    peers: BTreeMap<NodeId, PeerState>,
    /// The leader that the watch last showed.
    watched_leader: Option<WatchedLeader>,
    /// For each controller that the watch has shown as leader, when it was last shown.
    last_led_at: BTreeMap<NodeId, Secs>,
    /// Which version every configured controller is known to run.
    membership: Membership,
    /// Heartbeats held back until the outcome of an election is known.
    waiting_heartbeats: WaitingHeartbeats,
    /// Which controllers are suitable leaders while others are unreachable.
    placement: Placement,
    /// Earliest time for the next handover of the leadership.
    next_transfer: Secs,
    log: Log,
}

impl Node {
    /// State of a newly started process. `boot` is random and distinguishes it from earlier
    /// processes.
    pub fn new(facts: Facts, boot: u64, now: Secs) -> Self {
        let facts = Arc::new(facts);
        let log = Log::new(facts.log);
        let user_api = UserApi::new(Log::new(facts.log));
        let election = Election::new(facts.node.clone(), facts.others.clone(), boot, now)
            .skip_startup_wait_if_single();
        let controllers = facts.others.iter().chain([&facts.node]).cloned().collect();
        let placement = Placement::new(controllers, facts.heartbeat_interval_s, facts.lease_s);
        let membership = Membership::new(facts.node.clone(), &facts.others, now);
        Self {
            facts,
            election,
            replica: Replica::default(),
            user_api,
            leader: None,
            types: None,
            types_op: None,
            next_types: now,
            out: ActionSink::default(),
            store_failures: 0,
            store_ok_at: now,
            store_probe: None,
            next_heartbeat: now,
            next_step_due: now,
            peers: BTreeMap::new(),
            watched_leader: None,
            last_led_at: BTreeMap::new(),
            membership,
            waiting_heartbeats: WaitingHeartbeats::default(),
            placement,
            next_transfer: now,
            log,
        }
    }

    /// Takes the actions to carry out that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out.actions)
    }

    /// Takes the log lines that have accumulated since the last call.
    pub fn take_log(&mut self) -> Vec<LogLine> {
        let mut log = self.log.take();
        log.append(&mut self.user_api.log.take());
        if let Some(leader) = &mut self.leader {
            log.append(&mut leader.log.take());
        }
        log
    }

    /// The leader's state while this controller leads. For tests.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The version gate of DAG dependencies: whether every configured controller is known to run a
    /// version that keeps `waits_on`, either from its announcement or from the record in the state
    /// service. Until then users' dependencies are refused; otherwise a leader of an older version
    /// could start a job before its dependencies are done.
    pub fn dependencies_allowed(&self) -> bool {
        self.membership.all_run_at_least(DEPENDENCIES_FORMAT, self.replica.format_in_store())
    }

    /// Which version every configured controller is known to run.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn store_unavailable(&self) -> bool {
        self.store_failures >= STORE_UNAVAILABLE_AFTER
    }

    /// The latest time for the next call of [`Node::tick`].
    pub fn wake(&self, now: Secs) -> Secs {
        let usual = now + if self.leader.is_some() { LEADER_STEP_S } else { FOLLOWER_STEP_S };
        self.user_api.wake().map_or(usual, |w| usual.min(w))
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Secs, wall_ms: u64, event: Event) {
        match event {
            Event::User(to, UserRequest::Health) => self.handle_health_request(now, to),
            Event::User(to, req) => self.with_user_api(now, wall_ms, |user_api, context, out| {
                user_api.handle_request(context, to, req, out)
            }),
            Event::Heartbeat(to, heartbeat) => self.handle_heartbeat(now, to, heartbeat),
            Event::Store(op, result) => self.handle_store_result(now, wall_ms, op, result),
            Event::Watch(news) => {
                let changes = self.replica.apply(news);
                for change in &changes {
                    if matches!(change, Change::Leader | Change::All) {
                        self.log_leader_change(now);
                        let leadership_change = self.election.leader_changed(now, &self.replica);
                        self.change_leadership(now, leadership_change);
                    }
                    if let Some(leader) = &mut self.leader {
                        leader.apply_change(now, wall_ms, change, &self.replica);
                    }
                }
                self.update_knowledge();
            }
            Event::Cloud(op, result) => {
                if self.types_op == Some(op) {
                    self.types_op = None;
                    if let CloudResult::Types(types) = result {
                        self.types = Some(types);
                    }
                } else if let Some(leader) = &mut self.leader {
                    leader.handle_cloud_result(now, op, result);
                }
            }
            Event::Direct(op, result) => {
                if let Some(leader) = &mut self.leader {
                    leader.direct(now, op, result);
                }
            }
            Event::Peer(news) => self.handle_peer_news(now, news),
            Event::CellRequest(to, request) => self.handle_cell_request(now, wall_ms, to, *request),
            Event::Members(to) => {
                let view = self.membership.view(now, self.replica.format_in_store());
                self.out.reply(to, Answer::Members(Box::new(view)));
            }
            Event::CellAnswer(op, answer) => {
                // Any effect of this answer is conditional on the leader key in the state service.
                if let Some(leader) = &mut self.leader {
                    leader.cell_answered(now, op, answer, &self.replica, &mut self.out);
                }
            }
        }
    }

    /// Advances timers; call this after each batch of events.
    pub fn tick(&mut self, now: Secs, wall_ms: u64) {
        if now > self.next_step_due + LATE_STEP_S
            && let Some(leader) = &mut self.leader
        {
            leader.note_late_step(now);
        }
        self.next_step_due = now + LEADER_STEP_S;
        let hears_peers = self.peers.values().any(|peer| now - peer.heard_at < HEARTBEAT_FRESH_S);
        self.election.note_peer_heard(now, hears_peers);
        self.election.note_next_unreachable(
            hears_peers && !self.recently_heard(now, self.facts.next_controller()),
        );
        let leadership_change = self.election.tick(now, &self.replica, &mut self.out);
        self.change_leadership(now, leadership_change);
        if self.leader.as_ref().is_some_and(|leader| leader.workers_unreachable(now))
            && !self.facts.others.is_empty()
            && !self.store_unavailable()
        {
            // The workers can't reach this controller but the state service can, so another
            // controller should lead. If the state service refuses requests too, resigning gains
            // nothing: nobody can be elected during an outage (a leader of three machines that
            // missed two heartbeats each resigned in one, and their leases expired), and a leader
            // that alone is refused loses its key anyway.
            self.resign(now, LossReason::WorkersUnreachable);
        }
        if self.is_replica_stale(now) {
            self.resign(now, LossReason::OutOfDate);
        }
        self.transfer_if_badly_placed(now);
        let cascade_lists_allowed = self.dependencies_allowed();
        let may_act = self.may_act(now);
        if !may_act && let Some(leader) = &mut self.leader {
            leader.refuse_held_heartbeats(&mut self.out);
        }
        if may_act && let Some(leader) = &mut self.leader {
            leader.common_format = self.membership.common_format();
            leader.cascade_lists_allowed = cascade_lists_allowed;
            leader.tick(now, wall_ms, &self.replica, &mut self.out);
            for (id, end) in leader.take_terminal_states() {
                self.user_api.remember(&id, end);
            }
            let updates = leader.progress_updates(now);
            if !updates.is_empty() {
                self.apply_progress(updates.clone());
                self.out.actions.push(Action::SendProgress(updates));
            }
        }
        self.answer_waiting_heartbeats(now);
        self.with_user_api(now, wall_ms, |user_api, context, out| user_api.tick(context, out));
        if now >= self.next_heartbeat {
            let every =
                if self.election.is_starting_up() { HEARTBEAT_FIRST_S } else { HEARTBEAT_EVERY_S };
            self.next_heartbeat = now + every;
            let (store_ok, leading) =
                (!self.store_unavailable(), self.election.leadership().is_some());
            self.out.actions.push(Action::PeerHeartbeat { store_ok, leading });
        }
        if self.store_probe.is_none() && now - self.store_ok_at > STORE_PROBE_S {
            self.store_probe = Some(self.out.store(StoreRequest::Get(TERM_KEY.into())));
        }
        let known = self.types.is_some() || self.replica.types.is_some();
        if !known && self.types_op.is_none() && now >= self.next_types {
            self.next_types = now + CLOUD_RETRY_S * 2.0;
            self.types_op = Some(self.out.cloud(CloudRequest::Types));
        }
    }

    fn recently_heard(&self, now: Secs, peer: Option<&NodeId>) -> bool {
        let at = peer.and_then(|p| self.peers.get(p)).map(|peer| peer.heard_at);
        peer.is_none() || at.is_some_and(|at| now - at < HEARTBEAT_FRESH_S)
    }

    fn with_user_api(
        &mut self,
        now: Secs,
        wall_ms: u64,
        f: impl FnOnce(&mut UserApi, &RequestContext<'_>, &mut ActionSink),
    ) {
        let dependencies_allowed = self.dependencies_allowed();
        let context = RequestContext {
            now,
            wall_ms,
            facts: &self.facts,
            replica: &self.replica,
            types: self.types.as_deref().or(self.replica.types.as_deref()),
            store_unavailable: self.store_failures >= STORE_UNAVAILABLE_AFTER,
            // The version gate: dependencies are allowed only once every controller runs a version
            // that supports them, as a leader of an older version would start such a job at once.
            dependencies_allowed,
        };
        f(&mut self.user_api, &context, &mut self.out);
        // This precedes the sending of any answer: whatever users are told, this controller itself
        // knows.
        for (id, revision) in self.user_api.take_confirmed() {
            self.apply_cancellation(now, &id, revision);
        }
    }

    fn apply_cancellation(&mut self, now: Secs, id: &JobId, revision: u64) {
        if self.replica.note_confirmed(id, revision)
            && let Some(leader) = &mut self.leader
        {
            leader.cancel(now, id);
        }
    }

    // A controller is healthy if the state service answers it, or answers no controller at all: in
    // an outage of the state service no controller is better than another. A controller that
    // neither the state service answers nor any peer is heard from is itself partitioned, and
    // unhealthy.
    fn handle_health_request(&mut self, now: Secs, to: ReplyTo) {
        let mut heard =
            self.peers.values().filter(|peer| now - peer.heard_at < HEARTBEAT_FRESH_S).peekable();
        let alone = heard.peek().is_none() && !self.facts.others.is_empty();
        let better = alone || heard.any(|peer| peer.store_ok);
        let healthy = self.replica.synced && !(self.store_unavailable() && better);
        let answer = if healthy { Answer::Healthy } else { Answer::Unavailable(RETRY_STORE_S) };
        self.out.reply(to, answer);
    }

    fn handle_store_result(&mut self, now: Secs, wall_ms: u64, op: OpId, result: StoreResult) {
        match result {
            StoreResult::Refused | StoreResult::Unknown => {
                self.store_failures = self.store_failures.saturating_add(1);
            }
            _ => {
                self.store_failures = 0;
                self.store_ok_at = now;
            }
        }
        if self.store_probe == Some(op) {
            self.store_probe = None;
            return;
        }
        if let Some(leadership_change) =
            self.election.handle_store_result(now, op, &result, &mut self.out)
        {
            return self.change_leadership(now, leadership_change);
        }
        let mut handled = false;
        self.with_user_api(now, wall_ms, |user_api, context, out| {
            handled = user_api.handle_store_result(context, op, &result, out)
        });
        if handled {
            return;
        }
        if let Some(leader) = &mut self.leader
            && !leader.handle_store_result(now, wall_ms, op, result, &self.replica, &mut self.out)
        {
            let leadership_change = self.election.lose_leadership(now, LossReason::Deposed);
            self.change_leadership(now, leadership_change);
        }
    }
}
