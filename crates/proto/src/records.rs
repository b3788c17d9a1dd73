//! Keys and records in the state service.
//!
//! `w/` is what every controller watches: the leader key, specs of unfinished
//! jobs and cancellations. `end/` holds each job's final state, written once.
//! `p/` is progress, written by the leader alone; `m/` the machines it used.

use crate::ids::{JobId, MachineId, NodeId};
use crate::intset::{IntSet, PackedSet};
use crate::transfer::{ForwardRecord, TransferId};
use serde::{Deserialize, Serialize};

/// Prefix of all keys that controllers watch.
pub const WATCHED: &str = "w/";
/// The leader key, attached to the leader's lease.
pub const LEADER: &str = "w/lead";
/// The term counter, which outlives the leader key.
pub const TERM: &str = "term";
/// The machine types, for starts while the cloud is down.
pub const TYPES: &str = "w/types";
/// The format that every controller is known to run at least; see [`FormatRecord`].
pub const COMMON_FORMAT: &str = "w/format";
/// Prefix of specs.
pub const SPECS: &str = "w/spec/";
/// Prefix of cancellations.
pub const CANCELS: &str = "w/cut/";
/// Prefix of the lists of jobs cancelled by a cascade; see [`CascadeRecord`].
pub const CASCADES: &str = "w/cascade/";
/// The cascade generation: put in each transaction that adds a list under [`CASCADES`], so
/// that its version tells whether a copy of the lists is whole. It sorts before the lists:
/// a read of several pages then never pairs a new generation with old lists.
pub const CASCADE_GENERATION: &str = "w/cascade-generation";
/// Prefix of final states.
pub const ENDS: &str = "end/";
/// Prefix of the cascade generation and of the lists, which come in that order.
pub const CASCADE_RECORDS: &str = "w/cascade";
/// Prefix of progress.
pub const PROGRESS: &str = "p/";
/// Prefix of machine records.
pub const MACHINES: &str = "m/";

/// Tasks per progress record: two bit maps of this many bits stay far below
/// the smallest value limit.
pub const PART_TASKS: u32 = 8192;

/// Key of a job's spec.
pub fn spec_key(id: &JobId) -> String {
    format!("{SPECS}{id}")
}
/// Key of a job's cancellation.
pub fn cancel_key(id: &JobId) -> String {
    format!("{CANCELS}{id}")
}
/// Key of a job's final state.
pub fn end_key(id: &JobId) -> String {
    format!("{ENDS}{id}")
}
/// Key of the list number `number` of cascade cancellations that the leader of a term wrote.
pub fn cascade_key(term: u64, number: u32) -> String {
    format!("{CASCADES}{term:010}/{number:06}")
}
/// Key of part `part` of a job's progress.
pub fn progress_key(id: &JobId, part: u32) -> String {
    format!("{PROGRESS}{id}/{part:03}")
}
/// Key of a block of machine records.
pub fn block_key(block: u32) -> String {
    format!("{MACHINES}{block:05}")
}
/// Reads a progress key.
pub fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let (job, part) = key.strip_prefix(PROGRESS)?.rsplit_once('/')?;
    Some((JobId::new(job), part.parse().ok()?))
}

/// The controller that leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: NodeId,
    /// Its term.
    pub term: u64,
    /// Its lease in the state service.
    #[serde(rename = "grant")]
    pub lease: u64,
    /// Distinguishes this process from an earlier one of the same name.
    pub boot: u64,
}

/// The last term given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
}

/// That every configured controller runs at least this format. The leader writes it once
/// its process has heard so of each, and it only ever rises.
///
/// The version in production (6fad5c8e, which announces no format) passes over the key: its
/// `Replica::put` hands a watched key that it doesn't know to `put_transfer`, which matches
/// prefixes of its own and drops the rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The lowest format of them all.
    pub format: u32,
}

/// A job's final state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    /// True if cancelled, false if done.
    pub cancelled: bool,
    /// Number of tasks, for display.
    pub tasks: u32,
}

/// Jobs cancelled by a cascade: a job that each of them needs was cancelled. Durable the
/// moment it is written, long before each job has its own final state. An older version
/// ignores these keys; the leader writes them only where every controller knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CascadeRecord {
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// A stored spec: the submission and when it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpecRecord {
    /// The submission.
    pub spec: crate::job::JobSpec,
    /// Time of day of acceptance, milliseconds since 1970, for the deadline.
    pub at_ms: u64,
    /// It was offered to another cell, and can't start in this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward: Option<ForwardRecord>,
    /// It came from another cell, by this transfer, and goes to no other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<TransferId>,
    /// How often other cells refused it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refusals: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl SpecRecord {
    /// The record of a job as its user submitted it.
    pub fn submitted(spec: crate::job::JobSpec, at_ms: u64) -> Self {
        Self { spec, at_ms, forward: None, origin: None, refusals: 0 }
    }
}

/// A part of a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Tasks that may have been started.
    #[serde(default)]
    pub started: PackedSet,
    /// Tasks that completed.
    #[serde(default)]
    pub finished: PackedSet,
    /// Mean task run time so far, milliseconds; 0: unknown. In part 0 only.
    #[serde(default)]
    pub mean_ms: u64,
    /// The queue the job was sorted into. In part 0 only.
    #[serde(default)]
    pub queue: Option<u8>,
    /// Machines that tasks of the job may be on, by number. In part 0 only.
    #[serde(default)]
    pub machines: NumberSet,
}

/// The stored form of a set of machine numbers: a job of many hundred tasks
/// names as many machines, and their names would outgrow a value of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberSet {
    /// The smallest number.
    #[serde(default)]
    pub from: u32,
    /// From the smallest to the largest.
    #[serde(default)]
    pub len: u32,
    /// The numbers, relative to the smallest.
    #[serde(default)]
    pub set: PackedSet,
}

/// Numbers that a set may span and still be stored exactly: a bit map of so many bits is
/// 5 KiB as CBOR, which leaves room for a part's tasks in the smallest value limit (8 KiB).
pub const NUMBERS_SPAN: u32 = 32_768;
/// Ranges stored of a set that spans more: 512 pairs of numbers are 5 KiB as CBOR.
pub const NUMBER_RANGES_MAX: usize = 512;

impl NumberSet {
    /// Packs a set. One that spans more than [`NUMBERS_SPAN`] may come back larger, as
    /// narrow gaps in it are filled: a job is then thought to be on more machines than it
    /// is, which makes a new leader wait for these too, and loses nothing.
    ///
    /// (A service that outlived tens of thousands of machines, on a few thousand at a time,
    /// would have outgrown a value of the store, and none of its starts been recorded.)
    pub fn pack(set: &IntSet) -> Self {
        let Some((from, last)) = set.bounds() else { return Self::default() };
        let len = last - from + 1;
        if len <= NUMBERS_SPAN {
            return Self { from, len, set: PackedSet::pack(set, from, len) };
        }
        let coarse = set.with_ranges_at_most(NUMBER_RANGES_MAX);
        Self { from, len, set: PackedSet::pack(&coarse, from, len) }
    }

    /// The set again. Invalid parts of a record are skipped.
    pub fn unpack(&self) -> IntSet {
        let mut set = IntSet::new();
        if self.from.checked_add(self.len).is_some() {
            self.set.unpack(self.from, self.len, &mut set);
        }
        set
    }
}

/// A machine that has been given tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where its worker listens.
    pub addr: String,
    /// Images it is thought to hold, most recent last.
    #[serde(default)]
    pub images: Vec<String>,
    /// The number that jobs' records name it by; given out once, rising.
    #[serde(default)]
    pub number: u32,
}

/// Some machine records together: a fleet of hundreds, recorded one by one,
/// would take the store's change rate for half a minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineBlock {
    /// The machines and their records.
    pub machines: Vec<(MachineId, MachineRecord)>,
}
