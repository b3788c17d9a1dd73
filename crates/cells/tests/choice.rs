//! Choice of the target cell: which reports are used, free capacity, and the operators'
//! script and its limits.

use marblebarrow_cells::capacity::{Amounts, CapacityReport, CapacityReports, Room};
use marblebarrow_cells::choice::Choice;
use marblebarrow_cells::policy::{Candidate, Policy, PolicyError};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

fn spec(kind: Kind, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: JobId::new("req-000001"),
        class: "a".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus,
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

fn report(sequence: u64, free_cpus: f64, rentable: u32) -> CapacityReport {
    let amounts = |cpus: f64| Amounts { cpus, gpus: 0.0, memory_gb: cpus * 4.0 };
    let room = Room {
        machine_type: "k".into(),
        zone: "a".into(),
        spot: false,
        free: amounts(free_cpus),
        machine: amounts(8.0),
        rentable,
    };
    CapacityReport {
        term: 1,
        sequence,
        backlog: 0,
        rooms: vec![room],
        teams: vec!["t".into()],
        images: vec!["i".into()],
    }
}

fn cell(name: &str) -> CellName {
    CellName::new(name)
}

fn chosen(
    capacity_reports: &CapacityReports,
    now: f64,
    job: &JobSpec,
    seed: u64,
) -> Option<CellName> {
    let cells = [cell("one"), cell("two"), cell("three")];
    let choice = Choice {
        cells: &cells,
        capacity_reports,
        reserved: &BTreeMap::new(),
        now,
        report_age_s: 5.0,
        policy: None,
    };
    choice.choose(job, &mut StdRng::seed_from_u64(seed)).map(|chosen| chosen.cell)
}

#[test]
fn only_newer_and_fresh_reports_are_used() {
    let mut capacity_reports = CapacityReports::default();
    let job = spec(Kind::Array, 4, 1.0);
    assert!(capacity_reports.update(&cell("one"), report(5, 8.0, 0), 10.0));
    assert!(!capacity_reports.update(&cell("one"), report(5, 80.0, 0), 11.0), "repeated");
    assert!(!capacity_reports.update(&cell("one"), report(4, 80.0, 0), 11.0), "out of order");
    assert!(!capacity_reports.update(&cell("one"), report(6, 80.0, 0), 9.0), "late");
    let older = CapacityReport { term: 0, ..report(9, 80.0, 0) };
    assert!(!capacity_reports.update(&cell("one"), older, 12.0), "from an earlier term");
    assert_eq!(chosen(&capacity_reports, 15.0, &job, 1), Some(cell("one")));
    assert_eq!(chosen(&capacity_reports, 15.1, &job, 1), None, "stale");
}

#[test]
fn a_job_moves_only_to_a_cell_with_room_for_it() {
    let nothing = Amounts::default();
    let room = report(1, 8.0, 0);
    assert!(room.has_room(&spec(Kind::Service, 8, 1.0), &nothing));
    assert!(!room.has_room(&spec(Kind::Service, 9, 1.0), &nothing));
    // An array may start with a part of its tasks.
    assert!(room.has_room(&spec(Kind::Array, 32, 1.0), &nothing));
    assert!(!room.has_room(&spec(Kind::Array, 33, 1.0), &nothing));
    // No machine holds a task of this size, however many machines are free.
    assert!(!report(1, 80.0, 9).has_room(&spec(Kind::Array, 1, 9.0), &nothing));
    // Rentable machines count as room; capacity reserved for other jobs does not.
    assert!(report(1, 0.0, 1).has_room(&spec(Kind::Service, 8, 1.0), &nothing));
    let reserved = Amounts { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    assert!(!room.has_room(&spec(Kind::Service, 8, 1.0), &reserved));
    // A cell with a backlog of its own has no room, nor does one that lacks the job's team, zone or
    // machine type.
    let busy = CapacityReport { backlog: 1, ..report(1, 80.0, 0) };
    assert!(!busy.has_room(&spec(Kind::Array, 1, 1.0), &nothing));
    let unplaceable = JobSpec { team: "u".into(), ..spec(Kind::Array, 1, 1.0) };
    assert!(!room.has_room(&unplaceable, &nothing));
    let unplaceable = JobSpec { zone: Some("b".into()), ..spec(Kind::Array, 1, 1.0) };
    assert!(!room.has_room(&unplaceable, &nothing));
    let unplaceable = JobSpec { types: Some(vec!["l".into()]), ..spec(Kind::Array, 1, 1.0) };
    assert!(!room.has_room(&unplaceable, &nothing));
}

/// Two of the three cells are drawn at random: the one with the most free CPUs is chosen most
/// often, but not always.
#[test]
fn jobs_spread_over_cells_with_room() {
    let mut capacity_reports = CapacityReports::default();
    for (name, cpus) in [("one", 40.0), ("two", 48.0), ("three", 56.0)] {
        capacity_reports.update(&cell(name), report(1, cpus, 0), 10.0);
    }
    let mut counts: BTreeMap<CellName, u32> = BTreeMap::new();
    for seed in 0..900 {
        let cell = chosen(&capacity_reports, 10.0, &spec(Kind::Array, 4, 1.0), seed).expect("room");
        *counts.entry(cell).or_default() += 1;
    }
    let count = |name: &str| counts.get(&cell(name)).copied().unwrap_or(0);
    assert!(count("three") > count("two") && count("two") > count("one"), "{counts:?}");
    assert!(count("one") > 50, "{counts:?}");
}

#[test]
fn a_script_may_only_choose_a_given_cell_and_is_sandboxed() {
    let (small, large) = (report(1, 8.0, 0), report(1, 80.0, 0));
    let (one, two) = (cell("one"), cell("two"));
    let cells =
        [Candidate { cell: &one, report: &small }, Candidate { cell: &two, report: &large }];
    let job = spec(Kind::Array, 4, 1.0);
    let choose = |body: &str| {
        let policy = Policy::compile(&format!("fn choose(job, cells) {{ {body} }}"));
        policy.and_then(|policy| policy.choose(&job, &cells))
    };
    assert_eq!(choose("cells[1].name"), Ok(1));
    assert_eq!(choose("for c in cells { if c.free_cpus < 10.0 { return c.name; } }"), Ok(0));
    assert!(matches!(choose("\"three\""), Err(PolicyError::InvalidChoice(_))));
    assert!(matches!(choose("7"), Err(PolicyError::InvalidChoice(_))));
    assert!(matches!(choose("cells[5].name"), Err(PolicyError::Run(_))));
    assert!(matches!(choose("throw \"no\""), Err(PolicyError::Run(_))));
    // Endless loops, unbounded recursion, and unbounded strings and arrays exceed the limits.
    assert!(matches!(choose("loop { }"), Err(PolicyError::Run(_))));
    assert!(matches!(choose("choose(job, cells)"), Err(PolicyError::Run(_))));
    assert!(matches!(choose("let s = \"x\"; loop { s += s; }"), Err(PolicyError::Run(_))));
    assert!(matches!(choose("let l = []; loop { l.push(l.len()); }"), Err(PolicyError::Run(_))));
    // A script has no access to modules, `eval`, time or files.
    for outside in ["import \"x\" as x; \"one\"", "eval(\"1\")", "timestamp()", "open(\"/\")"] {
        assert!(choose(outside).is_err(), "{outside}");
    }
}

/// A failing script must not keep a job from moving: the built-in choice is used instead.
#[test]
fn a_failing_script_falls_back_to_the_built_in_choice() {
    let mut capacity_reports = CapacityReports::default();
    capacity_reports.update(&cell("one"), report(1, 40.0, 0), 10.0);
    let policy = Policy::compile("fn choose(job, cells) { loop { } }").expect("compiles");
    let choice = Choice {
        cells: &[cell("one")],
        capacity_reports: &capacity_reports,
        reserved: &BTreeMap::new(),
        now: 10.0,
        report_age_s: 5.0,
        policy: Some(&policy),
    };
    let chosen = choice.choose(&spec(Kind::Array, 4, 1.0), &mut StdRng::seed_from_u64(1));
    let chosen = chosen.expect("room");
    assert_eq!(chosen.cell, cell("one"));
    assert!(matches!(chosen.policy_error, Some(PolicyError::Run(_))));
}
