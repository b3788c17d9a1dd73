//! The cloud and its workers.

use crate::cbor::{decode, encode, i, map, t, V};
use crate::http::{serve, Client, Reply};
use crate::util::{note, now, sleep, Rng};
use crate::world::{Site, World};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A machine type.
#[derive(Clone)]
pub struct Build {
    pub name: &'static str,
    pub vcpus: f64,
    pub mem: f64,
    pub price: f64,
    pub fetch: f64,
    pub startup: f64,
}

/// The deployment as the fleet sees it.
#[derive(Clone)]
pub struct Plan {
    pub nodes: Vec<SocketAddr>,
    pub builds: Vec<Build>,
    pub quarters: Vec<&'static str>,
    /// Machines of each type, zone and kind that the cloud has.
    pub ordinary: usize,
    pub spot: usize,
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
    /// Boot times, as multiples of `startup`.
    pub boot: (f64, f64),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Pulling,
    Running,
    Flushing(f64),
    Ended(&'static str, bool),
}

struct Task {
    stage: Stage,
    ends: f64,
}

pub struct Machine {
    pub name: String,
    pub site: Site,
    build: Build,
    addr: SocketAddr,
    shift: u64,
    tally: u64,
    baton: u64,
    renewed: f64,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, f64>,
    results: BTreeSet<String>,
    changed: bool,
    pub dead: bool,
    /// Every task fails on it after a second.
    pub faulty: bool,
}

pub struct Fleet {
    pub world: Arc<World>,
    pub plan: Mutex<Plan>,
    pub machines: Mutex<BTreeMap<String, Arc<Mutex<Machine>>>>,
    /// Machines in the cloud's books: name, site, rented at, up at, gone at.
    books: Mutex<Vec<(String, Site, f64, f64, Option<f64>)>>,
    hires: Mutex<BTreeMap<String, (u16, Vec<u8>)>>,
    rng: Mutex<Rng>,
    /// Called with the machine and a direct command before it is executed.
    pub on_direct: Mutex<Option<Box<dyn Fn(&str, &V) + Send>>>,
}

impl Fleet {
    pub fn start(world: Arc<World>, plan: Plan, seed: u64) -> (Arc<Self>, SocketAddr) {
        let fleet = Arc::new(Self {
            world,
            plan: Mutex::new(plan),
            machines: Mutex::default(),
            books: Mutex::default(),
            hires: Mutex::default(),
            rng: Mutex::new(Rng::new(seed ^ 1234)),
            on_direct: Mutex::new(None),
        });
        let f = fleet.clone();
        let addr = serve(move |m, p, b| f.clone().cloud(m, p, b));
        (fleet, addr)
    }

    fn rand(&self, a: f64, b: f64) -> f64 {
        self.rng.lock().unwrap().between(a, b)
    }

    fn cloud(self: Arc<Self>, method: &str, path: &str, body: &[u8]) -> Reply {
        sleep(0.03);
        let plan = self.plan.lock().unwrap().clone();
        if path == "/flavors" {
            let quarters = V::List(plan.quarters.iter().map(|q| t(q)).collect());
            let builds = plan.builds.iter().map(|b| {
                map([
                    ("sku", t(b.name)),
                    ("vcpus", V::Float(b.vcpus)),
                    ("cards", V::Float(0.0)),
                    ("mem_gb", V::Float(b.mem)),
                    ("cache_gb", V::Float(60.0)),
                    ("fetch_gb_per_s", V::Float(b.fetch)),
                    ("price", V::Float(b.price)),
                    ("spot_price", V::Float(b.price * 0.42)),
                    ("startup_s", V::Float(b.startup)),
                    ("quarters", quarters.clone()),
                ])
            });
            return Some((200, encode(&map([("builds", V::List(builds.collect()))]))));
        }
        if (method, path) == ("POST", "/hosts") {
            let r = decode(body)?;
            return Some(self.hire(&plan, &r));
        }
        if (method, path) == ("POST", "/hosts/release") {
            let r = decode(body)?;
            for name in r.list("barrows") {
                if let V::Text(name) = name {
                    self.gone(name, "returned");
                }
            }
            return Some((200, encode(&map([]))));
        }
        if path.starts_with("/hosts?") {
            let q = |n: &str| {
                path.split(['?', '&'])
                    .find_map(|p| p.strip_prefix(n)?.strip_prefix('=').map(str::to_owned))
            };
            let after = q("after").unwrap_or_default();
            let limit: usize = q("limit").and_then(|l| l.parse().ok()).unwrap_or(500);
            let as_of = now() - plan.list_lag_s * self.rand(0.8, 1.5);
            let books = self.books.lock().unwrap();
            let mut rows: Vec<V> = Vec::new();
            let mut more = false;
            for (name, site, rented, up, gone) in books.iter() {
                if *rented > as_of || gone.is_some_and(|g| g <= as_of) || *name <= after {
                    continue;
                }
                if rows.len() >= limit.min(500) {
                    more = true;
                    break;
                }
                let stage = if as_of >= *up { "running" } else { "starting" };
                rows.push(map([
                    ("ref", t(name)),
                    ("addr", t("127.0.0.1:1")),
                    ("build", t(&site.build)),
                    ("quarter", t(&site.quarter)),
                    ("loaners", V::Bool(site.loaners)),
                    ("stage", t(stage)),
                    ("age_s", V::Float(as_of - rented)),
                ]));
            }
            return Some((
                200,
                encode(&map([("barrows", V::List(rows)), ("truncated", V::Bool(more))])),
            ));
        }
        Some((404, Vec::new()))
    }

    fn hire(self: &Arc<Self>, plan: &Plan, r: &V) -> (u16, Vec<u8>) {
        let name = r.str("hire").unwrap_or("").to_owned();
        let mut hires = self.hires.lock().unwrap();
        if let Some(answer) = hires.get(&name) {
            return answer.clone();
        }
        let site = Site {
            build: r.str("build").unwrap_or("").into(),
            quarter: r.str("quarter").unwrap_or("").into(),
            loaners: r.flag("loaners"),
        };
        let Some(build) = plan.builds.iter().find(|b| b.name == site.build) else {
            return (400, Vec::new());
        };
        let mut books = self.books.lock().unwrap();
        let used = books
            .iter()
            .filter(|b| {
                b.4.is_none()
                    && b.1.build == site.build
                    && b.1.quarter == site.quarter
                    && b.1.loaners == site.loaners
            })
            .count();
        let most = if site.loaners { plan.spot } else { plan.ordinary };
        let count =
            (r.int("how_many").unwrap_or(1) as usize).min(50).min(most.saturating_sub(used));
        if count == 0 {
            return (503, encode(&map([("error", t("no capacity"))])));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let machine = format!("n-{:06}", books.len() + 1);
            let boot = build.startup * self.rand(plan.boot.0, plan.boot.1);
            books.push((machine.clone(), site.clone(), now(), now() + boot, None));
            names.push(t(&machine));
            note(&format!("cloud: {machine} hired as {name}: {site:?}, up in {boot:.1} s"));
            let (f, s, b) = (self.clone(), site.clone(), build.clone());
            thread::spawn(move || {
                sleep(boot);
                f.boot(machine, s, b);
            });
        }
        let answer = (200, encode(&map([("barrows", V::List(names))])));
        hires.insert(name, answer.clone());
        answer
    }

    /// A machine is gone with all that is on it.
    pub fn gone(&self, name: &str, why: &str) {
        let mut books = self.books.lock().unwrap();
        if let Some(row) = books.iter_mut().find(|r| r.0 == name && r.4.is_none()) {
            row.4 = Some(now());
            note(&format!("cloud: {name} is gone: {why}"));
        }
        drop(books);
        let machine = self.machines.lock().unwrap().remove(name);
        if let Some(m) = machine {
            m.lock().unwrap().dead = true;
        }
        self.world.machine_gone(name);
    }

    pub fn machine(&self, name: &str) -> Option<Arc<Mutex<Machine>>> {
        self.machines.lock().unwrap().get(name).cloned()
    }
    /// The machine that a task is on.
    pub fn holder(&self, piece: &str) -> Option<String> {
        let s = self.world.seen.lock().unwrap();
        s.on.keys().find(|(p, _)| p == piece).map(|(_, m)| m.clone())
    }

    fn boot(self: Arc<Self>, name: String, site: Site, build: Build) {
        if self.books.lock().unwrap().iter().any(|r| r.0 == name && r.4.is_some()) {
            return;
        }
        self.world.seen.lock().unwrap().sites.insert(name.clone(), site.clone());
        let machine = Arc::new(Mutex::new(Machine {
            name: name.clone(),
            site,
            build,
            addr: ([127, 0, 0, 1], 1).into(),
            shift: 1,
            tally: 0,
            baton: 0,
            renewed: now(),
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            results: BTreeSet::new(),
            changed: false,
            dead: false,
            faulty: false,
        }));
        let (f, m) = (self.clone(), machine.clone());
        let addr = serve(move |_, path, body| f.clone().direct(&m, path, body));
        machine.lock().unwrap().addr = addr;
        self.machines.lock().unwrap().insert(name.clone(), machine.clone());
        note(&format!("fleet: {name} is up at {addr}"));
        let (f, m) = (self.clone(), machine.clone());
        thread::spawn(move || loop {
            sleep(0.02);
            let mut m = m.lock().unwrap();
            if m.dead {
                return;
            }
            m.advance(&f);
        });
        self.report(&machine);
    }

    fn direct(self: Arc<Self>, machine: &Arc<Mutex<Machine>>, path: &str, body: &[u8]) -> Reply {
        let name = machine.lock().unwrap().name.clone();
        if path == "/show" {
            let mut m = machine.lock().unwrap();
            return (!m.dead).then(|| (200, encode(&m.view(&self))));
        }
        let orders = decode(body)?;
        if let Some(f) = &*self.on_direct.lock().unwrap() {
            f(&name, &orders);
        }
        let (status, body) = self.execute_direct(machine, &orders);
        (status != 0).then_some((status, body))
    }

    /// Executes a direct command, or a copy of one. Status 0: the machine is gone.
    pub fn execute_direct(&self, machine: &Arc<Mutex<Machine>>, orders: &V) -> (u16, Vec<u8>) {
        let mut m = machine.lock().unwrap();
        if m.dead {
            return (0, Vec::new());
        }
        let (Some(baton), Some(shift)) = (orders.int("baton"), orders.int("shift")) else {
            return (400, Vec::new());
        };
        m.advance(self);
        let good = baton >= m.baton && shift == m.shift;
        if good {
            m.baton = baton;
            m.execute(self, orders.list("orders"));
        }
        (if good { 200 } else { 409 }, encode(&m.view(self)))
    }

    /// Reports until the machine is gone.
    fn report(self: &Arc<Self>, machine: &Arc<Mutex<Machine>>) {
        let (nodes, every, lease) = {
            let p = self.plan.lock().unwrap();
            (p.nodes.clone(), p.report_s, p.lease_s)
        };
        let mut at = self.rng.lock().unwrap().below(nodes.len());
        let mut client = Client::default();
        let mut next = 0.0;
        let mut last = -1.0;
        let mut baton_noted = (0, 0.0);
        loop {
            sleep(0.02);
            let mut m = machine.lock().unwrap();
            if m.dead {
                return;
            }
            m.advance(self);
            if m.baton > baton_noted.0 && now() > baton_noted.1 + lease / 2.0 {
                baton_noted = (m.baton, now());
                m.changed = true;
            }
            let due = now() >= next || m.changed && now() >= last + 0.5;
            if !due {
                continue;
            }
            m.changed = false;
            let view = m.view(self);
            let body = encode(&view);
            let shift = m.shift;
            drop(m);
            last = now();
            next = last + every * self.rand(0.75, 1.25);
            let sent = now();
            let answer = client.call(nodes[at], "POST", "/hello", &body, Duration::from_secs(4));
            let mut m = machine.lock().unwrap();
            if m.dead {
                return;
            }
            match answer {
                Some(a) if a.status == 200 => {
                    m.advance(self);
                    let Some(v) = decode(&a.body) else { continue };
                    let baton = v.int("baton").unwrap_or(0);
                    // An answer that comes 4 s late is dropped.
                    if shift == m.shift && baton >= m.baton && baton > 0 && now() - sent < 4.0 {
                        m.baton = baton;
                        m.renewed = m.renewed.max(sent);
                        m.execute(self, v.list("orders"));
                    }
                }
                Some(a) if a.status == 421 => {
                    let named = decode(&a.body).and_then(|v| v.str("foreman").map(str::to_owned));
                    let to = named.and_then(|n| n.rsplit('-').next()?.parse::<usize>().ok());
                    match to.filter(|to| *to != at && *to < nodes.len()) {
                        Some(to) => {
                            at = to;
                            next = now() + self.rand(0.0, 0.5);
                        }
                        None => {
                            at = (at + 1) % nodes.len();
                            next = now() + 1.0;
                        }
                    }
                    m.changed = false;
                }
                _ => {
                    at = (at + 1) % nodes.len();
                    next = now() + 1.0;
                    m.changed = false;
                }
            }
        }
    }
}

impl Machine {
    /// From now on every task fails on the machine after a second.
    pub fn fail(&mut self) {
        self.faulty = true;
        self.tasks.values_mut().for_each(|task| task.ends = task.ends.min(now() + 1.0));
    }

    /// The machine starts again under its name: everything on it is gone, and its worker is new.
    pub fn restart(&mut self, world: &World) {
        for ((piece, _), _) in std::mem::take(&mut self.tasks) {
            world.end(&piece, &self.name, "restart");
        }
        self.results.clear();
        (self.shift, self.tally, self.baton) = (1, 0, 0);
        self.renewed = now();
        self.changed = true;
        note(&format!("fleet: {} starts again", self.name));
    }

    fn free(&self, world: &World) -> (f64, f64) {
        let s = world.seen.lock().unwrap();
        let used = self.tasks.iter().filter(|(_, t)| !matches!(t.stage, Stage::Ended(..)));
        used.fold((self.build.vcpus, self.build.mem), |(c, m), ((piece, _), _)| {
            let job = s.jobs.get(piece.rsplit_once('/').map_or("", |p| p.0));
            job.map_or((c, m), |j| (c - j.vcpus, m - j.mem))
        })
    }

    /// Ends the session once its lease is over.
    fn expire(&mut self, fleet: &Fleet) {
        let lease = fleet.plan.lock().unwrap().lease_s;
        if now() - self.renewed > lease {
            note(&format!("fleet: lease of {} ends, session {}", self.name, self.shift));
            for ((piece, _), task) in std::mem::take(&mut self.tasks) {
                if !matches!(task.stage, Stage::Ended(..)) {
                    fleet.world.end(&piece, &self.name, "lease");
                }
            }
            self.shift += 1;
            self.renewed = now();
            self.changed = true;
        }
    }

    /// Applies the time that has passed.
    fn advance(&mut self, fleet: &Fleet) {
        self.expire(fleet);
        let name = self.name.clone();
        let images = self.images.clone();
        let faulty = self.faulty;
        for ((piece, attempt), task) in &mut self.tasks {
            let id = piece.rsplit_once('/').map_or("", |p| p.0);
            let Some(job) = fleet.world.seen.lock().unwrap().jobs.get(id).cloned() else {
                continue;
            };
            if task.stage == Stage::Pulling && images.get(&job.image).is_some_and(|at| now() >= *at)
            {
                self.changed = true;
                fleet.world.begin(piece, &name, *attempt);
                task.stage = Stage::Running;
                let fails = job.broken || faulty;
                let run = if fails { 1.0 } else { job.run };
                task.ends = if job.service && !fails { f64::INFINITY } else { now() + run };
                if self.results.contains(piece) {
                    task.ends = now();
                }
            }
            if task.stage == Stage::Running && now() >= task.ends {
                self.changed = true;
                let why = if job.broken || faulty { "error" } else { "done" };
                task.stage = Stage::Ended(why, false);
                fleet.world.end(piece, &name, why);
                if why == "done" {
                    self.results.insert(piece.clone());
                }
            }
            if matches!(task.stage, Stage::Flushing(until) if now() >= until) {
                self.changed = true;
                task.stage = Stage::Ended("stopped", true);
                fleet.world.end(piece, &name, "stopped, saved");
            }
        }
    }

    fn view(&mut self, fleet: &Fleet) -> V {
        self.advance(fleet);
        self.tally += 1;
        let pieces = self.tasks.iter().map(|((piece, attempt), task)| {
            let mut m = vec![(t("piece"), t(piece)), (t("try"), i(*attempt))];
            let stage = match &task.stage {
                Stage::Pulling => "pulling",
                Stage::Running => "running",
                Stage::Flushing(_) => "flushing",
                Stage::Ended(why, kept) => {
                    m.push((t("cause"), t(why)));
                    if *kept {
                        m.push((t("kept"), V::Bool(true)));
                    }
                    "ended"
                }
            };
            m.push((t("stage"), t(stage)));
            V::Map(m)
        });
        map([
            ("barrow", t(&self.name)),
            ("addr", t(&self.addr.to_string())),
            ("build", t(&self.site.build)),
            ("quarter", t(&self.site.quarter)),
            ("loaners", V::Bool(self.site.loaners)),
            ("shift", i(self.shift)),
            ("tally", i(self.tally)),
            ("baton", i(self.baton)),
            ("warning_s", V::Null),
            ("pieces", V::List(pieces.collect())),
        ])
    }

    fn execute(&mut self, fleet: &Fleet, orders: &[V]) {
        for order in orders {
            let (Some(piece), Some(attempt)) = (order.str("piece"), order.int("try")) else {
                continue;
            };
            let key = (piece.to_owned(), attempt);
            match order.str("verb").unwrap_or("") {
                "launch" => self.launch(fleet, key),
                "kill" => {
                    let id = piece.rsplit_once('/').map_or("", |p| p.0);
                    let job = fleet.world.seen.lock().unwrap().jobs.get(id).cloned();
                    let Some(task) = self.tasks.get_mut(&key) else { continue };
                    if matches!(task.stage, Stage::Ended(..)) {
                        continue;
                    }
                    let leave = order.num("leave_s").unwrap_or(0.0);
                    let saves = job
                        .as_ref()
                        .is_some_and(|j| j.mark > 0.0 && leave >= j.stow && leave > 0.0);
                    self.changed = true;
                    match task.stage {
                        Stage::Running if saves => {
                            task.stage = Stage::Flushing(now() + job.map_or(0.0, |j| j.stow));
                        }
                        Stage::Flushing(_) if leave > 0.0 => {}
                        _ => {
                            task.stage = Stage::Ended("stopped", false);
                            fleet.world.end(piece, &self.name, "stopped");
                        }
                    }
                }
                "clear" => {
                    if self.tasks.get(&key).is_some_and(|x| matches!(x.stage, Stage::Ended(..))) {
                        self.tasks.remove(&key);
                        self.changed = true;
                    }
                }
                _ => {}
            }
        }
        self.advance(fleet);
    }

    fn launch(&mut self, fleet: &Fleet, key: (String, u64)) {
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let (id, n) = key.0.rsplit_once('/').unwrap_or(("", "0"));
        let job = fleet.world.seen.lock().unwrap().jobs.get(id).cloned();
        let ended = |why| Task { stage: Stage::Ended(why, false), ends: 0.0 };
        let task = match job {
            None => ended("no_such"),
            Some(j) if n.parse::<u32>().map_or(true, |n| n >= j.pieces) => ended("no_such"),
            Some(_) if self.tasks.keys().any(|(p, _)| *p == key.0) => ended("in_use"),
            Some(j) => {
                let (cpus, mem) = self.free(&fleet.world);
                if j.vcpus > cpus + 1e-9 || j.mem > mem + 1e-9 {
                    ended("full")
                } else {
                    let rate = self.build.fetch * fleet.rand(0.67, 1.33);
                    self.images.entry(j.image.clone()).or_insert(now() + j.gb / rate);
                    Task { stage: Stage::Pulling, ends: 0.0 }
                }
            }
        };
        if let Stage::Ended(why, _) = &task.stage {
            note(&format!("fleet: {} refuses {} try {}: {why}", self.name, key.0, key.1));
        }
        self.tasks.insert(key, task);
    }
}
