//! The stand-ins themselves: what is left of a cluster once its test is over.

mod stand_in;

use stand_in::Cluster;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// Workers report three times a second: longer than a few of these.
const SILENCE: Duration = Duration::from_secs(2);

/// Ports are given to others once a cluster is over. (Its workers went on reporting to them, and
/// a controller of another test took them for its own: what it started there ran for nobody.)
#[test]
fn workers_of_a_cluster_that_is_over_report_to_nobody() {
    let cluster = Cluster::start(1);
    cluster.submit("req-900002", "daemon", 4);
    cluster.wait_for("it runs", |c| c.held() == 4);
    let node = cluster.node(0).to_owned();
    drop(cluster);
    // The last reports may be under way still.
    thread::sleep(SILENCE);
    let listener = TcpListener::bind(&node).expect("the port is free");
    listener.set_nonblocking(true).expect("set");
    thread::sleep(SILENCE);
    assert!(listener.accept().is_err(), "somebody still reports");
}
