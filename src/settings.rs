//! The settings provided by the platform (TOML). Unknown fields are ignored; a missing or invalid
//! field stops the program at startup with a one-line error.

use crate::limits::VALUE_KB_MIN;
use marblebarrow_core::consts::MIN_TXN_CHANGES;
use marblebarrow_core::facts::{DeadlineObjective, Facts, Team, TimeObjective, Tuning};
use marblebarrow_proto::ids::NodeId;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// An error in the settings, with file, field and reason.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    file: String,
    field: String,
    reason: String,
}

/// Name and address of another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Its name.
    pub node: String,
    /// Where its peer service listens.
    pub endpoint: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Raw {
    node: String,
    serve_on: SocketAddr,
    peer_bind: SocketAddr,
    #[serde(default)]
    others: Vec<PeerAddress>,
    endpoints: Endpoints,
    facts: RawFacts,
}

#[derive(Debug, Deserialize)]
struct Endpoints {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct RawFacts {
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    resources: RawResources,
}

#[derive(Debug, Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Debug, Deserialize)]
struct RawObjective {
    kind: String,
    class: Option<String>,
    times: Option<f64>,
    within_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Debug, Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    /// Announced limits, which come into force later without further notice.
    next: Option<RawNextState>,
}

/// Announced limits of the state service; an absent limit stays unchanged.
#[derive(Debug, Default, Deserialize)]
struct RawNextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// The smaller of each current and announced limit of the state service, which is safe to use at
/// any time.
#[derive(Debug)]
struct StoreLimits {
    rps: f64,
    write_rps: f64,
    value_bytes: usize,
    txn_ops: usize,
}

impl RawState {
    fn limits(&self) -> Result<StoreLimits, (String, String)> {
        let next = RawNextState::default();
        let next = self.next.as_ref().unwrap_or(&next);
        let value_kb = smaller_limit("value_kb", self.value_kb, next.value_kb)?;
        if value_kb < VALUE_KB_MIN {
            return Err(("facts.state.value_kb".into(), format!("is below {VALUE_KB_MIN}")));
        }
        let txn_ops = next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops));
        if txn_ops < MIN_TXN_CHANGES {
            return Err(("facts.state.txn_ops".into(), format!("is below {MIN_TXN_CHANGES}")));
        }
        Ok(StoreLimits {
            rps: smaller_limit("rps", self.rps, next.rps)?,
            write_rps: smaller_limit("write_rps", self.write_rps, next.write_rps)?,
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        })
    }
}

/// The objectives of a kind that name a class and a valid time.
fn time_objectives(objectives: &[RawObjective], kind: &str) -> Vec<TimeObjective> {
    let matching = objectives.iter().filter(|o| o.kind == kind);
    matching
        .filter_map(|o| {
            let within_s = o.within_s.filter(|w| w.is_finite() && *w > 0.0)?;
            Some(TimeObjective { class: o.class.clone()?, within_s })
        })
        .collect()
}

/// The smaller of a current limit and the announced one, if there is one.
fn smaller_limit(field: &str, now: f64, next: Option<f64>) -> Result<f64, (String, String)> {
    let now = positive(&format!("facts.state.{field}"), now)?;
    let next = next.map(|next| positive(&format!("facts.state.next.{field}"), next)).transpose()?;
    Ok(next.map_or(now, |next| now.min(next)))
}

fn positive(field: &str, n: f64) -> Result<f64, (String, String)> {
    if n.is_finite() && n > 0.0 {
        Ok(n)
    } else {
        Err((field.to_owned(), format!("{n} is not a positive number")))
    }
}

#[derive(Debug, Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}

fn default_core_share() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct RawResources {
    #[serde(default = "default_core_share")]
    core_share: f64,
    mem_mb: f64,
    fd_limit: usize,
}

/// Settings that passed all checks.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address on which users, workers and health checks are served.
    pub listen: SocketAddr,
    /// Address on which the other controllers are served.
    pub peer_listen: SocketAddr,
    /// The other controllers.
    pub others: Vec<PeerAddress>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
    /// Memory limit, MB.
    pub memory_mb: f64,
    /// Limit on open sockets.
    pub max_sockets: usize,
    /// The settings passed to the core.
    pub facts: Facts,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let error = |field: &str, reason: String| SettingsError {
            file: file.clone(),
            field: field.to_owned(),
            reason,
        };
        let text = std::fs::read_to_string(path).map_err(|e| error("(file)", e.to_string()))?;
        Self::parse(&text).map_err(|(field, reason)| error(&field, reason))
    }

    /// Parses and checks the text of a settings file; an error contains field and reason.
    pub fn parse(text: &str) -> Result<Self, (String, String)> {
        let one_line = |s: &str| s.split_whitespace().collect::<Vec<_>>().join(" ");
        let toml = toml::Deserializer::parse(text)
            .map_err(|e| ("(syntax)".to_owned(), one_line(e.message())))?;
        let raw: Raw = serde_path_to_error::deserialize(toml)
            .map_err(|e| (e.path().to_string(), one_line(e.inner().message())))?;
        if raw.node.is_empty() {
            return Err(("node".into(), "is empty".into()));
        }
        let f = raw.facts;
        for t in &f.teams {
            for n in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                if !n.is_finite() || n < 0.0 {
                    return Err((
                        "facts.teams".into(),
                        format!("{n} of {} is not an amount", t.name),
                    ));
                }
            }
        }
        let store = f.state.limits()?;
        if f.resources.fd_limit < 64 {
            return Err(("facts.resources.fd_limit".into(), "is below 64".into()));
        }
        let deadline_objectives = f
            .objectives
            .iter()
            .filter(|o| o.kind == "deadline")
            // An invalid factor counts as 1, the strictest deadline that can be met.
            .filter_map(|o| {
                let times = o.times.filter(|t| t.is_finite() && *t > 0.0).unwrap_or(1.0);
                Some(DeadlineObjective { class: o.class.clone()?, times })
            })
            .collect();
        // Objectives of other kinds don't affect scheduling.
        let completion_objectives = time_objectives(&f.objectives, "finished");
        let start_objectives = time_objectives(&f.objectives, "wait");
        let facts = Facts {
            node: NodeId::new(&raw.node),
            others: raw.others.iter().map(|o| NodeId::new(&o.node)).collect(),
            teams: f
                .teams
                .into_iter()
                .map(|t| Team {
                    name: t.name,
                    cpus: t.cpus,
                    cpus_max: t.cpus_max,
                    gpus: t.gpus,
                    gpus_max: t.gpus_max,
                })
                .collect(),
            deadline_objectives,
            completion_objectives,
            start_objectives,
            heartbeat_interval_s: positive("facts.workers.report_s", f.workers.report_s)?,
            lease_s: positive("facts.workers.lease_s", f.workers.lease_s)?,
            cancel_s: positive("facts.workers.cancel_s", f.workers.cancel_s)?,
            store_rps: store.rps,
            store_write_rps: store.write_rps,
            store_txn_ops: store.txn_ops,
            store_value_bytes: store.value_bytes,
            cloud_rps: positive("facts.cloud.rps", f.cloud.rps)?,
            list_lag_s: positive("facts.cloud.list_lag_s", f.cloud.list_lag_s)?,
            log: true,
            core_share: positive("facts.resources.core_share", f.resources.core_share)?,
            // Replaced in `controller::serve` by the share derived from the resources.
            max_direct_commands: 4,
            max_held_heartbeats: 4,
            tuning: Tuning::default(),
            // Loaded from a separate file.
            cells: None,
        };
        Ok(Self {
            listen: raw.serve_on,
            peer_listen: raw.peer_bind,
            others: raw.others,
            cloud: raw.endpoints.cloud,
            state: raw.endpoints.state,
            memory_mb: positive("facts.resources.mem_mb", f.resources.mem_mb)?,
            max_sockets: f.resources.fd_limit,
            facts,
        })
    }
}

#[cfg(test)]
#[path = "tests/settings.rs"]
mod tests;
