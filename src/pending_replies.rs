//! Questions under way in the core, and where each answer goes.

use crate::event_queue::{CellAnswer, Responder};
use marblebarrow_core::event::{Answer, PledgeAnswer, ReplyTo};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Where an answer goes.
pub enum PendingReply {
    /// To a user, worker or operator.
    Question(Responder),
    /// To another controller.
    Pledge(oneshot::Sender<PledgeAnswer>),
    /// To another cell.
    Cell(oneshot::Sender<CellAnswer>),
}

/// Answers owed, by the name under which the core knows each question.
#[derive(Default)]
pub struct PendingReplies {
    replies: HashMap<ReplyTo, PendingReply>,
    last_name: u64,
}

impl PendingReplies {
    /// Takes in a reply; its new name.
    pub fn insert(&mut self, reply: PendingReply) -> ReplyTo {
        // Names begin at 1: 0 is the core's name for nobody.
        self.last_name += 1;
        let name = ReplyTo(self.last_name);
        self.replies.insert(name, reply);
        name
    }

    /// Answers a question.
    pub fn answer(&mut self, to: ReplyTo, answer: Answer) {
        if let Some(PendingReply::Question(responder)) = self.replies.remove(&to) {
            responder.respond(answer);
        }
    }

    /// Answers a pledge request; the asker may have given up.
    pub fn answer_pledge(&mut self, to: ReplyTo, answer: PledgeAnswer) {
        if let Some(PendingReply::Pledge(reply)) = self.replies.remove(&to) {
            let _ = reply.send(answer);
        }
    }

    /// Answers another cell; the asker may have given up.
    pub fn answer_cell(&mut self, to: ReplyTo, answer: CellAnswer) {
        if let Some(PendingReply::Cell(reply)) = self.replies.remove(&to) {
            let _ = reply.send(answer);
        }
    }
}
