//! What users are told of their jobs. The submission itself is [`crate::job`].
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `ref` | job id |
//! | stage `aborted` | [`Stage::Cancelled`] |

use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// What users are told of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Where it stands.
    pub stage: Stage,
    /// Completed tasks, for display.
    #[serde(default)]
    pub done: u32,
    /// Running tasks, for display.
    #[serde(default)]
    pub running: u32,
    /// DAG dependencies that this controller still sees unfinished. Left out
    /// when empty, so that answers without dependencies stay as before.
    #[serde(rename = "waits_on", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<JobId>,
}

/// A job's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The body of a 422 to a submission that names DAG dependencies never accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnknownDependencies {
    /// What is wrong, for people.
    pub error: String,
    /// The named jobs that were never accepted.
    pub waits_on: Vec<JobId>,
}
