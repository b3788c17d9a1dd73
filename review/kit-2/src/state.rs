//! The state service. Every controller has a port of its own, so that a single one can be refused
//! or left without an answer.

use crate::cbor::{decode, encode, i, map, t, V};
use crate::http::{serve, Reply};
use crate::util::{note, now, sleep, Rng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

struct Key {
    v: V,
    stamp: u64,
    hold: Option<u64>,
}

struct Change {
    stamp: u64,
    key: String,
    v: Option<V>,
}

struct Limits {
    rps: f64,
    write_rps: f64,
    txn_ops: usize,
    value_bytes: usize,
}

struct Inner {
    kv: BTreeMap<String, Key>,
    ledger: u64,
    history: Vec<Change>,
    grants: BTreeMap<u64, (f64, f64)>,
    next_grant: u64,
    tokens: (f64, f64, f64),
    limits: Limits,
    rng: Rng,
    log_commits: bool,
}

/// What happens to a request on its way.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    Free,
    /// Neither carried out nor answered.
    Lost,
    /// Carried out and answered after that time.
    Slow(f64),
}

/// Decides about a request of a controller. Gets the controller, method, path and, for a
/// transaction, its content.
pub type Ways = Box<dyn Fn(usize, &str, &str, Option<&V>) -> Way + Send>;

/// The service, shared.
pub struct State {
    inner: Mutex<Inner>,
    ways: Mutex<Option<Ways>>,
    changed: Condvar,
}

fn json_len(v: &V) -> usize {
    match v {
        V::Null => 4,
        V::Bool(_) => 5,
        V::Int(n) => n.to_string().len(),
        V::Float(f) => format!("{f:?}").len(),
        V::Text(s) => s.len() + 2,
        V::List(l) => 2 + l.iter().map(|x| json_len(x) + 1).sum::<usize>(),
        V::Map(m) => 2 + m.iter().map(|(k, x)| json_len(k) + json_len(x) + 2).sum::<usize>(),
    }
}

impl State {
    /// Starts the service for `nodes` controllers; returns the address for each.
    pub fn start(
        nodes: usize,
        rps: f64,
        write_rps: f64,
        txn_ops: usize,
        seed: u64,
    ) -> (Arc<Self>, Vec<SocketAddr>) {
        let inner = Inner {
            kv: BTreeMap::new(),
            ledger: 0,
            history: Vec::new(),
            grants: BTreeMap::new(),
            next_grant: 1,
            tokens: (rps, write_rps, now()),
            limits: Limits { rps, write_rps, txn_ops, value_bytes: 16 * 1024 },
            rng: Rng::new(seed ^ 77),
            log_commits: false,
        };
        let state = Arc::new(Self {
            inner: Mutex::new(inner),
            ways: Mutex::new(None),
            changed: Condvar::new(),
        });
        let addrs = (0..nodes)
            .map(|n| {
                let s = state.clone();
                serve(move |m, p, b| s.clone().handle(n, m, p, b))
            })
            .collect();
        (state, addrs)
    }

    /// Loses or delays the requests that `ways` names.
    pub fn set_ways(&self, ways: Ways) {
        *self.ways.lock().unwrap() = Some(ways);
    }
    pub fn log_commits(&self) {
        self.inner.lock().unwrap().log_commits = true;
    }

    /// The index of the controller that holds the leader key.
    pub fn leader(&self) -> Option<usize> {
        let mut s = self.inner.lock().unwrap();
        s.expire();
        let name = s.kv.get("w/lead")?.v.str("node")?.to_owned();
        name.rsplit('-').next()?.parse().ok()
    }
    pub fn keys(&self, under: &str) -> Vec<String> {
        let s = self.inner.lock().unwrap();
        s.kv.keys().filter(|k| k.starts_with(under)).cloned().collect()
    }

    fn handle(self: Arc<Self>, node: usize, method: &str, path: &str, body: &[u8]) -> Reply {
        let pause = {
            let rng = &mut self.inner.lock().unwrap().rng;
            let slow = if rng.chance(0.005) { 0.2 } else { 0.0 };
            rng.between(0.0015, 0.006) + slow
        };
        let watch = path.starts_with("/watch");
        let content = if path == "/commit" { decode(body) } else { None };
        let way = match &*self.ways.lock().unwrap() {
            Some(ways) => ways(node, method, path, content.as_ref()),
            None => Way::Free,
        };
        match way {
            Way::Free => {}
            Way::Lost => {
                sleep(3.0);
                return None;
            }
            Way::Slow(s) => sleep(s),
        }
        sleep(pause);
        if watch {
            return self.watch(path);
        }
        let mut s = self.inner.lock().unwrap();
        s.expire();
        if !s.allow(1.0, 0.0) {
            return Some((429, Vec::new()));
        }
        if (method, path) == ("POST", "/commit") {
            let Some(txn) = decode(body) else { return Some((400, Vec::new())) };
            let answer = s.commit(&txn);
            if s.log_commits {
                note(&format!(
                    "state: commit of controller {node}: {} -> {}",
                    describe(&txn),
                    answer.0
                ));
            }
            self.changed.notify_all();
            return Some(answer);
        }
        let answer = s.other(method, path, body);
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, path: &str) -> Reply {
        let under = query(path, "under").unwrap_or("").to_owned();
        let after: u64 = query(path, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let block: f64 = query(path, "block_ms").and_then(|a| a.parse().ok()).unwrap_or(0.0);
        let until = now() + block / 1e3;
        let mut s = self.inner.lock().unwrap();
        if !s.allow(1.0, 0.0) {
            return Some((429, Vec::new()));
        }
        loop {
            s.expire();
            let ledger = s.ledger;
            if s.history.len() > 10_000 {
                let cut = s.history.len() - 10_000;
                s.history.drain(..cut);
            }
            if s.history.len() >= 10_000 && s.history[0].stamp > after + 1 {
                return Some((410, Vec::new()));
            }
            let from = s.history.partition_point(|c| c.stamp <= after);
            let changes = s.history[from..].iter().filter(|c| c.key.starts_with(&under));
            let events: Vec<V> = changes
                .map(|c| match &c.v {
                    Some(v) => map([("put", t(&c.key)), ("v", v.clone()), ("stamp", i(c.stamp))]),
                    None => map([("drop", t(&c.key)), ("stamp", i(c.stamp))]),
                })
                .collect();
            if !events.is_empty() || now() >= until {
                return Some((
                    200,
                    encode(&map([("ledger", i(ledger)), ("events", V::List(events))])),
                ));
            }
            s = self.changed.wait_timeout(s, Duration::from_millis(20)).unwrap().0;
        }
    }
}

fn describe(txn: &V) -> String {
    let keys = |name: &str, fields: [&str; 2]| -> String {
        txn.list(name)
            .iter()
            .filter_map(|e| e.str(fields[0]).or_else(|| e.str(fields[1])))
            .collect::<Vec<_>>()
            .join(" ")
    };
    format!("when [{}] writes [{}]", keys("when", ["key", "key"]), keys("writes", ["put", "drop"]))
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let q = path.split_once('?')?.1;
    q.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Inner {
    fn allow(&mut self, requests: f64, writes: f64) -> bool {
        let at = now();
        let gone = at - self.tokens.2;
        let (r, w) = (self.limits.rps, self.limits.write_rps);
        self.tokens.0 = (self.tokens.0 + gone * r).min(r);
        self.tokens.1 = (self.tokens.1 + gone * w).min(w);
        self.tokens.2 = at;
        if self.tokens.0 < requests || self.tokens.1 < writes {
            return false;
        }
        self.tokens.0 -= requests;
        self.tokens.1 -= writes;
        true
    }

    fn expire(&mut self) {
        let at = now();
        let over: Vec<u64> =
            self.grants.iter().filter(|(_, g)| at > g.1 + 0.02).map(|(k, _)| *k).collect();
        over.into_iter().for_each(|g| self.end(g));
    }

    fn end(&mut self, grant: u64) {
        self.grants.remove(&grant);
        let keys: Vec<String> =
            self.kv.iter().filter(|(_, k)| k.hold == Some(grant)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.ledger += 1;
            self.kv.remove(&key);
            self.history.push(Change { stamp: self.ledger, key, v: None });
        }
    }

    fn commit(&mut self, txn: &V) -> (u16, Vec<u8>) {
        let (when, writes) = (txn.list("when"), txn.list("writes"));
        let big = writes
            .iter()
            .any(|w| w.get("v").is_some_and(|v| json_len(v) > self.limits.value_bytes));
        if writes.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || big
            || json_len(txn) > 65536
        {
            return (400, encode(&map([("error", t("too large"))])));
        }
        if !writes.is_empty() && !self.allow(0.0, writes.len() as f64) {
            return (429, Vec::new());
        }
        let lost = |w: &V| w.int("hold").is_some_and(|h| !self.grants.contains_key(&h));
        if writes.iter().any(lost) {
            return (400, encode(&map([("error", t("no such lease"))])));
        }
        let failed: Vec<V> = when
            .iter()
            .filter_map(|c| Some((c.str("key")?, c.int("stamp").unwrap_or(0))))
            .filter(|(key, stamp)| self.kv.get(*key).map_or(0, |k| k.stamp) != *stamp)
            .map(|(key, _)| t(key))
            .collect();
        if !failed.is_empty() {
            let answer = map([("failed", V::List(failed)), ("ledger", i(self.ledger))]);
            return (409, encode(&answer));
        }
        if !writes.is_empty() {
            self.ledger += 1;
        }
        let stamp = self.ledger;
        for w in writes {
            if let Some(key) = w.str("put") {
                let v = w.get("v").cloned().unwrap_or(V::Null);
                self.history.push(Change { stamp, key: key.into(), v: Some(v.clone()) });
                self.kv.insert(key.into(), Key { v, stamp, hold: w.int("hold") });
            } else if let Some(key) = w.str("drop") {
                if self.kv.remove(key).is_some() {
                    self.history.push(Change { stamp, key: key.into(), v: None });
                }
            }
        }
        (200, encode(&map([("ledger", i(self.ledger))])))
    }

    fn other(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if (method, path) == ("POST", "/grants") {
            let ttl = decode(body).and_then(|b| b.num("ttl_ms")).unwrap_or(1000.0) / 1e3;
            let id = self.next_grant;
            self.next_grant += 1;
            self.grants.insert(id, (ttl, now() + ttl));
            return (200, encode(&map([("hold", i(id))])));
        }
        if let Some(rest) = path.strip_prefix("/grants/") {
            let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
            let Some((ttl, until)) = self.grants.get_mut(&id) else { return (404, Vec::new()) };
            if method == "DELETE" {
                self.end(id);
            } else {
                *until = now() + *ttl;
            }
            return (200, encode(&map([("hold", i(id))])));
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.kv.get(key) {
                Some(k) => {
                    let mut m =
                        vec![(t("key"), t(key)), (t("v"), k.v.clone()), (t("stamp"), i(k.stamp))];
                    if let Some(h) = k.hold {
                        m.push((t("hold"), i(h)));
                    }
                    (200, encode(&V::Map(m)))
                }
                None => (404, encode(&map([("ledger", i(self.ledger))]))),
            };
        }
        if path.starts_with("/store?") {
            let under = query(path, "under").unwrap_or("").to_owned();
            let after = query(path, "after").unwrap_or("").to_owned();
            let limit: usize = query(path, "limit").and_then(|l| l.parse().ok()).unwrap_or(1000);
            let mut all = self.kv.iter().filter(|(k, _)| k.starts_with(&under) && **k > after);
            let items: Vec<V> = all
                .by_ref()
                .take(limit.min(1000))
                .map(|(k, x)| map([("key", t(k)), ("v", x.v.clone()), ("stamp", i(x.stamp))]))
                .collect();
            let more = all.next().is_some();
            let page = map([
                ("items", V::List(items)),
                ("truncated", V::Bool(more)),
                ("ledger", i(self.ledger)),
            ]);
            return (200, encode(&page));
        }
        (404, Vec::new())
    }
}
