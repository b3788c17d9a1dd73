//! First-fit bin packing of tasks onto machines that are up, booting or planned.

use crate::consts::AMOUNT_TOLERANCE;
use crate::event::Secs;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::wire::MachineType;

/// A machine's type, zone and purchase option (spot or ordinary). `machine_type` is an index into
/// the list of machine types, `zone` an index into that type's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Location {
    pub(super) machine_type: usize,
    pub(super) zone: usize,
    pub(super) spot: bool,
}

/// Free capacity of one machine that is up, booting or planned.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    /// Time from which the machine can be used.
    pub(super) available_at: Secs,
    /// CPUs, GPUs, memory (GB).
    pub(super) free: [f64; 3],
    pub(super) location: Location,
}

impl Capacity {
    /// Free CPUs; zero where more is in use than the machine has.
    pub(super) fn free_cpus(&self) -> f64 {
        self.free[0].max(0.0)
    }
}

/// The zones in which a task may use machines of one type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AllowedZones {
    /// None: the type isn't allowed, or isn't offered in the zone that the task requires.
    None,
    /// All zones of the type.
    All,
    /// Only this zone, an index into the type's list of zones.
    Only(usize),
}

/// A task's requirements on a machine.
pub(super) struct TaskNeeds {
    /// CPUs, GPUs, memory (GB).
    pub(super) amounts: [f64; 3],
    /// Whether it may run on spot machines.
    pub(super) spot: bool,
    /// Allowed zones for each machine type, by type index.
    pub(super) types: Vec<AllowedZones>,
}

impl TaskNeeds {
    /// The requirements of a task of the job.
    pub(super) fn of(spec: &JobSpec, types: &[MachineType]) -> Self {
        Self {
            amounts: [spec.cpus, spec.gpus, spec.memory_gb],
            spot: spec.spot,
            types: types.iter().map(|t| allowed_zones(spec, t)).collect(),
        }
    }

    /// Whether the task may run on a machine of this type, zone and purchase option.
    pub(super) fn allows(&self, location: Location) -> bool {
        if location.spot && !self.spot {
            return false;
        }
        match self.types.get(location.machine_type) {
            None | Some(AllowedZones::None) => false,
            Some(AllowedZones::All) => true,
            Some(AllowedZones::Only(zone)) => *zone == location.zone,
        }
    }

    fn fits(&self, capacity: &Capacity) -> bool {
        (0..3).all(|i| capacity.free[i] + AMOUNT_TOLERANCE >= self.amounts[i])
            && self.allows(capacity.location)
    }

    /// Sort key: spot machines first, as services need ordinary ones; then the fullest machine.
    fn packing_order(&self, capacity: &Capacity) -> (bool, i64) {
        (self.spot && !capacity.location.spot, (capacity.free[0] * 100.0) as i64)
    }

    fn subtract_from(&self, capacity: &mut Capacity) {
        (0..3).for_each(|i| capacity.free[i] -= self.amounts[i]);
    }

    /// Packs one task. Returns false if no machine has enough capacity.
    pub(super) fn pack_one(&self, machines: &mut [Capacity]) -> bool {
        let fitting = machines.iter_mut().filter(|machine| self.fits(machine));
        let Some(machine) = fitting.min_by_key(|machine| self.packing_order(machine)) else {
            return false;
        };
        self.subtract_from(machine);
        true
    }

    /// Packs tasks until all are packed or no machine has capacity left. Returns the number of
    /// tasks left over.
    ///
    /// Fills one machine after another, with the same result as repeated calls of
    /// [`TaskNeeds::pack_one`], but scans the machines only once instead of once per task.
    pub(super) fn pack(&self, machines: &mut [Capacity], tasks: u32) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let mut order: Vec<usize> =
            (0..machines.len()).filter(|&i| self.fits(&machines[i])).collect();
        order.sort_by_key(|&i| self.packing_order(&machines[i]));
        let mut left = tasks;
        for i in order {
            while left > 0 && self.fits(&machines[i]) {
                self.subtract_from(&mut machines[i]);
                left -= 1;
            }
            if left == 0 {
                break;
            }
        }
        left
    }
}

fn allowed_zones(spec: &JobSpec, t: &MachineType) -> AllowedZones {
    if spec.types.as_ref().is_some_and(|types| !types.contains(&t.name)) {
        return AllowedZones::None;
    }
    let Some(zone) = &spec.zone else { return AllowedZones::All };
    let index = t.zones.iter().position(|z| z == zone);
    index.map_or(AllowedZones::None, AllowedZones::Only)
}
