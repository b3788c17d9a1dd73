//! What a controller costs: processor time, wakeups and memory of the real program over
//! loopback, among the stand-ins of the tests, stage by stage.
//!
//! `cargo bench --bench fleet -- [MACHINES]`. The figures are of this machine and compare
//! versions of the program with each other; `strace -f -c -p` and `perf record -p` on the
//! process ids that it prints tell more.

#[path = "../tests/stand_in/mod.rs"]
mod stand_in;

use stand_in::{Cluster, Plan, Resources, Usage, WorkerTimes};
use std::cell::Cell;
use std::thread;
use std::time::{Duration, Instant};

/// How long each stage is measured.
const STAGE: Duration = Duration::from_secs(10);
/// How long a stage may take to begin.
const SETTLE: Duration = Duration::from_secs(4);
/// CPUs of a machine of the stand-in.
const MACHINE_CPUS: usize = 4;
/// Tenths of a second between two arrays.
const ARRAY_EVERY: usize = 20;
/// Machines, if none are named.
const MACHINES: usize = 240;

fn main() {
    let machines = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(MACHINES);
    let plan = Plan {
        machines_most: machines,
        team_cpus: 1e6,
        times: WorkerTimes { lease_s: 12.0, cancel_s: 32.0 },
        report_s: 2.0,
        resources: Resources { core_share: 0.03, memory_mb: 46.0, sockets: 1_500 },
        ..Plan::small(3)
    };
    let mut cluster = Cluster::start_with(plan);
    println!("processes {:?}", cluster.processes());
    cluster.submit("req-000001", "sweep", 1);
    cluster.until("req-000001", "done");
    cluster.wait_for("all machines are returned", |c| c.rented() == 0);
    measure(&cluster, "idle", || {});

    // Services that never end: one task a CPU, on all machines.
    for n in 0..machines / 8 {
        cluster.submit(&format!("req-{n:05}2"), "daemon", (8 * MACHINE_CPUS) as u32);
    }
    let tasks = machines / 8 * 8 * MACHINE_CPUS;
    cluster.wait_for(&format!("all {tasks} services run"), |c| {
        println!("  {} of {tasks} tasks on {} machines", c.held(), c.rented());
        thread::sleep(Duration::from_secs(2));
        c.held() == tasks
    });
    thread::sleep(SETTLE);
    measure(&cluster, "reports only", || {});
    measure(&cluster, "and 100 polls a second", || {
        for n in 0..10 {
            cluster.call("GET", &format!("/api/jobs/req-{n:05}2"), &[]);
        }
    });

    // Cancelled in turn: a direct order for each machine.
    let before = cluster.usage();
    for n in 0..machines / 16 {
        cluster.call("POST", &format!("/api/jobs/req-{n:05}2/abort"), &[]);
    }
    cluster.wait_for("half of the tasks are gone", |c| c.held() <= tasks / 2 + 32);
    print_usage("half of all tasks cancelled", &before, &cluster.usage(), STAGE);

    // Arrays in the room that came free: a job of 24 tasks of six seconds every two.
    let next = Cell::new(0_usize);
    measure(&cluster, "and arrays, 12 tasks a second", || {
        let n = next.replace(next.get() + 1);
        if n.is_multiple_of(ARRAY_EVERY) {
            cluster.submit(&format!("req-{:05}5", n / ARRAY_EVERY), "sweep", 24);
        }
    });
    takeover(&mut cluster);
    println!("broken {:?}", cluster.broken());
}

/// The cost of a takeover, from the end of one leader until the next has settled.
fn takeover(cluster: &mut Cluster) {
    let leaders = cluster.leaders();
    cluster.kill_leader();
    let mut before = cluster.usage();
    cluster.wait_for("another leads", |c| c.leaders() > leaders);
    for stage in ["election", "takeover, first 0.5 s", "0.5 to 1 s", "1 to 2 s", "2 to 6 s"] {
        let now = cluster.usage();
        print_usage(stage, &before, &now, Duration::from_secs(1));
        before = now;
        let pause = match stage {
            "election" | "takeover, first 0.5 s" => 500,
            "0.5 to 1 s" => 1_000,
            _ => 4_000,
        };
        thread::sleep(Duration::from_millis(pause));
    }
}

fn measure(cluster: &Cluster, stage: &str, every_tenth: impl Fn()) {
    let before = cluster.usage();
    let begun = Instant::now();
    while begun.elapsed() < STAGE {
        every_tenth();
        thread::sleep(Duration::from_millis(100));
    }
    print_usage(stage, &before, &cluster.usage(), begun.elapsed());
}

fn print_usage(stage: &str, before: &[Usage], after: &[Usage], span: Duration) {
    println!("{stage}:");
    for now in after {
        let Some(then) = before.iter().find(|u| u.process == now.process) else { continue };
        let rate =
            |of: fn(&Usage) -> u64| of(now).saturating_sub(of(then)) as f64 / span.as_secs_f64();
        println!(
            "  {}{:<7} own {:6.1} ms/s  kernel {:6.1} ms/s  wakeups {:7.1}/s  memory {:6} KB  threads {}",
            now.process,
            if now.leads { " leader" } else { "" },
            rate(|u| u.own_ms),
            rate(|u| u.kernel_ms),
            rate(|u| u.wakeups),
            now.memory_kb,
            now.threads,
        );
    }
}
