//! Stand-ins of workers.

use super::*;

impl World {
    pub(super) fn report_of(&mut self, id: &MachineId) -> Option<Report> {
        let w = self.machines.get_mut(id)?;
        w.seq += 1;
        Some(Report {
            machine: id.clone(),
            addr: id.to_string(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, r)| ReportTask {
                    task: t.to_string(),
                    attempt: r.attempt,
                    state: r.state,
                    why: r.why,
                })
                .collect(),
        })
    }

    /// Workers: leases, ends of tasks, reports.
    pub(super) fn work(&mut self) {
        let now = self.now();
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            let Some(w) = self.machines.get_mut(&id) else { continue };
            if w.dead || now < w.up_at {
                continue;
            }
            // One that hangs does this as it goes on, before anything else.
            if now - w.leased_from > self.beat.1 {
                self.lapses += u32::from(!w.tasks.is_empty());
                w.tasks.clear();
                w.session += 1;
                w.seq = 0;
                w.leased_from = now;
            }
            if self.step < w.hung_until {
                continue;
            }
            for (task, r) in &mut w.tasks {
                if r.state == TaskState::Running && now >= r.ends {
                    r.state = TaskState::Exited;
                    let number = number_of(&task.job);
                    if self.mistaken.is_some_and(|k| number.is_multiple_of(k)) {
                        r.why = Some(Why::Error);
                        self.fails += 1;
                        w.next_report = w.next_report.min(now + 0.5);
                        continue;
                    }
                    r.why = Some(Why::Done);
                    self.finished.insert(task.clone());
                    self.newly_finished.push(task.clone());
                    let last = self.specs.get(&task.job).is_some_and(|s| {
                        let done = |index| TaskId { job: task.job.clone(), index };
                        (0..s.tasks).all(|index| self.finished.contains(&done(index)))
                    });
                    if last
                        && self.step < self.cancel_ends_until
                        && self.rng.random_range(0..2) == 0
                    {
                        self.met.cancelled_at_end += 1;
                        self.called_off.insert(task.job.clone());
                    }
                    w.next_report = w.next_report.min(now + 0.5);
                }
            }
            if w.waiting.is_some_and(|sent| now - sent > 4.0) {
                w.waiting = None;
                w.at = (w.at + 1) % NODES;
                w.next_report = now + 1.0;
            }
            if w.waiting.is_none() && now >= w.next_report {
                w.waiting = Some(now);
                w.next_report = now + self.beat.0;
                let (node, cut) = (w.at, w.cut_until);
                let mute = self.step < w.mute_until;
                if let Some(report) = self.report_of(&id).filter(|_| !mute) {
                    if self.step < self.keep_until && self.rng.random_range(0..3) == 0 {
                        self.kept.push((report.clone(), now));
                    }
                    let late = Late::Report { node, report, sent: now };
                    // Held back by a cut, and delivered when it ends.
                    if let Late::Report { node, report, sent } = &late
                        && self.step < self.copies.0
                    {
                        // A copy of it comes later, to any controller.
                        let (node, report, sent) =
                            ((node + self.step as usize) % NODES, report.clone(), *sent);
                        let delay = self.rng.random_range(1..self.copies.1.max(2));
                        self.met.copies += 1;
                        self.late.push((self.step + delay, Late::Report { node, report, sent }));
                    }
                    if cut > self.step {
                        self.late.push((cut, late));
                    } else {
                        self.after(0, late);
                    }
                }
            }
        }
        self.check_cancelled();
    }

    pub(super) fn report_answered(
        &mut self,
        id: &MachineId,
        session: u64,
        sent: f64,
        answer: Answer,
    ) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let apart = self.step < w.cut_until.max(w.deaf_until).max(w.hung_until);
        self.met.unheard += u32::from(apart);
        if w.dead
            || w.waiting != Some(sent)
            || w.session != session
            || self.step < w.cut_until.max(w.deaf_until).max(w.hung_until)
        {
            return;
        }
        w.waiting = None;
        match answer {
            Answer::Report(a) => {
                if a.token < w.token {
                    return;
                }
                if a.token > w.token {
                    w.next_report = w.next_report.min(now + 0.5);
                }
                w.token = a.token;
                w.leased_from = sent;
                self.execute(id, &a.commands);
            }
            Answer::Elsewhere(node) => {
                let named = node.and_then(|n| n.as_str()[1..].parse().ok());
                w.at = named.unwrap_or((w.at + 1) % NODES);
                w.next_report = now + 0.5;
            }
            _ => {
                w.at = (w.at + 1) % NODES;
                w.next_report = now + 1.0;
            }
        }
    }

    pub(super) fn direct(&mut self, id: &MachineId, cmd: &DirectCommands) -> Option<DirectResult> {
        let now = self.now();
        let w = self.machines.get_mut(id)?;
        if w.dead || now < w.up_at {
            return None;
        }
        let good = cmd.token >= w.token && cmd.session == w.session;
        if good {
            self.met.mute_orders += u32::from(self.step < w.mute_until);
            w.token = cmd.token;
            self.execute(id, &cmd.commands);
        }
        Some(DirectResult::Report(good, Box::new(self.report_of(id)?)))
    }

    pub(super) fn execute(&mut self, id: &MachineId, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { task, attempt } => self.start(id, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    let Some(w) = self.machines.get_mut(id) else { return };
                    let Some(task) = TaskId::parse(task) else { continue };
                    if let Some(r) = w.tasks.get_mut(&task)
                        && r.attempt == *attempt
                        && r.state != TaskState::Exited
                    {
                        r.state = TaskState::Exited;
                        r.why = Some(Why::Stopped);
                        w.next_report = w.next_report.min(self.step as f64 * STEP + 0.5);
                    }
                }
                Command::Forget { task, attempt } => {
                    let Some(w) = self.machines.get_mut(id) else { return };
                    let Some(task) = TaskId::parse(task) else { continue };
                    if w.tasks.get(&task).is_some_and(|r| r.attempt == *attempt) {
                        w.tasks.remove(&task);
                    }
                }
            }
        }
    }

    pub(super) fn start(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let now = self.now();
        let Some(task) = TaskId::parse(name) else {
            return self.broken.push(format!("invented: {name}"));
        };
        let spec = self.specs.get(&task.job).or_else(|| self.guest_specs.get(&task.job));
        let Some(spec) = spec.cloned() else {
            return self.broken.push(format!("invented: {task}"));
        };
        let Some(w) = self.machines.get(id) else { return };
        if w.tasks.get(&task).is_some_and(|r| r.attempt == attempt) {
            return;
        }
        let refused = w.tasks.contains_key(&task)
            || w.tasks.values().filter(|r| r.state != TaskState::Exited).count() >= 4;
        if !refused {
            self.check_dependencies_done(&task, &spec);
        }
        let Some(w) = self.machines.get(id) else { return };
        let on = |r: &&Running| r.state != TaskState::Exited;
        let used = w.tasks.values().filter(on).count();
        let why = if w.tasks.contains_key(&task) {
            Some(Why::Busy)
        } else if used >= 4 {
            Some(Why::NoRoom)
        } else {
            None
        };
        if why.is_none() {
            self.starts += 1;
            let first = !self.begun.contains_key(&task.job);
            self.met.dependents_started += u32::from(first && !spec.dependencies.is_empty());
            self.begun.entry(task.job.clone()).or_insert(self.step);
            let twice = self
                .machines
                .iter()
                .find(|(o, w)| *o != id && !w.dead && w.tasks.get(&task).is_some_and(|r| on(&r)));
            if let Some((other, _)) = twice {
                self.broken.push(format!("ran_twice: {task} on {id} and {other}"));
            }
            if w.spot && !spec.spot || spec.zone.as_ref().is_some_and(|z| *z != w.zone) {
                self.broken.push(format!("wrong_place: {task} on {id}"));
            }
            self.met.zoned_starts += u32::from(spec.zone.is_some());
            let team: usize =
                self.machines.values().map(|w| w.tasks.values().filter(on).count()).sum();
            if team as f64 + 1.0 > self.size.1 {
                self.broken.push(format!("quota: {task} on {id}"));
            }
            if matches!(self.told.get(&task.job), Some((Stage::Cancelled, _))) {
                self.met.late_starts += 1;
                if self.past_cancellation(&task.job) {
                    self.broken.push(format!("ran_cancelled: {task} starts on {id}"));
                }
            }
        }
        let slow = self.machines.get(id).is_some_and(|w| self.step < w.slow_until);
        let usual = self.rng.random_range(1.0..5.0);
        let run = match spec.priority {
            Priority::Low => 60.0,
            _ if self.gaps && task.index > 0 => self.gap_s * f64::from(task.index),
            _ => usual,
        };
        let run = run * if slow { 6.0 } else { 1.0 };
        let done = self.finished.contains(&task);
        let ends = match spec.kind {
            _ if self.mistaken(&task.job) => now + 0.5,
            Kind::Service => f64::INFINITY,
            _ if done => now,
            _ => now + run,
        };
        let state = if why.is_some() { TaskState::Exited } else { TaskState::Running };
        if let Some(w) = self.machines.get_mut(id) {
            w.next_report = w.next_report.min(now + 0.5);
            if why != Some(Why::Busy) {
                w.tasks.insert(task, Running { attempt, state, why, ends });
            }
        }
    }
}
