//! The interface of this cell to other cells: requests, answers, and state that checks across cells
//! read.

use super::*;
use marblebarrow_proto::records::{SPECS_PREFIX, SpecRecord, end_key};

impl World {
    /// Delivers a request of another cell to a controller.
    pub fn take_cell_request(&mut self, node: usize, call: u64, request: CellRequest) {
        let requester = Requester::Cell(call);
        self.ask(node, requester, |to| Event::CellRequest(to, Box::new(request)));
    }

    /// Delivers another cell's answer, or the error instead of one, to the process that asked.
    pub fn take_cell_answer(&mut self, call: &OutgoingCall, answer: CellAnswer) {
        self.event(call.node, call.boot, Event::CellAnswer(call.op, answer));
    }

    /// Records that a task completed in another cell.
    pub fn finished_elsewhere(&mut self, task: &TaskId) {
        self.finished.insert(task.clone());
    }

    /// Specs of the jobs submitted in this cell.
    pub fn submitted(&self) -> &BTreeMap<JobId, JobSpec> {
        &self.specs
    }

    /// Jobs accepted in this cell.
    pub fn accepted_jobs(&self) -> &BTreeSet<JobId> {
        &self.accepted
    }

    /// The stage that a job's user was last told, and the step since which.
    pub fn last_told(&self, job: &JobId) -> Option<(Stage, u32)> {
        self.last_reported.get(job).copied()
    }

    /// Jobs whose users were told of the cancellation so long ago that no task may be left on any
    /// machine.
    pub fn surely_cancelled(&self) -> impl Iterator<Item = &JobId> {
        let bound = CANCEL_S + self.heartbeat_and_lease_s.1 - LEASE_S;
        self.last_reported
            .iter()
            .filter(move |(_, (stage, at))| {
                *stage == Stage::Cancelled && f64::from(self.step - at) * STEP >= bound
            })
            .map(|(id, _)| id)
    }

    /// Whether a live machine of this cell holds a task of the job that hasn't exited.
    pub fn holds(&self, job: &JobId) -> bool {
        let on =
            |(task, run): (&TaskId, &Running)| task.job == *job && run.state != TaskState::Exited;
        self.machines.values().any(|w| !w.dead && w.tasks.iter().any(on))
    }

    /// Jobs recorded in this cell as accepted from other cells.
    pub fn inbound(&self) -> impl Iterator<Item = JobId> + '_ {
        let prefix = marblebarrow_proto::transfer::INBOUND_PREFIX;
        self.kv
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(move |(key, _)| key.strip_prefix(prefix).map(JobId::new))
    }

    /// Jobs whose records say that they are offered to another cell but not yet accepted.
    pub fn in_doubt(&self) -> Vec<JobId> {
        let specs = self.kv.range(SPECS_PREFIX.to_owned()..);
        let records = specs.take_while(|(key, _)| key.starts_with(SPECS_PREFIX));
        records
            .filter_map(|(_, (value, ..))| cbor::from_value::<SpecRecord>(value).ok())
            .filter(|record| record.forward.as_ref().is_some_and(|forward| !forward.accepted))
            .map(|record| record.spec.id)
            .collect()
    }

    /// Whether the store holds the final state of a job.
    pub fn has_end(&self, job: &JobId) -> bool {
        self.kv.contains_key(&end_key(job))
    }

    /// Number of keys under a prefix.
    pub fn keys_under(&self, prefix: &str) -> usize {
        self.kv.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Number of puts of keys under a prefix.
    pub fn puts_under(&self, prefix: &str) -> usize {
        self.puts.iter().filter(|(key, _)| key.starts_with(prefix)).map(|(_, count)| count).sum()
    }

    /// Sets the earliest step at which all faults have ended, including those of other cells and of
    /// links.
    pub fn calm_after(&mut self, step: u32) {
        self.faults_over_from = self.faults_over_from.max(step);
    }

    /// Index of the leading controller, if there is one.
    pub fn leading(&self) -> Option<usize> {
        (0..NODES).find(|&n| self.leads(n))
    }
}
