//! Direct commands on their way to workers, and their answers.

use super::*;

/// Steps after which a sender gives up waiting for the answer to a direct command.
pub(super) const DIRECT_TIMEOUT_STEPS: u32 = 15;
/// One direct command in so many goes unanswered, whatever else happens.
const LOST_ONE_IN: u32 = 25;
/// Such a command is carried out within so many steps.
const LATE_USUAL_MAX_STEPS: u32 = 120;

/// Jobs whose start is held are called off within so many steps, if they are.
const CANCEL_WITHIN_STEPS: u32 = 20;

impl World {
    /// A controller sends direct commands.
    pub(super) fn send_direct(
        &mut self,
        node: usize,
        boot: f64,
        op: OpId,
        machine: MachineId,
        cmd: DirectCommands,
    ) {
        let clears = |c: &Command| matches!(c, Command::Forget { .. });
        self.met.orders += u32::from(!cmd.commands.is_empty());
        self.met.clearing_orders +=
            u32::from(!cmd.commands.is_empty() && cmd.commands.iter().all(clears));
        self.flying[node] += 1;
        self.directs = self.directs.max(self.flying[node]);
        let passage = self.passage(node, &machine);
        self.call_off_held(passage, &cmd);
        let answer = passage == Passage::Answered;
        if !answer {
            let event = Event::Direct(op, DirectResult::Unknown);
            self.after(DIRECT_TIMEOUT_STEPS, Late::Event { node, boot, event });
        }
        let delay = match passage {
            Passage::Answered | Passage::AnswerLate => 0,
            Passage::Late { least, most } => self.rng.random_range(least..most),
        };
        self.met.late_answers += u32::from(passage == Passage::AnswerLate);
        self.after(delay, Late::Direct(DirectOnWay { node, boot, op, machine, cmd, answer }));
    }

    /// Users call off jobs whose start is held, if they are to.
    fn call_off_held(&mut self, passage: Passage, cmd: &DirectCommands) {
        let wanted = self.held.is_some_and(|(held, until)| held.called_off && self.step < until);
        if !wanted || !matches!(passage, Passage::Late { .. }) {
            return;
        }
        for command in &cmd.commands {
            let Command::Start { task, .. } = command else { continue };
            let Some(task) = TaskId::parse(task) else { continue };
            let at = self.step + self.rng.random_range(0..CANCEL_WITHIN_STEPS);
            self.call_off_at.push((at, task.job));
        }
    }

    fn passage(&mut self, node: usize, machine: &MachineId) -> Passage {
        let cut = self.step < self.hosts[node].cut_until
            || self.parted(node, machine)
            || self
                .machines
                .get(machine)
                .is_none_or(|w| w.dead || self.step < w.cut_until || self.step < w.deaf_until);
        if let Some((held, _)) = self.held.filter(|(_, until)| self.step < *until && !cut) {
            match self.rng.random_range(0..held.one_in) {
                0 => return Passage::Late { least: held.least, most: held.most },
                1 => return Passage::AnswerLate,
                _ => {}
            }
        }
        if !cut && self.rng.random_range(0..LOST_ONE_IN) != 0 {
            return Passage::Answered;
        }
        Passage::Late { least: 0, most: LATE_USUAL_MAX_STEPS }
    }

    /// Direct commands arrive at their machine.
    pub(super) fn deliver_direct(&mut self, direct: DirectOnWay) {
        let DirectOnWay { node, boot, op, machine, cmd, answer } = direct;
        // A cut holds packets back: they come when it ends.
        let until = self.machines.get(&machine).map_or(0, Worker::unreachable_until);
        if until > self.step {
            self.met.held_orders += 1;
            if answer {
                // The link gives up waiting.
                let event = Event::Direct(op, DirectResult::Unknown);
                self.after(DIRECT_TIMEOUT_STEPS, Late::Event { node, boot, event });
            }
            let direct = DirectOnWay { node, boot, op, machine, cmd, answer: false };
            return self.late.push((until, Late::Direct(direct)));
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

    fn note_late_commands(&mut self, machine: &MachineId, cmd: &DirectCommands) {
        self.met.late_commands += 1;
        if self.machines.get(machine).is_none_or(|w| w.dead || w.agent_epoch != cmd.agent_epoch) {
            return;
        }
        let past = |command: &&Command| {
            let Command::Start { task, .. } = command else { return false };
            TaskId::parse(task).is_some_and(|task| self.past_cancellation(&task.job))
        };
        let starts = cmd.commands.iter().filter(past).count();
        self.met.starts_past_cancellation += starts as u32;
    }

    /// Whether a job was cancelled so long ago that none of its tasks may be on a machine.
    pub(super) fn past_cancellation(&self, job: &JobId) -> bool {
        let Some((Stage::Cancelled, at)) = self.told.get(job) else { return false };
        f64::from(self.step - at) * STEP > CANCEL_S + self.beat.1 - LEASE_S
    }
}
