//! Several cells, each with real controllers and stand-ins of its own, and the links between
//! them.

use super::cluster::{Cluster, free_addresses};
use super::inputs::Plan;
use super::link::Link;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a job waits at home before it may move, seconds.
const PATIENCE_S: f64 = 1.0;

/// What each cell is started with.
#[derive(Clone, Copy, Debug)]
pub struct CellPlan {
    /// Its controllers, machines, times.
    pub plan: Plan,
    /// Whether its jobs may move.
    pub moving: bool,
}

/// The cells.
pub struct Cells {
    /// Each by itself.
    pub clusters: Vec<Cluster>,
    /// Where each controller listens for cells.
    pub listen: Vec<Vec<SocketAddr>>,
    links: BTreeMap<(usize, usize), Vec<Link>>,
}

impl Cells {
    /// Starts them.
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
            .map(|(cell, CellPlan { plan, moving })| {
                let file = |controller: usize| file(cell, listen[cell][controller], &links);
                let files = (0..plan.controllers).map(file).collect();
                Cluster::start_in_cell(*plan, moving.then_some(files))
            })
            .collect();
        Self { clusters, listen, links }
    }

    /// Cuts what one cell asks of another, or mends it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.links[&(from, to)].iter().for_each(|link| link.cut(cut));
    }
}

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
