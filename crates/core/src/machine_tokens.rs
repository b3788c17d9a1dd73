//! The fencing token of each machine: the term, or a higher one that shows the worker something new.

use crate::consts::RAISE_EVERY_S;
use crate::event::{ActionSink, OpId, Secs, StoreResult};
use crate::fencing::RaiseOutcome;
use crate::fleet::Machine;
use crate::leader::{Leader, WriteOutcome};
use marblebarrow_proto::ids::MachineId;

impl Leader {
    /// The token for commands and answers to a machine: the term, unless it was raised for this
    /// machine.
    pub(crate) fn fencing_token_for(&self, machine: &Machine) -> u64 {
        let shown = machine.fencing_token.min(self.fencing.highest());
        self.term.0.max(machine.raised_fencing_token).max(shown)
    }

    /// Raises the token for a machine by one. Returns false if no higher one is reserved yet.
    /// Reserves more tokens in time.
    pub(crate) fn raise_token(&mut self, id: &MachineId) -> bool {
        let Some(token) = self.machines.get(id).map(|m| self.fencing_token_for(m)) else {
            return false;
        };
        self.tokens_needed |= self.fencing.is_low_above(token);
        if token >= self.fencing.highest() {
            return false;
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.raised_fencing_token = token + 1;
        }
        let term = self.term.0;
        self.log.debug(|| {
            format!("event=machine_token_raised machine={id} token={} term={term}", token + 1)
        });
        true
    }

    /// The highest token that this leader may use.
    pub fn highest_fencing_token(&self) -> u64 {
        self.fencing.highest()
    }

    /// Reserves more tokens if they are needed.
    pub(crate) fn reserve_tokens(&mut self, now: Secs, out: &mut ActionSink) {
        if self.tokens_needed {
            let changes = self.fencing.raise(now, RAISE_EVERY_S, out);
            self.writer.charge(f64::from(changes));
        }
    }

    /// Handles an answer of the state service if it belongs to a raise of the token.
    pub(crate) fn fencing_token_answered(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> WriteOutcome {
        match self.fencing.handle_answer(now, op, result, out) {
            RaiseOutcome::Unrelated => WriteOutcome::Unrelated,
            RaiseOutcome::Pending => WriteOutcome::Handled,
            RaiseOutcome::NotLeading => WriteOutcome::NotLeading,
            RaiseOutcome::Raised(token) => {
                self.message_counts.token_blocks += 1;
                self.tokens_needed = false;
                let term = self.term.0;
                self.log.info(now, || format!("event=token_raised token={token} term={term}"));
                WriteOutcome::Handled
            }
        }
    }
}
