//! Drives the real program over loopback, against stand-ins of state service,
//! cloud and workers written here: submit, run, done, cancel, a killed leader.
//! Ports are the system's choice; waits are generous and judge no speed.

mod stand_in;

use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::JobId;
use stand_in::{Cluster, Plan, WorkerTimes, job_body};
use std::process::Command;

#[test]
fn runs_cancels_and_survives_a_killed_leader() {
    let mut cluster = Cluster::start(3);
    // Accepted by one controller, known to the others, and done.
    cluster.submit("req-000001", "sweep", 4);
    cluster.until("req-000001", "done");
    // A service runs until it is cancelled, and stays cancelled.
    cluster.submit("req-000002", "daemon", 2);
    cluster.until("req-000002", "running");
    assert_eq!(cluster.call("POST", "/api/jobs/req-000002/abort", &[]).0, 200);
    cluster.until("req-000002", "aborted");
    cluster.until_gone("req-000002");
    // The leader dies with work under way: all of it still ends, nothing runs twice.
    cluster.submit("req-000003", "sweep", 6);
    cluster.kill_leader();
    cluster.submit("req-000004", "sweep", 3);
    cluster.until("req-000003", "done");
    cluster.until("req-000004", "done");
    // What was over stays so; a repeat of the submission says the same.
    cluster.until("req-000001", "done");
    let (status, body) = cluster.call("POST", "/api/jobs", &job_body("req-000001", "sweep", 4));
    assert_eq!((status, stand_in::stage(&body).as_deref()), (200, Some("done")));
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// Little time for cancellations, so that a leader's copy of the store must be proved
/// current every few seconds, and a store on which nothing happens: the leader stays. Then
/// a machine ends with work on it, the leader is killed, and the machines are returned.
/// (Leaders once resigned every three seconds, and nobody was told that jobs were done.)
#[test]
fn quiet_watches_cost_no_leader_its_office() {
    const QUIET_WATCHES: u64 = 45;
    let times = WorkerTimes { lease_s: 6.0, cancel_s: 12.0 };
    let mut cluster = Cluster::start_with(Plan { times, ..Plan::small(3) });
    cluster.submit("req-000005", "sweep", 2);
    cluster.until("req-000005", "running");
    cluster.until("req-000005", "done");
    // One change is let pass, lest a machine that stands still decide the verdict.
    let (leaders, watches) = (cluster.leaders(), cluster.quiet_watches());
    cluster.wait_for("watches end", |c| c.quiet_watches() >= watches + QUIET_WATCHES);
    assert!(cluster.leaders() <= leaders + 1, "{leaders} leaders, then {}", cluster.leaders());

    cluster.submit("req-000015", "sweep", 4);
    cluster.end_holder("req-000015");
    cluster.until("req-000015", "done");
    cluster.submit("req-000025", "sweep", 2);
    cluster.until("req-000025", "running");
    cluster.kill_leader();
    cluster.until("req-000025", "done");
    cluster.until("req-000015", "done");
    cluster.wait_for("all machines are returned", |c| c.rented() == 0);
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// A start goes unanswered, its job is cancelled, and the command arrives after the worker has
/// heard of the leader again: the leader has raised the token by then, and goes on with it.
#[test]
fn a_start_held_on_its_way_is_refused_after_its_job_was_cancelled() {
    let cluster = Cluster::start(3);
    cluster.submit("req-000042", "daemon", 1);
    cluster.until("req-000042", "running");
    let (job, held) = cluster.hold_a_start();
    assert_eq!(cluster.call("POST", &format!("/api/jobs/{job}/abort"), &[]).0, 200);
    cluster.wait_for("the worker has a higher token", |_| {
        held.fencing_token_of_worker() > held.commands.fencing_token
    });
    cluster.until_gone(&job);
    assert_eq!(held.deliver(), Some(409), "refused, long after it was sent");
    assert_eq!(cluster.holds_tasks(&JobId::new(&job)), 0);
    // The same leader goes on, with the higher token there: the machine takes its work.
    cluster.submit("req-000061", "sweep", 4);
    cluster.until("req-000061", "done");
    cluster.until("req-000042", "running");
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// One answer of the store in five is garbage, cut off, announced far too long, or lost:
/// jobs are done and cancelled all the same, and what was told stays true.
#[test]
fn damaged_answers_of_the_store_harm_nobody() {
    let cluster = Cluster::start(3);
    cluster.damage_answers(5);
    cluster.submit("req-000031", "sweep", 4);
    cluster.submit("req-000032", "daemon", 2);
    cluster.until("req-000031", "done");
    cluster.until("req-000032", "running");
    assert_eq!(cluster.call("POST", "/api/jobs/req-000032/abort", &[]).0, 200);
    cluster.until("req-000032", "aborted");
    cluster.until_gone("req-000032");
    cluster.until("req-000031", "done");
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

#[test]
fn answers_what_it_cannot_take() {
    let cluster = Cluster::start(1);
    cluster.submit("req-000009", "sweep", 1);
    let bad = |body: &[u8]| cluster.call("POST", "/api/jobs", body).0;
    assert_eq!(bad(b"\xff\x00"), 400);
    assert_eq!(bad(&cbor::encode(&"text")), 400);
    assert_eq!(bad(&job_body("nonsense", "sweep", 1)), 400);
    assert_eq!(bad(&job_body("req-000010", "sweep", 0)), 400);
    assert_eq!(bad(&job_body("req-000010", "sweep", 100_001)), 400);
    // Two services of 8 CPUs on a limit of 8.
    assert_eq!(bad(&job_body("req-000010", "daemon", 9)), 422);
    assert_eq!(cluster.call("GET", "/api/jobs/req-000010", &[]).0, 404);
    assert_eq!(cluster.call("POST", "/api/jobs/req-000010/abort", &[]).0, 404);
    assert_eq!(cluster.call("GET", "/elsewhere", &[]).0, 404);
    assert_eq!(cluster.call("DELETE", "/healthz", &[]).0, 405);
    assert_eq!(bad(&vec![0u8; 70_000]), 413);
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// More connections than the controller has sockets (500), idle, stuck in a head or in a
/// body, and bodies over the limit: memory and threads stay far below what the settings
/// allow (100 MB; a quarter of the sockets and a dozen), and jobs are accepted and done.
#[test]
fn hostile_connections_cost_bounded_memory_and_threads() {
    use std::io::Write as _;
    let cluster = Cluster::start(1);
    cluster.submit("req-000011", "sweep", 2);
    let mut held = Vec::new();
    let mut large = 0;
    for n in 0..700 {
        let Some(mut stream) = cluster.connect(0) else { continue };
        let begun = match n % 4 {
            0 => Vec::new(),
            1 => b"POST /hello HTTP/1.1\r\nContent-Le".to_vec(),
            2 => b"POST /api/jobs HTTP/1.1\r\nContent-Length: 60000\r\n\r\n".to_vec(),
            _ => b"POST /hello HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".to_vec(),
        };
        let body = if n % 4 > 1 { vec![0u8; 50_000] } else { Vec::new() };
        // It may be closed or left waiting in the meantime: that is the controller's right.
        let sent = stream.write_all(&begun).and_then(|()| stream.write_all(&body));
        large += usize::from(sent.is_ok() && !body.is_empty());
        held.push(stream);
    }
    assert!(held.len() > 500 && large > 50, "{} connections, {large} bodies", held.len());
    cluster.submit("req-000021", "sweep", 2);
    let (peak_kb, threads) = cluster.peak_kb_and_threads(0);
    assert!(peak_kb < 64 * 1024, "{peak_kb} KB");
    assert!(threads < 500 / 4 + 24, "{threads} threads");
    drop(held);
    cluster.until("req-000011", "done");
    cluster.until("req-000021", "done");
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

#[test]
fn bad_settings_stop_the_start_with_one_line() {
    let dir = std::env::temp_dir().join(format!("marblebarrow-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("dir");
    let file = dir.join("bad.toml");
    let good = stand_in::settings_text(
        0,
        &Plan::small(1),
        &["127.0.0.1:1".into()],
        &["127.0.0.1:2".into()],
        "127.0.0.1:3",
        "127.0.0.1:4",
    );
    for (broken, field) in [
        (good.replace("lease_s = 4.0", ""), "lease_s"),
        (good.replace("lease_s = 4.0", "lease_s = -1.0"), "facts.workers.lease_s"),
        (good.replace("serve_on = \"", "serve_on = \"x"), "serve_on"),
        ("= = =".into(), "syntax"),
    ] {
        std::fs::write(&file, broken).expect("write");
        let out = Command::new(env!("CARGO_BIN_EXE_marblebarrow"))
            .arg("--config")
            .arg(&file)
            .output()
            .expect("run");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains("bad.toml") && text.contains(field), "{text}");
    }
    std::fs::write(&file, &good).expect("write");
    let check = Command::new(env!("CARGO_BIN_EXE_marblebarrow"))
        .args(["check", "--config"])
        .arg(&file)
        .status()
        .expect("run");
    assert!(check.success());
    let _ = std::fs::remove_dir_all(dir);
}
