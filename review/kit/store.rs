//! The state service, as the protocol page describes it. Every controller has an address of its
//! own, so that one of them can be refused alone.

use crate::cbor::{Int, List, Map, Value, map, text};
use crate::http::{Reply, serve};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

/// A rate limit with bursts of one second's worth.
struct Bucket {
    left: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64, n: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let enough = self.left >= n;
        if enough {
            self.left -= n;
        }
        enough
    }
}

struct State {
    entries: BTreeMap<String, Entry>,
    ledger: u64,
    history: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    limits: Limits,
    requests: Bucket,
    changes: Bucket,
    outage: bool,
    refused: BTreeSet<usize>,
}

/// The service.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new(limits: Limits) -> Arc<Self> {
        let now = Instant::now();
        let state = State {
            entries: BTreeMap::new(),
            ledger: 0,
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            limits,
            requests: Bucket { left: limits.rps, at: now },
            changes: Bucket { left: limits.write_rps, at: now },
            outage: false,
            refused: BTreeSet::new(),
        };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store")
    }

    /// Serves a controller and returns the address for it.
    pub fn serve_node(self: &Arc<Self>, node: usize) -> SocketAddr {
        let store = self.clone();
        serve(move |method, path, body| store.handle(node, method, path, body))
    }

    /// Begins or ends an outage for all. Once it ends, every lease has its full time again.
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.lock();
        if state.outage && !outage {
            let now = Instant::now();
            state.leases.values_mut().for_each(|lease| lease.until = now + lease.ttl);
        }
        state.outage = outage;
        self.changed.notify_all();
    }

    /// Refuses one controller alone, or serves it again.
    pub fn set_refused(&self, node: usize, refused: bool) {
        let mut state = self.lock();
        if refused {
            state.refused.insert(node)
        } else {
            state.refused.remove(&node)
        };
        self.changed.notify_all();
    }

    /// Changes the limits without notice.
    pub fn set_limits(&self, limits: Limits) {
        self.lock().limits = limits;
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().entries.get(key).map(|entry| entry.value.clone())
    }

    fn handle(&self, node: usize, method: &str, path: &str, body: &[u8]) -> Reply {
        let mut state = self.lock();
        state.expire();
        if state.unavailable(node) {
            return Reply::Answer(503, map(&[("error", text("trouble"))]).encode());
        }
        let rate = state.limits.rps;
        if !state.requests.take(rate, 1.0) {
            return Reply::Answer(429, Vec::new());
        }
        let (status, body) = match (method, path) {
            ("POST", "/commit") => state.commit(&Value::decode(body)),
            ("POST", "/grants") => state.grant(Value::decode(body).int("ttl_ms")),
            (_, p) if p.starts_with("/grants/") => state.lease(method, p),
            ("GET", p) if p.starts_with("/store/") => state.read(&p["/store/".len()..]),
            ("GET", p) if p.starts_with("/store?") => state.page(p),
            ("GET", p) if p.starts_with("/watch?") => {
                drop(state);
                return self.watch(node, path);
            }
            _ => (400, map(&[])),
        };
        self.changed.notify_all();
        Reply::Answer(status, body.encode())
    }

    fn watch(&self, node: usize, path: &str) -> Reply {
        let prefix = query(path, "under").unwrap_or("").to_owned();
        let after: u64 = query(path, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let block: u64 = query(path, "block_ms").and_then(|b| b.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut state = self.lock();
        loop {
            state.expire();
            // Open watches remain open while the service is unavailable.
            if !state.unavailable(node) {
                let events = state.events(&prefix, after);
                if !events.is_empty() || Instant::now() >= until {
                    let answer =
                        map(&[("ledger", Int(state.ledger.into())), ("events", List(events))]);
                    return Reply::Answer(200, answer.encode());
                }
            }
            let pause = Duration::from_millis(20);
            state = self.changed.wait_timeout(state, pause).expect("store").0;
        }
    }
}

impl State {
    fn unavailable(&self, node: usize) -> bool {
        self.outage || self.refused.contains(&node)
    }

    fn expire(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| now > lease.until);
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.hold == Some(id));
        for key in attached.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.entries.remove(&key);
            self.ledger += 1;
            self.history.push((self.ledger, key, None));
        }
    }

    fn commit(&mut self, txn: &Value) -> (u16, Value) {
        let (when, writes) = (txn.list("when"), txn.list("writes"));
        let limits = self.limits;
        let largest = writes.iter().filter_map(|w| w.get("v")).map(Value::json_len).max();
        let malformed = writes.len() > limits.txn_ops
            || when.len() > limits.txn_ops * 4
            || largest.unwrap_or(0) as f64 > limits.value_kb * 1024.0
            || txn.json_len() > 64 * 1024;
        if malformed {
            return (400, map(&[("error", text("too large"))]));
        }
        if !writes.is_empty() && !self.changes.take(limits.write_rps, writes.len() as f64) {
            return (429, map(&[]));
        }
        let stamp = |key: &str| self.entries.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<Value> = when
            .iter()
            .filter(|c| stamp(c.str("key")) != c.int("stamp"))
            .map(|c| text(c.str("key")))
            .collect();
        if !failed.is_empty() {
            let ledger = Int(self.ledger.into());
            return (409, map(&[("failed", List(failed)), ("ledger", ledger)]));
        }
        let hold = |w: &Value| w.get("hold").map(|_| w.int("hold"));
        if writes.iter().filter_map(hold).any(|id| !self.leases.contains_key(&id)) {
            return (400, map(&[("error", text("no such lease"))]));
        }
        self.ledger += u64::from(!writes.is_empty());
        for write in writes {
            if let Some(Value::Text(key)) = write.get("put") {
                let value = write.get("v").cloned().unwrap_or(Value::Null);
                self.history.push((self.ledger, key.clone(), Some(value.clone())));
                let entry = Entry { value, stamp: self.ledger, hold: hold(write) };
                self.entries.insert(key.clone(), entry);
            } else if self.entries.remove(write.str("drop")).is_some() {
                self.history.push((self.ledger, write.str("drop").to_owned(), None));
            }
        }
        (200, map(&[("ledger", Int(self.ledger.into()))]))
    }

    fn grant(&mut self, ttl_ms: u64) -> (u16, Value) {
        self.next_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.next_lease, Lease { ttl, until: Instant::now() + ttl });
        (200, map(&[("hold", Int(self.next_lease.into()))]))
    }

    fn lease(&mut self, method: &str, path: &str) -> (u16, Value) {
        let id = path["/grants/".len()..].trim_end_matches("/touch").parse().unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else { return (404, map(&[])) };
        if method == "DELETE" {
            self.end(id);
        } else {
            lease.until = Instant::now() + lease.ttl;
        }
        (200, map(&[]))
    }

    fn read(&self, key: &str) -> (u16, Value) {
        match self.entries.get(key) {
            Some(entry) => (200, item(key, entry)),
            None => (404, map(&[("ledger", Int(self.ledger.into()))])),
        }
    }

    fn page(&self, path: &str) -> (u16, Value) {
        let prefix = query(path, "under").unwrap_or("");
        let after = query(path, "after").unwrap_or("");
        let limit: usize = query(path, "limit").and_then(|l| l.parse().ok()).unwrap_or(1000);
        let mut items = Vec::new();
        let (mut size, mut truncated) = (0, false);
        let found = self.entries.iter();
        for (key, entry) in found.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after) {
            let next = item(key, entry);
            size += next.json_len();
            if items.len() >= limit.min(1000) || size > 512 * 1024 {
                truncated = true;
                break;
            }
            items.push(next);
        }
        let ledger = Int(self.ledger.into());
        let fields =
            [("items", List(items)), ("truncated", Value::Bool(truncated)), ("ledger", ledger)];
        (200, map(&fields))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let first = self.history.partition_point(|(at, ..)| *at <= after);
        let found = self.history[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let event = |(at, key, value): &(u64, String, Option<Value>)| {
            let stamp = Int((*at).into());
            match value {
                Some(value) => map(&[("put", text(key)), ("v", value.clone()), ("stamp", stamp)]),
                None => map(&[("drop", text(key)), ("stamp", stamp)]),
            }
        };
        found.map(event).collect()
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    let mut fields = vec![
        ("key".to_owned(), text(key)),
        ("v".to_owned(), entry.value.clone()),
        ("stamp".to_owned(), Int(entry.stamp.into())),
    ];
    if let Some(hold) = entry.hold {
        fields.push(("hold".to_owned(), Int(hold.into())));
    }
    Map(fields)
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let fields = path.split_once('?')?.1;
    fields.split('&').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}
