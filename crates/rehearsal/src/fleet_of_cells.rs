//! Several cells in one simulated time, and the links between them: messages are lost,
//! doubled and late, and links can be cut in one direction. The rules that hold across cells
//! are checked after each step, from the workers' and the stores' own records.

use crate::world::{CellAnswer, OutgoingCall, Trouble, World};
use marblebarrow_cells::message::{CellError, CellRequest};
use marblebarrow_cells::settings::{CellsSettings, OtherCell};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{CANCEL_WANTED, REFUSED};
use marblebarrow_proto::wire::Stage;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Steps after which a call without an answer is given up.
const GIVE_UP: u32 = 20;
/// Jobs of each cell have numbers from a multiple of this on.
const NUMBERS: u32 = 100_000;
/// Controllers of a cell.
const CONTROLLERS: usize = 3;
/// One message in so many is lost, ...
const LOST_EVERY: u32 = 15;
/// ... comes twice, ...
const DOUBLED_EVERY: u32 = 12;
/// ... or late, ...
const LATE_EVERY: u32 = 12;
/// ... by so many steps at most.
const LATE_MOST: u32 = 120;
/// Calls remembered after their end, so that late copies of requests find them.
const CALLS_KEPT: u64 = 5_000;
/// Events kept, to be shown with a rule that was broken.
const EVENTS_KEPT: usize = 60;
/// Steps for which the last job of a run may be under way after all troubles.
const SETTLING: u32 = 1_200;

/// Something that goes wrong; lengths in steps.
#[derive(Clone, Debug)]
pub enum CellTrouble {
    /// Within a cell.
    Within(usize, Trouble),
    /// Nothing goes from the first cell to the second.
    Cut(usize, usize, u32),
    /// A cell is gone with all its controllers.
    CellGone(usize, u32),
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides everything that is left to luck.
    pub seed: u64,
    /// Machines at most, by cell.
    pub machines: Vec<usize>,
    /// Steps between submissions, by cell; 0: none.
    pub paces: Vec<u32>,
    /// Until when jobs are submitted, in steps.
    pub until: u32,
    /// Seconds that a job waits before it may move.
    pub patience_s: f64,
    /// A script that chooses among cells with room.
    pub policy: Option<String>,
    /// Whether jobs may move at all.
    pub moving: bool,
    /// Whether every fourth job is cancelled a second after it was accepted.
    pub cancels: bool,
    /// What goes wrong, and when.
    pub troubles: Vec<(u32, CellTrouble)>,
}

impl Plan {
    /// Three cells, of which the first has far too few machines.
    pub fn one_full(seed: u64) -> Self {
        Self {
            seed,
            machines: vec![3, 14, 14],
            paces: vec![10, 60, 60],
            until: 400,
            patience_s: 4.0,
            policy: None,
            moving: true,
            cancels: false,
            troubles: Vec::new(),
        }
    }
}

#[derive(Clone, Debug)]
enum Packet {
    Request { call: u64, to: usize, request: CellRequest },
    Answer { call: u64, answer: CellAnswer },
}

#[derive(Debug)]
struct OpenCall {
    from: usize,
    asked: OutgoingCall,
    /// Its process was told something already.
    over: bool,
}

/// What came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    /// Messages between cells.
    pub messages: u64,
    /// Those that were lost.
    pub lost: u64,
    /// Those that came twice.
    pub doubled: u64,
    /// Those that came late.
    pub late: u64,
    /// Those that a cut kept.
    pub cut: u64,
    /// Jobs that were accepted by another cell.
    pub moved: u64,
    /// Offers that were refused for good.
    pub refused: u64,
    /// Cancellations that users wanted of jobs that might be elsewhere.
    pub cancels_wanted: u64,
}

/// The cells.
pub struct FleetOfCells {
    /// Each by itself.
    pub cells: Vec<World>,
    /// What came about.
    pub met: Met,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Digest of all that happened, in order.
    digest: u64,
    rng: StdRng,
    step: u32,
    cuts: BTreeMap<(usize, usize), u32>,
    troubles: Vec<(u32, CellTrouble)>,
    packets: Vec<(u32, Packet)>,
    calls: BTreeMap<u64, OpenCall>,
    next_call: u64,
    /// The cells that ever accepted a job from its home.
    accepted_by: BTreeMap<JobId, BTreeSet<usize>>,
    specs_shared: usize,
    /// Since when jobs are offered to a cell that hasn't spoken.
    in_doubt: BTreeMap<JobId, u32>,
    times_in_doubt: Vec<u32>,
    events: VecDeque<String>,
}

fn name(cell: usize) -> CellName {
    CellName::new(&format!("cell-{cell}"))
}

fn settings(plan: &Plan, cell: usize) -> CellsSettings {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let others = (0..plan.machines.len()).filter(|other| *other != cell);
    CellsSettings {
        name: name(cell),
        listen: nowhere,
        others: others.map(|o| OtherCell { name: name(o), controllers: vec![nowhere] }).collect(),
        patience_s: plan.patience_s,
        reserve_cpus: 0.0,
        report_age_s: 5.0,
        transfers_max: 16,
        message_bytes: 64 * 1024,
        policy: plan.policy.clone(),
    }
}

impl FleetOfCells {
    /// Cells that have just begun.
    pub fn new(plan: &Plan) -> Self {
        let mut troubles = plan.troubles.clone();
        troubles.sort_by_key(|(at, _)| *at);
        let ends = troubles.iter().map(|(at, trouble)| at + steps_of(trouble));
        let calm = ends.max().unwrap_or(0) + LATE_MOST;
        let cells = (0..plan.machines.len())
            .map(|cell| {
                let within = troubles.iter().filter_map(|(at, trouble)| match trouble {
                    CellTrouble::Within(c, t) if *c == cell => Some((*at, t.clone())),
                    CellTrouble::CellGone(c, s) if *c == cell => Some((*at, Trouble::CrashAll(*s))),
                    _ => None,
                });
                let mut world = World::new(plan.seed * 31 + cell as u64, within.collect());
                world.size = (plan.machines[cell], 200.0);
                world.first_number = NUMBERS * (cell as u32 + 1);
                world.pace =
                    (plan.paces[cell].max(1), if plan.paces[cell] == 0 { 0 } else { plan.until });
                world.cells = plan.moving.then(|| Arc::new(settings(plan, cell)));
                world.quarter = plan.cancels;
                world.calm_after(calm);
                world
            })
            .collect();
        Self {
            cells,
            met: Met::default(),
            broken: Vec::new(),
            digest: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            step: 0,
            cuts: BTreeMap::new(),
            troubles,
            packets: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            accepted_by: BTreeMap::new(),
            specs_shared: 0,
            in_doubt: BTreeMap::new(),
            times_in_doubt: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// Steps in which a plan's work and troubles surely end.
    pub fn steps_of(plan: &Plan) -> u32 {
        let ends = plan.troubles.iter().map(|(at, trouble)| at + steps_of(trouble));
        ends.max().unwrap_or(0).max(plan.until) + SETTLING
    }

    /// Runs so many steps, then checks that all work was done.
    pub fn run(&mut self, steps: u32) {
        while self.step < steps && self.broken.is_empty() {
            self.advance(steps);
        }
        if self.broken.is_empty() {
            self.cells.iter_mut().for_each(World::check_over);
            self.collect_broken();
        }
    }

    /// A number that two runs share only if all that is counted and told was the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How long each transfer that is settled was in doubt, in steps.
    pub fn times_in_doubt(&self) -> Vec<u32> {
        self.times_in_doubt.clone()
    }

    fn note_doubt(&mut self) {
        let now: BTreeSet<JobId> = self.cells.iter().flat_map(World::in_doubt).collect();
        for job in &now {
            self.in_doubt.entry(job.clone()).or_insert(self.step);
        }
        let (step, times) = (self.step, &mut self.times_in_doubt);
        self.in_doubt.retain(|job, since| {
            let open = now.contains(job);
            if !open {
                times.push(step - *since);
            }
            open
        });
    }

    /// The last events before now.
    pub fn last_events(&self) -> Vec<String> {
        self.events.iter().cloned().collect()
    }

    fn advance(&mut self, steps: u32) {
        self.step += 1;
        self.trouble();
        for cell in &mut self.cells {
            cell.advance(steps);
        }
        self.share();
        self.send();
        self.deliver();
        self.give_up();
        self.check();
        self.note_doubt();
        self.collect_broken();
        self.note();
    }

    fn trouble(&mut self) {
        let step = self.step;
        for (_, trouble) in self.troubles.extract_if(.., |(at, _)| *at <= step) {
            if let CellTrouble::Cut(from, to, steps) = trouble {
                self.cuts.insert((from, to), step + steps);
            }
        }
    }

    /// Workers everywhere can fetch every job's description, and what is finished is so for
    /// all.
    fn share(&mut self) {
        let known: usize = self.cells.iter().map(|cell| cell.submitted().len()).sum();
        if known != self.specs_shared {
            self.specs_shared = known;
            let all: Vec<_> = self.cells.iter().flat_map(|cell| cell.submitted().clone()).collect();
            for cell in &mut self.cells {
                cell.guest_specs.extend(all.iter().cloned());
            }
        }
        for cell in 0..self.cells.len() {
            let finished = std::mem::take(&mut self.cells[cell].newly_finished);
            let others = self.cells.iter_mut().enumerate().filter(|(other, _)| *other != cell);
            for (_, other) in others {
                finished.iter().for_each(|task| other.finished_elsewhere(task));
            }
        }
    }

    fn send(&mut self) {
        for from in 0..self.cells.len() {
            for asked in std::mem::take(&mut self.cells[from].cell_calls) {
                let Some(to) = (0..self.cells.len()).find(|cell| name(*cell) == asked.cell) else {
                    continue;
                };
                self.next_call += 1;
                let call = self.next_call;
                let request = asked.request.clone();
                self.calls.insert(call, OpenCall { from, asked, over: false });
                self.packet(from, to, &Packet::Request { call, to, request });
            }
            for (call, answer) in std::mem::take(&mut self.cells[from].cell_answers) {
                let Some(to) = self.calls.get(&call).map(|open| open.from) else { continue };
                self.packet(from, to, &Packet::Answer { call, answer });
            }
        }
    }

    /// Sends a message over a link, with all that may happen to it.
    fn packet(&mut self, from: usize, to: usize, packet: &Packet) {
        self.met.messages += 1;
        if self.cuts.get(&(from, to)).is_some_and(|until| self.step < *until) {
            self.met.cut += 1;
            return;
        }
        if self.rng.random_range(0..LOST_EVERY) == 0 {
            self.met.lost += 1;
            return;
        }
        if self.rng.random_range(0..DOUBLED_EVERY) == 0 {
            self.met.doubled += 1;
            let at = self.step + self.rng.random_range(1..LATE_MOST);
            self.packets.push((at, packet.clone()));
        }
        let late = self.rng.random_range(0..LATE_EVERY) == 0;
        self.met.late += u64::from(late);
        let most = if late { LATE_MOST } else { 3 };
        let at = self.step + self.rng.random_range(1..most);
        self.packets.push((at, packet.clone()));
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due: Vec<(u32, Packet)> = self.packets.extract_if(.., |(at, _)| *at <= step).collect();
        for (_, packet) in due {
            match packet {
                Packet::Request { call, to, request } => {
                    // A link tries the controllers in turn, and stays with the one that leads.
                    let leading = self.cells[to].leading();
                    let any = self.rng.random_range(0..CONTROLLERS);
                    let stray = self.rng.random_range(0..8) == 0;
                    let node = if stray { any } else { leading.unwrap_or(any) };
                    self.cells[to].take_cell_request(node, call, request);
                }
                Packet::Answer { call, answer } => self.answer(call, answer),
            }
        }
    }

    fn answer(&mut self, call: u64, answer: CellAnswer) {
        let Some(open) = self.calls.get_mut(&call).filter(|open| !open.over) else { return };
        open.over = true;
        self.cells[open.from].take_cell_answer(&open.asked, answer);
    }

    fn give_up(&mut self) {
        let next = self.next_call;
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, open)| !open.over && self.step >= open.asked.at + GIVE_UP)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            self.answer(call, Err(CellError::NoAnswer));
        }
        // Late copies find nobody who asked.
        self.calls.retain(|call, open| !open.over || call + CALLS_KEPT > next);
    }

    fn check(&mut self) {
        for (cell, world) in self.cells.iter().enumerate() {
            for job in world.inbound() {
                let by = self.accepted_by.entry(job.clone()).or_default();
                if by.insert(cell) && by.len() > 1 {
                    self.broken.push(format!("moved twice: {job} {by:?}"));
                }
                if world.submitted().contains_key(&job) {
                    self.broken.push(format!("came back: {job}"));
                }
            }
        }
        self.met.moved = self.accepted_by.len() as u64;
        let count = |prefix| self.cells.iter().map(|cell| cell.puts_under(prefix)).sum::<usize>();
        self.met.refused = count(REFUSED) as u64;
        self.met.cancels_wanted = count(CANCEL_WANTED) as u64;
        for cell in 0..self.cells.len() {
            for other in (0..self.cells.len()).filter(|other| *other != cell) {
                let (one, two) = (&self.cells[cell], &self.cells[other]);
                let both = one.begun.keys().find(|job| cell < other && two.begun.contains_key(job));
                if let Some(job) = both {
                    self.broken.push(format!("ran_twice: {job} in cells {cell} and {other}"));
                }
                if let Some(job) = one.surely_cancelled().find(|job| two.holds(job)) {
                    self.broken.push(format!("ran_cancelled: {job} in cell {other}"));
                }
            }
        }
        for (job, by) in &self.accepted_by {
            for (cell, world) in self.cells.iter_mut().enumerate() {
                if !by.contains(&cell) && world.submitted().contains_key(job) {
                    world.elsewhere.insert(job.clone());
                }
            }
        }
    }

    fn collect_broken(&mut self) {
        for (cell, world) in self.cells.iter_mut().enumerate() {
            let broken = std::mem::take(&mut world.broken);
            self.broken.extend(broken.into_iter().map(|rule| format!("cell-{cell}: {rule}")));
        }
    }

    /// Adds this step to the digest: all that controllers logged, starts, store changes and
    /// messages.
    fn note(&mut self) {
        let mut digest = Digest(self.digest);
        for (cell, world) in self.cells.iter_mut().enumerate() {
            for event in std::mem::take(&mut world.events) {
                event.bytes().for_each(|byte| digest.add(u64::from(byte)));
                self.events.push_back(format!("cell-{cell} {event}"));
                if self.events.len() > EVENTS_KEPT {
                    self.events.pop_front();
                }
            }
            digest.add(u64::from(world.starts));
            digest.add(world.store_work.changes as u64);
            digest.add(world.store_work.bytes as u64);
        }
        digest.add(self.met.messages);
        digest.add(self.packets.len() as u64);
        digest.add(self.accepted_by.len() as u64);
        self.digest = digest.0;
    }

    /// How many jobs of a cell were told done, told cancelled, and accepted in all.
    pub fn ends(&self, cell: usize) -> Ends {
        let world = &self.cells[cell];
        let mut ends = Ends::default();
        for job in world.accepted_jobs() {
            ends.accepted += 1;
            match world.last_told(job).map(|(stage, _)| stage) {
                Some(Stage::Done) => ends.done += 1,
                Some(Stage::Cancelled) => ends.cancelled += 1,
                _ => {}
            }
        }
        ends
    }

    /// Steps from acceptance to the first start of each job of a cell that began, anywhere.
    pub fn waits(&self, cell: usize) -> Vec<u32> {
        let accepted = &self.cells[cell].accepted_at;
        let begun = |job| self.cells.iter().find_map(|world| world.begun.get(job));
        accepted
            .iter()
            .filter_map(|(job, at)| begun(job).map(|begun| begun.saturating_sub(*at)))
            .collect()
    }
}

/// What a cell's users were told in the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Jobs accepted.
    pub accepted: u32,
    /// Told done.
    pub done: u32,
    /// Told cancelled.
    pub cancelled: u32,
}

fn steps_of(trouble: &CellTrouble) -> u32 {
    match trouble {
        CellTrouble::Within(_, trouble) => trouble.steps(),
        CellTrouble::Cut(_, _, steps) | CellTrouble::CellGone(_, steps) => *steps,
    }
}

/// FNV-1a over whole words: the same on every machine and in every version of the library.
struct Digest(u64);

impl Digest {
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}
