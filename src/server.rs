//! The side that users, workers and health checks see: a thread a connection,
//! up to a bound; beyond it a connection is told so and closed.

use crate::http::{Conn, ReadError, Request};
use crate::limits::*;
use crate::owner::{Ask, Inbox};
use marblebarrow_core::event::{Answer, UserRequest};
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::wire::{Elsewhere, Report};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// What goes back over HTTP.
struct Response {
    status: u16,
    retry_after: Option<u32>,
    body: Vec<u8>,
}

impl Response {
    fn plain(status: u16, why: &str) -> Self {
        let body = cbor::encode(&std::collections::BTreeMap::from([("error", why)]));
        Self { status, retry_after: None, body }
    }
    fn later(status: u16, after: u32, why: &str) -> Self {
        Self { retry_after: Some(after), ..Self::plain(status, why) }
    }
}

/// Serves connections for ever.
pub fn serve(listener: &TcpListener, inbox: &Inbox, most: usize) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept() else {
            // Out of sockets, most likely: leave the others time to end.
            thread::sleep(std::time::Duration::from_millis(20));
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= most {
            open.fetch_sub(1, Ordering::Relaxed);
            refuse(stream);
            continue;
        }
        let (inbox, open2) = (inbox.clone(), open.clone());
        let crowd = (most as f64 * CROWDED_SHARE) as usize;
        let spawned = thread::Builder::new().stack_size(STACK).spawn(move || {
            if let Ok(conn) = Conn::new(stream) {
                converse(conn, &inbox, || open2.load(Ordering::Relaxed) > crowd);
            }
            open2.fetch_sub(1, Ordering::Relaxed);
        });
        if spawned.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn refuse(stream: TcpStream) {
    let r = Response::later(503, marblebarrow_core::consts::RETRY_FULL_S, "too many connections");
    if let Ok(mut conn) = Conn::new(stream) {
        let _ = conn.respond(r.status, r.retry_after, &r.body, true);
    }
}

fn converse(mut conn: Conn, inbox: &Inbox, crowded: impl Fn() -> bool) {
    loop {
        let (response, close) = match conn.read_request(IDLE_TIME) {
            Ok(req) => {
                // Workers need their connections; where these are short, users
                // make a new one for each question.
                let close = req.close || req.path != "/hello" && crowded();
                (route(&req, inbox), close)
            }
            Err(ReadError::Closed | ReadError::Io(_) | ReadError::TooSlow) => return,
            Err(ReadError::Malformed) => (Response::plain(400, "malformed request"), true),
            Err(ReadError::TooLarge) => (Response::plain(413, "request too large"), true),
        };
        if conn.respond(response.status, response.retry_after, &response.body, close).is_err()
            || close
        {
            return;
        }
    }
}

fn route(req: &Request, inbox: &Inbox) -> Response {
    let path = req.path.split('?').next().unwrap_or_default();
    match (req.method.as_str(), path) {
        ("GET", "/healthz") => ask(inbox, Ask::User(UserRequest::Health)),
        ("POST", "/hello") => match cbor::decode::<Report>(&req.body) {
            Ok(report) => ask(inbox, Ask::Report(Box::new(report))),
            Err(e) => Response::plain(400, &e.to_string()),
        },
        ("POST", "/api/jobs") => match JobSpec::parse(&req.body) {
            Ok(spec) => ask(inbox, Ask::User(UserRequest::Submit(Box::new(spec)))),
            Err(e) => Response::plain(400, &e.to_string()),
        },
        (method, path) => {
            let Some(rest) = path.strip_prefix("/api/jobs/") else {
                let known = ["/healthz", "/hello", "/api/jobs"].contains(&path);
                return Response::plain(if known { 405 } else { 404 }, "no such resource");
            };
            let (id, abort) = match rest.strip_suffix("/abort") {
                Some(id) => (id, true),
                None => (rest, false),
            };
            if !JobId::well_formed(id) {
                return Response::plain(404, "no such job");
            }
            match (method, abort) {
                ("GET", false) => ask(inbox, Ask::User(UserRequest::Poll(JobId::new(id)))),
                ("POST", true) => ask(inbox, Ask::User(UserRequest::Cancel(JobId::new(id)))),
                _ => Response::plain(405, "no such method here"),
            }
        }
    }
}

fn ask(inbox: &Inbox, ask: Ask) -> Response {
    let answer = inbox.ask(ask, ANSWER_TIME);
    match answer {
        Answer::Job(status, job) => {
            Response { status, retry_after: None, body: cbor::encode(&job) }
        }
        Answer::Healthy => Response::plain(200, "none"),
        Answer::Report(r) => Response { status: 200, retry_after: None, body: cbor::encode(&r) },
        Answer::Elsewhere(node) => {
            let body = Elsewhere { report_to: node.map(|n| n.to_string()) };
            Response { status: 421, retry_after: None, body: cbor::encode(&body) }
        }
        Answer::NotFound => Response::plain(404, "no such job"),
        Answer::NeverRuns(why) => Response::plain(422, why),
        Answer::Full(after) => Response::later(429, after, "too much is asked"),
        Answer::Unavailable(after) => Response::later(503, after, "can't decide now"),
    }
}
