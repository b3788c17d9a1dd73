//! The state of one scheduling pass, and the policies that its steps share.

use crate::consts::PREEMPTIONS_PER_PASS;
use crate::event::Secs;
use crate::fleet::HeartbeatTiming;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::job::{JobSpec, Priority};
use std::collections::{BTreeMap, HashSet};

/// Working state of one scheduling pass, in addition to the leader's state.
pub(crate) struct SchedulingPass {
    /// Time at which the pass began.
    pub(crate) now: Secs,
    /// CPUs and GPUs in use by each team's tasks, including tasks that may be running.
    pub(crate) usage: BTreeMap<String, [f64; 2]>,
    /// CPUs and GPUs preempted from each team in this pass. The preempted tasks are still running,
    /// so they count in `usage` too.
    pub(crate) preempted: BTreeMap<String, [f64; 2]>,
    /// CPUs and GPUs of each team's limit that are reserved for its waiting services.
    pub(crate) reserved: BTreeMap<String, [f64; 2]>,
    /// When workers send heartbeats, whose answers carry the starts.
    pub(crate) heartbeat: HeartbeatTiming,
    /// Usable machines with free capacity: CPUs, GPUs, memory (GB).
    pub(crate) available: BTreeMap<MachineId, [f64; 3]>,
    /// The single machine that the pass fills; `None` for a full pass.
    pub(crate) only_machine: Option<MachineId>,
    /// Request shapes for which this pass found no machine; tasks with the same shape are skipped.
    pub(crate) unplaceable: HashSet<RequestShape>,
    /// Number of array tasks for which spare-capacity work may still be preempted in this pass.
    pub(crate) preemptions_left: usize,
}

impl SchedulingPass {
    /// Starts a pass at `now`. If no spare-capacity work is running, array jobs have nothing to
    /// preempt.
    pub(super) fn new(
        now: Secs,
        heartbeat: HeartbeatTiming,
        usage: BTreeMap<String, [f64; 2]>,
        available: BTreeMap<MachineId, [f64; 3]>,
        only_machine: Option<MachineId>,
        spare_running: bool,
    ) -> Self {
        Self {
            now,
            heartbeat,
            usage,
            preempted: BTreeMap::new(),
            reserved: BTreeMap::new(),
            available,
            only_machine,
            unplaceable: HashSet::new(),
            preemptions_left: if spare_running { PREEMPTIONS_PER_PASS } else { 0 },
        }
    }

    /// Whether the pass considers all machines.
    pub(crate) fn is_full(&self) -> bool {
        self.only_machine.is_none()
    }

    /// Whether an earlier request of this shape found no machine in this pass.
    pub(crate) fn is_unplaceable(&self, shape: Option<&RequestShape>) -> bool {
        shape.is_some_and(|shape| self.unplaceable.contains(shape))
    }

    /// CPUs and GPUs that the team has in use.
    pub(crate) fn usage_of(&self, team: &str) -> [f64; 2] {
        self.usage.get(team).copied().unwrap_or_default()
    }
}

/// The requirements that decide whether a task finds a machine. Within a pass, tasks of equal shape
/// either all find one or all fail.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestShape {
    /// CPUs, GPUs and memory, as the bit patterns of the floats so that they can be hashed.
    amounts: [u64; 3],
    spot: bool,
    zone: Option<String>,
    types: Option<Vec<String>>,
    image: Option<String>,
    preemption: Option<(PreemptionReason, Priority, String)>,
}

impl RequestShape {
    /// The request shape of a task of this job. `None` if placement also depends on where the job's
    /// other tasks run, because each task must then be searched for separately.
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

/// The rule that permits a task to preempt another.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PreemptionReason {
    /// The preempting task has a higher priority.
    HigherPriority,
    /// The preempted task runs only on spare capacity.
    SpareCapacity,
    /// The preempting task is within its team's guarantee, and the other task's team exceeds its
    /// own.
    Guarantee,
}

/// Which machines a task may start on with regard to its image.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ImagePolicy {
    /// Only machines that have the image cached.
    Cached,
    /// Any machine if a fetch is worthwhile; otherwise only those that have the image cached.
    FetchIfWorthwhile,
    /// Any machine.
    Any,
}

/// Fetch time in seconds below which an image counts as cached.
const CACHED_FETCH_S: f64 = 0.1;

impl ImagePolicy {
    /// Whether a machine qualifies on which fetching the image takes `fetch` seconds.
    pub(crate) fn allows(self, fetch: f64) -> bool {
        match self {
            Self::Cached => fetch < CACHED_FETCH_S,
            Self::FetchIfWorthwhile | Self::Any => true,
        }
    }
}
