//! Simulated cloud that rents machines out.

use super::*;

/// Boot time of a machine for each tenth of the usual boot, in seconds.
const BOOT_S_PER_TENTH: f64 = 0.3;
/// The usual boot time, in tenths.
const USUAL_BOOT_TENTHS: u32 = 10;
/// While boots are slow, one in this many machines never comes up.
const NEVER_UP_ONE_IN: u32 = 3;
/// Boot time that stands for never, in seconds.
const NEVER_UP_BOOT_S: f64 = 1e9;

impl World {
    /// Executes a request to the cloud.
    pub(super) fn cloud(&mut self, req: &CloudRequest) -> CloudResult {
        if self.step < self.cloud_down_until {
            return CloudResult::Refused;
        }
        match req {
            CloudRequest::Types => CloudResult::Types(vec![machine_type()]),
            CloudRequest::List { .. } => CloudResult::List(self.machine_list()),
            CloudRequest::Rent(rent) => self.rent(rent),
            CloudRequest::Release(names) => {
                for id in names {
                    self.machines.remove(id);
                    self.released.insert(id.clone());
                }
                CloudResult::Released
            }
        }
    }

    fn machine_list(&self) -> MachineList {
        let now = self.now();
        let state = |up_at| if now < up_at { ListedState::Booting } else { ListedState::Running };
        let listed = |(id, w): (&MachineId, &Worker)| ListedMachine {
            machine: id.clone(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            state: state(w.up_at),
            age_s: 3.0,
        };
        MachineList { machines: self.machines.iter().map(listed).collect(), more: false }
    }

    /// Rents machines. A repeated request returns the same machines and rents no others.
    fn rent(&mut self, rent: &RentalRequest) -> CloudResult {
        if let Some(names) = self.rents.get(&rent.request) {
            return CloudResult::Rented(names.clone());
        }
        let count = self.machines_granted(rent.count);
        if count == 0 {
            return CloudResult::NoCapacity;
        }
        self.ordinary += if rent.spot { 0 } else { count };
        self.rented += count;
        let names: Vec<MachineId> = (0..count).map(|_| self.boot_machine(rent)).collect();
        self.rents.insert(rent.request.clone(), names.clone());
        CloudResult::Rented(names)
    }

    /// How many of the requested machines the cloud provides.
    fn machines_granted(&self, asked: u32) -> u32 {
        let left = self.size.0.saturating_sub(self.machines.len()) as u32;
        if asked <= left {
            asked
        } else if self.rents_in_part {
            left
        } else {
            0
        }
    }

    /// Adds a booting machine and returns its name.
    fn boot_machine(&mut self, rent: &RentalRequest) -> MachineId {
        let tenths = if self.step < self.boots.1 { self.boots.0 } else { USUAL_BOOT_TENTHS };
        self.next_machine += 1;
        let never_up =
            tenths > USUAL_BOOT_TENTHS && self.next_machine.is_multiple_of(NEVER_UP_ONE_IN);
        let boot_s = if never_up { NEVER_UP_BOOT_S } else { BOOT_S_PER_TENTH * f64::from(tenths) };
        let id = MachineId::new(&format!("n-{:04}", self.next_machine));
        self.machines.insert(id.clone(), Worker::booting(rent, self.now() + boot_s));
        id
    }
}

/// The only machine type of the simulated cloud.
fn machine_type() -> MachineType {
    MachineType {
        name: "k".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 3.0,
        zones: vec!["a".into(), "b".into()],
    }
}

impl Worker {
    /// The worker of a machine that comes up, in its first agent epoch, at `up_at`.
    fn booting(rent: &RentalRequest, up_at: f64) -> Self {
        Self {
            kind: rent.kind.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            up_at,
            dead: false,
            cut_until: 0,
            inbound_cut_until: 0,
            outbound_cut_until: 0,
            hung_until: 0,
            slow_until: 0,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            token_reported_at: f64::NEG_INFINITY,
            leased_from: up_at,
            next_heartbeat: up_at,
            controller: 0,
            awaiting_since: None,
            trace: LeaseTrace::default(),
            tasks: BTreeMap::new(),
            started: BTreeSet::new(),
            restarts: 0,
        }
    }
}
