//! Reads of the cascade lists by a controller whose local copy is behind.
//!
//! The check behind a poll requires the cascade generation that this controller knows. Usually
//! the watch delivers a new generation within tenths of a second. Otherwise the lists are read
//! from the store. The generation key sorts before them, so a list that is added during the
//! read has a newer generation than the one read; and the jobs of a list that is removed during
//! the read have final states.

use super::{Pending, RequestContext, UserApi};
use crate::cascaded_jobs::CascadedJobs;
use crate::consts::STORE_RETRY_S;
use crate::event::{ActionSink, Secs, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::records::{
    CASCADE_GENERATION_KEY, CASCADE_RECORDS_PREFIX, CASCADES_PREFIX,
};
use marblebarrow_proto::wire::Item;

/// The cascade lists as last read from the store, and the read in flight.
#[derive(Debug, Default)]
pub(super) struct CascadeReads {
    /// The lists of the last complete read, while they are newer than the watch's.
    latest: Option<CascadedJobs>,
    /// The pages received so far of the read in flight.
    reading: Option<CascadedJobs>,
    /// No new read is started before this time.
    next: Secs,
}

impl UserApi {
    /// The newest known cascade lists: those of the watch, or those read from the store if they
    /// are newer.
    pub(super) fn cascaded<'a>(&'a self, context: &RequestContext<'a>) -> &'a CascadedJobs {
        let watched = &context.replica.cascaded;
        let read = self.cascade_reads.latest.as_ref();
        read.filter(|read| read.generation() > watched.generation()).unwrap_or(watched)
    }

    /// Starts a read of the lists, unless one is in flight or the pause after a failed read
    /// lasts.
    pub(super) fn read_cascades(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        let reads = &mut self.cascade_reads;
        if reads.reading.is_some() || context.now < reads.next {
            return;
        }
        reads.reading = Some(CascadedJobs::default());
        self.read_cascade_page(String::new(), out);
    }

    fn read_cascade_page(&mut self, after: String, out: &mut ActionSink) {
        let op = out.store(StoreRequest::Range { prefix: CASCADE_RECORDS_PREFIX.into(), after });
        self.pending.insert(op, Pending::CascadePage);
    }

    /// Handles the reply to the read of a page of the lists.
    pub(super) fn cascade_page_read(
        &mut self,
        context: &RequestContext<'_>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        let Some(mut lists) = self.cascade_reads.reading.take() else { return };
        let StoreResult::Page(page) = result else {
            self.cascade_reads.next = context.now + STORE_RETRY_S;
            return;
        };
        for item in &page.items {
            apply_item(&mut lists, item);
        }
        let last = page.items.last().filter(|_| page.more);
        if let Some(last) = last {
            self.cascade_reads.reading = Some(lists);
            return self.read_cascade_page(last.key.clone(), out);
        }
        self.cascade_reads.latest = Some(lists);
        self.next_check = self.next_check.min(context.now);
        self.check(context, out);
    }

    /// Drops the lists that were read once the watch has delivered a generation as new.
    pub(super) fn drop_old_cascade_reads(&mut self, context: &RequestContext<'_>) {
        let watched = context.replica.cascaded.generation();
        let reads = &mut self.cascade_reads;
        reads.latest.take_if(|read| read.generation() <= watched);
    }
}

/// Adds a record to the lists. A list that can't be decoded is skipped, as the watch does.
fn apply_item(lists: &mut CascadedJobs, item: &Item) {
    if item.key == CASCADE_GENERATION_KEY {
        lists.set_generation(item.version);
    } else if item.key.starts_with(CASCADES_PREFIX)
        && let Ok(record) = from_value(&item.value)
    {
        lists.put(&item.key, record, item.version);
    }
}
