//! Conversion of operators' calls: the overview of a cell, and the declaration that a cell is lost.

use crate::error::CellError;
use crate::message::Overview;
use crate::rpc::identity::cell_from_wire;
use crate::wire;
use marblebarrow_proto::ids::CellName;

impl From<&Overview> for wire::OverviewReply {
    fn from(overview: &Overview) -> Self {
        let cells = overview.cells.iter().map(|cell| wire::CellOverview {
            cell: cell.cell.to_string(),
            heard_s: cell.last_answer_age_s,
            free_cpus: cell.free_cpus,
            rentable: cell.rentable,
            backlog: cell.backlog,
            lost: cell.lost,
        });
        let transfers = overview.transfers.iter().map(|transfer| wire::TransferOverview {
            job: transfer.job.to_string(),
            target: transfer.target.to_string(),
            accepted: transfer.accepted,
            age_s: transfer.age_s,
            cancel_wanted: transfer.cancel_wanted,
        });
        let staying = overview
            .staying
            .iter()
            .map(|(reason, jobs)| wire::StayingJobs { reason: reason.to_string(), jobs: *jobs });
        Self {
            cell: overview.cell.to_string(),
            term: overview.term,
            cells: cells.collect(),
            transfers: transfers.collect(),
            guests: overview.guests,
            offers_sent: overview.counts.offers_sent,
            refusals_received: overview.counts.refusals_received,
            refusals_given: overview.counts.refusals_given,
            bad_requests: overview.counts.bad_requests,
            staying: staying.collect(),
        }
    }
}

/// Returns the cell that an operator declares lost. Its name must be typed twice and match,
/// otherwise the request is [`CellError::Malformed`]: jobs of a cell that is declared lost may
/// start again in their home cells.
pub fn parse_declared_lost_cell(request: &wire::DeclareLostRequest) -> Result<CellName, CellError> {
    if request.cell != request.typed_name {
        return Err(CellError::Malformed);
    }
    cell_from_wire(&request.cell)
}
