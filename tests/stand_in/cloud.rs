//! Simulated cloud API.

use super::http::{Reply, serve};
use super::inputs::Plan;
use super::worker::{Fleet, run_worker};
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

/// Serves the cloud API and returns its address.
pub fn cloud(fleet: Arc<Fleet>, nodes: Vec<String>, plan: Plan) -> String {
    serve(move |method, path, body| match (method, path) {
        (_, "/flavors") => {
            let t = MachineType {
                name: "k".into(),
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: 8.0,
                cache_gb: 10.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.5,
                boot_s: 1.0,
                zones: vec!["a".into()],
            };
            Reply::Answer(200, cbor::encode(&TypeList { types: vec![t] }))
        }
        ("POST", "/hosts") => {
            let rent: RentalRequest = cbor::decode(body).expect("valid rent request");
            let available = plan.max_machines.saturating_sub(fleet.rented());
            let count = available.min(rent.count as usize);
            if rent.spot || count == 0 {
                let none = BTreeMap::from([("error", "no capacity")]);
                return Reply::Answer(503, cbor::encode(&none));
            }
            let machines: Vec<_> = (0..count).map(|_| fleet.rent()).collect();
            for machine in machines.clone() {
                let (nodes, fleet) = (nodes.clone(), fleet.clone());
                thread::spawn(move || run_worker(machine, nodes, fleet, plan));
            }
            Reply::Answer(200, cbor::encode(&MachineNames { machines }))
        }
        ("POST", "/hosts/release") => {
            let names: MachineNames = cbor::decode(body).expect("valid machine names");
            names.machines.iter().for_each(|machine| fleet.release(machine));
            Reply::Answer(200, Vec::new())
        }
        // The list is always empty: a machine that is missing from it may still be running.
        _ => Reply::Answer(200, cbor::encode(&MachineList { machines: Vec::new(), more: false })),
    })
}
