//! The bounded queue to the event loop: its sender, its receiver and its messages.

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

/// A request of a user, worker or operator that the core answers.
#[derive(Debug)]
pub enum ClientRequest {
    /// A user's request.
    User(UserRequest),
    /// A worker's heartbeat (`report` on the wire).
    Heartbeat(Box<Heartbeat>),
    /// An operator's request for the controllers and their versions.
    Members,
}

impl ClientRequest {
    /// The queue length from which this request is refused: submissions are refused first,
    /// heartbeats last.
    fn queue_limit(&self) -> usize {
        match self {
            Self::Heartbeat(_) | Self::User(UserRequest::Health) | Self::Members => EVENT_QUEUE_LEN,
            Self::User(UserRequest::Submit(_) | UserRequest::SubmitInvalid(..)) => {
                QUEUE_LEN_FOR_SUBMISSIONS
            }
            Self::User(UserRequest::Poll(_) | UserRequest::Cancel(_)) => QUEUE_LEN_FOR_POLLS,
        }
    }
}

/// A function that is called with the answer.
pub type Callback = Box<dyn FnOnce(Answer) + Send>;

/// Where the answer to a client request goes.
pub enum Responder {
    /// To a waiting thread.
    Channel(SyncSender<Answer>),
    /// To a callback that runs on the event loop's thread and must not block it.
    Callback(Callback),
}

impl Responder {
    /// Delivers the answer without blocking.
    pub fn respond(self, answer: Answer) {
        match self {
            // Fails if the thread has stopped waiting; the answer is not needed then.
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

/// The answer to another cell's request.
pub type CellAnswer = Result<Box<CellReply>, CellError>;

/// A message to the event loop.
#[derive(Debug)]
pub enum QueueMessage {
    /// A client request, and where its answer goes.
    ClientRequest {
        /// The client request.
        client_request: ClientRequest,
        /// Where the answer goes.
        responder: Responder,
    },
    /// A pledge request from another controller.
    PledgeRequest {
        /// The controller that asks.
        from: NodeId,
        /// Its term.
        term: u64,
        /// The revision up to which its copy of the store is complete.
        revision: u64,
        /// The last job of the previous page, if this request asks for a further page.
        after: Option<JobId>,
        /// Where the answer goes.
        reply: oneshot::Sender<PledgeAnswer>,
    },
    /// A request from another cell or an operator.
    CellRequest {
        /// The request.
        request: Box<CellRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<CellAnswer>,
    },
    /// Any other event.
    Event(Event),
    /// Wakes the event loop because a priority event waits in the other queue.
    WakeUp,
}

impl QueueMessage {
    fn is_submission(&self) -> bool {
        let Self::ClientRequest { client_request, .. } = self else { return false };
        matches!(client_request, ClientRequest::User(UserRequest::Submit(_)))
    }
}

/// The messages that the event loop handles in one iteration.
#[derive(Debug)]
pub struct Batch {
    /// Priority events, handled before all messages.
    pub priority: Vec<Event>,
    /// The other messages in order of arrival, but submissions last.
    pub messages: Vec<QueueMessage>,
}

/// The sending end.
#[derive(Clone, Debug)]
pub struct EventSender {
    messages: SyncSender<QueueMessage>,
    priority: SyncSender<Event>,
    depth: Arc<AtomicUsize>,
}

/// The receiving end, owned by the event loop.
#[derive(Debug)]
pub struct EventReceiver {
    messages: Receiver<QueueMessage>,
    priority: Receiver<Event>,
    depth: Arc<AtomicUsize>,
}

/// Creates a queue and returns both its ends.
pub fn channel() -> (EventSender, EventReceiver) {
    let (messages_in, messages_out) = sync_channel(EVENT_QUEUE_LEN);
    let (priority_in, priority_out) = sync_channel(PRIORITY_QUEUE_LEN);
    let depth = Arc::new(AtomicUsize::new(0));
    let sender = EventSender { messages: messages_in, priority: priority_in, depth: depth.clone() };
    let receiver = EventReceiver { messages: messages_out, priority: priority_out, depth };
    (sender, receiver)
}

impl EventReceiver {
    /// Answers each client request with `answer`, in place of an event loop.
    #[cfg(test)]
    pub fn serve_each(self, answer: impl Fn(&ClientRequest) -> Answer) {
        while let Ok(message) = self.messages.recv() {
            if let QueueMessage::ClientRequest { client_request, responder } =
                self.received(message)
            {
                responder.respond(answer(&client_request));
            }
        }
    }

    /// Waits up to `timeout` for messages and returns those that have arrived; `None` if all
    /// senders have been dropped.
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
        // Polls and heartbeats have priority over submissions.
        messages.sort_by_key(QueueMessage::is_submission);
        Some(Batch { priority: self.priority.try_iter().collect(), messages })
    }

    fn received(&self, message: QueueMessage) -> QueueMessage {
        self.depth.fetch_sub(1, Ordering::Relaxed);
        message
    }
}

impl EventSender {
    /// Sends a request and blocks for its answer. Answers `Overloaded` immediately if the queue is
    /// too full, and `Unavailable` after `timeout`.
    pub fn ask(&self, client_request: ClientRequest, timeout: Duration) -> Answer {
        if self.depth.load(Ordering::Relaxed) >= client_request.queue_limit() {
            return Answer::Overloaded(RETRY_FULL_S);
        }
        let (sender, answer) = sync_channel(1);
        let responder = Responder::Channel(sender);
        match self.push(QueueMessage::ClientRequest { client_request, responder }) {
            Ok(()) => answer.recv_timeout(timeout).unwrap_or(Answer::Unavailable(RETRY_STORE_S)),
            Err(TrySendError::Full(_)) => Answer::Overloaded(RETRY_FULL_S),
            Err(TrySendError::Disconnected(_)) => Answer::Unavailable(RETRY_STORE_S),
        }
    }

    /// Sends a request without blocking; `callback` gets the answer, immediately if the queue is
    /// full. Only for requests that the core answers immediately.
    pub fn ask_with_callback(&self, client_request: ClientRequest, callback: Callback) {
        let responder = Responder::Callback(callback);
        if self.depth.load(Ordering::Relaxed) >= EVENT_QUEUE_LEN {
            return responder.respond(Answer::Overloaded(RETRY_FULL_S));
        }
        let Err(error) = self.push(QueueMessage::ClientRequest { client_request, responder })
        else {
            return;
        };
        let (TrySendError::Full(message) | TrySendError::Disconnected(message)) = error;
        if let QueueMessage::ClientRequest { responder, .. } = message {
            responder.respond(Answer::Overloaded(RETRY_FULL_S));
        }
    }

    /// Sends an event; blocks while the queue is full.
    pub fn send(&self, event: Event) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        if self.messages.send(QueueMessage::Event(event)).is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Sends an event that is handled before all waiting messages. Without this, a leader's store
    /// lease expired while the answer that renewed it was queued behind hundreds of heartbeats.
    pub fn send_priority(&self, event: Event) {
        if self.priority.send(event).is_ok() {
            self.try_send(QueueMessage::WakeUp);
        }
    }

    /// Sends without blocking; false if the queue is full.
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
