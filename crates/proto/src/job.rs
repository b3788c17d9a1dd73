//! A job's specification as submitted by a user, and the validation of a submission.
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
//! | `guess_s` | estimated run time of a task, seconds |
//! | `mark_s`, `stow_s` | checkpoint interval, time to save, seconds |
//! | `due_s` | deadline, seconds after submission |
//! | `waits_on` | dependencies on other jobs (DAG) |

use crate::cbor;
use crate::ids::JobId;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job, as the protocol specifies.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a job id, class, team, machine type, zone or image name, in bytes. They
/// are copied into records, and a record must fit the value limit of the state service.
const MAX_NAME_LEN: usize = 200;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum number of dependencies of a job. The check that they were accepted has one
/// condition for each, and must fit in a few transactions of the state service.
pub const MAX_DEPENDENCIES: usize = 64;

/// Kind of a job: how its tasks relate, and whether they end by themselves.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run only all at once. The protocol specification doesn't describe this
    /// kind, but the design, `fleetbench wire` and `fleetbench real` use it.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A job's priority, lowest first.
#[derive(Clone, Copy, PartialEq, Hash, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Runs only on capacity that no job of a higher priority needs.
    #[serde(rename = "idle")]
    Low,
    /// The default priority.
    #[serde(rename = "standard")]
    Normal,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// Above all other priorities.
    #[serde(rename = "production")]
    Production,
}

/// A validated submission. It is also stored, as part of the spec record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id of the job, chosen by the submitter.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Class of the job, by which the service objectives refer to it.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team whose guarantee and limit apply to the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job: array, gang or service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs per task.
    #[serde(rename = "vcpus", deserialize_with = "cbor::f64_from_number")]
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "cards", deserialize_with = "cbor::f64_from_number")]
    pub gpus: f64,
    /// Memory per task, GB.
    #[serde(rename = "mem_gb", deserialize_with = "cbor::f64_from_number")]
    pub memory_gb: f64,
    /// Image that a machine must hold to run a task.
    #[serde(rename = "mould")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "size_gb", deserialize_with = "cbor::f64_from_number")]
    pub image_gb: f64,
    /// Machine types that the tasks may run on; `None` allows any.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only zone that the tasks may run in; `None` allows any.
    #[serde(rename = "quarter", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether a zone may run at most half of the tasks, rounded up.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The submitter's estimate of a task's run time, seconds.
    #[serde(rename = "guess_s", deserialize_with = "cbor::f64_from_number")]
    pub estimate_s: f64,
    /// Progress between checkpoints, seconds of run time; 0: the task saves no checkpoints.
    #[serde(rename = "mark_s", deserialize_with = "cbor::f64_from_number")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save its state when it is stopped, seconds.
    #[serde(rename = "stow_s", deserialize_with = "cbor::f64_from_number")]
    pub save_s: f64,
    /// Deadline for the completion of the job, seconds after submission.
    #[serde(rename = "due_s", default, deserialize_with = "cbor::opt_f64_from_number")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts. Omitted from the record
    /// when empty, so that a spec without dependencies is stored byte for byte as by the
    /// versions that predate the field. Those versions ignore unknown fields, and can
    /// therefore read a spec that has it.
    #[serde(rename = "waits_on", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// The reason why a submission is invalid.
#[derive(Clone, Debug, thiserror::Error, PartialEq)]
pub enum InvalidJob {
    /// The body is not CBOR, or not a map.
    #[error("body is not a cbor map")]
    NotAMap,
    /// The named field is absent, or has a wrong type or value.
    #[error("field {0} is missing or invalid")]
    Field(&'static str),
}

/// The fields of a submission, looked up by wire name. Each accessor reports an absent or
/// invalid field as [`InvalidJob::Field`].
struct Fields<'a>(&'a [(Value, Value)]);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.iter().find(|(k, _)| k.as_text() == Some(name)).map(|(_, v)| v)
    }
    /// As `get`, with null treated as absent.
    fn optional(&self, name: &str) -> Option<&'a Value> {
        self.get(name).filter(|v| !v.is_null())
    }
    /// A non-empty string of at most [`MAX_NAME_LEN`] bytes.
    fn text(&self, name: &'static str) -> Result<String, InvalidJob> {
        let t = self.get(name).and_then(Value::as_text).ok_or(InvalidJob::Field(name))?;
        if t.is_empty() || t.len() > MAX_NAME_LEN {
            Err(InvalidJob::Field(name))
        } else {
            Ok(t.to_owned())
        }
    }
    /// A finite number, 0 or greater.
    fn amount(&self, name: &'static str) -> Result<f64, InvalidJob> {
        let n = self.get(name).and_then(cbor::as_f64).ok_or(InvalidJob::Field(name))?;
        if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(InvalidJob::Field(name)) }
    }
    fn flag(&self, name: &'static str) -> Result<bool, InvalidJob> {
        self.get(name).and_then(Value::as_bool).ok_or(InvalidJob::Field(name))
    }
    /// The variant of an enum with this wire name.
    fn choice<T: serde::de::DeserializeOwned>(&self, name: &'static str) -> Result<T, InvalidJob> {
        let v = self.get(name).filter(|v| v.is_text()).ok_or(InvalidJob::Field(name))?;
        v.deserialized().map_err(|_| InvalidJob::Field(name))
    }
}

impl JobSpec {
    /// Whether the job restricts zone, machine types or the use of spot machines, so that some
    /// machines are excluded whatever their free capacity.
    pub fn has_placement_constraints(&self) -> bool {
        self.zone.is_some() || self.types.is_some() || !self.spot
    }

    /// The job id in the body of a submission, if it is well-formed, whatever the other fields.
    pub fn id_in(body: &[u8]) -> Option<JobId> {
        let value: Value = cbor::decode(body).ok()?;
        let id = Fields(value.as_map()?).text("ref").ok()?;
        JobId::is_well_formed(&id).then(|| JobId::new(&id))
    }

    /// Decodes and validates the body of a submission. Unknown fields are ignored.
    pub fn parse(body: &[u8]) -> Result<Self, InvalidJob> {
        let value: Value = cbor::decode(body).map_err(|_| InvalidJob::NotAMap)?;
        let f = Fields(value.as_map().ok_or(InvalidJob::NotAMap)?);
        let id = f.text("ref")?;
        if !JobId::is_well_formed(&id) {
            return Err(InvalidJob::Field("ref"));
        }
        let tasks = f
            .get("pieces")
            .and_then(Value::as_integer)
            .and_then(|i| u32::try_from(i).ok())
            .filter(|n| (1..=MAX_TASKS).contains(n))
            .ok_or(InvalidJob::Field("pieces"))?;
        let types = match f.optional("builds") {
            None => None,
            Some(v) => {
                let list = v.as_array().ok_or(InvalidJob::Field("builds"))?;
                let names: Option<Vec<String>> = list
                    .iter()
                    .map(|t| t.as_text().filter(|t| t.len() <= MAX_NAME_LEN).map(str::to_owned))
                    .collect();
                Some(
                    names
                        .filter(|n| n.len() <= MAX_MACHINE_TYPES)
                        .ok_or(InvalidJob::Field("builds"))?,
                )
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

/// Validates `waits_on`: a list of well-formed job ids, at most [`MAX_DEPENDENCIES`] after
/// duplicates are removed. The order of first occurrence is kept.
fn parse_dependencies(value: &Value) -> Result<Vec<JobId>, InvalidJob> {
    const FIELD: &str = "waits_on";
    let list = value.as_array().ok_or(InvalidJob::Field(FIELD))?;
    let mut dependencies: Vec<JobId> = Vec::with_capacity(list.len());
    for item in list {
        let name = item.as_text().ok_or(InvalidJob::Field(FIELD))?;
        if !JobId::is_well_formed(name) {
            return Err(InvalidJob::Field(FIELD));
        }
        let id = JobId::new(name);
        if !dependencies.contains(&id) {
            dependencies.push(id);
        }
    }
    if dependencies.len() > MAX_DEPENDENCIES {
        return Err(InvalidJob::Field(FIELD));
    }
    Ok(dependencies)
}

#[cfg(test)]
#[path = "tests/job.rs"]
mod tests;
