//! Simulated state service: keys, leases and transactions.

use super::*;

/// The kind of a key: its prefix without the part that names one job or machine, such as `w/spec/`
/// or `end/`.
fn key_kind(key: &str) -> String {
    let mut parts = key.splitn(3, '/');
    let first = parts.next().unwrap_or_default();
    match (first, parts.next()) {
        ("w", Some(second)) => format!("w/{second}/"),
        _ => format!("{first}/"),
    }
}

/// Totals of the changes made to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreWork {
    /// Keys put or deleted.
    pub changes: usize,
    /// Bytes of the values put.
    pub bytes: usize,
    /// Bytes of the largest value put.
    pub largest_value: usize,
    /// Bytes of the values of the largest transaction.
    pub largest_transaction: usize,
}

impl StoreWork {
    /// Adds the changes of a transaction to the totals.
    pub(super) fn add(&mut self, txn: &Txn) {
        let mut total = 0;
        for write in &txn.writes {
            if let Write::Put { value, .. } = write {
                let bytes = cbor::encode(value).len();
                self.largest_value = self.largest_value.max(bytes);
                total += bytes;
            }
        }
        self.changes += txn.writes.len();
        self.bytes += total;
        self.largest_transaction = self.largest_transaction.max(total);
    }
}

impl World {
    /// Ends the leases that have expired.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now();
        if self.step < self.store_down_until {
            // During an outage no lease expires: each has its full time to live when it ends.
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
            return;
        }
        let dead: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| now > *until).map(|(g, _)| *g).collect();
        for g in dead {
            self.end_lease(g);
        }
    }

    /// Ends a lease and deletes the keys bound to it.
    pub(super) fn end_lease(&mut self, g: u64) {
        self.leases.remove(&g);
        let keys: Vec<String> =
            self.kv.iter().filter(|(_, v)| v.2 == Some(g)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.kv.remove(&key);
            self.history.push((self.revision, key, None));
        }
    }

    /// Executes a request to the store.
    pub(super) fn store(&mut self, req: &StoreRequest) -> StoreResult {
        let now = self.now();
        if !self.within_limits(req) {
            return StoreResult::Refused;
        }
        match req {
            StoreRequest::Commit(txn) => {
                // Sizes are checked first, whether or not the conditions hold.
                if self.too_large(txn) {
                    self.note_too_large(txn);
                    return StoreResult::Rejected;
                }
                let failed: Vec<String> = txn
                    .conditions
                    .iter()
                    .filter(|c| self.kv.get(&c.key).map_or(0, |v| v.1) != c.version)
                    .map(|c| c.key.clone())
                    .collect();
                if !failed.is_empty() {
                    if !txn.writes.is_empty() {
                        self.observed.conflicts.push(self.step);
                    }
                    return StoreResult::Conflict(failed);
                }
                let has_unknown_lease = txn.writes.iter().any(
                    |w| matches!(w, Write::Put { lease: Some(g), .. } if !self.leases.contains_key(g)),
                );
                if has_unknown_lease {
                    return StoreResult::Rejected;
                }
                if txn.writes.len() > 16 || txn.conditions.len() > 64 {
                    self.violations.push(format!("too large a transaction: {}", txn.writes.len()));
                }
                if !txn.writes.is_empty() {
                    self.store_work.add(txn);
                    self.revision += 1;
                    let second = self.step.saturating_sub(10);
                    self.recent_changes.retain(|(at, _)| *at > second);
                    self.recent_changes.push((self.step, txn.writes.len()));
                    let changes = self.recent_changes.iter().map(|(_, n)| n).sum();
                    self.max_changes_per_second = self.max_changes_per_second.max(changes);
                }
                self.check_blocks(txn);
                for w in &txn.writes {
                    match w {
                        Write::Put { key, value, lease } => {
                            *self.puts.entry(key_kind(key)).or_default() += 1;
                            self.kv.insert(key.clone(), (value.clone(), self.revision, *lease));
                            self.history.push((self.revision, key.clone(), Some(value.clone())));
                        }
                        Write::Delete { key } => {
                            if self.kv.remove(key).is_some() {
                                self.history.push((self.revision, key.clone(), None));
                            }
                        }
                    }
                }
                StoreResult::Committed(self.revision)
            }
            StoreRequest::Get(key) => {
                StoreResult::Value(self.kv.get(key).map(|(v, version, _)| Item {
                    key: key.clone(),
                    value: v.clone(),
                    version: *version,
                }))
            }
            StoreRequest::Range { prefix, after } => {
                let mut items: Vec<Item> = self
                    .kv
                    .range(prefix.clone().max(after.clone())..)
                    .take_while(|(k, _)| k.starts_with(prefix))
                    .filter(|(k, _)| *k > after)
                    .take(self.store_page_keys + 1)
                    .map(|(k, (v, version, _))| Item {
                        key: k.clone(),
                        value: v.clone(),
                        version: *version,
                    })
                    .collect();
                let more = items.len() > self.store_page_keys;
                items.truncate(self.store_page_keys);
                StoreResult::Page(ItemPage { items, more, revision: self.revision })
            }
            StoreRequest::GrantLease(ttl) => {
                self.next_lease += 1;
                let ttl = *ttl as f64 / 1e3;
                self.leases.insert(self.next_lease, (ttl, now + ttl));
                StoreResult::LeaseGranted(self.next_lease)
            }
            StoreRequest::KeepAlive(g) => match self.leases.get_mut(g) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreResult::LeaseRenewed
                }
                None => StoreResult::NoLease,
            },
            StoreRequest::RevokeLease(g) => {
                self.end_lease(*g);
                StoreResult::LeaseRenewed
            }
        }
    }
}
