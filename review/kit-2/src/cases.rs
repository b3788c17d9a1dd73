//! The cases of the review.

use crate::cbor::V;
use crate::site::{array, compacta, ledger_fleet, lifts, plan, tinish, Site};
use crate::state::Way;
use crate::util::{note, now, sleep};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The case couldn't run.
fn cannot(site: Site, why: &str) -> i32 {
    note(&format!("the case couldn't run: {why}"));
    println!("the case couldn't run: {why}");
    site.finish();
    2
}

fn puts(txn: &V, key: &str) -> bool {
    txn.list("writes").iter().any(|w| w.str("put") == Some(key))
}

/// The blocks that a transaction splits: the old one, and a new one for a part of its machines.
fn split_of(txn: &V) -> Option<(String, String)> {
    let stamp =
        |key: &str| txn.list("when").iter().find(|w| w.str("key") == Some(key))?.int("stamp");
    let puts = txn.list("writes").iter().filter_map(|w| w.str("put"));
    let blocks: Vec<&str> = puts.filter(|key| key.starts_with("m/")).collect();
    let new = blocks.iter().find(|key| stamp(key) == Some(0))?;
    let old = blocks.iter().find(|key| stamp(key).is_some_and(|s| s > 0))?;
    Some(((*old).to_owned(), (*new).to_owned()))
}

/// Machines that run tasks of a job.
fn on(site: &Site, id: &str) -> BTreeSet<String> {
    let s = site.world.seen.lock().unwrap();
    let of = |piece: &str| piece.rsplit_once('/').is_some_and(|p| p.0 == id);
    s.on.keys().filter(|(p, _)| of(p)).map(|(_, m)| m.clone()).collect()
}

fn running(site: &Site, id: &str) -> usize {
    let s = site.world.seen.lock().unwrap();
    s.on.keys().filter(|(p, _)| p.rsplit_once('/').is_some_and(|p| p.0 == id)).count()
}

/// A transaction that splits a block of machine records gets no answer; then the leader ends.
pub fn split_block(trouble: bool) -> i32 {
    const MACHINES: usize = 24;
    let mut set = lifts();
    set.log = "debug";
    // All machines that the cloud has are used; they come up within a second or two.
    let mut plan = plan(&set, vec![compacta()], MACHINES / 3, 0);
    plan.boot = (0.02, 0.05);
    let site = Site::start(&set, plan, 1);
    // The last image has a long name, so that the records outgrow the block together.
    let image = |k: usize| {
        format!("{}-{k}", "inspecoes/escadas-rolantes/2026-12-06".repeat(if k < 5 { 3 } else { 5 }))
    };
    let job = |k: usize, pieces: usize, run: f64, guess: f64| {
        let mut j = array("assistencia", pieces as u32, 8.0, run);
        j.image = image(k);
        j.gb = 0.01;
        j.guess = guess;
        j.loaners = false;
        j
    };
    if site.leader(20.0).is_none() {
        return cannot(site, "no leader");
    }
    // Every machine gets four images; their records fill one block then.
    for k in 1..=4 {
        let id = format!("req-00000{k}");
        let j = job(k, MACHINES, if k == 1 { 9.0 } else { 5.0 }, 60.0);
        if !site.users.submit(k % 3, &id, &j, "inspecoes", Some(70.0)) {
            return cannot(site, "a submission is refused");
        }
        if !site.until("a job on all machines", 40.0, || running(&site, &id) == MACHINES) {
            return cannot(site, "not all machines are used");
        }
        if !site.until("the job is done", 30.0, || running(&site, &id) == 0) {
            return cannot(site, "a job doesn't end");
        }
    }
    // The block that is split, and the new one that takes the rest of its machines.
    let split: Arc<Mutex<Option<(String, String)>>> = Arc::default();
    let second = Arc::new(AtomicBool::new(false));
    if trouble {
        let (split, second) = (split.clone(), second.clone());
        site.state.set_ways(Box::new(move |node, method, path, txn| {
            let mut split = split.lock().unwrap();
            match (&*split, txn) {
                (None, Some(txn)) => {
                    *split = split_of(txn);
                    if let Some((old, new)) = &*split {
                        note(&format!("state: the transaction of controller {node} that splits {old} into {old} and {new} gets no answer"));
                    }
                    if split.is_some() { Way::Lost } else { Way::Free }
                }
                (Some((old, new)), Some(txn)) => {
                    if puts(txn, old) && !puts(txn, new) {
                        second.store(true, Ordering::Relaxed);
                    }
                    Way::Free
                }
                (Some((_, new)), None) => {
                    if method != "GET" || path != format!("/store/{new}") {
                        return Way::Free;
                    }
                    note(&format!("state: the read of {new} by controller {node} takes 0.8 s"));
                    Way::Slow(0.8)
                }
                _ => Way::Free,
            }
        }));
    }
    site.state.log_commits();
    // Half of the machines run short tasks, the others long ones, with a fifth image.
    let (short, long) = ("req-000010", "req-000011");
    if !site.users.submit(0, short, &job(5, MACHINES / 2, 4.0, 60.0), "inspecoes", Some(70.0)) {
        return cannot(site, "a submission is refused");
    }
    if !site.until("the short tasks run", 20.0, || running(&site, short) == MACHINES / 2) {
        return cannot(site, "the short tasks don't run");
    }
    if !site.users.submit(1, long, &job(5, MACHINES / 2, 70.0, 60.0), "inspecoes", Some(200.0)) {
        return cannot(site, "a submission is refused");
    }
    if !site.until("the long tasks run", 20.0, || running(&site, long) == MACHINES / 2) {
        return cannot(site, "the long tasks don't run");
    }
    note(&format!("long tasks on {:?}", on(&site, long)));
    if trouble {
        if !site.until("the transaction is lost", 15.0, || split.lock().unwrap().is_some()) {
            return cannot(site, "no block was split");
        }
        let came =
            site.until("the old block is written alone", 10.0, || second.load(Ordering::Relaxed));
        note(&format!("the old block is written alone: {came}"));
        sleep(0.05);
        if let Some(a) = site.state.leader() {
            site.ctl.kill(a);
            let from = now();
            site.until("the new leader", 15.0, || site.state.leader().is_some());
            note(&format!(
                "leader {:?} after {:.1} s; blocks: {:?}",
                site.state.leader(),
                now() - from,
                site.state.keys("m/")
            ));
            sleep((8.0 - (now() - from)).max(0.0));
            site.ctl.start(a);
        }
    }
    sleep(10.0);
    site.finish()
}

/// The leader ends; in the middle of the election a machine is back within a fraction of a second,
/// and a late copy of a start reaches it, of a task that failed there and runs elsewhere by now.
pub fn restarted_machine(trouble: bool) -> i32 {
    let set = ledger_fleet();
    let mut plan = plan(&set, vec![tinish()], 3, 0);
    plan.boot = (0.05, 0.1);
    let site = Site::start(&set, plan, 1);
    // The first direct command that starts a task of the job: its machine and content.
    let first: Arc<Mutex<Option<(String, V)>>> = Arc::default();
    let seen = first.clone();
    let wanted: Arc<Mutex<String>> = Arc::default();
    let of = wanted.clone();
    *site.fleet.on_direct.lock().unwrap() = Some(Box::new(move |machine, orders| {
        let id = of.lock().unwrap().clone();
        let starts = |o: &V| {
            let piece = o.str("piece").unwrap_or("");
            o.str("verb") == Some("launch") && piece.rsplit_once('/').is_some_and(|p| p.0 == id)
        };
        let mut seen = seen.lock().unwrap();
        if seen.is_none() && orders.list("orders").iter().any(starts) {
            *seen = Some((machine.to_owned(), orders.clone()));
        }
    }));
    if site.leader(20.0).is_none() {
        return cannot(site, "no leader");
    }
    // A job that fills all machines brings them up and leaves them idle.
    let mut warm = array("abay", 3, 4.0, 4.0);
    warm.gb = 0.01;
    warm.guess = 60.0;
    warm.loaners = false;
    site.users.submit(0, "req-000001", &warm, "mezgeb", Some(70.0));
    if !site.until("all machines are used", 40.0, || running(&site, "req-000001") == 3)
        || !site.until("the job is done", 30.0, || running(&site, "req-000001") == 0)
    {
        return cannot(site, "the machines don't come up");
    }
    // The machine that gets a task fails it; a start that comes in the answer to a report is no use.
    for k in 2..12 {
        let id = format!("req-{k:06}");
        let piece = format!("{id}/0");
        *wanted.lock().unwrap() = id.clone();
        let mut j = array("sheba", 1, 4.0, 60.0);
        j.gb = 0.01;
        j.loaners = false;
        site.users.submit(k % 3, &id, &j, "mezgeb", Some(120.0));
        site.until("the task is started", 20.0, || site.fleet.holder(&piece).is_some());
        let Some((name, orders)) = first.lock().unwrap().clone() else {
            site.users.cancel(0, &id);
            site.until("it is gone", 40.0, || site.fleet.holder(&piece).is_none());
            continue;
        };
        let Some(machine) = site.fleet.machine(&name) else { return cannot(site, "no machine") };
        machine.lock().unwrap().fail();
        note(&format!("the start of {piece} came directly to {name}, which fails it"));
        let elsewhere = || site.fleet.holder(&piece).is_some_and(|m| m != name);
        if !site.until("the task runs elsewhere", 30.0, elsewhere) {
            return cannot(site, "the task isn't started elsewhere");
        }
        machine.lock().unwrap().faulty = false;
        // Its entry on the faulty machine is cleared meanwhile.
        sleep(1.0);
        if !elsewhere() {
            return cannot(site, "the task has ended");
        }
        if trouble {
            let Some(leader) = site.state.leader() else { return cannot(site, "no leader") };
            site.ctl.kill(leader);
            sleep(0.2);
            machine.lock().unwrap().restart(&site.world);
            sleep(1.0);
            let (status, _) = site.fleet.execute_direct(&machine, &orders);
            note(&format!(
                "a copy of the direct command that started {piece} reaches {name}: {status}"
            ));
            sleep(3.8);
            site.ctl.start(leader);
        }
        sleep(10.0);
        return site.finish();
    }
    cannot(site, "no start came directly")
}

/// More services of a team come than the cloud has machines for; a batch job of the team that fits
/// beside the running services comes after them.
pub fn reserved_limit(trouble: bool) -> i32 {
    const LIMIT: f64 = 64.0;
    const WAIT_S: f64 = 90.0;
    let set = ledger_fleet();
    let mut plan = plan(&set, vec![tinish()], 2, 0);
    plan.boot = (0.05, 0.1);
    let site = Site::start(&set, plan, 1);
    let service = |vcpus: f64, mem: f64| {
        let mut j = array("entoto", 1, vcpus, 0.0);
        j.service = true;
        j.loaners = false;
        j.mem = mem;
        j.gb = 0.01;
        j
    };
    if site.leader(20.0).is_none() {
        return cannot(site, "no leader");
    }
    for (k, id) in ["req-000001", "req-000002"].iter().enumerate() {
        site.users.submit(k, id, &service(3.0, 10.0), "dereseny", None);
    }
    if !site.until("two services run", 15.0, || {
        site.fleet.holder("req-000001/0").is_some() && site.fleet.holder("req-000002/0").is_some()
    }) {
        return cannot(site, "the services don't start");
    }
    let more = if trouble { 15 } else { 0 };
    for k in 0..more {
        site.users.submit(
            k % 3,
            &format!("req-{:06}", 100 + k),
            &service(4.0, 13.0),
            "dereseny",
            None,
        );
        sleep(0.35);
    }
    let mut batch = array("entoto", 1, 1.0, 5.0);
    batch.mem = 1.0;
    batch.gb = 0.01;
    batch.loaners = false;
    let (id, piece) = ("req-000900", "req-000900/0");
    if !site.users.submit(0, id, &batch, "mezgeb", Some(60.0)) {
        return cannot(site, "the batch job is refused");
    }
    let mut since = now();
    while now() - since < WAIT_S + 1.0 {
        sleep(0.25);
        let mut s = site.world.seen.lock().unwrap();
        if s.done.contains_key(id) || s.on.keys().any(|(p, _)| p == piece) {
            break;
        }
        let used = s.used("entoto");
        let room = s.sites.keys().any(|m| {
            let taken: f64 = s.on.keys().filter(|(_, on)| on == m).map(|(p, _)| s.vcpus(p)).sum();
            let held = s.on.keys().any(|(_, on)| on == m);
            held && taken + batch.vcpus <= 4.0
        });
        if !room || used + batch.vcpus > LIMIT {
            since = now();
        }
        if now() - since > WAIT_S {
            s.violate(
                "left_waiting",
                &format!("{piece} for {WAIT_S} s, its team uses {used} of {LIMIT} CPUs"),
            );
        }
    }
    site.users.poll(0, id);
    site.finish()
}
