//! Team quotas: the capacity that a team is guaranteed, and the limit on what it may use.

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
            // Capacity reserved for waiting services must not be taken back by the array jobs that
            // were preempted for them.
            (0..2).for_each(|i| used[i] += reserved[i]);
        }
        !exceeds_limit(used[0], spec.cpus, team.cpus_max)
            && !exceeds_limit(used[1], spec.gpus, team.gpus_max)
    }

    /// Looks up a team by name.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|team| team.name == name)
    }
}

/// Whether `more` on top of `used` exceeds the limit; zero means no limit.
pub(crate) fn exceeds_limit(used: f64, more: f64, limit: f64) -> bool {
    limit > 0.0 && used + more > limit + AMOUNT_TOLERANCE
}
