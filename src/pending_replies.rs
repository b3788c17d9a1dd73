//! Requests in flight in the core, and where each answer goes.

use crate::event_queue::{CellAnswer, Responder};
use marblebarrow_core::event::{Answer, PledgeAnswer, ReplyTo};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// The destination of an answer.
pub enum PendingReply {
    /// To a user, worker or operator.
    ClientRequest(Responder),
    /// To another controller.
    Pledge(oneshot::Sender<PledgeAnswer>),
    /// To another cell.
    Cell(oneshot::Sender<CellAnswer>),
}

/// Destinations of the pending answers, by the id under which the core knows each request.
#[derive(Default)]
pub struct PendingReplies {
    replies: HashMap<ReplyTo, PendingReply>,
    last_id: u64,
}

impl PendingReplies {
    /// Registers a destination and returns its new id.
    pub fn insert(&mut self, reply: PendingReply) -> ReplyTo {
        // Ids start at 1: for the core, 0 means that no answer is expected.
        self.last_id += 1;
        let id = ReplyTo(self.last_id);
        self.replies.insert(id, reply);
        id
    }

    /// Answers a client request.
    pub fn answer(&mut self, to: ReplyTo, answer: Answer) {
        if let Some(PendingReply::ClientRequest(responder)) = self.replies.remove(&to) {
            responder.respond(answer);
        }
    }

    /// Answers a pledge request; has no effect if the caller has stopped waiting.
    pub fn answer_pledge(&mut self, to: ReplyTo, answer: PledgeAnswer) {
        if let Some(PendingReply::Pledge(reply)) = self.replies.remove(&to) {
            let _ = reply.send(answer);
        }
    }

    /// Answers another cell; has no effect if the caller has stopped waiting.
    pub fn answer_cell(&mut self, to: ReplyTo, answer: CellAnswer) {
        if let Some(PendingReply::Cell(reply)) = self.replies.remove(&to) {
            let _ = reply.send(answer);
        }
    }
}
