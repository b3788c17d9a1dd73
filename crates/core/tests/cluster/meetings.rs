//! Troubles that meet, beyond those in `main.rs`. Each test says how often its troubles
//! must have met, so that it can't pass because they missed each other.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Trouble, World};

/// Plays a meeting with other luck each time, at the same times and some seconds later,
/// with jobs whose tasks end far apart. `set` prepares each world; `met` counts, after
/// the day, how often its troubles met, which in all must be `least` or more.
fn meet(
    troubles: &[(u32, Trouble)],
    set: impl Fn(&mut World),
    met: impl Fn(&World) -> usize,
    least: usize,
) {
    let mut times = 0;
    for seed in 0..12u64 {
        let shift = (seed % 4) as u32 * 17;
        let moved = troubles.iter().map(|(at, t)| (at + shift, t.clone())).collect();
        let mut world = World::new(seed, moved);
        (world.gaps, world.width, world.pace, world.odd) = (true, 3, (16, 500), true);
        set(&mut world);
        world.run(1_900);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} {troubles:?}");
        assert!(world.starts > 40, "seed {seed}: only {} starts", world.starts);
        assert!(world.met.odd > 10, "seed {seed}: {} odd requests", world.met.odd);
        times += met(&world);
    }
    assert!(times >= least, "the troubles met {times} times");
}

fn as_it_is(_: &mut World) {}

fn within(world: &World, from: u32, to: u32) -> usize {
    let shifted = world.met.cancelled.iter().filter(|(at, _)| (from..to + 51).contains(at));
    shifted.count()
}

/// A zone's machines and a controller are cut off together, for longer than a lease;
/// jobs that run there are called off through the others.
#[test]
fn a_zone_is_apart_with_its_controller() {
    meet(
        &[
            (200, at_leader(Trouble::ZoneApart("a", 0, 160))),
            (204, Trouble::CancelNow(4)),
            (240, Trouble::CancelNow(3)),
            (420, Trouble::ZoneApart("b", 1, 160)),
            (430, Trouble::CancelNow(3)),
        ],
        as_it_is,
        |w| w.met.cancelled_apart as usize,
        12,
    );
}

/// A leader keeps its workers and users, and loses store and peers; jobs are called off
/// through the new one.
#[test]
fn called_off_through_the_next_while_the_last_serves_on() {
    meet(
        &[
            (200, at_leader(Trouble::Isolated(0, 250))),
            (215, Trouble::CancelNow(4)),
            (245, Trouble::CancelNow(4)),
            (300, Trouble::CloseLooks(60)),
        ],
        as_it_is,
        |w| within(w, 200, 300),
        24,
    );
}

/// Jobs are called off in the very seconds in which their leader's work changes hands.
#[test]
fn called_off_while_work_changes_hands() {
    meet(
        &[
            (199, Trouble::CancelNow(2)),
            (200, at_leader(Trouble::Crash(0, 60))),
            (201, Trouble::CancelNow(2)),
            (225, Trouble::CancelNow(2)),
            (236, Trouble::CancelNow(2)),
            (400, at_leader(Trouble::Freeze(0, 60))),
            (401, Trouble::CancelNow(2)),
            (430, Trouble::CancelNow(2)),
        ],
        as_it_is,
        |w| within(w, 199, 250).min(w.met.changes_of_leader.len() * 10),
        24,
    );
}

/// More work than room, while the store is slow, machines come up late and the leader
/// ends.
#[test]
fn more_work_than_room_over_slow_links() {
    meet(
        &[
            (120, Trouble::StoreSlow(250)),
            (130, Trouble::Boots(30, 200)),
            (260, at_leader(Trouble::Crash(0, 40))),
            (270, Trouble::CancelNow(6)),
            (280, Trouble::PollStorm(40)),
        ],
        |w| (w.pace, w.gap_s) = ((8, 360), 4.0),
        |w| w.met.changes_of_leader.len(),
        12,
    );
}

/// The store is slow, refuses the leader alone, then everybody for longer than a
/// cancellation may take, while users call off, ask everywhere and repeat themselves.
#[test]
fn a_slow_store_then_the_gap_while_users_look_closely() {
    meet(
        &[
            (150, Trouble::StoreSlow(60)),
            (200, at_leader(Trouble::StoreRefuses(0, 140))),
            (200, Trouble::CloseLooks(400)),
            (201, Trouble::CancelNow(4)),
            (219, Trouble::StoreDown(260)),
            (530, Trouble::CancelNow(2)),
        ],
        as_it_is,
        |w| within(w, 200, 220).min(w.met.looks as usize),
        6,
    );
}

/// The team is at its limit as the leader changes, with machines that can't be asked,
/// cut off and hung, whose jobs are called off.
#[test]
fn at_the_limit_with_machines_apart_as_the_leader_changes() {
    let apart = |at, m, s| [(at, Trouble::MachineCut(m, s)), (at, Trouble::MachineHangs(m + 1, s))];
    let mut troubles = vec![
        (204, Trouble::CancelNow(6)),
        (206, at_leader(Trouble::Crash(0, 30))),
        (236, Trouble::CancelNow(3)),
        (425, Trouble::CancelNow(4)),
        (430, at_leader(Trouble::Freeze(0, 50))),
    ];
    for (at, s) in [(200, 50), (420, 130)] {
        troubles.extend([0, 2].into_iter().flat_map(|m| apart(at, m, s)));
    }
    meet(
        &troubles,
        |w| (w.pace, w.gap_s) = ((10, 420), 4.0),
        |w| (w.met.cancelled_apart.min(4) + w.met.changes_at_limit) as usize,
        24,
    );
}

/// Users ask all controllers within a step and repeat what they asked, right after a
/// job was accepted, ended or called off, with no other trouble; half of the jobs are
/// called off as their last task ends.
#[test]
fn close_looks_at_ends_without_other_trouble() {
    meet(
        &[(1, Trouble::CloseLooks(900)), (1, Trouble::CancelAtEnd(900))],
        as_it_is,
        |w| w.met.cancelled_at_end as usize * usize::from(w.met.looks > 40),
        80,
    );
}

/// The same while transactions are carried out and only their answers are lost, and
/// the leader changes.
#[test]
fn answers_lost_while_others_read_what_was_written() {
    meet(
        &[
            (100, Trouble::AnswersLost(400)),
            (100, Trouble::CloseLooks(400)),
            (150, Trouble::CancelAtEnd(300)),
            (220, Trouble::CancelNow(5)),
            (230, at_leader(Trouble::Crash(0, 10))),
            (330, at_leader(Trouble::StoreRefuses(0, 60))),
        ],
        as_it_is,
        |w| w.met.answers_lost.min(w.met.looks) as usize,
        400,
    );
}

/// All controllers are away for longer than a lease.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    meet(
        &[
            (198, Trouble::CancelNow(3)),
            (200, Trouble::CrashAll(130)),
            (420, Trouble::KeptHeartbeats(30)),
            (440, Trouble::CrashAll(100)),
        ],
        as_it_is,
        |w| w.lapses as usize,
        24,
    );
}

/// Workers reach no controller, while direct orders reach them; jobs are called off and
/// the leader changes.
#[test]
fn workers_reach_nobody_while_orders_reach_them() {
    meet(
        &[
            (200, Trouble::AllMute(60)),
            (205, Trouble::CancelNow(4)),
            (215, at_leader(Trouble::Crash(0, 10))),
            (400, Trouble::AllMute(150)),
            (410, Trouble::CancelNow(4)),
        ],
        as_it_is,
        |w| w.met.mute_orders as usize,
        40,
    );
}

/// Jobs bound to a zone lose their machines, and the zone is cut off, as the leader
/// changes.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    let dies = |m| (210, Trouble::MachineDies(m));
    meet(
        &[
            dies(0),
            dies(1),
            dies(2),
            (212, at_leader(Trouble::Crash(0, 20))),
            (300, Trouble::ZoneCut("b", 120)),
            (310, Trouble::CancelNow(4)),
            (350, Trouble::MachineReborn(1)),
        ],
        |w| w.zoned = true,
        |w| w.met.zoned_starts as usize,
        60,
    );
}

/// Leaders change ten times in two minutes, also inside an outage, while jobs are
/// called off.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    let mut troubles: Vec<(u32, Trouble)> = (0..10)
        .map(|n| (150 + n * 110, at_leader(Trouble::Crash(0, if n % 3 == 0 { 3 } else { 45 }))))
        .collect();
    troubles.extend((0..10).map(|n| (155 + n * 110, Trouble::CancelNow(1))));
    troubles.push((470, Trouble::StoreDown(120)));
    troubles.push((900, Trouble::StoreDown(90)));
    meet(&troubles, |w| (w.pace, w.width) = ((16, 500), 2), |w| w.met.changes_of_leader.len(), 80);
}

/// Reports are kept until another leads, and then reach every controller.
#[test]
fn old_reports_reach_every_controller_as_another_begins() {
    meet(
        &[
            (150, Trouble::KeptHeartbeats(400)),
            (200, at_leader(Trouble::Crash(0, 30))),
            (215, Trouble::CancelNow(3)),
            (300, Trouble::MachineCut(0, 120)),
            (310, at_leader(Trouble::StoreRefuses(0, 80))),
            (430, Trouble::CrashAll(20)),
            (500, at_leader(Trouble::Crash(0, 4))),
        ],
        as_it_is,
        |w| w.met.kept as usize,
        120,
    );
}

/// Jobs of one task come four a second for minutes, a quarter of them called off.
#[test]
fn one_task_jobs_four_a_second_a_quarter_called_off() {
    meet(
        &[
            (300, at_leader(Trouble::Crash(0, 20))),
            (400, Trouble::CloseLooks(100)),
            (600, Trouble::AnswersLost(100)),
        ],
        |w| {
            (w.pace, w.width, w.gaps, w.quarter) = ((3, 1_200), 1, false, true);
            (w.size, w.no_services) = ((30, 100.0), true);
        },
        |w| w.met.cancelled.len(),
        200,
    );
}

/// New machines are up within two seconds and get work at once, while writes lag and
/// take effect late, and the leader ends.
#[test]
fn machines_up_at_once_while_writes_lag_and_the_leader_ends() {
    meet(
        &[
            (30, Trouble::Boots(5, 500)),
            (60, Trouble::StoreSlow(200)),
            (80, Trouble::LateWrites(200)),
            (110, at_leader(Trouble::Crash(0, 20))),
            (180, at_leader(Trouble::Crash(0, 3))),
            (250, Trouble::CancelNow(4)),
        ],
        |w| (w.pace, w.size) = ((10, 400), (24, 40.0)),
        |w| w.met.changes_of_leader.len(),
        20,
    );
}

/// A job bound to a zone that has no machine, while one of another zone idles: it once
/// was laid onto that one's CPUs, in thought, and waited for ever.
#[test]
fn an_idle_machine_elsewhere_holds_up_no_job_bound_to_a_zone() {
    let troubles = vec![
        (60, Trouble::CancelNow(2)),
        (72, Trouble::Crash(1, 2)),
        (319, Trouble::MachineDies(1)),
        (417, Trouble::CancelNow(2)),
    ];
    let mut world = World::new(8_195_287_890_673_818_304, troubles);
    (world.gaps, world.zoned, world.odd, world.width) = (true, true, true, 3);
    world.run(1_700);
    assert_eq!(world.broken, Vec::<String>::new());
}
