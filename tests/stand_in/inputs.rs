//! Inputs for the controllers: settings files and job submissions.

use ciborium::Value;
use marblebarrow_proto::cbor;

/// Worker timings written to the settings, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job have stopped.
    pub cancel_s: f64,
}

impl WorkerTimes {
    /// Short leases and a long cancellation deadline.
    pub const SHORT_LEASES: Self = Self { lease_s: 4.0, cancel_s: 20.0 };
}

/// Configuration of a test cluster.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of controllers.
    pub controllers: usize,
    /// Maximum number of machines rented at the same time.
    pub max_machines: usize,
    /// CPU limit of the team.
    pub team_cpus: f64,
    /// Worker timings.
    pub times: WorkerTimes,
    /// Seconds between a worker's heartbeats.
    pub report_s: f64,
    /// Resource limits of each controller.
    pub resources: Resources,
}

/// Resource limits of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Fraction of one CPU core.
    pub core_share: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub sockets: usize,
}

impl Plan {
    /// A small cluster with `controllers` controllers.
    pub const fn small(controllers: usize) -> Self {
        Self {
            controllers,
            max_machines: 6,
            team_cpus: 8.0,
            times: WorkerTimes::SHORT_LEASES,
            report_s: 0.3,
            resources: Resources { core_share: 1.0, memory_mb: 100.0, sockets: 500 },
        }
    }
}

/// Settings file of controller `i`.
pub fn settings_text(
    i: usize,
    plan: &Plan,
    nodes: &[String],
    peers: &[String],
    cloud: &str,
    store: &str,
) -> String {
    let mut text = format!(
        "node = \"c{i}\"\nsite = \"a\"\nserve_on = \"{}\"\npeer_bind = \"{}\"\nunknown = 1\n",
        nodes[i], peers[i]
    );
    for (o, peer) in peers.iter().enumerate().filter(|(o, _)| *o != i) {
        text += &format!("[[others]]\nnode = \"c{o}\"\nsite = \"a\"\nendpoint = \"{peer}\"\n");
    }
    text += &format!("[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n");
    text += &format!("[[facts.teams]]\nname = \"t\"\ncpus_max = {:.1}\n", plan.team_cpus);
    let WorkerTimes { lease_s, cancel_s } = plan.times;
    // The simulated workers may report more often than the configured interval.
    let report_s = plan.report_s.max(1.0);
    text += &format!("[facts.workers]\nreport_s = {report_s:.1}\n");
    text += &format!("lease_s = {lease_s:.1}\ncancel_s = {cancel_s:.1}\n");
    text += "[facts.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 16\n";
    text += "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n";
    let Resources { core_share, memory_mb, sockets } = plan.resources;
    text += &format!("[facts.resources]\ncore_share = {core_share:.3}\n");
    text + format!("mem_mb = {memory_mb:.1}\nfd_limit = {sockets}\n").as_str()
}

/// Request body of a job submission.
pub fn job_body(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
    ranked_job_body(id, shape, tasks, "standard")
}

/// The same with this rank.
pub fn ranked_job_body(id: &str, shape: &str, tasks: u32, rank: &str) -> Vec<u8> {
    let t = |s: &str| Value::Text(s.into());
    let fields = [
        ("ref", t(id)),
        ("lot", t("c")),
        ("crew", t("t")),
        ("shape", t(shape)),
        ("rank", t(rank)),
        ("pieces", Value::from(tasks)),
        ("vcpus", Value::from(1)),
        ("cards", Value::from(0)),
        ("mem_gb", Value::Float(0.5)),
        ("mould", t("i")),
        ("size_gb", Value::Float(0.1)),
        ("together", Value::Bool(false)),
        ("spread", Value::Bool(false)),
        ("loaners", Value::Bool(false)),
        ("guess_s", Value::from(1)),
        ("mark_s", Value::from(0)),
        ("stow_s", Value::from(0)),
    ];
    cbor::encode(&Value::Map(fields.into_iter().map(|(k, v)| (t(k), v)).collect()))
}

/// Reads the `stage` field of a job status response.
pub fn stage(body: &[u8]) -> Option<String> {
    let v: Value = cbor::decode(body).ok()?;
    let fields = v.into_map().ok()?;
    let stage = fields.into_iter().find(|(k, _)| k.as_text() == Some("stage"))?.1;
    stage.into_text().ok()
}
