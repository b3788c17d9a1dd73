//! The fleet's bookkeeping: the cloud's types and list, rentals and releases under
//! way, and machines that nobody expected. What to rent is decided in `rent`,
//! what to return in `give_back`.

use crate::consts::*;
use crate::event::{ActionSink, CloudRequest, CloudResult, OpId, Secs};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::{ListedMachine, ListedState, MachineType, Rent};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A machine that was rented or listed, and hasn't reported.
#[derive(Debug)]
pub(crate) struct Booting {
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) since: Secs,
    pub(crate) listed_at: Option<Secs>,
    /// The cloud says it runs, though it hasn't reported.
    pub(crate) up: bool,
    pub(crate) failed: bool,
}

#[derive(Debug)]
pub(crate) enum Pending {
    Types,
    List,
    Rent(Rent),
    Release(Vec<MachineId>),
}

/// One class of services, as seen lately.
#[derive(Debug)]
pub(crate) struct ServiceClass {
    pub(crate) shape: JobSpec,
    pub(crate) arrivals: Vec<Secs>,
}

/// The fleet's bookkeeping.
#[derive(Debug)]
pub(crate) struct CloudRequests {
    /// Machine types, current prices.
    pub(crate) types: Vec<MachineType>,
    pub(crate) types_asked: bool,
    pub(crate) next_types: Secs,
    pub(crate) next_list: Secs,
    pub(crate) listing: bool,
    pub(crate) list: Vec<ListedMachine>,
    pub(crate) listed_once: bool,
    pub(crate) next_think: Secs,
    pub(crate) booting: BTreeMap<MachineId, Booting>,
    pub(crate) pending: HashMap<OpId, Pending>,
    pub(crate) renting: usize,
    pub(crate) again: Vec<Rent>,
    pub(crate) release: BTreeSet<MachineId>,
    pub(crate) releasing: bool,
    /// Boot times seen lately, as multiples of the usual, by type and zone.
    pub(crate) boots: BTreeMap<(String, String), f64>,
    pub(crate) no_capacity: BTreeMap<(String, String, bool), Secs>,
    pub(crate) next_request: u64,
    pub(crate) next_zone: usize,
    pub(crate) budget: f64,
    pub(crate) refilled: Secs,
    pub(crate) retry_at: Secs,
    pub(crate) services: BTreeMap<String, ServiceClass>,
    pub(crate) next_log: Secs,
    pub(crate) office_at: Secs,
    pub(crate) next_gather: Secs,
    /// CPUs that arrays kept busy on machines that services don't need, lately.
    pub(crate) swap: VecDeque<(Secs, f64)>,
    /// CPUs that waiting arrays want beyond what is free or on its way, lately.
    pub(crate) backlog: VecDeque<(Secs, f64)>,
}

impl CloudRequests {
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
            boots: BTreeMap::new(),
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
            swap: VecDeque::new(),
            backlog: VecDeque::new(),
        }
    }

    /// A machine reported: it is up.
    pub(crate) fn heard(&mut self, now: Secs, id: &MachineId) {
        let Some(b) = self.booting.remove(id) else { return };
        let usual = self.usual_boot(&b.kind);
        if usual > 0.0 && !b.failed {
            let seen = ((now - b.since) / usual).clamp(0.0, BOOT_SLOWEST);
            let factor = self.boots.entry((b.kind, b.zone)).or_insert(1.0);
            *factor += (seen - *factor) * BOOT_WEIGHT;
        }
    }

    fn usual_boot(&self, kind: &str) -> Secs {
        self.types.iter().find(|t| t.name == kind).map_or(0.0, |t| t.boot_s)
    }

    /// What a machine of that type and zone takes to come up, by what was seen
    /// lately.
    pub(crate) fn boot(&self, t: &MachineType, zone: &str) -> Secs {
        let key = (t.name.clone(), zone.to_owned());
        t.boot_s * self.boots.get(&key).copied().unwrap_or(1.0)
    }

    /// The same where it comes up soonest.
    pub(crate) fn boot_anywhere(&self, t: &MachineType) -> Secs {
        t.zones.iter().map(|z| self.boot(t, z)).reduce(f64::min).unwrap_or(t.boot_s)
    }

    /// Machines that are overdue say so before any of them is up: where most are,
    /// the others will be, and the backlog would be rented for again and again.
    pub(crate) fn watch_boots(&mut self, now: Secs) {
        let mut ages: BTreeMap<(String, String), Vec<Secs>> = BTreeMap::new();
        for b in self.booting.values().filter(|b| !b.failed && !b.up) {
            ages.entry((b.kind.clone(), b.zone.clone())).or_default().push(now - b.since);
        }
        for (key, ages) in ages {
            let usual = self.usual_boot(&key.0);
            let factor = self.boots.get(&key).copied().unwrap_or(1.0);
            let overdue = |a: &&Secs| **a > usual * factor * BOOT_SPREAD;
            let late: Vec<Secs> = ages.iter().filter(overdue).copied().collect();
            if usual > 0.0 && late.len() >= BOOTS_LATE && late.len() * 2 > ages.len() {
                let least = late.into_iter().fold(f64::INFINITY, f64::min);
                self.boots.insert(key, (least / usual).min(BOOT_SLOWEST));
            }
        }
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
        class.arrivals.extend((0..spec.tasks.min(ARRIVAL_TASKS_MAX)).map(|_| now));
    }

    pub(crate) fn afford(&mut self) -> bool {
        if self.budget >= 1.0 {
            self.budget -= 1.0;
            true
        } else {
            false
        }
    }
}

impl Leader {
    pub(crate) fn cloud_tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let h = &mut self.cloud_requests;
        let rate = self.facts.cloud_rps * CLOUD_SHARE;
        h.budget = (h.budget + (now - h.refilled) * rate).min(rate);
        h.refilled = now;
        if h.types.is_empty()
            && let Some(types) = &replica.types
        {
            h.types.clone_from(types);
            self.learn_types();
            self.place_due = true;
        }
        let h = &mut self.cloud_requests;
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
            let after = h.list.last().map(|l| l.machine.clone());
            let op = out.cloud(CloudRequest::List { after });
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
            h.watch_boots(now);
            self.return_machines(now);
            self.gather(now);
            self.rent(now, out);
        }
        self.send_release(out);
        self.log_fleet(now);
    }

    fn log_fleet(&mut self, now: Secs) {
        if now < self.cloud_requests.next_log {
            return;
        }
        self.cloud_requests.next_log = now + FLEET_LOG_S;
        let mut parts = Vec::new();
        for spot in [false, true] {
            let of = || self.machines.values().filter(move |m| m.info.spot == spot);
            let total: f64 = of().map(|m| m.size[0]).sum();
            let used: f64 = of().map(|m| m.used[0]).sum();
            let idle = of().filter(|m| m.tasks.is_empty()).count();
            let booting = self.cloud_requests.booting.values().filter(|b| b.spot == spot).count();
            let name = if spot { "spot" } else { "ordinary" };
            parts.push(format!(
                "{name}={} {name}_cpus={total} {name}_used={used:.0} {name}_idle={idle} {name}_booting={booting}",
                of().count()
            ));
        }
        let waiting: u32 = self.jobs.values().map(|j| j.waiting()).sum();
        self.log.push(|| format!("event=fleet {} waiting={waiting}", parts.join(" ")));
    }

    pub(crate) fn cloud_answered(&mut self, now: Secs, op: OpId, result: CloudResult) {
        let Some(pending) = self.cloud_requests.pending.remove(&op) else {
            return;
        };
        let h = &mut self.cloud_requests;
        if matches!(result, CloudResult::Refused | CloudResult::Unknown) {
            h.retry_at = now + CLOUD_RETRY_S;
        }
        match (pending, result) {
            (Pending::Types, CloudResult::Types(types)) => {
                h.types = types;
                h.types_asked = false;
                h.next_types = now + TYPES_EVERY_S;
                self.learn_types();
                self.place_due = true;
            }
            (Pending::Types, _) => h.types_asked = false,
            (Pending::List, CloudResult::List(list)) => {
                h.listing = false;
                let more = list.more && !list.machines.is_empty();
                h.list.extend(list.machines);
                if more {
                    // The next page follows at once.
                    h.next_list = now;
                    return;
                }
                h.next_list = now + LIST_EVERY_S;
                h.listed_once = true;
                let listed = std::mem::take(&mut h.list);
                self.listed(now, listed);
            }
            (Pending::List, _) => {
                h.listing = false;
                h.list.clear();
            }
            (Pending::Rent(rent), CloudResult::Rented(names)) => {
                h.renting -= 1;
                self.log.push(|| {
                    format!("event=rented request={} count={}", rent.request, names.len())
                });
                let h = &mut self.cloud_requests;
                if (names.len() as u32) < rent.count {
                    let key = (rent.kind.clone(), rent.zone.clone(), rent.spot);
                    h.no_capacity.insert(key, now + NO_CAPACITY_S);
                }
                for id in names {
                    if !self.machines.contains_key(&id) && !self.released_machines.contains_key(&id)
                    {
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
        self.cloud_requests.release.remove(id);
        self.cloud_requests.booting.remove(id);
        self.released_machines.insert(id.clone(), now);
        let life = self.facts.list_lag_s * TOMB_LAGS;
        self.released_machines.retain(|_, at| now - *at < life);
        self.lose_tasks(id, now);
        if let Some(m) = self.machines.remove(id) {
            for job in self.jobs.values_mut() {
                job.machines.remove(m.info.number);
            }
            self.writer.machine_gone(id, m.block, now);
        }
        self.place_due = true;
        self.log.push(|| format!("event=released machine={id} term={}", self.term.0));
    }

    fn listed(&mut self, now: Secs, list: Vec<ListedMachine>) {
        for l in list {
            if self.released_machines.contains_key(&l.machine) {
                continue;
            }
            let failed = l.state == ListedState::Failed;
            if let Some(m) = self.machines.get_mut(&l.machine) {
                if failed {
                    // It stopped by itself; the release proves all on it gone.
                    m.cordoned = true;
                    self.cloud_requests.release.insert(l.machine);
                }
                continue;
            }
            let entry = self.cloud_requests.booting.entry(l.machine).or_insert_with(|| Booting {
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

    fn send_release(&mut self, out: &mut ActionSink) {
        let h = &mut self.cloud_requests;
        if h.releasing || h.release.is_empty() || !h.afford() {
            return;
        }
        let names: Vec<MachineId> = h.release.iter().take(RELEASE_MAX).cloned().collect();
        h.releasing = true;
        let op = out.cloud(CloudRequest::Release(names.clone()));
        h.pending.insert(op, Pending::Release(names));
    }
}
