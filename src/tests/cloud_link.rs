//! Leader-only requests to the cloud, over real sockets. Guards against the fault described in
//! `worker_link.rs`: a rental or release was sent after another controller had taken over.

use super::*;
use crate::closing_listener::ClosingListener;

#[test]
fn request_is_sent_only_over_the_connection_opened_before_the_check() {
    let cloud = ClosingListener::new(1);
    let stalled_check = || {
        cloud.wait_until_stale();
        true
    };
    let mut client = Client::new(cloud.addr);
    let result = call(&mut client, &CloudRequest::Types, stalled_check);
    assert_eq!(result, CloudResult::Refused);
    assert_eq!(cloud.requests(), 0, "a request was sent");
    // The next request is sent over a new connection.
    call(&mut client, &CloudRequest::Types, || true);
    assert_eq!(cloud.requests(), 1);
}
