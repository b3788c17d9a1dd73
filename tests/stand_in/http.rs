//! Minimal HTTP/1.1 server and client for the simulated services.

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How the server responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends a response with this status and body.
    Answer(u16, Vec<u8>),
    /// Sends a header with this `Content-Length`, then closes without sending the body.
    HeaderOnly(usize),
    /// Closes the connection without a response.
    Close,
}

/// Serves each connection on its own thread, calling `handler` with method, path and body.
/// Returns the listening address.
pub fn serve(handler: impl Fn(&str, &str, &[u8]) -> Reply + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr").to_string();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

type Handler = dyn Fn(&str, &str, &[u8]) -> Reply;

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let mut buf = Vec::new();
    while let Some((method, path, body)) = read_request(&mut stream, &mut buf) {
        let head = |status, length| {
            format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes()
        };
        let sent = match handler(&method, &path, &body) {
            Reply::Answer(status, body) => {
                stream.write_all(&[head(status, body.len()), body].concat())
            }
            Reply::HeaderOnly(length) => {
                let _ = stream.write_all(&head(200, length));
                return;
            }
            Reply::Close => return,
        };
        if sent.is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, String, Vec<u8>)> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut req = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(n)) = req.parse(buf) {
            let (method, path) = (req.method?.to_owned(), req.path?.to_owned());
            let len = length(req.headers);
            while buf.len() < n + len {
                read_more(stream, buf)?;
            }
            let body = buf[n..n + len].to_vec();
            buf.drain(..n + len);
            return Some((method, path, body));
        }
        read_more(stream, buf)?;
    }
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    h.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok()).unwrap_or(0)
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0u8; 4096];
    match stream.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            Some(())
        }
        _ => None,
    }
}

/// A client connection that is reused between requests.
#[derive(Default)]
pub struct Connection {
    stream: Option<(String, TcpStream)>,
}

impl Connection {
    /// Sends a request, reusing the open connection if it goes to the same address. Returns
    /// `None` if there is no response.
    pub fn request(
        &mut self,
        addr: &str,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let reusable = self.stream.take().filter(|(to, _)| to == addr);
        let mut stream = match reusable {
            Some((_, stream)) => stream,
            None => {
                let to = addr.parse().ok()?;
                TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?
            }
        };
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        // The server may reject a large body before reading all of it, so a failed write must
        // not keep the response from being read.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        let (answer, close) = read_response(&mut stream)?;
        if !close {
            self.stream = Some((addr.to_owned(), stream));
        }
        Some(answer)
    }
}

/// Reads a response. The flag says whether the server closes the connection afterwards.
fn read_response(stream: &mut TcpStream) -> Option<((u16, Vec<u8>), bool)> {
    let mut buf = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut res = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(n)) = res.parse(&buf) {
            let (status, len) = (res.code?, length(res.headers));
            let close = res.headers.iter().any(|h| h.name.eq_ignore_ascii_case("connection"));
            while buf.len() < n + len {
                read_more(stream, &mut buf)?;
            }
            return Some(((status, buf[n..n + len].to_vec()), close));
        }
        read_more(stream, &mut buf)?;
    }
}

/// Sends one request on a new connection.
pub fn request(
    addr: &str,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    Connection::default().request(addr, method, path, body, wait)
}
