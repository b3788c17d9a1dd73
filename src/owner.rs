//! The one owner of all state: takes events from a bounded queue in batches,
//! feeds the core, and hands its actions to the links.

use crate::authority::{Authority, Held};
use crate::clock::Clock;
use crate::event_queue::{Ask, Asker, CellAnswer, Message, Outbox};
use crate::links::Links;
use marblebarrow_core::event::*;
use marblebarrow_core::facts::Facts;
use marblebarrow_core::log::{Level, LogLine};
use marblebarrow_core::node::Node;
use marblebarrow_proto::wire::DirectCommands;
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

enum Waiting {
    Asker(Asker),
    Pledge(oneshot::Sender<PledgeAnswer>),
    Cell(oneshot::Sender<CellAnswer>),
}

/// The owner.
pub struct Owner {
    node: Node,
    rx: Outbox,
    links: Links,
    authority: Authority,
    clock: Clock,
    waiting: HashMap<ReplyTo, Waiting>,
    next_reply: u64,
}

impl Owner {
    /// An owner of a fresh state.
    pub fn new(facts: Facts, rx: Outbox, links: Links, authority: Authority, clock: Clock) -> Self {
        Self {
            node: Node::new(facts, rand::random::<u64>() >> 1, 0.0),
            rx,
            links,
            authority,
            clock,
            waiting: HashMap::new(),
            next_reply: 0,
        }
    }

    fn now(&self) -> Secs {
        self.clock.now()
    }

    /// Works for ever.
    pub fn run(mut self) {
        let mut wake = 0.0;
        loop {
            let wait = Duration::from_secs_f64((wake - self.now()).clamp(0.001, 1.0));
            let Some((urgent, batch)) = self.rx.batch(wait) else { return };
            let wall_ms =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            for event in urgent {
                let now = self.now();
                self.node.handle(now, wall_ms, event);
            }
            for m in batch {
                let Some(event) = self.event(m) else { continue };
                let now = self.now();
                self.node.handle(now, wall_ms, event);
            }
            let now = self.now();
            self.node.tick(now, wall_ms);
            self.authority.set(self.held());
            self.node.take_log().iter().for_each(write_line);
            for action in self.node.take_actions() {
                self.act(now, action);
            }
            wake = self.node.wake(now);
        }
    }

    /// The right to act, as of now.
    fn held(&self) -> Option<Held> {
        let (term, until) = self.node.authority()?;
        let highest_token = self.node.highest_token().max(term);
        Some(Held { term, highest_token, until: self.clock.at(until) })
    }

    fn event(&mut self, message: Message) -> Option<Event> {
        let mut wait = |w| {
            self.next_reply += 1;
            self.waiting.insert(ReplyTo(self.next_reply), w);
            ReplyTo(self.next_reply)
        };
        Some(match message {
            Message::Wake => return None,
            Message::Event(e) => e,
            Message::Ask(ask, asker) => {
                let to = wait(Waiting::Asker(asker));
                match ask {
                    Ask::User(req) => Event::User(to, req),
                    Ask::Report(report) => Event::Report(to, report),
                    Ask::Members => Event::Members(to),
                }
            }
            Message::Cell(request, reply) => {
                Event::CellRequest(wait(Waiting::Cell(reply)), request)
            }
            Message::Pledge { from, term, revision, after, reply } => {
                let reply = wait(Waiting::Pledge(reply));
                Event::Peer(PeerNews::PledgeAsked { reply, from, term, revision, after })
            }
        })
    }

    fn act(&mut self, now: Secs, action: Action) {
        match action {
            Action::Reply(to, answer) => {
                if let Some(Waiting::Asker(asker)) = self.waiting.remove(&to) {
                    asker.tell(answer);
                }
            }
            Action::PledgeReply(to, answer) => {
                if let Some(Waiting::Pledge(tx)) = self.waiting.remove(&to) {
                    let _ = tx.send(answer);
                }
            }
            Action::Store(op, req) => {
                if let Some(event) = self.links.store.send(op, req) {
                    let wall_ms = 0;
                    self.node.handle(now, wall_ms, event);
                }
            }
            Action::Cloud(op, req) => {
                if let Some(event) = self.links.cloud.send(op, req) {
                    self.node.handle(now, 0, event);
                }
            }
            Action::Direct { op, addr, token, session, commands } => {
                let commands = DirectCommands { token, session, commands };
                if let Some(event) = self.links.workers.send(op, &addr, commands) {
                    self.node.handle(now, 0, event);
                }
            }
            Action::Heartbeat { store_ok, leading } => self.links.peers.beat(store_ok, leading),
            Action::AskPledges { term, revision } => {
                self.links.peers.ask_pledges(term, revision, now);
            }
            Action::SendProgress(jobs) => self.links.peers.send_progress(&jobs),
            Action::CellCall { op, cell, request } => {
                let link = self.links.cells.as_ref();
                if let Some(event) = link.and_then(|link| link.send(op, &cell, *request)) {
                    self.node.handle(now, 0, event);
                }
            }
            Action::CellReply(to, answer) => {
                if let Some(Waiting::Cell(tx)) = self.waiting.remove(&to) {
                    let _ = tx.send(answer);
                }
            }
        }
    }
}

fn write_line(line: &LogLine) {
    match line.level {
        Level::Info => tracing::info!("{}", line.text),
        Level::Debug => tracing::debug!("{}", line.text),
    }
}
