use super::*;
use crate::event_queue::{self, ClientRequest};
use marblebarrow_core::event::{Answer, UserRequest};
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

// Starts a server whose fake event loop refuses all requests but health checks.
fn start_server(max_connections: usize) -> SocketAddr {
    let (events, receiver) = event_queue::channel();
    std::thread::spawn(move || {
        receiver.serve_each(|ask| match ask {
            ClientRequest::User(UserRequest::Health) => Answer::Healthy,
            _ => Answer::Unavailable(1),
        });
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let bounds = Bounds {
        connections: max_connections,
        user_threads: 2,
        worker_threads: 2,
        idle_timeout: Duration::from_secs(3_600),
    };
    let server =
        HttpServer::new(listener, &events, &Authority::default(), bounds).expect("server starts");
    std::thread::spawn(move || server.run());
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).expect("connect")
}

fn ask(stream: &mut TcpStream, method: &str, path: &str) -> String {
    let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("send");
    first_line(stream)
}

/// Reads a complete response and returns its first line.
fn first_line(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let mut chunk = [0u8; 512];
    loop {
        let text = String::from_utf8_lossy(&got).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("Content-Length: "))
                .map_or(0, |l| l.trim().parse::<usize>().expect("numeric Content-Length"));
            if got.len() >= end + 4 + length {
                return text.lines().next().unwrap_or_default().to_owned();
            }
        }
        match stream.read(&mut chunk).expect("read response") {
            0 => return String::new(),
            n => got.extend_from_slice(&chunk[..n]),
        }
    }
}

/// With far more connections than threads, each is served repeatedly while the others stay open
/// and idle.
#[test]
fn idle_connections_hold_no_thread() {
    let addr = start_server(200);
    let mut all: Vec<TcpStream> = (0..60).map(|_| connect(addr)).collect();
    for _ in 0..3 {
        for stream in &mut all {
            assert_eq!(ask(stream, "GET", "/healthz"), "HTTP/1.1 200 OK");
        }
    }
}

/// Incomplete requests that occupy all user threads don't delay workers or health checks.
#[test]
fn slow_users_do_not_delay_workers() {
    let addr = start_server(200);
    let mut slow: Vec<TcpStream> = (0..2).map(|_| connect(addr)).collect();
    for stream in &mut slow {
        stream.write_all(b"GET /api/jobs/req-0").expect("send");
    }
    let mut check = connect(addr);
    assert_eq!(ask(&mut check, "GET", "/healthz"), "HTTP/1.1 200 OK");
    let mut worker = connect(addr);
    assert_eq!(ask(&mut worker, "POST", "/hello"), "HTTP/1.1 400 Bad Request");
}

/// Alternates complete requests, which are served without a pool thread, and fragmented ones,
/// which need one, on the same connection.
#[test]
fn complete_and_fragmented_requests_are_answered() {
    let addr = start_server(200);
    let mut check = connect(addr);
    for _ in 0..3 {
        assert_eq!(ask(&mut check, "GET", "/healthz"), "HTTP/1.1 200 OK");
        check.write_all(b"GET /healthz HTTP/1.1\r\nContent-").expect("send");
        // By now the first fragment has arrived: another connection has been answered since.
        assert_eq!(ask(&mut connect(addr), "GET", "/healthz"), "HTTP/1.1 200 OK");
        check.write_all(b"Length: 0\r\n\r\n").expect("send");
        assert_eq!(first_line(&mut check), "HTTP/1.1 200 OK");
    }
    // The first request classified the connection as a worker's; a user's request on it is still
    // answered.
    let answer = ask(&mut check, "GET", "/api/jobs/req-000001");
    assert_eq!(answer, "HTTP/1.1 503 Service Unavailable");
}

/// Beyond the connection limit a user is refused with 503, while a worker is served.
#[test]
fn beyond_the_connection_limit_users_are_refused_and_workers_served() {
    let addr = start_server(2);
    let mut checks: Vec<TcpStream> = (0..2).map(|_| connect(addr)).collect();
    for stream in &mut checks {
        assert_eq!(ask(stream, "GET", "/healthz"), "HTTP/1.1 200 OK");
    }
    // Both connections exceed the limit: the user is told to retry later, the worker is served.
    let mut user = connect(addr);
    let answer = ask(&mut user, "GET", "/api/jobs/req-000001");
    assert_eq!(answer, "HTTP/1.1 503 Service Unavailable");
    let mut worker = connect(addr);
    assert_eq!(ask(&mut worker, "POST", "/hello"), "HTTP/1.1 400 Bad Request");
}
