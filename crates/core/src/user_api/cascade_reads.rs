//! Reads of the cascade lists by a controller whose copy is behind.
//!
//! A poll is answered on the strength of the cascade generation that is known here. Usually the
//! watch brings a new one within tenths of a second. Where it doesn't, the lists are read from
//! the store: the generation key sorts before them, so a list that is added while they are read
//! has a newer generation than the one read, and one that is removed leaves final states behind.

use super::{Pending, RequestContext, UserApi};
use crate::cascaded_jobs::CascadedJobs;
use crate::consts::STORE_RETRY_S;
use crate::event::{ActionSink, Secs, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::records::{CASCADE_GENERATION, CASCADE_RECORDS, CASCADES};
use marblebarrow_proto::wire::Item;

/// The lists as they were last read, and the read under way.
#[derive(Debug, Default)]
pub(super) struct CascadeReads {
    latest: Option<CascadedJobs>,
    reading: Option<CascadedJobs>,
    /// No read begins before.
    next: Secs,
}

impl UserApi {
    /// The newest lists known here: the watch's, or those that were read since.
    pub(super) fn cascaded<'a>(&'a self, context: &RequestContext<'a>) -> &'a CascadedJobs {
        let watched = &context.replica.cascaded;
        let read = self.cascade_reads.latest.as_ref();
        read.filter(|read| read.generation() > watched.generation()).unwrap_or(watched)
    }

    /// Reads the lists, unless a read is under way.
    pub(super) fn read_cascades(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        let reads = &mut self.cascade_reads;
        if reads.reading.is_some() || context.now < reads.next {
            return;
        }
        reads.reading = Some(CascadedJobs::default());
        self.read_cascade_page(String::new(), out);
    }

    fn read_cascade_page(&mut self, after: String, out: &mut ActionSink) {
        let op = out.store(StoreRequest::Range { prefix: CASCADE_RECORDS.into(), after });
        self.pending.insert(op, Pending::CascadePage);
    }

    /// A page of the lists came, or didn't.
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
            take_item(&mut lists, item);
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

    /// Forgets lists that were read once the watch shows as much.
    pub(super) fn drop_old_cascade_reads(&mut self, context: &RequestContext<'_>) {
        let watched = context.replica.cascaded.generation();
        let reads = &mut self.cascade_reads;
        reads.latest.take_if(|read| read.generation() <= watched);
    }
}

/// Takes a record in; a list that can't be read is passed over, as the watch does.
fn take_item(lists: &mut CascadedJobs, item: &Item) {
    if item.key == CASCADE_GENERATION {
        lists.set_generation(item.version);
    } else if item.key.starts_with(CASCADES)
        && let Ok(record) = from_value(&item.value)
    {
        lists.put(&item.key, record, item.version);
    }
}
