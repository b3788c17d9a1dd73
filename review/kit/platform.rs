//! The cloud, its machines and their workers, as the protocol page describes them.

use crate::cbor::{Bool, Float, Int, List, Null, Value, map, text};
use crate::http::{Reply, request, serve};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// A machine type.
#[derive(Clone, Debug)]
pub struct Flavor {
    pub sku: &'static str,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub startup_s: f64,
    pub zones: Vec<&'static str>,
}

/// What is fixed for a run.
#[derive(Clone, Debug)]
pub struct Terms {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
    pub flavors: Vec<Flavor>,
}

/// A job as its user described it. Workers fetch it themselves.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    pub service: bool,
    pub rank: &'static str,
    pub pieces: u32,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub image: String,
    pub size_gb: f64,
    pub builds: Option<Vec<String>>,
    pub loaners: bool,
    pub guess_s: f64,
    pub due_s: Option<f64>,
    pub waits_on: Vec<String>,
    /// How long a task really runs, without the image fetch.
    pub run_s: f64,
}

impl Job {
    /// An array of tasks with a CPU each.
    pub fn array(id: &str, team: &str, pieces: u32, run_s: f64) -> Self {
        Self {
            id: id.to_owned(),
            class: "batch".to_owned(),
            team: team.to_owned(),
            service: false,
            rank: "standard",
            pieces,
            vcpus: 1.0,
            mem_gb: 2.0,
            image: "img-01".to_owned(),
            size_gb: 0.5,
            builds: None,
            loaners: true,
            guess_s: run_s,
            due_s: None,
            waits_on: Vec::new(),
            run_s,
        }
    }

    /// The body of a submission.
    pub fn body(&self) -> Vec<u8> {
        let texts = |names: &[String]| List(names.iter().map(|n| text(n)).collect());
        let mut fields = vec![
            ("ref", text(&self.id)),
            ("lot", text(&self.class)),
            ("crew", text(&self.team)),
            ("shape", text(if self.service { "daemon" } else { "sweep" })),
            ("rank", text(self.rank)),
            ("pieces", Int(self.pieces.into())),
            ("vcpus", Float(self.vcpus)),
            ("cards", Float(0.0)),
            ("mem_gb", Float(self.mem_gb)),
            ("mould", text(&self.image)),
            ("size_gb", Float(self.size_gb)),
            ("builds", self.builds.as_ref().map_or(Null, |b| texts(b))),
            ("quarter", Null),
            ("together", Bool(false)),
            ("spread", Bool(false)),
            ("loaners", Bool(self.loaners)),
            ("guess_s", Float(if self.service { 0.0 } else { self.guess_s })),
            ("mark_s", Float(0.0)),
            ("stow_s", Float(0.0)),
            ("due_s", self.due_s.map_or(Null, Float)),
        ];
        if !self.waits_on.is_empty() {
            fields.push(("waits_on", texts(&self.waits_on)));
        }
        map(&fields).encode()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Pulling(Instant),
    /// Ends then, unless it is a replica.
    Running(Option<Instant>),
    Ended(&'static str),
}

#[derive(Clone, Debug)]
struct Task {
    attempt: u64,
    stage: Stage,
    job: String,
}

/// A machine and its worker.
struct Machine {
    sku: &'static str,
    zone: &'static str,
    spot: bool,
    rented: Instant,
    up_at: Instant,
    addr: String,
    shift: u64,
    tally: u64,
    baton: u64,
    /// The lease counts from here.
    leased: Instant,
    tasks: BTreeMap<String, Task>,
    images: BTreeMap<String, Instant>,
    /// Something to report has changed.
    changed: bool,
}

struct State {
    machines: BTreeMap<String, Machine>,
    capacity: BTreeMap<(&'static str, &'static str, bool), usize>,
    hires: BTreeMap<String, Vec<String>>,
    next: u64,
    jobs: BTreeMap<String, Job>,
    results: BTreeSet<String>,
    started: BTreeMap<String, u32>,
}

/// The platform.
pub struct Platform {
    state: Mutex<State>,
    terms: Terms,
    record: Record,
}

impl Platform {
    pub fn new(terms: Terms, record: Record) -> Arc<Self> {
        let state = State {
            machines: BTreeMap::new(),
            capacity: BTreeMap::new(),
            hires: BTreeMap::new(),
            next: 1,
            jobs: BTreeMap::new(),
            results: BTreeSet::new(),
            started: BTreeMap::new(),
        };
        let platform = Arc::new(Self { state: Mutex::new(state), terms, record });
        let ticking = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.advance_all();
            }
        });
        platform
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("platform")
    }

    /// Sets how many machines of a type, zone and kind there are.
    pub fn set_capacity(&self, sku: &'static str, zone: &'static str, spot: bool, count: usize) {
        self.lock().capacity.insert((sku, zone, spot), count);
    }

    /// Makes a job's description known to the workers, as its user uploads it.
    pub fn upload(&self, job: &Job) {
        self.lock().jobs.insert(job.id.clone(), job.clone());
    }

    /// Takes spot machines away without notice; returns their names. They aren't available again.
    pub fn take_spot(&self, count: usize) -> Vec<String> {
        let mut state = self.lock();
        let spot = state.machines.iter().filter(|(_, m)| m.spot);
        // Those with most tasks first.
        let mut names: Vec<(usize, String)> =
            spot.map(|(name, m)| (usize::MAX - m.tasks.len(), name.clone())).collect();
        names.sort();
        names.truncate(count);
        for (_, name) in &names {
            let gone = state.machines.remove(name).expect("a machine");
            let key = (gone.sku, gone.zone, true);
            if let Some(left) = state.capacity.get_mut(&key) {
                *left = left.saturating_sub(1);
            }
            self.record.line(&format!("cloud: {name} is taken away"));
        }
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// Number of spot machines that are up.
    pub fn spot_up(&self) -> usize {
        let now = Instant::now();
        self.lock().machines.values().filter(|m| m.spot && m.up_at <= now).count()
    }

    /// Tasks of a job that are on a machine: those that hold their image and haven't ended.
    pub fn on_machines(&self, job: &str) -> usize {
        let state = self.lock();
        let tasks = state.machines.values().flat_map(|m| m.tasks.values());
        tasks.filter(|t| t.job == job && matches!(t.stage, Stage::Running(_))).count()
    }

    /// How many tasks of a job were started so far, each attempt counted.
    pub fn starts(&self, job: &str) -> u32 {
        self.lock().started.get(job).copied().unwrap_or(0)
    }

    /// How many tasks of a team were started so far.
    pub fn starts_of_team(&self, team: &str) -> u32 {
        let state = self.lock();
        let of_team = |id: &String| state.jobs.get(id).is_some_and(|job| job.team == team);
        state.started.iter().filter(|(id, _)| of_team(id)).map(|(_, n)| n).sum()
    }

    /// How many tasks of a job have completed.
    pub fn completed(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.lock().results.iter().filter(|piece| piece.starts_with(&prefix)).count()
    }

    /// CPUs that a team's tasks hold on the machines, fetching ones included.
    pub fn team_cpus(&self, team: &str) -> f64 {
        let state = self.lock();
        let tasks = state.machines.values().flat_map(|m| m.tasks.values());
        tasks
            .filter(|t| !matches!(t.stage, Stage::Ended(_)))
            .filter_map(|t| state.jobs.get(&t.job))
            .filter(|job| job.team == team)
            .map(|job| job.vcpus)
            .sum()
    }

    /// Machines that are up, allowed for the job, and have room for a task of it. Only machines
    /// whose lease was renewed lately count.
    pub fn machines_with_room(&self, job: &Job) -> Vec<String> {
        let now = Instant::now();
        let fresh = Duration::from_secs_f64(self.terms.report_s * 2.0);
        let state = self.lock();
        let fits = |m: &Machine| {
            let (cpus, mem) = state.free(m, &self.terms);
            let allowed = job.builds.as_ref().is_none_or(|b| b.iter().any(|b| b == m.sku));
            m.up_at <= now
                && now - m.leased < fresh
                && allowed
                && (job.loaners || !m.spot)
                && cpus + 1e-9 >= job.vcpus
                && mem + 1e-9 >= job.mem_gb
        };
        state.machines.iter().filter(|(_, m)| fits(m)).map(|(name, _)| name.clone()).collect()
    }

    /// One line about each machine.
    pub fn describe(&self) -> Vec<String> {
        let now = Instant::now();
        let state = self.lock();
        let line = |(name, m): (&String, &Machine)| {
            let tasks: Vec<String> = m
                .tasks
                .iter()
                .map(|(piece, t)| format!("{piece}:{}", stage_name(&t.stage)))
                .collect();
            let (cpus, _) = state.free(m, &self.terms);
            let kind = if m.spot { "spot" } else { "ordinary" };
            let up = if m.up_at <= now { "up" } else { "starting" };
            format!("{name} {kind} {up} free_cpus={cpus} [{}]", tasks.join(" "))
        };
        state.machines.iter().map(line).collect()
    }

    /// Serves the cloud and returns its address. Workers report to `nodes`, named `names`.
    pub fn serve_cloud(self: &Arc<Self>, nodes: Vec<String>, names: Vec<String>) -> SocketAddr {
        let platform = self.clone();
        serve(move |method, path, body| {
            let (status, body) = match (method, path) {
                ("GET", "/flavors") => (200, platform.flavors()),
                ("POST", "/hosts") => platform.rent(&Value::decode(body), &nodes, &names),
                ("POST", "/hosts/release") => (200, platform.release(&Value::decode(body))),
                ("GET", p) if p.starts_with("/hosts") => (200, platform.list(p)),
                _ => (400, map(&[])),
            };
            Reply::Answer(status, body.encode())
        })
    }

    fn flavors(&self) -> Value {
        let flavor = |f: &Flavor| {
            map(&[
                ("sku", text(f.sku)),
                ("vcpus", Float(f.vcpus)),
                ("cards", Float(0.0)),
                ("mem_gb", Float(f.mem_gb)),
                ("cache_gb", Float(f.cache_gb)),
                ("fetch_gb_per_s", Float(f.fetch_gb_per_s)),
                ("price", Float(f.price)),
                ("spot_price", Float(f.spot_price)),
                ("startup_s", Float(f.startup_s)),
                ("quarters", List(f.zones.iter().map(|z| text(z)).collect())),
            ])
        };
        map(&[("builds", List(self.terms.flavors.iter().map(flavor).collect()))])
    }

    fn rent(self: &Arc<Self>, asked: &Value, nodes: &[String], names: &[String]) -> (u16, Value) {
        let answer = |hired: &[String]| {
            (200, map(&[("barrows", List(hired.iter().map(|n| text(n)).collect()))]))
        };
        let none = (503, map(&[("error", text("no capacity"))]));
        let mut state = self.lock();
        if let Some(hired) = state.hires.get(asked.str("hire")) {
            return answer(hired);
        }
        let flavor = self.terms.flavors.iter().find(|f| f.sku == asked.str("build"));
        let Some(flavor) = flavor else { return (400, map(&[])) };
        let zone = flavor.zones.iter().find(|zone| **zone == asked.str("quarter"));
        let Some(zone) = zone.copied() else { return (400, map(&[])) };
        let spot = asked.flag("loaners");
        let same = |m: &&Machine| m.sku == flavor.sku && m.zone == zone && m.spot == spot;
        let used = state.machines.values().filter(same).count();
        let all = state.capacity.get(&(flavor.sku, zone, spot)).copied().unwrap_or(0);
        let count = all.saturating_sub(used).min(asked.int("how_many").min(50) as usize);
        if count == 0 {
            return none;
        }
        let mut hired = Vec::new();
        for _ in 0..count {
            let name = format!("n-{:06}", state.next);
            state.next += 1;
            let now = Instant::now();
            let machine = Machine {
                sku: flavor.sku,
                zone,
                spot,
                rented: now,
                up_at: now + Duration::from_secs_f64(flavor.startup_s),
                addr: String::new(),
                shift: 1,
                tally: 0,
                baton: 0,
                leased: now + Duration::from_secs_f64(flavor.startup_s),
                tasks: BTreeMap::new(),
                images: BTreeMap::new(),
                changed: false,
            };
            state.machines.insert(name.clone(), machine);
            let kind = if spot { "spot" } else { "ordinary" };
            self.record.line(&format!("cloud: {name} rented, {} {kind} in {zone}", flavor.sku));
            hired.push(name.clone());
            let (platform, nodes, names) = (self.clone(), nodes.to_vec(), names.to_vec());
            thread::spawn(move || platform.run_worker(&name, &nodes, &names));
        }
        state.hires.insert(asked.str("hire").to_owned(), hired.clone());
        answer(&hired)
    }

    fn release(&self, asked: &Value) -> Value {
        let mut state = self.lock();
        for name in asked.list("barrows") {
            let Value::Text(name) = name else { continue };
            if state.machines.remove(name).is_some() {
                self.record.line(&format!("cloud: {name} returned"));
            }
        }
        map(&[])
    }

    fn list(&self, path: &str) -> Value {
        let now = Instant::now();
        let field = |name: &str| {
            let fields = path.split_once('?')?.1;
            fields.split('&').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
        };
        let after = field("after").unwrap_or("");
        let lag = Duration::from_secs_f64(self.terms.list_lag_s);
        let state = self.lock();
        let listed = state
            .machines
            .iter()
            .filter(|(name, m)| name.as_str() > after && now - m.rented >= lag);
        let entry = |(name, m): (&String, &Machine)| {
            map(&[
                ("ref", text(name)),
                ("addr", text(&m.addr)),
                ("build", text(m.sku)),
                ("quarter", text(m.zone)),
                ("loaners", Bool(m.spot)),
                ("stage", text(if m.up_at + lag <= now { "running" } else { "starting" })),
                ("age_s", Float((now - m.rented).as_secs_f64() - self.terms.list_lag_s)),
            ])
        };
        let entries: Vec<Value> = listed.take(500).map(entry).collect();
        map(&[("barrows", List(entries)), ("truncated", Bool(false))])
    }

    fn advance_all(&self) {
        let mut state = self.lock();
        let names: Vec<String> = state.machines.keys().cloned().collect();
        for name in names {
            self.advance(&mut state, &name);
        }
    }

    /// Applies the time that has passed on a machine.
    fn advance(&self, state: &mut State, name: &str) {
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.terms.lease_s);
        let Some(machine) = state.machines.get_mut(name) else { return };
        if now > machine.leased + lease {
            for piece in std::mem::take(&mut machine.tasks).keys() {
                self.record.line(&format!("{name}: lease over, {piece} killed"));
            }
            machine.shift += 1;
            machine.tally = 0;
            machine.leased = now;
            machine.changed = true;
        }
        let mut begun = Vec::new();
        for (piece, task) in &mut machine.tasks {
            let job = state.jobs.get(&task.job);
            match task.stage {
                Stage::Pulling(until) if now >= until => {
                    let run = job.map_or(0.0, |job| job.run_s);
                    let service = job.is_some_and(|job| job.service);
                    if state.results.contains(piece) {
                        task.stage = Stage::Ended("done");
                    } else {
                        let ends = (!service).then(|| now + Duration::from_secs_f64(run));
                        task.stage = Stage::Running(ends);
                        begun.push(piece.clone());
                        *state.started.entry(task.job.clone()).or_default() += 1;
                    }
                    machine.changed = true;
                }
                Stage::Running(Some(ends)) if now >= ends => {
                    task.stage = Stage::Ended("done");
                    state.results.insert(piece.clone());
                    self.record.line(&format!("{name}: {piece} done"));
                    machine.changed = true;
                }
                _ => {}
            }
        }
        for piece in begun {
            self.record.line(&format!("{name}: {piece} runs"));
            let elsewhere = state.machines.iter().find(|(other, m)| {
                other.as_str() != name
                    && m.tasks.get(&piece).is_some_and(|t| matches!(t.stage, Stage::Running(_)))
            });
            if let Some((other, _)) = elsewhere {
                let line = format!("ran_twice: {piece} starts on {name} while it is on {other}");
                self.record.line(&line);
            }
        }
    }

    /// The worker of a machine: reports until the machine is gone.
    fn run_worker(self: &Arc<Self>, name: &str, nodes: &[String], names: &[String]) {
        let up_at = match self.lock().machines.get(name) {
            Some(machine) => machine.up_at,
            None => return,
        };
        thread::sleep(up_at.saturating_duration_since(Instant::now()));
        let (platform, own) = (self.clone(), name.to_owned());
        let address = serve(move |_, path, body| platform.direct(&own, path, body));
        if let Some(machine) = self.lock().machines.get_mut(name) {
            machine.addr = address.to_string();
        }
        self.record.line(&format!("{name}: up"));
        let mut at = name.bytes().map(usize::from).sum::<usize>() % nodes.len();
        let mut next = Instant::now();
        loop {
            // A change is reported at once, though not more often than every half second.
            let earliest = Instant::now() + Duration::from_millis(500);
            let (sent, shift, body) = {
                let mut state = self.lock();
                self.advance(&mut state, name);
                let Some(machine) = state.machines.get_mut(name) else { return };
                machine.changed = false;
                (Instant::now(), machine.shift, report(name, machine).encode())
            };
            let mut wait = Duration::from_secs_f64(self.terms.report_s);
            match request(&nodes[at], "POST", "/hello", &body, Duration::from_secs(4)) {
                Some((200, body)) => self.answered(name, sent, shift, &Value::decode(&body)),
                Some((421, body)) => {
                    let answer = Value::decode(&body);
                    let named = names.iter().position(|n| n == answer.str("foreman"));
                    let other = named.filter(|n| *n != at);
                    wait = Duration::from_millis(if other.is_some() { 100 } else { 1000 });
                    at = other.unwrap_or((at + 1) % nodes.len());
                    thread::sleep(wait);
                    continue;
                }
                _ => {
                    at = (at + 1) % nodes.len();
                    thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            next = next.max(sent) + wait;
            loop {
                thread::sleep(Duration::from_millis(20));
                let now = Instant::now();
                let changed = match self.lock().machines.get(name) {
                    Some(machine) => machine.changed,
                    None => return,
                };
                if now >= sent + wait || changed && now >= earliest {
                    break;
                }
            }
        }
    }

    fn answered(&self, name: &str, sent: Instant, shift: u64, answer: &Value) {
        let mut state = self.lock();
        self.advance(&mut state, name);
        let Some(machine) = state.machines.get_mut(name) else { return };
        let baton = answer.int("baton");
        if machine.shift != shift || baton < machine.baton || sent.elapsed().as_secs_f64() > 4.0 {
            return;
        }
        machine.changed |= baton > machine.baton;
        machine.baton = baton;
        machine.leased = sent;
        self.execute(&mut state, name, answer.list("orders"));
    }

    fn direct(&self, name: &str, path: &str, body: &[u8]) -> Reply {
        let mut state = self.lock();
        self.advance(&mut state, name);
        let Some(machine) = state.machines.get_mut(name) else { return Reply::Close };
        let mut status = 200;
        if path != "/show" {
            let asked = Value::decode(body);
            if asked.get("baton").is_none() || asked.get("shift").is_none() {
                return Reply::Answer(400, Vec::new());
            }
            if asked.int("baton") >= machine.baton && asked.int("shift") == machine.shift {
                machine.changed |= asked.int("baton") > machine.baton;
                machine.baton = asked.int("baton");
                self.execute(&mut state, name, asked.list("orders"));
            } else {
                status = 409;
            }
        }
        let Some(machine) = state.machines.get_mut(name) else { return Reply::Close };
        Reply::Answer(status, report(name, machine).encode())
    }

    fn execute(&self, state: &mut State, name: &str, orders: &[Value]) {
        let now = Instant::now();
        for order in orders {
            let (piece, attempt) = (order.str("piece"), order.int("try"));
            let Some(machine) = state.machines.get(name) else { return };
            let held = machine.tasks.get(piece).map(|task| task.attempt);
            match order.str("verb") {
                "launch" if held == Some(attempt) => {}
                "launch" => {
                    let job = piece.rsplit_once('/').and_then(|(job, _)| state.jobs.get(job));
                    let job = job.cloned();
                    let (cpus, mem) = state.free(machine, &self.terms);
                    let refused = match &job {
                        _ if held.is_some() => Some("in_use"),
                        None => Some("no_such"),
                        Some(job) if job.vcpus > cpus + 1e-9 || job.mem_gb > mem + 1e-9 => {
                            Some("full")
                        }
                        Some(_) => None,
                    };
                    let flavor = self.terms.flavors.iter().find(|f| f.sku == machine.sku);
                    let rate = flavor.map_or(1.0, |f| f.fetch_gb_per_s);
                    let Some(machine) = state.machines.get_mut(name) else { return };
                    let stage = match (refused, &job) {
                        (Some(cause), _) => Stage::Ended(cause),
                        (None, Some(job)) => {
                            let fetch = Duration::from_secs_f64(job.size_gb / rate);
                            let ready = machine.images.entry(job.image.clone());
                            Stage::Pulling(*ready.or_insert(now + fetch))
                        }
                        (None, None) => Stage::Ended("no_such"),
                    };
                    let job = job.map_or(String::new(), |job| job.id);
                    self.record.line(&format!(
                        "{name}: launch {piece} try {attempt}: {}",
                        stage_name(&stage)
                    ));
                    if held.is_none() {
                        machine.tasks.insert(piece.to_owned(), Task { attempt, stage, job });
                    }
                }
                "kill" if held == Some(attempt) => {
                    let Some(machine) = state.machines.get_mut(name) else { return };
                    let Some(task) = machine.tasks.get_mut(piece) else { return };
                    if !matches!(task.stage, Stage::Ended(_)) {
                        task.stage = Stage::Ended("stopped");
                        self.record.line(&format!("{name}: kill {piece} try {attempt}"));
                    }
                }
                "clear" if held == Some(attempt) => {
                    let Some(machine) = state.machines.get_mut(name) else { return };
                    let ended = machine
                        .tasks
                        .get(piece)
                        .is_some_and(|t| matches!(t.stage, Stage::Ended(_)));
                    if ended {
                        machine.tasks.remove(piece);
                    }
                }
                _ => {}
            }
            if let Some(machine) = state.machines.get_mut(name) {
                machine.changed = true;
            }
        }
    }
}

impl State {
    /// Free CPUs and memory of a machine; fetching tasks count.
    fn free(&self, machine: &Machine, terms: &Terms) -> (f64, f64) {
        let flavor = terms.flavors.iter().find(|f| f.sku == machine.sku);
        let (mut cpus, mut mem) = flavor.map_or((0.0, 0.0), |f| (f.vcpus, f.mem_gb));
        for task in machine.tasks.values().filter(|t| !matches!(t.stage, Stage::Ended(_))) {
            if let Some(job) = self.jobs.get(&task.job) {
                cpus -= job.vcpus;
                mem -= job.mem_gb;
            }
        }
        (cpus, mem)
    }
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Pulling(_) => "pulling",
        Stage::Running(_) => "running",
        Stage::Ended(cause) => cause,
    }
}

fn report(name: &str, machine: &mut Machine) -> Value {
    machine.tally += 1;
    let piece = |(piece, task): (&String, &Task)| {
        let mut fields = vec![("piece", text(piece)), ("try", Int(task.attempt.into()))];
        match &task.stage {
            Stage::Pulling(_) => fields.push(("stage", text("pulling"))),
            Stage::Running(_) => fields.push(("stage", text("running"))),
            Stage::Ended(cause) => {
                fields.push(("stage", text("ended")));
                fields.push(("cause", text(cause)));
            }
        }
        map(&fields)
    };
    map(&[
        ("barrow", text(name)),
        ("addr", text(&machine.addr)),
        ("build", text(machine.sku)),
        ("quarter", text(machine.zone)),
        ("loaners", Bool(machine.spot)),
        ("shift", Int(machine.shift.into())),
        ("tally", Int(machine.tally.into())),
        ("baton", Int(machine.baton.into())),
        ("warning_s", Null),
        ("pieces", List(machine.tasks.iter().map(piece).collect())),
    ])
}
