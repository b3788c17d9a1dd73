//! The bounded queue to the event loop: its sender, its receiver, and what travels in it.

use crate::limits::{
    EVENT_BATCH, EVENT_QUEUE_LEN, PRIORITY_QUEUE_LEN, QUEUE_LEN_FOR_POLLS,
    QUEUE_LEN_FOR_SUBMISSIONS,
};
use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::{Answer, Event, PledgeAnswer, UserRequest};
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::wire::Heartbeat;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use tokio::sync::oneshot;

/// A question from outside that the core answers.
#[derive(Debug)]
pub enum Question {
    /// A user's request.
    User(UserRequest),
    /// A worker's heartbeat (the wire's report).
    Heartbeat(Box<Heartbeat>),
    /// An operator's: which controllers run which version.
    Members,
}

impl Question {
    /// How many messages may wait already for this one to be taken: submissions are
    /// refused first, heartbeats last.
    fn queue_limit(&self) -> usize {
        match self {
            Self::Heartbeat(_) | Self::User(UserRequest::Health) | Self::Members => EVENT_QUEUE_LEN,
            Self::User(UserRequest::Submit(_)) => QUEUE_LEN_FOR_SUBMISSIONS,
            Self::User(UserRequest::Poll(_) | UserRequest::Cancel(_)) => QUEUE_LEN_FOR_POLLS,
        }
    }
}

/// What is called with an answer.
pub type Callback = Box<dyn FnOnce(Answer) + Send>;

/// Where the answer to a question goes.
pub enum Responder {
    /// To a thread that waits.
    Channel(SyncSender<Answer>),
    /// To a callback on the event loop's thread, which it must not block.
    Callback(Callback),
}

impl Responder {
    /// Hands over the answer; never blocks.
    pub fn respond(self, answer: Answer) {
        match self {
            // The thread may have given up waiting: then nobody needs the answer.
            Self::Channel(sender) => {
                let _ = sender.try_send(answer);
            }
            Self::Callback(callback) => callback(answer),
        }
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if matches!(self, Self::Channel(_)) { "Channel" } else { "Callback" })
    }
}

/// What another cell is answered.
pub type CellAnswer = Result<Box<CellReply>, CellError>;

/// What waits for the event loop.
#[derive(Debug)]
pub enum QueueMessage {
    /// A question, and where its answer goes.
    Question {
        /// The question.
        question: Question,
        /// Where the answer goes.
        responder: Responder,
    },
    /// A pledge request of another controller.
    PledgeRequest {
        /// Who asks.
        from: NodeId,
        /// Its term.
        term: u64,
        /// Its copy of the store is complete up to this revision.
        revision: u64,
        /// It was told of jobs up to this one already.
        after: Option<JobId>,
        /// Where the answer goes.
        reply: oneshot::Sender<PledgeAnswer>,
    },
    /// A request of another cell, or of an operator.
    CellRequest {
        /// The request.
        request: Box<CellRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<CellAnswer>,
    },
    /// Anything else.
    Event(Event),
    /// A priority event waits in its own queue.
    WakeUp,
}

impl QueueMessage {
    fn is_submission(&self) -> bool {
        let Self::Question { question, .. } = self else { return false };
        matches!(question, Question::User(UserRequest::Submit(_)))
    }
}

/// What the event loop handles at once.
#[derive(Debug)]
pub struct Batch {
    /// Events that go before all others.
    pub priority: Vec<Event>,
    /// The others as they came, submissions last.
    pub messages: Vec<QueueMessage>,
}

/// The sending end.
#[derive(Clone, Debug)]
pub struct EventSender {
    messages: SyncSender<QueueMessage>,
    priority: SyncSender<Event>,
    depth: Arc<AtomicUsize>,
}

/// The event loop's end.
#[derive(Debug)]
pub struct EventReceiver {
    messages: Receiver<QueueMessage>,
    priority: Receiver<Event>,
    depth: Arc<AtomicUsize>,
}

/// A queue's two ends.
pub fn channel() -> (EventSender, EventReceiver) {
    let (messages_in, messages_out) = sync_channel(EVENT_QUEUE_LEN);
    let (priority_in, priority_out) = sync_channel(PRIORITY_QUEUE_LEN);
    let depth = Arc::new(AtomicUsize::new(0));
    let sender = EventSender { messages: messages_in, priority: priority_in, depth: depth.clone() };
    let receiver = EventReceiver { messages: messages_out, priority: priority_out, depth };
    (sender, receiver)
}

impl EventReceiver {
    /// Answers each question by itself, as a stand-in for the event loop.
    #[cfg(test)]
    pub fn serve_each(self, answer: impl Fn(&Question) -> Answer) {
        while let Ok(message) = self.messages.recv() {
            if let QueueMessage::Question { question, responder } = self.received(message) {
                responder.respond(answer(&question));
            }
        }
    }

    /// What has come, once something has or `timeout` is over. `None`: no sender is left.
    pub fn next_batch(&self, timeout: Duration) -> Option<Batch> {
        let mut messages = Vec::new();
        match self.messages.recv_timeout(timeout) {
            Ok(first) => messages.push(self.received(first)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        while messages.len() < EVENT_BATCH
            && let Ok(message) = self.messages.try_recv()
        {
            messages.push(self.received(message));
        }
        // Polls and heartbeats outrank submissions.
        messages.sort_by_key(QueueMessage::is_submission);
        Some(Batch { priority: self.priority.try_iter().collect(), messages })
    }

    fn received(&self, message: QueueMessage) -> QueueMessage {
        self.depth.fetch_sub(1, Ordering::Relaxed);
        message
    }
}

impl EventSender {
    /// Asks and blocks for the answer; says at once if the queue is too full, and after
    /// `timeout` that there is none.
    pub fn ask(&self, question: Question, timeout: Duration) -> Answer {
        if self.depth.load(Ordering::Relaxed) >= question.queue_limit() {
            return Answer::Full(RETRY_FULL_S);
        }
        let (sender, answer) = sync_channel(1);
        let responder = Responder::Channel(sender);
        match self.push(QueueMessage::Question { question, responder }) {
            Ok(()) => answer.recv_timeout(timeout).unwrap_or(Answer::Unavailable(RETRY_STORE_S)),
            Err(TrySendError::Full(_)) => Answer::Full(RETRY_FULL_S),
            Err(TrySendError::Disconnected(_)) => Answer::Unavailable(RETRY_STORE_S),
        }
    }

    /// Asks without blocking: `callback` gets the answer, here and now if there is no room.
    /// Only for what the core answers at once.
    pub fn ask_with_callback(&self, question: Question, callback: Callback) {
        let responder = Responder::Callback(callback);
        if self.depth.load(Ordering::Relaxed) >= EVENT_QUEUE_LEN {
            return responder.respond(Answer::Full(RETRY_FULL_S));
        }
        let Err(error) = self.push(QueueMessage::Question { question, responder }) else { return };
        let (TrySendError::Full(message) | TrySendError::Disconnected(message)) = error;
        if let QueueMessage::Question { responder, .. } = message {
            responder.respond(Answer::Full(RETRY_FULL_S));
        }
    }

    /// Sends an event; blocks while the queue is full.
    pub fn send(&self, event: Event) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        if self.messages.send(QueueMessage::Event(event)).is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Sends an event that goes before all that waits already: a leader's store lease once
    /// ran out while the answer that renewed it waited behind hundreds of heartbeats.
    pub fn send_priority(&self, event: Event) {
        if self.priority.send(event).is_ok() {
            self.try_send(QueueMessage::WakeUp);
        }
    }

    /// Sends without blocking; false if there is no room.
    pub fn try_send(&self, message: QueueMessage) -> bool {
        self.push(message).is_ok()
    }

    fn push(&self, message: QueueMessage) -> Result<(), TrySendError<QueueMessage>> {
        self.depth.fetch_add(1, Ordering::Relaxed);
        self.messages.try_send(message).inspect_err(|_| {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        })
    }
}

#[cfg(test)]
#[path = "tests/event_queue.rs"]
mod tests;
