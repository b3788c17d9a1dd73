//! Job transfer between two or three cells of real controllers over loopback, with killed leaders,
//! a cut link and a lost cell. Where each task ran is counted from the workers' own records.

mod stand_in;

use marblebarrow_proto::ids::{JobId, TaskId};
use marblebarrow_proto::transfer::INBOUND_PREFIX;
use stand_in::{CellPlan, Cells, Plan};
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Jobs submitted to the full cell.
const JOBS: u32 = 1_000;
/// Machines of the full cell, with 4 CPUs each.
const FULL_MACHINES: usize = 2;
/// Time after which the test stops waiting for all jobs and fails.
const TIMEOUT: Duration = Duration::from_secs(600);

fn id(n: u32) -> String {
    // Tasks of jobs whose names end in 1 run for one second.
    format!("req-{n:05}1")
}

fn cell(max_machines: usize) -> CellPlan {
    let plan = Plan { max_machines, team_cpus: 1_000.0, ..Plan::small(3) };
    CellPlan { plan, transfers_allowed: true }
}

/// Polls the unfinished jobs in turn until all are done or the timeout expires, and calls `at`
/// with the number of finished jobs after each poll. Returns the jobs that are not done.
fn wait_for_all(cells: &mut Cells, mut at: impl FnMut(&mut Cells, usize)) -> BTreeSet<u32> {
    let end = Instant::now() + TIMEOUT;
    let mut open: BTreeSet<u32> = (0..JOBS).collect();
    while !open.is_empty() && Instant::now() < end {
        for n in open.clone() {
            let stage = cells.clusters[0].stage_of(&id(n));
            let stage = stage.unwrap_or_else(|| panic!("the home cell does not know {}", id(n)));
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

/// Guards against lost and duplicated jobs in transfers: a thousand jobs are submitted to a full
/// cell, a leader on each side is killed and a link is cut midway. Each job must run exactly once,
/// in exactly one cell.
#[test]
fn a_thousand_jobs_leave_a_full_cell_once_each() {
    let mut cells = Cells::start(&[cell(FULL_MACHINES), cell(12), cell(12)]);
    // A service uses all CPUs of the cell.
    let cpus = FULL_MACHINES as u32 * 4;
    cells.clusters[0].submit("req-900002", "daemon", cpus);
    cells.clusters[0].wait_for("the cell is full", |c| c.held() == cpus as usize);
    let changes_before = cells.clusters[0].store_changes();
    for n in 0..JOBS {
        cells.clusters[0].submit(&id(n), "sweep", 1);
    }
    let mut faults = vec![
        (700usize, "link mended"),
        (500, "home leader"),
        (300, "link cut"),
        (150, "target leader"),
    ];
    let open = wait_for_all(&mut cells, |cells, done| {
        while faults.last().is_some_and(|(at, _)| done >= *at) {
            match faults.pop().map(|(_, what)| what) {
                Some("home leader") => cells.clusters[0].kill_leader(),
                Some("target leader") => cells.clusters[1].kill_leader(),
                Some("link cut") => cells.cut(0, 2, true),
                _ => cells.cut(0, 2, false),
            }
        }
    });
    assert_eq!(open, BTreeSet::new(), "jobs not done in time");
    assert_eq!(faults, vec![], "every fault was injected");

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
        assert_eq!(ran_in, 1, "{job} must run in exactly one cell, ran in {ran_in}");
        let task = TaskId { job: job.clone(), index: 0 };
        assert_eq!(completions.get(&task), Some(&1), "completions of {job}");
        let accepted = cells.clusters.iter().filter(|cluster| {
            cluster.keys_ever_put(INBOUND_PREFIX).contains(&format!("{INBOUND_PREFIX}{job}"))
        });
        assert_eq!(accepted.count(), 1, "{job} must be accepted by exactly one other cell");
    }
    // Every running controller of the home cell keeps the reported stage; the other cells
    // delete their records of transferred jobs.
    cells.clusters[0].until(&id(0), "done");
    for cluster in &cells.clusters[1..] {
        cluster.wait_for("records of transferred jobs are deleted", |c| {
            c.key_count(INBOUND_PREFIX) == 0
        });
    }
    let changes = cells.clusters[0].store_changes() - changes_before;
    println!("{changes} changes of the home store for {JOBS} jobs");
}

/// The home cell may confirm the cancellation of a transferred job only once the cell that runs
/// the job has recorded it.
#[test]
fn cancelling_a_transferred_job_at_home_stops_it_in_the_other_cell() {
    let cells = Cells::start(&[cell(1), cell(4)]);
    cells.clusters[0].submit("req-900002", "daemon", 4);
    cells.clusters[0].wait_for("the cell is full", |c| c.held() == 4);
    cells.clusters[0].submit("req-000012", "daemon", 2);
    cells.clusters[0].until("req-000012", "running");
    cells.clusters[1].wait_for("2 tasks run", |c| c.holds_tasks(&JobId::new("req-000012")) == 2);
    let (status, _) = cells.clusters[0].call("POST", "/api/jobs/req-000012/abort", &[]);
    assert_eq!(status, 200);
    cells.clusters[0].until("req-000012", "aborted");
    cells.clusters[1].wait_until_gone("req-000012");
    assert_eq!(cells.clusters[1].broken(), Vec::<String>::new());
}

fn cells_command(cells: &Cells, arguments: &[&str]) -> (Option<i32>, String) {
    // Only the leader answers, so the command is tried on each controller in turn.
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

/// When another cell is lost, its transferred jobs must not restart at home by themselves, since
/// they might run twice. Only an operator who declares the cell lost and types its name to confirm
/// takes them back; then they run at home.
#[test]
fn jobs_of_a_lost_cell_return_home_only_once_an_operator_declares_it_lost() {
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
    cells.clusters[0].wait_for("both tasks run in the home cell", |c| c.holds_tasks(&job) == 2);
}
