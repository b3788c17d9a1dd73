//! A job waits although a machine that fits has room and its team is under its limit, because a
//! service of its team waits for a machine that can't be had.

use crate::cluster::{Cluster, Plan, Team};
use crate::platform::{Flavor, Job, Terms};
use crate::store::Limits;
use crate::{Context, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// How long a job may be left waiting, by the rule.
const WAIT_S: f64 = 90.0;
/// The team's limit, CPUs.
const LIMIT: f64 = 10.0;
/// When the case ends at the latest, seconds after its start.
const END_S: f64 = 115.0;

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
        teams: vec![Team { name: "entoto", cpus: 6.0, cpus_max: LIMIT }],
        cancel_s: 32.0,
        limits: Limits { rps: 100.0, write_rps: 20.0, value_kb: 16.0, txn_ops: 16 },
        next: None,
        cloud_rps: 5.0,
        core_share: 0.096,
        mem_mb: 72.0,
        terms: Terms { report_s: 2.0, lease_s: 12.0, list_lag_s: 5.0, flavors: vec![tinish] },
    };
    let record = &context.record;
    let cluster = Cluster::start(&plan, record, context.dir);
    cluster.platform.set_capacity("tinish", "addis", false, 1);
    cluster.platform.set_capacity("tinish", "addis", true, 1);
    if !cluster.wait_ready() {
        return Verdict::NotRun("the controllers weren't ready in time".to_owned());
    }
    let service = |id: &str| {
        let mut job = Job::array(id, "entoto", 1, 0.0);
        (job.service, job.rank, job.vcpus, job.mem_gb) = (true, "production", 4.0, 13.0);
        (job.loaners, job.class) = (false, "dereseny".to_owned());
        job
    };
    let batch = |id: &str, run_s: f64| {
        let mut job = Job::array(id, "entoto", 1, run_s);
        (job.vcpus, job.mem_gb, job.class) = (2.0, 5.1, "mezgeb".to_owned());
        job
    };
    // A service on the only ordinary machine, a long task on the only spot machine.
    let (first, long) = (service("req-000001"), batch("req-000002", 150.0));
    for job in [&first, &long] {
        if !matches!(cluster.submit(job, 0), 200 | 201) {
            return Verdict::NotRun("a submission wasn't accepted".to_owned());
        }
    }
    let settled = cluster.wait(25.0, || {
        cluster.platform.on_machines(&first.id) == 1 && cluster.platform.on_machines(&long.id) == 1
    });
    if !settled {
        return Verdict::NotRun("the first jobs didn't run in time".to_owned());
    }
    if context.trouble {
        record.line("users: one more service, for which there is no ordinary machine");
        if !matches!(cluster.submit(&service("req-000003"), 1), 200 | 201) {
            return Verdict::NotRun("a service wasn't accepted".to_owned());
        }
        thread::sleep(Duration::from_secs(1));
    }
    let waiting = batch("req-000004", 2.0);
    if !matches!(cluster.submit(&waiting, 2), 200 | 201) {
        return Verdict::NotRun("the job wasn't accepted".to_owned());
    }
    let mut since: Option<Instant> = None;
    let (mut broken, mut decided) = (false, false);
    let mut shown = 0.0;
    while record.now() < END_S {
        thread::sleep(Duration::from_millis(100));
        if cluster.platform.starts(&waiting.id) > 0 {
            record.line(&format!("{} has started", waiting.id));
            decided = true;
            break;
        }
        let room = cluster.platform.machines_with_room(&waiting);
        let used = cluster.platform.team_cpus("entoto");
        let could_run = !room.is_empty() && used + waiting.vcpus <= LIMIT;
        if !could_run {
            since = None;
            continue;
        }
        let from = *since.get_or_insert_with(Instant::now);
        if record.now() >= shown + 10.0 {
            shown = record.now();
            let waited = from.elapsed().as_secs_f64();
            record.line(&format!(
                "{} waits for {waited:.1} s while {room:?} has room and the team uses {used} of \
                 {LIMIT} CPUs",
                waiting.id
            ));
            cluster.platform.describe().iter().for_each(|line| record.line(line));
            let _ = cluster.poll(0, &waiting.id);
        }
        if from.elapsed().as_secs_f64() > WAIT_S {
            record.line(&format!("{} was left waiting for more than {WAIT_S} s", waiting.id));
            (broken, decided) = (true, true);
            break;
        }
    }
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
