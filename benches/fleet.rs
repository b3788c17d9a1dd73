//! Measures a controller's CPU time, wakeups and memory stage by stage: the real program over
//! loopback, with the fake services of the tests.
//!
//! `cargo bench --bench fleet -- [MACHINES]`. The figures are only comparable between versions of
//! the program on one machine; `strace -f -c -p` and `perf record -p` on the printed process ids
//! give more detail.

#[path = "../tests/stand_in/mod.rs"]
mod stand_in;

use stand_in::{Cluster, Plan, Resources, Usage, WorkerTimes};
use std::cell::Cell;
use std::thread;
use std::time::{Duration, Instant};

/// Duration of the measurement of each stage.
const STAGE_DURATION: Duration = Duration::from_secs(10);
/// Wait for a stage to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// CPUs of a machine of the fake cloud.
const MACHINE_CPUS: usize = 4;
/// Interval between two job arrays, in tenths of a second.
const ARRAY_INTERVAL_TENTHS: usize = 20;
/// Default number of machines.
const DEFAULT_MACHINES: usize = 240;

fn main() {
    let machines =
        std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(DEFAULT_MACHINES);
    let plan = Plan {
        max_machines: machines,
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

    // Services that never end: one task per CPU on all machines.
    for n in 0..machines / 8 {
        cluster.submit(&format!("req-{n:05}2"), "daemon", (8 * MACHINE_CPUS) as u32);
    }
    let tasks = machines / 8 * 8 * MACHINE_CPUS;
    cluster.wait_for(&format!("all {tasks} services run"), |c| {
        println!("  {} of {tasks} tasks on {} machines", c.held(), c.rented());
        thread::sleep(Duration::from_secs(2));
        c.held() == tasks
    });
    thread::sleep(SETTLE_TIME);
    measure(&cluster, "reports only", || {});
    measure(&cluster, "and 100 polls a second", || {
        for n in 0..10 {
            cluster.call("GET", &format!("/api/jobs/req-{n:05}2"), &[]);
        }
    });

    // Cancels the services one by one: a direct command to each machine.
    let before = cluster.usage();
    for n in 0..machines / 16 {
        cluster.call("POST", &format!("/api/jobs/req-{n:05}2/abort"), &[]);
    }
    cluster.wait_for("half of the tasks are gone", |c| c.held() <= tasks / 2 + 32);
    print_usage("half of all tasks cancelled", &before, &cluster.usage(), STAGE_DURATION);

    // Job arrays on the freed capacity: a job of 24 six-second tasks every two seconds.
    let next = Cell::new(0_usize);
    measure(&cluster, "and arrays, 12 tasks a second", || {
        let n = next.replace(next.get() + 1);
        if n.is_multiple_of(ARRAY_INTERVAL_TENTHS) {
            cluster.submit(&format!("req-{:05}5", n / ARRAY_INTERVAL_TENTHS), "sweep", 24);
        }
    });
    takeover(&mut cluster);
    println!("broken {:?}", cluster.broken());
}

/// Measures the cost of a takeover, from the end of one leader until the next has settled.
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

fn measure(cluster: &Cluster, stage: &str, every_100_ms: impl Fn()) {
    let before = cluster.usage();
    let begun = Instant::now();
    while begun.elapsed() < STAGE_DURATION {
        every_100_ms();
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
