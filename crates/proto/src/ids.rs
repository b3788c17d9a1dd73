//! Identifiers as newtypes, so that a job is never passed for a machine.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it came over the wire.
            pub fn new(s: &str) -> Self {
                Self(Arc::from(s))
            }
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                Ok(Self::new(&String::deserialize(d)?))
            }
        }
    };
}

text_id!(
    /// A job, e.g. `req-000412`.
    JobId
);
text_id!(
    /// A machine, e.g. `n-000231`.
    MachineId
);
text_id!(
    /// A controller, e.g. `barrow-1`.
    NodeId
);

impl JobId {
    /// Whether a job id has the one form that users give it.
    pub fn well_formed(s: &str) -> bool {
        s.strip_prefix("req-")
            .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
    }
}

/// One task of a job: `req-000412/3` on the wire.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    /// The job it belongs to.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads the wire form.
    pub fn parse(s: &str) -> Option<Self> {
        let (job, index) = s.rsplit_once('/')?;
        Some(Self { job: JobId::new(job), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A leader's term: raised at each election, never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Term(pub u64);

/// A task's attempt: the term in the high half, a counter within the term below,
/// so that no two leaders ever give the same attempt to different starts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Attempt number `n` of `term`.
    pub fn new(term: Term, n: u32) -> Self {
        Self((term.0 << 32) | u64::from(n))
    }
}
