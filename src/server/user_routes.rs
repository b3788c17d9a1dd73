//! Requests of users (submission, poll, cancellation) and of operators.

use super::response::Response;
use crate::event_queue::Question;
use crate::http::Request;
use marblebarrow_core::event::UserRequest;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;

/// The question that a request to `path` asks, or the response to one that can't be asked.
pub fn route(request: &Request, path: &str) -> Result<Question, Response> {
    match (request.method.as_str(), path) {
        ("GET", "/api/members") => Ok(Question::Members),
        ("POST", "/api/jobs") => submission(&request.body),
        (_, "/api/members" | "/api/jobs") => Err(Response::error(405, "no such resource")),
        (method, path) => match path.strip_prefix("/api/jobs/") {
            Some(job_path) => about_job(method, job_path),
            None => Err(Response::error(404, "no such resource")),
        },
    }
}

fn submission(body: &[u8]) -> Result<Question, Response> {
    match JobSpec::parse(body) {
        Ok(spec) => Ok(Question::User(UserRequest::Submit(Box::new(spec)))),
        Err(error) => Err(Response::error(400, &error.to_string())),
    }
}

fn about_job(method: &str, job_path: &str) -> Result<Question, Response> {
    let (id, abort) = match job_path.strip_suffix("/abort") {
        Some(id) => (id, true),
        None => (job_path, false),
    };
    if !JobId::well_formed(id) {
        return Err(Response::error(404, "no such job"));
    }
    match (method, abort) {
        ("GET", false) => Ok(Question::User(UserRequest::Poll(JobId::new(id)))),
        ("POST", true) => Ok(Question::User(UserRequest::Cancel(JobId::new(id)))),
        _ => Err(Response::error(405, "no such method here")),
    }
}
