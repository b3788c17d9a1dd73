//! Team quotas: what a team is guaranteed, and what it may use at most.

use super::SchedulingPass;
use crate::consts::AMOUNT_TOLERANCE;
use crate::facts::Team;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::job::{JobSpec, Kind};

impl Leader {
    /// Whether one more task of the job stays within its team's guarantee.
    pub(super) fn within_guarantee(&self, pass: &SchedulingPass, job: &Job) -> bool {
        let spec = job.spec();
        let Some(team) = self.team(&spec.team) else { return false };
        let used = pass.usage_of(&spec.team);
        used[0] + spec.cpus <= team.cpus + AMOUNT_TOLERANCE
            && used[1] + spec.gpus <= team.gpus + AMOUNT_TOLERANCE
    }

    /// Whether one more task of such a job stays within its team's limit.
    pub(crate) fn within_limit(&self, pass: &SchedulingPass, spec: &JobSpec) -> bool {
        let Some(team) = self.team(&spec.team) else { return false };
        let mut used = pass.usage_of(&spec.team);
        if spec.kind == Kind::Array
            && let Some(reserved) = pass.reserved.get(&spec.team)
        {
            // What services wait for must not be taken again by the array jobs that were
            // preempted for them.
            (0..2).for_each(|i| used[i] += reserved[i]);
        }
        !exceeds_limit(used[0], spec.cpus, team.cpus_max)
            && !exceeds_limit(used[1], spec.gpus, team.gpus_max)
    }

    /// The team of that name.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|team| team.name == name)
    }
}

/// Whether `more` on top of what is used exceeds a limit; zero is no limit.
pub(crate) fn exceeds_limit(used: f64, more: f64, limit: f64) -> bool {
    limit > 0.0 && used + more > limit + AMOUNT_TOLERANCE
}
