//! Several cells, each with its own controller processes and simulated services, and the network
//! links between them.

use super::cluster::{Cluster, free_addresses};
use super::inputs::Plan;
use super::link::Link;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds that a job waits in its home cell before it may be transferred.
const PATIENCE_S: f64 = 1.0;

/// Configuration of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellPlan {
    /// Controllers, machines and timings.
    pub plan: Plan,
    /// Whether its jobs may be transferred to other cells.
    pub transfers_allowed: bool,
}

/// A running group of cells.
pub struct Cells {
    /// The cluster of each cell.
    pub clusters: Vec<Cluster>,
    /// Per cell, the addresses where its controllers listen for other cells.
    pub listen: Vec<Vec<SocketAddr>>,
    links: BTreeMap<(usize, usize), Vec<Link>>,
}

impl Cells {
    /// Starts all cells, with a link from each cell to each controller of the others.
    pub fn start(plans: &[CellPlan]) -> Self {
        let listen: Vec<Vec<SocketAddr>> =
            plans.iter().map(|cell| free_addresses(cell.plan.controllers)).collect();
        let mut links: BTreeMap<(usize, usize), Vec<Link>> = BTreeMap::new();
        for from in 0..plans.len() {
            for to in (0..plans.len()).filter(|to| *to != from) {
                let to_each = listen[to].iter().map(|addr| Link::to(*addr)).collect();
                links.insert((from, to), to_each);
            }
        }
        let clusters = plans
            .iter()
            .enumerate()
            .map(|(cell, CellPlan { plan, transfers_allowed })| {
                let file = |controller: usize| file(cell, listen[cell][controller], &links);
                let files = (0..plan.controllers).map(file).collect();
                Cluster::start_in_cell(*plan, transfers_allowed.then_some(files))
            })
            .collect();
        Self { clusters, listen, links }
    }

    /// Cuts (`true`) or restores (`false`) the connections that one cell opens to another. The
    /// opposite direction is not affected.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.links[&(from, to)].iter().for_each(|link| link.cut(cut));
    }
}

/// Cells file of one controller of `cell`.
fn file(cell: usize, listen: SocketAddr, links: &BTreeMap<(usize, usize), Vec<Link>>) -> String {
    let mut text = format!("name = \"cell-{cell}\"\nlisten = \"{listen}\"\n");
    text += &format!("patience_s = {PATIENCE_S}\n");
    for ((_, to), links) in links.iter().filter(|((from, _), _)| *from == cell) {
        let addrs: Vec<String> = links.iter().map(|link| format!("\"{}\"", link.addr)).collect();
        text += &format!("cell {{\n  name = \"cell-{to}\"\n");
        text += &format!("  controllers = [{}]\n}}\n", addrs.join(", "));
    }
    text
}
