//! Stand-ins of state service, cloud and workers over loopback, and a client.

use ciborium::Value;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::{Attempt, MachineId, TaskId};
use marblebarrow_proto::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write as _};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(4);
/// Longest that any one thing may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(60);

type Kv = BTreeMap<String, (Value, u64, Option<u64>)>;

#[derive(Default)]
struct Store {
    kv: Kv,
    revision: u64,
    history: Vec<(u64, String, Option<Value>)>,
    grants: BTreeMap<u64, (Duration, Instant)>,
    next_grant: u64,
}

impl Store {
    fn remove(&mut self, key: &str) {
        if self.kv.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let dead: Vec<u64> =
            self.grants.iter().filter(|(_, (_, until))| now > *until).map(|(g, _)| *g).collect();
        for g in dead {
            self.end(g);
        }
    }

    fn end(&mut self, g: u64) {
        self.grants.remove(&g);
        let keys: Vec<String> =
            self.kv.iter().filter(|(_, v)| v.2 == Some(g)).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
    }

    fn commit(&mut self, txn: Txn) -> (u16, Vec<u8>) {
        let failed: Vec<String> = txn
            .conds
            .iter()
            .filter(|c| self.kv.get(&c.key).map_or(0, |v| v.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (409, cbor::encode(&TxnAnswer { revision: self.revision, failed }));
        }
        let gone = |w: &Write| matches!(w, Write::Put { grant: Some(g), .. } if !self.grants.contains_key(g));
        if txn.writes.iter().any(gone) {
            return (400, Vec::new());
        }
        self.revision += u64::from(!txn.writes.is_empty());
        let r = self.revision;
        for w in txn.writes {
            match w {
                Write::Put { key, value, grant } => {
                    self.history.push((r, key.clone(), Some(value.clone())));
                    self.kv.insert(key, (value, r, grant));
                }
                Write::Delete { key } => {
                    if self.kv.remove(&key).is_some() {
                        self.history.push((r, key, None));
                    }
                }
            }
        }
        (200, cbor::encode(&TxnAnswer { revision: r, failed: Vec::new() }))
    }
}

type SharedStore = Arc<(Mutex<Store>, Condvar)>;

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let q = path.split_once('?')?.1;
    q.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

fn store_answer(shared: &SharedStore, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let (lock, changed) = &**shared;
    let mut store = lock.lock().expect("store");
    store.expire();
    let answer = match (method, path) {
        ("POST", "/commit") => store.commit(cbor::decode(body).expect("txn")),
        ("POST", "/grants") => {
            let ask: GrantAsk = cbor::decode(body).expect("grant");
            store.next_grant += 1;
            let (g, ttl) = (store.next_grant, Duration::from_millis(ask.ttl_ms));
            store.grants.insert(g, (ttl, Instant::now() + ttl));
            (200, cbor::encode(&GrantGiven { grant: g }))
        }
        (_, p) if p.starts_with("/grants/") => {
            let g: u64 = p["/grants/".len()..].trim_end_matches("/touch").parse().expect("grant");
            match (method, store.grants.get_mut(&g)) {
                (_, None) => (404, Vec::new()),
                ("DELETE", Some(_)) => {
                    store.end(g);
                    (200, Vec::new())
                }
                (_, Some((ttl, until))) => {
                    *until = Instant::now() + *ttl;
                    (200, Vec::new())
                }
            }
        }
        (_, p) if p.starts_with("/store/") => {
            let key = &p["/store/".len()..];
            match store.kv.get(key) {
                Some((value, version, _)) => {
                    let item = Item { key: key.into(), value: value.clone(), version: *version };
                    (200, cbor::encode(&item))
                }
                None => (404, Vec::new()),
            }
        }
        (_, p) if p.starts_with("/store?") => {
            let under = query(p, "under").unwrap_or("");
            let after = query(p, "after").unwrap_or("");
            let items: Vec<Item> = store
                .kv
                .iter()
                .filter(|(k, _)| k.starts_with(under) && k.as_str() > after)
                .map(|(k, (v, version, _))| Item {
                    key: k.clone(),
                    value: v.clone(),
                    version: *version,
                })
                .collect();
            let page = ItemPage { items, more: false, revision: store.revision };
            (200, cbor::encode(&page))
        }
        (_, p) if p.starts_with("/watch?") => {
            let under = query(p, "under").unwrap_or("").to_owned();
            let after: u64 = query(p, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
            let wait: u64 = query(p, "block_ms").and_then(|a| a.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                store.expire();
                let events: Vec<WatchEvent> = store
                    .history
                    .iter()
                    .filter(|(r, k, _)| *r > after && k.starts_with(&under))
                    .map(|(r, key, v)| match v.clone() {
                        Some(value) => WatchEvent::Put { key: key.clone(), value, version: *r },
                        None => WatchEvent::Delete { key: key.clone(), version: *r },
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let answer = WatchAnswer { revision: store.revision, events };
                    break (200, cbor::encode(&answer));
                }
                let nap = left.min(Duration::from_millis(100));
                store = changed.wait_timeout(store, nap).expect("wait").0;
            }
        }
        _ => (404, Vec::new()),
    };
    changed.notify_all();
    answer
}

struct Running {
    attempt: Attempt,
    ends: Option<Instant>,
    why: Option<Why>,
}

struct Worker {
    id: MachineId,
    addr: String,
    session: u64,
    seq: u64,
    token: u64,
    leased: Instant,
    tasks: BTreeMap<TaskId, Running>,
    fleet: Arc<Fleet>,
}

/// What all workers share: where each task is, and what went wrong.
#[derive(Default)]
struct Fleet {
    on: Mutex<BTreeSet<(TaskId, MachineId)>>,
    broken: Mutex<Vec<String>>,
    machines: Mutex<Vec<MachineId>>,
}

impl Worker {
    fn live(&self, task: &TaskId, on: bool) {
        let key = (task.clone(), self.id.clone());
        let mut all = self.fleet.on.lock().expect("fleet");
        if !on {
            all.remove(&key);
            return;
        }
        if let Some((_, other)) = all.iter().find(|(t, m)| t == task && *m != self.id) {
            let line = format!("ran_twice: {task} on {} and {other}", self.id);
            self.fleet.broken.lock().expect("broken").push(line);
        }
        all.insert(key);
    }

    fn settle(&mut self) {
        let now = Instant::now();
        if now - self.leased > LEASE {
            for task in std::mem::take(&mut self.tasks).into_keys() {
                self.live(&task, false);
            }
            self.session += 1;
            self.leased = now;
        }
        let ended: Vec<TaskId> = self
            .tasks
            .iter_mut()
            .filter(|(_, r)| r.why.is_none() && r.ends.is_some_and(|e| now >= e))
            .map(|(t, r)| {
                r.why = Some(Why::Done);
                t.clone()
            })
            .collect();
        ended.iter().for_each(|t| self.live(t, false));
    }

    fn report(&mut self) -> Report {
        self.settle();
        self.seq += 1;
        let task = |(t, r): (&TaskId, &Running)| ReportTask {
            task: t.to_string(),
            attempt: r.attempt,
            state: if r.why.is_some() { TaskState::Exited } else { TaskState::Running },
            why: r.why,
        };
        Report {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            kind: "k".into(),
            zone: "a".into(),
            spot: false,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }

    fn execute(&mut self, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { task, attempt } => {
                    let task = TaskId::parse(task).expect("task");
                    if self.tasks.contains_key(&task) {
                        continue;
                    }
                    self.live(&task, true);
                    // Services are jobs 2; arrays take a second.
                    let service = task.job.as_str().ends_with('2');
                    let ends = (!service).then(|| Instant::now() + Duration::from_secs(1));
                    self.tasks.insert(task, Running { attempt: *attempt, ends, why: None });
                }
                Command::Stop { task, attempt, .. } => {
                    let task = TaskId::parse(task).expect("task");
                    let stopped = self.tasks.get_mut(&task).filter(|r| r.attempt == *attempt);
                    if let Some(r) = stopped.filter(|r| r.why.is_none()) {
                        r.why = Some(Why::Stopped);
                        self.live(&task, false);
                    }
                }
                Command::Forget { task, attempt } => {
                    let task = TaskId::parse(task).expect("task");
                    if self.tasks.get(&task).is_some_and(|r| r.attempt == *attempt) {
                        self.tasks.remove(&task);
                    }
                }
            }
        }
    }
}

/// Serves connections with a handler, each on a thread.
fn serve(handler: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("addr").to_string();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || converse(stream, &*handler));
        }
    });
    addr
}

type Handler = dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>);

fn converse(mut stream: TcpStream, handler: &Handler) {
    let mut buf = Vec::new();
    while let Some((method, path, body)) = read_request(&mut stream, &mut buf) {
        let (status, body) = handler(&method, &path, &body);
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, String, Vec<u8>)> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut req = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(n)) = req.parse(buf) {
            let (method, path) = (req.method?.to_owned(), req.path?.to_owned());
            let len = length(req.headers);
            while buf.len() < n + len {
                fill(stream, buf)?;
            }
            let body = buf[n..n + len].to_vec();
            buf.drain(..n + len);
            return Some((method, path, body));
        }
        fill(stream, buf)?;
    }
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    h.and_then(|h| std::str::from_utf8(h.value).ok()?.parse().ok()).unwrap_or(0)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0u8; 4096];
    match stream.read(&mut chunk) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            Some(())
        }
        _ => None,
    }
}

/// Asks once, on a connection of its own.
fn ask(
    addr: &str,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    let addr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    // A refusal may come before a large body is taken: read the answer anyway.
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
    let mut buf = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut res = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(n)) = res.parse(&buf) {
            let (status, len) = (res.code?, length(res.headers));
            while buf.len() < n + len {
                fill(&mut stream, &mut buf)?;
            }
            return Some((status, buf[n..n + len].to_vec()));
        }
        fill(&mut stream, &mut buf)?;
    }
}

fn worker(id: MachineId, nodes: Vec<String>, fleet: Arc<Fleet>) {
    let state = Arc::new(Mutex::new(Worker {
        id,
        addr: String::new(),
        session: 1,
        seq: 0,
        token: 0,
        leased: Instant::now(),
        tasks: BTreeMap::new(),
        fleet,
    }));
    let shared = state.clone();
    let addr = serve(move |_, _, body| {
        let mut w = shared.lock().expect("worker");
        w.settle();
        let cmd: DirectCommands = cbor::decode(body).expect("commands");
        let good = cmd.token >= w.token && cmd.session == w.session;
        if good {
            w.token = cmd.token;
            w.execute(&cmd.commands);
        }
        let report = w.report();
        (if good { 200 } else { 409 }, cbor::encode(&report))
    });
    state.lock().expect("worker").addr = addr;
    let mut at = 0;
    loop {
        let sent = Instant::now();
        let report = state.lock().expect("worker").report();
        let answer =
            ask(&nodes[at], "POST", "/hello", &cbor::encode(&report), Duration::from_secs(4));
        let mut w = state.lock().expect("worker");
        match answer {
            Some((200, body)) if report.session == w.session => {
                let a: ReportAnswer = cbor::decode(&body).expect("answer");
                if a.token >= w.token {
                    w.token = a.token;
                    w.leased = sent;
                    w.execute(&a.commands);
                }
            }
            Some((421, body)) => {
                let e: Elsewhere = cbor::decode(&body).expect("elsewhere");
                let named = e.report_to.and_then(|n| n.strip_prefix('c')?.parse::<usize>().ok());
                at = named.filter(|n| *n != at).unwrap_or((at + 1) % nodes.len());
            }
            _ => at = (at + 1) % nodes.len(),
        }
        drop(w);
        thread::sleep(Duration::from_millis(300));
    }
}

fn cloud(fleet: Arc<Fleet>, nodes: Vec<String>) -> String {
    serve(move |method, path, body| match (method, path) {
        (_, "/flavors") => {
            let t = MachineType {
                name: "k".into(),
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: 8.0,
                cache_gb: 10.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.5,
                boot_s: 1.0,
                zones: vec!["a".into()],
            };
            (200, cbor::encode(&TypeList { types: vec![t] }))
        }
        ("POST", "/hosts") => {
            let rent: Rent = cbor::decode(body).expect("rent");
            let mut machines = fleet.machines.lock().expect("machines");
            if rent.spot || machines.len() + rent.count as usize > 6 {
                let none = BTreeMap::from([("error", "no capacity")]);
                return (503, cbor::encode(&none));
            }
            let mut names = Vec::new();
            for _ in 0..rent.count {
                let id = MachineId::new(&format!("n-{:06}", machines.len()));
                machines.push(id.clone());
                names.push(id.clone());
                let (nodes, fleet) = (nodes.clone(), fleet.clone());
                thread::spawn(move || worker(id, nodes, fleet));
            }
            (200, cbor::encode(&MachineNames { machines: names }))
        }
        // Machines here aren't ended; what the list leaves out need not be up.
        ("POST", "/hosts/release") => (503, cbor::encode(&BTreeMap::from([("error", "trouble")]))),
        _ => (200, cbor::encode(&MachineList { machines: Vec::new(), more: false })),
    })
}

/// Settings of controller `i`.
pub fn settings_text(
    i: usize,
    nodes: &[String],
    peers: &[String],
    cloud: &str,
    store: &str,
) -> String {
    let mut text = format!(
        "node = \"c{i}\"\nsite = \"a\"\nserve_on = \"{}\"\npeer_bind = \"{}\"\nunknown = 1\n",
        nodes[i], peers[i]
    );
    for (o, peer) in peers.iter().enumerate().filter(|(o, _)| *o != i) {
        text += &format!("[[others]]\nnode = \"c{o}\"\nsite = \"a\"\nendpoint = \"{peer}\"\n");
    }
    text += &format!("[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n");
    text += "[[facts.teams]]\nname = \"t\"\ncpus_max = 8.0\n";
    text += "[facts.workers]\nreport_s = 1.0\nlease_s = 4.0\ncancel_s = 20.0\n";
    text += "[facts.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 16\n";
    text += "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n";
    text + "[facts.resources]\nmem_mb = 100.0\nfd_limit = 500\n"
}

/// A submission's body.
pub fn job_body(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
    let t = |s: &str| Value::Text(s.into());
    let fields = [
        ("ref", t(id)),
        ("lot", t("c")),
        ("crew", t("t")),
        ("shape", t(shape)),
        ("rank", t("standard")),
        ("pieces", Value::from(tasks)),
        ("vcpus", Value::from(1)),
        ("cards", Value::from(0)),
        ("mem_gb", Value::Float(0.5)),
        ("mould", t("i")),
        ("size_gb", Value::Float(0.1)),
        ("together", Value::Bool(false)),
        ("spread", Value::Bool(false)),
        ("loaners", Value::Bool(false)),
        ("guess_s", Value::from(1)),
        ("mark_s", Value::from(0)),
        ("stow_s", Value::from(0)),
    ];
    cbor::encode(&Value::Map(fields.into_iter().map(|(k, v)| (t(k), v)).collect()))
}

/// The stage in a status body.
pub fn stage(body: &[u8]) -> Option<String> {
    let v: Value = cbor::decode(body).ok()?;
    let fields = v.into_map().ok()?;
    let stage = fields.into_iter().find(|(k, _)| k.as_text() == Some("stage"))?.1;
    stage.into_text().ok()
}

/// Controllers, as real processes, and their surroundings.
pub struct Cluster {
    children: Vec<Option<Child>>,
    nodes: Vec<String>,
    fleet: Arc<Fleet>,
    store: SharedStore,
    dir: PathBuf,
}

impl Cluster {
    /// Starts so many controllers.
    pub fn start(count: usize) -> Self {
        // The system's choice of ports: taken, noted, and let go for the children.
        let free = || {
            let l = TcpListener::bind("127.0.0.1:0").expect("bind");
            (l.local_addr().expect("addr").to_string(), l)
        };
        let held: Vec<_> = (0..count * 2).map(|_| free()).collect();
        let addrs: Vec<String> = held.iter().map(|(a, _)| a.clone()).collect();
        drop(held);
        let (nodes, peers) = (addrs[..count].to_vec(), addrs[count..].to_vec());
        let store: SharedStore = Arc::default();
        let shared = store.clone();
        let store_addr = serve(move |m, p, b| store_answer(&shared, m, p, b));
        let fleet = Arc::new(Fleet::default());
        let cloud_addr = cloud(fleet.clone(), nodes.clone());
        let name = format!("marblebarrow-{}-{}", std::process::id(), nodes[0].replace(':', "-"));
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("dir");
        let children = (0..count)
            .map(|i| {
                let file = dir.join(format!("c{i}.toml"));
                let text = settings_text(i, &nodes, &peers, &cloud_addr, &store_addr);
                std::fs::write(&file, text).expect("settings");
                let child = std::process::Command::new(env!("CARGO_BIN_EXE_marblebarrow"))
                    .arg("--config")
                    .arg(&file)
                    .stderr(Stdio::null())
                    .spawn()
                    .expect("start");
                Some(child)
            })
            .collect();
        Self { children, nodes, fleet, store, dir }
    }

    /// Asks the controllers that live, in turn, until one answers for good.
    pub fn call(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            for (i, node) in self.nodes.iter().enumerate() {
                if self.children[i].is_none() {
                    continue;
                }
                match ask(node, method, path, body, Duration::from_secs(5)) {
                    Some((429 | 503, _)) | None => {}
                    Some(answer) => return answer,
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("no answer to {method} {path}");
    }

    /// Submits until accepted.
    pub fn submit(&self, id: &str, shape: &str, tasks: u32) {
        let (status, _) = self.call("POST", "/api/jobs", &job_body(id, shape, tasks));
        assert!(matches!(status, 200 | 201), "{id}: {status}");
    }

    /// Waits until every living controller tells that stage.
    pub fn until(&self, id: &str, wanted: &str) {
        let end = Instant::now() + PATIENCE;
        let path = format!("/api/jobs/{id}");
        let mut last = None;
        while Instant::now() < end {
            let all =
                self.nodes.iter().zip(&self.children).filter(|(_, c)| c.is_some()).all(|(n, _)| {
                    last = ask(n, "GET", &path, &[], Duration::from_secs(5));
                    last.as_ref()
                        .is_some_and(|(s, b)| *s == 200 && stage(b).as_deref() == Some(wanted))
                });
            if all {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("{id} never {wanted} everywhere: {last:?}");
    }

    /// Waits until no worker holds a task of the job.
    pub fn until_gone(&self, id: &str) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let on = self.fleet.on.lock().expect("fleet");
            if !on.iter().any(|(t, _)| t.job.as_str() == id) {
                return;
            }
            drop(on);
            thread::sleep(Duration::from_millis(100));
        }
        panic!("{id} still runs");
    }

    /// Kills the process that leads, as the store has it.
    pub fn kill_leader(&mut self) {
        let record = self.store.0.lock().expect("store").kv.get("w/lead").map(|v| v.0.clone());
        let record = record.expect("a leader");
        let leader: marblebarrow_proto::records::LeaderRecord =
            cbor::from_value(&record).expect("record");
        let i: usize = leader.node.as_str()[1..].parse().expect("index");
        if let Some(mut child) = self.children[i].take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// A connection to a controller, with nothing asked yet.
    pub fn connect(&self, i: usize) -> Option<TcpStream> {
        let stream = TcpStream::connect(&self.nodes[i]).ok()?;
        stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
        Some(stream)
    }

    /// What the system says of a controller's process: peak of its memory in KB, and
    /// threads now.
    pub fn peak_kb_and_threads(&self, i: usize) -> (u64, u64) {
        let pid = self.children[i].as_ref().expect("lives").id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("status");
        let field = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name)).expect("field");
            line.split_whitespace().next().and_then(|n| n.parse().ok()).expect("number")
        };
        (field("VmHWM:"), field("Threads:"))
    }

    /// Rules that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.fleet.broken.lock().expect("broken").clone()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
