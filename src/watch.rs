//! The watch of the key-value store: keeps this controller's copy of the watched keys up to date
//! and establishes the time as of which it is complete.

use crate::clock::Clock;
use crate::event_queue::EventSender;
use crate::http::{CallError, Client};
use crate::limits::{WATCH_PAUSE, WATCH_RETRY_FIRST, WATCH_RETRY_MAX, WATCH_UNREADABLE_MAX};
use crate::store_client::store_call;
use marblebarrow_core::event::{Event, Secs, StoreRequest, StoreResult, WatchContent, WatchUpdate};
use marblebarrow_core::facts::WatchTiming;
use marblebarrow_proto::cbor;
use marblebarrow_proto::records::WATCHED_PREFIX;
use marblebarrow_proto::wire::WatchAnswer;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Why a watch request, or a full read of the watched keys, failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum WatchError {
    /// The store refused the request or did not answer in time.
    #[error("no answer")]
    NoAnswer,
    /// The answer could not be decoded.
    #[error("unreadable answer")]
    Unreadable,
    /// The answer's revision is lower than an earlier one. The store's revision never decreases,
    /// so one of the two is wrong and changes may have been missed.
    #[error("revision went back from {from} to {to}")]
    RevisionDecreased { from: u64, to: u64 },
}

/// State of the watch thread.
pub struct Watch {
    client: Client,
    events: EventSender,
    clock: Clock,
    timing: WatchTiming,
    /// The copy contains all changes up to this revision; `None` if all keys must be read first.
    revision: Option<u64>,
    /// Consecutive failures; `unreadable` counts those that were unreadable answers.
    failures: u32,
    unreadable: u32,
}

impl Watch {
    /// Creates a watch that has not read any key yet.
    pub fn new(addr: SocketAddr, events: EventSender, clock: Clock, timing: WatchTiming) -> Self {
        let client = Client::new(addr);
        Self { client, events, clock, timing, revision: None, failures: 0, unreadable: 0 }
    }

    /// Runs the watch; never returns.
    pub fn run(mut self) {
        loop {
            match self.fetch() {
                Ok(revision) => self.on_success(revision),
                Err(error) => self.on_failure(error),
            }
        }
    }

    /// Makes one watch request or, without a known revision, reads all keys. Returns the revision
    /// up to which the copy is complete; `None` if the keys must be read again.
    fn fetch(&mut self) -> Result<Option<u64>, WatchError> {
        match self.revision {
            None => self.read_all().map(Some),
            Some(after) => self.watch(after),
        }
    }

    fn on_success(&mut self, revision: Option<u64>) {
        // Only a successful watch ends a run of failures: a full read may return the same wrong
        // revision again.
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
        let revision_decreased = matches!(error, WatchError::RevisionDecreased { .. });
        if revision_decreased || self.unreadable >= WATCH_UNREADABLE_MAX {
            self.unreadable = 0;
            self.revision = None;
        }
        thread::sleep(retry_backoff(self.failures));
    }

    fn read_all(&mut self) -> Result<u64, WatchError> {
        let mut items = Vec::new();
        let mut after = String::new();
        let mut first = None;
        let sent = self.clock.now();
        loop {
            let request = StoreRequest::Range { prefix: WATCHED_PREFIX.into(), after };
            let StoreResult::Page(page) = store_call(&mut self.client, &request) else {
                return Err(WatchError::NoAnswer);
            };
            // The watch starts at the first page's revision, so it delivers the changes made
            // while the other pages were read.
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
        // After a failure the copy is older than usual, so this request doesn't block: even an
        // answer without changes proves the copy up to date.
        let block = if self.failures > 0 { Duration::ZERO } else { self.timing.block };
        let block_ms = block.as_millis();
        let path = format!("/watch?under={WATCHED_PREFIX}&after={after}&block_ms={block_ms}");
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
            return Err(WatchError::RevisionDecreased { from: after, to: answer.revision });
        }
        let changed = !answer.events.is_empty();
        // An answer without changes also proves that the copy is up to date.
        self.publish(sent, answer.revision, WatchContent::Events(answer.events));
        if changed {
            thread::sleep(WATCH_PAUSE);
        } else if self.failures == 0 && self.ended_early(sent) {
            thread::sleep(WATCH_RETRY_FIRST);
        }
        Ok(answer.revision)
    }

    /// Whether a watch without changes ended long before its blocking time. Repeating it
    /// immediately would use up the store's rate limit.
    fn ended_early(&self, sent: Secs) -> bool {
        self.clock.now() - sent < self.timing.block.as_secs_f64() / 2.0
    }

    fn publish(&self, sent: Secs, revision: u64, content: WatchContent) {
        self.events.send(Event::Watch(WatchUpdate { sent, revision, content }));
    }
}

/// Backoff after the given number of consecutive failures.
fn retry_backoff(failures: u32) -> Duration {
    let doubled = 1 << failures.saturating_sub(1).min(8);
    (WATCH_RETRY_FIRST * doubled).min(WATCH_RETRY_MAX)
}

#[cfg(test)]
#[path = "tests/watch.rs"]
mod tests;
