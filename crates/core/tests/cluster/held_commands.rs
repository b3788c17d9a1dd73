//! Single direct commands held in the network for longer than cancelled tasks may run, and answers
//! that start tasks for longer than their workers wait, while all other messages to and from their
//! machines are delivered. No start may be executed late; the simulation also fails if one is sent
//! directly.

use marblebarrow_rehearsal::held_commands::{HELD, held_commands_world, leader_crashes, outage};
use marblebarrow_rehearsal::world::{Fault, HoldPlan, Observations, World};

/// Held commands while all answers arrive.
const HELD_COMMANDS_ALONE: HoldPlan = HoldPlan { answers: false, ..HELD };

/// Runs the workload with held commands for 12 seeds and sums what `occurrences` counts.
fn sum_over_seeds(
    held: HoldPlan,
    other_faults: &[(u32, Fault)],
    occurrences: impl Fn(&World) -> u32,
) -> u32 {
    let run_seed = |seed| {
        let mut world = held_commands_world(seed, held, other_faults);
        world.run(2_200);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(world.starts > 60, "seed {seed}: only {} starts", world.starts);
        occurrences(&world)
    };
    (0..12).map(run_seed).sum()
}

fn run_and_count(other_faults: &[(u32, Fault)], occurrences: impl Fn(&Observations) -> u32) -> u32 {
    sum_over_seeds(HELD, other_faults, |world| occurrences(&world.observed))
}

fn count_logged(world: &World, event: &str) -> u32 {
    world.info.iter().filter(|line| line.contains(event)).count() as u32
}

/// A past incident at production size: a start goes unanswered, its job is cancelled, all other
/// messages are delivered, and the start arrives late. It was sent directly then, and arrived after
/// the job's tasks had to be gone. An answer is discarded by a worker that no longer waits for it.
#[test]
fn a_delayed_start_of_a_cancelled_task_is_not_executed_late() {
    let delayed = run_and_count(&[], |observed| observed.delayed_starts);
    assert!(delayed >= 60, "only {delayed} starts were delayed");
    let discarded = run_and_count(&[], |observed| observed.discarded_starts);
    assert!(discarded >= 24, "only {discarded} starts arrived after their worker waited for them");
}

/// Commands that arrive after all tasks of the job that they name had to be gone do nothing.
#[test]
fn commands_held_past_a_cancellation_do_nothing() {
    let total = run_and_count(&[], |observed| observed.commands_past_cancellation);
    assert!(total >= 24, "only {total} commands arrived after their job's tasks had to be gone");
}

/// Showing a machine a higher fencing token, which prompts it to send a heartbeat, ends no agent's
/// epoch, also where the commands that show it are held.
#[test]
fn raising_the_token_ends_no_agent_epoch() {
    let raised = sum_over_seeds(HELD_COMMANDS_ALONE, &[], |world| {
        assert_eq!(world.expired_leases, 0);
        count_logged(world, "event=token_raised ")
    });
    assert!(raised >= 12, "{raised} blocks of tokens reserved");
}

/// The fencing tokens that leaders used, in the order in which they logged them: those that they
/// were elected with (`true`) and those that they raised (`false`).
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

/// A new leader has a higher fencing token than any used before, and no token is used twice.
#[test]
fn no_two_leaders_ever_have_the_same_token() {
    let raised = sum_over_seeds(HELD, &leader_crashes(), |world| {
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

/// Held starts while leaders crash, also when they restart within a second.
#[test]
fn held_starts_during_changes_of_leader() {
    let other_faults = leader_crashes();
    let changes = run_and_count(&other_faults, |observed| observed.changes_of_leader.len() as u32);
    assert!(changes >= 48, "{changes} changes of leader");
    let total = run_and_count(&other_faults, |observed| observed.discarded_starts);
    assert!(total >= 18, "only {total} starts arrived after their worker waited for them");
}

/// Held commands while no transaction succeeds for longer than cancelled tasks may run.
#[test]
fn held_starts_during_a_store_outage() {
    let total = run_and_count(&outage(), |observed| observed.delayed_starts);
    assert!(total >= 24, "only {total} starts were delayed");
}

/// Held starts with machines that send heartbeats but receive nothing, or hang. Either their
/// epochs end by themselves, or the first message that they receive carries the higher token.
#[test]
fn held_starts_with_unreachable_and_hung_machines() {
    let other_faults = [
        (200, Fault::MachineReceivesNothing(0, 60)),
        (230, Fault::MachineHangs(1, 50)),
        (300, Fault::MachineReceivesNothing(2, 160)),
        (330, Fault::MachineReachesNoController(3, 40)),
        (400, Fault::MachineHangs(0, 120)),
    ];
    let unreceived = run_and_count(&other_faults, |observed| observed.undelivered_answers);
    assert!(unreceived >= 12, "only {unreceived} answers failed to reach their machine");
    let total = run_and_count(&other_faults, |observed| observed.discarded_starts);
    assert!(total >= 12, "only {total} starts arrived after their worker waited for them");
}

/// Answers to executed commands arrive late as well. Their content is already known from a
/// heartbeat, and nothing is started twice.
#[test]
fn answers_held_for_minutes_change_nothing() {
    let total = run_and_count(&[], |observed| observed.late_answers);
    assert!(total >= 100, "only {total} answers arrived late");
}
