//! Parsing of request and response heads.

use super::error::ReadError;
use crate::limits::HEADERS_MAX;

/// A message's length, as given by its head, and whether the connection closes after it.
#[derive(Clone, Copy, Debug)]
pub struct Framing {
    /// Length of the head, bytes.
    pub head_len: usize,
    /// Length of the body, bytes.
    pub body_len: usize,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

impl Framing {
    /// Length of the whole message, bytes.
    pub fn message_len(&self) -> usize {
        self.head_len + self.body_len
    }
}

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// The request's length and connection handling.
    pub framing: Framing,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
}

/// The head of a response.
#[derive(Debug)]
pub struct ResponseStatus {
    /// The response's length and connection handling.
    pub framing: Framing,
    /// HTTP status.
    pub status: u16,
}

/// The header values that concern the body and the connection.
struct BodyHeaders {
    body_len: usize,
    close: bool,
}

/// Parses a request's head; `None` while `buffer` doesn't contain all of it.
pub fn parse_request(buffer: &[u8]) -> Result<Option<RequestHead>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let head_len = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ReadError::Malformed),
    };
    let BodyHeaders { body_len, close } = read_headers(request.headers, true)?;
    let close = close || request.version == Some(0);
    Ok(Some(RequestHead {
        framing: Framing { head_len, body_len, close },
        method: request.method.unwrap_or_default().to_owned(),
        path: request.path.unwrap_or_default().to_owned(),
    }))
}

/// Parses a response's head; `None` while `buffer` doesn't contain all of it.
pub fn parse_response(buffer: &[u8]) -> Result<Option<ResponseStatus>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let head_len = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ReadError::Malformed),
    };
    let BodyHeaders { body_len, close } = read_headers(response.headers, false)?;
    let close = close || response.version == Some(0);
    let framing = Framing { head_len, body_len, close };
    Ok(Some(ResponseStatus { framing, status: response.code.unwrap_or(0) }))
}

fn read_headers(
    headers: &[httparse::Header<'_>],
    is_request: bool,
) -> Result<BodyHeaders, ReadError> {
    let mut length = None;
    let mut close = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let given = value.parse::<usize>().map_err(|_| ReadError::Malformed)?;
            if length.is_some_and(|before| before != given) {
                return Err(ReadError::Malformed);
            }
            length = Some(given);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") && is_request {
            // Only Content-Length is accepted: two ways to give the length would allow request
            // smuggling.
            return Err(ReadError::Malformed);
        }
    }
    Ok(BodyHeaders { body_len: length.unwrap_or(0), close })
}
