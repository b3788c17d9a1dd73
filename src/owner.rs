//! The one owner of all state: takes events from a bounded queue in batches,
//! feeds the core, and hands its actions to the links.

use crate::authority::{Authority, Held};
use crate::limits::*;
use crate::links::Links;
use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::Facts;
use marblebarrow_core::log::{Level, LogLine};
use marblebarrow_core::node::Node;
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::wire::Report;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// A question from outside.
#[derive(Debug)]
pub enum Ask {
    /// A user's.
    User(UserRequest),
    /// A worker's report.
    Report(Box<Report>),
    /// An operator's: which controllers run what.
    Members,
}

/// Who waits for an answer.
pub enum Asker {
    /// A thread.
    Thread(SyncSender<Answer>),
    /// Nobody: the owner's thread does this with it, and must not be kept by it.
    Then(Box<dyn FnOnce(Answer) + Send>),
}

impl Asker {
    fn tell(self, answer: Answer) {
        match self {
            // The asker may have given up: then there is nobody to tell.
            Self::Thread(tx) => {
                let _ = tx.try_send(answer);
            }
            Self::Then(then) => then(answer),
        }
    }
}

impl std::fmt::Debug for Asker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if matches!(self, Self::Thread(_)) { "Thread" } else { "Then" })
    }
}

/// What another cell is answered.
pub type CellAnswer = Result<Box<CellReply>, CellError>;

/// What waits for the owner.
#[derive(Debug)]
pub enum Message {
    /// A question, and where its answer goes.
    Ask(Ask, Asker),
    /// A pledge request of another controller.
    Pledge {
        /// Who asks.
        from: NodeId,
        /// Its term.
        term: u64,
        /// Its copy of the store is whole up to here.
        revision: u64,
        /// It was told of jobs up to this one already.
        after: Option<JobId>,
        /// Where the answer goes.
        reply: oneshot::Sender<PledgeAnswer>,
    },
    /// A request of another cell, or of an operator, and where its answer goes.
    Cell(Box<CellRequest>, oneshot::Sender<CellAnswer>),
    /// Anything else.
    Event(Event),
    /// Something urgent waits.
    Wake,
}

/// The way to the owner.
#[derive(Clone, Debug)]
pub struct Inbox {
    tx: SyncSender<Message>,
    urgent: SyncSender<Event>,
    depth: Arc<AtomicUsize>,
}

/// The owner's end of its queue.
#[derive(Debug)]
pub struct Outbox {
    rx: Receiver<Message>,
    urgent: Receiver<Event>,
    depth: Arc<AtomicUsize>,
}

impl Outbox {
    /// Answers each question by itself, as a stand-in for the owner.
    #[cfg(test)]
    pub fn serve_each(self, answer: impl Fn(&Ask) -> Answer) {
        while let Ok(m) = self.rx.recv() {
            if let Message::Ask(ask, asker) = self.took(m) {
                asker.tell(answer(&ask));
            }
        }
    }

    /// What came, once something has or the time is over: what is urgent first, then
    /// the rest as it came, with submissions last. `None`: nobody is left to tell.
    pub fn batch(&self, wait: Duration) -> Option<(Vec<Event>, Vec<Message>)> {
        let first = match self.rx.recv_timeout(wait) {
            Ok(m) => Some(self.took(m)),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        let mut batch: Vec<Message> = first.into_iter().collect();
        while batch.len() < BATCH
            && let Ok(m) = self.rx.try_recv()
        {
            batch.push(self.took(m));
        }
        // Polls and reports outrank submissions.
        let submission =
            |m: &Message| matches!(m, Message::Ask(Ask::User(UserRequest::Submit(_)), _));
        batch.sort_by_key(submission);
        Some((self.urgent.try_iter().collect(), batch))
    }

    fn took(&self, m: Message) -> Message {
        self.depth.fetch_sub(1, Ordering::Relaxed);
        m
    }
}

impl Inbox {
    /// A queue and its two ends.
    pub fn channel() -> (Self, Outbox) {
        let (tx, rx) = sync_channel(QUEUE);
        let (urgent, first) = sync_channel(QUEUE_URGENT);
        let depth = Arc::new(AtomicUsize::new(0));
        (Self { tx, urgent, depth: depth.clone() }, Outbox { rx, urgent: first, depth })
    }

    /// Asks and waits. Too full or too slow: says so at once. Room is kept for
    /// those that outrank: submissions are refused first, reports last.
    pub fn ask(&self, ask: Ask, wait: Duration) -> Answer {
        let most = match &ask {
            Ask::Report(_) | Ask::User(UserRequest::Health) | Ask::Members => QUEUE,
            Ask::User(UserRequest::Submit(_)) => QUEUE_SUBMIT,
            Ask::User(_) => QUEUE_POLL,
        };
        if self.depth.load(Ordering::Relaxed) >= most {
            return Answer::Full(RETRY_FULL_S);
        }
        let (tx, rx) = sync_channel(1);
        self.depth.fetch_add(1, Ordering::Relaxed);
        match self.tx.try_send(Message::Ask(ask, Asker::Thread(tx))) {
            Ok(()) => rx.recv_timeout(wait).unwrap_or(Answer::Unavailable(RETRY_STORE_S)),
            Err(e) => {
                self.depth.fetch_sub(1, Ordering::Relaxed);
                match e {
                    TrySendError::Full(_) => Answer::Full(RETRY_FULL_S),
                    TrySendError::Disconnected(_) => Answer::Unavailable(RETRY_STORE_S),
                }
            }
        }
    }

    /// Asks without waiting: `then` gets the answer, here and now if there is no room.
    /// Only for what the core answers at once.
    pub fn ask_then(&self, ask: Ask, then: Box<dyn FnOnce(Answer) + Send>) {
        let asker = Asker::Then(then);
        if self.depth.load(Ordering::Relaxed) >= QUEUE {
            return asker.tell(Answer::Full(RETRY_FULL_S));
        }
        self.depth.fetch_add(1, Ordering::Relaxed);
        if let Err(e) = self.tx.try_send(Message::Ask(ask, asker)) {
            self.depth.fetch_sub(1, Ordering::Relaxed);
            let (TrySendError::Full(m) | TrySendError::Disconnected(m)) = e;
            if let Message::Ask(_, asker) = m {
                asker.tell(Answer::Full(RETRY_FULL_S));
            }
        }
    }

    /// Tells; waits for room in the queue.
    pub fn tell(&self, event: Event) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        if self.tx.send(Message::Event(event)).is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Tells what goes before all that waits already: a leader's grant once ran out
    /// while the word that it lived on waited behind hundreds of reports.
    pub fn tell_urgently(&self, event: Event) {
        if self.urgent.send(event).is_ok() {
            self.offer(Message::Wake);
        }
    }

    /// Tells without waiting; false if there is no room.
    pub fn offer(&self, message: Message) -> bool {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let sent = self.tx.try_send(message).is_ok();
        if !sent {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
        sent
    }
}

enum Waiting {
    Asker(Asker),
    Pledge(oneshot::Sender<PledgeAnswer>),
    Cell(oneshot::Sender<CellAnswer>),
}

/// The steady clock, counted from when the process began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins to count.
    pub fn start() -> Self {
        Self(Instant::now())
    }
    /// Now.
    pub fn now(self) -> Secs {
        self.0.elapsed().as_secs_f64()
    }
    /// The moment that so many seconds stand for.
    pub fn at(self, secs: Secs) -> Instant {
        self.0 + Duration::from_secs_f64(secs.max(0.0))
    }
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
                if let Some(event) = self.links.direct.send(op, &addr, token, session, commands) {
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

#[cfg(test)]
#[path = "tests/owner.rs"]
mod tests;
