//! Routes for workers (heartbeats) and health checks.

use super::response::Response;
use crate::event_queue::ClientRequest;
use crate::http::Request;
use marblebarrow_core::event::UserRequest;
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::Heartbeat;

/// Converts a request to `path` into a request for the core, or returns the error response;
/// `None` if the path is not one of these.
pub fn route(request: &Request, path: &str) -> Option<Result<ClientRequest, Response>> {
    match (request.method.as_str(), path) {
        ("GET", "/healthz") => Some(Ok(ClientRequest::User(UserRequest::Health))),
        ("POST", "/hello") => Some(heartbeat(&request.body)),
        (_, "/healthz" | "/hello") => Some(Err(Response::error(405, "no such resource"))),
        _ => None,
    }
}

fn heartbeat(body: &[u8]) -> Result<ClientRequest, Response> {
    match cbor::decode::<Heartbeat>(body) {
        Ok(heartbeat) => Ok(ClientRequest::Heartbeat(Box::new(heartbeat))),
        Err(error) => Err(Response::error(400, &error.to_string())),
    }
}
