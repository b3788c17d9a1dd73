//! Simulated users: their requests, and the checks of the answers they get.

use super::*;

/// Number of machine types that a large spec names, as many as a submission may.
const LISTED_TYPES: usize = 64;

/// The names of the only machine type that there is and of others: about 1.5 KiB.
fn long_type_list() -> Vec<String> {
    let others = (1..LISTED_TYPES).map(|n| format!("another-machine-type-{n:02}"));
    std::iter::once("k".to_owned()).chain(others).collect()
}

impl World {
    /// The spec of job number `n`.
    pub(super) fn spec(&mut self, n: u32) -> JobSpec {
        let mut spec = self.default_spec(n);
        if let Some(replicas) = self.filled_by {
            let fills = n == 0;
            spec.kind = if fills { Kind::Service } else { Kind::Array };
            spec.tasks = if fills { replicas } else { 1 };
            spec.class = if fills { "s" } else { "a" }.into();
            (spec.priority, spec.deadline_s) = (Priority::Normal, None);
            spec.spot = !fills && self.spot_arrays;
        }
        spec
    }

    /// The spec of job number `n` unless `filled_by` is set.
    fn default_spec(&mut self, n: u32) -> JobSpec {
        // With several replicas every other job is a service, and none is cancelled.
        let turn = if self.replicas > 1 { n % 2 == 1 } else { n % 4 == 3 };
        let service = turn && self.wide_job.is_none() && !self.no_services;
        JobSpec {
            id: JobId::new(&format!("req-{:06}", self.first_number + n)),
            class: if service { "s" } else { "a" }.into(),
            team: "t".into(),
            kind: if service { Kind::Service } else { Kind::Array },
            priority: if service { Priority::Production } else { Priority::Normal },
            tasks: if service { self.replicas } else { self.rng.random_range(1..=self.max_tasks) },
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: format!("i{}", n % 2),
            image_gb: 0.5,
            types: (self.step < self.large_specs_until).then(long_type_list),
            zone: (self.zone_bound_jobs && n.is_multiple_of(3))
                .then(|| "ab"[(n % 2) as usize..][..1].into()),
            one_zone: false,
            spread: false,
            spot: !service && self.spot_arrays,
            estimate_s: 3.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: Some(30.0),
            dependencies: self.dependencies_of(n, service),
        }
    }

    /// In a pipeline, a job depends on the jobs before it in the same pipeline, except services,
    /// which can't be dependencies.
    fn dependencies_of(&self, n: u32, service: bool) -> Vec<JobId> {
        let Some(length) = self.pipeline.filter(|_| !service) else { return Vec::new() };
        let first = n - n % length.max(1);
        let id = |k: u32| JobId::new(&format!("req-{:06}", self.first_number + k));
        (first..n).map(id).filter(|dependency| !self.service_spec(dependency)).collect()
    }

    /// Whether a job is a service, or not known.
    fn service_spec(&self, id: &JobId) -> bool {
        self.specs.get(id).is_none_or(|spec| spec.kind == Kind::Service)
    }

    /// Whether all dependencies of a job were accepted. Users submit a job of a pipeline only then.
    fn may_submit(&self, spec: &JobSpec) -> bool {
        spec.dependencies.iter().all(|dependency| self.accepted.contains(dependency))
    }

    /// The earliest step at which the user of a direct or transitive dependency of this job was
    /// told of its cancellation.
    pub(super) fn cancelled_upstream(&self, id: &JobId) -> Option<u32> {
        let mut stack = vec![id.clone()];
        let mut seen = BTreeSet::new();
        let mut earliest: Option<u32> = None;
        while let Some(next) = stack.pop() {
            let Some(spec) = self.specs.get(&next) else { continue };
            for dependency in &spec.dependencies {
                if !seen.insert(dependency.clone()) {
                    continue;
                }
                if let Some((Stage::Cancelled, at)) = self.last_reported.get(dependency) {
                    earliest = Some(earliest.map_or(*at, |e| e.min(*at)));
                }
                stack.push(dependency.clone());
            }
        }
        earliest
    }

    /// Whether the user of this job, or of a direct or transitive dependency, asked for its
    /// cancellation.
    fn cancel_asked_upstream(&self, id: &JobId) -> bool {
        if self.cancels.contains_key(id) {
            return true;
        }
        let spec = self.specs.get(id);
        spec.is_some_and(|s| s.dependencies.iter().any(|d| self.cancel_asked_upstream(d)))
    }

    /// Adds job number `n` to those that users submit.
    fn submit_job(&mut self, n: u32) {
        let mut spec = self.spec(n);
        if let Some((_, tasks)) = self.wide_job.filter(|(wide_job, _)| *wide_job == n) {
            spec.kind = Kind::Array;
            spec.tasks = tasks;
            spec.deadline_s = Some(1.0);
        }
        if let Some((_, tasks)) = self.idle_job.filter(|(idle_job, _)| *idle_job == n) {
            spec.kind = Kind::Array;
            spec.priority = Priority::Low;
            (spec.class, spec.tasks, spec.spot) = ("i".into(), tasks, true);
            (spec.estimate_s, spec.checkpoint_s) = (60.0, 5.0);
            spec.deadline_s = None;
        }
        self.specs.insert(spec.id.clone(), spec);
    }

    /// One step of all users: submissions, cancellations and polls that are due.
    pub(super) fn users(&mut self, steps: u32) {
        let (every, until) = self.submission_interval_and_end;
        if self.step % every == 5 % every && self.step < until {
            let first = self.step / every * self.jobs_at_once;
            (first..first + self.jobs_at_once).for_each(|n| self.submit_job(n));
        }
        self.submit_cascade();
        self.send_request_bursts();
        let storm = self.step < self.poll_storm_until;
        if !self.step.is_multiple_of(10) && !storm {
            return;
        }
        for (id, spec) in self.specs.clone() {
            let n = self.rng.random_range(0..NODES);
            let over =
                matches!(self.last_reported.get(&id), Some((Stage::Done | Stage::Cancelled, _)));
            // Services, and one array in five, are cancelled at some time.
            let number = number_of(&id);
            let planned = self.cascade_cancel(number);
            let cancel = self.cancel_requested.contains(&id)
                || planned == Some(true)
                || planned.is_none()
                    && (spec.kind == Kind::Service
                        || number.is_multiple_of(5)
                        || self.always_fails(&id))
                    && self.replicas == 1
                    && self.filled_by.is_none()
                    && self.step > number * 25 + 250
                    && self.accepted.contains(&id);
            let (what, req) = if !self.accepted.contains(&id) {
                if !self.may_submit(&spec) {
                    continue;
                }
                ('s', UserRequest::Submit(Box::new(spec)))
            } else if cancel && !over {
                self.cancels.entry(id.clone()).or_insert(self.step);
                ('c', UserRequest::Cancel(id.clone()))
            } else if over && self.step + 100 < steps && self.rng.random_range(0..8) == 0 {
                ('s', UserRequest::Submit(Box::new(spec)))
            } else if !storm && !self.polls_now(number) {
                continue;
            } else {
                ('p', UserRequest::Poll(id.clone()))
            };
            self.ask(n, Requester::User { job: id, what, asked: self.step }, |to| {
                Event::User(to, req)
            });
        }
    }

    /// Whether the user of a job polls in this second.
    fn polls_now(&self, number: u32) -> bool {
        (self.step / 10 + number).is_multiple_of((self.poll_every / 10).max(1))
    }

    /// Sends the bursts of requests: in the two steps after an answer that starts a burst, the user
    /// polls every controller, repeats the submission, and repeats the cancellation if there was
    /// one. Also sends cancellations that are due, until they are answered.
    pub(super) fn send_request_bursts(&mut self) {
        let step = self.step;
        self.request_bursts.retain(|(_, since)| step <= since + 2);
        for (id, _) in self.request_bursts.clone() {
            for n in 0..NODES {
                let requester = |what| Requester::User { job: id.clone(), what, asked: step };
                self.ask(n, requester('p'), |to| Event::User(to, UserRequest::Poll(id.clone())));
                let spec = Box::new(self.specs[&id].clone());
                self.ask(n, requester('s'), |to| Event::User(to, UserRequest::Submit(spec)));
                if self.cancels.contains_key(&id) {
                    self.ask(n, requester('c'), |to| {
                        Event::User(to, UserRequest::Cancel(id.clone()))
                    });
                }
            }
        }
        if self.cancel_every_fourth {
            let number = number_of;
            let due = |(id, at): &(&JobId, &u32)| number(id).is_multiple_of(4) && step == *at + 10;
            let due = self.accepted_at.iter().filter(due).map(|(id, _)| id.clone());
            self.cancel_requested.extend(due);
        }
        let due = |(at, _): &mut (u32, JobId)| *at <= step;
        let due: Vec<(u32, JobId)> = self.cancels_due.extract_if(.., due).collect();
        self.cancel_requested.extend(due.into_iter().map(|(_, id)| id));
        if self.submit_unrunnable_jobs && step.is_multiple_of(40) {
            self.submit_impossible_job();
        }
        let over = |id: &JobId| {
            matches!(self.last_reported.get(id), Some((Stage::Done | Stage::Cancelled, _)))
        };
        let open: Vec<JobId> =
            self.cancel_requested.iter().filter(|id| !over(id)).cloned().collect();
        for id in open {
            self.cancels.entry(id.clone()).or_insert(step);
            let n = self.rng.random_range(0..NODES);
            let requester = Requester::User { job: id.clone(), what: 'c', asked: step };
            self.ask(n, requester, |to| Event::User(to, UserRequest::Cancel(id)));
        }
    }

    /// Submits a job that fits no machine, team or zone, or needs more than the team's limit.
    pub(super) fn submit_impossible_job(&mut self) {
        let mut spec = self.spec(3);
        spec.id = JobId::new(&format!("odd-{:06}", self.step));
        match self.rng.random_range(0..4) {
            0 => spec.cpus = 100.0,
            1 => spec.team = "nobody".into(),
            2 => spec.zone = Some("z".into()),
            _ => (spec.kind, spec.tasks) = (Kind::Service, self.size.1 as u32 + 1),
        }
        let n = self.rng.random_range(0..NODES);
        let requester = Requester::User { job: spec.id.clone(), what: 's', asked: self.step };
        self.ask(n, requester, |to| Event::User(to, UserRequest::Submit(Box::new(spec))));
    }

    /// Whether the tasks of a job fail on every machine.
    pub(super) fn always_fails(&self, id: &JobId) -> bool {
        let number = number_of(id);
        self.failing_job_interval.is_some_and(|k| number.is_multiple_of(k))
    }

    /// Handles a controller's answer to a user, and checks it against earlier answers and the
    /// records.
    pub(super) fn handle_user_answer(
        &mut self,
        by: usize,
        id: &JobId,
        what: char,
        asked: u32,
        answer: &Answer,
    ) {
        let known = self.last_reported.get(id).cloned();
        if id.as_str().starts_with("odd") {
            if matches!(answer, Answer::Job(..)) {
                self.violations.push(format!("accepted, and can never run: {id}"));
            }
            self.observed.unrunnable_refused += u32::from(matches!(answer, Answer::NeverRuns(_)));
            return;
        }
        match answer {
            Answer::Job(_, status) => {
                if what == 's' {
                    self.accepted.insert(id.clone());
                    self.accepted_at.entry(id.clone()).or_insert(self.step);
                }
                self.last_answer_at.insert(id.clone(), self.step);
                let final_before = known
                    .filter(|(s, at)| matches!(s, Stage::Done | Stage::Cancelled) && *at < asked);
                if let Some((stage, _)) = final_before
                    && stage != status.stage
                {
                    self.violations
                        .push(format!("went_back: {id} {stage:?} then {:?}", status.stage));
                }
                if status.stage == Stage::Cancelled && !self.cancel_asked_upstream(id) {
                    self.violations.push(format!("went_back: {id} cancelled by nobody"));
                }
                let open = matches!(status.stage, Stage::Queued | Stage::Running);
                if let Some(at) = self.cancelled_upstream(id).filter(|_| open)
                    && f64::from(asked.saturating_sub(at)) * STEP > CANCEL_S
                {
                    self.violations
                        .push(format!("orphaned: {id} {:?} at step {asked}", status.stage));
                }
                if status.stage == Stage::Done {
                    let tasks = self.specs[id].tasks;
                    let done = (0..tasks)
                        .all(|index| self.finished.contains(&TaskId { job: id.clone(), index }));
                    if !done {
                        self.violations.push(format!("not_done: {id}"));
                    }
                }
                let over = |s: &Stage| matches!(s, Stage::Done | Stage::Cancelled);
                let news =
                    self.last_reported.get(id).is_none_or(|(s, _)| over(&status.stage) && !over(s));
                if news {
                    if self.step < self.request_bursts_until {
                        self.observed.close_polls += 1;
                        self.request_bursts.push((id.clone(), self.step));
                    }
                    if status.stage == Stage::Cancelled {
                        self.note_cancelled(by, id);
                        self.observed.cascade_cancelled +=
                            u32::from(!self.cancels.contains_key(id));
                        self.note_cascade_told(id);
                    }
                }
                let entry =
                    self.last_reported.entry(id.clone()).or_insert((status.stage, self.step));
                if entry.0 != status.stage && !matches!(entry.0, Stage::Done | Stage::Cancelled) {
                    *entry = (status.stage, self.step);
                }
            }
            Answer::NotFound | Answer::NeverRuns(_) if self.accepted.contains(id) => {
                self.violations.push(format!("forgotten: {id} {what} {answer:?}"));
            }
            Answer::Overloaded(_) | Answer::Unavailable(_)
                if what == 'p' && self.cascade.is_some_and(|c| c.includes(number_of(id))) =>
            {
                self.observed.cascade_unanswered += 1;
            }
            _ => {}
        }
    }
}
