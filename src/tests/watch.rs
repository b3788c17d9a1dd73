use super::*;
use crate::event_queue::{self, Batch, EventReceiver, QueueMessage};
use crate::limits::RESPONSE_BODY_MAX;
use marblebarrow_proto::records::cancel_key;
use marblebarrow_proto::wire::{ItemPage, WatchEvent};
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// What the stand-in does with one request.
#[derive(Clone, Debug)]
enum Step {
    /// Answers with this body.
    Answer(Vec<u8>),
    /// The same, one byte a write.
    InPieces(Vec<u8>),
    /// Answers with this status and no body.
    Status(u16),
    /// Announces a body longer than is taken.
    TooLong,
    /// Closes in the middle of an answer.
    Closes,
}

/// Answers requests, over whatever connections, with the steps in turn, and tells their
/// paths. When all are used up it holds what comes without an answer.
fn stand_in(steps: Vec<Step>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr");
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

/// Whether the connection goes on.
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
            stream.write_all(&[head(200, body.len()), body].concat()).expect("sent");
        }
        Step::InPieces(body) => {
            for byte in [head(200, body.len()), body].concat() {
                stream.write_all(&[byte]).expect("sent");
                stream.flush().expect("sent");
            }
        }
        Step::Status(status) => stream.write_all(&head(status, 0)).expect("sent"),
        Step::TooLong => {
            let _ = stream.write_all(&head(200, RESPONSE_BODY_MAX + 1));
            return false;
        }
        Step::Closes => {
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

fn nothing_new(revision: u64) -> Vec<u8> {
    cbor::encode(&WatchAnswer { revision, events: Vec::new() })
}

fn cancelled(revision: u64) -> Vec<u8> {
    let key = cancel_key(&marblebarrow_proto::ids::JobId::new("req-000001"));
    let event = WatchEvent::Put { key, value: cbor::to_value(&true), version: revision };
    cbor::encode(&WatchAnswer { revision, events: vec![event] })
}

/// A watch of a stand-in that answers so: the paths it asks for, and what it tells.
fn watching(steps: Vec<Step>) -> (Receiver<String>, EventReceiver) {
    let (addr, asked) = stand_in(steps);
    let (events, receiver) = event_queue::channel();
    let timing = WatchTiming { block: Duration::from_secs(20), slack: Duration::from_secs(20) };
    let watch = Watch::new(addr, events, Clock::start(), timing);
    thread::spawn(move || watch.run());
    (asked, receiver)
}

/// What the next request asks for.
#[derive(Debug, PartialEq)]
enum Asked {
    AllKeys,
    /// News after that revision; whether it may block.
    News(u64, bool),
}

fn next(asked: &Receiver<String>) -> Asked {
    let path = asked.recv_timeout(Duration::from_secs(60)).expect("asks again");
    if path.starts_with("/store?") {
        return Asked::AllKeys;
    }
    let number = |name: &str| -> u64 {
        let found = path.split(['?', '&']).find_map(|p| p.strip_prefix(name));
        found.and_then(|n| n.parse().ok()).expect("a number")
    };
    Asked::News(number("after="), number("block_ms=") > 0)
}

/// Waits for news that makes the copy whole up to that revision; how many changes came.
fn told(receiver: &EventReceiver, revision: u64) -> usize {
    let mut changes = 0;
    loop {
        let Batch { messages: batch, .. } =
            receiver.next_batch(Duration::from_secs(60)).expect("watches");
        assert!(!batch.is_empty(), "nothing is told");
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

/// No answer, and answers that can't be read: the watch asks again from where it was, at
/// first without blocking, and then takes in what it missed.
#[test]
fn a_failed_watch_asks_again_at_once_and_misses_nothing() {
    let garbage = Step::Answer(b"\xff{\"ledger\":".to_vec());
    for bad in [Step::Status(503), Step::Status(500), garbage, Step::TooLong, Step::Closes] {
        let (asked, receiver) = watching(vec![
            all_keys(7),
            Step::Answer(nothing_new(8)),
            bad.clone(),
            Step::InPieces(cancelled(9)),
        ]);
        assert_eq!(next(&asked), Asked::AllKeys, "{bad:?}");
        assert_eq!(next(&asked), Asked::News(7, true), "{bad:?}");
        assert_eq!(next(&asked), Asked::News(8, true), "{bad:?}");
        assert_eq!(next(&asked), Asked::News(8, false), "{bad:?}");
        assert_eq!(told(&receiver, 9), 1, "{bad:?}");
        assert_eq!(next(&asked), Asked::News(9, true), "{bad:?}");
    }
}

/// Answers that stay unreadable, a revision that goes back and 410 each lead to all keys
/// being read anew; an old revision is told to nobody as if it were new.
#[test]
fn what_cannot_be_followed_is_read_anew() {
    let unreadable = vec![Step::TooLong; WATCH_UNREADABLE_MAX as usize];
    for bad in [unreadable, vec![Step::Answer(nothing_new(5))], vec![Step::Status(410)]] {
        let count = bad.len();
        let mut steps = vec![all_keys(7), Step::Answer(nothing_new(8))];
        steps.extend(bad.clone());
        steps.extend([all_keys(12), Step::Answer(cancelled(13))]);
        let (asked, receiver) = watching(steps);
        assert_eq!(next(&asked), Asked::AllKeys);
        assert_eq!(next(&asked), Asked::News(7, true));
        for n in 0..count {
            assert_eq!(next(&asked), Asked::News(8, n == 0), "{bad:?}");
        }
        assert_eq!(next(&asked), Asked::AllKeys, "{bad:?}");
        assert!(matches!(next(&asked), Asked::News(12, _)), "{bad:?}");
        assert_eq!(told(&receiver, 13), 1, "{bad:?}");
    }
}

/// A store that ends watches early is asked again, and each answer counts as news.
#[test]
fn a_watch_that_ends_early_is_opened_again() {
    let mut steps = vec![all_keys(7)];
    steps.extend((8..12).map(|revision| Step::Answer(nothing_new(revision))));
    let (asked, receiver) = watching(steps);
    assert_eq!(next(&asked), Asked::AllKeys);
    for revision in 7..12 {
        assert_eq!(next(&asked), Asked::News(revision, true));
    }
    assert_eq!(told(&receiver, 11), 0);
}

/// Failures in a row are tried again after longer and longer pauses, within a bound.
#[test]
fn pauses_between_failures_grow_to_a_bound() {
    assert_eq!(retry_pause(1), WATCH_RETRY_FIRST);
    for failures in 1..40 {
        let (pause, longer) = (retry_pause(failures), retry_pause(failures + 1));
        assert!(longer >= pause && longer <= WATCH_RETRY_MAX);
    }
    assert_eq!(retry_pause(u32::MAX), WATCH_RETRY_MAX);
}
