//! Simulated state service.

use super::http::Reply;
use ciborium::Value;
use marblebarrow_proto::cbor;
use marblebarrow_proto::records::SpecRecord;
use marblebarrow_proto::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Records = BTreeMap<String, (Value, u64, Option<u64>)>;

/// Keys with their versions and leases, and the change history that watches read.
#[derive(Default)]
pub struct Store {
    kv: Records,
    revision: u64,
    history: Vec<(u64, String, Option<Value>)>,
    /// Time of each change, in the order of `history`.
    times: Vec<SystemTime>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Number of blocking watches that returned no events.
    empty_watches: u64,
    /// One response out of this many is damaged; 0 damages none.
    damage_every: u64,
    responses: u64,
}

impl Store {
    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.kv.get(key).map(|record| record.0.clone())
    }

    /// Returns all keys under a prefix that were ever put.
    pub fn keys_ever_put(&self, prefix: &str) -> BTreeSet<String> {
        let puts = self
            .history
            .iter()
            .filter(|(_, key, value)| key.starts_with(prefix) && value.is_some());
        puts.map(|(_, key, _)| key.clone()).collect()
    }

    /// Returns how often a key was put.
    pub fn put_count(&self, key: &str) -> usize {
        self.history.iter().filter(|(_, put, value)| put == key && value.is_some()).count()
    }

    /// Returns the keys that currently exist under a prefix.
    pub fn current_keys(&self, prefix: &str) -> Vec<String> {
        self.kv.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the number of keys that currently exist under a prefix.
    pub fn key_count(&self, prefix: &str) -> usize {
        self.kv.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns the number of puts and deletes so far.
    pub fn changes(&self) -> usize {
        self.history.len()
    }

    /// Formats one line per change so far: seconds since 1970, `put` or `delete`, the key, and for
    /// a job record whether the job was offered to another cell (`offered`) or accepted by it
    /// (`accepted`).
    pub fn change_log(&self) -> String {
        let changes = self.history.iter().zip(&self.times);
        changes.map(|((_, key, value), at)| change_line(key, value.as_ref(), *at)).collect()
    }

    /// Returns how many blocking watches have returned no events.
    pub fn empty_watches(&self) -> u64 {
        self.empty_watches
    }

    /// From now on damages one response out of `every`: invalid CBOR, a truncated body, a
    /// `Content-Length` beyond any limit, or no response at all. The request itself is still
    /// carried out.
    pub fn damage_responses(&mut self, every: u64) {
        self.damage_every = every;
    }

    fn maybe_damage(&mut self, answer: Reply) -> Reply {
        self.responses += 1;
        if self.damage_every == 0 || !self.responses.is_multiple_of(self.damage_every) {
            return answer;
        }
        match self.responses / self.damage_every % 4 {
            0 => Reply::Answer(200, b"\xff{\"ledger\":".to_vec()),
            1 => Reply::HeaderOnly(100),
            2 => Reply::HeaderOnly(usize::MAX / 2),
            _ => Reply::Close,
        }
    }
}

impl Store {
    /// Deletes a key at a new revision.
    fn remove(&mut self, key: &str) {
        if self.kv.remove(key).is_some() {
            self.revision += 1;
            self.record_change(key, None);
        }
    }

    fn record_change(&mut self, key: &str, value: Option<Value>) {
        self.history.push((self.revision, key.to_owned(), value));
        self.times.push(SystemTime::now());
    }

    /// Ends the leases that have expired.
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now > *until)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in expired {
            self.end(lease_id);
        }
    }

    /// Ends a lease and deletes its keys.
    fn end(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        let keys: Vec<String> =
            self.kv.iter().filter(|(_, v)| v.2 == Some(lease_id)).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
    }

    fn commit(&mut self, txn: Txn) -> (u16, Vec<u8>) {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.kv.get(&c.key).map_or(0, |v| v.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (409, cbor::encode(&TxnAnswer { revision: self.revision, failed }));
        }
        let lease_missing = |w: &Write| matches!(w, Write::Put { lease: Some(lease_id), .. } if !self.leases.contains_key(lease_id));
        if txn.writes.iter().any(lease_missing) {
            return (400, Vec::new());
        }
        self.revision += u64::from(!txn.writes.is_empty());
        let r = self.revision;
        for w in txn.writes {
            match w {
                Write::Put { key, value, lease } => {
                    self.record_change(&key, Some(value.clone()));
                    self.kv.insert(key, (value, r, lease));
                }
                Write::Delete { key } => {
                    if self.kv.remove(&key).is_some() {
                        self.record_change(&key, None);
                    }
                }
            }
        }
        (200, cbor::encode(&TxnAnswer { revision: r, failed: Vec::new() }))
    }
}

fn change_line(key: &str, value: Option<&Value>, at: SystemTime) -> String {
    let seconds = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
    let what = if value.is_some() { "put" } else { "delete" };
    let record = value.and_then(|value| cbor::from_value::<SpecRecord>(value).ok());
    let forwarded = match record.and_then(|record| record.forward) {
        Some(forward) if forward.accepted => " accepted",
        Some(_) => " offered",
        None => "",
    };
    format!("{seconds:.3} {what} {key}{forwarded}\n")
}

/// The store, shared between its server and the tests; the condition variable signals changes.
pub type SharedStore = Arc<(Mutex<Store>, Condvar)>;

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let q = path.split_once('?')?.1;
    q.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

/// Handles one HTTP request to the state service.
pub fn handle_store_request(shared: &SharedStore, method: &str, path: &str, body: &[u8]) -> Reply {
    let (lock, changed) = &**shared;
    let mut store = lock.lock().expect("store");
    store.expire();
    let answer = match (method, path) {
        ("POST", "/commit") => store.commit(cbor::decode(body).expect("valid transaction")),
        ("POST", "/grants") => {
            let request: LeaseRequest = cbor::decode(body).expect("valid lease request");
            store.next_lease += 1;
            let (lease_id, ttl) = (store.next_lease, Duration::from_millis(request.ttl_ms));
            store.leases.insert(lease_id, (ttl, Instant::now() + ttl));
            (200, cbor::encode(&LeaseResponse { lease: lease_id }))
        }
        (_, p) if p.starts_with("/grants/") => {
            let lease_id: u64 =
                p["/grants/".len()..].trim_end_matches("/touch").parse().expect("numeric lease id");
            match (method, store.leases.get_mut(&lease_id)) {
                (_, None) => (404, Vec::new()),
                ("DELETE", Some(_)) => {
                    store.end(lease_id);
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
            let prefix = query(p, "under").unwrap_or("");
            let after = query(p, "after").unwrap_or("");
            let items: Vec<Item> = store
                .kv
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
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
            let prefix = query(p, "under").unwrap_or("").to_owned();
            let after: u64 = query(p, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
            let wait: u64 = query(p, "block_ms").and_then(|a| a.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                store.expire();
                let first = store.history.partition_point(|(r, ..)| *r <= after);
                let events: Vec<WatchEvent> = store.history[first..]
                    .iter()
                    .filter(|(_, k, _)| k.starts_with(&prefix))
                    .map(|(r, key, v)| match v.clone() {
                        Some(value) => WatchEvent::Put { key: key.clone(), value, version: *r },
                        None => WatchEvent::Delete { key: key.clone(), version: *r },
                    })
                    .collect();
                let remaining = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || remaining.is_zero() {
                    store.empty_watches += u64::from(events.is_empty() && wait > 0);
                    let answer = WatchAnswer { revision: store.revision, events };
                    break (200, cbor::encode(&answer));
                }
                let pause = remaining.min(Duration::from_millis(100));
                store = changed.wait_timeout(store, pause).expect("wait").0;
            }
        }
        _ => (404, Vec::new()),
    };
    changed.notify_all();
    let (status, body) = answer;
    store.maybe_damage(Reply::Answer(status, body))
}
