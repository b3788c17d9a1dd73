//! Tests of the log lines that an operator sees at the `info` level.

use marblebarrow_core::consts::{INFO_LINES_BURST, INFO_LINES_PER_S};
use marblebarrow_core::log::{Level, Log};
use marblebarrow_rehearsal::world::{Fault, World};

fn count_of(world: &World, event: &str) -> usize {
    world.info.iter().filter(|line| line.contains(event)).count()
}

/// The number of lines stays within the rate limit however many events occur, and suppressed lines
/// are counted.
#[test]
fn info_lines_are_bounded_per_second() {
    let mut log = Log::new(false);
    let (seconds, lines_per_s) = (10, 4_000);
    for line in 0..seconds * lines_per_s {
        log.info(f64::from(line) / f64::from(lines_per_s), || "event=example".into());
    }
    let written = log.take();
    let limit = INFO_LINES_BURST + INFO_LINES_PER_S * f64::from(seconds);
    assert!(written.len() as f64 <= limit, "{} lines", written.len());
    assert!(written.iter().all(|line| line.level == Level::Info));
    assert_eq!(log.suppressed(), (seconds * lines_per_s) as u64 - written.len() as u64);
}

/// Debug lines aren't even formatted unless they are enabled.
#[test]
fn disabled_debug_lines_are_not_formatted() {
    let mut log = Log::new(false);
    log.debug(|| unreachable!("debug lines are disabled"));
    assert!(log.take().is_empty());
}

/// Every change of leadership is logged with its term and reason.
#[test]
fn changes_of_leadership_are_logged() {
    let refused = Fault::OnLeader(Box::new(Fault::StoreRefuses(0, 60)));
    let mut world = World::new(3, vec![(200, refused)]);
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(count_of(&world, "event=won term=1") == 1, "{:?}", world.info);
    assert!(count_of(&world, "event=won term=") >= 2, "{:?}", world.info);
    assert!(count_of(&world, "event=lost term=1 why=") == 1, "{:?}", world.info);
    assert!(count_of(&world, "event=leader node=") >= 4, "{:?}", world.info);
}

/// The messages to workers are counted in the log.
#[test]
fn messages_to_workers_are_counted_in_the_log() {
    let mut world = World::new(4, vec![(150, Fault::MachineReceivesNothing(0, 60))]);
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(count_of(&world, "event=worker_messages starts=") > 0, "{:?}", world.info);
}
