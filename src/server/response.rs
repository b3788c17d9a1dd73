//! Responses: the core's answers as HTTP status, headers and CBOR body.

use crate::http::ResponseHead;
use marblebarrow_core::event::Answer;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::wire::{LeaderRedirect, UnknownDependencies};
use serde::Serialize;

/// An HTTP response.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the Retry-After header, seconds.
    pub retry_after: Option<u32>,
    /// CBOR body.
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// A status with a body whose `error` field gives the reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Self::with_body(status, &ErrorBody { error: reason })
    }

    /// A temporary error with a Retry-After header.
    pub fn retry_later(status: u16, seconds: u32, reason: &str) -> Self {
        Self { retry_after: Some(seconds), ..Self::error(status, reason) }
    }

    /// 421, naming the leader if it is known.
    pub fn misdirected(leader: Option<String>) -> Self {
        Self::with_body(421, &LeaderRedirect { report_to: leader })
    }

    /// Converts an answer of the core.
    pub fn from_answer(answer: Answer) -> Self {
        match answer {
            Answer::Job(status, job) => Self::with_body(status, &job),
            Answer::Healthy => Self::error(200, "none"),
            Answer::Members(members) => Self::with_body(200, &members),
            Answer::Heartbeat(heartbeat) => Self::with_body(200, &heartbeat),
            Answer::RedirectTo(node) => Self::misdirected(node.map(|n| n.to_string())),
            Answer::NotFound => Self::error(404, "no such job"),
            Answer::Invalid(error) => Self::error(400, &error.to_string()),
            Answer::NeverRuns(reason) => Self::error(422, reason),
            Answer::UnknownDependencies(waits_on) => Self::unknown_dependencies(waits_on),
            Answer::Overloaded(seconds) => Self::retry_later(429, seconds, "too much is asked"),
            Answer::Unavailable(seconds) => Self::retry_later(503, seconds, "can't decide now"),
        }
    }

    /// The fields of the response head besides the body's length.
    pub fn head(&self, close: bool) -> ResponseHead {
        ResponseHead { status: self.status, retry_after: self.retry_after, close }
    }

    /// 422, naming the DAG dependencies that were never accepted.
    fn unknown_dependencies(waits_on: Vec<JobId>) -> Self {
        let error = "names jobs that were never accepted".to_owned();
        Self::with_body(422, &UnknownDependencies { error, waits_on })
    }

    fn with_body(status: u16, body: &impl Serialize) -> Self {
        Self { status, retry_after: None, body: cbor::encode(body) }
    }
}
