use super::*;
use marblebarrow_core::event::{OpId, StoreResult};
use marblebarrow_proto::ids::JobId;

fn answered(op: u64) -> Event {
    Event::Store(OpId(op), StoreResult::LeaseRenewed)
}

/// The word that a lease lives on doesn't wait behind what came before it, and
/// submissions wait for heartbeats and polls.
#[test]
fn what_is_urgent_goes_before_all_that_waits() {
    let (events, receiver) = channel();
    let (tx, _rx) = sync_channel(1);
    let poll = UserRequest::Poll(JobId::new("req-000001"));
    assert!(events.try_send(QueueMessage::Question {
        question: Question::User(poll),
        responder: Responder::Channel(tx)
    }));
    for op in 0..100 {
        events.send(answered(op));
    }
    events.send_priority(answered(1_000));
    let Batch { priority: urgent, messages: batch } =
        receiver.next_batch(Duration::ZERO).expect("somebody is left");
    assert!(matches!(urgent[..], [Event::Store(OpId(1_000), _)]), "{urgent:?}");
    assert!(matches!(batch[0], QueueMessage::Question { .. }));
    assert_eq!(batch.len(), EVENT_BATCH);
    // It is told of but once.
    let Batch { priority: urgent, messages: batch } =
        receiver.next_batch(Duration::ZERO).expect("somebody is left");
    assert!(urgent.is_empty() && batch.len() < EVENT_BATCH);
}
