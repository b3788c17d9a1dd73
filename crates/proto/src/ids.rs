//! Identifiers as newtypes, so that the compiler rejects, for example, a job id where a machine
//! id is expected.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The first sixteen bytes of a name as two big-endian words, padded with zeros. Each
/// heartbeat causes about a dozen lookups by name, and nearly all names fit in sixteen bytes,
/// so most comparisons are decided without reading the text.
type Prefix = [u64; 2];

fn prefix(s: &str) -> Prefix {
    let mut bytes = [0u8; 16];
    let n = s.len().min(16);
    bytes[..n].copy_from_slice(&s.as_bytes()[..n]);
    let word_at = |from: usize| {
        let mut word = [0u8; 8];
        word.copy_from_slice(&bytes[from..from + 8]);
        u64::from_be_bytes(word)
    };
    [word_at(0), word_at(8)]
}

/// Deserializes a string into `Arc<str>` without an intermediate `String`.
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
            prefix: Prefix,
            text: Arc<str>,
        }

        impl $name {
            /// Creates an identifier from its wire form. The form isn't validated.
            pub fn new(s: &str) -> Self {
                Self { prefix: prefix(s), text: Arc::from(s) }
            }
            /// The identifier's wire form.
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
            // Same order as comparing the texts: the prefixes hold their first bytes, big-endian.
            fn cmp(&self, other: &Self) -> Ordering {
                self.prefix.cmp(&other.prefix).then_with(|| {
                    let same = Arc::ptr_eq(&self.text, &other.text);
                    if same { Ordering::Equal } else { self.text.cmp(&other.text) }
                })
            }
        }
        impl Hash for $name {
            fn hash<H: Hasher>(&self, state: &mut H) {
                self.prefix.hash(state);
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
                Ok(Self { prefix: prefix(&text), text })
            }
        }
    };
}

text_id!(
    /// Id of a job, e.g. `req-000412`.
    JobId
);
text_id!(
    /// Name of a machine, e.g. `n-000231`.
    MachineId
);
text_id!(
    /// Name of a controller, e.g. `barrow-1`.
    NodeId
);
text_id!(
    /// Name of a cell: a group of controllers with their own state service, fleet and cloud.
    CellName
);

impl JobId {
    /// Whether the text is a valid job id: `req-` and 1 to 20 decimal digits.
    pub fn is_well_formed(s: &str) -> bool {
        s.strip_prefix("req-")
            .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
    }
}

/// Id of one task of a job; `req-000412/3` on the wire.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the wire form; `None` if the separator or a numeric index is missing.
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

/// Term of a leader: increases with each election and is never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Term(pub u64);

/// Number of an attempt to run a task. The high 32 bits hold the leader's term, the low 32
/// bits a counter within the term, so two leaders never use the same number for different
/// starts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Attempt(pub u64);

impl Attempt {
    /// The attempt with counter `n` in `term`.
    pub fn new(term: Term, n: u32) -> Self {
        Self((term.0 << 32) | u64::from(n))
    }
}
