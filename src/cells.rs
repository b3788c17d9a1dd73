//! The link to other cells over gRPC. Its async runtime runs on one thread of its own. It keeps
//! no state of transfers: every request may be lost or repeated.

use crate::event_queue::{CellAnswer, EventSender, QueueMessage};
use crate::limits::{
    CELL_ANSWER_TIMEOUT, CELL_CALLS_MAX, CELL_FRAME_BYTES, CELL_QUEUE_LEN, CELL_TIMEOUT,
    CONNECT_TIMEOUT,
};
use marblebarrow_cells::message::{CellError, CellReply, CellRequest, OfferReply};
use marblebarrow_cells::rpc::{error_from_status, parse_declared_lost_cell};
use marblebarrow_cells::settings::{CellsSettings, OtherCell};
use marblebarrow_cells::wire::cells_client::CellsClient;
use marblebarrow_cells::wire::cells_server::{Cells, CellsServer};
use marblebarrow_cells::wire::*;
use marblebarrow_core::event::{Event, OpId};
use marblebarrow_proto::ids::CellName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};
use tracing::Instrument as _;

/// A request to another cell.
#[derive(Debug)]
struct OutgoingRequest {
    op: OpId,
    request: Box<CellRequest>,
}

/// The link to the other cells.
#[derive(Debug)]
pub struct CellLink {
    cells: BTreeMap<CellName, mpsc::Sender<OutgoingRequest>>,
}

impl CellLink {
    /// Starts the thread that serves the other cells' calls and makes calls to them.
    pub fn start(settings: &CellsSettings, events: &EventSender) -> std::io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = std::net::TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let mut cells = BTreeMap::new();
        let mut queues = Vec::new();
        for other in &settings.others {
            let (sender, receiver) = mpsc::channel(CELL_QUEUE_LEN);
            cells.insert(other.name.clone(), sender);
            queues.push((other.clone(), receiver));
        }
        let (events, message_bytes) = (events.clone(), settings.message_bytes);
        crate::thread::spawn("cells", move || {
            runtime.block_on(async move {
                for (other, queue) in queues {
                    tokio::spawn(call_cell(other, queue, events.clone(), message_bytes));
                }
                serve(listener, events, message_bytes).await;
            });
        })?;
        Ok(Self { cells })
    }

    /// Queues a request. Returns `NoAnswer` as an event if it can't be queued.
    pub fn send(&self, op: OpId, cell: &CellName, request: Box<CellRequest>) -> Option<Event> {
        let sent =
            self.cells.get(cell).map(|queue| queue.try_send(OutgoingRequest { op, request }));
        match sent {
            Some(Ok(())) => None,
            _ => Some(Event::CellAnswer(op, Err(CellError::NoAnswer))),
        }
    }
}

async fn serve(listener: std::net::TcpListener, events: EventSender, message_bytes: usize) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let service = CellsServer::new(CellService { events, malformed: Arc::default() })
        .max_decoding_message_size(message_bytes)
        .max_encoding_message_size(message_bytes);
    let served = tonic::transport::Server::builder()
        .timeout(CELL_ANSWER_TIMEOUT)
        .concurrency_limit_per_connection(CELL_CALLS_MAX)
        .max_concurrent_streams(Some(CELL_CALLS_MAX as u32))
        .max_frame_size(Some(CELL_FRAME_BYTES))
        .add_service(service)
        .serve_with_incoming(tonic::transport::server::TcpIncoming::from(listener))
        .await;
    if let Err(error) = served {
        tracing::error!(%error, "event=cells_stopped");
    }
}

/// Makes the calls to one cell, several concurrently. If a controller isn't the leader or doesn't
/// answer, later calls go to the next one.
async fn call_cell(
    other: OtherCell,
    mut requests: mpsc::Receiver<OutgoingRequest>,
    events: EventSender,
    message_bytes: usize,
) {
    let clients: Vec<CellsClient<Channel>> =
        other.controllers.iter().filter_map(|addr| client(*addr, message_bytes)).collect();
    if clients.is_empty() {
        return;
    }
    let cell = other.name;
    let next_controller = Arc::new(AtomicU64::new(0));
    let permits = Arc::new(tokio::sync::Semaphore::new(CELL_CALLS_MAX));
    while let Some(OutgoingRequest { op, request }) = requests.recv().await {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let turn = next_controller.load(Ordering::Relaxed);
        let client = clients[(turn % clients.len() as u64) as usize].clone();
        let (next_controller, events) = (next_controller.clone(), events.clone());
        let span = tracing::debug_span!("cell_call", %cell, op = op.0);
        let call = async move {
            let answer = call(client, &request).await;
            if matches!(answer, Err(CellError::NotLeader | CellError::NoAnswer)) {
                // Has no effect if another call has already advanced to the next controller.
                let _ = next_controller.compare_exchange(
                    turn,
                    turn + 1,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                );
            }
            tracing::debug!(outcome = outcome(&answer), "event=cell_answered");
            let event = Event::CellAnswer(op, answer.map(Box::new));
            events.try_send(QueueMessage::Event(event));
            drop(permit);
        };
        tokio::spawn(call.instrument(span));
    }
}

fn client(addr: SocketAddr, message_bytes: usize) -> Option<CellsClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
    let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CELL_TIMEOUT).connect_lazy();
    let client = CellsClient::new(channel);
    Some(client.max_decoding_message_size(message_bytes).max_encoding_message_size(message_bytes))
}

async fn call(
    mut client: CellsClient<Channel>,
    request: &CellRequest,
) -> Result<CellReply, CellError> {
    match request {
        CellRequest::Exchange(exchange) => {
            let reply = client.exchange(ExchangeRequest::from(exchange)).await;
            let reply = reply.map_err(|status| error_from_status(&status))?.into_inner();
            reply.try_into().map(CellReply::Exchange)
        }
        CellRequest::Offer(offer) => {
            let reply = client.offer(OfferRequest::from(offer.as_ref())).await;
            let reply = reply.map_err(|status| error_from_status(&status))?.into_inner();
            OfferReply::try_from(reply).map(CellReply::Offer)
        }
        // Only operators' tools make these calls.
        CellRequest::Overview | CellRequest::DeclareLost(_) => Err(CellError::Malformed),
    }
}

fn outcome(answer: &Result<CellReply, CellError>) -> String {
    match answer {
        Ok(CellReply::Offer(reply)) => format!("{:?}", reply.verdict),
        Ok(_) => "answered".to_owned(),
        Err(error) => error.to_string(),
    }
}

struct CellService {
    events: EventSender,
    /// Malformed requests, refused before they reach the event loop.
    malformed: Arc<AtomicU64>,
}

impl CellService {
    async fn ask(&self, request: Result<CellRequest, CellError>) -> Result<CellReply, Status> {
        let request = request.inspect_err(|_| {
            self.malformed.fetch_add(1, Ordering::Relaxed);
        })?;
        let (reply, answer) = oneshot::channel::<CellAnswer>();
        if !self.events.try_send(QueueMessage::CellRequest { request: Box::new(request), reply }) {
            return Err(CellError::Busy.into());
        }
        let answer = answer.await.unwrap_or(Err(CellError::Busy))?;
        Ok(*answer)
    }
}

#[tonic::async_trait]
impl Cells for CellService {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let exchange = request.into_inner().try_into().map(CellRequest::Exchange);
        match self.ask(exchange).await? {
            CellReply::Exchange(reply) => Ok(Response::new((&reply).into())),
            _ => Err(Status::internal("wrong answer")),
        }
    }

    async fn offer(
        &self,
        request: Request<OfferRequest>,
    ) -> Result<Response<marblebarrow_cells::wire::OfferReply>, Status> {
        let offer = request.into_inner().try_into().map(|o| CellRequest::Offer(Box::new(o)));
        match self.ask(offer).await? {
            CellReply::Offer(reply) => Ok(Response::new((&reply).into())),
            _ => Err(Status::internal("wrong answer")),
        }
    }

    async fn overview(
        &self,
        _: Request<OverviewRequest>,
    ) -> Result<Response<OverviewReply>, Status> {
        match self.ask(Ok(CellRequest::Overview)).await? {
            CellReply::Overview(overview) => {
                let mut reply = OverviewReply::from(overview.as_ref());
                reply.bad_requests += self.malformed.load(Ordering::Relaxed);
                Ok(Response::new(reply))
            }
            _ => Err(Status::internal("wrong answer")),
        }
    }

    async fn declare_lost(
        &self,
        request: Request<DeclareLostRequest>,
    ) -> Result<Response<DeclareLostReply>, Status> {
        let cell = parse_declared_lost_cell(request.get_ref()).map(CellRequest::DeclareLost);
        self.ask(cell).await?;
        Ok(Response::new(DeclareLostReply {}))
    }
}
