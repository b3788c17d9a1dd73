use super::*;
use crate::event_queue::{self, Batch, QueueMessage};
use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// Starts a fake state service that contains no key.
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

/// Answers of the state service are handled before all waiting messages: a submission that has
/// already been written must not wait again behind the heartbeats that arrived meanwhile.
#[test]
fn store_answers_bypass_the_message_queue() {
    let (events, receiver) = event_queue::channel();
    let timing = WatchTiming { block: Duration::from_secs(1), slack: Duration::from_secs(1) };
    let link =
        StoreLink::start(empty_store(), &events, Clock::start(), timing).expect("threads start");
    for _ in 0..200 {
        assert!(events.try_send(QueueMessage::WakeUp));
    }
    assert!(link.send(OpId(7), StoreRequest::Get("w/none".into())).is_none());
    // The answer must arrive as a priority event, never among the queued messages.
    let mut found = false;
    while !found {
        let Batch { priority: priority_events, messages: batch } =
            receiver.next_batch(Duration::from_secs(60)).expect("a sender is left");
        found = priority_events
            .iter()
            .any(|e| matches!(e, Event::Store(OpId(7), StoreResult::Value(None))));
        let late = |m: &QueueMessage| matches!(m, QueueMessage::Event(Event::Store(OpId(7), _)));
        assert!(!batch.iter().any(late), "the answer waited among the queued messages");
    }
}
