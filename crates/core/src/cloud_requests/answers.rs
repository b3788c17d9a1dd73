//! Handling of the cloud's responses.

use super::{Booting, Pending};
use crate::consts::*;
use crate::event::{CloudResult, OpId, Secs};
use crate::leader::Leader;
use crate::provision::MachineOffer;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::{
    ListedMachine, ListedState, MachineList, MachineType, RentalRequest,
};

impl Leader {
    /// Handles the cloud's response to a request.
    pub(crate) fn cloud_answered(&mut self, now: Secs, op: OpId, result: CloudResult) {
        let cloud = &mut self.cloud_requests;
        let Some(pending) = cloud.pending.remove(&op) else { return };
        if matches!(result, CloudResult::Refused | CloudResult::Unknown) {
            cloud.retry_at = now + CLOUD_RETRY_S;
        }
        match (pending, result) {
            (Pending::Types, CloudResult::Types(types)) => self.types_received(now, types),
            (Pending::Types, _) => cloud.types_requested = false,
            (Pending::List, CloudResult::List(page)) => self.page_received(now, page),
            (Pending::List, _) => {
                cloud.listing = false;
                cloud.list.clear();
            }
            (Pending::Rent(rent), CloudResult::Rented(names)) => self.rented(now, rent.rent, names),
            (Pending::Rent(rent), CloudResult::NoCapacity) => {
                cloud.no_capacity.insert(offer_of(&rent.rent), now + NO_CAPACITY_S);
            }
            (Pending::Rent(rent), _) => cloud.rents_to_retry.push(rent),
            (Pending::Release(names), CloudResult::Released) => {
                names.iter().for_each(|id| self.released(now, id));
            }
            // The machines remain in `to_release`, so the release is sent again.
            (Pending::Release(_), _) => {}
        }
    }

    fn types_received(&mut self, now: Secs, types: Vec<MachineType>) {
        let cloud = &mut self.cloud_requests;
        cloud.types = types;
        cloud.types_requested = false;
        cloud.next_types = now + TYPES_EVERY_S;
        self.apply_machine_types();
        self.place_due = true;
    }

    fn page_received(&mut self, now: Secs, page: MachineList) {
        let cloud = &mut self.cloud_requests;
        cloud.listing = false;
        let more = page.more && !page.machines.is_empty();
        cloud.list.extend(page.machines);
        if more {
            // Request the next page immediately.
            cloud.next_list = now;
            return;
        }
        cloud.next_list = now + LIST_EVERY_S;
        cloud.listed_once = true;
        for machine in std::mem::take(&mut cloud.list) {
            self.listed(now, machine);
        }
    }

    /// Records the machines of a rent request; there may be fewer than requested.
    fn rented(&mut self, now: Secs, rent: RentalRequest, names: Vec<MachineId>) {
        self.log.debug(|| format!("event=rented request={} count={}", rent.request, names.len()));
        if (names.len() as u32) < rent.count {
            self.cloud_requests.no_capacity.insert(offer_of(&rent), now + NO_CAPACITY_S);
        }
        for id in names {
            if self.machines.contains_key(&id) || self.released_machines.contains_key(&id) {
                continue;
            }
            self.cloud_requests.booting.insert(id, Booting::rented(&rent, now));
        }
    }

    /// Handles an entry of the machine list.
    fn listed(&mut self, now: Secs, listed: ListedMachine) {
        if self.released_machines.contains_key(&listed.machine) {
            return;
        }
        let failed = listed.state == ListedState::Failed;
        if let Some(m) = self.machines.get_mut(&listed.machine) {
            if failed {
                // The machine stopped by itself; releasing it proves that its tasks are gone.
                m.cordoned = true;
                self.cloud_requests.to_release.insert(listed.machine);
            }
            return;
        }
        let entry = self.cloud_requests.booting.entry(listed.machine);
        let machine = entry.or_insert_with(|| Booting {
            kind: listed.kind,
            zone: listed.zone,
            spot: listed.spot,
            since: now - listed.age_s,
            listed_at: None,
            up: false,
            failed: false,
        });
        machine.listed_at = Some(now);
        machine.up = listed.state == ListedState::Running;
        machine.failed = failed;
    }

    /// Handles a completed release: the machine and all its tasks are gone.
    fn released(&mut self, now: Secs, id: &MachineId) {
        self.cloud_requests.to_release.remove(id);
        self.cloud_requests.booting.remove(id);
        self.released_machines.insert(id.clone(), now);
        let life = self.facts.list_lag_s * RELEASED_KEPT_LAGS;
        self.released_machines.retain(|_, at| now - *at < life);
        self.lose_tasks(id, now);
        if let Some(m) = self.machines.remove(id) {
            for job in self.jobs.values_mut() {
                job.machines.remove(m.info.number);
            }
            self.writer.machine_gone(id, m.block, now);
        }
        self.place_due = true;
        self.log.debug(|| format!("event=released machine={id} term={}", self.term.0));
    }
}

fn offer_of(rent: &RentalRequest) -> MachineOffer {
    MachineOffer { machine_type: rent.kind.clone(), zone: rent.zone.clone(), spot: rent.spot }
}
