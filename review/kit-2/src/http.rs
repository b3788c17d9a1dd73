//! A small HTTP/1.1 server and client over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The answer of a handler; `None` closes the connection without an answer.
pub type Reply = Option<(u16, Vec<u8>)>;

/// Serves on a free port; a thread for each connection.
pub fn serve(handler: impl Fn(&str, &str, &[u8]) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                connection(stream, &*handler);
            });
        }
    });
    addr
}

fn connection(mut s: TcpStream, handler: &dyn Fn(&str, &str, &[u8]) -> Reply) {
    let _ = s.set_nodelay(true);
    let mut buf = Vec::new();
    loop {
        let Some((head, body)) = message(&mut s, &mut buf, None) else { return };
        let mut first = head.lines().next().unwrap_or("").split(' ');
        let (method, path) = (first.next().unwrap_or(""), first.next().unwrap_or(""));
        let Some((status, body)) = handler(method, path, &body) else { return };
        let mut out =
            format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        out.extend(body);
        if s.write_all(&out).is_err() {
            return;
        }
    }
}

/// Reads one message: its head and body.
fn message(
    s: &mut TcpStream,
    buf: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let len = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let total = end + 4 + len;
            while buf.len() < total {
                more(s, buf, until)?;
            }
            let body = buf[end + 4..total].to_vec();
            buf.drain(..total);
            return Some((head, body));
        }
        more(s, buf, until)?;
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|l| {
        let (k, v) = l.split_once(':')?;
        k.eq_ignore_ascii_case(name).then_some(v.trim())
    })
}

fn more(s: &mut TcpStream, buf: &mut Vec<u8>, until: Option<Instant>) -> Option<()> {
    if let Some(until) = until {
        let left = until.checked_duration_since(Instant::now())?;
        s.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    }
    let mut chunk = [0u8; 8192];
    match s.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            Some(())
        }
        Err(e) if e.kind() == std::io::ErrorKind::Interrupted => Some(()),
        _ => None,
    }
}

/// What a call brought.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: u64,
}

/// A client that keeps one connection.
#[derive(Default)]
pub struct Client(Option<(SocketAddr, TcpStream)>);

impl Client {
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<Answer> {
        let until = Instant::now() + wait;
        let kept = self.0.take().filter(|(to, _)| *to == addr).map(|(_, s)| s);
        let reused = kept.is_some();
        let stream = match kept {
            Some(s) => s,
            None => TcpStream::connect_timeout(&addr, wait.min(Duration::from_secs(1))).ok()?,
        };
        let answer = self.exchange(stream, addr, method, path, body, until);
        // A kept connection that the server closed while it was idle is opened again.
        if answer.is_none() && reused && method == "GET" && Instant::now() < until {
            let fresh = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
            return self.exchange(fresh, addr, method, path, body, until);
        }
        answer
    }

    fn exchange(
        &mut self,
        mut s: TcpStream,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        until: Instant,
    ) -> Option<Answer> {
        let _ = s.set_nodelay(true);
        let _ = s.set_write_timeout(Some(Duration::from_secs(2)));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        s.write_all(&[head.as_bytes(), body].concat()).ok()?;
        let mut buf = Vec::new();
        let (head, body) = message(&mut s, &mut buf, Some(until))?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let retry_after = header(&head, "retry-after").and_then(|v| v.parse().ok()).unwrap_or(0);
        if !header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            self.0 = Some((addr, s));
        }
        Some(Answer { status, body, retry_after })
    }
}

/// One call on a new connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> Option<Answer> {
    Client::default().call(addr, method, path, body, wait)
}
