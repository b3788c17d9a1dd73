//! A job's task is started and stopped again and again, and never runs to its end, while machines
//! that fit are idle: it and an idle-priority job of a team with a guarantee stop each other.

use crate::cluster::{Cluster, Plan, Team};
use crate::platform::{Flavor, Job, Terms};
use crate::store::Limits;
use crate::{Context, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// How long a job may be left waiting, by the rule.
const WAIT_S: f64 = 90.0;
/// The owner's estimate of a task's run time.
const GUESS_S: f64 = 30.0;
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
        teams: vec![
            Team { name: "abay", cpus: 48.0, cpus_max: 152.0 },
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
    let cluster = Cluster::start(&plan, record, context.dir);
    cluster.platform.set_capacity("tinish", "addis", false, 8);
    cluster.platform.set_capacity("tinish", "addis", true, 3);
    if !cluster.wait_ready() {
        return Verdict::NotRun("the controllers weren't ready in time".to_owned());
    }
    // Two classes of services. The scheduler keeps a machine's room free for the next of each.
    let services = [("req-000001", "dereseny"), ("req-000002", "kuteba")].map(|(id, class)| {
        let mut job = Job::array(id, "abay", 1, 0.0);
        (job.service, job.rank, job.class) = (true, "production", class.to_owned());
        (job.vcpus, job.mem_gb, job.loaners) = (4.0, 13.0, false);
        job
    });
    // Idle work of a team with a guarantee, within that guarantee, on spot machines.
    let mut spare = Job::array("req-000003", "abay", 12, 300.0);
    (spare.rank, spare.class) = ("idle", "sebsabi".to_owned());
    for job in services.iter().chain([&spare]) {
        if !matches!(cluster.submit(job, 0), 200 | 201) {
            return Verdict::NotRun("a submission wasn't accepted".to_owned());
        }
    }
    let settled = cluster.wait(25.0, || {
        services.iter().all(|job| cluster.platform.on_machines(&job.id) == 1)
            && cluster.platform.on_machines(&spare.id) == 12
    });
    cluster.platform.describe().iter().for_each(|line| record.line(line));
    if !settled {
        return Verdict::NotRun("the first jobs didn't run in time".to_owned());
    }
    // A wave takes spot machines, 0.6 of them at most, and there are no others.
    let up = cluster.platform.spot_up();
    cluster.platform.set_capacity("tinish", "addis", true, up);
    if context.trouble {
        cluster.platform.take_spot((up as f64 * 0.6) as usize);
    }
    thread::sleep(Duration::from_secs(9));
    // Work of a team without a guarantee, of the same size.
    let mut waiting = Job::array("req-000004", "birr-lenders", 1, 5.0);
    (waiting.class, waiting.guess_s) = ("loan-checks".to_owned(), GUESS_S);
    if !matches!(cluster.submit(&waiting, 2), 200 | 201) {
        return Verdict::NotRun("the job wasn't accepted".to_owned());
    }
    let mut since = Instant::now();
    let (mut broken, mut decided) = (false, false);
    let mut shown = 0.0;
    while record.now() < END_S {
        thread::sleep(Duration::from_millis(50));
        if cluster.platform.completed(&waiting.id) > 0 {
            record.line(&format!("the task of {} has run", waiting.id));
            decided = true;
            break;
        }
        let room = cluster.platform.machines_with_room(&waiting);
        if room.is_empty() {
            since = Instant::now();
        }
        let waited = since.elapsed().as_secs_f64();
        if record.now() >= shown + 10.0 {
            shown = record.now();
            let starts = cluster.platform.starts(&waiting.id);
            record.line(&format!(
                "{} waits for {waited:.1} s while {room:?} has room; {starts} starts so far, each \
                 stopped",
                waiting.id
            ));
            cluster.platform.describe().iter().for_each(|line| record.line(line));
            let _ = cluster.poll(0, &waiting.id);
        }
        if waited > WAIT_S {
            record.line(&format!("{} was left waiting for more than {WAIT_S} s", waiting.id));
            let starts = cluster.platform.starts(&waiting.id);
            record.line(&format!("its task was started {starts} times and stopped each time"));
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
