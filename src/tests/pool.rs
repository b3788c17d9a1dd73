use super::*;
use std::sync::mpsc::sync_channel;

/// Work that hangs takes its threads, fills the queue, and what comes then
/// is told at once; as it goes on, all that was taken is done.
#[test]
fn a_full_pool_refuses_at_once_and_loses_nothing() {
    let (tx, rx) = sync_channel::<u32>(100);
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let inner = gate.clone();
    let pool = Pool::new("test", 3, 4, move |n: u32| {
        let mut open = inner.0.lock().expect("gate");
        while !*open {
            open = inner.1.wait(open).expect("gate");
        }
        drop(open);
        tx.send(n).expect("taken");
    });
    // Three threads take one each, four wait; how soon the threads take
    // theirs is the machine's, so more may be refused, never less taken.
    let taken: Vec<u32> = (0..20).filter(|n| pool.submit(*n).is_ok()).collect();
    assert!((4..=7).contains(&taken.len()), "{taken:?}");
    *gate.0.lock().expect("gate") = true;
    gate.1.notify_all();
    let mut done: Vec<u32> = taken.iter().map(|_| rx.recv().expect("done")).collect();
    done.sort_unstable();
    assert_eq!(done, taken);
}
