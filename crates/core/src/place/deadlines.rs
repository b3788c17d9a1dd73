//! Urgency of jobs, derived from their deadlines and their class's service-level objectives.

use crate::consts::*;
use crate::event::Secs;
use crate::facts::Facts;
use crate::inheritance::DeadlineAhead;
use crate::jobs::Job;

/// How urgent a job is; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// An objective can still be met, but little time is left.
    Urgent,
    /// There is enough time, or no deadline is set.
    Normal,
    /// The deadline will be missed in any case, so the job must not delay others.
    Missed,
}

/// The job's current urgency.
pub(super) fn urgency(job: &Job, facts: &Facts, now: Secs) -> Urgency {
    if let Some(deadline) = job.inherited_deadline() {
        return inherited_urgency(deadline, now + job.likely_run());
    }
    if job.spec().deadline_s.is_none() {
        return Urgency::Normal;
    }
    // Even when the deadline has passed, the job should finish before it misses its completion
    // objective.
    if completion_at_risk(job, facts, now) {
        return Urgency::Urgent;
    }
    let slack = deadline_slacks(job, facts, now).into_iter().filter(|slack| *slack >= 0.0);
    match slack.min_by(f64::total_cmp) {
        None if now - job.arrived > MISSED_DEADLINE_DELAY_S => Urgency::Normal,
        None => Urgency::Missed,
        // The job's last task takes longer than the mean, by the factor `RUN_SPREAD`.
        Some(slack) if slack - job.likely_run() * (RUN_SPREAD - 1.0) < URGENT_SLACK_S => {
            Urgency::Urgent
        }
        Some(_) => Urgency::Normal,
    }
}

/// Urgency that a job inherits from the deadline of its dependent jobs, given that it would finish
/// at `done` if it started now. Each remaining stage needs slack of its own.
fn inherited_urgency(deadline: DeadlineAhead, done: Secs) -> Urgency {
    let slack = if done <= deadline.due { deadline.due - done } else { deadline.latest - done };
    let stages = f64::from(deadline.stages + 1);
    // Once the dependent jobs can't meet any objective, the job is scheduled normally.
    if (0.0..URGENT_SLACK_S * stages).contains(&slack) { Urgency::Urgent } else { Urgency::Normal }
}

/// Slack in seconds before each multiple of the deadline named in the class's objectives, or before
/// the deadline itself if there are none.
fn deadline_slacks(job: &Job, facts: &Facts, now: Secs) -> Vec<f64> {
    let Some(deadline) = job.spec().deadline_s else { return Vec::new() };
    let run = job.likely_run();
    let slack = |times: f64| job.arrived + deadline * times - now - run;
    let objectives = facts.deadline_objectives.iter().filter(|o| o.class == job.spec().class);
    let mut slacks: Vec<f64> = objectives.map(|o| slack(o.times)).collect();
    if slacks.is_empty() {
        slacks.push(slack(1.0));
    }
    slacks
}

/// Whether an objective on the job's completion time is about to be missed.
fn completion_at_risk(job: &Job, facts: &Facts, now: Secs) -> bool {
    let run = job.likely_run();
    let objectives = facts.completion_objectives.iter().filter(|o| o.class == job.spec().class);
    let mut slacks = objectives.map(|o| job.arrived + o.within_s - now - run * RUN_SPREAD);
    slacks.any(|slack| (0.0..FINISH_SLACK_S).contains(&slack))
}
