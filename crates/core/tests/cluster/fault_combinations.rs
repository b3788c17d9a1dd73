//! Combinations of faults. Each test states how often its faults must have coincided, so that it
//! can't pass because they missed each other.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, World};

/// Runs a combination of faults for 12 seeds, at the given times or some seconds later, with
/// jobs whose tasks end far apart. `configure` prepares each world; `occurrences` counts after
/// each run how often the faults coincided, which must be at least `min_total` in all runs
/// together.
fn run_and_count(
    faults: &[(u32, Fault)],
    configure: impl Fn(&mut World),
    occurrences: impl Fn(&World) -> usize,
    min_total: usize,
) {
    let mut total = 0;
    for seed in 0..12u64 {
        let shift = (seed % 4) as u32 * 17;
        let shifted_faults = faults.iter().map(|(at, t)| (at + shift, t.clone())).collect();
        let mut world = World::new(seed, shifted_faults);
        (
            world.staggered_tasks,
            world.max_tasks,
            world.submission_interval_and_end,
            world.submit_unrunnable_jobs,
        ) = (true, 3, (16, 500), true);
        configure(&mut world);
        world.run(1_900);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} {faults:?}");
        assert!(world.starts > 40, "seed {seed}: only {} starts", world.starts);
        assert!(
            world.observed.unrunnable_refused > 10,
            "seed {seed}: {} unrunnable jobs refused",
            world.observed.unrunnable_refused
        );
        total += occurrences(&world);
    }
    assert!(total >= min_total, "the faults coincided only {total} times");
}

fn no_setup(_: &mut World) {}

fn cancelled_between(world: &World, from: u32, to: u32) -> usize {
    let cancelled = world.observed.cancelled.iter().filter(|(at, _)| (from..to + 51).contains(at));
    cancelled.count()
}

/// A zone's machines and one controller are partitioned from the rest for longer than a lease;
/// jobs that run there are cancelled through the other controllers.
#[test]
fn a_zone_is_partitioned_with_its_controller() {
    run_and_count(
        &[
            (200, at_leader(Fault::ZonePartitionedWithController("a", 0, 160))),
            (204, Fault::CancelNow(4)),
            (240, Fault::CancelNow(3)),
            (420, Fault::ZonePartitionedWithController("b", 1, 160)),
            (430, Fault::CancelNow(3)),
        ],
        no_setup,
        |w| w.observed.cancelled_unreachable as usize,
        12,
    );
}

/// A leader still reaches its workers and users but neither the store nor its peers; jobs are
/// cancelled through the new leader.
#[test]
fn jobs_cancelled_through_the_new_leader_while_the_old_still_serves() {
    run_and_count(
        &[
            (200, at_leader(Fault::CutFromStoreAndPeers(0, 250))),
            (215, Fault::CancelNow(4)),
            (245, Fault::CancelNow(4)),
            (300, Fault::ClosePolling(60)),
        ],
        no_setup,
        |w| cancelled_between(w, 200, 300),
        24,
    );
}

/// Jobs are cancelled within the seconds in which a new leader takes over.
#[test]
fn jobs_cancelled_during_a_change_of_leader() {
    run_and_count(
        &[
            (199, Fault::CancelNow(2)),
            (200, at_leader(Fault::Crash(0, 60))),
            (201, Fault::CancelNow(2)),
            (225, Fault::CancelNow(2)),
            (236, Fault::CancelNow(2)),
            (400, at_leader(Fault::Pause(0, 60))),
            (401, Fault::CancelNow(2)),
            (430, Fault::CancelNow(2)),
        ],
        no_setup,
        |w| cancelled_between(w, 199, 250).min(w.observed.changes_of_leader.len() * 10),
        24,
    );
}

/// More work than the machines can run, while the store is slow, machines boot late and the
/// leader crashes.
#[test]
fn more_work_than_capacity_with_a_slow_store() {
    run_and_count(
        &[
            (120, Fault::StoreSlow(250)),
            (130, Fault::BootTimes(30, 200)),
            (260, at_leader(Fault::Crash(0, 40))),
            (270, Fault::CancelNow(6)),
            (280, Fault::PollStorm(40)),
        ],
        |w| (w.submission_interval_and_end, w.stagger_s) = ((8, 360), 4.0),
        |w| w.observed.changes_of_leader.len(),
        12,
    );
}

/// The store is slow, refuses only the leader, and then is down for longer than a cancellation
/// may take, while users cancel jobs, ask every controller and repeat their requests.
#[test]
fn a_slow_store_then_an_outage_under_close_polling() {
    run_and_count(
        &[
            (150, Fault::StoreSlow(60)),
            (200, at_leader(Fault::StoreRefuses(0, 140))),
            (200, Fault::ClosePolling(400)),
            (201, Fault::CancelNow(4)),
            (219, Fault::StoreDown(260)),
            (530, Fault::CancelNow(2)),
        ],
        no_setup,
        |w| cancelled_between(w, 200, 220).min(w.observed.close_polls as usize),
        6,
    );
}

/// The team is at its limit as the leader changes, and jobs are cancelled whose machines are
/// partitioned or hung.
#[test]
fn at_the_team_limit_with_unreachable_machines_as_the_leader_changes() {
    let unreachable =
        |at, m, s| [(at, Fault::MachinePartitioned(m, s)), (at, Fault::MachineHangs(m + 1, s))];
    let mut faults = vec![
        (204, Fault::CancelNow(6)),
        (206, at_leader(Fault::Crash(0, 30))),
        (236, Fault::CancelNow(3)),
        (425, Fault::CancelNow(4)),
        (430, at_leader(Fault::Pause(0, 50))),
    ];
    for (at, s) in [(200, 50), (420, 130)] {
        faults.extend([0, 2].into_iter().flat_map(|m| unreachable(at, m, s)));
    }
    run_and_count(
        &faults,
        |w| (w.submission_interval_and_end, w.stagger_s) = ((10, 420), 4.0),
        |w| (w.observed.cancelled_unreachable.min(4) + w.observed.changes_at_limit) as usize,
        24,
    );
}

/// Users ask all controllers within a step and repeat their requests, right after a job was
/// accepted, ended or cancelled, without other faults; half of the jobs are cancelled as their
/// last task ends.
#[test]
fn close_polling_around_job_ends_without_other_faults() {
    run_and_count(
        &[(1, Fault::ClosePolling(900)), (1, Fault::CancelAtEnd(900))],
        no_setup,
        |w| w.observed.cancelled_at_end as usize * usize::from(w.observed.close_polls > 40),
        80,
    );
}

/// Close polling while transactions are executed and only their answers are lost, and the leader
/// changes.
#[test]
fn answers_lost_while_others_read_what_was_written() {
    run_and_count(
        &[
            (100, Fault::AnswersLost(400)),
            (100, Fault::ClosePolling(400)),
            (150, Fault::CancelAtEnd(300)),
            (220, Fault::CancelNow(5)),
            (230, at_leader(Fault::Crash(0, 10))),
            (330, at_leader(Fault::StoreRefuses(0, 60))),
        ],
        no_setup,
        |w| w.observed.answers_lost.min(w.observed.close_polls) as usize,
        400,
    );
}

/// All controllers are down for longer than a lease, so that leases expire.
#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    run_and_count(
        &[
            (198, Fault::CancelNow(3)),
            (200, Fault::CrashAll(130)),
            (420, Fault::HeldHeartbeats(30)),
            (440, Fault::CrashAll(100)),
        ],
        no_setup,
        |w| w.expired_leases as usize,
        24,
    );
}

/// Workers reach no controller, while direct commands reach them; jobs are cancelled and the
/// leader changes.
#[test]
fn workers_reach_no_controller_while_commands_reach_them() {
    run_and_count(
        &[
            (200, Fault::NoMachineReachesController(60)),
            (205, Fault::CancelNow(4)),
            (215, at_leader(Fault::Crash(0, 10))),
            (400, Fault::NoMachineReachesController(150)),
            (410, Fault::CancelNow(4)),
        ],
        no_setup,
        |w| w.observed.one_way_commands as usize,
        40,
    );
}

/// Jobs bound to a zone lose their machines as the leader changes, and a zone is partitioned.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    let machine_fails = |m| (210, Fault::MachineFails(m));
    run_and_count(
        &[
            machine_fails(0),
            machine_fails(1),
            machine_fails(2),
            (212, at_leader(Fault::Crash(0, 20))),
            (300, Fault::ZonePartitioned("b", 120)),
            (310, Fault::CancelNow(4)),
            (350, Fault::AgentRestarts(1)),
        ],
        |w| w.zone_bound_jobs = true,
        |w| w.observed.zoned_starts as usize,
        60,
    );
}

/// Leaders change ten times in two minutes, also during an outage of the store, while jobs are
/// cancelled.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    let mut faults: Vec<(u32, Fault)> = (0..10)
        .map(|n| (150 + n * 110, at_leader(Fault::Crash(0, if n % 3 == 0 { 3 } else { 45 }))))
        .collect();
    faults.extend((0..10).map(|n| (155 + n * 110, Fault::CancelNow(1))));
    faults.push((470, Fault::StoreDown(120)));
    faults.push((900, Fault::StoreDown(90)));
    run_and_count(
        &faults,
        |w| (w.submission_interval_and_end, w.max_tasks) = ((16, 500), 2),
        |w| w.observed.changes_of_leader.len(),
        80,
    );
}

/// Heartbeats are held until another controller leads, and then reach every controller.
#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    run_and_count(
        &[
            (150, Fault::HeldHeartbeats(400)),
            (200, at_leader(Fault::Crash(0, 30))),
            (215, Fault::CancelNow(3)),
            (300, Fault::MachinePartitioned(0, 120)),
            (310, at_leader(Fault::StoreRefuses(0, 80))),
            (430, Fault::CrashAll(20)),
            (500, at_leader(Fault::Crash(0, 4))),
        ],
        no_setup,
        |w| w.observed.held_heartbeats as usize,
        120,
    );
}

/// Jobs of one task are submitted at a rate of about four a second for minutes, and a quarter of
/// them is cancelled.
#[test]
fn one_task_jobs_four_a_second_a_quarter_cancelled() {
    run_and_count(
        &[
            (300, at_leader(Fault::Crash(0, 20))),
            (400, Fault::ClosePolling(100)),
            (600, Fault::AnswersLost(100)),
        ],
        |w| {
            (
                w.submission_interval_and_end,
                w.max_tasks,
                w.staggered_tasks,
                w.cancel_every_fourth,
            ) = ((3, 1_200), 1, false, true);
            (w.size, w.no_services) = ((30, 100.0), true);
        },
        |w| w.observed.cancelled.len(),
        200,
    );
}

/// New machines boot within two seconds and get work at once, while writes are slow or take
/// effect late, and the leader crashes.
#[test]
fn machines_boot_at_once_while_writes_lag_and_the_leader_crashes() {
    run_and_count(
        &[
            (30, Fault::BootTimes(5, 500)),
            (60, Fault::StoreSlow(200)),
            (80, Fault::LateWrites(200)),
            (110, at_leader(Fault::Crash(0, 20))),
            (180, at_leader(Fault::Crash(0, 3))),
            (250, Fault::CancelNow(4)),
        ],
        |w| (w.submission_interval_and_end, w.size) = ((10, 400), (24, 40.0)),
        |w| w.observed.changes_of_leader.len(),
        20,
    );
}

/// A job is bound to a zone that has no machine, while a machine of another zone is idle. The
/// planner used to count the idle machine's CPUs as available to the job, which then waited
/// forever.
#[test]
fn an_idle_machine_in_another_zone_delays_no_zone_bound_job() {
    let faults = vec![
        (60, Fault::CancelNow(2)),
        (72, Fault::Crash(1, 2)),
        (319, Fault::MachineFails(1)),
        (417, Fault::CancelNow(2)),
    ];
    let mut world = World::new(8_195_287_890_673_818_304, faults);
    (world.staggered_tasks, world.zone_bound_jobs, world.submit_unrunnable_jobs, world.max_tasks) =
        (true, true, true, 3);
    world.run(1_700);
    assert_eq!(world.violations, Vec::<String>::new());
}
