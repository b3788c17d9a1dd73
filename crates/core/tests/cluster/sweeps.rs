//! Sweeps of the known failures over seeds, see [`marblebarrow_rehearsal::sweep`].

use crate::{at_leader, large_fleet};
use marblebarrow_rehearsal::sweep::sweep;
use marblebarrow_rehearsal::world::{Trouble, World};

/// The rules held.
fn unbroken(world: &World) -> Result<(), String> {
    if world.broken.is_empty() { Ok(()) } else { Err(format!("broken {:?}", world.broken)) }
}

fn ensure(holds: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(text()) }
}

/// Who led when, from the controllers' own logs, and every lease that ran out.
fn timeline(world: &World) -> String {
    let told = [
        "event=records_",
        "event=leader",
        "event=no_leader",
        "event=won",
        "event=lost",
        "event=transfer",
    ];
    let lines = world.info.iter().filter(|line| told.iter().any(|event| line.contains(event)));
    let lines: Vec<&str> = lines.map(String::as_str).collect();
    let lapses: Vec<String> = world.met.lease_lapses.iter().map(ToString::to_string).collect();
    format!("\n  {}\n  {}", lines.join("\n  "), lapses.join("\n  "))
}

/// A fleet of sixty machines in which one controller goes down, and then something happens
/// to the leader.
struct OneDown {
    /// Heartbeat interval and lease, seconds.
    beat: (f64, f64),
    /// What happens to the leader.
    then: Trouble,
}

impl OneDown {
    /// As `with_one_down_a_leader_that_stands_still_costs_no_lease` plays it.
    fn check(&self, seed: u64) -> Result<(), String> {
        let troubles =
            vec![(300, at_leader(Trouble::Crash(0, 900))), (450, at_leader(self.then.clone()))];
        let mut world = World::new(seed, troubles);
        world.size = (60, 200.0);
        world.beat = self.beat;
        world.page = 200;
        world.replicas = 60;
        world.pace = (4, 8);
        keeps_leases(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
    }
}

fn keeps_leases(world: &mut World) -> Result<(), String> {
    world.run(440);
    let serving = world.serving();
    ensure(serving >= 60, || format!("{serving} serve at 440"))?;
    world.run(700);
    unbroken(world)?;
    ensure(world.lapses == 0, || format!("{} leases end", world.lapses))?;
    ensure(world.serving() == serving, || format!("{} of {serving} serve", world.serving()))
}

/// What happened: one controller is down, the leader stands still, and workers outlive their
/// leases before they find the third. Why: the leader's next in turn was the one that is down
/// (seed 8: "c2 45.4-49.5 TimedOut; c0 50.5-54.6 TimedOut", lease over at 55.5); the third's
/// election was not over when they came (30); it refused a heartbeat that its own direct command
/// had overtaken (22); they were sent back to the dead leader (29); a transfer's removal of the key
/// was lost (4071). 41 of 240 seeds failed. See docs/incidents.
#[test]
fn sweep_one_down_then_the_leader_stands_still() {
    let case = OneDown { beat: (2.0, 12.0), then: Trouble::Freeze(0, 250) };
    sweep("one_down_freeze", &[8, 22, 29, 30, 4_071], |seed| case.check(seed));
}

/// The leader crashes, is cut from its workers, or from the store and the others, instead of
/// standing still.
#[test]
fn sweep_one_down_then_the_leader_is_lost_otherwise() {
    let losses = [Trouble::Crash(0, 250), Trouble::WorkersCut(0, 250), Trouble::Isolated(0, 250)];
    for then in losses {
        let case = OneDown { beat: (2.0, 12.0), then: then.clone() };
        sweep(&format!("one_down {then:?}"), &[0, 22, 41], |seed| case.check(seed));
    }
}

/// The longer leases of other sites.
#[test]
fn sweep_one_down_with_longer_leases() {
    for beat in [(4.0, 22.0), (5.0, 26.5), (6.0, 31.0)] {
        for then in [Trouble::Freeze(0, 250), Trouble::Crash(0, 250)] {
            let case = OneDown { beat, then: then.clone() };
            sweep(&format!("one_down {beat:?} {then:?}"), &[0], |seed| case.check(seed));
        }
    }
}

/// One controller goes down and comes back again and again; the others must not hand the
/// leadership to and fro. What a flap costs by itself is the election when it hits the leader.
#[test]
fn sweep_a_flapping_controller_moves_the_leadership_seldom() {
    for seconds in [1, 3, 7] {
        sweep(&format!("flapping {seconds} s"), &[0], |seed| flapping(seed, seconds));
    }
}

/// Steps over which the controller flaps: two minutes.
const FLAPPING_STEPS: u32 = 1_200;

fn flapping(seed: u64, seconds: u32) -> Result<(), String> {
    // Down for so long, and up for as long; the first time it is the leader.
    let period = seconds * 20;
    let times = (0..FLAPPING_STEPS / period).map(|n| 300 + n * period);
    for controller in 0..3 {
        let crash = |at| (at, Trouble::Crash(controller, seconds * 10));
        let mut world = World::new(seed, times.clone().map(crash).collect());
        (world.size, world.beat, world.page) = ((60, 200.0), (2.0, 12.0), 200);
        (world.replicas, world.pace) = (60, (4, 8));
        world.run(300 + FLAPPING_STEPS + 100);
        unbroken(&world).map_err(|text| format!("{text}{}", timeline(&world)))?;
        let led = |line: &&String| line.contains("event=lost") && line.contains("transferred");
        let transfers = world.info.iter().filter(led).count();
        let changes = world.met.changes_of_leader.len();
        let told = || format!("c{controller}: {changes} changes, {transfers} transfers, ");
        let text = || format!("{}{} leases{}", told(), world.lapses, timeline(&world));
        // The flapping controller may lose it once for each flap that finds it elected; then
        // another leads, and nobody hands over.
        ensure(changes <= 3 && transfers <= 1 && world.lapses == 0, text)?;
    }
    Ok(())
}

/// As `a_fleet_that_loses_a_quarter_in_a_takeover_serves_again` plays it. That test, whose
/// seed has all arrays over by then, looks for open jobs a second after the loss too; with
/// other seeds a lost command alone leaves one open, so here they are looked for at the end.
fn quarter_lost(seed: u64) -> Result<(), String> {
    let dies = |m: usize| (400, Trouble::MachineDies(m * 4));
    let mut troubles: Vec<_> = (0..525).map(dies).collect();
    troubles.push((401, Trouble::CrashAll(5)));
    let mut world = World::new(seed, troubles);
    world.size = (2_100, 9_000.0);
    world.beat = (5.0, 26.5);
    world.page = 200;
    world.replicas = 300;
    world.pace = (4, 190);
    serves_again(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
}

fn serves_again(world: &mut World) -> Result<(), String> {
    world.play(395);
    unbroken(world)?;
    let (up, replicas) = (world.up(), world.serving());
    ensure(up > 1_500, || format!("{up} machines at 395"))?;
    if replicas != 24 * 300 {
        return Err(format!("{replicas} of 7200 serve at 395, {}", back_at(world, 24 * 300)));
    }
    world.play(410);
    ensure(world.serving() < replicas - 1_000, || format!("{} serve at 410", world.serving()))?;
    world.run(800);
    let serving = world.serving();
    if serving != replicas {
        return Err(format!("{serving} of {replicas} serve at 800, {}", back_at(world, replicas)));
    }
    unbroken(world)?;
    ensure(world.directs <= 40, || format!("{} direct commands at once", world.directs))?;
    ensure(world.changes <= 2 * 60, || format!("{} changes in a second", world.changes))
}

/// When all replicas serve after all.
fn back_at(world: &mut World, replicas: usize) -> String {
    for _ in 0..80 {
        world.play(world.step() + 5);
        if world.serving() == replicas {
            return format!("all at {}", world.step());
        }
    }
    format!("{} at {}", world.serving(), world.step())
}

/// What happened: a quarter of the fleet dies in a takeover, and replicas or arrays still wait 39 s
/// later. Why: everything waited for one answer that didn't come (seed 33: records_uncertain at
/// 60.7, known at 64.1, and so on; rents 4.2 s each), and an array for machines full of services
/// (seed 30: "ordinary_idle=13 ... waiting=1"). 6 of 48 seeds failed. See docs/incidents.
#[test]
fn sweep_quarter_lost_of_two_thousand() {
    sweep("quarter_lost", &[30, 33], quarter_lost);
}

/// The same of 4,200 machines, as `four_thousand_machines_lose_a_quarter_in_a_takeover` plays
/// it, without its counts of bytes and changes.
#[test]
fn sweep_quarter_lost_of_four_thousand() {
    sweep("quarter_lost_of_4200", &[23], |seed| {
        let mut world = large_fleet::fleet(seed);
        loses_a_quarter(&mut world).map_err(|text| format!("{text}{}", timeline(&world)))
    });
}

fn loses_a_quarter(world: &mut World) -> Result<(), String> {
    let loss_at = large_fleet::LOSS_AT;
    let all = 24 * large_fleet::REPLICAS as usize;
    // A replica that is moved, to empty a machine, is away for tenths of a second (seed 23: moved
    // at 63.5 s, five steps before the loss). So all must serve at some step of a second.
    let mut most = 0;
    for step in loss_at - 15..=loss_at - 5 {
        world.play(step);
        most = most.max(world.serving());
    }
    unbroken(world)?;
    ensure(most == all, || format!("{most} of {all} serve before"))?;
    world.play(loss_at + 10);
    ensure(world.serving() < all - 2_500, || format!("{} serve after it", world.serving()))?;
    world.run(loss_at + 600);
    let serving = world.serving();
    if serving != all {
        return Err(format!("{serving} of {all} serve 60 s later, {}", back_at(world, all)));
    }
    unbroken(world)
}
