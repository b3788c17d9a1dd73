//! Which jobs of this cell wait here without being offered to another, and why.

use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::place::exceeds_limit;
use marblebarrow_cells::stay::StayReason;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use std::collections::BTreeMap;

/// Why each job that waits stays, as of the last look.
#[derive(Debug, Default)]
pub(super) struct StayingJobs(BTreeMap<JobId, StayReason>);

impl StayingJobs {
    /// How many jobs stay for each reason.
    pub(super) fn counts(&self) -> BTreeMap<StayReason, u32> {
        let mut counts = BTreeMap::new();
        for reason in self.0.values() {
            *counts.entry(*reason).or_default() += 1;
        }
        counts
    }
}

/// Whether tasks of the job wait here, where its user submitted it.
pub(super) fn waits_at_home(job: &Job) -> bool {
    job.record.origin.is_none() && job.waiting() > 0
}

impl Leader {
    /// What keeps a waiting job here, before any cell is chosen; `None`: it may move.
    pub(super) fn stay_reason(&self, now: Secs, job: &Job) -> Option<StayReason> {
        let cells = self.cells.as_ref()?;
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
        } else if now < job.rests_until {
            Some(StayReason::Resting)
        } else if !self.team_has_room(job.spec()) {
            Some(StayReason::TeamLimit)
        } else if self.renting_helps(now, job, cells.settings.patience_s) {
            Some(StayReason::RentingMayHelp)
        } else {
            None
        }
    }

    /// Whether the team's limit here allows a task more: what waits for that isn't short of
    /// machines, and must not evade it elsewhere.
    pub(super) fn team_has_room(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.team(&spec.team) else {
            return false;
        };
        let used = self.team_usage().get(&spec.team).copied().unwrap_or_default();
        !exceeds_limit(used[0], spec.cpus, team.cpus_max)
            && !exceeds_limit(used[1], spec.gpus, team.gpus_max)
    }

    /// Keeps why jobs stay, and logs what has changed.
    pub(super) fn note_staying(&mut self, now: Secs, staying: BTreeMap<JobId, StayReason>) {
        let Some(cells) = &mut self.cells else { return };
        for (id, reason) in &staying {
            if cells.staying.0.get(id) != Some(reason) {
                let waited = self.jobs.get(id).map_or(0.0, |job| now - job.arrived);
                self.log.push(|| format!("event=stays job={id} why={reason} waited_s={waited:.1}"));
            }
        }
        cells.staying.0 = staying;
    }
}
