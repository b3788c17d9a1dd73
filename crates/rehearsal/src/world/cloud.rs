//! Stand-in of the cloud.

use super::*;

impl World {
    pub(super) fn cloud(&mut self, req: &CloudRequest) -> CloudResult {
        if self.step < self.cloud_down_until {
            return CloudResult::Refused;
        }
        let now = self.now();
        match req {
            CloudRequest::Types => CloudResult::Types(vec![MachineType {
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
            }]),
            CloudRequest::List { .. } => {
                let machines = self
                    .machines
                    .iter()
                    .map(|(id, w)| ListedMachine {
                        machine: id.clone(),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if now < w.up_at {
                            ListedState::Booting
                        } else {
                            ListedState::Running
                        },
                        age_s: 3.0,
                    })
                    .collect();
                CloudResult::List(MachineList { machines, more: false })
            }
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.rents.get(&rent.request) {
                    return CloudResult::Rented(names.clone());
                }
                if self.machines.len() + rent.count as usize > self.size.0 {
                    return CloudResult::NoCapacity;
                }
                let mut names = Vec::new();
                self.ordinary += if rent.spot { 0 } else { rent.count };
                self.rented += rent.count;
                let factor = if self.step < self.boots.1 { self.boots.0 } else { 10 };
                for _ in 0..rent.count {
                    self.next_machine += 1;
                    let never = factor > 10 && self.next_machine.is_multiple_of(3);
                    let boot = if never { 1e9 } else { 0.3 * f64::from(factor) };
                    let id = MachineId::new(&format!("n-{:04}", self.next_machine));
                    names.push(id.clone());
                    self.machines.insert(
                        id,
                        Worker {
                            kind: rent.kind.clone(),
                            zone: rent.zone.clone(),
                            spot: rent.spot,
                            up_at: now + boot,
                            dead: false,
                            cut_until: 0,
                            deaf_until: 0,
                            mute_until: 0,
                            hung_until: 0,
                            slow_until: 0,
                            session: 1,
                            seq: 0,
                            token: 0,
                            leased_from: now + boot,
                            next_report: now + boot,
                            at: 0,
                            waiting: None,
                            tasks: BTreeMap::new(),
                        },
                    );
                }
                self.rents.insert(rent.request.clone(), names.clone());
                CloudResult::Rented(names)
            }
            CloudRequest::Release(names) => {
                for id in names {
                    self.machines.remove(id);
                    self.released.insert(id.clone());
                }
                CloudResult::Released
            }
        }
    }
}
