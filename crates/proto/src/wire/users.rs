//! Responses to users about their jobs. The submission itself is in [`crate::job`].
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `ref` | job id |
//! | stage `aborted` | [`Stage::Cancelled`] |

use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// Status of a job as reported to users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Stage that the job has reached.
    pub stage: Stage,
    /// Number of completed tasks, for display only.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks, for display only.
    #[serde(default)]
    pub running: u32,
    /// Dependencies of the job that this controller doesn't know to be done. Omitted when
    /// empty, so that a status without dependencies is encoded as before the field was added.
    #[serde(rename = "waits_on", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<JobId>,
}

/// Stage of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// No task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Body of the 422 response to a submission with dependencies that were never accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnknownDependencies {
    /// Description of the error, for people.
    pub error: String,
    /// The dependencies that were never accepted.
    pub waits_on: Vec<JobId>,
}
