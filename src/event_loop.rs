//! The event loop: the one thread that owns the core's state. It takes messages from the bounded
//! queue in batches, feeds them to the core, and passes the core's actions to the links.

use crate::authority::{Authority, Leadership};
use crate::clock::Clock;
use crate::event_queue::{Batch, ClientRequest, EventReceiver, QueueMessage, Responder};
use crate::links::Links;
use crate::pending_replies::{PendingReplies, PendingReply};
use marblebarrow_core::event::{Action, Event, PeerEvent, Secs};
use marblebarrow_core::facts::Facts;
use marblebarrow_core::log::{Level, LogLine};
use marblebarrow_core::node::Node;
use marblebarrow_proto::wire::DirectCommands;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Shortest wait for messages, seconds.
const WAIT_MIN_S: f64 = 0.001;
/// Longest wait for messages, seconds: the core's timers must also run when no message arrives.
const WAIT_MAX_S: f64 = 1.0;
/// Wall-clock value passed with events that don't use it: refusals by the links.
const NO_WALL_CLOCK: u64 = 0;

/// The event loop and the state that it owns.
pub struct EventLoop {
    core: Node,
    events: EventReceiver,
    links: Links,
    authority: Authority,
    clock: Clock,
    pending: PendingReplies,
}

impl EventLoop {
    /// Creates an event loop with an empty state.
    pub fn new(
        facts: Facts,
        events: EventReceiver,
        links: Links,
        authority: Authority,
        clock: Clock,
    ) -> Self {
        let seed = rand::random::<u64>() >> 1;
        let core = Node::new(facts, seed, 0.0);
        Self { core, events, links, authority, clock, pending: PendingReplies::default() }
    }

    /// Runs until all senders have been dropped.
    pub fn run(mut self) {
        let mut next_wake = 0.0;
        loop {
            let wait = (next_wake - self.clock.now()).clamp(WAIT_MIN_S, WAIT_MAX_S);
            let Some(batch) = self.events.next_batch(Duration::from_secs_f64(wait)) else { return };
            let wall_ms = wall_clock_ms();
            self.handle(batch, wall_ms);
            let now = self.clock.now();
            self.core.tick(now, wall_ms);
            self.authority.set(self.leadership());
            self.core.take_log().iter().for_each(write_line);
            for action in self.core.take_actions() {
                self.perform(now, action);
            }
            next_wake = self.core.wake(now);
        }
    }

    fn handle(&mut self, batch: Batch, wall_ms: u64) {
        for event in batch.priority {
            self.core.handle(self.clock.now(), wall_ms, event);
        }
        for message in batch.messages {
            if let Some(event) = self.event(message) {
                self.core.handle(self.clock.now(), wall_ms, event);
            }
        }
    }

    /// The leadership that the core holds now, with its expiry as an instant.
    fn leadership(&self) -> Option<Leadership> {
        let (term, until) = self.core.authority()?;
        let highest_fencing_token = self.core.highest_fencing_token().max(term);
        Some(Leadership { term, highest_fencing_token, valid_until: self.clock.at(until) })
    }

    /// Converts a message into an event of the core and records where its answer goes.
    fn event(&mut self, message: QueueMessage) -> Option<Event> {
        Some(match message {
            QueueMessage::WakeUp => return None,
            QueueMessage::Event(event) => event,
            QueueMessage::ClientRequest { client_request, responder } => {
                self.client_request(client_request, responder)
            }
            QueueMessage::CellRequest { request, reply } => {
                let reply_to = self.pending.insert(PendingReply::Cell(reply));
                Event::CellRequest(reply_to, request)
            }
            QueueMessage::PledgeRequest { from, term, revision, after, reply } => {
                let reply = self.pending.insert(PendingReply::Pledge(reply));
                Event::Peer(PeerEvent::PledgeRequested { reply, from, term, revision, after })
            }
        })
    }

    fn client_request(&mut self, client_request: ClientRequest, responder: Responder) -> Event {
        let reply_to = self.pending.insert(PendingReply::ClientRequest(responder));
        match client_request {
            ClientRequest::User(request) => Event::User(reply_to, request),
            ClientRequest::Heartbeat(heartbeat) => Event::Heartbeat(reply_to, heartbeat),
            ClientRequest::Members => Event::Members(reply_to),
        }
    }

    /// Performs an action; if a link refuses a request, the core gets the refusal immediately.
    fn perform(&mut self, now: Secs, action: Action) {
        match action {
            Action::Reply(to, answer) => self.pending.answer(to, answer),
            Action::PledgeReply(to, answer) => self.pending.answer_pledge(to, answer),
            Action::CellReply(to, answer) => self.pending.answer_cell(to, answer),
            request => {
                if let Some(refusal) = self.send(now, request) {
                    self.core.handle(now, NO_WALL_CLOCK, refusal);
                }
            }
        }
    }

    /// Passes a request to its link. Returns the refusal as an event if the link does not take
    /// it.
    fn send(&self, now: Secs, action: Action) -> Option<Event> {
        let links = &self.links;
        match action {
            Action::Store(op, request) => links.store.send(op, request),
            Action::Cloud(op, request) => links.cloud.send(op, request),
            Action::Direct { op, addr, fencing_token, agent_epoch, commands } => links
                .workers
                .send(op, &addr, DirectCommands { fencing_token, agent_epoch, commands }),
            Action::CellCall { op, cell, request } => {
                links.cells.as_ref().and_then(|cells| cells.send(op, &cell, request))
            }
            Action::PeerHeartbeat { store_ok, leading } => {
                links.peers.send_heartbeat(store_ok, leading);
                None
            }
            Action::RequestPledges { term, revision } => {
                links.peers.ask_pledges(term, revision, now);
                None
            }
            Action::SendProgress(jobs) => {
                links.peers.send_progress(&jobs);
                None
            }
            // `perform` answers these from the pending replies.
            Action::Reply(..) | Action::PledgeReply(..) | Action::CellReply(..) => None,
        }
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn write_line(line: &LogLine) {
    match line.level {
        Level::Info => tracing::info!("{}", line.text),
        Level::Debug => tracing::debug!("{}", line.text),
    }
}
