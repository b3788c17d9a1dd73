use super::*;

fn settings(state: &str, objectives: &str) -> String {
    format!(
        "node = \"c0\"\nserve_on = \"127.0.0.1:1\"\npeer_bind = \"127.0.0.1:2\"\n\
         [endpoints]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n{objectives}\n\
         [facts.workers]\nreport_s = 2.0\nlease_s = 12.0\ncancel_s = 32.0\n{state}\n\
         [facts.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n\
         [facts.resources]\nmem_mb = 72.0\nfd_limit = 1500\n"
    )
}

const STATE: &str = "[facts.state]\nrps = 100.0\nwrite_rps = 20.0\nvalue_kb = 16.0\ntxn_ops = 16\n";

fn limits(next: &str) -> Result<(f64, f64, usize, usize), String> {
    let text = settings(&format!("{STATE}{next}"), "");
    let settings = Settings::parse(&text).map_err(|(field, _)| field)?;
    let facts = settings.facts;
    Ok((facts.store_rps, facts.store_write_rps, facts.store_value_bytes, facts.store_txn_ops))
}

#[test]
fn smaller_of_current_and_announced_limits_applies() {
    assert_eq!(limits(""), Ok((100.0, 20.0, 16 * 1024, 16)));
    let next = "[facts.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\n";
    assert_eq!(limits(next), Ok((100.0, 15.0, 2 * 1024, 5)));
    let wider = "[facts.state.next]\nrps = 300.0\nvalue_kb = 64.0\n";
    assert_eq!(limits(wider), Ok((100.0, 20.0, 16 * 1024, 16)));
}

#[test]
fn limits_too_small_for_a_record_are_rejected() {
    let next = |line: &str| limits(&format!("[facts.state.next]\n{line}\n"));
    assert_eq!(next("value_kb = 1.0"), Err("facts.state.value_kb".into()));
    assert_eq!(next("txn_ops = 3"), Err("facts.state.txn_ops".into()));
    assert_eq!(next("write_rps = 0.0"), Err("facts.state.next.write_rps".into()));
    assert_eq!(next("rps = -1.0"), Err("facts.state.next.rps".into()));
}

#[test]
fn wait_objective_applies_to_classes_without_a_completion_objective() {
    let objective = |kind: &str, class: &str, rest: &str| {
        format!("[[facts.objectives]]\nkind = \"{kind}\"\nclass = \"{class}\"\n{rest}\n")
    };
    let objectives = [
        objective("wait", "cleaning", "within_s = 40.0"),
        objective("wait", "nightly", "within_s = 90.0"),
        objective("deadline", "nightly", "times = 1.5"),
    ];
    let text = settings(STATE, &objectives.concat());
    let facts = Settings::parse(&text).expect("valid settings").facts;
    assert_eq!(facts.start_within("cleaning"), Some(40.0));
    assert_eq!(facts.start_within("nightly"), None);
    assert_eq!(facts.deadline_times("nightly"), 1.5);
    assert!(facts.aimed("cleaning") && facts.aimed("nightly") && !facts.aimed("other"));
}
