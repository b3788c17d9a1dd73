use super::*;
use std::sync::mpsc::sync_channel;

/// Blocked work occupies all threads and fills the queue; further work is rejected immediately.
/// When the work is unblocked, every accepted item is completed.
#[test]
fn full_pool_rejects_immediately_and_completes_accepted_work() {
    let (tx, rx) = sync_channel::<u32>(100);
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let inner = gate.clone();
    let pool = Pool::new("test", 3, 4, move |n: u32| {
        let mut open = inner.0.lock().expect("lock gate");
        while !*open {
            open = inner.1.wait(open).expect("lock gate");
        }
        drop(open);
        tx.send(n).expect("receiver is alive");
    });
    // Three threads take one item each and four wait. How soon a thread takes its item depends on
    // scheduling, so between four and seven are accepted.
    let accepted: Vec<u32> = (0..20).filter(|n| pool.submit(*n).is_ok()).collect();
    assert!((4..=7).contains(&accepted.len()), "{accepted:?}");
    *gate.0.lock().expect("lock gate") = true;
    gate.1.notify_all();
    let mut done: Vec<u32> = accepted.iter().map(|_| rx.recv().expect("completed item")).collect();
    done.sort_unstable();
    assert_eq!(done, accepted);
}
