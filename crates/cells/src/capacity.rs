//! Free capacity of cells: the report that a cell makes about itself, and the conclusions that
//! other cells draw from it.

use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::{JobSpec, Kind};
use std::collections::BTreeMap;

/// An array moves to a cell in which at least one in this many of its tasks can start at once.
const ARRAY_START_DIVISOR: u32 = 4;
/// Most rooms, teams and images in a report. Further entries are omitted, which only reduces the
/// number of jobs that can move.
pub const REPORT_ITEMS_MAX: usize = 200;

/// Amounts of CPUs, GPUs and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Amounts {
    /// Returns the amounts that one task of a job requires.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Returns how many times `part` fits into these amounts.
    fn times_fitting(&self, part: &Self) -> u32 {
        let ratio = |have: f64, need: f64| {
            if need > 0.0 { (have / need + 1e-9).floor().max(0.0) } else { f64::MAX }
        };
        let minimum = ratio(self.cpus, part.cpus)
            .min(ratio(self.gpus, part.gpus))
            .min(ratio(self.memory_gb, part.memory_gb));
        minimum.min(f64::from(u32::MAX / 2)) as u32
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

/// The requirements that decide whether a cell has room for a job. Jobs with equal requests find
/// room in the same cells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RoomRequest {
    team: String,
    zone: Option<String>,
    types: Option<Vec<String>>,
    spot: bool,
    min_start_tasks: u32,
    /// CPUs, GPUs and memory of one task, as the bits of the numbers, so that requests can be
    /// hashed.
    task: [u64; 3],
}

impl RoomRequest {
    /// Returns the request of a job.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.clone(),
            zone: spec.zone.clone(),
            types: spec.types.clone(),
            spot: spec.spot,
            min_start_tasks: min_start_tasks(spec),
            task: [spec.cpus, spec.gpus, spec.memory_gb].map(f64::to_bits),
        }
    }
}

/// Free capacity on one machine type in one zone, for spot or on-demand machines.
#[derive(Clone, Debug, PartialEq)]
pub struct Room {
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether these are spot machines.
    pub spot: bool,
    /// Total free on running machines.
    pub free: Amounts,
    /// Size of one machine.
    pub machine: Amounts,
    /// Estimated number of machines that can be rented.
    pub rentable: u32,
}

impl Room {
    fn allows(&self, spec: &JobSpec) -> bool {
        (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
            && spec.types.as_ref().is_none_or(|types| types.contains(&self.machine_type))
    }

    fn tasks(&self, task: &Amounts) -> u32 {
        let per_machine = self.machine.times_fitting(task);
        if per_machine == 0 {
            return 0;
        }
        // The total free capacity is spread over machines, so it is certain to hold whole tasks
        // only if they are small compared to a machine. An estimate suffices, because the target
        // cell decides.
        self.free.times_fitting(task).saturating_add(per_machine.saturating_mul(self.rentable))
    }
}

/// A cell's free capacity at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// Term of the leader that made the report.
    pub term: u64,
    /// Sequence number within the term.
    pub sequence: u64,
    /// Tasks of the cell's own jobs that currently fit no machine.
    pub backlog: u32,
    /// Free capacity by machine type, zone and spot or on-demand.
    pub rooms: Vec<Room>,
    /// Teams known in the cell.
    pub teams: Vec<String>,
    /// Images present on machines of the cell.
    pub images: Vec<String>,
}

impl CapacityReport {
    /// Returns the free CPUs on running machines.
    pub fn free_cpus(&self) -> f64 {
        self.rooms.iter().map(|room| room.free.cpus).sum()
    }

    /// Returns the estimated number of machines that can be rented.
    pub fn rentable(&self) -> u32 {
        self.rooms.iter().map(|room| room.rentable).sum()
    }

    /// Returns whether a job finds room besides the capacity reserved for other jobs. A cell with a
    /// backlog of its own has no room.
    pub fn has_room(&self, spec: &JobSpec, reserved: &Amounts) -> bool {
        if self.backlog > 0 || !self.teams.contains(&spec.team) {
            return false;
        }
        let task = Amounts::of_task(spec);
        let rooms = self.rooms.iter().filter(|room| room.allows(spec));
        let tasks = rooms.map(|room| room.tasks(&task)).fold(0u32, u32::saturating_add);
        let taken = reserved_tasks(reserved, &task);
        tasks.saturating_sub(taken) >= min_start_tasks(spec)
    }
}

/// Returns how many tasks of this size the reserved amounts could have held, rounded up.
fn reserved_tasks(reserved: &Amounts, task: &Amounts) -> u32 {
    let ratio = |have: f64, need: f64| if need > 0.0 { (have / need - 1e-9).ceil() } else { 0.0 };
    let maximum = ratio(reserved.cpus, task.cpus)
        .max(ratio(reserved.gpus, task.gpus))
        .max(ratio(reserved.memory_gb, task.memory_gb));
    maximum.clamp(0.0, f64::from(u32::MAX / 2)) as u32
}

/// Returns the number of a job's tasks that must find room at once for it to move.
fn min_start_tasks(spec: &JobSpec) -> u32 {
    match spec.kind {
        Kind::Array => spec.tasks.div_ceil(ARRAY_START_DIVISOR),
        Kind::Gang | Kind::Service => spec.tasks,
    }
}

/// Returns the capacity that must be free for a job to move.
pub fn needed(spec: &JobSpec) -> Amounts {
    let tasks = f64::from(min_start_tasks(spec));
    Amounts { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memory_gb: spec.memory_gb * tasks }
}

/// The latest report of a cell. `sent` is the time, in seconds, at which the request that it
/// answers was sent.
#[derive(Clone, Debug)]
struct LatestReport {
    report: CapacityReport,
    sent: f64,
}

/// The latest reports of the other cells. Late, repeated and reordered reports are ignored.
#[derive(Debug, Default)]
pub struct CapacityReports {
    known: BTreeMap<CellName, LatestReport>,
}

impl CapacityReports {
    /// Stores a report that answers a request sent at the given time, in seconds. Returns `false`
    /// and changes nothing if a newer report is known.
    pub fn update(&mut self, cell: &CellName, report: CapacityReport, sent: f64) -> bool {
        let newer = |known: &LatestReport| {
            (report.term, report.sequence) > (known.report.term, known.report.sequence)
                && sent >= known.sent
        };
        if self.known.get(cell).is_some_and(|known| !newer(known)) {
            return false;
        }
        self.known.insert(cell.clone(), LatestReport { report, sent });
        true
    }

    /// Returns a cell's latest report if its request was sent at most `age_s` seconds ago.
    pub fn fresh(&self, cell: &CellName, now: f64, age_s: f64) -> Option<&CapacityReport> {
        self.known.get(cell).filter(|known| now - known.sent <= age_s).map(|known| &known.report)
    }

    /// Returns a cell's latest report, however old.
    pub fn last(&self, cell: &CellName) -> Option<&CapacityReport> {
        self.known.get(cell).map(|known| &known.report)
    }

    /// Returns the seconds since the request was sent that a cell answered last, or infinity if it
    /// never answered.
    pub fn last_answer_age(&self, cell: &CellName, now: f64) -> f64 {
        self.known.get(cell).map_or(f64::INFINITY, |known| now - known.sent)
    }
}
