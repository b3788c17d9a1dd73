//! The link to the other controllers over gRPC. Its async runtime runs on one thread of its own.

use crate::event_queue::{EventSender, QueueMessage};
use crate::limits::{PEER_QUEUE_LEN, PEER_TIMEOUT};
use crate::settings::PeerAddress;
use marblebarrow_core::event::{Event, JobCounts, PeerEvent, PledgeAnswer, Secs, TaskCounts};
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

/// Messages that may be queued for one peer.
const QUEUE_PER_PEER: usize = 4;
/// Maximum HTTP/2 frame size between controllers, bytes.
const PEER_FRAME_BYTES: u32 = 16 * 1024;

/// A message broadcast to every other controller.
#[derive(Debug, Clone)]
enum PeerMessage {
    Heartbeat { store_ok: bool, leading: bool },
    AskPledge { term: u64, revision: u64, sent: Secs },
    Progress(Vec<JobProgress>),
}

/// The link to the other controllers.
pub struct Peers {
    messages: mpsc::Sender<PeerMessage>,
    store_ok: Arc<AtomicBool>,
    leading: Arc<AtomicBool>,
}

impl Peers {
    /// Starts the thread that serves the peers' calls and makes calls to them.
    pub fn start(
        node: NodeId,
        listen: SocketAddr,
        others: Vec<PeerAddress>,
        events: EventSender,
    ) -> std::io::Result<Self> {
        let (messages, received) = mpsc::channel(PEER_QUEUE_LEN);
        let store_ok = Arc::new(AtomicBool::new(false));
        // Starts as true: until the event loop has reported otherwise, no peer may conclude that
        // this controller doesn't lead.
        let leading = Arc::new(AtomicBool::new(true));
        let service = PeerService {
            events: events.clone(),
            store_ok: store_ok.clone(),
            leading: leading.clone(),
        };
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
                        .timeout(PEER_TIMEOUT)
                        .max_frame_size(Some(PEER_FRAME_BYTES))
                        .add_service(PeerServer::new(service))
                        .serve_with_incoming(incoming),
                );
                broadcast(node, others, received, events).await;
            });
        })?;
        Ok(Self { messages, store_ok, leading })
    }

    // Messages are dropped when the queue is full: every kind is sent again periodically.
    fn enqueue(&self, message: PeerMessage) {
        let _ = self.messages.try_send(message);
    }

    /// Tells the peers whether the store answers this controller and whether it leads.
    pub fn send_heartbeat(&self, store_ok: bool, leading: bool) {
        self.store_ok.store(store_ok, Ordering::Relaxed);
        self.leading.store(leading, Ordering::Relaxed);
        self.enqueue(PeerMessage::Heartbeat { store_ok, leading });
    }

    /// Asks all peers for pledges; `sent` is the time of the request.
    pub fn ask_pledges(&self, term: u64, revision: u64, sent: Secs) {
        self.enqueue(PeerMessage::AskPledge { term, revision, sent });
    }

    /// Sends the jobs' progress to the peers.
    pub fn send_progress(&self, updates: &[JobCounts]) {
        let jobs = updates
            .iter()
            .map(|update| JobProgress {
                job: update.job.to_string(),
                done: update.counts.done,
                running: update.counts.running,
            })
            .collect();
        self.enqueue(PeerMessage::Progress(jobs));
    }
}

/// Passes each message to the task of every peer.
async fn broadcast(
    node: NodeId,
    others: Vec<PeerAddress>,
    mut messages: mpsc::Receiver<PeerMessage>,
    events: EventSender,
) {
    let mut peers = Vec::new();
    for other in others {
        let Ok(endpoint) = Endpoint::from_shared(format!("http://{}", other.endpoint)) else {
            continue;
        };
        let channel = endpoint.connect_timeout(PEER_TIMEOUT).timeout(PEER_TIMEOUT).connect_lazy();
        // Each peer has a small queue of its own, so an unreachable peer doesn't delay the
        // others.
        let (sender, queue) = mpsc::channel(QUEUE_PER_PEER);
        let peer = NodeId::new(&other.node);
        tokio::spawn(send_to_peer(node.clone(), peer, channel, queue, events.clone()));
        peers.push(sender);
    }
    while let Some(message) = messages.recv().await {
        for peer in &peers {
            let _ = peer.try_send(message.clone());
        }
    }
}

/// Makes the calls to one peer, one at a time.
async fn send_to_peer(
    own_node: NodeId,
    peer: NodeId,
    channel: Channel,
    mut queue: mpsc::Receiver<PeerMessage>,
    events: EventSender,
) {
    let mut client = PeerClient::new(channel);
    while let Some(message) = queue.recv().await {
        match message {
            PeerMessage::Heartbeat { store_ok, leading } => {
                let (version, format) = own_announcement();
                let node = own_node.to_string();
                let request = BeatRequest { node, store_ok, leading, version, format };
                exchange_heartbeats(&mut client, &peer, request, &events).await;
            }
            PeerMessage::AskPledge { term, revision, sent } => {
                let node = own_node.to_string();
                let first = PledgeRequest { node, term, revision, after: String::new() };
                ask_pledge(&mut client, &peer, first, sent, &events).await;
            }
            PeerMessage::Progress(jobs) => {
                let _ = client.progress(ProgressRequest { term: 0, jobs }).await;
            }
        }
    }
}

// Sends this controller's heartbeat and publishes the state in the peer's reply.
async fn exchange_heartbeats(
    client: &mut PeerClient<Channel>,
    peer: &NodeId,
    request: BeatRequest,
    events: &EventSender,
) {
    let Ok(reply) = client.beat(request).await else { return };
    let reply = reply.into_inner();
    publish_announcement(events, peer, &reply.version, reply.format);
    let news = PeerEvent::Heartbeat {
        node: peer.clone(),
        store_ok: reply.store_ok,
        leading: Some(reply.leading),
    };
    publish(events, news);
}

// Asks a peer for a pledge and the cancellations that come with it, paged over as many replies as
// needed. If any reply is lost, here or on the way to the event loop, the last one is never
// published and the pledge doesn't count.
async fn ask_pledge(
    client: &mut PeerClient<Channel>,
    peer: &NodeId,
    mut ask: PledgeRequest,
    sent: Secs,
    events: &EventSender,
) {
    let mut complete = true;
    loop {
        let Ok(reply) = client.pledge(ask.clone()).await else { return };
        let reply = reply.into_inner();
        complete &= reply.whole;
        let cancelled: Vec<(JobId, u64)> =
            reply.cancelled.iter().map(|c| (JobId::new(&c.job), c.revision)).collect();
        let last = reply.cancelled.last().map(|c| c.job.clone());
        let more = reply.more && last.is_some();
        let answer = PledgeAnswer { granted: reply.granted, complete, cancelled, more };
        let news = PeerEvent::PledgeReceived { node: peer.clone(), sent, answer };
        if !publish(events, news) || !reply.granted {
            return;
        }
        match last.filter(|_| more) {
            Some(job) => ask.after = job,
            None => return,
        }
    }
}

// This process's version and format, as carried in heartbeats.
fn own_announcement() -> (String, u32) {
    let own = Announcement::own();
    (own.version.unwrap_or_default(), own.format)
}

// Sends a peer's news to the event loop; false if the queue is full.
fn publish(events: &EventSender, news: PeerEvent) -> bool {
    events.try_send(QueueMessage::Event(Event::Peer(news)))
}

// Sends a peer's version and format to the event loop; the production version leaves both fields
// empty.
fn publish_announcement(events: &EventSender, node: &NodeId, version: &str, format: u32) {
    let runs = Announcement::from_wire(version, format);
    publish(events, PeerEvent::Announced { node: node.clone(), runs });
}

/// The gRPC service that answers the peers.
struct PeerService {
    events: EventSender,
    store_ok: Arc<AtomicBool>,
    leading: Arc<AtomicBool>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn beat(&self, req: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        let req = req.into_inner();
        let news = PeerEvent::Heartbeat {
            node: NodeId::new(&req.node),
            store_ok: req.store_ok,
            leading: None,
        };
        publish(&self.events, news);
        publish_announcement(&self.events, &NodeId::new(&req.node), &req.version, req.format);
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
        let message = QueueMessage::PledgeRequest { from, term: req.term, revision, after, reply };
        if !self.events.try_send(message) {
            return Err(Status::resource_exhausted("busy"));
        }
        let PledgeAnswer { granted, complete, cancelled, more } = answer.await.unwrap_or_default();
        let job = |(id, revision): &(JobId, u64)| CancelledJob {
            job: id.to_string(),
            revision: *revision,
        };
        let cancelled = cancelled.iter().map(job).collect();
        Ok(Response::new(PledgeReply { granted, whole: complete, cancelled, more }))
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
        publish(&self.events, PeerEvent::Progress(jobs));
        Ok(Response::new(ProgressReply {}))
    }
}
