//! Runs the real program over loopback against a simulated state service, cloud API and workers:
//! jobs are submitted, run and cancelled, and leaders are killed. Timeouts are generous; speed is
//! not checked.

mod stand_in;

use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::{JobId, MachineId};
use stand_in::{Cluster, Plan, ReceivedCommands, WorkerTimes, job_body, ranked_job_body};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

#[test]
fn runs_cancels_and_survives_a_killed_leader() {
    let mut cluster = Cluster::start(3);
    // Accepted by one controller, then reported as done by all of them.
    cluster.submit("req-000001", "sweep", 4);
    cluster.until("req-000001", "done");
    // A service runs until it is cancelled, and stays cancelled.
    cluster.submit("req-000002", "daemon", 2);
    cluster.until("req-000002", "running");
    assert_eq!(cluster.call("POST", "/api/jobs/req-000002/abort", &[]).0, 200);
    cluster.until("req-000002", "aborted");
    cluster.wait_until_gone("req-000002");
    // The leader is killed while a job is in flight: all jobs still finish, and no task runs
    // twice.
    cluster.submit("req-000003", "sweep", 6);
    cluster.kill_leader();
    cluster.submit("req-000004", "sweep", 3);
    cluster.until("req-000003", "done");
    cluster.until("req-000004", "done");
    // A finished job stays finished, and a repeated submission reports the same stage.
    cluster.until("req-000001", "done");
    let (status, body) = cluster.call("POST", "/api/jobs", &job_body("req-000001", "sweep", 4));
    assert_eq!((status, stand_in::stage(&body).as_deref()), (200, Some("done")));
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// Guards against leaders that step down while the store is idle. With a short cancellation
/// deadline a leader must confirm every few seconds that its copy of the store is current; leaders
/// once failed to do so while watches returned no events, resigned every three seconds, and
/// finished jobs were never reported as done. Afterwards a machine fails with tasks on it, the
/// leader is killed, and all machines must be returned.
#[test]
fn leader_stays_while_watches_return_no_events() {
    const EMPTY_WATCHES: u64 = 45;
    let times = WorkerTimes { lease_s: 6.0, cancel_s: 12.0 };
    let mut cluster = Cluster::start_with(Plan { times, ..Plan::small(3) });
    cluster.submit("req-000005", "sweep", 2);
    cluster.until("req-000005", "running");
    cluster.until("req-000005", "done");
    // One leader change is tolerated, so that a stalled test host does not fail the test.
    let (leaders, watches) = (cluster.leaders(), cluster.empty_watches());
    cluster.wait_for("empty watches", |c| c.empty_watches() >= watches + EMPTY_WATCHES);
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

/// Guards against review/5: a machine was back in the middle of an election, and a copy of a direct
/// command started a task there that had failed and ran elsewhere. Copies of everything that was
/// sent directly reach restarted workers, of machines with a task that failed and moved, one that
/// was cancelled, and one that was preempted.
#[test]
fn copies_of_direct_commands_start_nothing_on_restarted_machines() {
    let mut cluster = Cluster::start(3);
    cluster.submit("req-000012", "daemon", 1);
    cluster.submit("req-000027", "daemon", 1);
    cluster.until("req-000012", "running");
    cluster.until("req-000027", "running");
    assert_eq!(cluster.call("POST", "/api/jobs/req-000012/abort", &[]).0, 200);
    cluster.wait_until_gone("req-000012");
    // Fills what the team's limit leaves, and then gives way to a service.
    let filler = ranked_job_body("req-000035", "sweep", 40, "idle");
    assert_eq!(cluster.call("POST", "/api/jobs", &filler).0, 201);
    cluster.wait_for("idle tasks run", |c| c.holds_tasks(&JobId::new("req-000035")) >= 4);
    cluster.submit("req-000042", "daemon", 4);
    cluster.until("req-000042", "running");
    let stopped = |c: &Cluster, job| c.direct_commands().iter().any(|sent| sent.stops(job));
    assert!(stopped(&cluster, "req-000012"), "the cancelled task was not stopped directly");

    let copies = cluster.direct_commands();
    assert!(!copies.iter().any(ReceivedCommands::start_a_task), "a task was started directly");
    let machines: BTreeSet<MachineId> = copies.iter().map(|sent| sent.machine.clone()).collect();
    cluster.kill_leader();
    machines.iter().for_each(|machine| cluster.restart_worker(machine));
    let accepted = copies.iter().filter(|sent| sent.deliver() == Some(200)).count();
    assert!(accepted > 0, "no restarted worker accepts a copy");
    cluster.until("req-000042", "running");
    for sent in &copies {
        sent.deliver();
    }
    assert_eq!(cluster.holds_tasks(&JobId::new("req-000012")), 0);
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// One store response in five is invalid, truncated, has an excessive `Content-Length`, or is
/// lost. Jobs must still finish and be cancelled, and reported stages must stay true.
#[test]
fn damaged_store_responses_lose_no_jobs() {
    let cluster = Cluster::start(3);
    cluster.damage_responses(5);
    cluster.submit("req-000031", "sweep", 4);
    cluster.submit("req-000032", "daemon", 2);
    cluster.until("req-000031", "done");
    cluster.until("req-000032", "running");
    assert_eq!(cluster.call("POST", "/api/jobs/req-000032/abort", &[]).0, 200);
    cluster.until("req-000032", "aborted");
    cluster.wait_until_gone("req-000032");
    cluster.until("req-000031", "done");
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

#[test]
fn rejects_invalid_requests() {
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

/// Guards against 400 for a job that was accepted, running or done, when a version that takes the
/// fields of its submission for invalid gets it again.
#[test]
fn an_accepted_job_is_not_refused_when_its_repeated_submission_is_invalid() {
    let mut cluster = Cluster::start(3);
    cluster.submit("req-000014", "sweep", 1);
    let repeated = |cluster: &Cluster, i: usize, job: &str| {
        cluster.call_one(i, "POST", "/api/jobs", &job_body(job, "sweep", 0)).0
    };
    assert_eq!(repeated(&cluster, 0, "req-000014"), 200);
    cluster.until("req-000014", "done");
    // A controller that has restarted knows neither the spec nor the final state.
    cluster.replace(0, Path::new(env!("CARGO_BIN_EXE_marblebarrow")));
    for i in 0..3 {
        assert_eq!(repeated(&cluster, i, "req-000014"), 200, "controller {i}");
        assert_eq!(repeated(&cluster, i, "req-000016"), 400, "controller {i}");
    }
    assert_eq!(cluster.broken(), Vec::<String>::new());
}

/// Opens more connections than the controller has sockets (500): idle ones, ones stuck within
/// the header or the body, and ones with bodies over the limit. Memory and threads must stay far
/// below what the settings allow (100 MB; a quarter of the sockets and a dozen), and jobs must
/// still be accepted and finish.
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
        // The write may fail or time out: the controller may close or stall the connection.
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
fn invalid_settings_fail_startup_with_one_line() {
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
