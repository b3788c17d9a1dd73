//! `orphaned`: jobs after a cancelled one are still called queued after an outage of the state
//! service that lasted longer than `cancel_s`.

use crate::cluster::{Cluster, Plan, Team};
use crate::platform::{Flavor, Job, Terms};
use crate::store::Limits;
use crate::{Context, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

const CANCEL_S: f64 = 32.0;

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
        teams: vec![Team { name: "abay", cpus: 48.0, cpus_max: 152.0 }],
        cancel_s: CANCEL_S,
        limits: Limits { rps: 100.0, write_rps: 20.0, value_kb: 16.0, txn_ops: 16 },
        next: None,
        cloud_rps: 5.0,
        core_share: 0.096,
        mem_mb: 72.0,
        terms: Terms { report_s: 2.0, lease_s: 12.0, list_lag_s: 5.0, flavors: vec![tinish] },
    };
    let record = &context.record;
    let cluster = Arc::new(Cluster::start(&plan, record, context.dir));
    cluster.platform.set_capacity("tinish", "addis", false, 3);
    cluster.platform.set_capacity("tinish", "addis", true, 3);
    if !cluster.wait_ready() {
        return Verdict::NotRun("the controllers weren't ready in time".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let root = Job::array("req-000100", "abay", 2, 200.0);
    if !matches!(cluster.submit(&root, 0), 200 | 201) {
        return Verdict::NotRun("the first job wasn't accepted".to_owned());
    }
    let mut after = Vec::new();
    for n in 101..125 {
        let mut job = Job::array(&format!("req-000{n}"), "abay", 2, 5.0);
        job.waits_on = vec![root.id.clone()];
        if !matches!(cluster.submit(&job, n), 200 | 201) {
            return Verdict::NotRun("a job of the pipeline wasn't accepted".to_owned());
        }
        after.push(job.id);
    }
    if !cluster.wait(25.0, || cluster.platform.on_machines(&root.id) == 2) {
        return Verdict::NotRun("the first job didn't run in time".to_owned());
    }
    let Some(leader) = cluster.leader() else {
        return Verdict::NotRun("nobody leads".to_owned());
    };
    if context.trouble {
        record.line(&format!("state service: refuses {} alone", cluster.names[leader]));
        cluster.store.set_refused(leader, true);
        thread::sleep(Duration::from_millis(100));
    }
    let path = format!("/api/jobs/{}/abort", root.id);
    let mut told = None;
    for n in 1..10 {
        let node = (leader + n) % 3;
        let answer = cluster.ask(node, "POST", &path, &[], 5.0);
        if answer.is_some_and(|(status, body)| status == 200 && body.str("stage") == "aborted") {
            told = Some(record.now());
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let Some(told) = told else {
        return Verdict::NotRun("the cancellation wasn't confirmed".to_owned());
    };
    if context.trouble {
        thread::sleep(Duration::from_millis(900));
        record.line("state service: out for all");
        cluster.store.set_outage(true);
        cluster.store.set_refused(leader, false);
    }
    // Each job's user asks every 5 s, and again after a second if there is no answer.
    let (over, broken) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let users: Vec<_> = after
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let (cluster, id, record) = (cluster.clone(), id.clone(), record.clone());
            let (over, broken) = (over.clone(), broken.clone());
            thread::spawn(move || {
                let mut node = n;
                thread::sleep(Duration::from_millis(41 * n as u64));
                while !over.load(Ordering::Relaxed) {
                    node += 1;
                    let asked = record.now();
                    let answer = cluster.poll(node % 3, &id);
                    let late = asked > told + CANCEL_S;
                    match answer {
                        Some((200, stage)) if late && stage != "aborted" => {
                            let since = asked - told;
                            record.line(&format!(
                                "orphaned: {id} is called {stage}, asked {since:.1} s after the \
                                 user was told of the cancellation"
                            ));
                            broken.fetch_add(1, Ordering::Relaxed);
                            thread::sleep(Duration::from_secs(5));
                        }
                        Some((200, _)) => thread::sleep(Duration::from_secs(5)),
                        _ => thread::sleep(Duration::from_secs(1)),
                    }
                }
            })
        })
        .collect();
    let wait = told + CANCEL_S + 4.0 - record.now();
    thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
    if context.trouble {
        record.line("state service: serves again");
        cluster.store.set_outage(false);
    }
    thread::sleep(Duration::from_secs(12));
    over.store(true, Ordering::Relaxed);
    users.into_iter().for_each(|user| drop(user.join()));
    let ended = cluster.ended_by_itself();
    cluster.end();
    if !ended.is_empty() {
        return Verdict::NotRun(format!("ended by itself: {ended:?}"));
    }
    if broken.load(Ordering::Relaxed) > 0 { Verdict::Broken } else { Verdict::Held }
}
