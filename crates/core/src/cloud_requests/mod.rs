//! Requests to the cloud: machine types, the machine list, rents and releases, within the
//! cloud's rate limit.
//!
//! What to rent is decided in `provision`, what to release in `deprovision`.

mod answers;
mod boots;
mod fleet_log;
mod recent_samples;

pub(crate) use boots::Booting;
pub(crate) use recent_samples::RecentSamples;

use crate::consts::*;
use crate::event::{ActionSink, CloudRequest, OpId, Secs};
use crate::leader::Leader;
use crate::provision::MachineOffer;
use crate::replica::Replica;
use boots::MachinePool;
use marblebarrow_proto::ids::{MachineId, Term};
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::{ListedMachine, MachineType, Rent};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request that the cloud hasn't answered.
#[derive(Debug)]
enum Pending {
    /// For the machine types.
    Types,
    /// For a page of the machine list.
    List,
    /// To rent machines.
    Rent(UnansweredRent),
    /// To release machines.
    Release(Vec<MachineId>),
}

/// A request to rent machines whose outcome isn't known: its machines are on their way unless
/// the cloud answers otherwise.
#[derive(Debug)]
pub(crate) struct UnansweredRent {
    /// The request.
    pub(crate) rent: Rent,
    /// When it was first sent.
    pub(crate) since: Secs,
}

/// One class of services, as seen lately.
#[derive(Debug)]
pub(crate) struct ServiceClass {
    /// The spec of its newest job.
    pub(crate) shape: JobSpec,
    /// When replicas were asked for.
    pub(crate) arrivals: Vec<Secs>,
}

/// What is known of the cloud, and the requests to it.
#[derive(Debug)]
pub(crate) struct CloudRequests {
    /// Machine types, current prices.
    pub(crate) types: Vec<MachineType>,
    types_asked: bool,
    next_types: Secs,
    next_list: Secs,
    listing: bool,
    /// The pages of the machine list so far.
    list: Vec<ListedMachine>,
    /// Whether the machine list was read under this term.
    listed_once: bool,
    next_scaling: Secs,
    /// Machines that were rented or listed, and haven't reported.
    pub(crate) booting: BTreeMap<MachineId, Booting>,
    /// Requests that the cloud hasn't answered.
    pending: HashMap<OpId, Pending>,
    /// Rents to retry: it isn't known whether they were carried out.
    rents_to_retry: Vec<UnansweredRent>,
    /// Machines to release.
    pub(crate) to_release: BTreeSet<MachineId>,
    /// Boot times seen lately, as multiples of the usual.
    boot_factors: BTreeMap<MachinePool, f64>,
    /// Offers that had no machine left, and until when they aren't tried.
    pub(crate) no_capacity: BTreeMap<MachineOffer, Secs>,
    /// The number of the last rent of this term.
    next_request: u64,
    /// Rotates the zones that machines are rented in.
    pub(crate) next_zone: usize,
    /// Requests that may be sent now.
    request_tokens: f64,
    tokens_refilled_at: Secs,
    /// No request is sent before: the last one failed.
    pub(crate) retry_at: Secs,
    /// Classes of services, by name.
    pub(crate) services: BTreeMap<String, ServiceClass>,
    next_log: Secs,
    /// When this controller began to lead.
    pub(crate) leader_since: Secs,
    /// When replicas may next be moved to empty a machine.
    pub(crate) next_consolidation: Secs,
    /// CPUs that arrays kept busy on ordinary machines that services don't need.
    pub(crate) replaceable_cpus: RecentSamples,
    /// CPUs that waiting arrays want beyond what is free or on its way.
    pub(crate) backlog_cpus: RecentSamples,
}

impl CloudRequests {
    /// Nothing is known of the cloud yet.
    pub(crate) fn new(now: Secs) -> Self {
        Self {
            types: Vec::new(),
            types_asked: false,
            next_types: now,
            next_list: now,
            listing: false,
            list: Vec::new(),
            listed_once: false,
            next_scaling: now,
            booting: BTreeMap::new(),
            pending: HashMap::new(),
            rents_to_retry: Vec::new(),
            to_release: BTreeSet::new(),
            boot_factors: BTreeMap::new(),
            no_capacity: BTreeMap::new(),
            next_request: 0,
            next_zone: 0,
            request_tokens: 1.0,
            tokens_refilled_at: now,
            retry_at: now,
            services: BTreeMap::new(),
            next_log: now,
            leader_since: now,
            next_consolidation: now + CONSOLIDATE_AGE_S,
            replaceable_cpus: RecentSamples::default(),
            backlog_cpus: RecentSamples::default(),
        }
    }

    /// The machine type of that name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// A job came: services set the warm reserve.
    pub(crate) fn saw_job(&mut self, now: Secs, spec: &JobSpec) {
        if spec.kind != Kind::Service {
            return;
        }
        let class = self
            .services
            .entry(spec.class.clone())
            .or_insert_with(|| ServiceClass { shape: spec.clone(), arrivals: Vec::new() });
        class.shape = spec.clone();
        class.arrivals.extend((0..spec.tasks.min(ARRIVAL_TASKS_MAX)).map(|_| now));
    }

    /// Whether the rate limit allows one more request; if so, counts it.
    pub(crate) fn take_request(&mut self) -> bool {
        let allowed = self.request_tokens >= 1.0;
        if allowed {
            self.request_tokens -= 1.0;
        }
        allowed
    }

    /// Fills the token bucket; `rate` is in requests a second.
    fn refill_tokens(&mut self, now: Secs, rate: f64) {
        let earned = (now - self.tokens_refilled_at) * rate;
        self.request_tokens = (self.request_tokens + earned).min(rate);
        self.tokens_refilled_at = now;
    }

    fn ask_types(&mut self, now: Secs, out: &mut ActionSink) {
        if !self.types_asked && now >= self.next_types && self.take_request() {
            self.types_asked = true;
            let op = out.cloud(CloudRequest::Types);
            self.pending.insert(op, Pending::Types);
        }
    }

    fn ask_list(&mut self, now: Secs, out: &mut ActionSink) {
        if !self.listing && now >= self.next_list && self.take_request() {
            self.listing = true;
            let after = self.list.last().map(|listed| listed.machine.clone());
            let op = out.cloud(CloudRequest::List { after });
            self.pending.insert(op, Pending::List);
        }
    }

    /// Retries a rent under its name, which rents once.
    fn retry_rent(&mut self, out: &mut ActionSink) {
        if self.rents_to_retry.is_empty() || !self.take_request() {
            return;
        }
        let Some(rent) = self.rents_to_retry.pop() else { return };
        self.send_rent(rent, out);
    }

    /// Rents that are under way, or to be retried.
    pub(crate) fn unanswered_rents(&self) -> impl Iterator<Item = &UnansweredRent> {
        let under_way = self.pending.values().filter_map(|pending| match pending {
            Pending::Rent(rent) => Some(rent),
            _ => None,
        });
        under_way.chain(&self.rents_to_retry)
    }

    /// A name for a rent. Term and counter: no controller ever uses it again.
    pub(crate) fn new_request_name(&mut self, term: Term) -> String {
        self.next_request += 1;
        format!("r-{}-{}", term.0, self.next_request)
    }

    /// Sends a rent; the rate limit must have allowed it.
    pub(crate) fn send_rent(&mut self, rent: UnansweredRent, out: &mut ActionSink) {
        let op = out.cloud(CloudRequest::Rent(rent.rent.clone()));
        self.pending.insert(op, Pending::Rent(rent));
    }

    fn send_release(&mut self, out: &mut ActionSink) {
        let under_way: Vec<&Vec<MachineId>> = self.releases_under_way().collect();
        if under_way.len() >= RELEASES_UNANSWERED_MAX {
            return;
        }
        let asked: BTreeSet<&MachineId> = under_way.into_iter().flatten().collect();
        let open = self.to_release.iter().filter(|id| !asked.contains(id));
        let names: Vec<MachineId> = open.take(RELEASE_MAX).cloned().collect();
        if names.is_empty() || !self.take_request() {
            return;
        }
        let op = out.cloud(CloudRequest::Release(names.clone()));
        self.pending.insert(op, Pending::Release(names));
    }

    fn releases_under_way(&self) -> impl Iterator<Item = &Vec<MachineId>> {
        self.pending.values().filter_map(|pending| match pending {
            Pending::Release(names) => Some(names),
            _ => None,
        })
    }
}

impl Leader {
    /// Steps with time: sends requests, and scales the fleet.
    pub(crate) fn cloud_tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let rate = self.facts.cloud_rps * CLOUD_SHARE;
        self.cloud_requests.refill_tokens(now, rate);
        self.take_recorded_types(replica);
        let cloud = &mut self.cloud_requests;
        if now < cloud.retry_at {
            return;
        }
        cloud.ask_types(now, out);
        cloud.ask_list(now, out);
        cloud.retry_rent(out);
        if now >= cloud.next_scaling && cloud.listed_once {
            cloud.next_scaling = now + FLEET_EVERY_S;
            cloud.watch_boots(now);
            self.scale_in(now);
            self.consolidate(now);
            self.scale_out(now, out);
        }
        self.cloud_requests.send_release(out);
        self.log_fleet(now);
    }

    /// Until the cloud has answered, the recorded types serve.
    fn take_recorded_types(&mut self, replica: &Replica) {
        let cloud = &mut self.cloud_requests;
        if cloud.types.is_empty()
            && let Some(types) = &replica.types
        {
            cloud.types.clone_from(types);
            self.learn_types();
            self.place_due = true;
        }
    }
}
