//! Demand for container images: decides whether one more machine should fetch an image.

use crate::consts::HOLDERS_FREE_SHARE;
use crate::event::Secs;
use crate::fleet::Machines;
use crate::jobs::Jobs;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind};
use std::collections::HashMap;

/// The demand for an image, in CPUs.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ImageDemand {
    /// CPUs that waiting array tasks need.
    pub(crate) waiting: f64,
    /// Total CPUs of the machines that have the image or are fetching it.
    pub(crate) holders: f64,
    /// The part of `holders` that services occupy, which doesn't become free.
    pub(crate) held_by_services: f64,
}

impl ImageDemand {
    /// The same demand, counting only the holder CPUs that arrays use or could use.
    fn without_services(self) -> Self {
        let holders = (self.holders - self.held_by_services).max(0.0);
        Self { holders, held_by_services: 0.0, ..self }
    }
}

/// The demand for each image that array tasks are waiting for.
pub(super) fn image_demand(
    jobs: &Jobs,
    machines: &Machines,
    now: Secs,
    heartbeat_interval_s: f64,
) -> HashMap<String, ImageDemand> {
    let mut images = waiting_demand(jobs);
    if !images.is_empty() {
        count_holders(&mut images, machines, now, heartbeat_interval_s);
    }
    images
}

/// The CPUs that waiting array tasks need, by image.
fn waiting_demand(jobs: &Jobs) -> HashMap<String, ImageDemand> {
    let mut images: HashMap<String, ImageDemand> = HashMap::new();
    for job in jobs.values().filter(|job| job.spec().kind == Kind::Array) {
        let waiting = f64::from(job.waiting()) * job.spec().cpus;
        if waiting <= 0.0 {
            continue;
        }
        match images.get_mut(&job.spec().image) {
            Some(demand) => demand.waiting += waiting,
            None => {
                let demand = ImageDemand { waiting, ..ImageDemand::default() };
                images.insert(job.spec().image.clone(), demand);
            }
        }
    }
    images
}

/// Adds the machines that have each image or are fetching it.
fn count_holders(
    images: &mut HashMap<String, ImageDemand>,
    machines: &Machines,
    now: Secs,
    heartbeat_interval_s: f64,
) {
    for machine in machines.values().filter(|machine| machine.usable(now, heartbeat_interval_s)) {
        let cached = machine.images.iter().map(|(image, _)| image);
        for image in cached.chain(machine.fetching.keys()) {
            if let Some(demand) = images.get_mut(image) {
                demand.holders += machine.size[0];
                demand.held_by_services += machine.service_cpus;
            }
        }
    }
}

/// Whether a task should fetch its image on one more machine. It shouldn't if the machines that
/// have the image will become free before the fetch would end: without this rule half of all starts
/// on a full fleet fetched an image, which took a quarter of the machines' time.
///
/// `likely_run` is the task's expected run time in seconds; `fetch_rate` is the highest rate of all
/// machine types, in GB/s.
fn fetch_is_worthwhile(
    spec: &JobSpec,
    likely_run: f64,
    demand: ImageDemand,
    fetch_rate: f64,
) -> bool {
    let fetch = spec.image_gb / fetch_rate.max(1e-3);
    let becoming_free = demand.holders * fetch / likely_run.max(0.1);
    demand.waiting > becoming_free * HOLDERS_FREE_SHARE
}

impl Leader {
    /// Whether a task of the job should fetch its image on one more machine.
    pub(crate) fn worth_fetch(&self, id: &JobId) -> bool {
        self.fetch_is_worthwhile_for(id, |demand| demand)
    }

    /// Like [`Leader::worth_fetch`], for a job that has waited long for machines that have its
    /// image: capacity that services occupy there isn't counted. Counting it kept an array's last
    /// task from fetching on an idle machine for 18 s. Never counting it, even for jobs that
    /// haven't waited, makes a fleet with spare capacity fetch more and lowers the measured results
    /// by 0.01.
    pub(crate) fn worth_fetch_after_wait(&self, id: &JobId) -> bool {
        self.fetch_is_worthwhile_for(id, ImageDemand::without_services)
    }

    fn fetch_is_worthwhile_for(&self, id: &JobId, counted: fn(ImageDemand) -> ImageDemand) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let Some(demand) = self.image_demand.get(&job.spec().image) else { return true };
        let rates = self.cloud_requests.types.iter().map(|t| t.fetch_gb_per_s);
        let fetch_rate = rates.fold(0.0, f64::max);
        fetch_is_worthwhile(job.spec(), job.likely_run(), counted(*demand), fetch_rate)
    }
}

#[cfg(test)]
#[path = "../tests/image_demand.rs"]
mod tests;
