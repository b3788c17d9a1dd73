//! Messages of the cloud API: machine types, rental and release of machines, and the list of
//! rented machines.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `builds`, `build` | machine types, machine type (`kind`) |
//! | `sku` | name of a machine type |
//! | `vcpus`, `cards`, `mem_gb` | CPUs, GPUs, memory |
//! | `startup_s` | boot time, seconds |
//! | `quarters`, `quarter` | zones, zone |
//! | `hire` | name of a rental request |
//! | `loaners` | spot |
//! | `how_many` | count |
//! | `barrows`, `ref` | machines, name of a machine |
//! | `stage` (`starting`) | state (booting) |
//! | `truncated` | more pages follow (`more`) |

use crate::cbor::f64_from_number;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "f64_from_number")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "cards", deserialize_with = "f64_from_number")]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "mem_gb", deserialize_with = "f64_from_number")]
    pub memory_gb: f64,
    /// Size of the image cache, GB.
    #[serde(deserialize_with = "f64_from_number")]
    pub cache_gb: f64,
    /// Image fetch rate, GB per second.
    #[serde(deserialize_with = "f64_from_number")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of a regular (non-spot) machine.
    #[serde(deserialize_with = "f64_from_number")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(deserialize_with = "f64_from_number")]
    pub spot_price: f64,
    /// Typical boot time, seconds.
    #[serde(rename = "startup_s", deserialize_with = "f64_from_number")]
    pub boot_s: f64,
    /// Zones that offer the machine type.
    #[serde(rename = "quarters")]
    pub zones: Vec<String>,
}

/// Response to a request for the machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TypeList {
    /// The machine types on offer.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, never reused.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type to rent.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone to rent the machines in.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Machine names: the response to a rental request and the body of a release request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "barrows")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// The machine is booting.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up, as far as the cloud knows.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped by itself.
    #[serde(rename = "failed")]
    Failed,
    /// A state added by a newer version of the protocol.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub machine: MachineId,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone that the machine is in.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "stage")]
    pub state: ListedState,
    /// Time since the rental request, seconds.
    #[serde(deserialize_with = "f64_from_number")]
    pub age_s: f64,
}

/// One page of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines on this page.
    #[serde(rename = "barrows")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "truncated")]
    pub more: bool,
}
