//! A controller's local copy of the cascade lists: the jobs that a cascade cancelled, and the
//! version of the generation key up to which the copy is complete.
//!
//! Every transaction that adds a list also updates the generation key. An answer `queued` or
//! `running` is proven by a transaction that requires the generation of this copy, so no list
//! was added since. The job is in no earlier list either: each of them is in this copy, or was
//! removed after all its jobs got a final state, which the same transaction requires to be
//! absent. So however old the copy is, no user is told an outdated state of an `aborted` job.

use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::CascadeRecord;
use std::collections::BTreeMap;

/// A cascade list as recorded in the store.
#[derive(Debug, Clone)]
pub struct CascadeList {
    /// The cancelled jobs.
    pub jobs: Vec<JobId>,
    /// Version of the list's key.
    pub version: u64,
}

/// The local copy of the cascade lists, by key, with an index of the jobs in them.
#[derive(Debug, Default)]
pub struct CascadedJobs {
    lists: BTreeMap<String, CascadeList>,
    /// For each job, the number of lists that contain it.
    jobs: BTreeMap<JobId, usize>,
    generation: u64,
}

impl CascadedJobs {
    /// Whether the job is in a cascade list, and so cancelled.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Version of the generation key up to which the copy is complete; 0 if no list was ever
    /// added.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The lists, ordered by key.
    pub fn lists(&self) -> &BTreeMap<String, CascadeList> {
        &self.lists
    }

    /// Raises the known version of the generation key.
    pub fn set_generation(&mut self, version: u64) {
        self.generation = self.generation.max(version);
    }

    /// Adds a list, or replaces the one under the same key.
    pub fn put(&mut self, key: &str, record: CascadeRecord, version: u64) {
        self.remove(key);
        for job in &record.jobs {
            *self.jobs.entry(job.clone()).or_default() += 1;
        }
        self.lists.insert(key.to_owned(), CascadeList { jobs: record.jobs, version });
    }

    /// Removes a list, as each of its jobs has a final state.
    pub fn remove(&mut self, key: &str) {
        let Some(list) = self.lists.remove(key) else { return };
        for job in &list.jobs {
            let Some(count) = self.jobs.get_mut(job) else { continue };
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.jobs.remove(job);
            }
        }
    }
}
