//! Workers: what their reports prove, and which commands they get.

use crate::consts::*;
use crate::event::{Answer, Secs};
use crate::fleet::Machine;
use crate::jobs::{Live, Outcome, Phase};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::{Command, Report, ReportAnswer, ReportTask, TaskState, Why};
use std::collections::BTreeSet;

impl Leader {
    /// Takes a report and answers it; `None`: must not be answered with 200.
    pub(crate) fn answer_report(
        &mut self,
        now: Secs,
        report: &Report,
        replica: &Replica,
    ) -> Option<Answer> {
        if self.released_machines.contains_key(&report.machine) {
            return None;
        }
        if self.loading.is_some() {
            // Leases go on; machines are counted from when loading ends. That may
            // take as long as an outage of the store does, so what is known to be
            // cancelled is stopped even now.
            let commands = stops_while_loading(report, replica);
            return Some(Answer::Report(ReportAnswer { token: self.term.0, commands }));
        }
        // Who was the last to report is the first to know better: an older
        // report is a copy that came late, its sender gave it up long ago, and
        // an answer would only make a dead machine's lease seem alive.
        let known = self.machines.get(&report.machine);
        let late = known.is_some_and(|m| {
            (report.session, report.seq) <= (m.session, m.reported)
                || report.session < m.session
                || report.token < m.token
                || m.reborn
                || m.lapsed.is_some_and(|s| report.session <= s)
        });
        if late {
            // Or its worker began anew, which only a fresh exchange can tell.
            if let Some(m) = self.machines.get_mut(&report.machine)
                && !m.reborn
                && m.reached.is_none_or(|at| now - at > WORKER_MARGIN_S)
            {
                m.probe_due = true;
            }
            return None;
        }
        self.apply_report(now, report);
        self.note_gap(now, report);
        let m = self.machines.get_mut(&report.machine)?;
        if m.lapsed.is_some() || !self.may_renew(now, &report.machine) {
            return None;
        }
        let m = self.machines.get_mut(&report.machine)?;
        m.answered = now;
        m.withheld = false;
        if self.backlog && m.free()[0] + 1e-9 >= self.least_cpus {
            // What comes free is filled at once, in the same answer if the
            // start is recorded already.
            self.place(now, Some(&report.machine));
        }
        let m = self.machines.get_mut(&report.machine)?;
        let commands = if m.direct.is_none() {
            let (commands, starts) = self.compose(&report.machine);
            for (task, _) in starts {
                let live = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index));
                if let Some(live) = live {
                    live.sent = Some(now);
                }
            }
            commands
        } else {
            // Orders are under way directly: two ways at once would cross. The end
            // of cancelled tasks may, as it is repeated until a report shows it: an
            // answer that renews their lease must carry it.
            self.stops(&report.machine, |job| job.is_none_or(|j| j.cancelled))
        };
        let token = self.machines.get(&report.machine).map(|m| self.token_for(m))?;
        Some(Answer::Report(ReportAnswer { token, commands }))
    }

    /// What the pace of a worker's own reports proves: one that got no answer
    /// waits for it, then tries elsewhere, so one that is back sooner got it.
    fn note_gap(&mut self, now: Secs, report: &Report) {
        let Some(m) = self.machines.get_mut(&report.machine) else { return };
        let soon = m.last_report.is_some_and(|at| now - at < WORKER_GIVES_UP_S - WORKER_MARGIN_S);
        if soon && m.reported != 0 && m.confirmed {
            m.reached = Some(now);
        }
        m.last_report = Some(now);
        m.reported = report.seq;
    }

    /// Takes a report's news, unless a newer message was taken before.
    pub(crate) fn apply_report(&mut self, now: Secs, report: &Report) {
        if self.released_machines.contains_key(&report.machine) {
            return;
        }
        let id = &report.machine;
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            Machine::new(
                MachineRecord {
                    kind: report.kind.clone(),
                    zone: report.zone.clone(),
                    spot: report.spot,
                    addr: report.addr.clone(),
                    images: Vec::new(),
                    number: 0,
                },
                now,
            )
        });
        self.cloud_requests.heard(now, id);
        if m.heard.is_none() {
            m.learn_type(self.cloud_requests.types.iter().find(|t| t.name == m.info.kind));
        }
        if m.lapsed.is_some_and(|s| report.session <= s)
            || (report.session, report.seq) <= (m.session, m.seq)
            // The highest token seen never falls: newer by its number, older
            // by its token, it comes from before the worker began anew.
            || report.token < m.token
            || m.reborn
        {
            return;
        }
        let new_session = m.session != 0 && report.session > m.session;
        if new_session {
            self.lose_tasks(id, now);
        }
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if new_session {
            // Its lease ran out though we heard it, or it was silent: either
            // way it must show anew that our words reach it.
            m.reached = None;
            m.reported = 0;
            m.last_report = None;
            m.withheld = false;
        }
        if m.heard.is_none() || m.lapsed.is_some() || m.session != report.session {
            self.place_due = true;
        }
        if m.session != report.session {
            // Its lease counts from when the session began, which may be just
            // now: counted from our last answer to the one before, it once
            // seemed to end while tasks ran on.
            m.answered = now;
        }
        m.lapsed = None;
        m.session = report.session;
        m.seq = report.seq;
        m.token = m.token.max(report.token);
        m.heard = Some(now);
        m.unreached = 0;
        if m.info.addr != report.addr {
            m.info.addr.clone_from(&report.addr);
            if let Some(block) = m.block {
                self.writer.machine_changed(block, now);
            }
        }
        m.notice = report.notice_s.map(|s| now + s);
        // It has seen our token: whatever older leaders sent is void, and this
        // list is all there is.
        if !m.confirmed && report.token >= self.term.0 {
            m.confirmed = true;
            m.reached = Some(now);
        }
        m.probe_due = m.reached.is_none();
        m.exited.clear();
        m.strangers.clear();
        self.revoke_shown(now, id);
        let mut listed = BTreeSet::new();
        for entry in &report.tasks {
            self.apply_task(now, id, entry, &mut listed);
        }
        self.apply_absence(now, id, &listed);
    }

    fn apply_task(
        &mut self,
        now: Secs,
        id: &MachineId,
        entry: &ReportTask,
        listed: &mut BTreeSet<TaskId>,
    ) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(task) = TaskId::parse(&entry.task) else {
            return;
        };
        let key = (task.clone(), entry.attempt);
        m.start_doubts.note_listed(&key);
        let Some(job) = self.jobs.get_mut(&task.job).filter(|j| task.index < j.spec().tasks) else {
            // Over and closed, or never ours.
            if entry.state == TaskState::Exited {
                m.exited.insert(key, entry.why.unwrap_or(Why::Other));
            } else {
                m.strangers.insert(key);
            }
            return;
        };
        let n = task.index;
        let ours = job.live.get(&n).is_some_and(|l| l.machine == *id && l.attempt == entry.attempt);
        if entry.state == TaskState::Exited {
            let why = entry.why.unwrap_or(Why::Other);
            if ours {
                m.reached = Some(now);
            }
            m.exited.insert(key, why);
            self.task_ended(now, id, &task, why, ours);
            return;
        }
        if ours {
            listed.insert(task.clone());
            let Some(live) = job.live.get_mut(&n) else {
                return;
            };
            if live.phase == Phase::Sent {
                // It got the order.
                m.reached = Some(now);
            }
            match entry.state {
                TaskState::Running | TaskState::Waiting => {
                    if entry.state == TaskState::Running {
                        if live.ran_from.is_none() {
                            if !live.adopted && job.record.spec.kind == Kind::Array {
                                let lag = now - live.since - self.start_lag;
                                self.start_lag += lag * LAG_WEIGHT;
                            }
                            self.log.push(|| {
                                format!(
                                    "event=runs task={task} machine={id} after_s={:.1}",
                                    now - live.since
                                )
                            });
                        }
                        live.phase = Phase::Running;
                        let from = *live.ran_from.get_or_insert(now);
                        job.ran_for(now - from);
                    } else {
                        live.phase = Phase::Seen;
                    }
                    let (image, gb) = (&job.record.spec.image, job.record.spec.image_gb);
                    if m.touch_image(image, gb)
                        && let Some(block) = m.block
                    {
                        self.writer.images_changed(block, now);
                    }
                }
                _ if live.phase != Phase::Running => live.phase = Phase::Seen,
                _ => {}
            }
            return;
        }
        // Attempts are ordered: a later one was only made when the earlier was
        // surely gone. So of two, the smaller comes from an old report, even
        // if this term has only just learnt of either.
        let newer = job.live.get(&n).is_none_or(|l| l.attempt < entry.attempt);
        if job.finished.contains(n) || !newer {
            self.log.push(|| {
                format!(
                    "event=stranger task={task} attempt={} machine={id} term={}",
                    entry.attempt.0, self.term.0
                )
            });
            m.strangers.insert(key);
            return;
        }
        // Started under an earlier term: it is ours now.
        if job.live.contains_key(&n) {
            self.over(&task.job, n, Outcome::Lost, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        job.maybe_running.remove(&n);
        job.again.remove(&n);
        job.started.insert(n);
        if m.info.number == 0 {
            self.next_number += 1;
            m.info.number = self.next_number;
        }
        job.machines.insert(m.info.number);
        self.writer.want_machine(id, m, now);
        let running = entry.state == TaskState::Running;
        let live = Live {
            machine: id.clone(),
            attempt: entry.attempt,
            phase: if running { Phase::Running } else { Phase::Seen },
            since: now,
            ran_from: None,
            doubt: false,
            stop: job.cancelled.then_some(0.0),
            sent: None,
            adopted: true,
        };
        job.live.insert(n, live);
        if running {
            let (image, gb) = (&job.record.spec.image, job.record.spec.image_gb);
            m.touch_image(image, gb);
        }
        listed.insert(task.clone());
        self.writer.touch_task(&task.job, n, now, false);
        self.attach(&task.job, n, id);
    }

    fn task_ended(&mut self, now: Secs, id: &MachineId, task: &TaskId, why: Why, ours: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let n = task.index;
        let whole = job.live.get(&n).filter(|l| !l.adopted);
        let run = whole.and_then(|l| l.ran_from).map(|f| now - f);
        let mean = job.mean_run();
        let samples = job.runs.0;
        let outcome = match why {
            Why::Done => Outcome::Done,
            Why::Error => Outcome::Error,
            Why::NoRoom | Why::Busy | Why::Unknown => Outcome::Refused,
            Why::Stopped | Why::Peers | Why::Alone | Why::Other => Outcome::Lost,
        };
        if why == Why::Alone {
            job.whole_gang = true;
        }
        if ours && outcome != Outcome::Done && job.spec().kind == Kind::Gang {
            self.stop_gang(&task.job, n);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // It can succeed: its failures so far were the machines'. Until then they say
        // nothing: jobs submitted with a mistake fail everywhere, and many of them
        // once would have had sound machines returned.
        let faulty = if outcome == Outcome::Done { job.unexplained() } else { Vec::new() };
        let can_succeed = job.sound();
        if outcome == Outcome::Done && !job.finished.contains(n) {
            if !ours && let Some(other) = job.live.get_mut(&n) {
                // The result is here; the other attempt is of no more use.
                other.stop = Some(0.0);
                let (attempt, machine) = (other.attempt, other.machine.clone());
                if let Some(om) = self.machines.get_mut(&machine) {
                    om.strangers.insert((task.clone(), attempt));
                    om.push = true;
                }
            }
            self.over(&task.job, n, Outcome::Done, now);
        } else if ours {
            self.over(&task.job, n, outcome, now);
        }
        for other in faulty {
            if let Some(om) = self.machines.get_mut(&other) {
                om.errors += 1;
            }
        }
        if !ours {
            return;
        }
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        match outcome {
            Outcome::Done => {
                m.errors = 0;
                // A machine that takes much longer than others for the same
                // job is slow, whatever the job.
                if let (Some(run), Some(mean)) = (run, mean)
                    && samples >= 2
                {
                    if run > mean * SLOW_FACTOR { m.slow += 1 } else { m.slow = 0 }
                }
            }
            Outcome::Error => {
                m.errors += u32::from(can_succeed);
                self.log.push(|| format!("event=failed task={task} machine={id}"));
            }
            Outcome::Refused => {
                self.log.push(|| format!("event=refused task={task} machine={id} why={why:?}"));
            }
            Outcome::Lost => {}
        }
    }

    // A gang runs whole or not at all: the others end too, saving if they can,
    // and it is placed again when all are gone.
    fn stop_gang(&mut self, id: &JobId, lost: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let grace = job.record.spec.save_s * 2.0;
        for (_, live) in job.live.iter_mut().filter(|(n, l)| **n != lost && l.stop.is_none()) {
            live.stop = Some(grace);
            if let Some(m) = self.machines.get_mut(&live.machine) {
                m.push = true;
            }
        }
    }

    // What isn't listed is gone, unless its start may still arrive.
    fn apply_absence(&mut self, now: Secs, id: &MachineId, listed: &BTreeSet<TaskId>) {
        // A list from before the worker saw our token says nothing of what an
        // earlier leader's orders did to it since.
        let Some(m) = self.machines.get(id).filter(|m| m.confirmed) else {
            return;
        };
        let in_flight = m.direct.is_some();
        let absent: Vec<TaskId> = m.tasks.difference(listed).cloned().collect();
        let mut missed = false;
        for task in absent {
            let Some(live) = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index))
            else {
                continue;
            };
            match live.phase {
                Phase::Placed | Phase::Ready if live.stop.is_none() || live.doubt => {}
                Phase::Placed | Phase::Ready => {
                    if live.never_sent(now) {
                        self.over(&task.job, task.index, Outcome::Lost, now);
                    }
                }
                Phase::Sent if in_flight => {}
                // Not executed, or not yet: send it again. The same attempt
                // starts but once. It is asked whether it hears us.
                Phase::Sent if live.stop.is_none() => {
                    live.phase = Phase::Ready;
                    missed = true;
                }
                Phase::Sent if live.doubt => {}
                Phase::Sent
                    if live.sent.is_some_and(|at| now < at + WORKER_DROPS_S + WORKER_MARGIN_S) => {}
                Phase::Sent | Phase::Seen | Phase::Running => {
                    if live.doubt {
                        // It was here and is gone, but a late copy of its
                        // start could run it again: keep it booked and stop it.
                        live.stop.get_or_insert(0.0);
                        live.phase = Phase::Sent;
                    } else {
                        self.over(&task.job, task.index, Outcome::Lost, now);
                    }
                }
            }
        }
        if missed && let Some(m) = self.machines.get_mut(id) {
            m.probe_due = true;
        }
    }
}

/// Orders that end what a report lists of jobs known to be cancelled.
fn stops_while_loading(report: &Report, replica: &Replica) -> Vec<Command> {
    let running = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
    let cancelled = running
        .filter(|t| TaskId::parse(&t.task).is_some_and(|task| replica.is_cancelled(&task.job)));
    let stop =
        |t: &ReportTask| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 };
    cancelled.map(stop).collect()
}
