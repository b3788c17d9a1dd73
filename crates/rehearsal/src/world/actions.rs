//! Executes the actions of controllers: requests to store and cloud, commands to workers, and
//! messages to peers, any of which may be delayed, lost or duplicated.

use super::controllers::controller_name;
use super::*;

/// Timeout of a request to the store, in steps.
const STORE_TIMEOUT_STEPS: u32 = 12;
/// One in this many requests to the store gets no answer, independent of other faults.
const STORE_UNANSWERED_ONE_IN: u32 = 40;
/// One in this many transactions is affected by an active fault of transactions.
const COMMIT_AFFECTED_ONE_IN: u32 = 3;
/// Timeout of a request to the cloud, in steps.
const CLOUD_TIMEOUT_STEPS: u32 = 30;
/// One in this many requests to the cloud gets no answer.
const CLOUD_UNANSWERED_ONE_IN: u32 = 30;
/// One in this many pledges arrives twice, the second copy late.
const LATE_PLEDGE_ONE_IN: u32 = 20;
/// Delay of the late copy, in steps.
const LATE_PLEDGE_STEPS: u32 = 25;

impl World {
    /// Collects a controller's log lines and executes its actions.
    pub(super) fn run_actions(&mut self, n: usize) {
        self.collect_log(n);
        let boot = self.hosts[n].started_at;
        let actions = self.hosts[n].node.as_mut().map(Node::take_actions).unwrap_or_default();
        for action in actions {
            self.execute_action(n, boot, action);
        }
    }

    fn collect_log(&mut self, n: usize) {
        let Some(node) = &mut self.hosts[n].node else { return };
        let log = node.take_log();
        let now = self.now();
        let cordon = |line: &&LogLine| line.text.contains("event=cordon");
        self.cordons += log.iter().filter(cordon).count();
        let text = |line: &LogLine| format!("t={now:.1} c{n} {}", line.text);
        let info = log.iter().filter(|line| line.level == Level::Info);
        self.info.extend(info.map(text));
        if self.cells.is_some() {
            self.events.extend(log.iter().map(text));
        }
    }

    fn execute_action(&mut self, n: usize, boot: f64, action: Action) {
        match action {
            Action::Reply(to, answer) => self.reply(n, to, answer),
            Action::PledgeReply(to, answer) => self.send_pledge(n, to, answer),
            Action::Store(op, req) => self.send_store_request(n, boot, op, req),
            Action::Cloud(op, req) => self.send_cloud_request(n, boot, op, req),
            Action::Direct { op, addr, fencing_token, agent_epoch, commands } => {
                let machine = MachineId::new(&addr);
                let cmd = DirectCommands { fencing_token, agent_epoch, commands };
                self.send_direct(n, boot, op, machine, cmd);
            }
            Action::PeerHeartbeat { store_ok, leading } => {
                self.send_to_peers(n, |_| PeerEvent::Heartbeat {
                    node: controller_name(n),
                    store_ok,
                    leading: Some(leading),
                });
                if self.upgrading {
                    self.announce(n);
                }
            }
            Action::RequestPledges { term, revision } => self.ask_pledges(n, term, revision),
            Action::SendProgress(jobs) => {
                self.send_to_peers(n, |_| PeerEvent::Progress(jobs.clone()))
            }
            Action::CellCall { op, cell, request } => {
                let request = *request;
                let at = self.step;
                self.cell_calls.push(OutgoingCall { node: n, boot, at, op, cell, request });
            }
            Action::CellReply(to, answer) => {
                if let Some(Requester::Cell(call)) = self.requesters.remove(&(n, to)) {
                    self.cell_answers.push((call, answer));
                }
            }
        }
    }

    /// Asks the other controllers for pledges. The reply token encodes the asking controller and
    /// the time of the request.
    fn ask_pledges(&mut self, n: usize, term: u64, revision: u64) {
        self.hosts[n].asked_revision = revision;
        let sent_ms = (self.now() * 1e3) as u64;
        self.send_to_peers(n, |_| PeerEvent::PledgeRequested {
            reply: ReplyTo(sent_ms * 10 + n as u64),
            from: controller_name(n),
            term,
            revision,
            after: None,
        });
    }

    /// Sends a pledge to the controller that asked, unless that process has ended.
    fn send_pledge(&mut self, n: usize, to: ReplyTo, answer: PledgeAnswer) {
        let asker = (to.0 % 10) as usize;
        let sent = f64::from((to.0 / 10) as u32) / 1e3;
        let started_at = self.hosts[asker].started_at;
        if self.hosts[asker].node.is_none() || sent < started_at {
            return;
        }
        if answer.more {
            self.violations.push("more cancellations than an answer holds".into());
        }
        let node = controller_name(n);
        let event =
            Event::Peer(PeerEvent::PledgeReceived { node, sent: sent - started_at, answer });
        // Some pledges arrive twice: on time and late.
        let late = self.rng.random_range(0..LATE_PLEDGE_ONE_IN) == 0;
        if late {
            let event = event.clone();
            self.after(1, Delivery::Event { node: asker, boot: started_at, event });
        }
        let delay = if late { LATE_PLEDGE_STEPS } else { 1 };
        self.after(delay, Delivery::Event { node: asker, boot: started_at, event });
    }

    /// Sends a request to the store. Some answers are lost, and some requests take effect late.
    fn send_store_request(&mut self, node: usize, boot: f64, op: OpId, req: StoreRequest) {
        let late = self.commit_is_affected(self.late_writes_until, &req);
        let answer_lost = self.commit_is_affected(self.answers_lost_until, &req);
        self.observed.answers_lost += u32::from(answer_lost);
        self.observed.late_writes += u32::from(late);
        let answer = !late && !answer_lost && !self.store_answer_is_lost();
        let slow = self.step < self.store_slow_until;
        let most = if answer { if slow { 20 } else { 1 } } else { 60 };
        let delay = if late {
            self.rng.random_range(20..120)
        } else if answer_lost {
            0
        } else {
            self.rng.random_range(0..most)
        };
        if answer && delay > STORE_TIMEOUT_STEPS {
            // The controller's request times out before the answer arrives.
            let event = Event::Store(op, StoreResult::Unknown);
            self.after(STORE_TIMEOUT_STEPS, Delivery::Event { node, boot, event });
        }
        let answer = answer && delay <= STORE_TIMEOUT_STEPS;
        if !answer {
            let event = Event::Store(op, StoreResult::Unknown);
            self.after(STORE_TIMEOUT_STEPS, Delivery::Event { node, boot, event });
        }
        self.after(delay, Delivery::Store { node, boot, op, req, answer });
    }

    /// Whether the answer to a request is dropped, as happens to one in `STORE_UNANSWERED_ONE_IN`.
    fn store_answer_is_lost(&mut self) -> bool {
        self.rng.random_range(0..STORE_UNANSWERED_ONE_IN) == 0 && !self.store_answers_all
    }

    /// Whether a fault that lasts until the given step affects this request: one in
    /// `COMMIT_AFFECTED_ONE_IN` transactions.
    fn commit_is_affected(&mut self, until: u32, req: &StoreRequest) -> bool {
        self.step < until
            && matches!(req, StoreRequest::Commit(_))
            && self.rng.random_range(0..COMMIT_AFFECTED_ONE_IN) == 0
    }

    /// Sends a request to the cloud. Some answers are lost.
    fn send_cloud_request(&mut self, node: usize, boot: f64, op: OpId, req: CloudRequest) {
        let answer = self.rng.random_range(0..CLOUD_UNANSWERED_ONE_IN) != 0;
        if !answer {
            let event = Event::Cloud(op, CloudResult::Unknown);
            self.after(CLOUD_TIMEOUT_STEPS, Delivery::Event { node, boot, event });
        }
        self.after(2, Delivery::Cloud { node, boot, op, req, answer });
    }

    /// Sends a message to every other controller that is reachable.
    pub(super) fn send_to_peers(&mut self, n: usize, news: impl Fn(usize) -> PeerEvent) {
        let is_cut_off = |h: &Host| self.step < h.peers_cut_until;
        let cut = is_cut_off(&self.hosts[n]);
        let reached: Vec<usize> =
            (0..NODES).filter(|&o| o != n && !cut && !is_cut_off(&self.hosts[o])).collect();
        for o in reached {
            if self.hosts[o].node.is_some() {
                let boot = self.hosts[o].started_at;
                self.after(1, Delivery::Event { node: o, boot, event: Event::Peer(news(o)) });
            }
        }
    }

    /// Passes a controller's answer on to the requester.
    pub(super) fn reply(&mut self, n: usize, to: ReplyTo, answer: Answer) {
        match self.requesters.remove(&(n, to)) {
            Some(Requester::Heartbeat { machine, agent_epoch, sent }) => {
                let delay = self.delay_of_answer(&answer);
                self.after(delay, Delivery::HeartbeatAnswer { machine, agent_epoch, sent, answer });
            }
            Some(Requester::User { job, what, asked }) => {
                self.handle_user_answer(n, &job, what, asked, &answer)
            }
            Some(Requester::Cell(_)) | None => {}
        }
    }
}
