//! Handling of messages from other controllers and other cells.

use super::{Node, PeerState};
use crate::consts::PLEDGE_CANCELS;
use crate::event::*;
use marblebarrow_cells::message::{CellError, CellReply, CellRequest, Exchange};
use marblebarrow_proto::ids::JobId;

impl Node {
    pub(super) fn handle_peer_news(&mut self, now: Secs, news: PeerEvent) {
        match news {
            PeerEvent::Heartbeat { node, store_ok, leading } => {
                let state = PeerState::updated(self.peers.get(&node), now, store_ok, leading);
                self.peers.insert(node.clone(), state);
                if let Some(leading) = leading {
                    self.election.note_peer_role(now, node, leading);
                }
            }
            PeerEvent::PledgeRequested { reply, from, term, revision, after } => {
                let (refuses, replica) = (self.store_unavailable(), &self.replica);
                let granted =
                    self.election.handle_pledge_request(now, (&from, term), replica, refuses);
                let (cancelled, more) =
                    replica.cancelled_since(revision, after.as_ref(), PLEDGE_CANCELS);
                let answer =
                    PledgeAnswer { granted, complete: replica.is_complete(), cancelled, more };
                self.out.actions.push(Action::PledgeReply(reply, answer));
            }
            PeerEvent::PledgeReceived { node, sent, answer } => {
                for (id, revision) in &answer.cancelled {
                    self.apply_cancellation(now, id, *revision);
                }
                self.election.handle_pledge_answer(node, sent, &answer);
                self.update_knowledge();
            }
            PeerEvent::Progress(jobs) => self.apply_progress(jobs),
            PeerEvent::Announced { node, runs } => {
                self.membership.note_announcement(&node, runs, now)
            }
        }
    }

    /// Handles a request of another cell or of an operator. Only a leader answers these.
    pub(super) fn handle_cell_request(
        &mut self,
        now: Secs,
        wall_ms: u64,
        to: ReplyTo,
        request: CellRequest,
    ) {
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
                user_api.handle_request(context, DISCARD_REPLY, UserRequest::Cancel(job), out);
            }
            for job in work.read_end {
                user_api.read_final_state(job, out);
            }
        });
    }

    pub(super) fn apply_progress(&mut self, jobs: Vec<JobCounts>) {
        let specs = &self.replica.specs;
        let known = jobs
            .into_iter()
            .filter(|update| specs.contains_key(&update.job))
            .map(|update| (update.job, update.counts));
        self.user_api.progress.extend(known);
        self.user_api.progress.retain(|id, _| specs.contains_key(id));
    }
}
