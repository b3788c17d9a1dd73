use super::*;
use crate::event_queue::{self, Batch, QueueMessage};
use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// A state service that knows no key.
fn empty_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut chunk = [0u8; 4096];
                while stream.read(&mut chunk).is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// What the state service answers goes before all that waits: a submission that is written
/// already doesn't wait once more behind the reports that came meanwhile.
#[test]
fn answers_of_the_store_go_before_what_waits() {
    let (events, receiver) = event_queue::channel();
    let timing = WatchTiming { block: Duration::from_secs(1), slack: Duration::from_secs(1) };
    let link = StoreLink::start(empty_store(), &events, Clock::start(), timing).expect("threads");
    for _ in 0..200 {
        assert!(events.try_send(QueueMessage::WakeUp));
    }
    assert!(link.send(OpId(7), StoreRequest::Get("w/none".into())).is_none());
    // Without its answer, so many batches would only bring what waited before.
    let mut found = false;
    while !found {
        let Batch { priority: urgent, messages: batch } =
            receiver.next_batch(Duration::from_secs(60)).expect("open");
        found = urgent.iter().any(|e| matches!(e, Event::Store(OpId(7), StoreResult::Value(None))));
        let late = |m: &QueueMessage| matches!(m, QueueMessage::Event(Event::Store(OpId(7), _)));
        assert!(!batch.iter().any(late), "it waited with the others");
    }
}
