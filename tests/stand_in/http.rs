//! HTTP for the stand-ins: a server and a client.

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with this status and body.
    Answer(u16, Vec<u8>),
    /// Announces a body of that many bytes, sends none of it and closes.
    Announced(usize),
    /// Closes without an answer.
    Close,
}

/// Serves connections with a handler of method, path and body, each on a thread; the
/// address.
pub fn serve(handler: impl Fn(&str, &str, &[u8]) -> Reply + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr").to_string();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || converse(stream, &*handler));
        }
    });
    addr
}

type Handler = dyn Fn(&str, &str, &[u8]) -> Reply;

fn converse(mut stream: TcpStream, handler: &Handler) {
    let mut buf = Vec::new();
    while let Some((method, path, body)) = read_request(&mut stream, &mut buf) {
        let head = |status, length| {
            format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes()
        };
        let sent = match handler(&method, &path, &body) {
            Reply::Answer(status, body) => {
                stream.write_all(&[head(status, body.len()), body].concat())
            }
            Reply::Announced(length) => {
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
                fill(stream, buf)?;
            }
            let body = buf[n..n + len].to_vec();
            buf.drain(..n + len);
            return Some((method, path, body));
        }
        fill(stream, buf)?;
    }
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    h.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok()).unwrap_or(0)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0u8; 4096];
    match stream.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            Some(())
        }
        _ => None,
    }
}

/// A client's connection, kept between requests.
#[derive(Default)]
pub struct Connection {
    stream: Option<(String, TcpStream)>,
}

impl Connection {
    /// Asks, over the connection kept if it leads there; `None`: no answer.
    pub fn ask(
        &mut self,
        addr: &str,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let kept = self.stream.take().filter(|(to, _)| to == addr);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => {
                let to = addr.parse().ok()?;
                TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?
            }
        };
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        // A refusal may come before a large body is taken: read the answer anyway.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        let (answer, close) = read_answer(&mut stream)?;
        if !close {
            self.stream = Some((addr.to_owned(), stream));
        }
        Some(answer)
    }
}

/// Reads an answer; whether the other side closes then.
fn read_answer(stream: &mut TcpStream) -> Option<((u16, Vec<u8>), bool)> {
    let mut buf = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut res = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(n)) = res.parse(&buf) {
            let (status, len) = (res.code?, length(res.headers));
            let close = res.headers.iter().any(|h| h.name.eq_ignore_ascii_case("connection"));
            while buf.len() < n + len {
                fill(stream, &mut buf)?;
            }
            return Some(((status, buf[n..n + len].to_vec()), close));
        }
        fill(stream, &mut buf)?;
    }
}

/// Asks once, on a connection of its own.
pub fn ask(
    addr: &str,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    Connection::default().ask(addr, method, path, body, wait)
}
