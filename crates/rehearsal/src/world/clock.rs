//! Simulated time: the main loop over steps, and delayed delivery of messages.

use super::*;

impl World {
    /// Simulated time, in seconds.
    pub(super) fn now(&self) -> f64 {
        f64::from(self.step) * STEP
    }

    /// Schedules a delivery after `least` steps plus a random delay of at most one step.
    pub(super) fn after(&mut self, least: u32, delivery: Delivery) {
        let at = self.step + least + self.rng.random_range(0..2);
        self.deliveries.push((at, delivery));
    }

    /// Runs up to the given step, then checks that all work was done.
    pub fn run(&mut self, steps: u32) {
        self.advance_to(steps);
        self.check_completed();
    }

    /// Runs up to the given step, or until a rule is violated.
    pub fn advance_to(&mut self, steps: u32) {
        while self.step < steps && self.violations.is_empty() {
            self.advance(steps);
        }
    }

    /// Advances by one step, in a run that ends at step `steps`.
    pub fn advance(&mut self, steps: u32) {
        self.step += 1;
        if self.step == 1 && !self.upgrading {
            self.record_format(FORMAT);
        }
        self.begin_due_faults();
        self.users(steps);
        self.expire_leases();
        self.deliver();
        self.step_workers();
        for i in 0..NODES {
            self.step_controller(i);
        }
        self.check_known();
        self.check_leader();
    }
}
