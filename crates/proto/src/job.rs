//! A job as its user describes it, and the checks a submission must pass.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `ref` | job id |
//! | `lot` | class |
//! | `crew` | team |
//! | `shape`: `sweep`, `gang`, `daemon` | kind: array, gang, service |
//! | `rank`: `idle`, `standard` | priority: low, normal |
//! | `pieces` | tasks |
//! | `vcpus`, `cards`, `mem_gb` | CPUs, GPUs, memory of a task |
//! | `mould`, `size_gb` | image, its size |
//! | `builds`, `quarter` | allowed machine types, allowed zone |
//! | `together` | all tasks in one zone (`one_zone`) |
//! | `loaners` | spot machines allowed |
//! | `guess_s` | estimated run time of a task |
//! | `mark_s`, `stow_s` | checkpoint interval, time to save |
//! | `due_s` | deadline |
//! | `waits_on` | DAG dependencies |

use crate::cbor;
use crate::ids::JobId;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// The most tasks a job may have (protocol page).
pub const MAX_TASKS: u32 = 100_000;
/// Longest class, team, type, zone or image name we take: they are copied into
/// records, and a record must fit a value of the store.
const MAX_NAME: usize = 200;
/// Most machine types a job may list.
const MAX_TYPES: usize = 64;
/// Most jobs a submission may name as its DAG dependencies: each is a condition of the
/// check that they were accepted, and the check must fit a few transactions of the store.
pub const MAX_DEPENDENCIES: usize = 64;

/// Whether tasks end by themselves.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that only run all together. The protocol page has no paragraph on
    /// them, but the design, `fleetbench wire` and `fleetbench real` know them.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A job's priority, lowest first.
#[derive(Clone, Copy, PartialEq, Hash, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Runs when nothing else wants the room.
    #[serde(rename = "idle")]
    Low,
    /// The usual one.
    #[serde(rename = "standard")]
    Normal,
    /// Above the usual.
    #[serde(rename = "high")]
    High,
    /// Above all others.
    #[serde(rename = "production")]
    Production,
}

/// A submission that passed validation; also the stored spec record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Class, as the aims name it.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team that guarantee and limit belong to.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of a task.
    #[serde(rename = "vcpus", deserialize_with = "cbor::f64_lax")]
    pub cpus: f64,
    /// GPUs of a task.
    #[serde(rename = "cards", deserialize_with = "cbor::f64_lax")]
    pub gpus: f64,
    /// Memory of a task, GB.
    #[serde(rename = "mem_gb", deserialize_with = "cbor::f64_lax")]
    pub memory_gb: f64,
    /// Image a machine must have.
    #[serde(rename = "mould")]
    pub image: String,
    /// Its size, GB.
    #[serde(rename = "size_gb", deserialize_with = "cbor::f64_lax")]
    pub image_gb: f64,
    /// Machine types allowed; none given means any.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only zone allowed.
    #[serde(rename = "quarter", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in a zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, seconds.
    #[serde(rename = "guess_s", deserialize_with = "cbor::f64_lax")]
    pub estimate_s: f64,
    /// Progress between checkpoints, seconds; 0: never saves.
    #[serde(rename = "mark_s", deserialize_with = "cbor::f64_lax")]
    pub checkpoint_s: f64,
    /// Time a stopped task needs to save, seconds.
    #[serde(rename = "stow_s", deserialize_with = "cbor::f64_lax")]
    pub save_s: f64,
    /// When it should be complete, seconds after submission.
    #[serde(rename = "due_s", default, deserialize_with = "cbor::opt_f64_lax")]
    pub deadline_s: Option<f64>,
    /// DAG dependencies: jobs that must be done before any task of this one starts. Wire
    /// name `waits_on`. Left out of the record when empty, so that a spec without
    /// dependencies is stored byte for byte as the version before them stored it, and a
    /// version that does not know the field reads one with it (unknown fields are ignored).
    #[serde(rename = "waits_on", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum BadJob {
    /// Not CBOR or not a map.
    #[error("body is not a cbor map")]
    NotAMap,
    /// A field is absent or has a wrong type or value.
    #[error("field {0} is missing or invalid")]
    Field(&'static str),
}

struct Fields<'a>(&'a [(Value, Value)]);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.iter().find(|(k, _)| k.as_text() == Some(name)).map(|(_, v)| v)
    }
    fn optional(&self, name: &str) -> Option<&'a Value> {
        self.get(name).filter(|v| !v.is_null())
    }
    fn text(&self, name: &'static str) -> Result<String, BadJob> {
        let t = self.get(name).and_then(Value::as_text).ok_or(BadJob::Field(name))?;
        if t.is_empty() || t.len() > MAX_NAME { Err(BadJob::Field(name)) } else { Ok(t.to_owned()) }
    }
    fn amount(&self, name: &'static str) -> Result<f64, BadJob> {
        let n = self.get(name).and_then(cbor::number).ok_or(BadJob::Field(name))?;
        if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(BadJob::Field(name)) }
    }
    fn flag(&self, name: &'static str) -> Result<bool, BadJob> {
        self.get(name).and_then(Value::as_bool).ok_or(BadJob::Field(name))
    }
    fn choice<T: serde::de::DeserializeOwned>(&self, name: &'static str) -> Result<T, BadJob> {
        let v = self.get(name).filter(|v| v.is_text()).ok_or(BadJob::Field(name))?;
        v.deserialized().map_err(|_| BadJob::Field(name))
    }
}

impl JobSpec {
    /// Whether some machines are not allowed for it, however much room they have.
    pub fn bound(&self) -> bool {
        self.zone.is_some() || self.types.is_some() || !self.spot
    }

    /// Checks a submission's body.
    pub fn parse(body: &[u8]) -> Result<Self, BadJob> {
        let value: Value = cbor::decode(body).map_err(|_| BadJob::NotAMap)?;
        let f = Fields(value.as_map().ok_or(BadJob::NotAMap)?);
        let id = f.text("ref")?;
        if !JobId::well_formed(&id) {
            return Err(BadJob::Field("ref"));
        }
        let tasks = f
            .get("pieces")
            .and_then(Value::as_integer)
            .and_then(|i| u32::try_from(i).ok())
            .filter(|n| (1..=MAX_TASKS).contains(n))
            .ok_or(BadJob::Field("pieces"))?;
        let types = match f.optional("builds") {
            None => None,
            Some(v) => {
                let list = v.as_array().ok_or(BadJob::Field("builds"))?;
                let names: Option<Vec<String>> = list
                    .iter()
                    .map(|t| t.as_text().filter(|t| t.len() <= MAX_NAME).map(str::to_owned))
                    .collect();
                Some(names.filter(|n| n.len() <= MAX_TYPES).ok_or(BadJob::Field("builds"))?)
            }
        };
        let zone = f.optional("quarter").map(|_| f.text("quarter")).transpose()?;
        let deadline_s = f.optional("due_s").map(|_| f.amount("due_s")).transpose()?;
        let dependencies = match f.optional("waits_on") {
            None => Vec::new(),
            Some(v) => parse_dependencies(v)?,
        };
        Ok(Self {
            id: JobId::new(&id),
            class: f.text("lot")?,
            team: f.text("crew")?,
            kind: f.choice("shape")?,
            priority: f.choice("rank")?,
            tasks,
            cpus: f.amount("vcpus")?,
            gpus: f.amount("cards")?,
            memory_gb: f.amount("mem_gb")?,
            image: f.text("mould")?,
            image_gb: f.amount("size_gb")?,
            types,
            zone,
            one_zone: f.flag("together")?,
            spread: f.flag("spread")?,
            spot: f.flag("loaners")?,
            estimate_s: f.amount("guess_s")?,
            checkpoint_s: f.amount("mark_s")?,
            save_s: f.amount("stow_s")?,
            deadline_s,
            dependencies,
        })
    }
}

/// Reads `waits_on`: a list of well-formed job ids, at most [`MAX_DEPENDENCIES`]. A name
/// given twice counts once; the order of first mention is kept.
fn parse_dependencies(value: &Value) -> Result<Vec<JobId>, BadJob> {
    const FIELD: &str = "waits_on";
    let list = value.as_array().ok_or(BadJob::Field(FIELD))?;
    let mut dependencies: Vec<JobId> = Vec::with_capacity(list.len());
    for item in list {
        let name = item.as_text().ok_or(BadJob::Field(FIELD))?;
        if !JobId::well_formed(name) {
            return Err(BadJob::Field(FIELD));
        }
        let id = JobId::new(name);
        if !dependencies.contains(&id) {
            dependencies.push(id);
        }
    }
    if dependencies.len() > MAX_DEPENDENCIES {
        return Err(BadJob::Field(FIELD));
    }
    Ok(dependencies)
}

#[cfg(test)]
#[path = "tests/job.rs"]
mod tests;
