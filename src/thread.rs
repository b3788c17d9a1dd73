//! Threads with small stacks, as memory limits are tight.

use crate::limits::THREAD_STACK_BYTES;
use std::thread;

/// Starts a thread with a small stack.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(THREAD_STACK_BYTES).spawn(f).map(|_| ())
}
