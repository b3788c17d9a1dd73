//! Whether an array's task fetches its image on one more machine.
//!
//! What happened: of 2,100 machines a quarter died in a takeover, and one task of an array
//! still waited 24 s after recovery, beside 13 to 57 idle machines, until the day ended (seeds
//! 30 and 37 of the cluster sweep `quarter_lost`). Why: the idle machines had not its image,
//! and a fetch counted as not worthwhile, as the machines that had it would become free sooner:
//! 25 to 46 of them, all full of services, which never end. What showed it: the log line
//! `event=fleet ... ordinary_idle=13 ... waiting=1`, and the demand for the image as each pass
//! saw it, `waiting: 1.0, holders: 184.0`, for the whole of that time.

use super::*;
use crate::facts::Tuning;
use crate::fleet::Machine;
use crate::jobs::Job;
use marblebarrow_proto::ids::{JobId, MachineId};
use marblebarrow_proto::job::Priority;
use marblebarrow_proto::records::{MachineRecord, SpecRecord};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::sync::Arc;

const NOW: Secs = 100.0;
const HEARTBEAT_INTERVAL_S: f64 = 5.0;
const CPUS: f64 = 4.0;
const FETCH_GB_PER_S: f64 = 1.0;
const IMAGE: &str = "i";

fn array() -> JobSpec {
    JobSpec {
        id: JobId::new("req-000001"),
        class: "a".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: IMAGE.into(),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 3.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// A machine that has the image, with so many services of a CPU each.
fn holder(services: u32) -> Machine {
    let record = MachineRecord {
        kind: "k".into(),
        zone: "a".into(),
        spot: false,
        addr: "a".into(),
        images: vec![IMAGE.into()],
        number: 1,
    };
    let mut machine = Machine::new(record, NOW);
    (machine.heard, machine.reached, machine.last_heartbeat) = (Some(NOW), Some(NOW), Some(NOW));
    machine.confirmed = true;
    machine.size = [CPUS, 0.0, 16.0];
    (0..services).for_each(|_| machine.add_service(1.0));
    assert!(machine.usable(NOW, HEARTBEAT_INTERVAL_S));
    machine
}

/// Whether the array's task fetches after its wait, with so many holders of so many services each.
fn fetches(holders: u32, services: u32) -> bool {
    let record = Arc::new(SpecRecord::submitted(array(), 0));
    let mut rng = StdRng::seed_from_u64(1);
    let job = Job::new(record, 1, NOW, &Tuning::default(), &mut rng);
    let jobs: Jobs = [(array().id, job)].into_iter().collect();
    let mut machines = Machines::new();
    for number in 0..holders {
        machines.insert(MachineId::new(&format!("n-{number:06}")), holder(services));
    }
    let images = image_demand(&jobs, &machines, NOW, HEARTBEAT_INTERVAL_S);
    let demand = images[IMAGE].without_services();
    fetch_is_worthwhile(&array(), array().estimate_s, demand, FETCH_GB_PER_S)
}

#[test]
fn an_array_does_not_wait_for_machines_full_of_services() {
    assert!(fetches(46, CPUS as u32), "no holder ever comes free");
    assert!(!fetches(46, 0), "arrays' machines come free within the fetch");
    assert!(!fetches(46, 2), "so do the halves of machines that services leave");
}

#[test]
fn what_services_take_is_counted_once() {
    let mut machine = holder(3);
    assert_eq!((machine.services, machine.service_cpus), (3, 3.0));
    machine.remove_service(1.0);
    assert_eq!((machine.services, machine.service_cpus), (2, 2.0));
    (0..2).for_each(|_| machine.remove_service(1.0));
    assert_eq!((machine.services, machine.service_cpus), (0, 0.0));
}
