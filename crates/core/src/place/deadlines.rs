//! How urgent a job is, by its deadline and its class's service-level objectives.

use crate::consts::*;
use crate::event::Secs;
use crate::facts::Facts;
use crate::inheritance::DeadlineAhead;
use crate::jobs::Job;

/// How urgent a job is; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// An objective can still be met, but not for long.
    Urgent,
    /// There is time, or no deadline is set.
    Normal,
    /// The deadline is missed whatever is done: it must not delay other jobs.
    Missed,
}

/// How urgent the job is now.
pub(super) fn urgency(job: &Job, facts: &Facts, now: Secs) -> Urgency {
    if let Some(deadline) = job.inherited_deadline() {
        return inherited_urgency(deadline, now + job.likely_run());
    }
    if job.spec().deadline_s.is_none() {
        return Urgency::Normal;
    }
    // Late already, it should still be done before its completion objective is missed.
    if completion_at_risk(job, facts, now) {
        return Urgency::Urgent;
    }
    let slack = deadline_slacks(job, facts, now).into_iter().filter(|slack| *slack >= 0.0);
    match slack.min_by(f64::total_cmp) {
        None if now - job.arrived > MISSED_LAST_S => Urgency::Normal,
        None => Urgency::Missed,
        // Its last task takes longer than the mean.
        Some(slack) if slack - job.likely_run() * (RUN_SPREAD - 1.0) < URGENT_SLACK_S => {
            Urgency::Urgent
        }
        Some(_) => Urgency::Normal,
    }
}

/// How urgent the deadline of the jobs after it makes a job that would be done at `done` if
/// it started now. Each stage to come needs some slack of its own.
fn inherited_urgency(deadline: DeadlineAhead, done: Secs) -> Urgency {
    let slack = if done <= deadline.due { deadline.due - done } else { deadline.latest - done };
    let stages = f64::from(deadline.stages + 1);
    // Past all that the jobs after it could still meet, it goes in its turn.
    if (0.0..URGENT_SLACK_S * stages).contains(&slack) { Urgency::Urgent } else { Urgency::Normal }
}

/// Seconds to spare before each multiple of the deadline that the class's objectives name,
/// or before the deadline itself.
fn deadline_slacks(job: &Job, facts: &Facts, now: Secs) -> Vec<f64> {
    let Some(deadline) = job.spec().deadline_s else { return Vec::new() };
    let run = job.likely_run();
    let slack = |times: f64| job.arrived + deadline * times - now - run;
    let objectives = facts.deadlines.iter().filter(|o| o.class == job.spec().class);
    let mut slacks: Vec<f64> = objectives.map(|o| slack(o.times)).collect();
    if slacks.is_empty() {
        slacks.push(slack(1.0));
    }
    slacks
}

/// Whether an objective on the job's completion is about to be missed.
fn completion_at_risk(job: &Job, facts: &Facts, now: Secs) -> bool {
    let run = job.likely_run();
    let objectives = facts.finishes.iter().filter(|o| o.class == job.spec().class);
    let mut slacks = objectives.map(|o| job.arrived + o.within_s - now - run * RUN_SPREAD);
    slacks.any(|slack| (0.0..FINISH_SLACK_S).contains(&slack))
}
