//! The home side and the target side of a transfer, each tested in isolation: which answers settle
//! a transfer and which are ignored.

use marblebarrow_cells::capacity::{Amounts, CapacityReport, Room};
use marblebarrow_cells::inbound::{Decision, Inbound, TargetView};
use marblebarrow_cells::message::{CellError, GuestState, Offer, OfferReply, Sender, Verdict};
use marblebarrow_cells::outbound::{EXCHANGE_JOBS_MAX, Outbound, Settlement, refusal_backoff};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::transfer::{ForwardRecord, InboundRecord, RefusalReason, TransferId};
use std::collections::BTreeSet;

fn spec(id: &str) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "a".into(),
        team: "t".into(),
        kind: Kind::Service,
        priority: Priority::Normal,
        tasks: 4,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn transfer(term: u64, number: u32) -> TransferId {
    TransferId { home: CellName::new("home"), term, number }
}

fn forward(number: u32, accepted: bool) -> ForwardRecord {
    ForwardRecord { transfer: transfer(1, number), target: CellName::new("target"), accepted }
}

fn reply(number: u32, verdict: Verdict) -> OfferReply {
    OfferReply { transfer: transfer(1, number), verdict }
}

const ACCEPTED: Verdict = Verdict::Accepted;
const NO_ROOM: Verdict = Verdict::Refused(RefusalReason::NoRoom);

#[test]
fn an_unanswered_offer_is_retried_with_backoff_and_never_taken_as_refused() {
    let mut outbound = Outbound::default();
    let job = JobId::new("req-000001");
    outbound.apply_record(0.0, &spec("req-000001"), Some(&forward(1, false)));
    let mut now = 0.0;
    let mut sent = Vec::new();
    while now < 60.0 {
        if !outbound.due_offers(now, 10).is_empty() {
            sent.push(now);
            // An offer in flight is not sent again.
            assert!(outbound.due_offers(now + 5.0, 10).is_empty());
            assert_eq!(outbound.offer_answered(now, &job, &transfer(1, 1), None), None);
        }
        now += 0.1;
    }
    let waits: Vec<f64> = sent.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(waits.windows(2).all(|w| w[1] >= w[0] - 0.2), "{waits:?}");
    assert!(waits[0] < 1.0 && waits.iter().all(|p| *p < 8.3), "{waits:?}");
    assert_eq!(outbound.in_doubt(), 1);
}

/// A call times out even if neither an answer nor an error ever arrives, so that it cannot block
/// later calls.
#[test]
fn a_call_without_an_answer_times_out() {
    let mut outbound = Outbound::default();
    let target = CellName::new("target");
    outbound.apply_record(0.0, &spec("req-000001"), Some(&forward(1, false)));
    assert_eq!(outbound.due_offers(0.0, 10).len(), 1);
    assert!(outbound.exchange_due(0.0, &target));
    assert!(outbound.due_offers(9.9, 10).is_empty() && !outbound.exchange_due(9.9, &target));
    assert_eq!(outbound.due_offers(10.0, 10).len(), 1);
    assert!(outbound.exchange_due(10.0, &target));
}

#[test]
fn only_the_answer_to_the_open_transfer_settles_it_once() {
    let mut outbound = Outbound::default();
    let job = JobId::new("req-000001");
    outbound.apply_record(0.0, &spec("req-000001"), Some(&forward(2, false)));
    // A delayed answer to the previous transfer.
    let late = reply(1, ACCEPTED);
    assert_eq!(outbound.offer_answered(1.0, &job, &transfer(1, 1), Some(&late)), None);
    // An answer that names a different transfer than the one it answers.
    assert_eq!(outbound.offer_answered(1.0, &job, &transfer(1, 2), Some(&late)), None);
    let refused = reply(2, NO_ROOM);
    let settled = outbound.offer_answered(1.0, &job, &transfer(1, 2), Some(&refused));
    assert_eq!(settled, Some(Settlement::Refused(job.clone(), RefusalReason::NoRoom)));
    // While the settlement is being recorded nothing is offered; if recording fails, the cell is
    // asked again.
    assert!(outbound.due_offers(100.0, 10).is_empty());
    outbound.settle_again(100.0, &job);
    assert_eq!(outbound.due_offers(101.0, 10).len(), 1);
    outbound.apply_record(102.0, &spec("req-000001"), None);
    assert!(outbound.get(&job).is_none());
    // A repeated answer, after the settlement was recorded.
    assert_eq!(outbound.offer_answered(103.0, &job, &transfer(1, 2), Some(&refused)), None);
}

#[test]
fn ends_are_accepted_only_for_the_owning_cell_and_transfer() {
    let mut outbound = Outbound::default();
    let (job, target) = (JobId::new("req-000001"), CellName::new("target"));
    outbound.apply_record(0.0, &spec("req-000001"), Some(&forward(2, false)));
    let id = transfer(1, 2);
    let done = GuestState::Done;
    assert_eq!(
        outbound.apply_status(&target, &job, &id, done),
        None,
        "not yet known to be accepted"
    );
    outbound.apply_record(0.0, &spec("req-000001"), Some(&forward(2, true)));
    assert_eq!(outbound.apply_status(&CellName::new("other"), &job, &id, done), None);
    assert_eq!(outbound.apply_status(&target, &job, &transfer(1, 1), done), None);
    let open = |done, running| GuestState::Open { done, running };
    assert_eq!(outbound.apply_status(&target, &job, &id, open(3, 1)), None);
    // The number of tasks done never decreases, whatever a delayed answer says.
    assert_eq!(outbound.apply_status(&target, &job, &id, open(1, 2)), None);
    assert_eq!(outbound.get(&job).expect("open").counts, (3, 2));
    assert_eq!(outbound.apply_status(&target, &job, &id, done), Some(done));
    assert_eq!(outbound.apply_status(&target, &job, &id, done), None, "being recorded");
}

/// More jobs than fit into one message are polled in turn, and none is skipped.
#[test]
fn more_jobs_than_fit_a_message_are_polled_in_turn() {
    let mut outbound = Outbound::default();
    let (target, jobs) = (CellName::new("target"), EXCHANGE_JOBS_MAX * 2 + 10);
    for n in 0..jobs {
        outbound.apply_record(0.0, &spec(&format!("req-{n:06}")), Some(&forward(n as u32, true)));
    }
    let cancels = BTreeSet::from([JobId::new("req-000300")]);
    let mut seen = BTreeSet::new();
    for _ in 0..3 {
        let tracked = outbound.next_tracked_jobs(&target, &cancels);
        assert!(tracked.len() <= EXCHANGE_JOBS_MAX);
        for job in tracked {
            assert_eq!(job.cancel, cancels.contains(&job.job));
            seen.insert(job.job);
        }
    }
    assert_eq!(seen.len(), jobs);
    assert!(outbound.next_tracked_jobs(&CellName::new("other"), &cancels).is_empty());
}

/// A job is offered again however often it was refused, and sooner if the reason was only a lack of
/// room. Guards against a job that is never offered again after six refusals.
#[test]
fn the_backoff_after_refusals_grows_up_to_a_maximum() {
    let backoff = |refusals| refusal_backoff(refusals, RefusalReason::NoRoom);
    assert_eq!([1, 5, 6, 7, 8, 9, 10, 100].map(backoff), [0.0, 0.0, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]);
    let backoff = |refusals| refusal_backoff(refusals, RefusalReason::Unsuitable);
    assert_eq!([5, 6, 9, 14, 15, u32::MAX].map(backoff), [0.0, 1.0, 8.0, 256.0, 300.0, 300.0]);
}

/// Two home cells poll once a second each, always in the same order. Guards against a shared
/// schedule, with which the first cell's poll used up the turn of both, and records that the other
/// cell no longer needed were never deleted.
#[test]
fn records_of_each_home_are_dropped_regardless_of_polling_order() {
    let mut inbound = inbound();
    let mut due = |now, cell| inbound.drop_due(now, &CellName::new(cell));
    for second in 0..60 {
        let now = f64::from(second);
        assert!(due(now, "third"), "{now}");
        assert!(due(now + 0.5, "home"), "{now}");
        // The previous round is still being written.
        assert!(!due(now + 0.6, "home"), "{now}");
    }
}

fn capacity_report(cpus: f64) -> CapacityReport {
    let amounts = |cpus: f64| Amounts { cpus, gpus: 0.0, memory_gb: 100.0 };
    CapacityReport {
        term: 1,
        sequence: 1,
        backlog: 0,
        rooms: vec![Room {
            machine_type: "k".into(),
            zone: "a".into(),
            spot: false,
            free: amounts(cpus),
            machine: amounts(8.0),
            rentable: 0,
        }],
        teams: vec!["t".into()],
        images: Vec::new(),
    }
}

fn inbound() -> Inbound {
    let known = BTreeSet::from([CellName::new("home"), CellName::new("third")]);
    Inbound::new(CellName::new("target"), known, 8)
}

fn offer(id: &str, term: u64, number: u32) -> Offer {
    Offer {
        sender: Sender { cell: CellName::new("home"), term },
        transfer: transfer(1, number),
        spec: spec(id),
        at_ms: 0,
        withdraw: false,
    }
}

#[test]
fn unknown_cells_and_stale_terms_are_rejected() {
    let mut inbound = inbound();
    let sender = |cell: &str, term| Sender { cell: CellName::new(cell), term };
    assert_eq!(inbound.admit(&sender("nobody", 9)), Err(CellError::UnknownCell));
    assert_eq!(inbound.admit(&sender("target", 9)), Err(CellError::UnknownCell));
    assert_eq!(inbound.admit(&sender("home", 5)), Ok(()));
    assert_eq!(inbound.admit(&sender("home", 4)), Err(CellError::StaleTerm));
    assert_eq!(inbound.admit(&sender("home", 5)), Ok(()));
    // Terms of different cells are independent.
    assert_eq!(inbound.admit(&sender("third", 1)), Ok(()));
}

#[test]
fn recorded_decisions_take_precedence_over_free_capacity() {
    let mut inbound = inbound();
    let free = capacity_report(8.0);
    let view = TargetView { inbound: None, id_known: false, suitable: true, room: &free };
    let decide =
        |inbound: &Inbound, offer: &Offer, view: &TargetView<'_>| inbound.decide(offer, view);
    let first = offer("req-000001", 1, 1);
    assert_eq!(decide(&inbound, &first, &view), Ok(Decision::Accept));
    // The job was accepted earlier: the reply does not depend on the current room, nor on a
    // withdrawal by the home cell.
    let record = InboundRecord { transfer: transfer(1, 1) };
    let none = capacity_report(0.0);
    let known = TargetView { inbound: Some(&record), id_known: true, room: &none, ..view };
    assert_eq!(decide(&inbound, &first, &known), Ok(Decision::AlreadyAccepted));
    let withdrawn = Offer { withdraw: true, ..first.clone() };
    assert_eq!(decide(&inbound, &withdrawn, &known), Ok(Decision::AlreadyAccepted));
    let view = TargetView { inbound: None, id_known: false, suitable: true, room: &free };
    let refused = |reason| Ok(Decision::Refuse(reason));
    assert_eq!(decide(&inbound, &withdrawn, &view), refused(RefusalReason::Withdrawn));
    let taken = TargetView { id_known: true, ..view };
    assert_eq!(decide(&inbound, &first, &taken), refused(RefusalReason::IdInUse));
    let other = InboundRecord { transfer: transfer(1, 7) };
    let view = TargetView { inbound: Some(&other), id_known: false, suitable: true, room: &free };
    assert_eq!(decide(&inbound, &first, &view), refused(RefusalReason::IdInUse));
    let view = TargetView { inbound: None, id_known: false, suitable: false, room: &free };
    assert_eq!(decide(&inbound, &first, &view), refused(RefusalReason::Unsuitable));
    let view = TargetView { inbound: None, id_known: false, suitable: true, room: &none };
    assert_eq!(decide(&inbound, &first, &view), refused(RefusalReason::NoRoom));

    // A copy that arrives while the first offer is being recorded gets `Busy`; the capacity
    // reserved for the first is no longer free.
    inbound.recording(&first.transfer);
    inbound.reserve(&first.spec, &first.transfer);
    inbound.release_reservations(|_| false);
    let view = TargetView { inbound: None, id_known: false, suitable: true, room: &free };
    assert_eq!(decide(&inbound, &first, &view), Ok(Decision::Busy));
    let second = offer("req-000002", 1, 2);
    assert_eq!(decide(&inbound, &second, &view), Ok(Decision::Accept));
    inbound.recording(&second.transfer);
    inbound.reserve(&second.spec, &second.transfer);
    let third = offer("req-000003", 1, 3);
    assert_eq!(decide(&inbound, &third, &view), refused(RefusalReason::NoRoom));
    inbound.recorded(&first.transfer);
    inbound.recorded(&second.transfer);
    inbound.release_reservations(|_| false);
    assert_eq!(decide(&inbound, &third, &view), Ok(Decision::Accept));
}

#[test]
fn malformed_offers_are_rejected_without_a_record() {
    let inbound = inbound();
    let free = capacity_report(8.0);
    let view = || TargetView { inbound: None, id_known: false, suitable: true, room: &free };
    let mut home_here = offer("req-000001", 1, 1);
    home_here.transfer.home = CellName::new("target");
    assert_eq!(inbound.decide(&home_here, &view()), Err(CellError::HomeHere));
    let mut foreign_home = offer("req-000001", 1, 1);
    foreign_home.transfer.home = CellName::new("third");
    assert_eq!(inbound.decide(&foreign_home, &view()), Err(CellError::Malformed));
    let mut future_term = offer("req-000001", 1, 1);
    future_term.transfer.term = 2;
    assert_eq!(inbound.decide(&future_term, &view()), Err(CellError::Malformed));
}
