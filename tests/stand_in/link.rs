//! Stand-in of the network between cells: forwards connections one way, until it is cut.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How often a connection looks whether it was cut.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Connections from one cell to a controller of another.
pub struct Link {
    /// Where they are made.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Forwards to that address.
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

    /// Nothing passes from now on, or again.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn forward(stream: &TcpStream, target: SocketAddr, cut: &AtomicBool) {
    if cut.load(Ordering::Relaxed) {
        return;
    }
    let Ok(onward) = TcpStream::connect(target) else { return };
    let ended = Arc::new(AtomicBool::new(false));
    for (from, to) in [(stream, &onward), (&onward, stream)] {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let ended = ended.clone();
        thread::spawn(move || {
            let _ = std::io::copy(&mut from, &mut to);
            ended.store(true, Ordering::Relaxed);
        });
    }
    while !ended.load(Ordering::Relaxed) && !cut.load(Ordering::Relaxed) {
        thread::sleep(LOOK_EVERY);
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = onward.shutdown(Shutdown::Both);
}
