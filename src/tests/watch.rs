use super::*;
use crate::event_queue::{self, Batch, EventReceiver, QueueMessage};
use crate::limits::RESPONSE_BODY_MAX;
use marblebarrow_proto::records::cancel_key;
use marblebarrow_proto::wire::{ItemPage, WatchEvent};
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// How the fake store responds to one request.
#[derive(Clone, Debug)]
enum Step {
    /// Answers with 200 and this body.
    Answer(Vec<u8>),
    /// The same, written byte by byte.
    ByteByByte(Vec<u8>),
    /// Answers with this status and no body.
    Status(u16),
    /// Announces a body larger than the client accepts.
    OversizedBody,
    /// Closes the connection in the middle of a response.
    CloseMidResponse,
}

/// Starts a fake store that responds to requests, over any connection, with the given steps in
/// order, and reports the paths of the requests. After the last step it keeps connections open
/// without answering.
fn fake_store(steps: Vec<Step>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let (paths, asked) = channel();
    thread::spawn(move || {
        let mut steps = steps.into_iter();
        let mut held = Vec::new();
        for mut stream in listener.incoming().flatten() {
            while answer_next(&mut stream, &mut steps, &paths) {}
            held.push(stream);
        }
    });
    (addr, asked)
}

/// Responds to one request; returns whether the connection stays open.
fn answer_next(
    stream: &mut TcpStream,
    steps: &mut impl Iterator<Item = Step>,
    paths: &Sender<String>,
) -> bool {
    let Some(path) = read_path(stream) else { return false };
    let _ = paths.send(path);
    let Some(step) = steps.next() else { return false };
    let head = |status: u16, length: usize| {
        format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes()
    };
    match step {
        Step::Answer(body) => {
            stream.write_all(&[head(200, body.len()), body].concat()).expect("send");
        }
        Step::ByteByByte(body) => {
            for byte in [head(200, body.len()), body].concat() {
                stream.write_all(&[byte]).expect("send");
                stream.flush().expect("send");
            }
        }
        Step::Status(status) => stream.write_all(&head(status, 0)).expect("send"),
        Step::OversizedBody => {
            let _ = stream.write_all(&head(200, RESPONSE_BODY_MAX + 1));
            return false;
        }
        Step::CloseMidResponse => {
            let _ = stream.write_all(&head(200, 100)[..20]);
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return false;
        }
    }
    true
}

fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut got = Vec::new();
    let mut byte = [0u8; 1];
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        got.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&got).into_owned();
    text.split(' ').nth(1).map(str::to_owned)
}

fn all_keys(revision: u64) -> Step {
    Step::Answer(cbor::encode(&ItemPage { items: Vec::new(), more: false, revision }))
}

fn empty_answer(revision: u64) -> Vec<u8> {
    cbor::encode(&WatchAnswer { revision, events: Vec::new() })
}

fn cancelled(revision: u64) -> Vec<u8> {
    let key = cancel_key(&marblebarrow_proto::ids::JobId::new("req-000001"));
    let event = WatchEvent::Put { key, value: cbor::to_value(&true), version: revision };
    cbor::encode(&WatchAnswer { revision, events: vec![event] })
}

/// Starts a watch of a fake store with the given steps; returns the paths that it requests and
/// the queue of its events.
fn start_watch(steps: Vec<Step>) -> (Receiver<String>, EventReceiver) {
    let (addr, asked) = fake_store(steps);
    let (events, receiver) = event_queue::channel();
    let timing = WatchTiming { block: Duration::from_secs(20), slack: Duration::from_secs(20) };
    let watch = Watch::new(addr, events, Clock::start(), timing);
    thread::spawn(move || watch.run());
    (asked, receiver)
}

/// The kind of a request made by the watch.
#[derive(Debug, PartialEq)]
enum WatchRequest {
    AllKeys,
    /// The changes after a revision, and whether the request may block.
    Changes(u64, bool),
}

fn next(asked: &Receiver<String>) -> WatchRequest {
    let path = asked.recv_timeout(Duration::from_secs(60)).expect("another request");
    if path.starts_with("/store?") {
        return WatchRequest::AllKeys;
    }
    let number = |name: &str| -> u64 {
        let found = path.split(['?', '&']).find_map(|p| p.strip_prefix(name));
        found.and_then(|n| n.parse().ok()).expect("a number")
    };
    WatchRequest::Changes(number("after="), number("block_ms=") > 0)
}

/// Waits until the copy is complete up to `revision`; returns the number of changes received.
fn wait_for_revision(receiver: &EventReceiver, revision: u64) -> usize {
    let mut changes = 0;
    loop {
        let Batch { messages: batch, .. } =
            receiver.next_batch(Duration::from_secs(60)).expect("the watch thread runs");
        assert!(!batch.is_empty(), "no event within the timeout");
        for message in batch {
            let QueueMessage::Event(Event::Watch(news)) = message else { continue };
            if let WatchContent::Events(events) = &news.content {
                changes += events.len();
            }
            if news.revision == revision {
                return changes;
            }
        }
    }
}

/// After a missing or unreadable answer the watch retries from the same revision, first without
/// blocking, and then receives the changes that it missed.
#[test]
fn failed_watch_retries_without_blocking_and_misses_no_change() {
    let garbage = Step::Answer(b"\xff{\"ledger\":".to_vec());
    for bad in
        [Step::Status(503), Step::Status(500), garbage, Step::OversizedBody, Step::CloseMidResponse]
    {
        let (asked, receiver) = start_watch(vec![
            all_keys(7),
            Step::Answer(empty_answer(8)),
            bad.clone(),
            Step::ByteByByte(cancelled(9)),
        ]);
        assert_eq!(next(&asked), WatchRequest::AllKeys, "{bad:?}");
        assert_eq!(next(&asked), WatchRequest::Changes(7, true), "{bad:?}");
        assert_eq!(next(&asked), WatchRequest::Changes(8, true), "{bad:?}");
        assert_eq!(next(&asked), WatchRequest::Changes(8, false), "{bad:?}");
        assert_eq!(wait_for_revision(&receiver, 9), 1, "{bad:?}");
        assert_eq!(next(&asked), WatchRequest::Changes(9, true), "{bad:?}");
    }
}

/// Repeated unreadable answers, a decreasing revision and status 410 each lead to a full read of
/// all keys; a decreased revision is never published.
#[test]
fn watch_rereads_all_keys_when_it_cannot_continue() {
    let unreadable = vec![Step::OversizedBody; WATCH_UNREADABLE_MAX as usize];
    for bad in [unreadable, vec![Step::Answer(empty_answer(5))], vec![Step::Status(410)]] {
        let count = bad.len();
        let mut steps = vec![all_keys(7), Step::Answer(empty_answer(8))];
        steps.extend(bad.clone());
        steps.extend([all_keys(12), Step::Answer(cancelled(13))]);
        let (asked, receiver) = start_watch(steps);
        assert_eq!(next(&asked), WatchRequest::AllKeys);
        assert_eq!(next(&asked), WatchRequest::Changes(7, true));
        for n in 0..count {
            assert_eq!(next(&asked), WatchRequest::Changes(8, n == 0), "{bad:?}");
        }
        assert_eq!(next(&asked), WatchRequest::AllKeys, "{bad:?}");
        assert!(matches!(next(&asked), WatchRequest::Changes(12, _)), "{bad:?}");
        assert_eq!(wait_for_revision(&receiver, 13), 1, "{bad:?}");
    }
}

/// A watch that the store ends early is reopened, and each of its answers still proves the copy
/// up to date.
#[test]
fn watch_that_ends_early_is_reopened() {
    let mut steps = vec![all_keys(7)];
    steps.extend((8..12).map(|revision| Step::Answer(empty_answer(revision))));
    let (asked, receiver) = start_watch(steps);
    assert_eq!(next(&asked), WatchRequest::AllKeys);
    for revision in 7..12 {
        assert_eq!(next(&asked), WatchRequest::Changes(revision, true));
    }
    assert_eq!(wait_for_revision(&receiver, 11), 0);
}

/// The backoff grows with consecutive failures up to its bound.
#[test]
fn retry_backoff_grows_up_to_its_bound() {
    assert_eq!(retry_backoff(1), WATCH_RETRY_FIRST);
    for failures in 1..40 {
        let (pause, longer) = (retry_backoff(failures), retry_backoff(failures + 1));
        assert!(longer >= pause && longer <= WATCH_RETRY_MAX);
    }
    assert_eq!(retry_backoff(u32::MAX), WATCH_RETRY_MAX);
}
