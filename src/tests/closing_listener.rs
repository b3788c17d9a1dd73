//! A server's side that closes its first connections unread, and answers requests on others.

use crate::limits::STALE_AFTER;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

/// The listener's address, and what came.
pub struct ClosingListener {
    pub addr: SocketAddr,
    closed: mpsc::Receiver<()>,
    requests: Arc<AtomicUsize>,
}

impl ClosingListener {
    /// Closes that many connections unread.
    pub fn new(closes: usize) -> Self {
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
        Self { addr, closed, requests }
    }

    /// Stands still until a connection is closed, and so long that its user looks at it again.
    pub fn stand_still(&self) {
        self.closed.recv().expect("closed");
        thread::sleep(STALE_AFTER + STALE_AFTER / 4);
    }

    /// Requests that came.
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
