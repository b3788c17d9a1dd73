//! Identifiers as newtypes, so that a job is never passed for a machine.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A name's first sixteen bytes, in their order. Names are looked up a dozen times a
/// heartbeat, and nearly all are no longer than that: so they are told apart without a
/// look at the text.
type Head = [u64; 2];

fn head(s: &str) -> Head {
    let mut bytes = [0u8; 16];
    let n = s.len().min(16);
    bytes[..n].copy_from_slice(&s.as_bytes()[..n]);
    let half = |from: usize| {
        let mut eight = [0u8; 8];
        eight.copy_from_slice(&bytes[from..from + 8]);
        u64::from_be_bytes(eight)
    };
    [half(0), half(8)]
}

/// Takes a text without a copy in between.
struct TextVisitor;

impl serde::de::Visitor<'_> for TextVisitor {
    type Value = Arc<str>;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }
    fn visit_str<E: serde::de::Error>(self, s: &str) -> Result<Arc<str>, E> {
        Ok(Arc::from(s))
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone)]
        pub struct $name {
            head: Head,
            text: Arc<str>,
        }

        impl $name {
            /// Wraps a name as it came over the wire.
            pub fn new(s: &str) -> Self {
                Self { head: head(s), text: Arc::from(s) }
            }
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.text
            }
        }
        impl PartialEq for $name {
            fn eq(&self, other: &Self) -> bool {
                self.cmp(other) == Ordering::Equal
            }
        }
        impl Eq for $name {}
        impl PartialOrd for $name {
            fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
                Some(self.cmp(other))
            }
        }
        impl Ord for $name {
            // The order of the texts: the heads hold their beginnings.
            fn cmp(&self, other: &Self) -> Ordering {
                self.head.cmp(&other.head).then_with(|| {
                    let same = Arc::ptr_eq(&self.text, &other.text);
                    if same { Ordering::Equal } else { self.text.cmp(&other.text) }
                })
            }
        }
        impl Hash for $name {
            fn hash<H: Hasher>(&self, state: &mut H) {
                self.head.hash(state);
                self.text.len().hash(state);
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.text)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.text)
            }
        }
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.text)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = d.deserialize_str(TextVisitor)?;
                Ok(Self { head: head(&text), text })
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
text_id!(
    /// A cell: controllers with a state service, a fleet and a cloud of their own.
    CellName
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
