//! Transport of requests and answers between the cells and the links.

use crate::fleet_of_cells::FleetOfCells;
use crate::fleet_of_cells::links::Packet;
use crate::fleet_of_cells::plan::cell_name;
use crate::world::CellAnswer;
use marblebarrow_cells::message::CellError;

/// Number of controllers of a cell.
const CONTROLLERS: usize = 3;

impl FleetOfCells {
    /// Passes the messages that the cells sent in this step to the links.
    pub(super) fn send_messages(&mut self) {
        for from in 0..self.cells.len() {
            self.send_requests(from);
            self.send_answers(from);
        }
    }

    fn send_requests(&mut self, from: usize) {
        for outgoing in std::mem::take(&mut self.cells[from].cell_calls) {
            let target = (0..self.cells.len()).find(|cell| cell_name(*cell) == outgoing.cell);
            let Some(to) = target else { continue };
            let request = outgoing.request.clone();
            let call = self.links.begin_call(from, outgoing);
            let packet = Packet::Request { call, to, request };
            self.links.send(self.step, from, to, &packet, &mut self.observed);
        }
    }

    fn send_answers(&mut self, from: usize) {
        for (call, answer) in std::mem::take(&mut self.cells[from].cell_answers) {
            let Some(to) = self.links.caller(call) else { continue };
            let packet = Packet::Answer { call, answer };
            self.links.send(self.step, from, to, &packet, &mut self.observed);
        }
    }

    /// Delivers the messages that have arrived to their cells.
    pub(super) fn deliver_messages(&mut self) {
        for packet in self.links.take_arrived(self.step) {
            match packet {
                Packet::Request { call, to, request } => {
                    let node = self.links.controller(self.cells[to].leading(), CONTROLLERS);
                    self.cells[to].take_cell_request(node, call, request);
                }
                Packet::Answer { call, answer } => self.answer(call, answer),
            }
        }
    }

    /// Gives a caller its answer, unless it has had one.
    fn answer(&mut self, call: u64, answer: CellAnswer) {
        let Some(call) = self.links.end_call(call) else { return };
        self.cells[call.from].take_cell_answer(&call.outgoing, answer);
    }

    /// Ends calls that timed out with an error.
    pub(super) fn time_out_calls(&mut self) {
        for call in self.links.timed_out(self.step) {
            self.answer(call, Err(CellError::NoAnswer));
        }
        self.links.forget_old_calls();
    }
}
