//! Simulated time: the loop over steps, and messages that come later.

use super::*;

impl World {
    pub(super) fn now(&self) -> f64 {
        f64::from(self.step) * STEP
    }

    pub(super) fn after(&mut self, least: u32, late: Late) {
        let at = self.step + least + self.rng.random_range(0..2);
        self.late.push((at, late));
    }

    /// Runs so many steps, then checks that all work was done.
    pub fn run(&mut self, steps: u32) {
        self.play(steps);
        self.check_over();
    }

    /// Runs so many steps.
    pub fn play(&mut self, steps: u32) {
        while self.step < steps && self.broken.is_empty() {
            self.advance(steps);
        }
    }

    /// One step of a run of so many.
    pub fn advance(&mut self, steps: u32) {
        self.step += 1;
        if self.step == 1 && !self.upgrading {
            self.record_format(FORMAT);
        }
        self.trouble();
        self.users(steps);
        self.expire();
        self.deliver();
        self.work();
        for i in 0..NODES {
            self.change_leadership(i);
        }
        self.check_known();
        self.check_leader();
    }
}
