//! Messages of the state service: transactions, reads, watches and leases.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `ledger` | revision of the whole store |
//! | `stamp` | version of a key: the revision of its last change |
//! | `when` | conditions of a transaction |
//! | `put`, `drop` | put, delete |
//! | `v` | value |
//! | `hold` | lease that a key is attached to (`lease`) |
//! | `truncated` | more pages follow (`more`) |

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key must have the given version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Version that the key must have; 0: the key must be absent.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease that the key is attached to. The key is removed when the lease ends.
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all writes are applied if all conditions hold, and none otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
pub struct Txn {
    /// Conditions that must all hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Response to a transaction, whether it was committed or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Revision of the whole store.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys whose condition didn't hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of keys of a range read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// The keys on this page.
    pub items: Vec<Item>,
    /// Whether more pages follow.
    #[serde(rename = "truncated")]
    pub more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Version of the key: the revision of this change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Response to a watch request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which the response includes every change.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The events, in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live of the lease, milliseconds.
    pub ttl_ms: u64,
}

/// Response to a lease request that was granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}
