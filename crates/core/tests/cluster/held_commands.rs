//! Single direct commands held up for longer than cancelled tasks may take, while all else to
//! and from their machines flows: the fencing token of a machine is raised before a start that
//! went unanswered could be carried out too late.

use marblebarrow_rehearsal::held_commands::{HELD, day, leaders_end, outage};
use marblebarrow_rehearsal::world::{Met, Trouble, World};

/// Plays a day with other luck each time, and sums up what `met` counts.
fn play(others: &[(u32, Trouble)], met: impl Fn(&World) -> u32) -> u32 {
    let one = |seed| {
        let mut world = day(seed, HELD, others);
        world.run(2_200);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert!(world.starts > 60, "seed {seed}: only {} starts", world.starts);
        met(&world)
    };
    (0..12).map(one).sum()
}

fn meet(others: &[(u32, Trouble)], met: impl Fn(&Met) -> u32) -> u32 {
    play(others, |world| met(&world.met))
}

fn told(world: &World, event: &str) -> u32 {
    world.info.iter().filter(|line| line.contains(event)).count() as u32
}

/// The incident at production size: a start goes unanswered, its job is cancelled, all else
/// flows, and the start arrives after the job's tasks had to be gone.
#[test]
fn a_start_held_past_its_cancellation_is_not_carried_out() {
    let times = meet(&[], |met| met.starts_past_cancellation);
    assert!(times >= 24, "they met {times} times");
}

/// The token that takes such starts back ends nobody's epoch.
#[test]
fn raising_the_token_ends_no_agent_epoch() {
    let raised = play(&[], |world| {
        assert_eq!(world.lapses, 0);
        told(world, "event=token_raised ")
    });
    assert!(raised >= 24, "{raised} tokens raised");
}

/// The tokens that leaders took, in the order in which they knew of it: those they were elected
/// with, and those they raised.
fn tokens(world: &World) -> Vec<(bool, u64)> {
    let number = |line: &str, key: &str| -> Option<u64> {
        line.split(' ').find_map(|word| word.strip_prefix(key))?.parse().ok()
    };
    let token = |line: &String| {
        if line.contains("event=won ") {
            return Some((true, number(line, "term=")?));
        }
        line.contains("event=token_raised ").then_some((false, number(line, "token=")?))
    };
    world.info.iter().filter_map(token).collect()
}

/// Whoever leads next has a higher token than any taken before, and no two ever have the same.
#[test]
fn no_two_leaders_ever_have_the_same_token() {
    let raised = play(&leaders_end(), |world| {
        let tokens = tokens(world);
        for (i, (elected, token)) in tokens.iter().enumerate() {
            let earlier = || tokens[..i].iter().map(|(_, token)| token);
            assert!(earlier().all(|t| t != token), "{tokens:?}");
            assert!(!elected || earlier().all(|t| t < token), "{tokens:?}");
        }
        tokens.iter().filter(|(elected, _)| !elected).count() as u32
    });
    assert!(raised >= 24, "{raised} tokens raised");
}

/// The same as leaders end, also within a second.
#[test]
fn held_starts_meet_changes_of_leader() {
    let others = leaders_end();
    let changes = meet(&others, |met| met.changes_of_leader.len() as u32);
    assert!(changes >= 48, "{changes} changes of leader");
    let times = meet(&others, |met| met.starts_past_cancellation);
    assert!(times >= 18, "they met {times} times");
}

/// The same as no transaction goes through for longer than cancelled tasks may take, so that
/// the token can't be raised. (When answers are withheld then: `tests/revocation.rs`.)
#[test]
fn held_starts_meet_an_outage_of_the_store() {
    let times = meet(&outage(), |met| met.starts_past_cancellation);
    assert!(times >= 12, "they met {times} times");
}

/// The same with machines that report but hear nothing, or hang: their epochs end by
/// themselves, or they hear the higher token as soon as they hear anything.
#[test]
fn held_starts_meet_deaf_and_hung_machines() {
    let others = [
        (200, Trouble::MachineDeaf(0, 60)),
        (230, Trouble::MachineHangs(1, 50)),
        (300, Trouble::MachineDeaf(2, 160)),
        (330, Trouble::MachineMute(3, 40)),
        (400, Trouble::MachineHangs(0, 120)),
    ];
    let unheard = meet(&others, |met| met.unheard);
    assert!(unheard >= 12, "{unheard} answers went unheard");
    let times = meet(&others, |met| met.starts_past_cancellation);
    assert!(times >= 12, "they met {times} times");
}

/// Answers to commands that were carried out come late as well: what they carried is known
/// by then from a heartbeat, and nothing is started twice.
#[test]
fn answers_held_for_minutes_change_nothing() {
    let times = meet(&[], |met| met.late_answers);
    assert!(times >= 100, "only {times} answers came late");
}
