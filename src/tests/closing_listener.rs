//! A test server that closes its first connections without reading and answers requests on later
//! ones.

use crate::limits::STALE_AFTER;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

/// A running test server with its counters.
pub struct ClosingListener {
    pub addr: SocketAddr,
    closed: mpsc::Receiver<()>,
    requests: Arc<AtomicUsize>,
}

impl ClosingListener {
    /// Starts a server that closes the first `closes` connections.
    pub fn new(closes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let requests = Arc::new(AtomicUsize::new(0));
        let (closed_sender, closed) = mpsc::channel();
        let counted = requests.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if number < closes {
                    drop(stream);
                    let _ = closed_sender.send(());
                    continue;
                }
                answer(stream, &counted);
            }
        });
        Self { addr, closed, requests }
    }

    /// Blocks until a connection is closed, and then for longer than `STALE_AFTER`, so that the
    /// client checks the connection before it is used again.
    pub fn wait_until_stale(&self) {
        self.closed.recv().expect("closed");
        thread::sleep(STALE_AFTER + STALE_AFTER / 4);
    }

    /// Number of requests received.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn answer(mut stream: TcpStream, requests: &AtomicUsize) {
    let mut chunk = [0u8; 4096];
    if stream.read(&mut chunk).is_ok_and(|n| n > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
    }
}
