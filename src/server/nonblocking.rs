//! Serves completely received heartbeats and health checks without a pool thread.

use super::handler::Handler;
use super::pending_request::{PendingRequest, UnsentResponse};
use super::response::Response;
use super::worker_routes;
use crate::http::{ReadError, Request, encode_response};
use crate::pool::Pool;
use std::sync::Arc;
use std::time::Instant;

/// Serves a worker's request without blocking if it has arrived completely; otherwise returns it,
/// to be served by a pool thread.
pub fn serve_nonblocking(
    handler: &Arc<Handler>,
    pool: &Arc<Pool<PendingRequest>>,
    mut pending: PendingRequest,
) -> Option<PendingRequest> {
    match pending.connection.try_read_request() {
        Ok(Some(request)) => ask(handler, pool, pending, request),
        // The poll's event was stale.
        Ok(None) if !pending.connection.has_unread() => {
            handler.wait_for_next(pending);
            None
        }
        Ok(None) | Err(ReadError::Malformed | ReadError::TooLarge) => Some(pending),
        Err(_) => {
            handler.connections().remove(pending.slot);
            None
        }
    }
}

/// Passes the request to the core if it is one that the core answers immediately; the event
/// loop's thread then sends the response. Returns any other request.
fn ask(
    handler: &Arc<Handler>,
    pool: &Arc<Pool<PendingRequest>>,
    mut pending: PendingRequest,
    request: Request,
) -> Option<PendingRequest> {
    let Some(Ok(client_request)) = worker_routes::route(&request, &request.path) else {
        pending.request = Some(request);
        return Some(pending);
    };
    let asked = Instant::now();
    let events = handler.events.clone();
    let (handler, pool) = (handler.clone(), pool.clone());
    let send_response = move |answer| {
        let response = handler.response(asked, answer);
        let close = request.close || handler.closes_after_response(pending.client);
        respond(&handler, &pool, pending, &response, close);
    };
    events.ask_with_callback(client_request, Box::new(send_response));
    None
}

/// Sends a response without blocking; a pool thread sends what the socket doesn't accept
/// immediately.
fn respond(
    handler: &Handler,
    pool: &Pool<PendingRequest>,
    mut pending: PendingRequest,
    response: &Response,
    close: bool,
) {
    let mut bytes = encode_response(response.head(close), &response.body);
    match pending.connection.try_send(&bytes) {
        Ok(sent) if sent < bytes.len() => {
            pending.unsent = Some(UnsentResponse { bytes: bytes.split_off(sent), close });
            if let Err(pending) = pool.submit(pending) {
                handler.connections().remove(pending.slot);
            }
        }
        Ok(_) if !close => handler.wait_for_next(pending),
        _ => handler.connections().remove(pending.slot),
    }
}
