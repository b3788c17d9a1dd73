//! Renting: what waits, what will be late, what should stand warm.

use crate::cloud_requests::Pending;
use crate::consts::*;
use crate::event::{ActionSink, CloudRequest, Secs};
use crate::jobs::Job;
use crate::leader::Leader;
use crate::pipelines::NextStage;
use crate::user_api::type_allows;
use marblebarrow_proto::ids::{JobId, MachineId};
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::{MachineType, Rent};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Room for tasks, in thought: a machine that is up or on its way.
#[derive(Clone)]
struct Room {
    /// When it can be used.
    at: Secs,
    free: [f64; 3],
    spot: bool,
    /// Its type, by place in the list of types.
    kind: usize,
    /// Its zone, by place in its type's list.
    zone: usize,
}

/// Where a machine is: its type and zone, by their places in the lists, and whether it
/// is a spot machine.
type Place = (usize, usize, bool);

/// When CPUs come free, one entry each, by place; without one where all are alike.
///
/// (They once were alike for all jobs: one bound to a zone without machines was laid
/// onto an idle machine of another, and waited for ever.)
#[derive(Default)]
struct Cpus {
    free: BTreeMap<Option<Place>, BinaryHeap<Reverse<u64>>>,
    all: u32,
}

impl Cpus {
    fn add(&mut self, place: Option<Place>, count: u32, at: u64) {
        self.all += count;
        self.free.entry(place).or_default().extend((0..count).map(|_| Reverse(at)));
    }

    /// Takes those that come free first, as many as there are.
    fn take(&mut self, count: u32, allowed: impl Fn(&Place) -> bool) -> Vec<(Option<Place>, u64)> {
        let mut taken = Vec::new();
        for _ in 0..count {
            let open = self.free.iter_mut().filter(|(p, _)| p.as_ref().is_none_or(&allowed));
            let first = open.filter(|(_, heap)| !heap.is_empty());
            let first = first.min_by_key(|(_, heap)| heap.peek().map(|Reverse(at)| *at));
            let Some((place, heap)) = first else { break };
            taken.extend(heap.pop().map(|Reverse(at)| (*place, at)));
            self.all -= 1;
        }
        taken
    }
}

/// Price for what is used of it, whether boots are slow there, whose turn it is: the
/// least is best.
type RentScore = (f64, (bool, usize));

impl Leader {
    /// Rooms of the machines that are up or on their way.
    fn rooms(&self, now: Secs, without: Option<&MachineId>) -> Vec<Room> {
        let kinds: BTreeMap<&str, (usize, &MachineType)> = self
            .cloud_requests
            .types
            .iter()
            .enumerate()
            .map(|(i, t)| (t.name.as_str(), (i, t)))
            .collect();
        let mut rooms = Vec::new();
        let zone_of =
            |t: &MachineType, zone: &str| t.zones.iter().position(|z| z == zone).unwrap_or(0);
        for (id, m) in &self.machines {
            if Some(id) == without || !m.usable(now, self.facts.report_s) {
                continue;
            }
            if let Some((kind, t)) = kinds.get(m.info.kind.as_str()) {
                let zone = zone_of(t, &m.info.zone);
                rooms.push(Room { at: now, free: m.free(), spot: m.info.spot, kind: *kind, zone });
            }
        }
        for b in self.cloud_requests.booting.values().filter(|b| !b.failed) {
            let Some((kind, t)) = kinds.get(b.kind.as_str()) else { continue };
            let boot = self.cloud_requests.boot(t, &b.zone);
            let counted = t.boot_s.max(boot) * BOOT_COUNTED + 5.0;
            if now - b.since < counted
                || b.up && now - self.cloud_requests.office_at < RENT_AFTER_S * 2.0
            {
                let overdue = now > b.since + boot && !b.up;
                let more = boot.min(t.boot_s) * BOOT_MORE;
                rooms.push(Room {
                    at: if overdue { now + more } else { b.since + boot },
                    free: [t.cpus, t.gpus, t.memory_gb],
                    spot: b.spot,
                    kind: *kind,
                    zone: zone_of(t, &b.zone),
                });
            }
        }
        rooms
    }

    /// Spare service places wanted: as many as come while a machine boots and
    /// fetches, per class.
    fn warm_wanted(&mut self, now: Secs) -> Vec<(JobSpec, u32)> {
        let bounds = |t: &MachineType| (t.boot_s * BOOT_WARM.0, t.boot_s * BOOT_WARM.1);
        let boot =
            |t: &MachineType| self.cloud_requests.boot_anywhere(t).clamp(bounds(t).0, bounds(t).1);
        let boot = self.cloud_requests.types.iter().map(boot).fold(0.0, f64::max);
        let fetch = self
            .cloud_requests
            .types
            .iter()
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let mut wanted = Vec::new();
        for class in self.cloud_requests.services.values_mut() {
            class.arrivals.retain(|at| now - at < RATE_WINDOW_S);
            // What waits at the start is a backlog, not a rate.
            let rate = class.arrivals.len() as f64 / RATE_WINDOW_S;
            let lead = boot + class.shape.image_gb / fetch.max(1e-3);
            let count = (rate * lead * self.facts.tuning.warm_factor).max(WARM_MIN).ceil();
            wanted.push((class.shape.clone(), count as u32));
        }
        wanted
    }

    pub(crate) fn warm_without(&mut self, now: Secs, id: &MachineId) -> bool {
        let mut rooms = self.rooms(now, Some(id));
        let wanted = self.warm_wanted(now);
        wanted.iter().all(|(spec, n)| {
            Need::of(spec, &self.cloud_requests.types).lacking(&mut rooms, *n) == 0
        })
    }

    /// Rents for what finds no room.
    pub(crate) fn rent(&mut self, now: Secs, out: &mut ActionSink) {
        let early = now - self.cloud_requests.office_at < RENT_AFTER_S;
        if early && (!self.machines.is_empty() || !self.cloud_requests.booting.is_empty()) {
            return;
        }
        if self.cloud_requests.renting > 0
            || !self.cloud_requests.again.is_empty()
            || self.cloud_requests.types.is_empty()
        {
            return;
        }
        let mut rooms = self.rooms(now, None);
        let mut usage = self.team_usage();
        let facts = self.facts.clone();
        // Starts beyond a team's limit don't come, so nothing is rented for them.
        let mut book = |spec: &JobSpec| {
            let Some(team) = facts.teams.iter().find(|t| t.name == spec.team) else { return false };
            let used = usage.entry(spec.team.clone()).or_default();
            if team.cpus_max > 0.0 && used[0] + spec.cpus > team.cpus_max + 1e-9 {
                return false;
            }
            used[0] += spec.cpus;
            true
        };
        let mut lacking: Vec<(JobSpec, u32)> = Vec::new();
        for job in self.waiting_services() {
            let spec = job.spec();
            let need = Need::of(spec, &self.cloud_requests.types);
            let n = (0..job.waiting()).take_while(|_| book(spec)).count() as u32;
            lacking.push((spec.clone(), need.lacking(&mut rooms, n)));
        }
        // Room held by arrays on ordinary machines can be had by preemption,
        // so the warm reserve need not stand idle.
        let mut warm_rooms = rooms.clone();
        self.add_preemptable(now, &mut warm_rooms);
        for (spec, count) in self.warm_wanted(now) {
            let n = Need::of(&spec, &self.cloud_requests.types).lacking(&mut warm_rooms, count);
            lacking.push((spec, n));
        }
        for job in self.jobs.values().filter(|j| j.spec().kind == Kind::Gang && !j.mistaken()) {
            let spec = job.spec();
            let need = Need::of(spec, &self.cloud_requests.types);
            let n = (0..job.waiting()).take_while(|_| book(spec)).count() as u32;
            lacking.push((spec.clone(), need.lacking(&mut rooms, n)));
        }
        let (late, laid_cpus) = self.late_tasks(now, &rooms, &mut book);
        lacking.extend(late);
        // What is left of a machine thought of for one job serves the next.
        let mut thought: Vec<Room> = Vec::new();
        let mut plan: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
        self.swap(now, &rooms, &mut plan);
        let free: f64 = rooms.iter().map(|r| r.free[0].max(0.0)).sum();
        let all: f64 = lacking.iter().map(|(_, n)| f64::from(*n)).sum();
        // As many as a second's calls of the cloud rent.
        let ceiling = (self.facts.cloud_rps * CLOUD_SHARE * f64::from(RENT_MAX)) as usize;
        let ceiling = ceiling.max(PLAN_MAX);
        let most = PLAN_MAX.max((all * PLAN_SHARE) as usize).min(ceiling);
        for (spec, count) in lacking {
            let need = Need::of(&spec, &self.cloud_requests.types);
            for left in (1..=count).rev() {
                if need.take(&mut thought) {
                    continue;
                }
                if thought.len() >= most {
                    break;
                }
                let Some((room, key)) = self.choose(now, &spec, left, false) else { break };
                thought.push(room);
                need.take(&mut thought);
                *plan.entry(key).or_default() += 1;
            }
        }
        self.rent_spare(now, &mut rooms, &mut book, &mut plan);
        let cpus = |kind: &str| {
            let t = self.cloud_requests.types.iter().find(|t| t.name == *kind);
            t.map_or(0.0, |t| t.cpus)
        };
        let planned: f64 = plan.iter().map(|((kind, ..), n)| cpus(kind) * f64::from(*n)).sum();
        self.drain_backlog(now, laid_cpus - free - planned, ceiling, &mut plan);
        for ((kind, zone, spot), count) in plan {
            self.send_rent(kind, zone, spot, count, out);
        }
    }

    /// Machines for work that is for spare capacity: spot ones, where it is done at
    /// the price that it is worth, and no more than it keeps busy for longer than
    /// their least bill. All other work takes them from it at once. An ordinary one
    /// only for its beginning, or when it waited for very long.
    fn rent_spare(
        &mut self,
        now: Secs,
        rooms: &mut [Room],
        mut book: impl FnMut(&JobSpec) -> bool,
        plan: &mut BTreeMap<(String, String, bool), u32>,
    ) {
        let waits = |j: &&Job| j.spare() && j.waiting() > 0 && !j.mistaken();
        let mut jobs: Vec<(Secs, JobSpec, u32, f64, bool)> = self
            .jobs
            .values()
            .filter(waits)
            .map(|j| {
                let keeps_busy = (j.likely_run() / SPARE_BUSY_S).min(1.0);
                let begun = !j.started.is_empty();
                (j.arrived, j.spec().clone(), j.waiting(), keeps_busy, begun)
            })
            .collect();
        jobs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.id.cmp(&b.1.id)));
        let mut thought: Vec<Room> = Vec::new();
        for (arrived, spec, waiting, keeps_busy, begun) in jobs {
            let need = Need::of(&spec, &self.cloud_requests.types);
            let n = (0..waiting.min(LAID_OUT_MIN)).take_while(|_| book(&spec)).count() as u32;
            let no_room = need.lacking(rooms, n);
            let none = no_room == n;
            let worth = (f64::from(no_room) * keeps_busy).ceil() as u32;
            let age = now - arrived;
            let begins = none && !begun && age > SPARE_BEGIN_S;
            for left in (1..=worth).rev() {
                if need.take(&mut thought) {
                    continue;
                }
                if thought.len() >= PLAN_MAX {
                    return;
                }
                let any = age > SPARE_LATEST_S || begins && left == worth;
                let spot = self.choose(now, &spec, left, true);
                let chosen = match spot {
                    None if any => self.choose(now, &spec, left, false),
                    spot => spot,
                };
                let Some((room, key)) = chosen else { break };
                thought.push(room);
                need.take(&mut thought);
                *plan.entry(key).or_default() += 1;
            }
        }
    }

    /// Spot machines in the place of ordinary ones that arrays have kept busy
    /// for a while: new tasks go to the former, the latter fall idle and are
    /// returned.
    fn swap(
        &mut self,
        now: Secs,
        rooms: &[Room],
        plan: &mut BTreeMap<(String, String, bool), u32>,
    ) {
        let mut busy = 0.0;
        let mut of: BTreeMap<&JobId, u32> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.info.spot && m.services == 0) {
            for task in &m.tasks {
                if let Some(j) = self.jobs.get(&task.job).filter(|j| j.spec().spot && !j.spare()) {
                    busy += j.spec().cpus;
                    *of.entry(&task.job).or_default() += 1;
                }
            }
        }
        let shape = of.iter().max_by_key(|(_, n)| **n).and_then(|(id, _)| self.jobs.get(*id));
        let shape = shape.map(|j| j.spec().clone());
        let seen = &mut self.cloud_requests.swap;
        seen.push_back((now, busy));
        while seen.front().is_some_and(|(at, _)| now - at > SWAP_AFTER_S) {
            seen.pop_front();
        }
        let Some(spec) = shape.filter(|_| seen.len() as f64 * FLEET_EVERY_S >= SWAP_AFTER_S * 0.8)
        else {
            return;
        };
        let steady = seen.iter().map(|(_, b)| *b).fold(f64::INFINITY, f64::min);
        let spare: f64 = rooms.iter().filter(|r| r.spot).map(|r| r.free[0].max(0.0)).sum();
        let mut want = steady * SWAP_SHARE - spare;
        for _ in 0..PLAN_MAX {
            if want <= 0.0 {
                return;
            }
            let Some((room, key)) = self.choose(now, &spec, u32::MAX, false) else { return };
            if !room.spot || want < room.free[0] {
                return;
            }
            want -= room.free[0];
            *plan.entry(key).or_default() += 1;
        }
    }

    /// Machines against a backlog that stays. One shorter than a boot is never
    /// worth a machine to any task in it, but all that come later wait in it
    /// too: thousands of tasks once waited for minutes, half a minute each.
    fn drain_backlog(
        &mut self,
        now: Secs,
        cpus: f64,
        most: usize,
        plan: &mut BTreeMap<(String, String, bool), u32>,
    ) {
        let seen = &mut self.cloud_requests.backlog;
        seen.push_back((now, cpus));
        while seen.front().is_some_and(|(at, _)| now - at > BACKLOG_S) {
            seen.pop_front();
        }
        if (seen.len() as f64) * FLEET_EVERY_S < BACKLOG_S * 0.8 {
            return;
        }
        let steady = seen.iter().map(|(_, c)| *c).fold(f64::INFINITY, f64::min);
        let waits = |j: &&Job| {
            j.spec().kind == Kind::Array
                && j.waiting() > 0
                && !j.mistaken()
                && !j.spare()
                && !j.unhurried(now)
        };
        let widest = self.jobs.values().filter(waits).max_by_key(|j| j.waiting());
        let Some((spec, run)) = widest.map(|j| (j.spec().clone(), j.likely_run())) else { return };
        let mut want = steady * (run / DRAIN_S).min(1.0);
        if want < spec.cpus {
            return;
        }
        // What is rented now is room from now on; look again when it is there.
        self.cloud_requests.backlog.clear();
        for _ in 0..most {
            if want <= 0.0 {
                return;
            }
            let Some((room, key)) = self.choose(now, &spec, u32::MAX, false) else { return };
            want -= room.free[0].max(1.0);
            *plan.entry(key).or_default() += 1;
        }
    }

    /// Array tasks that will be late unless more is rented: waiting tasks are
    /// laid, most pressing job first, onto the CPUs as they come free. And the
    /// CPUs that all those laid out want.
    fn late_tasks(
        &self,
        now: Secs,
        rooms: &[Room],
        mut book: impl FnMut(&JobSpec) -> bool,
    ) -> (Vec<(JobSpec, u32)>, f64) {
        let lag = self.start_lag;
        let ms = |at: Secs| (at.max(now) * 1e3) as u64;
        let array = |j: &&Job| j.spec().kind == Kind::Array;
        let waits = |j: &&Job| j.waiting() > 0 && !j.mistaken() && !j.spare();
        // One heap serves all, unless some wait that can't use every machine.
        let apart = self.jobs.values().filter(array).filter(waits).any(|j| j.spec().bound());
        let mut cpus = Cpus::default();
        for room in rooms {
            let place = apart.then_some((room.kind, room.zone, room.spot));
            cpus.add(place, room.free[0].max(0.0) as u32, ms(room.at));
        }
        let mut waiting = Vec::new();
        for job in self.jobs.values().filter(array) {
            let run = job.likely_run();
            let width = job.spec().cpus.ceil().max(1.0) as u32;
            for live in job.live.values() {
                let ends = match live.ran_from {
                    // Gives way at once.
                    _ if job.spare() => now,
                    // Under way when we took over: half done, for all we know.
                    // Taken for just begun, they once made a new leader rent
                    // hundreds of machines that came up when the work was over.
                    _ if live.adopted => (live.since + run * 0.5).max(now + run * OVERDUE_SHARE),
                    // A task past the mean isn't about to end: half of all run
                    // longer. Taken for room at once, they once hid a backlog.
                    Some(from) => (from + run).max(now + run * OVERDUE_SHARE),
                    None => live.since.max(now - lag) + lag + run,
                };
                let place = if apart { self.place_of(&live.machine) } else { None };
                if place.is_some() || !apart {
                    cpus.add(place, width, ms(ends));
                }
            }
            if waits(&job) {
                waiting.push((job.due(), job, run, width, now));
            }
        }
        // The quickest boot that can be had: the quicker kind may be used up.
        let h = &self.cloud_requests;
        let had = |t: &&MachineType| {
            let none = |z: &String, spot| {
                let until = h.no_capacity.get(&(t.name.clone(), z.clone(), spot));
                until.is_some_and(|u| now < *u)
            };
            t.zones.iter().any(|z| !none(z, true) || !none(z, false))
        };
        let boot =
            h.types.iter().filter(had).map(|t| h.boot_anywhere(t)).fold(f64::INFINITY, f64::min);
        for NextStage { job, ready_at, due } in self.next_stages(now, now + boot) {
            let width = job.spec().cpus.ceil().max(1.0) as u32;
            waiting.push((due, job, job.likely_run(), width, ready_at));
        }
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut late = Vec::new();
        // Those beyond need no laying out: they wait longer than a boot anyway.
        let most = LAID_OUT_MIN.max((f64::from(cpus.all) * LAID_OUT_SHARE) as u32);
        let mut laid_out = 0;
        let mut laid_cpus = 0.0;
        for (due, job, run, width, ready_at) in waiting {
            let spec = job.spec();
            let mut count = 0;
            let unhurried = job.unhurried(now);
            let need = Need::of(spec, &self.cloud_requests.types);
            let allowed = |place: &Place| need.allows(*place);
            let tasks = if ready_at > now { job.spec().tasks } else { job.waiting() };
            for _ in 0..tasks {
                if laid_out >= most || !book(spec) {
                    break;
                }
                laid_out += 1;
                laid_cpus += if unhurried { 0.0 } else { spec.cpus };
                let taken = cpus.take(width, allowed);
                let whole = taken.len() == width as usize;
                let last = taken.iter().map(|(_, at)| *at).max();
                let start = last.map_or(f64::INFINITY, |at| at as f64 / 1e3);
                let start = if whole { start.max(ready_at) } else { f64::INFINITY };
                if start + lag + run * RENT_SPREAD > due && start > ready_at.max(now + boot) {
                    // A machine rented now would start it sooner.
                    count += 1;
                    taken.into_iter().for_each(|(place, at)| cpus.add(place, 1, at));
                } else {
                    let free = ms(start + lag + run);
                    taken.into_iter().for_each(|(place, _)| cpus.add(place, 1, free));
                }
            }
            late.push((spec.clone(), count));
        }
        (late, laid_cpus)
    }

    fn place_of(&self, machine: &MachineId) -> Option<Place> {
        let info = &self.machines.get(machine)?.info;
        let types = &self.cloud_requests.types;
        let kind = types.iter().position(|t| t.name == info.kind)?;
        let zone = types[kind].zones.iter().position(|z| *z == info.zone)?;
        Some((kind, zone, info.spot))
    }

    fn send_rent(
        &mut self,
        kind: String,
        zone: String,
        spot: bool,
        count: u32,
        out: &mut ActionSink,
    ) {
        if !self.cloud_requests.afford() {
            return;
        }
        self.cloud_requests.renting += 1;
        self.cloud_requests.next_request += 1;
        // Term and counter: no controller ever uses this name again.
        let request = format!("r-{}-{}", self.term.0, self.cloud_requests.next_request);
        self.log.push(|| {
            format!(
                "event=rent request={request} type={kind} zone={zone} spot={spot} count={count}"
            )
        });
        let rent = Rent { request, kind, zone, spot, count: count.min(RENT_MAX) };
        let op = out.cloud(CloudRequest::Rent(rent.clone()));
        self.cloud_requests.pending.insert(op, Pending::Rent(rent));
    }

    fn add_preemptable(&self, now: Secs, rooms: &mut [Room]) {
        // `rooms` lists the usable machines first, in the order of `machines`.
        let usable = self.machines.values().filter(|m| {
            m.usable(now, self.facts.report_s)
                && self.cloud_requests.types.iter().any(|t| t.name == m.info.kind)
        });
        for (m, room) in usable.zip(rooms) {
            for task in m.tasks.difference(&m.freed) {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let spec = job.spec();
                if spec.kind == Kind::Array
                    && spec.priority < marblebarrow_proto::job::Priority::Production
                {
                    room.free[0] += spec.cpus;
                    room.free[1] += spec.gpus;
                    room.free[2] += spec.memory_gb;
                }
            }
        }
    }

    /// The cheapest machine for tasks like this, as a room and as type, zone
    /// and kind.
    fn choose(
        &mut self,
        now: Secs,
        spec: &JobSpec,
        tasks: u32,
        only_spot: bool,
    ) -> Option<(Room, (String, String, bool))> {
        let h = &mut self.cloud_requests;
        h.no_capacity.retain(|_, until| now < *until);
        h.next_zone += 1;
        let mut best: Option<(RentScore, (usize, usize), bool)> = None;
        for (k, t) in h.types.iter().enumerate().filter(|(_, t)| type_allows(spec, t)) {
            let holds = per_machine(spec, t);
            if holds == 0 {
                continue;
            }
            // A machine larger than the need is paid for in full.
            let used = f64::from(tasks.min(holds));
            for (i, zone) in t.zones.iter().enumerate() {
                if spec.zone.as_ref().is_some_and(|z| z != zone) {
                    continue;
                }
                for spot in [true, false] {
                    if spot && !spec.spot
                        || only_spot && !spot
                        || h.no_capacity.contains_key(&(t.name.clone(), zone.clone(), spot))
                    {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price } / used;
                    // Zones in turn, but those last where boots are slow.
                    let slow = h.boot(t, zone) > t.boot_s * BOOT_SPREAD;
                    let turn = (slow, (i + h.next_zone) % t.zones.len().max(1));
                    if best.as_ref().is_none_or(|b| (price, turn) < b.0) {
                        best = Some(((price, turn), (k, i), spot));
                    }
                }
            }
        }
        let (_, (kind, zone), spot) = best?;
        let t = h.types.get(kind)?;
        let free = [t.cpus, t.gpus, t.memory_gb];
        let room = Room { at: now + h.boot(t, t.zones.get(zone)?), free, spot, kind, zone };
        Some((room, (t.name.clone(), t.zones.get(zone)?.clone(), spot)))
    }
}

fn per_machine(spec: &JobSpec, t: &MachineType) -> u32 {
    let by = |need: f64, have: f64| {
        if need > 0.0 { (have / need + 1e-9).floor() } else { f64::MAX }
    };
    by(spec.cpus, t.cpus).min(by(spec.gpus, t.gpus)).min(by(spec.memory_gb, t.memory_gb)).min(1e4)
        as u32
}

/// What a task needs of a room.
struct Need {
    amounts: [f64; 3],
    spot: bool,
    /// For each type, by its place: whether it is allowed, and in which zone.
    kinds: Vec<Option<Option<usize>>>,
}

impl Need {
    fn of(spec: &JobSpec, types: &[MachineType]) -> Self {
        let kinds = types
            .iter()
            .map(|t| {
                if spec.types.as_ref().is_some_and(|l| !l.contains(&t.name)) {
                    return None;
                }
                match &spec.zone {
                    None => Some(None),
                    Some(zone) => t.zones.iter().position(|z| z == zone).map(Some),
                }
            })
            .collect();
        Self { amounts: [spec.cpus, spec.gpus, spec.memory_gb], spot: spec.spot, kinds }
    }

    fn fits(&self, room: &Room) -> bool {
        (0..3).all(|i| room.free[i] + 1e-9 >= self.amounts[i])
            && self.allows((room.kind, room.zone, room.spot))
    }

    fn allows(&self, (kind, zone, spot): Place) -> bool {
        (self.spot || !spot)
            && self.kinds.get(kind).is_some_and(|k| match k {
                None => false,
                Some(only) => only.is_none_or(|z| z == zone),
            })
    }

    /// Takes one of the rooms, if one is large enough.
    fn take(&self, rooms: &mut [Room]) -> bool {
        let room = rooms
            .iter_mut()
            .filter(|r| self.fits(r))
            // Spot room first: ordinary room is what services need.
            .min_by_key(|r| (self.spot && !r.spot, (r.free[0] * 100.0) as i64));
        let Some(room) = room else { return false };
        (0..3).for_each(|i| room.free[i] -= self.amounts[i]);
        true
    }

    /// Takes rooms until none is left or all tasks have one; how many have none.
    /// One room is filled after the other, as [`Need::take`] would, but the rooms
    /// are looked through once, and not for every task.
    fn lacking(&self, rooms: &mut [Room], tasks: u32) -> u32 {
        if tasks == 0 {
            return 0;
        }
        let mut order: Vec<usize> = (0..rooms.len()).filter(|&i| self.fits(&rooms[i])).collect();
        order.sort_by_key(|&i| (self.spot && !rooms[i].spot, (rooms[i].free[0] * 100.0) as i64));
        let mut left = tasks;
        for i in order {
            while left > 0 && self.fits(&rooms[i]) {
                (0..3).for_each(|k| rooms[i].free[k] -= self.amounts[k]);
                left -= 1;
            }
            if left == 0 {
                break;
            }
        }
        left
    }
}

#[cfg(test)]
#[path = "tests/provision.rs"]
mod tests;
