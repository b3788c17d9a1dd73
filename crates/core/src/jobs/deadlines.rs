//! When a job is due, how urgent it is, and what it inherits of both from the jobs that need it.

use super::Job;
use crate::consts::{
    DRAIN_S, FINISH_SHARE, OVERDUE_SHARE, RENT_SPREAD, START_AIM_SHARE, WAVES_MAX,
};
use crate::event::Secs;
use crate::inheritance::{DeadlineAhead, Urgency};
use marblebarrow_proto::job::Priority;

impl Job {
    /// When it is due, on our clock: by its deadline, else well before an aim on its
    /// end or its start, else after as many waves as are usual. (Without the aim, 25,000
    /// tasks of five seconds counted as late when they came, and hundreds of machines were
    /// rented for a minute, though minutes were left.)
    pub fn due(&self) -> Secs {
        let start = self.start_within.map(|within| {
            self.ready_since + within * START_AIM_SHARE + self.likely_run() * RENT_SPREAD
        });
        if let Some(due) = self.deadline_at() {
            return start.map_or(due, |start| start.min(due));
        }
        let aim = self.finish_s.map(|s| s * FINISH_SHARE);
        let waves = self.likely_run() * (1.0 + WAVES_MAX);
        start.unwrap_or_else(|| self.arrived + aim.unwrap_or(waves))
    }

    /// Its deadline on our clock: its own, counted from its submission however long it
    /// waited, or the earliest that the jobs that need it inherit to it.
    pub fn deadline_at(&self) -> Option<Secs> {
        let own = self.spec().deadline_s.map(|deadline| self.arrived + deadline);
        match (own, self.inherited_deadline()) {
            (Some(own), Some(inherited)) => Some(own.min(inherited.due)),
            (own, inherited) => own.or(inherited.map(|deadline| deadline.due)),
        }
    }

    /// The deadline that the jobs that need it pass on to it.
    pub fn inherited_deadline(&self) -> Option<DeadlineAhead> {
        self.inherited.and_then(|urgency| urgency.deadline)
    }

    /// Its priority, or the higher one that a job that needs it passed on.
    pub fn priority(&self) -> Priority {
        self.inherited.map_or(self.spec().priority, |u| u.priority.max(self.spec().priority))
    }

    /// Its own urgency and what it inherited, to be passed on; `times`: the widest multiple
    /// of its deadline that an objective names.
    pub fn urgency(&self, times: f64) -> Urgency {
        let own = self.spec().deadline_s.map(|deadline| DeadlineAhead {
            due: self.arrived + deadline,
            latest: self.arrived + deadline * times,
            stages: 0,
        });
        let own = Urgency { priority: self.spec().priority, deadline: own };
        self.inherited.map_or(own, |inherited| inherited.merged(own))
    }

    /// A job that needs it passes on its urgency. Whether that changed anything.
    pub fn inherit(&mut self, urgency: Urgency) -> bool {
        let merged = self.inherited.map_or(urgency, |inherited| inherited.merged(urgency));
        let changed = self.inherited != Some(merged);
        self.inherited = Some(merged);
        changed
    }

    /// Every job it needs is durably done. Times without a deadline of its own count
    /// from now (kit/change/LATER.md: they count from when the last job it needs is
    /// done); a deadline counts from its submission all the same.
    pub fn dependencies_done(&mut self, now: Secs) {
        self.waits_for_dependencies = false;
        self.ready_since = self.ready_since.max(now);
        if self.deadline_at().is_none() {
            self.arrived = self.arrived.max(now);
        }
    }

    /// When its last task probably ends, if what waits starts after `start_lag` seconds:
    /// later than that if there is no room.
    pub fn likely_end(&self, now: Secs, start_lag: Secs) -> Secs {
        let run = self.likely_run();
        let ends = self.live.values().map(|live| match live.ran_from {
            Some(from) => (from + run).max(now + run * OVERDUE_SHARE),
            None => now + start_lag + run,
        });
        let waits = (self.waiting() > 0).then_some(now + start_lag + run);
        ends.chain(waits).fold(now, f64::max)
    }

    /// Whether a backlog of it presses nobody: no deadline, and time enough.
    pub fn unhurried(&self, now: Secs) -> bool {
        let left = self.due() - self.likely_run() * RENT_SPREAD - now;
        self.spec().deadline_s.is_none() && self.finish_s.is_some() && left > DRAIN_S
    }
}
