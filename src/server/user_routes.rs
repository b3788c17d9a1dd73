//! Routes for users (submission, poll, cancellation) and operators.

use super::response::Response;
use crate::event_queue::ClientRequest;
use crate::http::Request;
use marblebarrow_core::event::UserRequest;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;

/// Converts a request to `path` into a request for the core, or returns the error response.
pub fn route(request: &Request, path: &str) -> Result<ClientRequest, Response> {
    match (request.method.as_str(), path) {
        ("GET", "/api/members") => Ok(ClientRequest::Members),
        ("POST", "/api/jobs") => submission(&request.body),
        (_, "/api/members" | "/api/jobs") => Err(Response::error(405, "no such resource")),
        (method, path) => match path.strip_prefix("/api/jobs/") {
            Some(job_path) => job_request(method, job_path),
            None => Err(Response::error(404, "no such resource")),
        },
    }
}

/// A submission for the core. One that is invalid goes there too if it names a job, which may have
/// been accepted before.
fn submission(body: &[u8]) -> Result<ClientRequest, Response> {
    let request = match JobSpec::parse(body) {
        Ok(spec) => UserRequest::Submit(Box::new(spec)),
        Err(error) => match JobSpec::id_in(body) {
            Some(id) => UserRequest::SubmitInvalid(id, error),
            None => return Err(Response::error(400, &error.to_string())),
        },
    };
    Ok(ClientRequest::User(request))
}

fn job_request(method: &str, job_path: &str) -> Result<ClientRequest, Response> {
    let (id, abort) = match job_path.strip_suffix("/abort") {
        Some(id) => (id, true),
        None => (job_path, false),
    };
    if !JobId::is_well_formed(id) {
        return Err(Response::error(404, "no such job"));
    }
    match (method, abort) {
        ("GET", false) => Ok(ClientRequest::User(UserRequest::Poll(JobId::new(id)))),
        ("POST", true) => Ok(ClientRequest::User(UserRequest::Cancel(JobId::new(id)))),
        _ => Err(Response::error(405, "no such method here")),
    }
}
