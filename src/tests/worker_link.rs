//! Direct commands over real sockets.
//!
//! What happens: a process stands still after it has checked that it may act, and goes on when
//! its connection to the worker is closed and another leads. Why: a connection idle for 0.8 s
//! was looked at before its use, and where it was found closed the command went out over a new
//! one, made after the check, with up to 0.6 s more for connecting. What showed it: the test
//! below, in which the worker's side took a request on the second connection.

use super::*;
use crate::limits::STALE_AFTER;
use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

/// A worker's side that closes its first connections unread, and answers requests on others.
struct Listener {
    addr: SocketAddr,
    /// Tells when a connection was closed unread.
    closed: mpsc::Receiver<()>,
    /// Requests read.
    requests: Arc<AtomicUsize>,
}

fn listen(closes: usize) -> Listener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let requests = Arc::new(AtomicUsize::new(0));
    let (told, closed) = mpsc::channel();
    let counted = requests.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            if number < closes {
                drop(stream);
                let _ = told.send(());
                continue;
            }
            answer(stream, &counted);
        }
    });
    Listener { addr, closed, requests }
}

fn answer(mut stream: std::net::TcpStream, requests: &AtomicUsize) {
    let mut chunk = [0u8; 4096];
    if stream.read(&mut chunk).is_ok_and(|n| n > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
    }
}

fn commands_to(addr: SocketAddr) -> WorkerCall {
    let commands = DirectCommands { fencing_token: 1, agent_epoch: 1, commands: Vec::new() };
    WorkerCall { op: OpId(1), addr, commands }
}

/// The process stands still between the check and the bytes, and its connection is closed
/// meanwhile: nothing is sent over another one.
#[test]
fn a_command_goes_out_only_over_the_connection_made_before_the_check() {
    let worker = listen(1);
    let stands_still = |_| {
        worker.closed.recv().expect("closed");
        thread::sleep(STALE_AFTER + STALE_AFTER / 4);
        true
    };
    let result = call(&commands_to(worker.addr), stands_still);
    assert_eq!(result, DirectResult::NotSent);
    assert_eq!(worker.requests.load(Ordering::SeqCst), 0, "a command went out");
}

/// A process that may act sends its command; one that may not, sends none.
#[test]
fn a_command_goes_out_if_it_may() {
    let worker = listen(0);
    assert_eq!(call(&commands_to(worker.addr), |_| false), DirectResult::NotSent);
    let worker = listen(0);
    // Refused by the stand-in as malformed, which says that it came.
    assert_eq!(call(&commands_to(worker.addr), |_| true), DirectResult::NotSent);
    assert_eq!(worker.requests.load(Ordering::SeqCst), 1);
}
