//! A thread pool that grows with its load up to a limit and shrinks when idle. Work waits in a
//! small queue if all threads are busy, and is returned to the caller immediately if the queue is
//! full.

use crate::limits::{POOL_IDLE, THREAD_STACK_BYTES};
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

struct State<T> {
    queue: VecDeque<T>,
    idle: usize,
    threads: usize,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    wake: Condvar,
    work: Box<dyn Fn(T) + Send + Sync>,
}

impl<T> Shared<T> {
    // No code that could panic runs while the lock is held, so a poisoned lock is still
    // consistent.
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A thread pool that applies one function to each work item.
pub struct Pool<T> {
    shared: Arc<Shared<T>>,
    name: &'static str,
    threads: usize,
    queue_capacity: usize,
}

impl<T: Send + 'static> Pool<T> {
    /// Creates a pool of at most `threads` threads, none of them started yet, with a queue for
    /// `queue_capacity` work items.
    pub fn new(
        name: &'static str,
        threads: usize,
        queue_capacity: usize,
        work: impl Fn(T) + Send + Sync + 'static,
    ) -> Self {
        let state = State { queue: VecDeque::new(), idle: 0, threads: 0 };
        let shared =
            Shared { state: Mutex::new(state), wake: Condvar::new(), work: Box::new(work) };
        Self {
            shared: Arc::new(shared),
            name,
            threads: threads.max(1),
            queue_capacity: queue_capacity.max(1),
        }
    }

    /// Queues a work item; returns it if the queue is full.
    pub fn submit(&self, item: T) -> Result<(), T> {
        let mut state = self.shared.lock();
        if state.queue.len() >= self.queue_capacity {
            return Err(item);
        }
        state.queue.push_back(item);
        if state.queue.len() <= state.idle {
            drop(state);
            self.shared.wake.notify_one();
            return Ok(());
        }
        if state.threads >= self.threads {
            return Ok(());
        }
        state.threads += 1;
        drop(state);
        let shared = self.shared.clone();
        let run = move || run(&shared);
        if thread::Builder::new()
            .name(self.name.into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(run)
            .is_err()
        {
            // The existing threads take the item, if there are any.
            let mut state = self.shared.lock();
            state.threads -= 1;
            if state.threads == 0
                && let Some(item) = state.queue.pop_back()
            {
                return Err(item);
            }
        }
        Ok(())
    }
}

fn run<T>(shared: &Shared<T>) {
    let mut state = shared.lock();
    loop {
        if let Some(item) = state.queue.pop_front() {
            drop(state);
            (shared.work)(item);
            state = shared.lock();
            continue;
        }
        state.idle += 1;
        let (woken, wait) =
            shared.wake.wait_timeout(state, POOL_IDLE).unwrap_or_else(PoisonError::into_inner);
        state = woken;
        state.idle -= 1;
        if wait.timed_out() && state.queue.is_empty() {
            state.threads -= 1;
            return;
        }
    }
}

#[cfg(test)]
#[path = "tests/pool.rs"]
mod tests;
