//! Sweeps of known failures over seeds, see [`marblebarrow_rehearsal::sweep`].

use crate::{at_leader, large_fleet};
use marblebarrow_rehearsal::sweep::sweep;
use marblebarrow_rehearsal::world::{Fault, World};

/// Checks that no rule was violated.
fn no_rule_violated(world: &World) -> Result<(), String> {
    if world.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("rules violated: {:?}", world.violations))
    }
}

fn ensure(holds: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(text()) }
}

/// Changes of leader from the controllers' logs, and every lease that expired.
fn timeline(world: &World) -> String {
    let shown_events = [
        "event=records_",
        "event=leader",
        "event=no_leader",
        "event=won",
        "event=lost",
        "event=transfer",
    ];
    let lines =
        world.info.iter().filter(|line| shown_events.iter().any(|event| line.contains(event)));
    let lines: Vec<&str> = lines.map(String::as_str).collect();
    let expiries: Vec<String> =
        world.observed.lease_expiries.iter().map(ToString::to_string).collect();
    format!("\n  {}\n  {}", lines.join("\n  "), expiries.join("\n  "))
}

/// A fleet of sixty machines in which one controller goes down, and then a fault hits the
/// leader.
struct OneControllerDown {
    /// Heartbeat interval and lease, seconds.
    heartbeat_and_lease_s: (f64, f64),
    /// Fault that hits the leader.
    leader_fault: Fault,
}

impl OneControllerDown {
    /// Runs the scenario of `with_one_down_a_paused_leader_lets_no_lease_expire`.
    fn check(&self, seed: u64) -> Result<(), String> {
        let faults = vec![
            (300, at_leader(Fault::Crash(0, 900))),
            (450, at_leader(self.leader_fault.clone())),
        ];
        let mut world = World::new(seed, faults);
        world.size = (60, 200.0);
        world.heartbeat_and_lease_s = self.heartbeat_and_lease_s;
        world.store_page_keys = 200;
        world.replicas = 60;
        world.submission_interval_and_end = (4, 8);
        check_no_lease_expires(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
    }
}

fn check_no_lease_expires(world: &mut World) -> Result<(), String> {
    world.run(440);
    let serving = world.serving();
    ensure(serving >= 60, || format!("{serving} serve at step 440"))?;
    world.run(700);
    no_rule_violated(world)?;
    ensure(world.expired_leases == 0, || format!("{} leases expired", world.expired_leases))?;
    ensure(world.serving() == serving, || format!("{} of {serving} serve", world.serving()))
}

/// Guards against leases that expire when one controller is down, the leader pauses, and workers
/// don't find the third controller in time. Causes seen, by seed: the controller that workers try
/// after the leader was the one that is down (8: "c2 45.4-49.5 TimedOut; c0 50.5-54.6 TimedOut",
/// lease expired at 55.5); the third controller's election was not complete when they came (30);
/// it refused a heartbeat that its own direct command had overtaken (22); workers were sent back to
/// the unreachable leader (29); the deletion of the leader key by a leadership transfer was lost
/// (4071). 41 of 240 seeds failed. See docs/incidents.
#[test]
fn sweep_one_down_then_the_leader_pauses() {
    let case = OneControllerDown {
        heartbeat_and_lease_s: (2.0, 12.0),
        leader_fault: Fault::Pause(0, 250),
    };
    sweep("one_down_freeze", &[8, 22, 29, 30, 4_071], |seed| case.check(seed));
}

/// Instead of pausing, the leader crashes, is cut off from its workers, or is cut off from the
/// store and the other controllers.
#[test]
fn sweep_one_down_then_the_leader_fails_otherwise() {
    let losses =
        [Fault::Crash(0, 250), Fault::WorkersCut(0, 250), Fault::CutFromStoreAndPeers(0, 250)];
    for leader_fault in losses {
        let case = OneControllerDown {
            heartbeat_and_lease_s: (2.0, 12.0),
            leader_fault: leader_fault.clone(),
        };
        sweep(&format!("one_down {leader_fault:?}"), &[0, 22, 41], |seed| case.check(seed));
    }
}

/// The same with the longer leases of other sites.
#[test]
fn sweep_one_down_with_longer_leases() {
    for heartbeat_and_lease_s in [(4.0, 22.0), (5.0, 26.5), (6.0, 31.0)] {
        for leader_fault in [Fault::Pause(0, 250), Fault::Crash(0, 250)] {
            let case =
                OneControllerDown { heartbeat_and_lease_s, leader_fault: leader_fault.clone() };
            sweep(&format!("one_down {heartbeat_and_lease_s:?} {leader_fault:?}"), &[0], |seed| {
                case.check(seed)
            });
        }
    }
}

/// One controller goes down and comes back repeatedly; the others must not pass the leadership
/// back and forth. A crash of the flapping controller may only cost an election if it leads.
#[test]
fn sweep_a_flapping_controller_rarely_moves_the_leadership() {
    for seconds in [1, 3, 7] {
        sweep(&format!("flapping {seconds} s"), &[0], |seed| flapping(seed, seconds));
    }
}

/// Steps for which the controller flaps: two minutes.
const FLAPPING_STEPS: u32 = 1_200;

fn flapping(seed: u64, seconds: u32) -> Result<(), String> {
    // Down for `seconds`, then up for as long. The loop over all controllers includes the one
    // that leads at the first crash.
    let period = seconds * 20;
    let times = (0..FLAPPING_STEPS / period).map(|n| 300 + n * period);
    for controller in 0..3 {
        let crash = |at| (at, Fault::Crash(controller, seconds * 10));
        let mut world = World::new(seed, times.clone().map(crash).collect());
        (world.size, world.heartbeat_and_lease_s, world.store_page_keys) =
            ((60, 200.0), (2.0, 12.0), 200);
        (world.replicas, world.submission_interval_and_end) = (60, (4, 8));
        world.run(300 + FLAPPING_STEPS + 100);
        no_rule_violated(&world).map_err(|text| format!("{text}{}", timeline(&world)))?;
        let is_transfer =
            |line: &&String| line.contains("event=lost") && line.contains("transferred");
        let transfers = world.info.iter().filter(is_transfer).count();
        let changes = world.observed.changes_of_leader.len();
        let summary = || format!("c{controller}: {changes} changes, {transfers} transfers, ");
        let text =
            || format!("{}{} leases expired{}", summary(), world.expired_leases, timeline(&world));
        // The flapping controller may lose the leadership once for each crash that hits it as the
        // leader; afterwards another controller leads, and there is no transfer.
        ensure(changes <= 3 && transfers <= 1 && world.expired_leases == 0, text)?;
    }
    Ok(())
}

/// Runs the scenario of `a_fleet_that_loses_a_quarter_in_a_takeover_serves_again`. That test also
/// checks for unfinished jobs a second after the loss, as all arrays have ended by then with its
/// seed. With other seeds a single lost command can leave one unfinished, so this check is made
/// only at the end here.
fn quarter_lost(seed: u64) -> Result<(), String> {
    let machine_fails = |m: usize| (400, Fault::MachineFails(m * 4));
    let mut faults: Vec<_> = (0..525).map(machine_fails).collect();
    faults.push((401, Fault::CrashAll(5)));
    let mut world = World::new(seed, faults);
    world.size = (2_100, 9_000.0);
    world.heartbeat_and_lease_s = (5.0, 26.5);
    world.store_page_keys = 200;
    world.replicas = 300;
    world.submission_interval_and_end = (4, 190);
    check_recovery(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
}

fn check_recovery(world: &mut World) -> Result<(), String> {
    world.advance_to(395);
    no_rule_violated(world)?;
    let (up, replicas) = (world.machines_up(), world.serving());
    ensure(up > 1_500, || format!("{up} machines at step 395"))?;
    if replicas != 24 * 300 {
        return Err(format!(
            "{replicas} of 7200 serve at step 395, {}",
            recovery_time(world, 24 * 300)
        ));
    }
    world.advance_to(410);
    ensure(world.serving() < replicas - 1_000, || format!("{} serve at 410", world.serving()))?;
    world.run(800);
    let serving = world.serving();
    if serving != replicas {
        return Err(format!(
            "{serving} of {replicas} serve at step 800, {}",
            recovery_time(world, replicas)
        ));
    }
    no_rule_violated(world)?;
    ensure(world.max_direct_commands <= 40, || {
        format!("{} direct commands at once", world.max_direct_commands)
    })?;
    ensure(world.max_changes_per_second <= 2 * 60, || {
        format!("{} changes in a second", world.max_changes_per_second)
    })
}

/// Continues a run in which replicas are missing, and reports when all of them serve.
fn recovery_time(world: &mut World, replicas: usize) -> String {
    for _ in 0..80 {
        world.advance_to(world.step() + 5);
        if world.serving() == replicas {
            return format!("all serve at step {}", world.step());
        }
    }
    format!("{} serve at step {}", world.serving(), world.step())
}

/// Guards against replicas or arrays that still wait 39 s after a quarter of the fleet failed
/// during a takeover. Causes seen: all work waited for one answer that didn't come (seed 33:
/// records_uncertain at 60.7, known at 64.1, and so on; each rent took 4.2 s), and an array waited
/// for machines full of services (seed 30: "ordinary_idle=13 ... waiting=1"). 6 of 48 seeds
/// failed. See docs/incidents.
#[test]
fn sweep_quarter_lost_of_two_thousand() {
    sweep("quarter_lost", &[30, 33], quarter_lost);
}

/// The same with 4,200 machines: the scenario of
/// `four_thousand_machines_lose_a_quarter_in_a_takeover` without its bounds on bytes and changes.
#[test]
fn sweep_quarter_lost_of_four_thousand() {
    sweep("quarter_lost_of_4200", &[23], |seed| {
        let mut world = large_fleet::fleet(seed);
        check_large_fleet_recovery(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
    });
}

fn check_large_fleet_recovery(world: &mut World) -> Result<(), String> {
    let loss_at = large_fleet::LOSS_AT;
    let all = 24 * large_fleet::REPLICAS as usize;
    // A replica that is moved to drain a machine is unavailable for tenths of a second (seed 23:
    // moved at 63.5 s, five steps before the loss). So all must serve at some step within one
    // second.
    let mut max_serving = 0;
    for step in loss_at - 15..=loss_at - 5 {
        world.advance_to(step);
        max_serving = max_serving.max(world.serving());
    }
    no_rule_violated(world)?;
    ensure(max_serving == all, || format!("{max_serving} of {all} serve before the loss"))?;
    world.advance_to(loss_at + 10);
    ensure(world.serving() < all - 2_500, || format!("{} serve after the loss", world.serving()))?;
    world.run(loss_at + 600);
    let serving = world.serving();
    if serving != all {
        return Err(format!("{serving} of {all} serve 60 s later, {}", recovery_time(world, all)));
    }
    no_rule_violated(world)
}
