//! The safety rules, checked against the records of the simulated workers, store and users.

use super::*;

impl World {
    /// Rule `too_early`: a task starts only once every dependency of its job is done, with all of
    /// its tasks completed.
    pub(super) fn check_dependencies_done(&mut self, task: &TaskId, spec: &JobSpec) {
        for dependency in &spec.dependencies {
            let Some(needed) = self.specs.get(dependency) else { continue };
            let all_done = (0..needed.tasks)
                .all(|index| self.finished.contains(&TaskId { job: dependency.clone(), index }));
            if !all_done {
                self.violations.push(format!("too_early: {task} before {dependency} was done"));
            }
        }
    }

    /// Checks at the end of a run that all work was done.
    pub fn check_completed(&mut self) {
        self.check_served();
        if self.violations.is_empty() {
            for (id, spec) in &self.specs {
                let over = self
                    .last_reported
                    .get(id)
                    .is_some_and(|(s, _)| matches!(s, Stage::Done | Stage::Cancelled));
                if self.accepted.contains(id) && spec.kind != Kind::Service && !over {
                    self.violations.push(format!(
                        "{id} was never told over: {:?}",
                        self.last_reported.get(id)
                    ));
                }
            }
        }
    }

    /// Once all faults have been over for 90 s, no service waits while its team is below its limit
    /// and a machine has room or could be rented. Arrays must be over by then, which
    /// `check_completed` checks.
    pub(super) fn check_served(&mut self) {
        if self.step < self.faults_over_from + 900 {
            return;
        }
        let on = |w: &Worker, id: &JobId| {
            let on = |(t, r): &(&TaskId, &Running)| t.job == *id && r.state != TaskState::Exited;
            w.tasks.iter().filter(on).count()
        };
        let live = || self.machines.values().filter(|w| !w.dead);
        let booked = |w: &Worker| w.tasks.values().filter(|r| r.state != TaskState::Exited).count();
        let used: usize = live().map(booked).sum();
        let room = live().any(|w| booked(w) < 4) || self.machines.len() < self.size.0;
        if !room || used as f64 + 1.0 > self.size.1 {
            return;
        }
        let waits = |(id, spec): &(&JobId, &JobSpec)| {
            let known = self.accepted_at.get(*id).is_some_and(|at| at + 900 < self.step);
            let open = !matches!(self.last_reported.get(*id), Some((Stage::Cancelled, _)));
            let has: usize = live().map(|w| on(w, id)).sum();
            let here = !self.elsewhere.contains(*id);
            spec.kind == Kind::Service && known && open && here && has < spec.tasks as usize
        };
        let waiting: Vec<String> =
            self.specs.iter().filter(waits).map(|(id, _)| format!("waits: {id}")).collect();
        self.violations.extend(waiting);
    }

    /// Rule `forgotten`: once all faults are over, no accepted job goes unanswered for longer than
    /// `MAX_UNANSWERED_STEPS`.
    pub(super) fn check_known(&mut self) {
        for id in &self.accepted {
            let last = self.last_answer_at.get(id).copied().unwrap_or(0).max(self.faults_over_from);
            if self.step > last + MAX_UNANSWERED_STEPS {
                self.violations.push(format!("forgotten: {id} unanswered since step {last}"));
            }
        }
    }

    /// When a new leader takes over, delivers the heartbeats that were kept back to every
    /// controller.
    pub(super) fn check_leader(&mut self) {
        let terms = self.hosts.iter().filter_map(|h| h.node.as_ref()?.authority());
        let last = terms.map(|(term, _)| term).max().unwrap_or(0);
        if last <= self.last_term {
            return;
        }
        if self.last_term != 0 {
            self.observed.changes_of_leader.push(self.step);
            let running = self.machines.values().flat_map(|w| w.tasks.values());
            let used = running.filter(|r| r.state != TaskState::Exited).count();
            self.observed.changes_at_limit += u32::from(used as f64 >= self.size.1 - 1.0);
        }
        self.last_term = last;
        for (heartbeat, sent) in std::mem::take(&mut self.kept_heartbeats) {
            self.observed.held_heartbeats += 1;
            for node in 0..NODES {
                self.after(0, Delivery::Heartbeat { node, heartbeat: heartbeat.clone(), sent });
            }
        }
    }

    /// Counts a confirmed cancellation of a job that has running tasks, and whether one of them is
    /// on an unreachable machine.
    pub(super) fn note_cancelled(&mut self, by: usize, id: &JobId) {
        let runs = |w: &Worker| {
            !w.dead && w.tasks.iter().any(|(t, r)| t.job == *id && r.state == TaskState::Running)
        };
        let step = self.step;
        if self.machines.values().any(runs) {
            self.observed.cancelled.push((step, by));
        }
        let zone = if step < self.partition.2 { self.partition.0 } else { "" };
        let unreachable = |w: &Worker| {
            step < w.cut_until.max(w.hung_until).max(w.outbound_cut_until).max(w.inbound_cut_until)
                || w.zone == zone
        };
        let on_one = self.machines.values().any(|w| runs(w) && unreachable(w));
        self.observed.cancelled_unreachable += u32::from(on_one);
    }

    /// Rule `ran_cancelled`: no machine holds a task of a job whose user was told of the
    /// cancellation longer ago than tasks may take to stop.
    pub(super) fn check_cancelled(&mut self) {
        for (id, (stage, at)) in &self.last_reported {
            if *stage != Stage::Cancelled
                || f64::from(self.step - at) * STEP
                    < CANCEL_S + self.heartbeat_and_lease_s.1 - LEASE_S
            {
                continue;
            }
            for (m, w) in &self.machines {
                let on = |(t, r): (&TaskId, &Running)| t.job == *id && r.state != TaskState::Exited;
                if w.tasks.iter().any(on) {
                    self.violations.push(format!("ran_cancelled: {id} on {m}"));
                }
            }
        }
    }
}
