//! HTTP/1.1 on loopback: a thread per connection for servers, one connection per request for
//! clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

/// A message's first line and body.
struct Message {
    first: String,
    body: Vec<u8>,
    close: bool,
}

fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    end: Option<Instant>,
) -> Option<Message> {
    let mut chunk = [0u8; 8192];
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let (mut length, mut close) = (0, false);
            for line in lines {
                let (name, value) = line.split_once(':')?;
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().ok()?,
                    "connection" => close = value.trim().eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
            if buffer.len() >= at + 4 + length {
                let body = buffer[at + 4..at + 4 + length].to_vec();
                buffer.drain(..at + 4 + length);
                return Some(Message { first, body, close });
            }
        }
        if let Some(end) = end {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            stream.set_read_timeout(Some(left)).ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Serves requests (method, path, body) on a new port of the loopback address, and returns the
/// address.
pub fn serve(handle: impl Fn(&str, &str, &[u8]) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &(impl Fn(&str, &str, &[u8]) -> Reply + ?Sized),
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer, None) {
        let mut words = message.first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let Reply::Answer(status, body) = handle(method, path, &message.body) else { return };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out = head.into_bytes();
        out.extend(body);
        if stream.write_all(&out).is_err() || message.close {
            return;
        }
    }
}

/// Sends a request over a connection of its own; `None` if no answer came in time.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).ok()?;
    let message = read_message(&mut stream, &mut Vec::new(), Some(end))?;
    let status = message.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, message.body))
}
