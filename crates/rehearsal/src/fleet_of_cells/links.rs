//! The links between cells, which lose, duplicate and delay messages, and can be cut in one
//! direction.

use crate::fleet_of_cells::outcome::Observations;
use crate::world::{CellAnswer, OutgoingCall};
use marblebarrow_cells::message::CellRequest;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::BTreeMap;

/// Timeout of a call between cells, in steps.
const CALL_TIMEOUT_STEPS: u32 = 20;
/// One in this many messages is lost.
const LOST_ONE_IN: u32 = 15;
/// One in this many messages is duplicated.
const DUPLICATED_ONE_IN: u32 = 12;
/// One in this many messages is late.
const LATE_ONE_IN: u32 = 12;
/// Upper bound of the delay of a late message or duplicate, in steps.
pub(super) const LATE_STEPS_MAX: u32 = 120;
/// Upper bound of the delay of other messages, in steps.
const USUAL_STEPS_MAX: u32 = 3;
/// One in this many requests reaches a random controller instead of the leader.
const NON_LEADER_ONE_IN: u32 = 8;
/// Number of most recent calls that are kept after their end, so that late duplicates of their
/// packets still find them.
const CALLS_KEPT: u64 = 5_000;

/// A message between cells. `call` is the number of the call that it belongs to.
#[derive(Clone, Debug)]
pub(super) enum Packet {
    /// A request to the cell with this index.
    Request { call: u64, to: usize, request: CellRequest },
    /// The answer to a call.
    Answer { call: u64, answer: CellAnswer },
}

/// A call whose packets may still arrive.
#[derive(Debug)]
pub(super) struct Call {
    /// Index of the calling cell.
    pub(super) from: usize,
    /// The call as the caller made it.
    pub(super) outgoing: OutgoingCall,
    /// Whether the caller has been given an answer or an error.
    over: bool,
}

/// All links between cells, and the calls over them.
#[derive(Debug)]
pub(super) struct Links {
    rng: StdRng,
    /// Whether packets are neither lost nor duplicated nor late. Cuts still drop them.
    faultless: bool,
    /// The step up to which packets from the first cell to the second are dropped.
    cuts: BTreeMap<(usize, usize), u32>,
    /// Packets in flight, and the step at which each arrives.
    packets: Vec<(u32, Packet)>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
}

impl Links {
    pub(super) fn new(seed: u64, faultless: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            faultless,
            cuts: BTreeMap::new(),
            packets: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
        }
    }

    /// Cuts the link from one cell to another, in this direction only.
    pub(super) fn cut(&mut self, from: usize, to: usize, until: u32) {
        self.cuts.insert((from, to), until);
    }

    /// Begins a call and returns its number.
    pub(super) fn begin_call(&mut self, from: usize, outgoing: OutgoingCall) -> u64 {
        self.last_call += 1;
        self.calls.insert(self.last_call, Call { from, outgoing, over: false });
        self.last_call
    }

    /// Index of the cell that made a call, unless the call is no longer kept.
    pub(super) fn caller(&self, call: u64) -> Option<usize> {
        self.calls.get(&call).map(|call| call.from)
    }

    /// Ends a call. `None` if it has ended already: only the first answer counts.
    pub(super) fn end_call(&mut self, call: u64) -> Option<&Call> {
        let call = self.calls.get_mut(&call).filter(|call| !call.over)?;
        call.over = true;
        Some(call)
    }

    /// Calls that have reached their timeout.
    pub(super) fn timed_out(&self, step: u32) -> Vec<u64> {
        self.calls
            .iter()
            .filter(|(_, call)| !call.over && step >= call.outgoing.at + CALL_TIMEOUT_STEPS)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Drops calls that ended long ago. Late duplicates of their packets find no caller.
    pub(super) fn forget_old_calls(&mut self) {
        let last = self.last_call;
        self.calls.retain(|number, call| !call.over || number + CALLS_KEPT > last);
    }

    /// Sends a packet, which may be dropped by a cut, lost, duplicated or late.
    pub(super) fn send(
        &mut self,
        step: u32,
        from: usize,
        to: usize,
        packet: &Packet,
        observed: &mut Observations,
    ) {
        observed.messages += 1;
        if self.cuts.get(&(from, to)).is_some_and(|until| step < *until) {
            observed.cut += 1;
            return;
        }
        if self.faultless {
            let at = step + self.rng.random_range(1..USUAL_STEPS_MAX);
            return self.packets.push((at, packet.clone()));
        }
        if self.rng.random_range(0..LOST_ONE_IN) == 0 {
            observed.lost += 1;
            return;
        }
        if self.rng.random_range(0..DUPLICATED_ONE_IN) == 0 {
            observed.doubled += 1;
            let at = step + self.rng.random_range(1..LATE_STEPS_MAX);
            self.packets.push((at, packet.clone()));
        }
        let late = self.rng.random_range(0..LATE_ONE_IN) == 0;
        observed.late += u64::from(late);
        let delay_max = if late { LATE_STEPS_MAX } else { USUAL_STEPS_MAX };
        let at = step + self.rng.random_range(1..delay_max);
        self.packets.push((at, packet.clone()));
    }

    /// Removes the packets that arrive by this step, in the order of their sending.
    pub(super) fn take_arrived(&mut self, step: u32) -> Vec<Packet> {
        let arrived = self.packets.extract_if(.., |(at, _)| *at <= step);
        arrived.map(|(_, packet)| packet).collect()
    }

    /// Number of packets in flight.
    pub(super) fn packets_in_flight(&self) -> usize {
        self.packets.len()
    }

    /// Chooses the controller that a request arrives at. A real link stays with the controller that
    /// leads, but a request may reach any of them.
    pub(super) fn controller(&mut self, leading: Option<usize>, controllers: usize) -> usize {
        let any = self.rng.random_range(0..controllers);
        let to_non_leader = self.rng.random_range(0..NON_LEADER_ONE_IN) == 0;
        if to_non_leader { any } else { leading.unwrap_or(any) }
    }
}
