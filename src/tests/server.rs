use super::*;
use crate::event_queue::{self, Question};
use marblebarrow_core::event::{Answer, UserRequest};
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::time::Duration;

// The owner's stand-in refuses all but health checks.
fn front(most: usize) -> SocketAddr {
    let (events, receiver) = event_queue::channel();
    std::thread::spawn(move || {
        receiver.serve_each(|ask| match ask {
            Question::User(UserRequest::Health) => Answer::Healthy,
            _ => Answer::Unavailable(1),
        });
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let addr = listener.local_addr().expect("address");
    let bounds = Bounds {
        connections: most,
        user_threads: 2,
        worker_threads: 2,
        idle_timeout: Duration::from_secs(3_600),
    };
    let front =
        HttpServer::new(listener, &events, &Authority::default(), bounds).expect("front starts");
    std::thread::spawn(move || front.run());
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).expect("connects")
}

fn ask(stream: &mut TcpStream, method: &str, path: &str) -> String {
    let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    first_line(stream)
}

/// Reads an answer, for its first line.
fn first_line(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let mut chunk = [0u8; 512];
    loop {
        let text = String::from_utf8_lossy(&got).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("Content-Length: "))
                .map_or(0, |l| l.trim().parse::<usize>().expect("a length"));
            if got.len() >= end + 4 + length {
                return text.lines().next().unwrap_or_default().to_owned();
            }
        }
        match stream.read(&mut chunk).expect("an answer") {
            0 => return String::new(),
            n => got.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Far more connections than threads: each is served, again and again,
/// while the others stay open and idle.
#[test]
fn idle_connections_hold_no_thread() {
    let addr = front(200);
    let mut all: Vec<TcpStream> = (0..60).map(|_| connect(addr)).collect();
    for _ in 0..3 {
        for stream in &mut all {
            assert_eq!(ask(stream, "GET", "/healthz"), "HTTP/1.1 200 OK");
        }
    }
}

/// Half a request on as many connections as users have threads doesn't keep
/// a worker waiting.
#[test]
fn users_do_not_crowd_out_reports() {
    let addr = front(200);
    let mut slow: Vec<TcpStream> = (0..2).map(|_| connect(addr)).collect();
    for stream in &mut slow {
        stream.write_all(b"GET /api/jobs/req-0").expect("sent");
    }
    let mut check = connect(addr);
    assert_eq!(ask(&mut check, "GET", "/healthz"), "HTTP/1.1 200 OK");
    let mut worker = connect(addr);
    assert_eq!(ask(&mut worker, "POST", "/hello"), "HTTP/1.1 400 Bad Request");
}

/// What comes in pieces is served by a thread, what comes whole at once, in turns on
/// one connection.
#[test]
fn requests_whole_and_in_pieces_are_answered() {
    let addr = front(200);
    let mut check = connect(addr);
    for _ in 0..3 {
        assert_eq!(ask(&mut check, "GET", "/healthz"), "HTTP/1.1 200 OK");
        check.write_all(b"GET /healthz HTTP/1.1\r\nContent-").expect("sent");
        // The first piece has arrived: another connection was answered since.
        assert_eq!(ask(&mut connect(addr), "GET", "/healthz"), "HTTP/1.1 200 OK");
        check.write_all(b"Length: 0\r\n\r\n").expect("sent");
        assert_eq!(first_line(&mut check), "HTTP/1.1 200 OK");
    }
    // Not what its first request made of it: a user's question on it is answered too.
    let answer = ask(&mut check, "GET", "/api/jobs/req-000001");
    assert_eq!(answer, "HTTP/1.1 503 Service Unavailable");
}

/// Beyond the bound a connection is told so; an idle user's makes room.
#[test]
fn a_full_house_refuses_or_makes_room() {
    let addr = front(2);
    let mut checks: Vec<TcpStream> = (0..2).map(|_| connect(addr)).collect();
    for stream in &mut checks {
        assert_eq!(ask(stream, "GET", "/healthz"), "HTTP/1.1 200 OK");
    }
    // Guests: a user is told to come back, a worker is heard.
    let mut user = connect(addr);
    let answer = ask(&mut user, "GET", "/api/jobs/req-000001");
    assert_eq!(answer, "HTTP/1.1 503 Service Unavailable");
    let mut worker = connect(addr);
    assert_eq!(ask(&mut worker, "POST", "/hello"), "HTTP/1.1 400 Bad Request");
}
