//! Users: they submit, ask, cancel and repeat as the protocol page says.

use crate::cbor::{decode, encode, i, map, t, V};
use crate::http::{call, Answer};
use crate::util::{now, sleep};
use crate::world::{Job, World};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub struct Users {
    pub world: Arc<World>,
    pub nodes: Vec<SocketAddr>,
}

/// The body of a submission.
pub fn body(id: &str, job: &Job, lot: &str, due: Option<f64>) -> Vec<u8> {
    let builds = job.builds.as_ref().map_or(V::Null, |b| V::List(b.iter().map(|x| t(x)).collect()));
    encode(&map([
        ("ref", t(id)),
        ("lot", t(lot)),
        ("crew", t(&job.team)),
        ("shape", t(if job.service { "daemon" } else { "sweep" })),
        ("rank", t(if job.service { "production" } else { "standard" })),
        ("pieces", i(u64::from(job.pieces))),
        ("vcpus", V::Float(job.vcpus)),
        ("cards", V::Float(0.0)),
        ("mem_gb", V::Float(job.mem)),
        ("mould", t(&job.image)),
        ("size_gb", V::Float(job.gb)),
        ("builds", builds),
        ("quarter", job.quarter.as_ref().map_or(V::Null, |q| t(q))),
        ("together", V::Bool(job.together)),
        ("spread", V::Bool(job.spread)),
        ("loaners", V::Bool(job.loaners)),
        ("guess_s", V::Float(if job.service { 0.0 } else { job.guess })),
        ("mark_s", V::Float(job.mark)),
        ("stow_s", V::Float(job.stow)),
        ("due_s", due.map_or(V::Null, V::Float)),
    ]))
}

fn stage(a: &Answer) -> String {
    decode(&a.body).and_then(|v| v.str("stage").map(str::to_owned)).unwrap_or_default()
}

impl Users {
    /// Makes a job known to the fleet, as its user uploads its description.
    pub fn describe(&self, id: &str, job: &Job) {
        self.world.seen.lock().unwrap().jobs.insert(id.into(), job.clone());
    }

    fn once(
        &self,
        node: usize,
        what: &str,
        id: &str,
        method: &str,
        path: &str,
        body: &[u8],
        wait: f64,
    ) -> Option<(u16, String, u64)> {
        let sent = now();
        let a = call(self.nodes[node], method, path, body, Duration::from_secs_f64(wait));
        let Some(a) = a else {
            crate::util::note(&format!("user: {what} {id} at controller {node}: no answer"));
            return None;
        };
        let stage = stage(&a);
        self.world.answered(id, what, sent, a.status, &stage, node);
        Some((a.status, stage, a.retry_after))
    }

    /// One submission at one controller.
    pub fn submit_once(
        &self,
        node: usize,
        id: &str,
        job: &Job,
        lot: &str,
        due: Option<f64>,
    ) -> Option<(u16, String)> {
        self.describe(id, job);
        let a =
            self.once(node, "submit", id, "POST", "/api/jobs", &body(id, job, lot, due), 5.0)?;
        Some((a.0, a.1))
    }

    pub fn poll(&self, node: usize, id: &str) -> Option<(u16, String)> {
        let a = self.once(node, "poll", id, "GET", &format!("/api/jobs/{id}"), &[], 2.0)?;
        Some((a.0, a.1))
    }

    pub fn cancel_once(&self, node: usize, id: &str) -> Option<(u16, String)> {
        self.world.seen.lock().unwrap().asked_cancel.insert(id.into());
        let a = self.once(node, "abort", id, "POST", &format!("/api/jobs/{id}/abort"), &[], 5.0)?;
        Some((a.0, a.1))
    }

    /// Repeats a request at one controller after another until it has an answer, 60 s at most.
    fn repeat(
        &self,
        first: usize,
        f: impl Fn(usize) -> Option<(u16, String)>,
    ) -> Option<(u16, String)> {
        let end = now() + 60.0;
        let mut node = first;
        while now() < end {
            match f(node) {
                Some((s, stage)) if matches!(s, 200 | 201 | 400 | 404 | 422) => {
                    return Some((s, stage))
                }
                _ => {}
            }
            sleep(1.0);
            node = (node + 1) % self.nodes.len();
        }
        None
    }

    pub fn submit(&self, first: usize, id: &str, job: &Job, lot: &str, due: Option<f64>) -> bool {
        let a = self.repeat(first, |n| self.submit_once(n, id, job, lot, due));
        a.is_some_and(|a| matches!(a.0, 200 | 201))
    }

    pub fn cancel(&self, first: usize, id: &str) -> Option<(u16, String)> {
        self.repeat(first, |n| self.cancel_once(n, id))
    }
}
