//! Requests to the cloud within its rate limit: machine types, the machine list, rents and
//! releases.
//!
//! `provision` decides what to rent, `deprovision` what to release.

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
use marblebarrow_proto::wire::{ListedMachine, MachineType, RentalRequest};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request that the cloud hasn't answered yet.
#[derive(Debug)]
enum Pending {
    /// Requests the machine types.
    Types,
    /// Requests a page of the machine list.
    List,
    /// Rents machines.
    Rent(UnansweredRent),
    /// Releases machines.
    Release(Vec<MachineId>),
}

/// A rent request whose outcome isn't known. Its machines are expected to come up unless the cloud
/// answers otherwise.
#[derive(Debug)]
pub(crate) struct UnansweredRent {
    /// The request.
    pub(crate) rent: RentalRequest,
    /// Time at which it was first sent.
    pub(crate) since: Secs,
}

/// Recent activity of one class of services.
#[derive(Debug)]
pub(crate) struct ServiceClass {
    /// The spec of its newest job.
    pub(crate) newest_spec: JobSpec,
    /// Times at which replicas were requested.
    pub(crate) arrivals: Vec<Secs>,
}

/// State of the cloud as known to the leader, and the requests to it.
#[derive(Debug)]
pub(crate) struct CloudRequests {
    /// Machine types with current prices.
    pub(crate) types: Vec<MachineType>,
    types_requested: bool,
    next_types: Secs,
    next_list: Secs,
    listing: bool,
    /// Machines from the pages of the machine list received so far.
    list: Vec<ListedMachine>,
    /// Whether the machine list was read completely in this term.
    listed_once: bool,
    next_scaling: Secs,
    /// Machines that were rented or listed but haven't reported yet.
    pub(crate) booting: BTreeMap<MachineId, Booting>,
    /// Requests that the cloud hasn't answered yet.
    pending: HashMap<OpId, Pending>,
    /// Rent requests to retry because it isn't known whether they were carried out.
    rents_to_retry: Vec<UnansweredRent>,
    /// Machines to release.
    pub(crate) to_release: BTreeSet<MachineId>,
    /// Recent boot times by pool, as multiples of the type's nominal boot time.
    boot_factors: BTreeMap<MachinePool, f64>,
    /// Offers for which the cloud had no capacity, and the time until which they aren't tried
    /// again.
    pub(crate) no_capacity: BTreeMap<MachineOffer, Secs>,
    /// Number of the last rent request of this term.
    next_request: u64,
    /// Counter that rotates between the zones that machines are rented in.
    pub(crate) next_zone: usize,
    /// Tokens of the rate limit: number of requests that may be sent now.
    request_tokens: f64,
    tokens_refilled_at: Secs,
    /// Time before which no request is sent, because the last one failed.
    pub(crate) retry_at: Secs,
    /// Classes of services, by name.
    pub(crate) services: BTreeMap<String, ServiceClass>,
    next_log: Secs,
    /// Time at which this controller became the leader.
    pub(crate) leader_since: Secs,
    /// Time at which replicas may next be moved to empty a machine.
    pub(crate) next_consolidation: Secs,
    /// Recent samples of the CPUs that array work uses on ordinary machines without services.
    pub(crate) replaceable_cpus: RecentSamples,
    /// Recent samples of the CPUs that waiting array tasks need beyond what is free or planned.
    pub(crate) backlog_cpus: RecentSamples,
}

impl CloudRequests {
    /// Initial state, with nothing known of the cloud.
    pub(crate) fn new(now: Secs) -> Self {
        Self {
            types: Vec::new(),
            types_requested: false,
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

    /// Looks up a machine type by name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// Records a job's arrival. Service arrivals determine the size of the warm reserve.
    pub(crate) fn record_arrival(&mut self, now: Secs, spec: &JobSpec) {
        if spec.kind != Kind::Service {
            return;
        }
        let class = self
            .services
            .entry(spec.class.clone())
            .or_insert_with(|| ServiceClass { newest_spec: spec.clone(), arrivals: Vec::new() });
        class.newest_spec = spec.clone();
        class.arrivals.extend((0..spec.tasks.min(ARRIVAL_TASKS_MAX)).map(|_| now));
    }

    /// Takes a token of the rate limit. Returns false if no request may be sent now.
    pub(crate) fn take_request(&mut self) -> bool {
        let allowed = self.request_tokens >= 1.0;
        if allowed {
            self.request_tokens -= 1.0;
        }
        allowed
    }

    /// Refills the token bucket; `rate` is in requests per second.
    fn refill_tokens(&mut self, now: Secs, rate: f64) {
        let earned = (now - self.tokens_refilled_at) * rate;
        self.request_tokens = (self.request_tokens + earned).min(rate);
        self.tokens_refilled_at = now;
    }

    fn request_types(&mut self, now: Secs, out: &mut ActionSink) {
        if !self.types_requested && now >= self.next_types && self.take_request() {
            self.types_requested = true;
            let op = out.cloud(CloudRequest::Types);
            self.pending.insert(op, Pending::Types);
        }
    }

    fn request_list(&mut self, now: Secs, out: &mut ActionSink) {
        if !self.listing && now >= self.next_list && self.take_request() {
            self.listing = true;
            let after = self.list.last().map(|listed| listed.machine.clone());
            let op = out.cloud(CloudRequest::List { after });
            self.pending.insert(op, Pending::List);
        }
    }

    /// Retries a rent under its request name. The name makes it idempotent: the machines are rented
    /// only once.
    fn retry_rent(&mut self, out: &mut ActionSink) {
        if self.rents_to_retry.is_empty() || !self.take_request() {
            return;
        }
        let Some(rent) = self.rents_to_retry.pop() else { return };
        self.send_rent(rent, out);
    }

    /// Rent requests that are in flight or to be retried.
    pub(crate) fn unanswered_rents(&self) -> impl Iterator<Item = &UnansweredRent> {
        let in_flight = self.pending.values().filter_map(|pending| match pending {
            Pending::Rent(rent) => Some(rent),
            _ => None,
        });
        in_flight.chain(&self.rents_to_retry)
    }

    /// Returns a unique name for a rent request. It is made of the term and a counter, so no
    /// controller ever uses it again.
    pub(crate) fn new_request_name(&mut self, term: Term) -> String {
        self.next_request += 1;
        format!("r-{}-{}", term.0, self.next_request)
    }

    /// Sends a rent request. The caller must have taken a token of the rate limit.
    pub(crate) fn send_rent(&mut self, rent: UnansweredRent, out: &mut ActionSink) {
        let op = out.cloud(CloudRequest::Rent(rent.rent.clone()));
        self.pending.insert(op, Pending::Rent(rent));
    }

    fn send_release(&mut self, out: &mut ActionSink) {
        let in_flight: Vec<&Vec<MachineId>> = self.releases_in_flight().collect();
        if in_flight.len() >= RELEASES_UNANSWERED_MAX {
            return;
        }
        let requested: BTreeSet<&MachineId> = in_flight.into_iter().flatten().collect();
        let open = self.to_release.iter().filter(|id| !requested.contains(id));
        let names: Vec<MachineId> = open.take(RELEASE_MAX).cloned().collect();
        if names.is_empty() || !self.take_request() {
            return;
        }
        let op = out.cloud(CloudRequest::Release(names.clone()));
        self.pending.insert(op, Pending::Release(names));
    }

    fn releases_in_flight(&self) -> impl Iterator<Item = &Vec<MachineId>> {
        self.pending.values().filter_map(|pending| match pending {
            Pending::Release(names) => Some(names),
            _ => None,
        })
    }
}

impl Leader {
    /// Periodic step: sends requests, and scales the fleet.
    pub(crate) fn cloud_tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let rate = self.facts.cloud_rps * CLOUD_SHARE;
        self.cloud_requests.refill_tokens(now, rate);
        self.use_recorded_types(replica);
        let cloud = &mut self.cloud_requests;
        if now < cloud.retry_at {
            return;
        }
        cloud.request_types(now, out);
        cloud.request_list(now, out);
        cloud.retry_rent(out);
        if now >= cloud.next_scaling && cloud.listed_once {
            cloud.next_scaling = now + FLEET_EVERY_S;
            cloud.detect_slow_boots(now);
            self.scale_in(now);
            self.consolidate(now);
            self.scale_out(now, out);
        }
        self.cloud_requests.send_release(out);
        self.log_fleet(now);
    }

    /// Uses the machine types recorded in the store until the cloud has answered.
    fn use_recorded_types(&mut self, replica: &Replica) {
        let cloud = &mut self.cloud_requests;
        if cloud.types.is_empty()
            && let Some(types) = &replica.types
        {
            cloud.types.clone_from(types);
            self.apply_machine_types();
            self.place_due = true;
        }
    }
}
