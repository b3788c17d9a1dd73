//! Free capacity of cells: what a cell reports of itself, and what another one may conclude
//! from the reports that it has received.

use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::{JobSpec, Kind};
use std::collections::BTreeMap;

/// An array moves where at least this part of its tasks finds room at once: one in four.
const ARRAY_PART: u32 = 4;
/// Most rooms, teams and images in a report: more are left out, so that fewer jobs can move.
pub const REPORT_ITEMS_MAX: usize = 200;

/// CPUs, GPUs and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Amounts {
    /// What one task of a job takes.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// How often `part` fits into this.
    fn holds(&self, part: &Self) -> u32 {
        let by = |have: f64, need: f64| {
            if need > 0.0 { (have / need + 1e-9).floor().max(0.0) } else { f64::MAX }
        };
        let least = by(self.cpus, part.cpus)
            .min(by(self.gpus, part.gpus))
            .min(by(self.memory_gb, part.memory_gb));
        least.min(f64::from(u32::MAX / 2)) as u32
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

/// What a job asks of a cell: jobs with equal requests find room in the same cells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RoomRequest {
    team: String,
    zone: Option<String>,
    types: Option<Vec<String>>,
    spot: bool,
    tasks_at_once: u32,
    /// CPUs, GPUs and memory of a task, as bits.
    task: [u64; 3],
}

impl RoomRequest {
    /// The request of a job.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.clone(),
            zone: spec.zone.clone(),
            types: spec.types.clone(),
            spot: spec.spot,
            tasks_at_once: tasks_at_once(spec),
            task: [spec.cpus, spec.gpus, spec.memory_gb].map(f64::to_bits),
        }
    }
}

/// Free capacity on one kind of machine in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Room {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// Free on machines that are up, in all.
    pub free: Amounts,
    /// Size of a machine.
    pub machine: Amounts,
    /// Machines that can probably be rented.
    pub rentable: u32,
}

impl Room {
    fn allows(&self, spec: &JobSpec) -> bool {
        (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
            && spec.types.as_ref().is_none_or(|types| types.contains(&self.machine_type))
    }

    fn tasks(&self, task: &Amounts) -> u32 {
        let per_machine = self.machine.holds(task);
        if per_machine == 0 {
            return 0;
        }
        // What is free in all lies in pieces: a share of it holds whole tasks for sure only
        // if they are small against a machine, and the owner decides anyway.
        self.free.holds(task).saturating_add(per_machine.saturating_mul(self.rentable))
    }
}

/// A cell's free capacity at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// Term of the leader that made it.
    pub term: u64,
    /// Its number within the term.
    pub sequence: u64,
    /// Tasks of the cell's own jobs that fit no machine now.
    pub backlog: u32,
    /// Free capacity by machine type, zone, and spot or not.
    pub rooms: Vec<Room>,
    /// Teams known there.
    pub teams: Vec<String>,
    /// Images that machines there hold.
    pub images: Vec<String>,
}

impl CapacityReport {
    /// Free CPUs on machines that are up.
    pub fn free_cpus(&self) -> f64 {
        self.rooms.iter().map(|room| room.free.cpus).sum()
    }

    /// Machines that can probably be rented.
    pub fn rentable(&self) -> u32 {
        self.rooms.iter().map(|room| room.rentable).sum()
    }

    /// Whether a job finds room besides what was promised to others. A cell with a backlog
    /// of its own has none.
    pub fn has_room(&self, spec: &JobSpec, promised: &Amounts) -> bool {
        if self.backlog > 0 || !self.teams.contains(&spec.team) {
            return false;
        }
        let task = Amounts::of_task(spec);
        let rooms = self.rooms.iter().filter(|room| room.allows(spec));
        let tasks = rooms.map(|room| room.tasks(&task)).fold(0u32, u32::saturating_add);
        let taken = promised_tasks(promised, &task);
        tasks.saturating_sub(taken) >= tasks_at_once(spec)
    }
}

/// How many tasks like this the amounts promised to others could have held.
fn promised_tasks(promised: &Amounts, task: &Amounts) -> u32 {
    let by = |have: f64, need: f64| if need > 0.0 { (have / need - 1e-9).ceil() } else { 0.0 };
    let most = by(promised.cpus, task.cpus)
        .max(by(promised.gpus, task.gpus))
        .max(by(promised.memory_gb, task.memory_gb));
    most.clamp(0.0, f64::from(u32::MAX / 2)) as u32
}

/// Tasks of a job that must find room for it to move.
fn tasks_at_once(spec: &JobSpec) -> u32 {
    match spec.kind {
        Kind::Array => spec.tasks.div_ceil(ARRAY_PART),
        Kind::Gang | Kind::Service => spec.tasks,
    }
}

/// The capacity that must be free for a job to move.
pub fn needed(spec: &JobSpec) -> Amounts {
    let tasks = f64::from(tasks_at_once(spec));
    Amounts { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memory_gb: spec.memory_gb * tasks }
}

/// The last report of a cell. `sent` is when the request was sent that it answers, seconds.
#[derive(Clone, Debug)]
struct LatestReport {
    report: CapacityReport,
    sent: f64,
}

/// The latest reports of the other cells. Late, repeated and reordered ones are dropped.
#[derive(Debug, Default)]
pub struct CapacityBook {
    known: BTreeMap<CellName, LatestReport>,
}

impl CapacityBook {
    /// Stores a report that answers a request sent at that time (seconds). False, and nothing
    /// changes, if a newer one is known.
    pub fn take(&mut self, cell: &CellName, report: CapacityReport, sent: f64) -> bool {
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

    /// A cell's last report, if its request was sent at most `age_s` seconds ago.
    pub fn fresh(&self, cell: &CellName, now: f64, age_s: f64) -> Option<&CapacityReport> {
        self.known.get(cell).filter(|known| now - known.sent <= age_s).map(|known| &known.report)
    }

    /// A cell's last report, however old.
    pub fn last(&self, cell: &CellName) -> Option<&CapacityReport> {
        self.known.get(cell).map(|known| &known.report)
    }

    /// How long ago the request was sent that a cell answered last.
    pub fn silence(&self, cell: &CellName, now: f64) -> f64 {
        self.known.get(cell).map_or(f64::INFINITY, |known| now - known.sent)
    }
}
