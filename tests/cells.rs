//! Three cells of real controllers over loopback. One is full, a thousand jobs are submitted
//! to it, leaders are killed and a link is cut midway. What ran where is counted from the
//! workers' own records.

mod stand_in;

use marblebarrow_proto::ids::{JobId, TaskId};
use marblebarrow_proto::transfer::INBOUND;
use stand_in::{CellPlan, Cells, Plan};
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Jobs submitted to the full cell.
const JOBS: u32 = 1_000;
/// Machines of the cell that is full, of 4 CPUs each.
const FULL_MACHINES: usize = 2;
/// Longest that all jobs may take before the test gives up.
const PATIENCE: Duration = Duration::from_secs(600);

fn id(n: u32) -> String {
    // Jobs whose names end in 1 run for a second.
    format!("req-{n:05}1")
}

fn cell(machines_most: usize) -> CellPlan {
    let plan = Plan { machines_most, team_cpus: 1_000.0, ..Plan::small(3) };
    CellPlan { plan, moving: true }
}

/// Asks about open jobs in turn, until all are done or the time is over; calls `at` with how
/// many are.
fn wait_for_all(cells: &mut Cells, mut at: impl FnMut(&mut Cells, usize)) -> BTreeSet<u32> {
    let end = Instant::now() + PATIENCE;
    let mut open: BTreeSet<u32> = (0..JOBS).collect();
    while !open.is_empty() && Instant::now() < end {
        for n in open.clone() {
            let stage = cells.clusters[0].stage_of(&id(n));
            let stage = stage.unwrap_or_else(|| panic!("{} is not known", id(n)));
            assert!(matches!(stage.as_str(), "queued" | "running" | "done"), "{stage}");
            if stage == "done" {
                open.remove(&n);
            }
            at(cells, JOBS as usize - open.len());
        }
        thread::sleep(Duration::from_millis(200));
    }
    open
}

#[test]
fn a_thousand_jobs_leave_a_full_cell_once_each() {
    let mut cells = Cells::start(&[cell(FULL_MACHINES), cell(12), cell(12)]);
    // A service fills the cell.
    let cpus = FULL_MACHINES as u32 * 4;
    cells.clusters[0].submit("req-900002", "daemon", cpus);
    cells.clusters[0].wait_for("the cell is full", |c| c.held() == cpus as usize);
    let changes_before = cells.clusters[0].store_changes();
    for n in 0..JOBS {
        cells.clusters[0].submit(&id(n), "sweep", 1);
    }
    let mut steps = vec![
        (700usize, "link mended"),
        (500, "home leader"),
        (300, "link cut"),
        (150, "target leader"),
    ];
    let open = wait_for_all(&mut cells, |cells, done| {
        while steps.last().is_some_and(|(at, _)| done >= *at) {
            match steps.pop().map(|(_, what)| what) {
                Some("home leader") => cells.clusters[0].kill_leader(),
                Some("target leader") => cells.clusters[1].kill_leader(),
                Some("link cut") => cells.cut(0, 2, true),
                _ => cells.cut(0, 2, false),
            }
        }
    });
    assert_eq!(open, BTreeSet::new(), "not done");
    assert_eq!(steps, vec![], "every trouble came");

    let run: Vec<BTreeSet<JobId>> = cells.clusters.iter().map(|c| c.jobs_run()).collect();
    let mut completions: BTreeMap<TaskId, u32> = BTreeMap::new();
    for cluster in &cells.clusters {
        assert_eq!(cluster.broken(), Vec::<String>::new());
        for (task, count) in cluster.completions() {
            *completions.entry(task).or_default() += count;
        }
    }
    for n in 0..JOBS {
        let job = JobId::new(&id(n));
        let ran_in = run.iter().filter(|jobs| jobs.contains(&job)).count();
        assert_eq!(ran_in, 1, "{job} ran in {ran_in} cells");
        let task = TaskId { job: job.clone(), index: 0 };
        assert_eq!(completions.get(&task), Some(&1), "{job}");
        let accepted = cells
            .clusters
            .iter()
            .filter(|cluster| cluster.keys_ever(INBOUND).contains(&format!("{INBOUND}{job}")));
        assert_eq!(accepted.count(), 1, "{job} moved once, as its home was full");
    }
    // What was told stays so, at every controller that lives; the others may forget.
    cells.clusters[0].until(&id(0), "done");
    for cluster in &cells.clusters[1..] {
        cluster.wait_for("guests are dropped", |c| c.keys_under(INBOUND) == 0);
    }
    let changes = cells.clusters[0].store_changes() - changes_before;
    println!("{changes} changes of the home store for {JOBS} jobs");
}

/// A cancellation at home is confirmed once the cell that runs the job has it.
#[test]
fn a_job_elsewhere_is_cancelled_at_home() {
    let cells = Cells::start(&[cell(1), cell(4)]);
    cells.clusters[0].submit("req-900002", "daemon", 4);
    cells.clusters[0].wait_for("the cell is full", |c| c.held() == 4);
    cells.clusters[0].submit("req-000012", "daemon", 2);
    cells.clusters[0].until("req-000012", "running");
    cells.clusters[1].wait_for("it is there", |c| c.holds_tasks(&JobId::new("req-000012")) == 2);
    let (status, _) = cells.clusters[0].call("POST", "/api/jobs/req-000012/abort", &[]);
    assert_eq!(status, 200);
    cells.clusters[0].until("req-000012", "aborted");
    cells.clusters[1].until_gone("req-000012");
    assert_eq!(cells.clusters[1].broken(), Vec::<String>::new());
}

fn cells_command(cells: &Cells, arguments: &[&str]) -> (Option<i32>, String) {
    // Whichever controller leads answers.
    for listen in cells.listen[0].iter().cycle().take(60) {
        let output = Command::new(env!("CARGO_BIN_EXE_marblebarrow"))
            .args(["cells", "--server", &listen.to_string()])
            .args(arguments)
            .output()
            .expect("runs");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        if output.status.code() != Some(1) {
            return (output.status.code(), text);
        }
        thread::sleep(Duration::from_millis(200));
    }
    (Some(1), String::new())
}

/// A cell that is gone leaves its guests known; only an operator's word, given twice, takes
/// them back, and then they run at home.
#[test]
fn a_lost_cell_gives_its_jobs_back_on_an_operators_word_alone() {
    let mut cells = Cells::start(&[cell(1), cell(4)]);
    cells.clusters[0].submit("req-900002", "daemon", 4);
    cells.clusters[0].wait_for("the cell is full", |c| c.held() == 4);
    cells.clusters[0].submit("req-000012", "daemon", 2);
    cells.clusters[0].until("req-000012", "running");
    let (code, text) = cells_command(&cells, &[]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("other=cell-1 link=\"heard"), "{text}");
    assert!(text.contains("job=req-000012 target=cell-1 state=there"), "{text}");

    cells.clusters[1].kill_all();
    assert_eq!(cells.clusters[0].call("POST", "/api/jobs/req-900002/abort", &[]).0, 200);
    cells.clusters[0].until("req-000012", "running");
    let (code, text) = cells_command(&cells, &["--declare-lost", "cell-1"]);
    assert!(code == Some(2) && text.contains("run twice"), "{code:?} {text}");
    let typed = ["--declare-lost", "cell-1", "--typed-name", "cell-1"];
    let (code, text) = cells_command(&cells, &typed);
    assert_eq!(code, Some(0), "{text}");
    let job = JobId::new("req-000012");
    cells.clusters[0].wait_for("it runs at home", |c| c.holds_tasks(&job) == 2);
}
