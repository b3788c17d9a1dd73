//! Determines which waiting jobs of this cell are not offered to other cells, and why.

use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::place::exceeds_limit;
use marblebarrow_cells::stay::StayReason;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use std::collections::BTreeMap;

/// Why each waiting job is not offered, as of the last scan.
#[derive(Debug, Default)]
pub(super) struct StayingJobs(BTreeMap<JobId, StayReason>);

impl StayingJobs {
    /// Returns, for each reason, the number of waiting jobs that are not offered because of it.
    pub(super) fn counts(&self) -> BTreeMap<StayReason, u32> {
        let mut counts = BTreeMap::new();
        for reason in self.0.values() {
            *counts.entry(*reason).or_default() += 1;
        }
        counts
    }
}

/// Returns whether the job was submitted to this cell and has waiting tasks.
pub(super) fn waits_at_home(job: &Job) -> bool {
    job.record.origin.is_none() && job.waiting() > 0
}

impl Leader {
    /// Returns the first reason, in the order of the checks below, that keeps a waiting job in this
    /// cell at time `now`. No target cell is considered yet. `None` means that the job may move, or
    /// that no cells are configured.
    pub(super) fn stay_reason(&self, now: Secs, job: &Job) -> Option<StayReason> {
        let cells = self.cells.as_ref()?;
        // `parts` holds the version of each progress record of the job, 0 if there is no record.
        let never_started = job.started.is_empty()
            && job.live.is_empty()
            && job.maybe_running.is_empty()
            && job.parts.iter().all(|version| *version == 0);
        if self.recovering {
            Some(StayReason::Recovering)
        } else if !never_started {
            Some(StayReason::Started)
        } else if !job.spec().dependencies.is_empty() {
            Some(StayReason::Dependencies)
        } else if now - job.arrived <= cells.settings.patience_s {
            Some(StayReason::Patience)
        } else if now < job.offer_backoff_until {
            Some(StayReason::Resting)
        } else if !self.team_has_room(job.spec()) {
            Some(StayReason::TeamLimit)
        } else if self.renting_may_help(now, job, cells.settings.patience_s) {
            Some(StayReason::RentingMayHelp)
        } else {
            None
        }
    }

    /// Returns whether the team's limit in this cell allows another task. A job that waits for this
    /// limit is not short of machines, and must not get around it in another cell.
    pub(super) fn team_has_room(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.team(&spec.team) else {
            return false;
        };
        let used = self.team_usage().get(&spec.team).copied().unwrap_or_default();
        !exceeds_limit(used[0], spec.cpus, team.cpus_max)
            && !exceeds_limit(used[1], spec.gpus, team.gpus_max)
    }

    /// Stores why jobs are not offered, and logs what has changed.
    pub(super) fn record_staying(&mut self, now: Secs, staying: BTreeMap<JobId, StayReason>) {
        let Some(cells) = &mut self.cells else { return };
        for (id, reason) in &staying {
            if cells.staying.0.get(id) != Some(reason) {
                let waited = self.jobs.get(id).map_or(0.0, |job| now - job.arrived);
                self.log
                    .debug(|| format!("event=stays job={id} why={reason} waited_s={waited:.1}"));
            }
        }
        cells.staying.0 = staying;
    }
}
