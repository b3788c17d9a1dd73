use super::*;
use marblebarrow_core::event::{OpId, StoreResult};
use marblebarrow_proto::ids::JobId;

fn store_event(op: u64) -> Event {
    Event::Store(OpId(op), StoreResult::LeaseRenewed)
}

/// A lease renewal doesn't wait behind earlier messages.
#[test]
fn priority_events_bypass_the_message_queue() {
    let (events, receiver) = channel();
    let (tx, _rx) = sync_channel(1);
    let poll = UserRequest::Poll(JobId::new("req-000001"));
    assert!(events.try_send(QueueMessage::ClientRequest {
        client_request: ClientRequest::User(poll),
        responder: Responder::Channel(tx)
    }));
    for op in 0..100 {
        events.send(store_event(op));
    }
    events.send_priority(store_event(1_000));
    let Batch { priority: priority_events, messages: batch } =
        receiver.next_batch(Duration::ZERO).expect("a sender is left");
    assert!(matches!(priority_events[..], [Event::Store(OpId(1_000), _)]), "{priority_events:?}");
    assert!(matches!(batch[0], QueueMessage::ClientRequest { .. }));
    assert_eq!(batch.len(), EVENT_BATCH);
    // The priority event is delivered only once.
    let Batch { priority: priority_events, messages: batch } =
        receiver.next_batch(Duration::ZERO).expect("a sender is left");
    assert!(priority_events.is_empty() && batch.len() < EVENT_BATCH);
}
