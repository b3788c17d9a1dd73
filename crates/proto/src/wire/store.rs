//! The state service: transactions, keys, watches and leases.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `ledger` | revision of the whole store |
//! | `stamp` | version of a key: the revision of its last change |
//! | `when` | conditions of a transaction |
//! | `put`, `drop` | put, delete |
//! | `v` | value |
//! | `hold` | lease that a key is attached to (`lease`) |
//! | `truncated` | more follow |

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key has this version (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cond {
    /// The key.
    pub key: String,
    /// Its version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Set a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease the key is attached to: the key is removed as the lease ends.
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "when")]
    pub conds: Vec<Cond>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction, whether it was committed or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Revision.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// The keys.
    pub items: Vec<Item>,
    /// More follow.
    #[serde(rename = "truncated")]
    pub more: bool,
    /// Revision the page describes.
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
        /// Version.
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

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which every change is included.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The events, in order.
    pub events: Vec<WatchEvent>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, milliseconds.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Its id.
    #[serde(rename = "hold")]
    pub lease: u64,
}
