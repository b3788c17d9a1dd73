//! Validation of messages from the wire: malformed ones are rejected with the right status, and
//! fields that another version omits or adds are tolerated.

use marblebarrow_cells::message::{CellError, Exchange, ExchangeReply, Offer, OfferReply, Verdict};
use marblebarrow_cells::outbound::EXCHANGE_JOBS_MAX;
use marblebarrow_cells::rpc::{error_from_status, parse_declared_lost_cell};
use marblebarrow_cells::wire;
use marblebarrow_proto::transfer::RefusalReason;
use proptest::prelude::*;
use prost::Message as _;
use tonic::{Code, Status};

fn sender() -> Option<wire::Sender> {
    Some(wire::Sender { cell: "one".into(), term: 3 })
}

fn transfer() -> Option<wire::TransferId> {
    Some(wire::TransferId { home: "one".into(), term: 3, number: 1 })
}

#[test]
fn errors_round_trip_through_grpc_statuses() {
    for (error, code) in [
        (CellError::NotLeader, Code::Unavailable),
        (CellError::UnknownCell, Code::PermissionDenied),
        (CellError::StaleTerm, Code::FailedPrecondition),
        (CellError::Malformed, Code::InvalidArgument),
        (CellError::HomeHere, Code::AlreadyExists),
        (CellError::Busy, Code::ResourceExhausted),
    ] {
        let status = Status::from(error);
        assert_eq!(status.code(), code);
        assert_eq!(error_from_status(&status), error);
    }
    assert_eq!(error_from_status(&Status::unavailable("gone")), CellError::NoAnswer);
    assert_eq!(error_from_status(&Status::deadline_exceeded("late")), CellError::NoAnswer);
}

#[test]
fn incomplete_requests_are_malformed() {
    let tracked =
        wire::TrackedJob { job: "req-000001".into(), transfer: transfer(), cancel: false };
    let valid = wire::ExchangeRequest {
        sender: sender(),
        tracked: vec![tracked.clone()],
        finished: Vec::new(),
        ended: Vec::new(),
    };
    assert!(Exchange::try_from(valid.clone()).is_ok());
    let mut bad = vec![wire::ExchangeRequest { sender: None, ..valid.clone() }];
    let nameless = Some(wire::Sender { cell: String::new(), term: 3 });
    bad.push(wire::ExchangeRequest { sender: nameless, ..valid.clone() });
    let bad_job_id = wire::TrackedJob { job: "w/lead".into(), ..tracked.clone() };
    bad.push(wire::ExchangeRequest { tracked: vec![bad_job_id], ..valid.clone() });
    let no_transfer = wire::TrackedJob { transfer: None, ..tracked.clone() };
    bad.push(wire::ExchangeRequest { tracked: vec![no_transfer], ..valid.clone() });
    let many = vec![tracked; EXCHANGE_JOBS_MAX + 1];
    bad.push(wire::ExchangeRequest { tracked: many, ..valid });
    for request in bad {
        assert_eq!(Exchange::try_from(request), Err(CellError::Malformed));
    }
    let offer = wire::OfferRequest {
        sender: sender(),
        transfer: transfer(),
        spec: b"\xff".to_vec(),
        at_ms: 1,
        withdraw: false,
    };
    assert_eq!(Offer::try_from(offer), Err(CellError::Malformed));
    let loss = wire::DeclareLostRequest { cell: "one".into(), typed_name: "two".into() };
    assert_eq!(parse_declared_lost_cell(&loss), Err(CellError::Malformed));
}

/// A field that an older version omits has a harmless default; a field that a newer version adds is
/// ignored.
#[test]
fn messages_of_older_and_newer_versions_are_accepted() {
    // A refusal with a missing or unknown reason is still a refusal.
    for refusal in [0, 99] {
        let reply = wire::OfferReply { transfer: transfer(), accepted: false, refusal };
        let reply = OfferReply::try_from(reply).expect("valid reply");
        assert_eq!(reply.verdict, Verdict::Refused(RefusalReason::Other));
    }
    // A missing capacity report means no room; an unknown job state is ignored.
    let status = wire::GuestStatus {
        job: "req-000001".into(),
        transfer: transfer(),
        state: 77,
        done: 1,
        running: 1,
    };
    let reply = wire::ExchangeReply { capacity: None, statuses: vec![status], dropped: Vec::new() };
    let reply = ExchangeReply::try_from(reply).expect("valid reply");
    assert!(reply.statuses.is_empty() && reply.capacity.rooms.is_empty());
    // A field that this version does not know.
    let mut bytes =
        wire::OfferReply { transfer: transfer(), accepted: true, refusal: 0 }.encode_to_vec();
    bytes.extend([0xfa, 0x07, 0x01, 0x41]);
    let reply = wire::OfferReply::decode(bytes.as_slice()).expect("unknown fields are ignored");
    assert_eq!(OfferReply::try_from(reply).expect("valid reply").verdict, Verdict::Accepted);
    // An answer without a transfer is malformed.
    let nameless = wire::OfferReply { transfer: None, accepted: true, refusal: 0 };
    assert_eq!(OfferReply::try_from(nameless), Err(CellError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any bytes are either rejected or decoded to a valid message with finite amounts.
    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_to_valid_messages(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = wire::ExchangeRequest::decode(bytes.as_slice())
            && let Ok(exchange) = Exchange::try_from(request)
        {
            prop_assert!(!exchange.sender.cell.as_str().is_empty());
        }
        if let Ok(reply) = wire::ExchangeReply::decode(bytes.as_slice())
            && let Ok(reply) = ExchangeReply::try_from(reply)
        {
            prop_assert!(reply.capacity.free_cpus().is_finite());
        }
        if let Ok(request) = wire::OfferRequest::decode(bytes.as_slice()) {
            let _ = Offer::try_from(request);
        }
    }
}
