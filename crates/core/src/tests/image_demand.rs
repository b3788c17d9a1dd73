//! Whether an array task fetches its image on one more machine.
//!
//! Guards against an array task that waits for machines full of services. In the cluster sweep
//! `quarter_lost` (seeds 30 and 37), a quarter of 2,100 machines died in a takeover, and one array
//! task was still waiting 24 s after recovery, until the end of the run, while 13 to 57 machines
//! were idle. The idle machines didn't have its image, and a fetch counted as not worthwhile
//! because the 25 to 46 machines that had the image were expected to become free sooner. These were
//! full of services, which never end.
//!
//! Symptoms: the log line `event=fleet ... ordinary_idle=13 ... waiting=1`, and an image demand of
//! `waiting: 1.0, holders: 184.0` in every pass of that time.

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

/// A machine that has the image and runs this many services of one CPU each.
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
    (machine.last_heard_at, machine.last_reached_at, machine.last_heartbeat) =
        (Some(NOW), Some(NOW), Some(NOW));
    machine.confirmed = true;
    machine.size = [CPUS, 0.0, 16.0];
    (0..services).for_each(|_| machine.add_service(1.0));
    assert!(machine.usable(NOW, HEARTBEAT_INTERVAL_S));
    machine
}

/// Whether the array task fetches its image after waiting, given `holders` machines that have it,
/// each running `services` services.
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
    assert!(fetches(46, CPUS as u32), "no holder ever becomes free");
    assert!(!fetches(46, 0), "machines running arrays become free before a fetch ends");
    assert!(!fetches(46, 2), "so does the half of each machine that services don't use");
}

#[test]
fn service_count_and_cpus_return_to_zero() {
    let mut machine = holder(3);
    assert_eq!((machine.services, machine.service_cpus), (3, 3.0));
    machine.remove_service(1.0);
    assert_eq!((machine.services, machine.service_cpus), (2, 2.0));
    (0..2).for_each(|_| machine.remove_service(1.0));
    assert_eq!((machine.services, machine.service_cpus), (0, 0.0));
}
