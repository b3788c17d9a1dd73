//! Delivery of direct commands to workers, and of the answers.

use super::workers::starts_in;
use super::*;

/// Timeout of a direct command, in steps.
pub(super) const DIRECT_TIMEOUT_STEPS: u32 = 15;
/// One in this many direct commands gets no answer, independent of other faults.
const LOST_ONE_IN: u32 = 25;
/// Upper bound of the delay after which such a command is executed, in steps.
const LATE_USUAL_MAX_STEPS: u32 = 120;

/// Upper bound of the delay after which users cancel a job whose start command is delayed, in
/// steps.
const CANCEL_WITHIN_STEPS: u32 = 20;
/// Upper bound of the delay of an answer to a heartbeat, in steps. Workers wait for 40 steps.
const ANSWER_DELAY_MAX_STEPS: u32 = 60;

/// The attempt that a command names.
pub(super) fn named_attempt(command: &Command) -> Option<(TaskId, Attempt)> {
    let (Command::Start { task, attempt }
    | Command::Stop { task, attempt, .. }
    | Command::Forget { task, attempt }) = command;
    Some((TaskId::parse(task)?, *attempt))
}

impl World {
    /// Sends direct commands of a controller to a machine.
    pub(super) fn send_direct(
        &mut self,
        node: usize,
        boot: f64,
        op: OpId,
        machine: MachineId,
        cmd: DirectCommands,
    ) {
        let clears = |c: &Command| matches!(c, Command::Forget { .. });
        self.check_starts_nothing(&machine, &cmd);
        self.observed.commands += u32::from(!cmd.commands.is_empty());
        self.observed.clearing_commands +=
            u32::from(!cmd.commands.is_empty() && cmd.commands.iter().all(clears));
        self.directs_in_flight[node] += 1;
        self.max_direct_commands = self.max_direct_commands.max(self.directs_in_flight[node]);
        self.schedule_copies(node, boot, &machine, &cmd);
        let direct_outcome = self.direct_outcome(node, &machine);
        let answer = direct_outcome == DirectOutcome::Answered;
        if !answer {
            let event = Event::Direct(op, DirectResult::Unknown);
            self.after(DIRECT_TIMEOUT_STEPS, Delivery::Event { node, boot, event });
        }
        let delay = match direct_outcome {
            DirectOutcome::Answered | DirectOutcome::AnswerLate => 0,
            DirectOutcome::Late { min_steps, max_steps } => {
                self.rng.random_range(min_steps..max_steps)
            }
        };
        self.observed.late_answers += u32::from(direct_outcome == DirectOutcome::AnswerLate);
        self.after(
            delay,
            Delivery::Direct(DirectInFlight { node, boot, op, machine, cmd, answer }),
        );
    }

    /// Starts must not be sent directly: a worker that has restarted and knows no token yet executes
    /// a copy of any direct command.
    fn check_starts_nothing(&mut self, machine: &MachineId, cmd: &DirectCommands) {
        for command in &cmd.commands {
            if let Command::Start { task, .. } = command {
                self.violations.push(format!("started_directly: {task} on {machine}"));
            }
        }
    }

    /// The delay of an answer to a heartbeat, in steps. Answers with starts are delayed while the
    /// active fault asks for it; their jobs may be cancelled meanwhile.
    pub(super) fn delay_of_answer(&mut self, answer: &Answer) -> u32 {
        let Some((held, _)) = self.held.filter(|(_, until)| self.step < *until) else { return 0 };
        let jobs: Vec<JobId> = starts_in(answer).map(|task| task.job).collect();
        if jobs.is_empty() || !held.answers || self.rng.random_range(0..held.one_in) != 0 {
            return 0;
        }
        self.observed.delayed_starts += jobs.len() as u32;
        for job in jobs.into_iter().filter(|_| held.cancelled) {
            let at = self.step + self.rng.random_range(0..CANCEL_WITHIN_STEPS);
            self.cancels_due.push((at, job));
        }
        self.rng.random_range(1..ANSWER_DELAY_MAX_STEPS)
    }

    /// Decides how a direct command to a machine is delivered.
    fn direct_outcome(&mut self, node: usize, machine: &MachineId) -> DirectOutcome {
        let cut = self.step < self.hosts[node].cut_until
            || self.is_partitioned(node, machine)
            || self.machines.get(machine).is_none_or(|w| {
                w.dead || self.step < w.cut_until || self.step < w.inbound_cut_until
            });
        if let Some((held, _)) = self.held.filter(|(_, until)| self.step < *until && !cut) {
            match self.rng.random_range(0..held.one_in) {
                0 => {
                    return DirectOutcome::Late {
                        min_steps: held.min_steps,
                        max_steps: held.max_steps,
                    };
                }
                1 => return DirectOutcome::AnswerLate,
                _ => {}
            }
        }
        if !cut && self.rng.random_range(0..LOST_ONE_IN) != 0 {
            return DirectOutcome::Answered;
        }
        DirectOutcome::Late { min_steps: 0, max_steps: LATE_USUAL_MAX_STEPS }
    }

    /// Executes direct commands that arrive at their machine.
    pub(super) fn deliver_direct(&mut self, direct: DirectInFlight) {
        let DirectInFlight { node, boot, op, machine, cmd, answer } = direct;
        // Commands to an unreachable machine are delivered when it is reachable again.
        let until = self.machines.get(&machine).map_or(0, Worker::unreachable_until);
        if until > self.step {
            self.observed.delayed_commands += 1;
            if answer {
                // The sender times out.
                let event = Event::Direct(op, DirectResult::Unknown);
                self.after(DIRECT_TIMEOUT_STEPS, Delivery::Event { node, boot, event });
            }
            let direct = DirectInFlight { node, boot, op, machine, cmd, answer: false };
            return self.deliveries.push((until, Delivery::Direct(direct)));
        }
        if !answer {
            self.note_late_commands(&machine, &cmd);
        }
        let result = self.direct(&machine, &cmd);
        if answer {
            let result = result.unwrap_or(DirectResult::NotSent);
            self.event(node, boot, Event::Direct(op, result));
        }
    }

    /// Counts commands that arrive after their sender timed out, and those that name a task of a job
    /// cancelled too long ago.
    fn note_late_commands(&mut self, machine: &MachineId, cmd: &DirectCommands) {
        self.observed.late_commands += 1;
        if self.machines.get(machine).is_none_or(|w| w.dead || w.agent_epoch != cmd.agent_epoch) {
            return;
        }
        let past = |command: &&Command| {
            named_attempt(command)
                .is_some_and(|(task, _)| self.after_cancellation_deadline(&task.job))
        };
        let commands = cmd.commands.iter().filter(past).count();
        self.observed.commands_past_cancellation += commands as u32;
    }

    /// Whether a job was cancelled so long ago that none of its tasks may be on a machine.
    pub(super) fn after_cancellation_deadline(&self, job: &JobId) -> bool {
        let Some((Stage::Cancelled, at)) = self.last_reported.get(job) else { return false };
        f64::from(self.step - at) * STEP > CANCEL_S + self.heartbeat_and_lease_s.1 - LEASE_S
    }
}
