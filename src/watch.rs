//! The watch of the key-value store: keeps this controller's copy of the watched keys
//! current, and proves how current it is.

use crate::clock::Clock;
use crate::event_queue::EventSender;
use crate::http::{CallError, Client};
use crate::limits::{WATCH_PAUSE, WATCH_RETRY_FIRST, WATCH_RETRY_MAX, WATCH_UNREADABLE_MAX};
use crate::store_client::store_call;
use marblebarrow_core::event::{Event, Secs, StoreRequest, StoreResult, WatchContent, WatchNews};
use marblebarrow_core::facts::WatchTiming;
use marblebarrow_proto::cbor;
use marblebarrow_proto::records::WATCHED;
use marblebarrow_proto::wire::WatchAnswer;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Why a watch, or the first read of the watched keys, brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum WatchError {
    /// The store refused it, or gave no answer in time.
    #[error("no answer")]
    NoAnswer,
    /// An answer came that can't be read.
    #[error("unreadable answer")]
    Unreadable,
    /// The answer's revision is below an earlier one. The store can't have gone back: this
    /// revision, or the one before, is wrong, and changes may have been missed.
    #[error("revision went back from {from} to {to}")]
    WentBack { from: u64, to: u64 },
}

/// The thread's state.
pub struct Watch {
    client: Client,
    events: EventSender,
    clock: Clock,
    timing: WatchTiming,
    /// The copy holds all changes up to this revision; `None`: all keys must be read first.
    revision: Option<u64>,
    /// Failures in a row, and how many of them were unreadable answers.
    failures: u32,
    unreadable: u32,
}

impl Watch {
    /// A watch that has read nothing yet.
    pub fn new(addr: SocketAddr, events: EventSender, clock: Clock, timing: WatchTiming) -> Self {
        let client = Client::new(addr);
        Self { client, events, clock, timing, revision: None, failures: 0, unreadable: 0 }
    }

    /// Watches for ever.
    pub fn run(mut self) {
        loop {
            match self.fetch() {
                Ok(revision) => self.on_success(revision),
                Err(error) => self.on_failure(error),
            }
        }
    }

    /// One request, or the first read; the revision up to which the copy is whole then.
    fn fetch(&mut self) -> Result<Option<u64>, WatchError> {
        match self.revision {
            None => self.read_all().map(Some),
            Some(after) => self.watch(after),
        }
    }

    fn on_success(&mut self, revision: Option<u64>) {
        // Only a watch shows that all is well again: what was read anew may be as wrong.
        let watched = self.revision.is_some();
        self.revision = revision;
        if !watched {
            return;
        }
        if self.failures > 1 {
            tracing::info!(failures = self.failures, "event=watch_restored");
        }
        self.failures = 0;
        self.unreadable = 0;
    }

    fn on_failure(&mut self, error: WatchError) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            tracing::info!(why = %error, "event=watch_failed");
        }
        if error == WatchError::Unreadable {
            self.unreadable += 1;
        }
        let went_back = matches!(error, WatchError::WentBack { .. });
        if went_back || self.unreadable >= WATCH_UNREADABLE_MAX {
            self.unreadable = 0;
            self.revision = None;
        }
        thread::sleep(retry_pause(self.failures));
    }

    fn read_all(&mut self) -> Result<u64, WatchError> {
        let mut items = Vec::new();
        let mut after = String::new();
        let mut first = None;
        let sent = self.clock.now();
        loop {
            let request = StoreRequest::Range { prefix: WATCHED.into(), after };
            let StoreResult::Page(page) = store_call(&mut self.client, &request) else {
                return Err(WatchError::NoAnswer);
            };
            // Changes made while the pages are read come with the watch.
            let revision = *first.get_or_insert(page.revision);
            after = page.items.last().map_or_else(String::new, |i| i.key.clone());
            items.extend(page.items);
            if !page.more {
                self.publish(sent, revision, WatchContent::Reset(items));
                return Ok(revision);
            }
        }
    }

    fn watch(&mut self, after: u64) -> Result<Option<u64>, WatchError> {
        // After a failure the copy is already older than usual: an answer at once proves
        // it current again, also if there is no news.
        let block = if self.failures > 0 { Duration::ZERO } else { self.timing.block };
        let block_ms = block.as_millis();
        let path = format!("/watch?under={WATCHED}&after={after}&block_ms={block_ms}");
        let sent = self.clock.now();
        match self.client.call("GET", &path, &[], block + self.timing.slack) {
            Ok(response) if response.status == 200 => {
                let answer: WatchAnswer =
                    cbor::decode(&response.body).map_err(|_| WatchError::Unreadable)?;
                self.accept(sent, after, answer).map(Some)
            }
            Ok(response) if response.status == 410 => Ok(None),
            Err(CallError::Unreadable) => Err(WatchError::Unreadable),
            _ => Err(WatchError::NoAnswer),
        }
    }

    fn accept(&mut self, sent: Secs, after: u64, answer: WatchAnswer) -> Result<u64, WatchError> {
        if answer.revision < after {
            return Err(WatchError::WentBack { from: after, to: answer.revision });
        }
        let changed = !answer.events.is_empty();
        // An answer without changes proves the copy current too.
        self.publish(sent, answer.revision, WatchContent::Events(answer.events));
        if changed {
            thread::sleep(WATCH_PAUSE);
        } else if self.failures == 0 && self.ended_early(sent) {
            thread::sleep(WATCH_RETRY_FIRST);
        }
        Ok(answer.revision)
    }

    /// Whether a watch without news ended long before its time: asked again at once, it would
    /// use up the requests that the store allows.
    fn ended_early(&self, sent: Secs) -> bool {
        self.clock.now() - sent < self.timing.block.as_secs_f64() / 2.0
    }

    fn publish(&self, sent: Secs, revision: u64, content: WatchContent) {
        self.events.send(Event::Watch(WatchNews { sent, revision, content }));
    }
}

/// How long to wait after so many failures in a row.
fn retry_pause(failures: u32) -> Duration {
    let doubled = 1 << failures.saturating_sub(1).min(8);
    (WATCH_RETRY_FIRST * doubled).min(WATCH_RETRY_MAX)
}

#[cfg(test)]
#[path = "tests/watch.rs"]
mod tests;
