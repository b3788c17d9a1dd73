//! State of machines and services that tests read.

use super::*;

impl World {
    /// Running replicas of services on live machines.
    pub fn serving(&self) -> usize {
        let spec = |t: &TaskId| self.specs.get(&t.job).or_else(|| self.guest_specs.get(&t.job));
        let service = |t: &&TaskId| spec(t).is_some_and(|s| s.kind == Kind::Service);
        let live = self.machines.values().filter(|w| !w.dead);
        live.map(|w| {
            let on = w.tasks.iter().filter(|(_, r)| r.state == TaskState::Running);
            on.filter(|(t, _)| service(t)).count()
        })
        .sum()
    }

    /// Number of machines released so far.
    pub fn returned(&self) -> usize {
        self.released.len()
    }

    /// Number of machines that were not lost.
    pub fn machines_up(&self) -> usize {
        self.machines.values().filter(|w| !w.dead).count()
    }

    /// The step that was simulated last.
    pub fn step(&self) -> u32 {
        self.step
    }
}
