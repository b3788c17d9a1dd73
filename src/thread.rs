//! Threads with small stacks, because the memory limit is low.

use crate::limits::THREAD_STACK_BYTES;
use std::thread;

/// Starts a thread with a small stack.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(THREAD_STACK_BYTES).spawn(f).map(|_| ())
}
