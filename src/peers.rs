//! The other controllers: gRPC, its runtime on one thread at the edge.

use crate::event_queue::{Inbox, Message};
use crate::limits::*;
use crate::settings::Other;
use marblebarrow_core::event::{Event, JobCounts, PeerNews, PledgeAnswer, Secs, TaskCounts};
use marblebarrow_core::membership::Announcement;
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::peer::peer_client::PeerClient;
use marblebarrow_proto::peer::peer_server::{Peer, PeerServer};
use marblebarrow_proto::peer::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

#[derive(Debug, Clone)]
enum PeerMessage {
    Heartbeat(bool, bool),
    Pledge { term: u64, revision: u64, sent: Secs },
    Progress(Vec<JobProgress>),
}

/// The way to the other controllers.
pub struct Peers {
    tx: mpsc::Sender<PeerMessage>,
    store_ok: Arc<AtomicBool>,
    leading: Arc<AtomicBool>,
}

impl Peers {
    /// Starts the thread that speaks with them.
    pub fn start(
        node: NodeId,
        listen: SocketAddr,
        others: Vec<Other>,
        inbox: Inbox,
    ) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::channel(PEER_QUEUE);
        let store_ok = Arc::new(AtomicBool::new(false));
        // Until the owner has spoken, nobody may conclude that we don't lead.
        let leading = Arc::new(AtomicBool::new(true));
        let service =
            Service { inbox: inbox.clone(), store_ok: store_ok.clone(), leading: leading.clone() };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        crate::thread::spawn("peers", move || {
            runtime.block_on(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                    return;
                };
                let incoming = tonic::transport::server::TcpIncoming::from(listener);
                tokio::spawn(
                    tonic::transport::Server::builder()
                        .timeout(PEER_TIME)
                        .max_frame_size(Some(16 * 1024))
                        .add_service(PeerServer::new(service))
                        .serve_with_incoming(incoming),
                );
                speak(node, others, rx, inbox).await;
            });
        })?;
        Ok(Self { tx, store_ok, leading })
    }

    // A word that finds the queue full is dropped: all are said again.
    fn say(&self, word: PeerMessage) {
        let _ = self.tx.try_send(word);
    }

    /// Tells whether the store serves us and whether we lead.
    pub fn beat(&self, store_ok: bool, leading: bool) {
        self.store_ok.store(store_ok, Ordering::Relaxed);
        self.leading.store(leading, Ordering::Relaxed);
        self.say(PeerMessage::Heartbeat(store_ok, leading));
    }

    /// Asks for pledges; `sent` is when.
    pub fn ask_pledges(&self, term: u64, revision: u64, sent: Secs) {
        self.say(PeerMessage::Pledge { term, revision, sent });
    }

    /// Shows progress.
    pub fn send_progress(&self, updates: &[JobCounts]) {
        let jobs = updates
            .iter()
            .map(|update| JobProgress {
                job: update.job.to_string(),
                done: update.counts.done,
                running: update.counts.running,
            })
            .collect();
        self.say(PeerMessage::Progress(jobs));
    }
}

async fn speak(
    node: NodeId,
    others: Vec<Other>,
    mut rx: mpsc::Receiver<PeerMessage>,
    inbox: Inbox,
) {
    let mut lines = Vec::new();
    for other in others {
        let Ok(endpoint) = Endpoint::from_shared(format!("http://{}", other.endpoint)) else {
            continue;
        };
        let channel = endpoint.connect_timeout(PEER_TIME).timeout(PEER_TIME).connect_lazy();
        // A small queue each: a silent peer holds up no other.
        let (tx, rx) = mpsc::channel(4);
        tokio::spawn(line(node.clone(), NodeId::new(&other.node), channel, rx, inbox.clone()));
        lines.push(tx);
    }
    while let Some(word) = rx.recv().await {
        for tx in &lines {
            let _ = tx.try_send(word.clone());
        }
    }
}

async fn line(
    me: NodeId,
    peer: NodeId,
    channel: Channel,
    mut rx: mpsc::Receiver<PeerMessage>,
    inbox: Inbox,
) {
    let mut client = PeerClient::new(channel);
    while let Some(word) = rx.recv().await {
        match word {
            PeerMessage::Heartbeat(store_ok, leading) => {
                let (version, format) = own_announcement();
                let req = BeatRequest { node: me.to_string(), store_ok, leading, version, format };
                if let Ok(reply) = client.beat(req).await {
                    let reply = reply.into_inner();
                    announced(&inbox, &peer, &reply.version, reply.format);
                    let news = PeerNews::Heartbeat {
                        node: peer.clone(),
                        store_ok: reply.store_ok,
                        leading: Some(reply.leading),
                    };
                    inbox.offer(Message::Event(Event::Peer(news)));
                }
            }
            PeerMessage::Pledge { term, revision, sent } => {
                let node = me.to_string();
                let first = PledgeRequest { node, term, revision, after: String::new() };
                ask_pledge(&mut client, &peer, first, sent, &inbox).await;
            }
            PeerMessage::Progress(jobs) => {
                let _ = client.progress(ProgressRequest { term: 0, jobs }).await;
            }
        }
    }
}

// A pledge, and the cancellations that come with it, in as many replies as they take.
// If one gets lost, here or on the way to the owner, the last never arrives, and
// nothing counts.
async fn ask_pledge(
    client: &mut PeerClient<Channel>,
    peer: &NodeId,
    mut ask: PledgeRequest,
    sent: Secs,
    inbox: &Inbox,
) {
    let mut whole = true;
    loop {
        let Ok(reply) = client.pledge(ask.clone()).await else { return };
        let reply = reply.into_inner();
        whole &= reply.whole;
        let cancelled: Vec<(JobId, u64)> =
            reply.cancelled.iter().map(|c| (JobId::new(&c.job), c.revision)).collect();
        let last = reply.cancelled.last().map(|c| c.job.clone());
        let more = reply.more && last.is_some();
        let answer = PledgeAnswer { granted: reply.granted, whole, cancelled, more };
        let news = PeerNews::Pledged { node: peer.clone(), sent, answer };
        if !inbox.offer(Message::Event(Event::Peer(news))) || !reply.granted {
            return;
        }
        match last.filter(|_| more) {
            Some(job) => ask.after = job,
            None => return,
        }
    }
}

// What this process runs, as the beats carry it.
fn own_announcement() -> (String, u32) {
    let own = Announcement::own();
    (own.version.unwrap_or_default(), own.format)
}

// Tells the owner what a peer runs; the production version leaves both fields empty.
fn announced(inbox: &Inbox, node: &NodeId, version: &str, format: u32) {
    let runs = Announcement::from_wire(version, format);
    inbox.offer(Message::Event(Event::Peer(PeerNews::Announced { node: node.clone(), runs })));
}

struct Service {
    inbox: Inbox,
    store_ok: Arc<AtomicBool>,
    leading: Arc<AtomicBool>,
}

#[tonic::async_trait]
impl Peer for Service {
    async fn beat(&self, req: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        let req = req.into_inner();
        let news = PeerNews::Heartbeat {
            node: NodeId::new(&req.node),
            store_ok: req.store_ok,
            leading: None,
        };
        self.inbox.offer(Message::Event(Event::Peer(news)));
        announced(&self.inbox, &NodeId::new(&req.node), &req.version, req.format);
        let (version, format) = own_announcement();
        Ok(Response::new(BeatReply {
            store_ok: self.store_ok.load(Ordering::Relaxed),
            leading: self.leading.load(Ordering::Relaxed),
            version,
            format,
        }))
    }

    async fn pledge(&self, req: Request<PledgeRequest>) -> Result<Response<PledgeReply>, Status> {
        let req = req.into_inner();
        let (reply, answer) = tokio::sync::oneshot::channel();
        let after = (!req.after.is_empty()).then(|| JobId::new(&req.after));
        let (from, revision) = (NodeId::new(&req.node), req.revision);
        let message = Message::Pledge { from, term: req.term, revision, after, reply };
        if !self.inbox.offer(message) {
            return Err(Status::resource_exhausted("busy"));
        }
        let PledgeAnswer { granted, whole, cancelled, more } = answer.await.unwrap_or_default();
        let job = |(id, revision): &(JobId, u64)| CancelledJob {
            job: id.to_string(),
            revision: *revision,
        };
        let cancelled = cancelled.iter().map(job).collect();
        Ok(Response::new(PledgeReply { granted, whole, cancelled, more }))
    }

    async fn progress(
        &self,
        req: Request<ProgressRequest>,
    ) -> Result<Response<ProgressReply>, Status> {
        let jobs = req
            .into_inner()
            .jobs
            .into_iter()
            .map(|j| JobCounts {
                job: JobId::new(&j.job),
                counts: TaskCounts { done: j.done, running: j.running },
            })
            .collect();
        self.inbox.offer(Message::Event(Event::Peer(PeerNews::Progress(jobs))));
        Ok(Response::new(ProgressReply {}))
    }
}
