use super::*;
use proptest::prelude::*;

/// The example of the protocol specification, as a CBOR map.
fn example() -> Vec<(Value, Value)> {
    let t = |s: &str| Value::Text(s.into());
    let f = Value::Float;
    [
        ("ref", t("req-000412")),
        ("lot", t("train")),
        ("crew", t("vision")),
        ("shape", t("sweep")),
        ("rank", t("high")),
        ("pieces", Value::from(16)),
        ("vcpus", f(8.0)),
        ("cards", Value::from(1)),
        ("mem_gb", f(64.0)),
        ("mould", t("img-07")),
        ("size_gb", f(6.2)),
        ("builds", Value::Array(vec![t("g8")])),
        ("quarter", Value::Null),
        ("together", Value::Bool(true)),
        ("spread", Value::Bool(false)),
        ("loaners", Value::Bool(true)),
        ("guess_s", f(240.0)),
        ("mark_s", f(30.0)),
        ("stow_s", f(4.0)),
        ("due_s", f(900.0)),
        ("unheard_of", t("x")),
    ]
    .into_iter()
    .map(|(k, v)| (t(k), v))
    .collect()
}

fn parse(m: Vec<(Value, Value)>) -> Result<JobSpec, InvalidJob> {
    JobSpec::parse(&cbor::encode(&Value::Map(m)))
}

#[test]
fn accepts_the_example_and_round_trips_through_a_stored_value() {
    let spec = parse(example()).expect("valid");
    assert_eq!((spec.tasks, spec.gpus, spec.zone.clone()), (16, 1.0, None));
    let back: JobSpec = cbor::from_value(&cbor::to_value(&spec)).expect("round trip");
    assert_eq!(back, spec);
}

/// The id is found whatever the other fields, as long as it is well-formed itself.
#[test]
fn finds_the_id_of_an_invalid_submission() {
    let with_id = |id: &str| {
        let fields = vec![(Value::Text("ref".into()), Value::Text(id.into()))];
        JobSpec::id_in(&cbor::encode(&Value::Map(fields)))
    };
    assert_eq!(with_id("req-000412"), Some(JobId::new("req-000412")));
    assert_eq!(with_id("req-"), None);
    assert_eq!(JobSpec::id_in(&cbor::encode(&Value::Map(vec![]))), None);
    assert_eq!(JobSpec::id_in(b"\xff\x00"), None);
}

#[test]
fn rejects_each_missing_or_invalid_field() {
    for (i, (name, _)) in example().iter().enumerate() {
        let name = name.as_text().expect("text").to_owned();
        let mut m = example();
        m.remove(i);
        let optional = ["builds", "quarter", "due_s", "unheard_of"].contains(&name.as_str());
        assert_eq!(parse(m).is_ok(), optional, "without {name}");
        if name == "unheard_of" {
            continue;
        }
        for bad in [Value::Float(f64::NAN), Value::from(-1), Value::Map(vec![])] {
            let mut m = example();
            m[i].1 = bad;
            assert!(parse(m).is_err(), "bad {name}");
        }
    }
    for n in [0i64, 100_001, i64::MAX] {
        let mut m = example();
        m[5].1 = Value::from(n);
        assert_eq!(parse(m), Err(InvalidJob::Field("pieces")));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = JobSpec::parse(&bytes);
        let _ = JobSpec::id_in(&bytes);
    }

    #[test]
    fn corrupted_bodies_never_panic(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
        let mut body = cbor::encode(&Value::Map(example()));
        let at = at % body.len();
        body[at] = byte;
        body.truncate(body.len() - cut % body.len());
        let _ = JobSpec::parse(&body);
    }
}

/// `waits_on` holds job ids, at most [`MAX_DEPENDENCIES`]; duplicates are removed.
#[test]
fn accepts_dependencies_and_rejects_invalid_lists() {
    let with = |list: Vec<Value>| {
        let mut m = example();
        m.push((Value::Text("waits_on".into()), Value::Array(list)));
        parse(m)
    };
    let ids: Vec<Value> = (0..=MAX_DEPENDENCIES).map(|n| Value::Text(format!("req-{n}"))).collect();
    let spec = with(vec![ids[1].clone(), ids[2].clone(), ids[1].clone()]).expect("valid");
    assert_eq!(spec.dependencies, [JobId::new("req-1"), JobId::new("req-2")]);
    assert_eq!(cbor::from_value::<JobSpec>(&cbor::to_value(&spec)).ok(), Some(spec));
    let most = with(ids[..MAX_DEPENDENCIES].to_vec()).map(|s| s.dependencies.len());
    assert_eq!(most, Ok(MAX_DEPENDENCIES));
    for list in [ids, vec![Value::from(7)], vec![Value::Text("nonsense".into())]] {
        assert_eq!(with(list), Err(InvalidJob::Field("waits_on")));
    }
    let mut not_a_list = example();
    not_a_list.push((Value::Text("waits_on".into()), Value::Text("req-1".into())));
    assert_eq!(parse(not_a_list), Err(InvalidJob::Field("waits_on")));
}
