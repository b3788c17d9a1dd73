//! What an operator sees at the `info` level.

use marblebarrow_core::consts::{INFO_LINES_BURST, INFO_LINES_PER_S};
use marblebarrow_core::log::{Level, Log};
use marblebarrow_rehearsal::world::{Trouble, World};

fn count_of(world: &World, event: &str) -> usize {
    world.info.iter().filter(|line| line.contains(event)).count()
}

/// Whatever happens at once, and for however long, lines stay within their bound, and those
/// left out are counted.
#[test]
fn info_lines_are_bounded_per_second() {
    let mut log = Log::new(false);
    let (seconds, lines_per_s) = (10, 4_000);
    for line in 0..seconds * lines_per_s {
        log.info(f64::from(line) / f64::from(lines_per_s), || "event=example".into());
    }
    let written = log.take();
    let most = INFO_LINES_BURST + INFO_LINES_PER_S * f64::from(seconds);
    assert!(written.len() as f64 <= most, "{} lines", written.len());
    assert!(written.iter().all(|line| line.level == Level::Info));
    assert_eq!(log.suppressed(), (seconds * lines_per_s) as u64 - written.len() as u64);
}

/// Debug lines that nobody wants are not even put together.
#[test]
fn unwanted_debug_lines_are_not_made() {
    let mut log = Log::new(false);
    log.push(|| unreachable!("nobody wants it"));
    assert!(log.take().is_empty());
}

/// Every change of leadership is told with its term and reason.
#[test]
fn changes_of_leadership_are_told() {
    let refused = Trouble::AtLeader(Box::new(Trouble::StoreRefuses(0, 60)));
    let mut world = World::new(3, vec![(200, refused)]);
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(count_of(&world, "event=won term=1") == 1, "{:?}", world.info);
    assert!(count_of(&world, "event=won term=") >= 2, "{:?}", world.info);
    assert!(count_of(&world, "event=lost term=1 why=") == 1, "{:?}", world.info);
    assert!(count_of(&world, "event=leader node=") >= 4, "{:?}", world.info);
}

/// A start that went unanswered is told, with task, machine and epoch.
#[test]
fn unconfirmed_starts_are_told() {
    let mut world = World::new(4, vec![(150, Trouble::MachineDeaf(0, 60))]);
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(count_of(&world, "event=start_in_doubt task=req-") > 0, "{:?}", world.info);
    assert!(count_of(&world, "event=doubts starts=") > 0, "{:?}", world.info);
}
