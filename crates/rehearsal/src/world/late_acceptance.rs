//! A job accepted although its dependency was cancelled: the cancellation fell between the check
//! that the dependency is accepted and the write that accepts the job, so that no controller saw
//! both.

use super::*;
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key, spec_key};

/// Number of the cancelled job, far above those of the users' jobs.
const CANCELLED_NUMBER: u32 = 90_001;
/// Number of the job that depends on it.
const DEPENDENT_NUMBER: u32 = 90_002;

impl World {
    /// Writes the state that this race leaves into the store: the cancelled job, of which only the
    /// final state remains, and a queued job that depends on it. Returns the queued job.
    pub fn accept_after_cancellation(&mut self) -> JobId {
        let id = |number: u32| JobId::new(&format!("req-{:06}", self.first_number + number));
        let (cancelled, dependent) = (id(CANCELLED_NUMBER), id(DEPENDENT_NUMBER));
        let mut spec = self.spec(DEPENDENT_NUMBER);
        (spec.id, spec.kind) = (dependent.clone(), Kind::Array);
        spec.dependencies = vec![cancelled.clone()];
        let end = EndRecord { cancelled: true, tasks: 1 };
        let record = SpecRecord::submitted(spec.clone(), 1_000_000);
        let put = |key, value| Write::Put { key, value, lease: None };
        let writes = vec![
            put(end_key(&cancelled), cbor::to_value(&end)),
            put(spec_key(&dependent), cbor::to_value(&record)),
        ];
        self.store(&StoreRequest::Commit(Txn { conditions: Vec::new(), writes }));
        self.last_reported.insert(cancelled.clone(), (Stage::Cancelled, self.step));
        self.cancels.insert(cancelled, self.step);
        self.accepted.insert(dependent.clone());
        self.accepted_at.insert(dependent.clone(), self.step);
        self.last_answer_at.insert(dependent.clone(), self.step);
        self.specs.insert(dependent.clone(), spec);
        dependent
    }

    /// The stage that a job's user was last told, if any, and the step since which.
    pub fn last_reported(&self, id: &JobId) -> Option<(Stage, u32)> {
        self.last_reported.get(id).cloned()
    }
}
