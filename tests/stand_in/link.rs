//! Simulated network link between cells: forwards connections that one cell opens to another
//! until the link is cut.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How often a forwarded connection checks whether the link was cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards connections from one cell to one controller of another cell.
pub struct Link {
    /// Address to which the source cell connects.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a link that forwards to `target`.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("addr");
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || forward(&stream, target, &cut));
            }
        });
        Self { addr, cut }
    }

    /// Cuts the link (`true`) or restores it (`false`). Open connections are closed by a cut.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn forward(stream: &TcpStream, target: SocketAddr, cut: &AtomicBool) {
    if cut.load(Ordering::Relaxed) {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target) else { return };
    let ended = Arc::new(AtomicBool::new(false));
    for (from, to) in [(stream, &upstream), (&upstream, stream)] {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let ended = ended.clone();
        thread::spawn(move || {
            let _ = std::io::copy(&mut from, &mut to);
            ended.store(true, Ordering::Relaxed);
        });
    }
    while !ended.load(Ordering::Relaxed) && !cut.load(Ordering::Relaxed) {
        thread::sleep(CUT_POLL_INTERVAL);
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = upstream.shutdown(Shutdown::Both);
}
