use super::bin_packing::{AllowedZones, Location};
use super::*;
use proptest::prelude::*;

use crate::facts::{Facts, Tuning};
use crate::jobs::{Live, Phase};
use crate::place::ImageDemand;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, NodeId, Term};
use marblebarrow_proto::job::Priority;
use marblebarrow_proto::records::SpecRecord;
use marblebarrow_proto::wire::MachineType;
use rand::SeedableRng as _;
use std::sync::Arc;

const RUN_S: f64 = 40.0;

/// A leader with `busy` one-CPU tasks, which end one after the other within one run time, and
/// `waiting` tasks, which are due after three run times.
fn leader(busy: u32, waiting: u32, adopted: bool) -> Leader {
    let facts = Facts {
        node: NodeId::new("c0"),
        others: Vec::new(),
        teams: Vec::new(),
        deadline_objectives: Vec::new(),
        completion_objectives: Vec::new(),
        start_objectives: Vec::new(),
        heartbeat_interval_s: 6.0,
        lease_s: 31.0,
        cancel_s: 56.0,
        core_share: 1.0,
        log: true,
        store_rps: 300.0,
        store_write_rps: 90.0,
        store_txn_ops: 24,
        store_value_bytes: 16 * 1024,
        cloud_rps: 7.0,
        list_lag_s: 8.0,
        max_direct_commands: 200,
        max_held_heartbeats: 200,
        tuning: Tuning::default(),
        cells: None,
    };
    let mut leader = Leader::new(Arc::new(facts), Term(1), 1, 0.0, &mut ActionSink::default());
    leader.cloud_requests.types = vec![MachineType {
        name: "k".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 25.0,
        zones: vec!["a".into()],
    }];
    for (name, tasks, runs) in [("req-000001", busy, true), ("req-000002", waiting, false)] {
        let spec = JobSpec {
            id: JobId::new(name),
            class: "a".into(),
            team: "t".into(),
            kind: Kind::Array,
            priority: Priority::Normal,
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 2.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: RUN_S,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: Some(3.0 * RUN_S),
            dependencies: Vec::new(),
        };
        let record = Arc::new(SpecRecord::submitted(spec, 0));
        let mut rng = rand::rngs::StdRng::seed_from_u64(1);
        let mut job = Job::new(record, 1, 0.0, &Tuning::default(), &mut rng);
        for n in (0..tasks).filter(|_| runs) {
            let began = if adopted { 0.0 } else { -RUN_S * f64::from(n) / f64::from(tasks) };
            let live = Live {
                machine: MachineId::new("m"),
                attempt: Attempt(1),
                phase: Phase::Running,
                placed_at: began,
                ran_from: Some(began),
                stop_grace_s: None,
                start_sent_at: None,
                adopted,
            };
            job.place(n, live, 1);
        }
        leader.jobs.insert(JobId::new(name), job);
    }
    leader
}

fn late(leader: &Leader) -> u32 {
    leader.late_tasks(0.0, &[], |_| true).shortages.iter().map(|shortage| shortage.tasks).sum()
}

/// With 9,000 tasks waiting for as many busy CPUs, the projection includes the tasks that would
/// start later than a boot takes, even though the first 4,000 start sooner.
#[test]
fn projection_covers_the_whole_backlog_of_a_large_fleet() {
    assert!(late(&leader(9_000, 9_000, false)) > 1_000);
    assert_eq!(late(&leader(9_000, 3_000, false)), 0);
}

/// A new leader must not assume that the tasks it finds running have just begun.
#[test]
fn takeover_does_not_inflate_the_backlog() {
    assert_eq!(late(&leader(2_000, 500, true)), 0);
}

/// Machines are rented for a persistent backlog, even though none of its tasks would start sooner
/// on a machine rented now; for a transient backlog none are.
#[test]
fn persistent_backlog_gets_machines() {
    for (sustained, wanted) in [(true, true), (false, false)] {
        let mut leader = leader(0, 2_000, false);
        let mut plan = RentPlan::default();
        for step in 0..60 {
            let cpus = if sustained || step % 10 > 0 { 2_000.0 } else { 0.0 };
            leader.plan_for_backlog(f64::from(step) * FLEET_EVERY_S, cpus, 250, &mut plan);
        }
        assert_eq!(!plan.machines.is_empty(), wanted, "{plan:?}");
    }
}

/// One more machine fetches an image only if the machines that have it won't become free before the
/// fetch would end.
#[test]
fn image_is_fetched_only_if_its_holders_stay_busy() {
    let mut leader = leader(0, 10, false);
    let id = JobId::new("req-000002");
    for (waiting, holders, worth) in [(10.0, 0.0, true), (10.0, 16.0, true), (10.0, 800.0, false)] {
        leader
            .image_demand
            .insert("i".into(), ImageDemand { waiting, holders, ..ImageDemand::default() });
        assert_eq!(leader.worth_fetch(&id), worth, "{waiting} {holders}");
    }
}

proptest! {
    /// Packing many tasks at once uses the same capacity as packing them one by one.
    #[test]
    fn packing_many_tasks_matches_packing_one_by_one(
        machines in proptest::collection::vec((1u32..9, any::<bool>(), 0usize..2), 0..30),
        cpus in 1u32..4,
        spot in any::<bool>(),
        tasks in 0u32..60,
    ) {
        let mut machines: Vec<Capacity> = machines
            .into_iter()
            .map(|(free, spot, machine_type)| Capacity {
                available_at: 0.0,
                free: [f64::from(free), 0.0, 8.0],
                location: Location { machine_type, zone: 0, spot },
            })
            .collect();
        let needs = TaskNeeds {
            amounts: [f64::from(cpus), 0.0, 1.0],
            spot,
            types: vec![AllowedZones::All, AllowedZones::None],
        };
        let mut one_by_one = machines.clone();
        let placed = (0..tasks).take_while(|_| needs.pack_one(&mut one_by_one)).count() as u32;
        prop_assert_eq!(needs.pack(&mut machines, tasks), tasks - placed);
        let mut left: Vec<u32> = machines.iter().map(|m| m.free[0] as u32).collect();
        let mut wanted: Vec<u32> = one_by_one.iter().map(|m| m.free[0] as u32).collect();
        left.sort_unstable();
        wanted.sort_unstable();
        prop_assert_eq!(left, wanted);
    }
}
