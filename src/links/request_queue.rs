//! A bounded queue of requests served by several threads.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

/// The receiving end of the queue; each serving thread has a clone.
pub struct RequestQueue<T>(Arc<Mutex<Receiver<T>>>);

impl<T> Clone for RequestQueue<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> RequestQueue<T> {
    /// Creates a queue for up to `capacity` waiting requests; returns its sender too.
    pub fn bounded(capacity: usize) -> (SyncSender<T>, Self) {
        let (sender, receiver) = sync_channel(capacity);
        (sender, Self(Arc::new(Mutex::new(receiver))))
    }

    /// Waits for the next request; `None` once the sender has been dropped.
    pub fn next(&self) -> Option<T> {
        self.0.lock().ok()?.recv().ok()
    }
}
