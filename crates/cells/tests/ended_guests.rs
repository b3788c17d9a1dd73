//! Ends that a cell reports without being polled: which are accepted and which are rejected.

mod support;

use marblebarrow_cells::message::{
    CellError, ENDS_REPORTED_MAX, EndedGuest, Exchange, GuestState, OfferReply, Verdict,
};
use marblebarrow_cells::outbound::{EndRefusal, Outbound};
use marblebarrow_cells::wire;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{ForwardRecord, TransferId};
use prost::Message as _;
use support::array;

const JOB: &str = "req-000001";

fn target() -> CellName {
    CellName::new("target")
}

fn transfer(number: u32) -> TransferId {
    TransferId { home: CellName::new("home"), term: 1, number }
}

fn ended(job: &str, number: u32) -> EndedGuest {
    EndedGuest { job: JobId::new(job), transfer: transfer(number), cancelled: false }
}

/// The home side of a job that moved to the target by transfer number 2.
fn home(accepted: bool) -> Outbound {
    let mut outbound = Outbound::default();
    let forward = ForwardRecord { transfer: transfer(2), target: target(), accepted };
    outbound.apply_record(0.0, &array(JOB), Some(&forward));
    outbound
}

#[test]
fn reported_ends_for_a_wrong_job_cell_or_transfer_are_rejected() {
    let mut outbound = home(true);
    let other = CellName::new("other");
    for (cell, reported, refusal) in [
        (target(), ended("req-000009", 2), EndRefusal::UnknownJob),
        (other.clone(), ended(JOB, 2), EndRefusal::OtherCell),
        (other, ended(JOB, 1), EndRefusal::OtherCell),
        (target(), ended(JOB, 1), EndRefusal::OtherTransfer),
    ] {
        assert_eq!(outbound.end_reported(&cell, &reported), Err(refusal), "{reported:?}");
        assert_eq!(outbound.next_end(1.0), None);
    }
    // After a refusal the job is in its home cell again, so a delayed report concerns a closed
    // transfer.
    outbound.apply_record(1.0, &array(JOB), None);
    assert_eq!(outbound.end_reported(&target(), &ended(JOB, 2)), Err(EndRefusal::UnknownJob));
}

#[test]
fn a_reported_end_is_new_once_and_kept_until_it_is_durable() {
    let mut outbound = home(true);
    assert_eq!(outbound.end_reported(&target(), &ended(JOB, 2)), Ok(true));
    assert_eq!(outbound.end_reported(&target(), &ended(JOB, 2)), Ok(false), "repeated report");
    let job = JobId::new(JOB);
    let done = Some((job.clone(), GuestState::Done));
    assert_eq!(outbound.next_end(1.0), done);
    assert_eq!(outbound.next_end(1.0), None, "being recorded");
    // The state service did not commit the end.
    outbound.settle_again(1.0, &job);
    assert_eq!(outbound.next_end(10.0), done);
    outbound.forget(&job);
    assert_eq!((outbound.next_end(20.0), outbound.ends_to_record()), (None, 0));
}

/// The target accepted the job and only its answer was lost, so the reported end settles the offer
/// as well.
#[test]
fn a_reported_end_settles_an_offer_in_doubt() {
    let mut outbound = home(false);
    assert_eq!(outbound.in_doubt(), 1);
    assert_eq!(outbound.end_reported(&target(), &ended(JOB, 2)), Ok(true));
    assert_eq!(outbound.in_doubt(), 0);
    assert!(outbound.due_offers(1.0, 10).is_empty());
    let accepted = OfferReply { transfer: transfer(2), verdict: Verdict::Accepted };
    let job = JobId::new(JOB);
    assert_eq!(outbound.offer_answered(1.0, &job, &transfer(2), Some(&accepted)), None);
    assert_eq!(outbound.next_end(1.0), Some((job, GuestState::Done)));
}

/// An end received for one transfer does not apply to the job's next transfer.
#[test]
fn a_reported_end_is_discarded_with_its_transfer() {
    let mut outbound = home(true);
    assert_eq!(outbound.end_reported(&target(), &ended(JOB, 2)), Ok(true));
    let next = ForwardRecord { transfer: transfer(3), target: target(), accepted: true };
    outbound.apply_record(1.0, &array(JOB), Some(&next));
    assert_eq!(outbound.next_end(1.0), None);
}

fn request(ended: Vec<wire::EndedGuest>) -> wire::ExchangeRequest {
    let sender = Some(wire::Sender { cell: "target".into(), term: 3 });
    wire::ExchangeRequest { sender, tracked: Vec::new(), finished: Vec::new(), ended }
}

fn guest() -> wire::EndedGuest {
    let transfer = Some(wire::TransferId { home: "home".into(), term: 1, number: 2 });
    wire::EndedGuest { job: JOB.into(), transfer, cancelled: true }
}

#[test]
fn malformed_ends_are_rejected() {
    let valid = Exchange::try_from(request(vec![guest()])).expect("valid request");
    assert_eq!(valid.ended, [EndedGuest { cancelled: true, ..ended(JOB, 2) }]);
    assert_eq!(Exchange::try_from(wire::ExchangeRequest::from(&valid)), Ok(valid));
    for bad in [
        vec![wire::EndedGuest { transfer: None, ..guest() }],
        vec![wire::EndedGuest { job: "w/lead".into(), ..guest() }],
        vec![guest(); ENDS_REPORTED_MAX + 1],
    ] {
        assert_eq!(Exchange::try_from(request(bad)), Err(CellError::Malformed));
    }
}

/// The exchange request of versions that do not know reported ends.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderExchange {
    #[prost(message, optional, tag = "1")]
    sender: Option<wire::Sender>,
    #[prost(message, repeated, tag = "2")]
    tracked: Vec<wire::TrackedJob>,
    #[prost(message, repeated, tag = "3")]
    finished: Vec<wire::FinishedJob>,
}

#[test]
fn older_versions_ignore_reported_ends_and_may_omit_them() {
    let bytes = request(vec![guest()]).encode_to_vec();
    let older = OlderExchange::decode(bytes.as_slice()).expect("unknown fields are ignored");
    assert_eq!(older.sender.as_ref().map(|sender| sender.term), Some(3));
    let newer =
        wire::ExchangeRequest::decode(older.encode_to_vec().as_slice()).expect("valid message");
    assert_eq!(Exchange::try_from(newer).expect("valid request").ended, []);
}
