//! Requests of workers (heartbeats) and of health checks.

use super::response::Response;
use crate::event_queue::Question;
use crate::http::Request;
use marblebarrow_core::event::UserRequest;
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::Heartbeat;

/// The question that a request to `path` asks, or the response to one that can't be asked;
/// `None`: not a path of these.
pub fn route(request: &Request, path: &str) -> Option<Result<Question, Response>> {
    match (request.method.as_str(), path) {
        ("GET", "/healthz") => Some(Ok(Question::User(UserRequest::Health))),
        ("POST", "/hello") => Some(heartbeat(&request.body)),
        (_, "/healthz" | "/hello") => Some(Err(Response::error(405, "no such resource"))),
        _ => None,
    }
}

fn heartbeat(body: &[u8]) -> Result<Question, Response> {
    match cbor::decode::<Heartbeat>(body) {
        Ok(heartbeat) => Ok(Question::Heartbeat(Box::new(heartbeat))),
        Err(error) => Err(Response::error(400, &error.to_string())),
    }
}
