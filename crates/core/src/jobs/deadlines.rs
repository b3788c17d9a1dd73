//! When a job is due, how urgent it is, and what it inherits of both from its dependents.

use super::Job;
use crate::consts::{
    DRAIN_S, FINISH_SHARE, OVERDUE_SHARE, RENT_SPREAD, START_OBJECTIVE_SHARE, WAVES_MAX,
};
use crate::event::Secs;
use crate::inheritance::{DeadlineAhead, Urgency};
use marblebarrow_proto::job::Priority;

impl Job {
    /// When the job is due, on this controller's clock: at its deadline, else well before the
    /// time that an objective sets for its end or its start, else after the usual number of
    /// waves.
    ///
    /// The objectives must be considered: without them, a job of 25,000 five-second tasks
    /// counted as late on arrival, and hundreds of machines were rented for a minute although
    /// minutes were left.
    pub fn due(&self) -> Secs {
        let start = self.start_within.map(|within| {
            self.ready_since + within * START_OBJECTIVE_SHARE + self.likely_run() * RENT_SPREAD
        });
        if let Some(due) = self.deadline_at() {
            return start.map_or(due, |start| start.min(due));
        }
        let objective = self.finish_objective_s.map(|s| s * FINISH_SHARE);
        let waves = self.likely_run() * (1.0 + WAVES_MAX);
        start.unwrap_or_else(|| self.arrived + objective.unwrap_or(waves))
    }

    /// The job's deadline on this controller's clock: the earlier of its own, counted from its
    /// submission however long it waited, and the one inherited from its dependents.
    pub fn deadline_at(&self) -> Option<Secs> {
        let own = self.spec().deadline_s.map(|deadline| self.arrived + deadline);
        match (own, self.inherited_deadline()) {
            (Some(own), Some(inherited)) => Some(own.min(inherited.due)),
            (own, inherited) => own.or(inherited.map(|deadline| deadline.due)),
        }
    }

    /// The deadline inherited from its dependents.
    pub fn inherited_deadline(&self) -> Option<DeadlineAhead> {
        self.inherited.and_then(|urgency| urgency.deadline)
    }

    /// The effective priority: its own, or a higher one inherited from a dependent.
    pub fn priority(&self) -> Priority {
        self.inherited.map_or(self.spec().priority, |u| u.priority.max(self.spec().priority))
    }

    /// Its own urgency merged with the inherited one, to be passed on to its dependencies.
    /// `times` is the largest multiple of its deadline that an objective names.
    pub fn urgency(&self, times: f64) -> Urgency {
        let own = self.spec().deadline_s.map(|deadline| DeadlineAhead {
            due: self.arrived + deadline,
            latest: self.arrived + deadline * times,
            stages: 0,
        });
        let own = Urgency { priority: self.spec().priority, deadline: own };
        self.inherited.map_or(own, |inherited| inherited.merged(own))
    }

    /// Merges in the urgency that a dependent passes on. Returns whether that changed anything.
    pub fn inherit(&mut self, urgency: Urgency) -> bool {
        let merged = self.inherited.map_or(urgency, |inherited| inherited.merged(urgency));
        let changed = self.inherited != Some(merged);
        self.inherited = Some(merged);
        changed
    }

    /// Marks all dependencies as durably done. Without a deadline, the job's times count from
    /// `now`, when its last dependency is done; a deadline still counts from its submission.
    pub fn dependencies_done(&mut self, now: Secs) {
        self.waits_for_dependencies = false;
        self.ready_since = self.ready_since.max(now);
        if self.deadline_at().is_none() {
            self.arrived = self.arrived.max(now);
        }
    }

    /// When its last task is expected to end if the waiting tasks start after `start_lag`
    /// seconds; the actual end is later if capacity is lacking.
    pub fn likely_end(&self, now: Secs, start_lag: Secs) -> Secs {
        let run = self.likely_run();
        let ends = self.live.values().map(|live| match live.ran_from {
            Some(from) => (from + run).max(now + run * OVERDUE_SHARE),
            None => now + start_lag + run,
        });
        let waits = (self.waiting() > 0).then_some(now + start_lag + run);
        ends.chain(waits).fold(now, f64::max)
    }

    /// Whether its backlog needs no extra machines yet: it has no deadline, and enough time is
    /// left until an objective's time.
    pub fn has_time_left(&self, now: Secs) -> bool {
        let left = self.due() - self.likely_run() * RENT_SPREAD - now;
        self.spec().deadline_s.is_none() && self.finish_objective_s.is_some() && left > DRAIN_S
    }
}
