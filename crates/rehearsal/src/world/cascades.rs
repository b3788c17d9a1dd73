//! A large cascade: many jobs that need one other, which its user cancels at a set time.

use super::*;

/// One job, the root, and many that need it, directly or through others, in pipelines. The
/// root's second task runs for good if [`World::gaps`] are long, until it is cancelled.
#[derive(Clone, Copy, Debug)]
pub struct CascadePlan {
    /// Number of the root; those that follow it have the numbers after it.
    pub first: u32,
    /// How many jobs follow it.
    pub followers: u32,
    /// Jobs in each pipeline: its first names the root, each other the one before it.
    pub depth: u32,
    /// When users begin to submit them, in steps.
    pub submit_from: u32,
    /// Jobs that users begin to submit in each step.
    pub per_step: u32,
    /// When the root's user wants it cancelled, in steps.
    pub cancel_at: u32,
}

impl CascadePlan {
    /// Whether that is the number of the root or of a job that follows it.
    pub(super) fn includes(&self, number: u32) -> bool {
        (self.first..=self.first + self.followers).contains(&number)
    }

    /// The number of the job that this one names, if it is in the cascade and not its root.
    fn names(&self, number: u32) -> Option<u32> {
        if !self.includes(number) || number == self.first {
            return None;
        }
        let in_pipeline = (number - self.first - 1) % self.depth.max(1);
        Some(if in_pipeline == 0 { self.first } else { number - 1 })
    }
}

/// How long after the root's user was told did the users of the jobs after it learn that
/// these are aborted, seconds.
#[derive(Clone, Copy, Debug)]
pub struct CascadeTimes {
    /// How many jobs.
    pub jobs: usize,
    /// Half of them, by then.
    pub median_s: f64,
    /// 99 of 100, by then.
    pub p99_s: f64,
    /// All, by then.
    pub max_s: f64,
}

impl World {
    /// When the users of the cascade's jobs were told, if any was.
    pub fn cascade_times(&self) -> Option<CascadeTimes> {
        let root = JobId::new(&format!("req-{:06}", self.first_number + self.cascade?.first));
        let (Stage::Cancelled, from) = self.told.get(&root)? else { return None };
        let mut delays: Vec<f64> =
            self.cascade_told.iter().map(|at| at - f64::from(*from) * STEP).collect();
        delays.sort_by(f64::total_cmp);
        let quantile = |q: f64| delays[((delays.len() - 1) as f64 * q).ceil() as usize];
        let jobs = delays.len();
        let (_, max_s) = (delays.first()?, *delays.last()?);
        Some(CascadeTimes { jobs, median_s: quantile(0.5), p99_s: quantile(0.99), max_s })
    }

    /// Jobs of the cascade that were accepted.
    pub fn cascade_accepted(&self) -> usize {
        let part = |id: &&JobId| self.cascade.is_some_and(|c| c.includes(number_of(id)));
        self.accepted.iter().filter(part).count()
    }

    /// Cascade lists in the store.
    pub fn cascade_lists(&self) -> usize {
        self.kv.keys().filter(|key| key.starts_with("w/cascade/")).count()
    }

    /// Final states in the store.
    pub fn ends(&self) -> usize {
        self.kv.keys().filter(|key| key.starts_with("end/")).count()
    }

    pub(super) fn submit_cascade(&mut self) {
        let Some(plan) = self.cascade else { return };
        let Some(past) = self.step.checked_sub(plan.submit_from) else { return };
        let from = past * plan.per_step;
        for k in from..(from + plan.per_step).min(plan.followers + 1) {
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

    /// Whether the user of a job of the cascade wants it cancelled; `None`: of another job.
    pub(super) fn cascade_cancel(&self, number: u32) -> Option<bool> {
        let plan = self.cascade.filter(|plan| plan.includes(number))?;
        Some(number == plan.first && self.step >= plan.cancel_at)
    }

    pub(super) fn note_cascade_told(&mut self, id: &JobId) {
        let follower = |c: CascadePlan| number_of(id) != c.first && c.includes(number_of(id));
        if self.cascade.is_some_and(follower) {
            self.cascade_told.push(self.now());
        }
    }
}
