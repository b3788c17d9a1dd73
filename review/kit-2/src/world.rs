//! What clients and servers see, and the rules checked on it.

use crate::util::{note, now};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// A job as its user submitted it.
#[derive(Clone, Debug)]
pub struct Job {
    pub team: String,
    pub service: bool,
    pub pieces: u32,
    pub vcpus: f64,
    pub mem: f64,
    pub image: String,
    pub gb: f64,
    pub builds: Option<Vec<String>>,
    pub quarter: Option<String>,
    pub together: bool,
    pub spread: bool,
    pub loaners: bool,
    pub mark: f64,
    pub stow: f64,
    /// Run time of a task, seconds.
    pub run: f64,
    /// The owner's estimate of it.
    pub guess: f64,
    /// Whether every task fails.
    pub broken: bool,
}

/// A machine's place and kind.
#[derive(Clone, Debug)]
pub struct Site {
    pub build: String,
    pub quarter: String,
    pub loaners: bool,
}

#[derive(Default)]
pub struct Seen {
    pub jobs: BTreeMap<String, Job>,
    /// Tasks on machines: piece, machine, attempt, since when.
    pub on: BTreeMap<(String, String), f64>,
    pub sites: BTreeMap<String, Site>,
    pub done: BTreeMap<String, BTreeSet<u32>>,
    /// When a user was first told that a job is accepted, cancelled or done.
    pub accepted: BTreeMap<String, f64>,
    pub cancelled: BTreeMap<String, f64>,
    pub told_done: BTreeMap<String, f64>,
    pub asked_cancel: BTreeSet<String>,
    pub broken: Vec<String>,
    pub starts: u64,
    reported: BTreeSet<String>,
}

/// The limits that the rules use.
pub struct Rules {
    pub cancel_s: f64,
    pub cpus_max: BTreeMap<String, f64>,
}

pub struct World {
    pub seen: Mutex<Seen>,
    pub rules: Rules,
}

impl Seen {
    pub fn violate(&mut self, rule: &str, what: &str) {
        if self.reported.insert(format!("{rule}{what}")) {
            note(&format!("BROKEN {rule}: {what}"));
            self.broken.push(format!("{rule}: {what}"));
        }
    }

    /// CPUs of a task.
    pub fn vcpus(&self, piece: &str) -> f64 {
        self.jobs.get(Self::job_of(piece).0).map_or(0.0, |j| j.vcpus)
    }

    /// CPUs that a team's tasks use.
    pub fn used(&self, team: &str) -> f64 {
        let of = |piece: &str| self.jobs.get(Self::job_of(piece).0).is_some_and(|j| j.team == team);
        self.on.keys().filter(|(p, _)| of(p)).map(|(p, _)| self.vcpus(p)).sum()
    }

    fn job_of(piece: &str) -> (&str, u32) {
        let (job, n) = piece.rsplit_once('/').unwrap_or((piece, "0"));
        (job, n.parse().unwrap_or(0))
    }
}

impl World {
    pub fn new(rules: Rules) -> Self {
        Self { seen: Mutex::default(), rules }
    }

    /// A task holds its image on a machine now and runs.
    pub fn begin(&self, piece: &str, machine: &str, attempt: u64) {
        let mut s = self.seen.lock().unwrap();
        s.starts += 1;
        note(&format!("run: {piece} try {attempt} starts on {machine}"));
        let (id, _) = Seen::job_of(piece);
        let Some(job) = s.jobs.get(id).cloned() else { return };
        let site = s.sites[machine].clone();
        let elsewhere: Vec<String> =
            s.on.keys()
                .filter(|(p, m)| p == piece && m != machine)
                .map(|(_, m)| m.clone())
                .collect();
        if let Some(other) = elsewhere.first() {
            s.violate("ran_twice", &format!("{piece} starts on {machine} while it is on {other}"));
        }
        let wrong = (site.loaners && !job.loaners)
            || job.builds.as_ref().is_some_and(|b| !b.contains(&site.build))
            || job.quarter.as_ref().is_some_and(|q| *q != site.quarter);
        if wrong {
            s.violate("wrong_place", &format!("{piece} on {machine} {site:?}"));
        }
        let others: Vec<String> =
            s.on.keys()
                .filter(|(p, _)| Seen::job_of(p).0 == id && p != piece)
                .map(|(_, m)| s.sites[m].quarter.clone())
                .collect();
        if job.together && others.iter().any(|q| *q != site.quarter) {
            s.violate(
                "wrong_place",
                &format!("{piece} on {machine} in {} apart from {others:?}", site.quarter),
            );
        }
        let here = others.iter().filter(|q| **q == site.quarter).count() as u32 + 1;
        if job.spread && here > job.pieces.div_ceil(2) {
            s.violate("wrong_place", &format!("{piece} on {machine}: {here} in {}", site.quarter));
        }
        if let Some(at) = s.cancelled.get(id).copied() {
            if now() > at + self.rules.cancel_s {
                s.violate(
                    "ran_cancelled",
                    &format!("{piece} starts on {machine} {:.1} s after", now() - at),
                );
            }
        }
        s.on.insert((piece.into(), machine.into()), now());
        let used: f64 =
            s.on.keys()
                .filter_map(|(p, _)| s.jobs.get(Seen::job_of(p).0))
                .filter(|j| j.team == job.team)
                .map(|j| j.vcpus)
                .sum();
        let limit = self.rules.cpus_max.get(&job.team).copied().unwrap_or(0.0);
        if limit > 0.0 && used > limit + 1e-6 {
            s.violate("quota", &format!("{} uses {used} of {limit} as {piece} starts", job.team));
        }
    }

    /// A task is no longer on a machine.
    pub fn end(&self, piece: &str, machine: &str, why: &str) {
        let mut s = self.seen.lock().unwrap();
        if s.on.remove(&(piece.to_owned(), machine.to_owned())).is_some() {
            note(&format!("run: {piece} ends on {machine}: {why}"));
        }
        if why == "done" {
            let (id, n) = Seen::job_of(piece);
            s.done.entry(id.into()).or_default().insert(n);
        }
    }

    /// A machine is gone with everything on it.
    pub fn machine_gone(&self, machine: &str) {
        let mut s = self.seen.lock().unwrap();
        s.on.retain(|(_, m), _| m != machine);
    }

    /// Checks what must hold at any time; called several times a second.
    pub fn check(&self) {
        let mut s = self.seen.lock().unwrap();
        let late: Vec<String> =
            s.on.keys()
                .filter(|(p, _)| {
                    let at = s.cancelled.get(Seen::job_of(p).0);
                    at.is_some_and(|at| now() > at + self.rules.cancel_s + 0.3)
                })
                .map(|(p, m)| format!("{p} is still on {m}"))
                .collect();
        late.iter().for_each(|l| s.violate("ran_cancelled", l));
    }

    /// A user got an answer about a job. `sent` is when the request was sent.
    pub fn answered(&self, id: &str, what: &str, sent: f64, status: u16, stage: &str, node: usize) {
        let mut s = self.seen.lock().unwrap();
        note(&format!("user: {what} {id} at controller {node}: {status} {stage}"));
        let submitted = s.jobs.contains_key(id);
        let before = |map: &BTreeMap<String, f64>| map.get(id).is_some_and(|at| *at < sent);
        let (accepted, cancelled, done) =
            (before(&s.accepted), before(&s.cancelled), before(&s.told_done));
        if status == 200 && !submitted {
            s.violate("invented", &format!("{what} {id}: 200"));
        }
        if status == 404 && accepted {
            s.violate("forgotten", &format!("{what} {id} at controller {node}: 404"));
        }
        if matches!(status, 400 | 422) && accepted && what == "submit" {
            s.violate("forgotten", &format!("{what} {id}: {status}"));
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        if cancelled && stage != "aborted" || done && stage != "done" {
            s.violate("went_back", &format!("{what} {id} at controller {node}: {stage}"));
        }
        if stage == "aborted" && !s.asked_cancel.contains(id) {
            s.violate("went_back", &format!("{what} {id}: aborted, which nobody asked for"));
        }
        if stage == "done" {
            let of = s.jobs.get(id).map_or(0, |j| j.pieces);
            let done = s.done.get(id).map_or(0, |d| d.len() as u32);
            if done < of {
                s.violate("not_done", &format!("{id}: {done} of {of}"));
            }
        }
        let at = now();
        s.accepted.entry(id.into()).or_insert(at);
        if stage == "aborted" {
            s.cancelled.entry(id.into()).or_insert(at);
        }
        if stage == "done" {
            s.told_done.entry(id.into()).or_insert(at);
        }
    }
}
