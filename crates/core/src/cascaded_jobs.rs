//! A controller's copy of the cascade lists: the jobs that a cascade cancelled, and the
//! version of the generation key up to which the copy is whole.
//!
//! Every transaction that adds a list also puts the generation key. So an answer `queued`
//! or `running`, proven by a transaction that requires the generation known here, says that
//! no list was added since; and the job is in no earlier one, as those are all in this copy
//! or were removed after each of their jobs got a final state (which the same transaction
//! requires to be absent). Whatever the copy's age, no user is told something older than
//! `aborted`.

use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::CascadeRecord;
use std::collections::BTreeMap;

/// One list as the store holds it.
#[derive(Debug, Clone)]
pub struct CascadeList {
    /// The jobs.
    pub jobs: Vec<JobId>,
    /// Version of its key.
    pub version: u64,
}

/// The lists, by key, and the jobs in them.
#[derive(Debug, Default)]
pub struct CascadedJobs {
    lists: BTreeMap<String, CascadeList>,
    /// In how many lists each job is.
    jobs: BTreeMap<JobId, usize>,
    generation: u64,
}

impl CascadedJobs {
    /// Whether a cascade cancelled the job and its list is still there.
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Version of the generation key that the copy is whole up to; 0: no list was ever added.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The lists, in the order of their keys.
    pub fn lists(&self) -> &BTreeMap<String, CascadeList> {
        &self.lists
    }

    /// The generation key has that version.
    pub fn set_generation(&mut self, version: u64) {
        self.generation = self.generation.max(version);
    }

    /// A list is there.
    pub fn put(&mut self, key: &str, record: CascadeRecord, version: u64) {
        self.remove(key);
        for job in &record.jobs {
            *self.jobs.entry(job.clone()).or_default() += 1;
        }
        self.lists.insert(key.to_owned(), CascadeList { jobs: record.jobs, version });
    }

    /// A list is gone: each of its jobs has a final state.
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
