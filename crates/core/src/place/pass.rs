//! The state of one scheduling pass, and the policies that its steps share.

use crate::consts::PREEMPTIONS_PER_PASS;
use crate::event::Secs;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::job::{JobSpec, Priority};
use std::collections::{BTreeMap, HashSet};

/// What one scheduling pass knows beyond the leader's state.
pub(crate) struct SchedulingPass {
    /// When it began.
    pub(crate) now: Secs,
    /// CPUs and GPUs that each team's tasks use or may use.
    pub(crate) usage: BTreeMap<String, [f64; 2]>,
    /// What was preempted from each team in this pass: CPUs and GPUs. These tasks still
    /// run, so they count in `usage` too.
    pub(crate) preempted: BTreeMap<String, [f64; 2]>,
    /// CPUs and GPUs that each team's waiting services reserve of its limit.
    pub(crate) reserved: BTreeMap<String, [f64; 2]>,
    /// Usable machines with free capacity: CPUs, GPUs, memory (GB).
    pub(crate) available: BTreeMap<MachineId, [f64; 3]>,
    /// The only machine that the pass fills, if it isn't a full one.
    pub(crate) only_machine: Option<MachineId>,
    /// Requests that found no machine in this pass: tasks with the same needs are skipped.
    pub(crate) unplaceable: HashSet<RequestShape>,
    /// How many more tasks array jobs may preempt spare-capacity work for.
    pub(crate) preemptions_left: usize,
}

impl SchedulingPass {
    /// A pass that begins now. Without spare-capacity work there is nothing for array jobs
    /// to preempt.
    pub(super) fn new(
        now: Secs,
        usage: BTreeMap<String, [f64; 2]>,
        available: BTreeMap<MachineId, [f64; 3]>,
        only_machine: Option<MachineId>,
        spare_running: bool,
    ) -> Self {
        Self {
            now,
            usage,
            preempted: BTreeMap::new(),
            reserved: BTreeMap::new(),
            available,
            only_machine,
            unplaceable: HashSet::new(),
            preemptions_left: if spare_running { PREEMPTIONS_PER_PASS } else { 0 },
        }
    }

    /// Whether the pass looks at all machines.
    pub(crate) fn is_full(&self) -> bool {
        self.only_machine.is_none()
    }

    /// Whether a request of this shape found no machine before in this pass.
    pub(crate) fn is_unplaceable(&self, shape: Option<&RequestShape>) -> bool {
        shape.is_some_and(|shape| self.unplaceable.contains(shape))
    }

    /// A team's CPUs and GPUs in use.
    pub(crate) fn usage_of(&self, team: &str) -> [f64; 2] {
        self.usage.get(team).copied().unwrap_or_default()
    }
}

/// What a task requires of a machine, as far as finding any machine goes. Tasks of equal
/// shape succeed or fail alike within a pass.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestShape {
    /// CPUs, GPUs and memory, as bits.
    amounts: [u64; 3],
    spot: bool,
    zone: Option<String>,
    types: Option<Vec<String>>,
    image: Option<String>,
    preemption: Option<(PreemptionReason, Priority, String)>,
}

impl RequestShape {
    /// The shape of a task of this job; `None` if where the job's other tasks run matters
    /// too, so that each task must be looked at by itself.
    pub(crate) fn of(
        spec: &JobSpec,
        images: ImagePolicy,
        preemption: Option<PreemptionReason>,
    ) -> Option<Self> {
        if spec.one_zone || spec.spread {
            return None;
        }
        Some(Self {
            amounts: [spec.cpus.to_bits(), spec.gpus.to_bits(), spec.memory_gb.to_bits()],
            spot: spec.spot,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
            image: (images == ImagePolicy::Cached).then(|| spec.image.clone()),
            preemption: preemption.map(|reason| (reason, spec.priority, spec.team.clone())),
        })
    }
}

/// Why a task may preempt another.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PreemptionReason {
    /// Its priority is higher.
    HigherPriority,
    /// The other only uses spare capacity.
    SpareCapacity,
    /// It is within its team's guarantee, and the other's team is beyond its own.
    Guarantee,
}

/// Which machines a task may start on, as far as its image goes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ImagePolicy {
    /// Those that have the image cached.
    Cached,
    /// All, if a fetch is worthwhile; else those that have it cached.
    FetchIfWorthwhile,
    /// All.
    Any,
}

/// A fetch shorter than this, seconds, counts as a cached image.
const CACHED_FETCH_S: f64 = 0.1;

impl ImagePolicy {
    /// Whether a machine qualifies that takes so long to fetch the image, seconds.
    pub(crate) fn allows(self, fetch: f64) -> bool {
        match self {
            Self::Cached => fetch < CACHED_FETCH_S,
            Self::FetchIfWorthwhile | Self::Any => true,
        }
    }
}
