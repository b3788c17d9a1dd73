//! A production service of a team within its guarantee waits without end for idle-rank work of a
//! team without one, which starts after it on the machines that it needs.

use crate::cluster::{Cluster, Plan, Team};
use crate::platform::{Flavor, Job, Terms};
use crate::store::Limits;
use crate::{Context, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the service is watched. By the rule it needn't wait for the other team at all.
const WAIT_S: f64 = 90.0;
/// When the case ends at the latest, seconds after its start.
const END_S: f64 = 117.0;

pub fn run(context: &Context) -> Verdict {
    let tinish = Flavor {
        sku: "tinish",
        vcpus: 4.0,
        mem_gb: 16.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 1.0,
        price: 0.24,
        spot_price: 0.1,
        startup_s: 2.0,
        zones: vec!["addis"],
    };
    let plan = Plan {
        teams: vec![
            Team { name: "sheba", cpus: 48.0, cpus_max: 152.0 },
            Team { name: "birr-lenders", cpus: 0.0, cpus_max: 0.0 },
        ],
        cancel_s: 32.0,
        limits: Limits { rps: 100.0, write_rps: 20.0, value_kb: 16.0, txn_ops: 16 },
        next: None,
        cloud_rps: 5.0,
        core_share: 0.096,
        mem_mb: 72.0,
        terms: Terms { report_s: 2.0, lease_s: 12.0, list_lag_s: 5.0, flavors: vec![tinish] },
    };
    let record = &context.record;
    let cluster = Arc::new(Cluster::start(&plan, record, context.dir));
    cluster.platform.set_capacity("tinish", "addis", false, 2);
    cluster.platform.set_capacity("tinish", "addis", true, 0);
    if !cluster.wait_ready() {
        return Verdict::NotRun("the controllers weren't ready in time".to_owned());
    }
    let service = |id: &str| {
        let mut job = Job::array(id, "sheba", 1, 0.0);
        (job.service, job.rank, job.class) = (true, "production", "dereseny".to_owned());
        (job.vcpus, job.mem_gb, job.loaners) = (4.0, 13.0, false);
        job
    };
    // Ordinary work, for which both machines are rented; it is over before the service comes.
    let mut first = Job::array("req-000002", "sheba", 8, 6.0);
    first.class = "mezgeb".to_owned();
    if !matches!(cluster.submit(&first, 0), 200 | 201) {
        return Verdict::NotRun("a submission wasn't accepted".to_owned());
    }
    let over = Arc::new(AtomicBool::new(false));
    let guest = {
        let (cluster, over, trouble) = (cluster.clone(), over.clone(), context.trouble);
        thread::spawn(move || {
            let mut n = 0;
            while trouble && !over.load(Ordering::Relaxed) {
                n += 1;
                let run_s = 9.0 + f64::from(n * 7 % 13);
                let mut job = Job::array(&format!("req-{:06}", 1000 + n), "birr-lenders", 1, run_s);
                (job.rank, job.class, job.mem_gb) = ("idle", "loan-checks".to_owned(), 2.0);
                job.guess_s = 12.0;
                cluster.submit(&job, n as usize);
                let pause = if n < 24 { 250 } else { 900 };
                thread::sleep(Duration::from_millis(pause));
            }
        })
    };
    let begun = cluster.wait(25.0, || {
        let jobs = cluster.platform.completed(&first.id) == 8;
        jobs && (!context.trouble || cluster.platform.team_cpus("birr-lenders") >= 8.0)
    });
    if !begun {
        over.store(true, Ordering::Relaxed);
        return Verdict::NotRun("the first jobs didn't run in time".to_owned());
    }
    let urgent = service("req-000001");
    if !matches!(cluster.submit(&urgent, 0), 200 | 201) {
        return Verdict::NotRun("the service wasn't accepted".to_owned());
    }
    let accepted = Instant::now();
    let before = cluster.platform.starts_of_team("birr-lenders");
    let (mut broken, mut decided) = (false, false);
    let mut shown = 0.0;
    while record.now() < END_S {
        thread::sleep(Duration::from_millis(50));
        if cluster.platform.starts(&urgent.id) > 0 {
            let waited = accepted.elapsed().as_secs_f64();
            record.line(&format!("the service has started after {waited:.1} s"));
            decided = true;
            break;
        }
        let waited = accepted.elapsed().as_secs_f64();
        if record.now() >= shown + 10.0 {
            shown = record.now();
            let since = cluster.platform.starts_of_team("birr-lenders") - before;
            record.line(&format!(
                "{} waits for {waited:.1} s; {since} idle-rank tasks of the other team have \
                 started since it was accepted; its own team uses {} of 48 guaranteed CPUs",
                urgent.id,
                cluster.platform.team_cpus("sheba") + 0.0
            ));
            cluster.platform.describe().iter().for_each(|line| record.line(line));
        }
        if waited > WAIT_S {
            let since = cluster.platform.starts_of_team("birr-lenders") - before;
            record.line(&format!(
                "{} waited for more than {WAIT_S} s while {since} tasks of the other team started",
                urgent.id
            ));
            (broken, decided) = (since > 0, true);
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    let _ = guest.join();
    let ended = cluster.ended_by_itself();
    cluster.end();
    if !ended.is_empty() {
        return Verdict::NotRun(format!("ended by itself: {ended:?}"));
    }
    if !decided {
        return Verdict::NotRun("too little time was left".to_owned());
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
