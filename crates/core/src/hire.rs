//! The fleet: renting for work that waits and for the warm reserve, returning
//! what idles, and dealing with machines that never come up, fail, or that
//! nobody expected.

use crate::consts::*;
use crate::desk::type_allows;
use crate::event::{CloudRequest, CloudResult, OpId, Out, Secs};
use crate::fleet::Machine;
use crate::jobs::{Outcome, Phase};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::{ListedMachine, ListedState, MachineType, Rent};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// A machine that was rented or listed, and hasn't reported.
#[derive(Debug)]
struct Booting {
    kind: String,
    zone: String,
    spot: bool,
    since: Secs,
    listed_at: Option<Secs>,
    /// The cloud says it runs, though it hasn't reported.
    up: bool,
    failed: bool,
}

#[derive(Debug)]
enum Pending {
    Types,
    List,
    Rent(Rent),
    Release(Vec<MachineId>),
}

/// One class of services, as seen lately.
#[derive(Debug)]
struct ServiceClass {
    shape: JobSpec,
    arrivals: Vec<Secs>,
}

/// The fleet's bookkeeping.
#[derive(Debug)]
pub(crate) struct Hire {
    /// Machine types, current prices.
    pub types: Vec<MachineType>,
    types_asked: bool,
    next_types: Secs,
    next_list: Secs,
    listing: bool,
    list: Vec<ListedMachine>,
    listed_once: bool,
    next_think: Secs,
    booting: BTreeMap<MachineId, Booting>,
    pending: HashMap<OpId, Pending>,
    renting: usize,
    again: Vec<Rent>,
    release: BTreeSet<MachineId>,
    releasing: bool,
    no_capacity: BTreeMap<(String, String, bool), Secs>,
    next_request: u64,
    next_zone: usize,
    budget: f64,
    refilled: Secs,
    retry_at: Secs,
    services: BTreeMap<String, ServiceClass>,
    next_log: Secs,
    office_at: Secs,
    next_gather: Secs,
}

impl Hire {
    pub(crate) fn new(now: Secs) -> Self {
        Self {
            types: Vec::new(),
            types_asked: false,
            next_types: now,
            next_list: now,
            listing: false,
            list: Vec::new(),
            listed_once: false,
            next_think: now,
            booting: BTreeMap::new(),
            pending: HashMap::new(),
            renting: 0,
            again: Vec::new(),
            release: BTreeSet::new(),
            releasing: false,
            no_capacity: BTreeMap::new(),
            next_request: 0,
            next_zone: 0,
            budget: 1.0,
            refilled: now,
            retry_at: now,
            services: BTreeMap::new(),
            next_log: now,
            office_at: now,
            next_gather: now + GATHER_AGE_S,
        }
    }

    /// Image cache of a type.
    pub(crate) fn cache_gb(&self, kind: &str) -> f64 {
        self.types.iter().find(|t| t.name == kind).map_or(f64::INFINITY, |t| t.cache_gb)
    }

    /// A machine reported: it is up.
    pub(crate) fn heard(&mut self, id: &MachineId) {
        self.booting.remove(id);
    }

    /// A job came: services set the warm reserve.
    pub(crate) fn saw_job(&mut self, now: Secs, spec: &JobSpec) {
        if spec.kind != Kind::Service {
            return;
        }
        let class = self
            .services
            .entry(spec.class.clone())
            .or_insert_with(|| ServiceClass { shape: spec.clone(), arrivals: Vec::new() });
        class.shape = spec.clone();
        class.arrivals.push(now);
    }

    fn afford(&mut self) -> bool {
        if self.budget >= 1.0 {
            self.budget -= 1.0;
            true
        } else {
            false
        }
    }
}

/// Room for tasks, in thought: a machine that is up or on its way.
#[derive(Clone)]
struct Room {
    /// When it can be used.
    at: Secs,
    free: [f64; 3],
    spot: bool,
    kind: String,
    zone: String,
}

impl Leader {
    pub(crate) fn hire_tick(&mut self, now: Secs, replica: &Replica, out: &mut Out) {
        let h = &mut self.hire;
        let rate = self.facts.cloud_rps * CLOUD_SHARE;
        h.budget = (h.budget + (now - h.refilled) * rate).min(rate);
        h.refilled = now;
        if h.types.is_empty()
            && let Some(types) = &replica.types
        {
            h.types.clone_from(types);
            self.place_due = true;
        }
        let h = &mut self.hire;
        if now < h.retry_at {
            return;
        }
        if !h.types_asked && now >= h.next_types && h.afford() {
            h.types_asked = true;
            let op = out.cloud(CloudRequest::Types);
            h.pending.insert(op, Pending::Types);
        }
        if !h.listing && now >= h.next_list && h.afford() {
            h.listing = true;
            h.list.clear();
            let op = out.cloud(CloudRequest::List { after: None });
            h.pending.insert(op, Pending::List);
        }
        // An unanswered rental is asked again under its name, which rents once.
        while h.renting == 0 && !h.again.is_empty() && h.afford() {
            let Some(rent) = h.again.pop() else { break };
            h.renting += 1;
            let op = out.cloud(CloudRequest::Rent(rent.clone()));
            h.pending.insert(op, Pending::Rent(rent));
        }
        if now >= h.next_think && h.listed_once {
            h.next_think = now + FLEET_EVERY_S;
            self.return_machines(now);
            self.gather(now);
            self.rent(now, out);
        }
        self.send_release(out);
        self.log_fleet(now);
    }

    fn log_fleet(&mut self, now: Secs) {
        if now < self.hire.next_log {
            return;
        }
        self.hire.next_log = now + FLEET_LOG_S;
        let mut parts = Vec::new();
        for spot in [false, true] {
            let of = || self.machines.values().filter(move |m| m.info.spot == spot);
            let total: f64 = of()
                .filter_map(|m| self.hire.types.iter().find(|t| t.name == m.info.kind))
                .map(|t| t.cpus)
                .sum();
            let used: f64 = of().map(|m| m.used[0]).sum();
            let idle = of().filter(|m| m.tasks.is_empty()).count();
            let booting = self.hire.booting.values().filter(|b| b.spot == spot).count();
            let name = if spot { "spot" } else { "ordinary" };
            parts.push(format!(
                "{name}={} {name}_cpus={total} {name}_used={used:.0} {name}_idle={idle} {name}_booting={booting}",
                of().count()
            ));
        }
        let waiting: u32 = self.jobs.values().map(|j| j.waiting()).sum();
        self.log.push(format!("event=fleet {} waiting={waiting}", parts.join(" ")));
    }

    pub(crate) fn cloud_answered(&mut self, now: Secs, op: OpId, result: CloudResult) {
        let Some(pending) = self.hire.pending.remove(&op) else {
            return;
        };
        let h = &mut self.hire;
        if matches!(result, CloudResult::Refused | CloudResult::Unknown) {
            h.retry_at = now + CLOUD_RETRY_S;
        }
        match (pending, result) {
            (Pending::Types, CloudResult::Types(types)) => {
                h.types = types;
                h.types_asked = false;
                h.next_types = now + TYPES_EVERY_S;
                self.place_due = true;
            }
            (Pending::Types, _) => h.types_asked = false,
            (Pending::List, CloudResult::List(list)) => {
                h.listing = false;
                h.list.extend(list.machines);
                // Longer fleets than a page are read on in the next round.
                h.next_list = now + LIST_EVERY_S;
                h.listed_once = true;
                let listed = std::mem::take(&mut h.list);
                self.listed(now, listed);
            }
            (Pending::List, _) => h.listing = false,
            (Pending::Rent(rent), CloudResult::Rented(names)) => {
                h.renting -= 1;
                self.log.push(format!(
                    "event=rented request={} count={}",
                    rent.request,
                    names.len()
                ));
                let h = &mut self.hire;
                if (names.len() as u32) < rent.count {
                    let key = (rent.kind.clone(), rent.zone.clone(), rent.spot);
                    h.no_capacity.insert(key, now + NO_CAPACITY_S);
                }
                for id in names {
                    if !self.machines.contains_key(&id) && !self.tombs.contains_key(&id) {
                        h.booting.insert(
                            id,
                            Booting {
                                kind: rent.kind.clone(),
                                zone: rent.zone.clone(),
                                spot: rent.spot,
                                since: now,
                                listed_at: None,
                                up: false,
                                failed: false,
                            },
                        );
                    }
                }
            }
            (Pending::Rent(rent), CloudResult::NoCapacity) => {
                h.renting -= 1;
                h.no_capacity.insert((rent.kind, rent.zone, rent.spot), now + NO_CAPACITY_S);
            }
            (Pending::Rent(rent), _) => {
                h.renting -= 1;
                h.again.push(rent);
            }
            (Pending::Release(names), CloudResult::Released) => {
                h.releasing = false;
                for id in names {
                    self.released(now, &id);
                }
            }
            (Pending::Release(_), _) => h.releasing = false,
        }
    }

    /// A release was carried out: the machine and all on it are gone.
    fn released(&mut self, now: Secs, id: &MachineId) {
        self.hire.release.remove(id);
        self.hire.booting.remove(id);
        self.tombs.insert(id.clone(), now);
        let life = self.facts.list_lag_s * TOMB_LAGS;
        self.tombs.retain(|_, at| now - *at < life);
        self.lose_tasks(id, now);
        for job in self.jobs.values_mut() {
            job.machines.remove(id);
        }
        if let Some(m) = self.machines.remove(id) {
            self.writer.machine_gone(id, m.recorded);
        }
        self.place_due = true;
        self.log.push(format!("event=released machine={id} term={}", self.term.0));
    }

    fn listed(&mut self, now: Secs, list: Vec<ListedMachine>) {
        for l in list {
            if self.tombs.contains_key(&l.machine) {
                continue;
            }
            let failed = l.state == ListedState::Failed;
            if let Some(m) = self.machines.get_mut(&l.machine) {
                if failed {
                    // It stopped by itself; the release proves all on it gone.
                    m.cordoned = true;
                    self.hire.release.insert(l.machine);
                }
                continue;
            }
            let entry = self.hire.booting.entry(l.machine).or_insert_with(|| Booting {
                kind: l.kind,
                zone: l.zone,
                spot: l.spot,
                since: now - l.age_s,
                listed_at: None,
                up: false,
                failed: false,
            });
            entry.listed_at = Some(now);
            entry.up = l.state == ListedState::Running;
            entry.failed = failed;
        }
    }

    /// Picks the machines to return.
    fn return_machines(&mut self, now: Secs) {
        let lag = self.facts.list_lag_s;
        let boots: BTreeMap<&str, f64> =
            self.hire.types.iter().map(|t| (t.name.as_str(), t.boot_s)).collect();
        let rates: BTreeMap<&str, f64> =
            self.hire.types.iter().map(|t| (t.name.as_str(), t.fetch_gb_per_s.max(1e-3))).collect();
        let mut give_up = Vec::new();
        let mut vanished = Vec::new();
        for (id, b) in &self.hire.booting {
            let boot = boots.get(b.kind.as_str()).copied().unwrap_or(0.0);
            let age = now - b.since;
            if b.failed || age > boot * BOOT_GIVE_UP + lag {
                give_up.push(id.clone());
            } else if b.listed_at.map_or(age, |at| now - at) > lag * 3.0 + LIST_EVERY_S * 2.0 {
                // Taken back before it reported, or never more than a promise.
                vanished.push(id.clone());
            }
        }
        self.hire.release.extend(give_up);
        for id in vanished {
            self.hire.release.insert(id);
        }
        let gone = self.facts.report_s * GONE_REPORTS + GONE_MARGIN_S;
        // Their silence speaks of them only if we hear the others.
        let lately = self
            .machines
            .values()
            .filter(|m| m.heard.is_some_and(|h| now - h < self.facts.report_s * SILENT_REPORTS));
        let heard_lately =
            now - self.hire.office_at > GONE_AFTER_S && lately.count() * 2 > self.machines.len();
        let mut idle = Vec::new();
        for (id, m) in &mut self.machines {
            let stuck = m.tasks.iter().all(|t| {
                self.jobs
                    .get(&t.job)
                    .and_then(|j| j.live.get(&t.index))
                    .is_some_and(|l| l.doubt && l.stop.is_some() && l.phase == Phase::Sent)
            });
            let silent = m.heard.is_some_and(|h| now - h > gone);
            if silent && heard_lately && m.info.spot && m.lapsed.is_none() && !m.releasing {
                self.log.push(format!("event=silent machine={id} spot={}", m.info.spot));
                m.releasing = true;
                self.hire.release.insert(id.clone());
            }
            let back_by = self.facts.lease_s + LAPSED_KEPT_S;
            if m.lapsed.is_some() && now - m.answered > back_by {
                // Silent past its lease. Should it be back by then, it will
                // have nothing on it that counts.
                m.cordoned = true;
                self.hire.release.insert(id.clone());
            } else if m.errors >= MACHINE_ERRORS || m.slow >= SLOW_SAMPLES {
                if !m.cordoned {
                    self.log.push(format!(
                        "event=cordon machine={id} errors={} slow={}",
                        m.errors, m.slow
                    ));
                }
                m.cordoned = true;
            }
            if stuck && m.cordoned && m.direct.is_none() && !m.releasing {
                m.releasing = true;
                self.hire.release.insert(id.clone());
            }
            let rate = rates.get(m.info.kind.as_str()).copied().unwrap_or(f64::INFINITY);
            let fetches = m.images.iter().map(|(_, gb)| gb / rate).sum::<f64>();
            let patience =
                if m.info.spot { IDLE_SPOT_S } else { IDLE_S } + fetches.min(IDLE_IMAGES_S);
            let unneeded = m.tasks.is_empty()
                && m.exited.is_empty()
                && m.direct.is_none()
                && !m.releasing
                && m.confirmed
                && now - m.idle_since > patience
                && now - m.first_heard > LEAST_BILL_S / 2.0;
            if unneeded {
                // The fewer images it holds, the less is lost with it.
                idle.push((m.info.spot, m.images.len(), id.clone()));
            }
        }
        if self.recovering || idle.is_empty() {
            return;
        }
        // One a round, dearest kind first, unless it is wanted warm.
        idle.sort();
        for (spot, _, id) in idle {
            if !spot && !self.warm_without(now, &id) {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&id) {
                m.cordoned = true;
                m.releasing = true;
            }
            self.hire.release.insert(id);
            break;
        }
    }

    /// Moves the replicas of a machine that is used little onto others that stay
    /// anyway and hold their images, so that it can be returned.
    fn gather(&mut self, now: Secs) {
        if self.recovering || now < self.hire.next_gather {
            return;
        }
        let waiting = self.jobs.values().any(|j| j.waiting() > 0);
        let Some(id) = (!waiting).then(|| self.least_used(now)).flatten() else { return };
        if !self.fits_elsewhere(now, &id) || !self.warm_without(now, &id) {
            return;
        }
        self.hire.next_gather = now + GATHER_EVERY_S;
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.cordoned = true;
        m.push = true;
        self.log.push(format!("event=gather machine={id} replicas={}", m.tasks.len()));
        for task in m.tasks.clone() {
            let live = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index));
            if let Some(live) = live {
                live.stop.get_or_insert(0.0);
            }
        }
    }

    /// The ordinary machine with the least on it, if that is all replicas that
    /// may be moved.
    fn least_used(&self, now: Secs) -> Option<MachineId> {
        let movable = |task: &TaskId| {
            self.jobs.get(&task.job).is_some_and(|j| {
                let s = j.spec();
                let ripe = j.live.get(&task.index).is_some_and(|l| {
                    l.stop.is_none()
                        && !l.doubt
                        && l.ran_from.is_some_and(|from| now - from > GATHER_AGE_S)
                });
                s.kind == Kind::Service && !s.spread && !s.one_zone && ripe
            })
        };
        let share = |m: &Machine| {
            let t = self.hire.types.iter().find(|t| t.name == m.info.kind)?;
            Some(m.used[0] / t.cpus.max(1e-3))
        };
        self.machines
            .iter()
            .filter(|(_, m)| {
                !m.info.spot
                    && !m.tasks.is_empty()
                    && m.direct.is_none()
                    && m.usable(now, self.facts.report_s)
                    && m.tasks.iter().all(movable)
            })
            .filter_map(|(id, m)| Some((share(m).filter(|s| *s <= GATHER_SHARE)?, id)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Whether all that is on a machine fits on others that hold replicas and
    /// the images.
    fn fits_elsewhere(&self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get(id) else { return false };
        let mut rooms: Vec<(&Machine, [f64; 3])> = self
            .machines
            .iter()
            .filter(|(o, om)| {
                *o != id && !om.info.spot && om.services > 0 && om.usable(now, self.facts.report_s)
            })
            .filter_map(|(_, om)| {
                let t = self.hire.types.iter().find(|t| t.name == om.info.kind)?;
                Some((om, om.free(t)))
            })
            .collect();
        m.tasks.iter().all(|task| {
            let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec()) else { return false };
            let needs = [spec.cpus, spec.gpus, spec.memory_gb];
            let room = rooms.iter_mut().find(|(om, free)| {
                om.has_image(&spec.image)
                    && spec.types.as_ref().is_none_or(|t| t.contains(&om.info.kind))
                    && spec.zone.as_ref().is_none_or(|z| *z == om.info.zone)
                    && (0..3).all(|i| free[i] + 1e-9 >= needs[i])
            });
            let Some((_, free)) = room else { return false };
            (0..3).for_each(|i| free[i] -= needs[i]);
            true
        })
    }

    fn send_release(&mut self, out: &mut Out) {
        let h = &mut self.hire;
        if h.releasing || h.release.is_empty() || !h.afford() {
            return;
        }
        let names: Vec<MachineId> = h.release.iter().take(RELEASE_MAX).cloned().collect();
        h.releasing = true;
        let op = out.cloud(CloudRequest::Release(names.clone()));
        h.pending.insert(op, Pending::Release(names));
    }

    /// Rooms of the machines that are up or on their way.
    fn rooms(&self, now: Secs, without: Option<&MachineId>) -> Vec<Room> {
        let kinds: BTreeMap<&str, &MachineType> =
            self.hire.types.iter().map(|t| (t.name.as_str(), t)).collect();
        let mut rooms = Vec::new();
        for (id, m) in &self.machines {
            if Some(id) == without || !m.usable(now, self.facts.report_s) {
                continue;
            }
            if let Some(t) = kinds.get(m.info.kind.as_str()) {
                rooms.push(Room {
                    at: now,
                    free: m.free(t),
                    spot: m.info.spot,
                    kind: m.info.kind.clone(),
                    zone: m.info.zone.clone(),
                });
            }
        }
        for b in self.hire.booting.values().filter(|b| !b.failed) {
            if let Some(t) = kinds.get(b.kind.as_str())
                && (now - b.since < t.boot_s * 2.0 + 5.0
                    || b.up && now - self.hire.office_at < RENT_AFTER_S * 2.0)
            {
                rooms.push(Room {
                    at: b.since + t.boot_s,
                    free: [t.cpus, t.gpus, t.memory_gb],
                    spot: b.spot,
                    kind: b.kind.clone(),
                    zone: b.zone.clone(),
                });
            }
        }
        rooms
    }

    /// Spare service places wanted: as many as come while a machine boots and
    /// fetches, per class.
    fn warm_wanted(&mut self, now: Secs) -> Vec<(JobSpec, u32)> {
        let boot = self.hire.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let fetch = self.hire.types.iter().map(|t| t.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        let mut wanted = Vec::new();
        for class in self.hire.services.values_mut() {
            class.arrivals.retain(|at| now - at < RATE_WINDOW_S);
            // What waits at the start is a backlog, not a rate.
            let rate = class.arrivals.len() as f64 / RATE_WINDOW_S;
            let lead = boot + class.shape.image_gb / fetch.max(1e-3);
            let count = (rate * lead * WARM_FACTOR).max(WARM_MIN).ceil();
            wanted.push((class.shape.clone(), count as u32));
        }
        wanted
    }

    fn warm_without(&mut self, now: Secs, id: &MachineId) -> bool {
        let mut rooms = self.rooms(now, Some(id));
        let wanted = self.warm_wanted(now);
        wanted.iter().all(|(spec, count)| (0..*count).all(|_| take_room(&mut rooms, spec)))
    }

    /// Rents for what finds no room.
    fn rent(&mut self, now: Secs, out: &mut Out) {
        let early = now - self.hire.office_at < RENT_AFTER_S;
        if early && (!self.machines.is_empty() || !self.hire.booting.is_empty()) {
            return;
        }
        if self.hire.renting > 0 || !self.hire.again.is_empty() || self.hire.types.is_empty() {
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
            let n =
                (0..job.waiting()).filter(|_| book(spec) && !take_room(&mut rooms, spec)).count();
            lacking.push((spec.clone(), n as u32));
        }
        // Room held by arrays on ordinary machines can be had by preemption,
        // so the warm reserve need not stand idle.
        let mut warm_rooms = rooms.clone();
        self.add_preemptable(now, &mut warm_rooms);
        for (spec, count) in self.warm_wanted(now) {
            let n = (0..count).filter(|_| !take_room(&mut warm_rooms, &spec)).count();
            lacking.push((spec, n as u32));
        }
        for job in self.jobs.values().filter(|j| j.spec().kind == Kind::Gang && !j.mistaken()) {
            let spec = job.spec();
            let n =
                (0..job.waiting()).filter(|_| book(spec) && !take_room(&mut rooms, spec)).count();
            lacking.push((spec.clone(), n as u32));
        }
        let late = self.late_tasks(now, &rooms, book);
        lacking.extend(late);
        // What is left of a machine thought of for one job serves the next.
        let mut thought: Vec<Room> = Vec::new();
        let mut plan: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
        for (spec, count) in lacking {
            for left in (1..=count).rev() {
                if take_room(&mut thought, &spec) {
                    continue;
                }
                if thought.len() >= PLAN_MAX {
                    break;
                }
                let Some((room, key)) = self.choose(now, &spec, left) else { break };
                thought.push(room);
                take_room(&mut thought, &spec);
                *plan.entry(key).or_default() += 1;
            }
        }
        for ((kind, zone, spot), count) in plan {
            self.send_rent(kind, zone, spot, count, out);
        }
    }

    /// Array tasks that will be late unless more is rented: waiting tasks are
    /// laid, most pressing job first, onto the CPUs as they come free.
    fn late_tasks(
        &self,
        now: Secs,
        rooms: &[Room],
        mut book: impl FnMut(&JobSpec) -> bool,
    ) -> Vec<(JobSpec, u32)> {
        let ms = |at: Secs| (at.max(now) * 1e3) as u64;
        // One entry a CPU: when it is free.
        let mut cpus: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
        for room in rooms {
            cpus.extend((0..room.free[0].max(0.0) as u32).map(|_| Reverse(ms(room.at))));
        }
        let mut waiting = Vec::new();
        for job in self.jobs.values().filter(|j| j.spec().kind == Kind::Array) {
            let run = job.likely_run();
            let width = job.spec().cpus.ceil().max(1.0) as u32;
            for live in job.live.values() {
                let ends = live.ran_from.unwrap_or(live.since) + run;
                cpus.extend((0..width).map(|_| Reverse(ms(ends))));
            }
            if job.waiting() > 0 && !job.mistaken() {
                let due = job.due().unwrap_or(job.arrived + run * (1.0 + WAVES_MAX));
                waiting.push((due, job, run, width));
            }
        }
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
        let boot = self.hire.types.iter().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        let mut late = Vec::new();
        for (due, job, run, width) in waiting {
            let spec = job.spec();
            let mut count = 0;
            for _ in 0..job.waiting() {
                if !book(spec) {
                    break;
                }
                let taken: Vec<u64> =
                    (0..width).filter_map(|_| cpus.pop().map(|Reverse(at)| at)).collect();
                let whole = taken.len() == width as usize;
                let start = taken.iter().max().map_or(f64::INFINITY, |at| *at as f64 / 1e3);
                let start = if whole { start } else { f64::INFINITY };
                if start + run * RENT_SPREAD > due && start > now + boot {
                    // A machine rented now would start it sooner.
                    count += 1;
                    cpus.extend(taken.into_iter().map(Reverse));
                } else {
                    cpus.extend((0..width).map(|_| Reverse(ms(start + run))));
                }
            }
            late.push((spec.clone(), count));
        }
        late
    }

    fn send_rent(&mut self, kind: String, zone: String, spot: bool, count: u32, out: &mut Out) {
        if !self.hire.afford() {
            return;
        }
        self.hire.renting += 1;
        self.hire.next_request += 1;
        // Term and counter: no controller ever uses this name again.
        let request = format!("r-{}-{}", self.term.0, self.hire.next_request);
        self.log.push(format!(
            "event=rent request={request} type={kind} zone={zone} spot={spot} count={count}"
        ));
        let rent = Rent { request, kind, zone, spot, count: count.min(RENT_MAX) };
        let op = out.cloud(CloudRequest::Rent(rent.clone()));
        self.hire.pending.insert(op, Pending::Rent(rent));
    }

    fn add_preemptable(&self, now: Secs, rooms: &mut [Room]) {
        // `rooms` lists the usable machines first, in the order of `machines`.
        let usable = self.machines.values().filter(|m| {
            m.usable(now, self.facts.report_s)
                && self.hire.types.iter().any(|t| t.name == m.info.kind)
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
    ) -> Option<(Room, (String, String, bool))> {
        let h = &mut self.hire;
        h.no_capacity.retain(|_, until| now < *until);
        h.next_zone += 1;
        let mut best: Option<(f64, usize, &MachineType, String, bool)> = None;
        for t in h.types.iter().filter(|t| type_allows(spec, t)) {
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
                        || h.no_capacity.contains_key(&(t.name.clone(), zone.clone(), spot))
                    {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price } / used;
                    let turn = (i + h.next_zone) % t.zones.len().max(1);
                    if best.as_ref().is_none_or(|b| (price, turn) < (b.0, b.1)) {
                        best = Some((price, turn, t, zone.clone(), spot));
                    }
                }
            }
        }
        let (_, _, t, zone, spot) = best?;
        let free = [t.cpus, t.gpus, t.memory_gb];
        let room =
            Room { at: now + t.boot_s, free, spot, kind: t.name.clone(), zone: zone.clone() };
        Some((room, (t.name.clone(), zone, spot)))
    }

    /// What the spot notices say: tasks that can save are stopped in time, the
    /// others run on; no new ones come.
    pub(crate) fn drain_noticed(&mut self, now: Secs) {
        let mut moves = Vec::new();
        for (id, m) in &self.machines {
            let Some(until) = m.notice else { continue };
            for task in &m.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let spec = job.spec();
                let due = until - now < spec.save_s + self.facts.report_s;
                if spec.checkpoint_s > 0.0 && due {
                    moves.push((id.clone(), task.clone(), spec.save_s));
                }
            }
        }
        for (id, task, save_s) in moves {
            let live = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index));
            if let Some(live) = live.filter(|l| l.stop.is_none()) {
                live.stop = Some(save_s * 2.0);
                if let Some(m) = self.machines.get_mut(&id) {
                    m.push = true;
                }
            }
        }
    }

    /// Takes back a start that never left, e.g. as its machine got a notice.
    pub(crate) fn unplace_noticed(&mut self, now: Secs) {
        let mut back = Vec::new();
        for m in self.machines.values().filter(|m| m.notice.is_some() || m.cordoned) {
            for task in &m.tasks {
                let live = self.jobs.get(&task.job).and_then(|j| j.live.get(&task.index));
                if live.is_some_and(|l| matches!(l.phase, Phase::Placed | Phase::Ready) && !l.doubt)
                {
                    back.push(task.clone());
                }
            }
        }
        for task in back {
            self.over(&task.job, task.index, Outcome::Lost, now);
        }
    }
}

fn per_machine(spec: &JobSpec, t: &MachineType) -> u32 {
    let by = |need: f64, have: f64| {
        if need > 0.0 { (have / need + 1e-9).floor() } else { f64::MAX }
    };
    by(spec.cpus, t.cpus).min(by(spec.gpus, t.gpus)).min(by(spec.memory_gb, t.memory_gb)).min(1e4)
        as u32
}

fn take_room(rooms: &mut [Room], spec: &JobSpec) -> bool {
    let needs = [spec.cpus, spec.gpus, spec.memory_gb];
    let room = rooms
        .iter_mut()
        .filter(|r| {
            (spec.spot || !r.spot)
                && spec.types.as_ref().is_none_or(|t| t.contains(&r.kind))
                && spec.zone.as_ref().is_none_or(|z| *z == r.zone)
                && (0..3).all(|i| r.free[i] + 1e-9 >= needs[i])
        })
        // Spot room first: ordinary room is what services need.
        .min_by_key(|r| (spec.spot && !r.spot, (r.free[0] * 100.0) as i64));
    let Some(room) = room else { return false };
    (0..3).for_each(|i| room.free[i] -= needs[i]);
    true
}
