//! The cloud: machine types, rental and release of machines, and their list.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `builds`, `build` | machine types, machine type (`kind`) |
//! | `sku` | name of a machine type |
//! | `vcpus`, `cards`, `mem_gb` | CPUs, GPUs, memory |
//! | `startup_s` | boot time |
//! | `quarters`, `quarter` | zones, zone |
//! | `hire` | name of a rental request |
//! | `loaners` | spot |
//! | `how_many` | count |
//! | `barrows`, `ref` | machines, name of a machine |
//! | `stage` (`starting`) | state (booting) |
//! | `truncated` | more follow |

use crate::cbor::f64_lax;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "vcpus", deserialize_with = "f64_lax")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", deserialize_with = "f64_lax")]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "mem_gb", deserialize_with = "f64_lax")]
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(deserialize_with = "f64_lax")]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(deserialize_with = "f64_lax")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(deserialize_with = "f64_lax")]
    pub price: f64,
    /// Spot price an hour now.
    #[serde(deserialize_with = "f64_lax")]
    pub spot_price: f64,
    /// Usual boot time, seconds.
    #[serde(rename = "startup_s", deserialize_with = "f64_lax")]
    pub boot_s: f64,
    /// Zones it can be had in.
    #[serde(rename = "quarters")]
    pub zones: Vec<String>,
}

/// Answer of the cloud on types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TypeList {
    /// The types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Machine names: answer to a rental, body of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "barrows")]
    pub machines: Vec<MachineId>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Boots.
    #[serde(rename = "starting")]
    Booting,
    /// Up, as far as the cloud knows.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself.
    #[serde(rename = "failed")]
    Failed,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub machine: MachineId,
    /// Type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub state: ListedState,
    /// Age since the rental request, seconds.
    #[serde(deserialize_with = "f64_lax")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "barrows")]
    pub machines: Vec<ListedMachine>,
    /// More follow.
    #[serde(rename = "truncated")]
    pub more: bool,
}
