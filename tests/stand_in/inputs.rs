//! What the stand-ins hand to the program: settings and submissions.

use ciborium::Value;
use marblebarrow_proto::cbor;

/// Times that the settings give, seconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Workers' leases.
    pub lease_s: f64,
    /// Tasks of a cancelled job are gone within so long.
    pub cancel_s: f64,
}

impl WorkerTimes {
    /// Leases that end soon, and much time for cancellations.
    pub const USUAL: Self = Self { lease_s: 4.0, cancel_s: 20.0 };
}

/// What a cluster is started with.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Controllers.
    pub controllers: usize,
    /// Machines that may be rented at once.
    pub machines_most: usize,
    /// The team's limit, CPUs.
    pub team_cpus: f64,
    /// Times of workers.
    pub times: WorkerTimes,
    /// Seconds between a worker's reports.
    pub report_s: f64,
    /// What each controller has.
    pub resources: Resources,
}

/// What a controller has.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Share of a core.
    pub core_share: f64,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Sockets.
    pub sockets: usize,
}

impl Plan {
    /// So many controllers of a small cluster.
    pub const fn small(controllers: usize) -> Self {
        Self {
            controllers,
            machines_most: 6,
            team_cpus: 8.0,
            times: WorkerTimes::USUAL,
            report_s: 0.3,
            resources: Resources { core_share: 1.0, memory_mb: 100.0, sockets: 500 },
        }
    }
}

/// Settings of controller `i`.
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
    // Workers here report more often than they say.
    let report_s = plan.report_s.max(1.0);
    text += &format!("[facts.workers]\nreport_s = {report_s:.1}\n");
    text += &format!("lease_s = {lease_s:.1}\ncancel_s = {cancel_s:.1}\n");
    text += "[facts.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 16\n";
    text += "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n";
    let Resources { core_share, memory_mb, sockets } = plan.resources;
    text += &format!("[facts.resources]\ncore_share = {core_share:.3}\n");
    text + format!("mem_mb = {memory_mb:.1}\nfd_limit = {sockets}\n").as_str()
}

/// A submission's body.
pub fn job_body(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
    let t = |s: &str| Value::Text(s.into());
    let fields = [
        ("ref", t(id)),
        ("lot", t("c")),
        ("crew", t("t")),
        ("shape", t(shape)),
        ("rank", t("standard")),
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

/// The stage in a status body.
pub fn stage(body: &[u8]) -> Option<String> {
    let v: Value = cbor::decode(body).ok()?;
    let fields = v.into_map().ok()?;
    let stage = fields.into_iter().find(|(k, _)| k.as_text() == Some("stage"))?.1;
    stage.into_text().ok()
}
