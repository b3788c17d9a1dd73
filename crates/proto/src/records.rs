//! Keys and records in the state service.
//!
//! - `w/`: the keys that every controller watches, among them the leader key, the specs of
//!   unfinished jobs and cancellations.
//! - `end/`: the final state of each job, written once.
//! - `p/`: progress of jobs, written by the leader only.
//! - `m/`: the machines that were given tasks.

use crate::ids::{JobId, MachineId, NodeId};
use crate::intset::{IntSet, PackedSet};
use crate::transfer::{ForwardRecord, TransferId};
use serde::{Deserialize, Serialize};

/// Key prefix of everything that controllers watch.
pub const WATCHED_PREFIX: &str = "w/";
/// Key of the [`LeaderRecord`], attached to the leader's lease.
pub const LEADER_KEY: &str = "w/lead";
/// Key of the [`TermRecord`]. It remains when the leader key expires.
pub const TERM_KEY: &str = "term";
/// Key of the machine types, stored so that they are known after a start while the cloud is
/// unavailable.
pub const MACHINE_TYPES_KEY: &str = "w/types";
/// Key of the lowest record format among the controllers; see [`FormatRecord`].
pub const COMMON_FORMAT_KEY: &str = "w/format";
/// Key prefix of job specs; see [`SpecRecord`].
pub const SPECS_PREFIX: &str = "w/spec/";
/// Key prefix of cancellations.
pub const CANCELS_PREFIX: &str = "w/cut/";
/// Key prefix of the lists of jobs cancelled by a cascade; see [`CascadeRecord`].
pub const CASCADES_PREFIX: &str = "w/cascade/";
/// Key of the cascade generation, written in each transaction that adds a list under
/// [`CASCADES_PREFIX`]: its version shows whether a copy of the lists is complete. The key sorts
/// before the lists, so that a read of several pages never combines a new generation with
/// old lists.
pub const CASCADE_GENERATION_KEY: &str = "w/cascade-generation";
/// Key prefix of final states; see [`EndRecord`].
pub const ENDS_PREFIX: &str = "end/";
/// Common key prefix of the cascade generation and the cascade lists, which sort in this order.
pub const CASCADE_RECORDS_PREFIX: &str = "w/cascade";
/// Key prefix of job progress; see [`ProgressRecord`].
pub const PROGRESS_PREFIX: &str = "p/";
/// Key prefix of blocks of machine records; see [`MachineBlock`].
pub const MACHINES_PREFIX: &str = "m/";

/// Tasks per progress record: two bitmaps of this many bits stay far below the smallest value
/// limit of the state service.
pub const PART_TASKS: u32 = 8192;

/// Key of a job's spec.
pub fn spec_key(id: &JobId) -> String {
    format!("{SPECS_PREFIX}{id}")
}
/// Key of a job's cancellation.
pub fn cancel_key(id: &JobId) -> String {
    format!("{CANCELS_PREFIX}{id}")
}
/// Key of a job's final state.
pub fn end_key(id: &JobId) -> String {
    format!("{ENDS_PREFIX}{id}")
}
/// Key of the cascade list with this number among those written by the leader of `term`.
pub fn cascade_key(term: u64, number: u32) -> String {
    format!("{CASCADES_PREFIX}{term:010}/{number:06}")
}
/// Key of part `part` of a job's progress.
pub fn progress_key(id: &JobId, part: u32) -> String {
    format!("{PROGRESS_PREFIX}{id}/{part:03}")
}
/// Key of a block of machine records.
pub fn block_key(block: u32) -> String {
    format!("{MACHINES_PREFIX}{block:05}")
}
/// Parses a progress key into the job and the part; `None` if it isn't one.
pub fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let (job, part) = key.strip_prefix(PROGRESS_PREFIX)?.rsplit_once('/')?;
    Some((JobId::new(job), part.parse().ok()?))
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    pub node: NodeId,
    /// Term of the leader.
    pub term: u64,
    /// Id of the leader's lease in the state service.
    #[serde(rename = "grant")]
    pub lease: u64,
    /// Id of the leader's process, which differs from earlier processes with the same node name.
    pub boot: u64,
}

/// The counter of terms and fencing tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The last number that was assigned as a term or reserved as a token.
    pub term: u64,
}

/// The record format that every configured controller supports. The leader writes the record
/// once each controller has reported its format to the leader's process. The format never
/// decreases.
///
/// Version 6fad5c8e, which is in production and reports no format, ignores the key: its
/// `Replica::put` passes unknown watched keys to `put_transfer`, which matches its own prefixes
/// and discards all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The lowest format that any controller reports.
    pub format: u32,
}

/// A job's final state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Whether the job was cancelled; otherwise it is done.
    pub cancelled: bool,
    /// Number of tasks of the job, for display only.
    pub tasks: u32,
}

/// Jobs cancelled by a cascade, that is, because a job that they depend on was cancelled. The
/// cancellations are durable once this record is written, long before each job has its own
/// final state. Older versions ignore these keys, so the leader writes them only if every
/// controller supports them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CascadeRecord {
    /// The cancelled jobs.
    pub jobs: Vec<JobId>,
}

/// A stored job spec, with the time of acceptance and the state of transfers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpecRecord {
    /// The submission as validated.
    pub spec: crate::job::JobSpec,
    /// Wall-clock time of acceptance, milliseconds since the Unix epoch. The deadline is counted
    /// from it.
    pub at_ms: u64,
    /// Set if the job was offered to another cell; it can't start in this one then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward: Option<ForwardRecord>,
    /// The transfer by which the job came from another cell. Such a job isn't transferred again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<TransferId>,
    /// How many times other cells refused the job.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refusals: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl SpecRecord {
    /// Creates the record of a job submitted to this cell, with no transfer.
    pub fn submitted(spec: crate::job::JobSpec, at_ms: u64) -> Self {
        Self { spec, at_ms, forward: None, origin: None, refusals: 0 }
    }
}

/// Progress of one part of a job: [`PART_TASKS`] consecutive tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Tasks that may have been started.
    #[serde(default)]
    pub started: PackedSet,
    /// Tasks that have completed.
    #[serde(default)]
    pub finished: PackedSet,
    /// Mean task run time so far, milliseconds; 0: unknown. Set in part 0 only.
    #[serde(default)]
    pub mean_ms: u64,
    /// Index of the queue that the job was assigned to. Set in part 0 only.
    #[serde(default)]
    pub queue: Option<u8>,
    /// Numbers of the machines that tasks of the job may be on. Set in part 0 only.
    #[serde(default)]
    pub machines: NumberSet,
}

/// Stored form of a set of machine numbers. Numbers are stored instead of names because a job
/// with many hundreds of tasks uses as many machines, and their names would exceed the value
/// limit of the state service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberSet {
    /// The smallest number in the set.
    #[serde(default)]
    pub from: u32,
    /// Number of integers from the smallest to the largest number, both included.
    #[serde(default)]
    pub len: u32,
    /// The numbers, relative to `from`.
    #[serde(default)]
    pub set: PackedSet,
}

/// Maximum span of a set that is stored exactly. A bitmap of this many bits takes 5 KiB as
/// CBOR, which leaves room for the tasks of a part within the smallest value limit (8 KiB).
pub const MAX_EXACT_SPAN: u32 = 32_768;
/// Maximum number of ranges stored for a set with a larger span: 512 pairs of numbers take
/// 5 KiB as CBOR.
pub const MAX_NUMBER_RANGES: usize = 512;

impl NumberSet {
    /// Packs a set. A set that spans more than [`MAX_EXACT_SPAN`] may unpack as a superset, as
    /// its narrowest gaps are filled. A job then appears to be on more machines than it is; a
    /// new leader waits for these as well, and no machine is lost.
    ///
    /// Without this limit, the set of a service that runs on a few thousand machines at a time
    /// and uses tens of thousands over its life would exceed the value limit of the state
    /// service, and none of its starts could be recorded.
    pub fn pack(set: &IntSet) -> Self {
        let Some((from, last)) = set.bounds() else { return Self::default() };
        let len = last - from + 1;
        if len <= MAX_EXACT_SPAN {
            return Self { from, len, set: PackedSet::pack(set, from, len) };
        }
        let coarse = set.with_ranges_at_most(MAX_NUMBER_RANGES);
        Self { from, len, set: PackedSet::pack(&coarse, from, len) }
    }

    /// Unpacks the set. Invalid parts of a record are skipped.
    pub fn unpack(&self) -> IntSet {
        let mut set = IntSet::new();
        if self.from.checked_add(self.len).is_some() {
            self.set.unpack(self.from, self.len, &mut set);
        }
        set
    }
}

/// A machine that was given tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of the machine type.
    pub kind: String,
    /// Zone that the machine is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address that the machine's worker listens on.
    pub addr: String,
    /// Images that the machine is assumed to hold, most recent last.
    #[serde(default)]
    pub images: Vec<String>,
    /// Number of the machine in progress records. Numbers are assigned in ascending order and
    /// never reused.
    #[serde(default)]
    pub number: u32,
}

/// Several machine records under one key. With one key per machine, a fleet of hundreds would
/// use the whole write rate of the state service for half a minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineBlock {
    /// Names of the machines, with their records.
    pub machines: Vec<(MachineId, MachineRecord)>,
}
