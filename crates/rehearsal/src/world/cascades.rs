//! A large cascade: many jobs depend on one job, which its user cancels at a set time.

use super::*;

/// A root job and many jobs that depend on it, directly or through others, in pipelines. The root's
/// second task runs until the root is cancelled, provided [`World::stagger_s`] is long and
/// [`World::staggered_tasks`] is set.
#[derive(Clone, Copy, Debug)]
pub struct CascadePlan {
    /// Number of the root job. The jobs that depend on it have the numbers after it.
    pub first: u32,
    /// Number of jobs that depend on the root.
    pub dependents: u32,
    /// Jobs in each pipeline. The first depends on the root, each other on the one before it.
    pub depth: u32,
    /// The step at which users begin to submit the jobs.
    pub submit_from: u32,
    /// Jobs submitted in each step.
    pub per_step: u32,
    /// The step from which the root's user asks for its cancellation.
    pub cancel_at: u32,
}

impl CascadePlan {
    /// Whether a job number belongs to the root or to a job that depends on it.
    pub(super) fn includes(&self, number: u32) -> bool {
        (self.first..=self.first + self.dependents).contains(&number)
    }

    /// The number of the job that this one depends on, if it is in the cascade and not the root.
    fn names(&self, number: u32) -> Option<u32> {
        if !self.includes(number) || number == self.first {
            return None;
        }
        let in_pipeline = (number - self.first - 1) % self.depth.max(1);
        Some(if in_pipeline == 0 { self.first } else { number - 1 })
    }
}

/// Delays between the answer that told the root's user of its cancellation and those that told the
/// users of the dependent jobs, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CascadeTimes {
    /// Number of dependent jobs whose users were told.
    pub jobs: usize,
    /// Median delay.
    pub median_s: f64,
    /// 99th percentile of the delays.
    pub p99_s: f64,
    /// The longest delay.
    pub max_s: f64,
}

impl World {
    /// The delays of the cascade, if the root's user and at least one other was told.
    pub fn cascade_times(&self) -> Option<CascadeTimes> {
        let root = JobId::new(&format!("req-{:06}", self.first_number + self.cascade?.first));
        let (Stage::Cancelled, from) = self.last_reported.get(&root)? else { return None };
        let mut delays: Vec<f64> =
            self.cascade_told.iter().map(|at| at - f64::from(*from) * STEP).collect();
        delays.sort_by(f64::total_cmp);
        let quantile = |q: f64| delays[((delays.len() - 1) as f64 * q).ceil() as usize];
        let jobs = delays.len();
        let (_, max_s) = (delays.first()?, *delays.last()?);
        Some(CascadeTimes { jobs, median_s: quantile(0.5), p99_s: quantile(0.99), max_s })
    }

    /// Number of jobs of the cascade that were accepted.
    pub fn cascade_accepted(&self) -> usize {
        let part = |id: &&JobId| self.cascade.is_some_and(|c| c.includes(number_of(id)));
        self.accepted.iter().filter(part).count()
    }

    /// Number of cascade lists in the store.
    pub fn cascade_lists(&self) -> usize {
        self.kv.keys().filter(|key| key.starts_with("w/cascade/")).count()
    }

    /// Number of final states of jobs in the store.
    pub fn recorded_ends(&self) -> usize {
        self.kv.keys().filter(|key| key.starts_with("end/")).count()
    }

    /// Submits the jobs of the cascade that are due in this step.
    pub(super) fn submit_cascade(&mut self) {
        let Some(plan) = self.cascade else { return };
        let Some(past) = self.step.checked_sub(plan.submit_from) else { return };
        let from = past * plan.per_step;
        for k in from..(from + plan.per_step).min(plan.dependents + 1) {
            let number = plan.first + k;
            let mut spec = self.spec(number);
            (spec.kind, spec.priority) = (Kind::Array, Priority::Normal);
            (spec.class, spec.spot, spec.deadline_s) = ("a".into(), true, None);
            spec.tasks = if k == 0 { 2 } else { 1 };
            let named = plan.names(number);
            spec.dependencies = named
                .iter()
                .map(|n| JobId::new(&format!("req-{:06}", self.first_number + n)))
                .collect();
            self.specs.insert(spec.id.clone(), spec);
        }
    }

    /// Whether the user of a job of the cascade wants it cancelled. `None` for a job outside the
    /// cascade.
    pub(super) fn cascade_cancel(&self, number: u32) -> Option<bool> {
        let plan = self.cascade.filter(|plan| plan.includes(number))?;
        Some(number == plan.first && self.step >= plan.cancel_at)
    }

    /// Records when the user of a dependent job was told of its cancellation.
    pub(super) fn note_cascade_told(&mut self, id: &JobId) {
        let follower = |c: CascadePlan| number_of(id) != c.first && c.includes(number_of(id));
        if self.cascade.is_some_and(follower) {
            self.cascade_told.push(self.now());
        }
    }
}
