//! Requests of the cloud that only a leader may make, over real sockets: the fault that
//! `worker_link.rs` tells of, where a rent or release went out after another led.

use super::*;
use crate::closing_listener::ClosingListener;

#[test]
fn a_request_goes_out_only_over_the_connection_made_before_the_check() {
    let cloud = ClosingListener::new(1);
    let stands_still = || {
        cloud.stand_still();
        true
    };
    let mut client = Client::new(cloud.addr);
    let result = call(&mut client, &CloudRequest::Types, stands_still);
    assert_eq!(result, CloudResult::Refused);
    assert_eq!(cloud.requests(), 0, "a request went out");
    // The next one is made over a new connection.
    call(&mut client, &CloudRequest::Types, || true);
    assert_eq!(cloud.requests(), 1);
}
