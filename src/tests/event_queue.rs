use super::*;
use marblebarrow_core::event::{OpId, StoreResult};
use marblebarrow_proto::ids::JobId;

fn answered(op: u64) -> Event {
    Event::Store(OpId(op), StoreResult::Touched)
}

/// The word that a grant lives on doesn't wait behind what came before it, and
/// submissions wait for reports and polls.
#[test]
fn what_is_urgent_goes_before_all_that_waits() {
    let (inbox, outbox) = Inbox::channel();
    let (tx, _rx) = sync_channel(1);
    let poll = UserRequest::Poll(JobId::new("req-000001"));
    assert!(inbox.offer(Message::Ask(Ask::User(poll), Asker::Thread(tx))));
    for op in 0..100 {
        inbox.tell(answered(op));
    }
    inbox.tell_urgently(answered(1_000));
    let (urgent, batch) = outbox.batch(Duration::ZERO).expect("somebody is left");
    assert!(matches!(urgent[..], [Event::Store(OpId(1_000), _)]), "{urgent:?}");
    assert!(matches!(batch[0], Message::Ask(..)));
    assert_eq!(batch.len(), BATCH);
    // It is told of but once.
    let (urgent, batch) = outbox.batch(Duration::ZERO).expect("somebody is left");
    assert!(urgent.is_empty() && batch.len() < BATCH);
}
