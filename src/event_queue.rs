//! The bounded queue to the thread that owns all state: its sender, its receiver, and what
//! travels in it.

use crate::limits::*;
use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::{Answer, Event, PledgeAnswer, UserRequest};
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::wire::Report;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
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
    /// Hands over the answer; never waits.
    pub fn tell(self, answer: Answer) {
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

#[cfg(test)]
#[path = "tests/event_queue.rs"]
mod tests;
