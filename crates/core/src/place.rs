//! Who runs where: the paper's queues, and what the rules add to them.
//!
//! Services go first, in order of rank and arrival; then arrays: thin jobs from
//! the top queue, pilots of wide jobs from the second, sized jobs from the
//! queue that pilot time × tasks picks; queues share by weight, each serves its
//! jobs first-come. What is then idle takes tasks that wait for their pilots,
//! in order of arrival.

use crate::consts::*;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::inheritance::DeadlineAhead;
use crate::jobs::{Job, Live, Phase};
use crate::leader::Leader;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What a pass knows beyond the leader's state.
pub(crate) struct Pass {
    pub(crate) now: Secs,
    pub(crate) usage: BTreeMap<String, [f64; 2]>,
    /// What teams gave up in this pass. It still runs, so it stays in `usage`.
    pub(crate) given: BTreeMap<String, [f64; 2]>,
    /// What services wait for beyond their teams' limits.
    pub(crate) promised: BTreeMap<String, [f64; 2]>,
    /// Usable machines with room, and the one that the pass is about, if only one.
    pub(crate) rooms: BTreeMap<MachineId, [f64; 3]>,
    pub(crate) only: Option<MachineId>,
    /// What found no place in this pass: others alike needn't look.
    pub(crate) failed: HashSet<Shape>,
    /// Places that arrays may still take from work of a lower rank in this pass.
    pub(crate) takes: usize,
}

/// Failed here before, how scarce the room is, the fetch, what stays free: the
/// least is best.
type PlaceScore = (bool, u8, u64, i64);

/// What a task asks of a machine, as far as finding any goes.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    amounts: [u64; 3],
    spot: bool,
    zone: Option<String>,
    types: Option<Vec<String>>,
    image: Option<String>,
    claim: Option<(Claim, Priority, String)>,
}

impl Shape {
    // Tasks whose job's other tasks matter are looked at each by itself.
    pub(crate) fn of(spec: &JobSpec, images: Images, claim: Option<Claim>) -> Option<Self> {
        (!spec.one_zone && !spec.spread).then(|| Self {
            amounts: [spec.cpus.to_bits(), spec.gpus.to_bits(), spec.memory_gb.to_bits()],
            spot: spec.spot,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
            image: (images == Images::Leadership).then(|| spec.image.clone()),
            claim: claim.map(|c| (c, spec.priority, spec.team.clone())),
        })
    }
}

/// On what ground a task may take another's room.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Claim {
    /// It is of a higher rank.
    Rank,
    /// The other is work for spare capacity.
    Spare,
    /// It is within its team's guarantee, and the other's team is beyond its own.
    Guarantee,
}

/// Which machines a task may take, as far as its image goes.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Images {
    /// Those that hold it.
    Leadership,
    /// All, if a fetch is worth it; else those that hold it.
    Worth,
    /// All.
    Any,
}

impl Images {
    /// Whether a machine will do that takes so long to fetch it, seconds.
    pub(crate) fn allow(self, fetch: f64) -> bool {
        match self {
            Self::Leadership => fetch < 0.1,
            Self::Worth | Self::Any => true,
        }
    }
}

/// Who waits, by rank and arrival, and what each queue's arrays hold. Made by
/// each pass over all machines; a machine that comes free in between is filled
/// from it, so that a report costs no look at all jobs.
#[derive(Debug, Default)]
pub(crate) struct QueueSnapshot {
    services: Vec<JobId>,
    arrays: Vec<JobId>,
    used: [f64; QUEUES],
    /// Whether work for spare capacity holds any room.
    spare: bool,
}

/// What arrays ask of an image, and who holds it: CPUs.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Demand {
    pub(crate) waiting: f64,
    pub(crate) holders: f64,
}

/// Whose arrays a turn serves.
#[derive(Clone, Copy, PartialEq)]
enum Whose {
    /// Those within their team's guarantee.
    Guaranteed,
    /// All but what is for spare capacity.
    Usual,
    /// All that is left.
    Spare,
}

/// Which of a job's tasks a queue may serve.
#[derive(Clone, Copy, PartialEq)]
enum Serve {
    Pilots,
    All,
}

impl Leader {
    /// Places what can be placed now, on any machine or only on one.
    pub(crate) fn place(&mut self, now: Secs, only: Option<&MachineId>) {
        if self.cloud_requests.types.is_empty() {
            return;
        }
        // Only machines with room for the smallest task are looked at again:
        // in a full fleet these are few.
        let least = self.least_cpus.min(1e6) - 1e-9;
        let report_s = self.facts.report_s;
        let roomy = |m: &Machine| m.usable(now, report_s) && m.free()[0] >= least;
        let rooms: BTreeMap<MachineId, [f64; 3]> = match only {
            None => self
                .machines
                .iter()
                .filter(|(_, m)| roomy(m))
                .map(|(id, m)| (id.clone(), m.free()))
                .collect(),
            Some(id) => self
                .machines
                .get(id)
                .filter(|m| roomy(m))
                .map(|m| (id.clone(), m.free()))
                .into_iter()
                .collect(),
        };
        if only.is_some() && rooms.is_empty() {
            return;
        }
        if only.is_none() {
            self.weigh_images(now);
            self.line_up();
        }
        let mut pass = Pass {
            now,
            usage: self.team_usage(),
            given: BTreeMap::new(),
            promised: BTreeMap::new(),
            rooms,
            only: only.cloned(),
            failed: HashSet::new(),
            takes: if self.queue_snapshot.spare { RANK_TAKES } else { 0 },
        };
        self.place_services(&mut pass);
        if only.is_none() {
            self.place_gangs(&mut pass);
        }
        self.place_overdue(&mut pass);
        // First those within their team's guarantee, then all, and last what runs
        // when nothing else wants the room.
        let guarantees = self.facts.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        let turns = [Whose::Guaranteed, Whose::Usual, Whose::Spare];
        for whose in turns.into_iter().filter(|w| *w != Whose::Guaranteed || guarantees) {
            // Where machines are short, fetches are what they are short for:
            // whoever finds its image goes before whoever must fetch it.
            for images in [Images::Leadership, Images::Worth] {
                self.place_arrays(&mut pass, whose, images);
            }
        }
        if pass.takes == 0 && self.queue_snapshot.spare && only.is_none() {
            self.place_due = true;
        }
        if only.is_none() {
            self.backlog = self.jobs.values().any(|j| j.waiting() > 0);
        }
    }

    /// Looks all jobs over for those that wait.
    fn line_up(&mut self) {
        let mut arrays = Vec::new();
        let mut used = [0.0f64; QUEUES];
        let mut spare = false;
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.spec().kind == Kind::Array) {
            let q = job.queue.map_or(PILOT_QUEUE, usize::from);
            used[q] += job.live.len() as f64 * job.spec().cpus.max(1e-3);
            spare |= job.spare() && !job.live.is_empty();
            if job.waiting() > 0 {
                arrays.push(id.clone());
            }
        }
        let services = self.waiting_by_rank(Kind::Service);
        self.queue_snapshot = QueueSnapshot { services, arrays, used, spare };
    }

    /// Counts, for each image, what waits for it and who holds or fetches it.
    fn weigh_images(&mut self, now: Secs) {
        let mut images: HashMap<String, Demand> = HashMap::new();
        for job in self.jobs.values().filter(|j| j.spec().kind == Kind::Array) {
            let waiting = f64::from(job.waiting()) * job.spec().cpus;
            if waiting > 0.0 {
                match images.get_mut(&job.spec().image) {
                    Some(d) => d.waiting += waiting,
                    None => {
                        let demand = Demand { waiting, holders: 0.0 };
                        images.insert(job.spec().image.clone(), demand);
                    }
                }
            }
        }
        if !images.is_empty() {
            for m in self.machines.values().filter(|m| m.usable(now, self.facts.report_s)) {
                for image in m.images.iter().map(|(i, _)| i).chain(m.fetching.keys()) {
                    if let Some(d) = images.get_mut(image) {
                        d.holders += m.size[0];
                    }
                }
            }
        }
        self.images = images;
    }

    /// Whether a task of the job should fetch its image on one more machine:
    /// not while those that hold it come free sooner than the fetch would end.
    /// (In a full fleet half of all starts once fetched, and a quarter of the
    /// machines' time went into it.)
    pub(crate) fn worth_fetch(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let spec = job.spec();
        let Some(demand) = self.images.get(&spec.image) else { return true };
        let rate = self.cloud_requests.types.iter().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
        let fetch = spec.image_gb / rate.max(1e-3);
        let come_free = demand.holders * fetch / job.likely_run().max(0.1);
        demand.waiting > come_free * HOLDERS_FREE_SHARE
    }

    fn place_services(&mut self, pass: &mut Pass) {
        for id in self.queue_snapshot.services.clone() {
            while let Some(n) = self.jobs.get_mut(&id).and_then(|j| j.next_task(pass.now)) {
                // A machine with the image at once, be it by preemption; then
                // wherever the fetch is shortest.
                // A machine that came free by itself is taken only if it holds
                // the image: the others are looked at within the next pass, and
                // in a full fleet most services once fetched on what came free
                // while machines with their image ran arrays.
                let alone = pass.only.is_some();
                let placed = self.place_task(pass, &id, n, Images::Leadership)
                    || !alone
                        && (self.preempt_for(pass, &id, n, Images::Leadership, Claim::Rank)
                            || self.place_task(pass, &id, n, Images::Any)
                            || self.preempt_for(pass, &id, n, Images::Any, Claim::Rank));
                if !placed {
                    let left = self.jobs.get(&id).map_or(0, |j| j.waiting());
                    self.make_quota(pass, &id, left);
                    break;
                }
            }
        }
    }

    /// Jobs of a kind that have tasks waiting, by rank and arrival.
    pub(crate) fn waiting_by_rank(&self, kind: Kind) -> Vec<JobId> {
        let mut ids: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.spec().kind == kind && j.waiting() > 0)
            .map(|(id, j)| (Reverse(j.priority()), j.arrived, id.clone()))
            .collect();
        ids.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        ids.into_iter().map(|(_, _, id)| id).collect()
    }

    /// One task of each job that waited too long for its first.
    fn place_overdue(&mut self, pass: &mut Pass) {
        let mut ids: Vec<(Secs, JobId)> = self
            .queue_snapshot
            .arrays
            .iter()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, j)| {
                j.started.is_empty() && pass.now - j.arrived > BEGIN_LATEST_S && j.waiting() > 0
            })
            .map(|(id, j)| (j.arrived, id.clone()))
            .collect();
        ids.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in ids {
            let serve = match self.jobs.get(&id).map(|j| j.queue) {
                Some(None) => Serve::Pilots,
                _ => Serve::All,
            };
            self.place_next(pass, &id, serve, false, Images::Any);
        }
    }

    fn place_arrays(&mut self, pass: &mut Pass, whose: Whose, images: Images) {
        let now = pass.now;
        let guaranteed = whose == Whose::Guaranteed;
        let mut queues: Vec<Vec<(u8, Secs, JobId, Serve)>> = vec![Vec::new(); QUEUES];
        let mut unsized_jobs = Vec::new();
        // Without preemption nothing can be placed where there is no room.
        let stops = (guaranteed || whose == Whose::Usual && pass.takes > 0)
            && images != Images::Leadership
            && pass.only.is_none();
        if pass.rooms.is_empty() && !stops {
            return;
        }
        for id in &self.queue_snapshot.arrays {
            let Some(job) = self.jobs.get(id) else { continue };
            let q = job.queue.map_or(PILOT_QUEUE, usize::from);
            if job.waiting() == 0
                || guaranteed && !self.within_guarantee(pass, job)
                || whose == Whose::Usual && job.spare()
            {
                continue;
            }
            // A rank above the usual goes first in its queue.
            let order = self.press(job, now);
            let rank = 3 - job.priority() as u8;
            let serve = if job.queue.is_none() { Serve::Pilots } else { Serve::All };
            // Sized by its work, a wide job waits behind all smaller ones; one
            // whose time runs out moves up, or its deadline means nothing.
            let q = if order == 0 { 0 } else { q };
            queues[q].push((rank * 3 + order, job.arrived, id.clone(), serve));
            if serve == Serve::Pilots {
                unsized_jobs.push((rank, job.arrived, id.clone()));
            }
        }
        for q in &mut queues {
            // Kept reversed: the head is popped from the end.
            q.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(b.2.cmp(&a.2)));
        }
        loop {
            let weight = |q: usize| QUEUE_GROWTH.powi(-(q as i32));
            let next = (0..QUEUES).filter(|&q| !queues[q].is_empty()).min_by(|&a, &b| {
                let used = &self.queue_snapshot.used;
                (used[a] / weight(a)).total_cmp(&(used[b] / weight(b)))
            });
            let Some(q) = next.filter(|_| stops || !pass.rooms.is_empty()) else { break };
            let Some((_, _, id, serve)) = queues[q].last().cloned() else {
                break;
            };
            match self.place_next(pass, &id, serve, guaranteed, images) {
                Some(cpus) => self.queue_snapshot.used[q] += cpus,
                None => {
                    queues[q].pop();
                }
            }
        }
        unsized_jobs.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, _, id) in unsized_jobs {
            while self.place_next(pass, &id, Serve::All, guaranteed, images).is_some() {}
        }
    }

    fn place_next(
        &mut self,
        pass: &mut Pass,
        id: &JobId,
        serve: Serve,
        guaranteed: bool,
        images: Images,
    ) -> Option<f64> {
        let job = self.jobs.get(id)?;
        if guaranteed && !self.within_guarantee(pass, job) {
            return None;
        }
        let job = self.jobs.get_mut(id)?;
        let n = match serve {
            Serve::Pilots => job.next_pilot(pass.now)?,
            Serve::All => job.next_task(pass.now)?,
        };
        let cpus = job.spec().cpus.max(1e-3);
        // Patience with images has an end, or a rare one would never be fetched.
        let waited = pass.now - job.arrived > IMAGE_PATIENCE_S;
        let last = images != Images::Leadership;
        let images = match images {
            Images::Leadership if !waited => Images::Leadership,
            Images::Any => Images::Any,
            _ if self.worth_fetch(id) => Images::Any,
            _ => Images::Leadership,
        };
        if self.place_task(pass, id, n, images) {
            return Some(cpus);
        }
        if !last {
            return None;
        }
        // Work for spare capacity gives way to all other at once: where it was
        // left to run on, others waited for minutes beside it.
        if pass.takes > 0 && !self.jobs.get(id)?.spare() {
            let taken = self.preempt_for(pass, id, n, images, Claim::Spare);
            if taken {
                pass.takes -= 1;
                return Some(cpus);
            }
        }
        let patient = pass.now - self.jobs.get(id)?.arrived < GUARANTEE_PATIENCE_S;
        if !guaranteed || patient {
            return None;
        }
        let given = self.preempt_for(pass, id, n, Images::Leadership, Claim::Guarantee);
        given.then_some(cpus)
    }

    /// How a job's deadline presses: 0 if it can be met but not for long, 1 if
    /// there is time (or none is set), 2 if it is missed whatever is done, so
    /// that it takes no other along.
    fn press(&self, job: &Job, now: Secs) -> u8 {
        let run = job.likely_run();
        if let Some(deadline) = job.inherited_deadline() {
            return press_of_inherited(deadline, now + run);
        }
        let Some(deadline) = job.spec().deadline_s else { return 1 };
        let slack = |times: f64| job.arrived + deadline * times - now - run;
        let aims = self.facts.deadlines.iter().filter(|a| a.class == job.spec().class);
        let mut slacks: Vec<f64> = aims.map(|a| slack(a.times)).collect();
        if slacks.is_empty() {
            slacks.push(slack(1.0));
        }
        // Late already, it should still be done before an aim on that is missed.
        let finishes = self.facts.finishes.iter().filter(|a| a.class == job.spec().class);
        let mut lefts = finishes.map(|a| job.arrived + a.within_s - now - run * RUN_SPREAD);
        if lefts.any(|left| (0.0..FINISH_SLACK_S).contains(&left)) {
            return 0;
        }
        match slacks.into_iter().filter(|s| *s >= 0.0).min_by(f64::total_cmp) {
            None if now - job.arrived > HOPELESS_LAST_S => 1,
            None => 2,
            // Its last task takes longer than the mean.
            Some(s) if s - run * (RUN_SPREAD - 1.0) < URGENT_SLACK_S => 0,
            Some(_) => 1,
        }
    }

    /// Whether one more task of the job stays within its team's guarantee.
    fn within_guarantee(&self, pass: &Pass, job: &Job) -> bool {
        let spec = job.spec();
        let Some(team) = self.facts.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let used = pass.usage.get(&spec.team).copied().unwrap_or_default();
        used[0] + spec.cpus <= team.cpus + 1e-9 && used[1] + spec.gpus <= team.gpus + 1e-9
    }

    pub(crate) fn within_limit(&self, pass: &Pass, spec: &JobSpec) -> bool {
        let Some(team) = self.facts.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let mut used = pass.usage.get(&spec.team).copied().unwrap_or_default();
        if spec.kind == Kind::Array
            && let Some(promised) = pass.promised.get(&spec.team)
        {
            // What services wait for isn't taken again by the arrays stopped
            // for them.
            (0..2).for_each(|i| used[i] += promised[i]);
        }
        let over = |have: f64, more: f64, limit: f64| limit > 0.0 && have + more > limit + 1e-9;
        !over(used[0], spec.cpus, team.cpus_max) && !over(used[1], spec.gpus, team.gpus_max)
    }

    /// Whether a task of the job may start on a machine as far as type, zone
    /// and kind go, given the job's other tasks.
    pub(crate) fn allowed(&self, job: &Job, m: &Machine) -> bool {
        let spec = job.spec();
        let info = &m.info;
        if info.spot && !spec.spot
            || spec.zone.as_ref().is_some_and(|z| *z != info.zone)
            || spec.types.as_ref().is_some_and(|t| !t.contains(&info.kind))
        {
            return false;
        }
        if !spec.one_zone && !spec.spread {
            return true;
        }
        // Tasks that may run in places unknown: no promise about zones.
        if !job.maybe_running.is_empty() {
            return false;
        }
        let zone_of = |l: &Live| self.machines.get(&l.machine).map(|m| m.info.zone.as_str());
        let here = job.live.values().filter(|l| zone_of(l) == Some(&info.zone)).count();
        if spec.one_zone && here != job.live.len() {
            return false;
        }
        !spec.spread || (here as u32) < spec.tasks.div_ceil(2)
    }

    /// Places one task on the best machine with room.
    fn place_task(&mut self, pass: &mut Pass, id: &JobId, n: u32, images: Images) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = job.spec();
        if !self.within_limit(pass, spec) {
            return false;
        }
        let shape = Shape::of(spec, images, None);
        if shape.as_ref().is_some_and(|s| pass.failed.contains(s)) {
            return false;
        }
        let task = TaskId { job: id.clone(), index: n };
        // Where an ended attempt of the task is still listed it would be refused. It is cleared
        // within seconds, once no start of it is in doubt any more.
        let mut listed = false;
        let mut best: Option<(PlaceScore, &MachineId)> = None;
        for (mid, free) in &pass.rooms {
            if !fits(spec, free) {
                continue;
            }
            let Some(m) = self.machines.get(mid).filter(|m| self.allowed(job, m)) else {
                continue;
            };
            // Work for spare capacity holds no ordinary machine by itself, but for
            // its beginning.
            let alone = m.tasks.is_empty() || m.spare_since.is_some();
            if alone && !m.info.spot && job.cheap_only(pass.now) && !job.started.is_empty() {
                continue;
            }
            if m.exited.keys().any(|(e, _)| *e == task) {
                listed = true;
                continue;
            }
            // First machines on which the job didn't fail, with the image (or
            // quickest to fetch it), then the kind that is cheapest to use
            // up, then the fullest, so that idle machines can be returned.
            let fetch = m.fetch_time(&spec.image, spec.image_gb, pass.now);
            if !images.allow(fetch) {
                continue;
            }
            let fetch = (fetch * 10.0) as u64;
            // An ordinary machine that holds a service stays anyway, so its room
            // costs nothing; then spot, then what could be returned.
            let scarce = match (m.services > 0, m.info.spot) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            let score = (job.avoids(mid), scarce, fetch, (free[0] * 100.0) as i64);
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, mid));
            }
        }
        let Some(machine) = best.map(|(_, mid)| mid.clone()) else {
            if !listed {
                pass.failed.extend(shape);
            }
            return false;
        };
        let attempt = self.new_attempt();
        self.put(pass, id, n, &machine, attempt);
        true
    }

    pub(crate) fn new_attempt(&mut self) -> Attempt {
        self.next_attempt += 1;
        Attempt::new(self.term, self.next_attempt)
    }

    pub(crate) fn put(
        &mut self,
        pass: &mut Pass,
        id: &JobId,
        n: u32,
        machine: &MachineId,
        attempt: Attempt,
    ) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        if m.info.number == 0 {
            self.next_number += 1;
            m.info.number = self.next_number;
        }
        let number = m.info.number;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let live = Live {
            machine: machine.clone(),
            attempt,
            phase: Phase::Placed,
            since: pass.now,
            ran_from: None,
            doubt: false,
            stop: None,
            sent: None,
            adopted: false,
        };
        let new = !job.start_recorded(n, number);
        job.place(n, live, number);
        let spec = job.record.spec.clone();
        let used = pass.usage.entry(spec.team.clone()).or_default();
        used[0] += spec.cpus;
        used[1] += spec.gpus;
        if new {
            self.writer.touch_task(id, n, pass.now, true);
        }
        if spec.kind == Kind::Array
            && let Some(d) = self.images.get_mut(&spec.image)
        {
            d.waiting -= spec.cpus;
        }
        self.attach(id, n, machine);
        if let Some(m) = self.machines.get_mut(machine) {
            m.push = true;
            let fetch = m.fetch_time(&spec.image, spec.image_gb, pass.now);
            self.log.push(|| format!(
                "event=place task={id}/{n} attempt={} machine={machine} image={} fetch_s={fetch:.1} term={}",
                attempt.0, spec.image, self.term.0
            ));
            if m.expect_image(&spec.image, spec.image_gb, pass.now)
                && let Some(d) = self.images.get_mut(&spec.image)
            {
                d.holders += m.size[0];
            }
            self.writer.want_machine(machine, m, pass.now);
            let free = m.free();
            if free[0] + 1e-9 >= self.least_cpus {
                pass.rooms.insert(machine.clone(), free);
            } else {
                pass.rooms.remove(machine);
            }
        }
    }
}

pub(crate) fn fits(spec: &JobSpec, free: &[f64; 3]) -> bool {
    spec.cpus <= free[0] + 1e-9 && spec.gpus <= free[1] + 1e-9 && spec.memory_gb <= free[2] + 1e-9
}

/// How the deadline of the jobs after it presses a job that would be done by `done` if it
/// started now; see [`Leader::press`]. Each stage to come needs some slack of its own.
fn press_of_inherited(deadline: DeadlineAhead, done: Secs) -> u8 {
    let slack = if done <= deadline.due { deadline.due - done } else { deadline.latest - done };
    if slack < 0.0 {
        // Past all that the jobs after it could still meet: no sooner than its turn.
        return 1;
    }
    u8::from(slack >= URGENT_SLACK_S * f64::from(deadline.stages + 1))
}
