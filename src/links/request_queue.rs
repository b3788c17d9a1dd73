//! A bounded queue of requests that several threads serve.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

/// The serving end; each clone is for one thread.
pub struct RequestQueue<T>(Arc<Mutex<Receiver<T>>>);

impl<T> Clone for RequestQueue<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> RequestQueue<T> {
    /// A queue in which `capacity` requests may wait, and its sender.
    pub fn bounded(capacity: usize) -> (SyncSender<T>, Self) {
        let (sender, receiver) = sync_channel(capacity);
        (sender, Self(Arc::new(Mutex::new(receiver))))
    }

    /// Waits for the next request; `None` once the sender is gone.
    pub fn next(&self) -> Option<T> {
        self.0.lock().ok()?.recv().ok()
    }
}
