//! The cases of the review.

use crate::cbor::V;
use crate::site::{array, compacta, lifts, plan, Site};
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
    let stamp = |key: &str| txn.list("when").iter().find(|w| w.str("key") == Some(key))?.int("stamp");
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
    let image = |k: usize| format!("{}-{k}", "inspecoes/escadas-rolantes/2026-12-06".repeat(if k < 5 { 3 } else { 5 }));
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
        let came = site.until("the old block is written alone", 10.0, || second.load(Ordering::Relaxed));
        note(&format!("the old block is written alone: {came}"));
        sleep(0.05);
        if let Some(a) = site.state.leader() {
            site.ctl.kill(a);
            let from = now();
            site.until("the new leader", 15.0, || site.state.leader().is_some());
            note(&format!("leader {:?} after {:.1} s; blocks: {:?}", site.state.leader(), now() - from, site.state.keys("m/")));
            sleep((8.0 - (now() - from)).max(0.0));
            site.ctl.start(a);
        }
    }
    sleep(10.0);
    site.finish()
}

/// Trial: one array of very many very small tasks.
pub fn tiny(trouble: bool) -> i32 {
    let mut set = crate::site::ledger();
    set.log = "debug";
    let mut plan = plan(&set, vec![crate::site::tinish()], 6, 0);
    plan.boot = (0.05, 0.1);
    let site = Site::start(&set, plan, 1);
    site.leader(20.0);
    let service = |k: usize| {
        let mut j = array("abay", 1, 1.0, 1.0);
        j.service = true;
        j.loaners = false;
        j.image = format!("img-{k}");
        j
    };
    for k in 0..3 {
        site.users.submit(k, &format!("req-00000{k}"), &service(k), "dereseny", None);
    }
    site.until("services run", 30.0, || running(&site, "req-000002") == 1);
    let mut j = array("sheba", if trouble { 100_000 } else { 100 }, std::env::var("CPU").map_or(0.001, |c| c.parse().unwrap()), 3.0);
    j.mem = j.vcpus;
    j.loaners = false;
    j.image = "img-0".into();
    site.users.submit(0, "req-000100", &j, "mezgeb", Some(100.0));
    for _ in 0..60 {
        sleep(1.0);
        for n in 0..3 {
            let from = now();
            site.users.poll_once(n, "req-000001");
            if now() - from > 0.5 {
                note(&format!("poll took {:.2}", now() - from));
            }
        }
        note(&format!("leader {:?} running {}", site.state.leader(), running(&site, "req-000100")));
    }
    site.finish()
}

/// Trial: users ask many times as often, over kept connections.
pub fn storm(trouble: bool) -> i32 {
    let set = crate::site::ledger();
    let mut plan = plan(&set, vec![crate::site::tinish()], 12, 0);
    plan.boot = (0.05, 0.1);
    let site = Arc::new(Site::start(&set, plan, 1));
    site.leader(20.0);
    for k in 0..300 {
        let mut j = array(["abay", "sheba", "entoto", "awash"][k % 4], 8, 2.0, 3.0);
        j.image = format!("img-{}", k % 3);
        site.users.submit(k % 3, &format!("req-{k:06}"), &j, "mezgeb", Some(60.0));
    }
    let peak = |a: usize| {
        let pid = site.ctl.pid(a).unwrap_or(0);
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let get = |n: &str| text.lines().find(|l| l.starts_with(n)).map(str::to_owned).unwrap_or_default();
        format!("{} {} {}", get("VmHWM"), get("VmRSS"), get("Threads"))
    };
    (0..3).for_each(|a| note(&format!("before: {a} {}", peak(a))));
    let users = if trouble { 900 } else { 20 };
    for u in 0..users {
        let nodes = site.users.nodes.clone();
        let _ = std::thread::Builder::new().stack_size(128 * 1024).spawn(move || {
            let mut c = crate::http::Client::default();
            loop {
                let id = (u * 7 + now() as usize) % 300;
                c.call(nodes[u % 3], "GET", &format!("/api/jobs/req-{id:06}"), &[], std::time::Duration::from_secs(2));
                sleep(0.05);
            }
        });
    }
    for _ in 0..6 {
        sleep(5.0);
        (0..3).for_each(|a| note(&format!("storm: {a} {}", peak(a))));
    }
    Arc::try_unwrap(site).ok().map_or(0, Site::finish)
}
