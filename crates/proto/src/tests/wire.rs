use super::*;
use crate::cbor;
use crate::ids::{JobId, NodeId};
use crate::records::LeaderRecord;
use ciborium::Value;

#[test]
fn decodes_integers_as_floats_and_ignores_unknown_values() {
    let body = Value::serialized(&heartbeat_value()).expect("value");
    let heartbeat: Heartbeat = cbor::decode(&cbor::encode(&body)).expect("report");
    assert_eq!(heartbeat.tasks[0].state, TaskState::Other);
    assert_eq!(heartbeat.tasks[1].end_reason, Some(EndReason::Done));
    assert_eq!(heartbeat.notice_s, Some(7.0));
}

/// A heartbeat with an integer in place of a float, an unknown task state and an unknown field.
fn heartbeat_value() -> Value {
    let t = |s: &str| Value::Text(s.into());
    let map = |v: Vec<(&str, Value)>| Value::Map(v.into_iter().map(|(k, v)| (t(k), v)).collect());
    let task = |stage: &str, cause: Value| {
        map(vec![
            ("piece", t("req-1/3")),
            ("try", Value::from(2)),
            ("stage", t(stage)),
            ("cause", cause),
        ])
    };
    map(vec![
        ("barrow", t("n-1")),
        ("addr", t("10.1.0.2:9000")),
        ("build", t("g8")),
        ("quarter", t("a")),
        ("loaners", Value::Bool(true)),
        ("shift", Value::from(1)),
        ("tally", Value::from(88)),
        ("baton", Value::from(41)),
        ("warning_s", Value::from(7)),
        ("new_field", Value::Null),
        (
            "pieces",
            Value::Array(vec![task("something_new", Value::Null), task("ended", t("done"))]),
        ),
    ])
}

#[test]
fn transactions_round_trip() {
    let txn = Txn {
        conditions: vec![Condition { key: "a".into(), version: 0 }],
        writes: vec![
            Write::Put { key: "a".into(), value: Value::from(1), lease: Some(7) },
            Write::Delete { key: "b".into() },
        ],
    };
    let back: Txn = cbor::decode(&cbor::encode(&txn)).expect("round trip");
    assert_eq!(back, txn);
}

/// A status without dependencies must be encoded as before `waits_on` was added: without it.
#[test]
fn a_status_omits_dependencies_when_there_are_none() {
    let id = JobId::new("req-1");
    let mut status = JobStatus { id, stage: Stage::Queued, done: 0, running: 0, waits_on: vec![] };
    assert!(matches!(Value::serialized(&status), Ok(Value::Map(fields)) if fields.len() == 4));
    status.waits_on = vec![JobId::new("req-0")];
    assert_eq!(cbor::decode::<JobStatus>(&cbor::encode(&status)).ok(), Some(status));
}

/// The field names of the stored leader record must stay those that the version in production
/// reads.
#[test]
fn the_leader_record_keeps_its_stored_field_names() {
    let record = LeaderRecord { node: NodeId::new("c0"), term: 2, lease: 7, boot: 3 };
    let Ok(Value::Map(fields)) = Value::serialized(&record) else { panic!("a map") };
    let names: Vec<&str> = fields.iter().filter_map(|(name, _)| name.as_text()).collect();
    assert_eq!(names, ["node", "term", "grant", "boot"]);
    assert_eq!(fields[2].1, Value::from(7));
}
