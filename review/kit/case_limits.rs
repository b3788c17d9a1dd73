//! `forgotten`: a repeated submission of an accepted job after the state service lowered its
//! limits, as `facts.state.next` announces.

use crate::cluster::{Cluster, Plan, Team};
use crate::platform::{Flavor, Job, Terms};
use crate::store::Limits;
use crate::{Context, Verdict};
use std::thread;
use std::time::Duration;

/// Limits of tena-ledger-next, before and after they are lowered.
const NOW: Limits = Limits { rps: 100.0, write_rps: 20.0, value_kb: 16.0, txn_ops: 16 };
const NEXT: Limits = Limits { rps: 100.0, write_rps: 15.0, value_kb: 2.0, txn_ops: 5 };

pub fn run(context: &Context) -> Verdict {
    let flavor = |sku| Flavor {
        sku,
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
        cancel_s: 32.0,
        limits: NOW,
        next: Some(NEXT),
        cloud_rps: 5.0,
        core_share: 0.096,
        mem_mb: 72.0,
        terms: Terms {
            report_s: 2.0,
            lease_s: 12.0,
            list_lag_s: 5.0,
            flavors: vec![flavor("tinish")],
        },
    };
    let record = &context.record;
    let cluster = Cluster::start(&plan, record, context.dir);
    cluster.platform.set_capacity("tinish", "addis", false, 4);
    cluster.platform.set_capacity("tinish", "addis", true, 4);
    if !cluster.wait_ready() {
        return Verdict::NotRun("the controllers weren't ready in time".to_owned());
    }
    // A job that may run on any of 64 machine types, of which this cloud offers one.
    let mut job = Job::array("req-000412", "abay", 2, 3.0);
    let names = (1..64).map(|n| format!("provider-general-purpose-{n:02}-xlarge"));
    job.builds = Some(std::iter::once("tinish".to_owned()).chain(names).collect());
    let leader = cluster.leader().unwrap_or(0);
    let other = (leader + 1) % 3;
    let status = cluster.submit(&job, leader);
    if !matches!(status, 200 | 201) {
        return Verdict::NotRun(format!("the submission got {status}"));
    }
    let done = cluster.wait(40.0, || {
        thread::sleep(Duration::from_millis(950));
        cluster.poll(leader, &job.id).is_some_and(|(_, stage)| stage == "done")
    });
    if !done {
        return Verdict::NotRun("the job wasn't done in time".to_owned());
    }
    if context.trouble {
        record.line("state service: the limits are those of facts.state.next from now on");
        cluster.store.set_limits(NEXT);
    }
    thread::sleep(Duration::from_secs(3));
    // The user repeats the submission; the load balancer may choose any controller.
    let mut broken = false;
    for node in [other, (other + 1) % 3, leader] {
        let answer = cluster.ask(node, "POST", "/api/jobs", &job.body(), 5.0);
        if let Some((status @ (400 | 422), _)) = answer {
            record.line(&format!("forgotten: a repeated submission of {} got {status}", job.id));
            broken = true;
        }
        thread::sleep(Duration::from_secs(1));
    }
    for (node, name) in cluster.names.iter().enumerate() {
        let poll = cluster.poll(node, &job.id);
        record.line(&format!("{name} says of {}: {poll:?}", job.id));
    }
    let ended = cluster.ended_by_itself();
    cluster.end();
    if !ended.is_empty() {
        return Verdict::NotRun(format!("ended by itself: {ended:?}"));
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
