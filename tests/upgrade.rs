//! Rolling upgrade over loopback: three controllers of the production version (the commit in
//! deploy/service.toml, built from the repository's history) are replaced one at a time by this
//! version while jobs are submitted, polled and cancelled. Waits have a timeout, but the time
//! taken is not checked.

mod stand_in;

use marblebarrow_core::consts::{FORMAT, PRODUCTION_FORMAT};
use marblebarrow_proto::records::COMMON_FORMAT_KEY;
use stand_in::{Cluster, Plan, stage};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Command;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Builds the production commit in target/production, once per test run, and returns the path of
/// its binary.
fn production_program() -> PathBuf {
    let text = std::fs::read_to_string(Path::new(ROOT).join("deploy/service.toml")).expect("read");
    let deploy: toml::Table = toml::from_str(&text).expect("deploy/service.toml is TOML");
    let commit = deploy["production"].as_str().expect("production = \"COMMIT\"").to_owned();
    let git = |args: &[&str]| Command::new("git").current_dir(ROOT).args(args).status();
    let known = git(&["merge-base", "--is-ancestor", &commit, "HEAD"]).is_ok_and(|s| s.success());
    assert!(known, "production = {commit:?} in deploy/service.toml is not in this history");
    let base = Path::new(ROOT).join("target/production");
    let source = base.join(format!("src-{}", &commit[..commit.len().min(12)]));
    if !source.join(".extracted").exists() {
        let (tar, _) = (base.join("source.tar"), std::fs::remove_dir_all(&source));
        std::fs::create_dir_all(&source).expect("dir");
        assert!(
            git(&["archive", "-o", tar.to_str().expect("path"), &commit]).expect("git").success()
        );
        let unpacked = Command::new("tar").arg("-xf").arg(&tar).arg("-C").arg(&source).status();
        assert!(unpacked.expect("tar").success(), "can't unpack {commit}");
        std::fs::write(source.join(".extracted"), &commit).expect("mark");
    }
    let begun = std::time::Instant::now();
    let built = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()))
        .current_dir(&source)
        .env("CARGO_TARGET_DIR", base.join("target"))
        .args(["build", "--locked", "--bin", "marblebarrow"])
        .status();
    assert!(built.expect("cargo").success(), "the production commit {commit} does not build");
    eprintln!("production {commit} built in {:.1} s", begun.elapsed().as_secs_f64());
    base.join("target/debug/marblebarrow")
}

/// What the API has acknowledged to users; a controller must never contradict it later.
#[derive(Default)]
struct Acknowledged {
    accepted: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    ended: BTreeMap<String, String>,
}

impl Acknowledged {
    /// Polls every running controller for every accepted job.
    fn poll(&mut self, cluster: &Cluster) {
        for (job, i) in self.accepted.clone().iter().flat_map(|j| (0..3).map(move |i| (j, i))) {
            let Some((status, body)) = cluster.request_one(i, "GET", &format!("/api/jobs/{job}"))
            else {
                continue;
            };
            assert_ne!(status, 404, "c{i} does not know accepted job {job}");
            let Some(now) = stage(&body).filter(|_| status == 200) else { continue };
            if let Some(before) = self.ended.get(job) {
                assert_eq!(&now, before, "c{i} changed the final stage of {job}");
            } else if now == "done" || (now == "aborted" && self.cancelled.contains(job)) {
                self.ended.insert(job.clone(), now);
            } else {
                assert_ne!(now, "aborted", "c{i} reports {job} as aborted without a cancellation");
            }
        }
    }

    fn submit(&mut self, cluster: &Cluster, job: &str, shape: &str, tasks: u32) {
        cluster.submit(job, shape, tasks);
        self.accepted.insert(job.into());
    }

    fn cancel(&mut self, cluster: &Cluster, job: &str) {
        self.cancelled.insert(job.into());
        assert_eq!(cluster.call("POST", &format!("/api/jobs/{job}/abort"), &[]).0, 200);
        cluster.until(job, "aborted");
        cluster.wait_until_gone(job);
    }
}

/// The part of the GET /api/members response that the test checks.
#[derive(Debug, PartialEq, serde::Deserialize)]
struct Members {
    controllers: Vec<Member>,
    format_in_store: u32,
    dependencies_allowed: bool,
}

/// One controller in that response.
#[derive(Debug, PartialEq, serde::Deserialize)]
struct Member {
    node: String,
    format: u32,
    current: bool,
}

/// Expected response when the first `new` controllers run this version.
fn expected(new: usize) -> Members {
    let member = |o: usize| {
        let format = if o < new { FORMAT } else { PRODUCTION_FORMAT };
        Member { node: format!("c{o}"), format, current: true }
    };
    Members {
        controllers: (0..3).map(member).collect(),
        format_in_store: if new == 3 { FORMAT } else { 0 },
        dependencies_allowed: new == 3,
    }
}

/// Response of controller `i` to GET /api/members, if it is running and supports the endpoint.
fn members(cluster: &Cluster, i: usize) -> Option<Members> {
    let (status, body) = cluster.request_one(i, "GET", "/api/members")?;
    (status == 200).then(|| marblebarrow_proto::cbor::decode(&body).expect("members"))
}

#[test]
fn a_rolling_upgrade_keeps_every_job() {
    let old = production_program();
    let new = Path::new(env!("CARGO_BIN_EXE_marblebarrow"));
    let mut cluster = Cluster::start_programs(Plan::small(3), None, &[&old, &old, &old]);
    let mut acknowledged = Acknowledged::default();
    acknowledged.submit(&cluster, "req-000101", "sweep", 4);
    acknowledged.submit(&cluster, "req-000102", "daemon", 2);
    cluster.until("req-000101", "done");
    for i in 0..3 {
        let (sweep, daemon) = (format!("req-0002{i}1"), format!("req-0002{i}2"));
        acknowledged.submit(&cluster, &sweep, "sweep", 3);
        acknowledged.submit(&cluster, &daemon, "daemon", 1);
        cluster.replace(i, new);
        acknowledged.poll(&cluster);
        cluster.until(&sweep, "done");
        cluster.until(&daemon, "running");
        acknowledged.cancel(&cluster, &daemon);
        acknowledged.poll(&cluster);
        // Each upgraded controller sees the old ones at the production format, so the new
        // features stay disabled and no common format is recorded until the last upgrade.
        for n in 0..=i {
            cluster.wait_for("current member list", |c| members(c, n) == Some(expected(i + 1)));
        }
        let recorded = cluster.keys_ever_put(COMMON_FORMAT_KEY);
        assert_eq!(
            recorded.len(),
            usize::from(i == 2),
            "{recorded:?} with {} upgraded controllers",
            i + 1
        );
    }
    acknowledged.submit(&cluster, "req-000301", "sweep", 5);
    cluster.until("req-000301", "done");
    acknowledged.cancel(&cluster, "req-000102");
    acknowledged.poll(&cluster);
    for job in &acknowledged.accepted {
        cluster.until(job, if acknowledged.cancelled.contains(job) { "aborted" } else { "done" });
    }
    assert!(cluster.completions().values().all(|&n| n == 1), "{:?}", cluster.completions());
    assert_eq!(cluster.broken(), Vec::<String>::new());
}
