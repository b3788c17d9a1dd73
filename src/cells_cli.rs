//! Operators' commands on cells: show a cell's view of the others, and declare a cell lost.

use crate::limits::{CELL_TIMEOUT, CONNECT_TIMEOUT};
use marblebarrow_cells::wire::cells_client::CellsClient;
use marblebarrow_cells::wire::*;
use std::net::SocketAddr;
use tonic::Status;
use tonic::transport::{self, Channel, Endpoint};

/// Why a command on cells failed.
#[derive(Debug, thiserror::Error)]
pub enum CellsCommandError {
    /// The async runtime didn't start.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// The server's address is invalid.
    #[error(transparent)]
    Address(#[from] transport::Error),
    /// No connection to the server.
    #[error("no answer from {0}")]
    NoAnswer(SocketAddr),
    /// The server refused the call, with this message.
    #[error("{0}")]
    Refused(String),
}

impl From<Status> for CellsCommandError {
    fn from(status: Status) -> Self {
        Self::Refused(status.message().to_owned())
    }
}

/// The risks of declaring a cell lost, printed before confirmation.
pub const LOSS_RISKS: &str = "jobs that are in a lost cell start again at home: if that cell, \
or a machine of it, still runs, they run twice, and what it finished is done again";

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

async fn connect(server: SocketAddr) -> Result<CellsClient<Channel>, CellsCommandError> {
    let endpoint = Endpoint::from_shared(format!("http://{server}"))?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CELL_TIMEOUT);
    let channel = endpoint.connect().await.map_err(|_| CellsCommandError::NoAnswer(server))?;
    Ok(CellsClient::new(channel))
}

/// Returns the overview of the cell that a controller leads, as lines of text.
pub fn overview(server: SocketAddr) -> Result<Vec<String>, CellsCommandError> {
    let runtime = runtime()?;
    runtime.block_on(async {
        let mut client = connect(server).await?;
        let reply = client.overview(OverviewRequest {}).await?;
        Ok(lines(&reply.into_inner()))
    })
}

/// Declares a cell permanently lost.
pub fn declare_lost(
    server: SocketAddr,
    cell: &str,
    typed_name: &str,
) -> Result<(), CellsCommandError> {
    let runtime = runtime()?;
    let request = DeclareLostRequest { cell: cell.to_owned(), typed_name: typed_name.to_owned() };
    runtime.block_on(async {
        let mut client = connect(server).await?;
        client.declare_lost(request).await?;
        Ok(())
    })
}

fn lines(overview: &OverviewReply) -> Vec<String> {
    let mut lines = vec![format!(
        "cell={} term={} guests={} offers_sent={} refusals_received={} refusals_given={} \
         bad_requests={}",
        overview.cell,
        overview.term,
        overview.guests,
        overview.offers_sent,
        overview.refusals_received,
        overview.refusals_given,
        overview.bad_requests
    )];
    lines.extend(overview.cells.iter().map(cell_line));
    lines.extend(overview.staying.iter().map(staying_line));
    lines.extend(overview.transfers.iter().map(transfer_line));
    lines
}

fn cell_line(cell: &CellOverview) -> String {
    let link = match (cell.lost, cell.heard_s.is_finite()) {
        (true, _) => "declared lost".to_owned(),
        (false, true) => format!("heard {:.1} s ago", cell.heard_s),
        (false, false) => "never heard".to_owned(),
    };
    format!(
        "other={} link=\"{link}\" free_cpus={:.1} rentable={} backlog={}",
        cell.cell, cell.free_cpus, cell.rentable, cell.backlog
    )
}

fn staying_line(staying: &StayingJobs) -> String {
    format!("staying={} jobs={}", staying.reason, staying.jobs)
}

fn transfer_line(transfer: &TransferOverview) -> String {
    format!(
        "job={} target={} state={} age_s={:.1}{}",
        transfer.job,
        transfer.target,
        if transfer.accepted { "there" } else { "in_doubt" },
        transfer.age_s,
        if transfer.cancel_wanted { " cancel_wanted" } else { "" }
    )
}
