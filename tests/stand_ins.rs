//! Tests of the simulated surroundings themselves: nothing of a cluster may keep running after its
//! test.

mod stand_in;

use stand_in::Cluster;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// Several report intervals; workers report about three times a second.
const REPORT_WINDOW: Duration = Duration::from_secs(2);

/// Guards against workers that outlive their cluster. Its ports are reused, so such workers
/// reported to a controller of another test, which then started tasks on workers
/// outside its own cluster.
#[test]
fn workers_stop_reporting_once_their_cluster_is_dropped() {
    let cluster = Cluster::start(1);
    cluster.submit("req-900002", "daemon", 4);
    cluster.wait_for("all 4 tasks run", |c| c.held() == 4);
    let node = cluster.node(0).to_owned();
    drop(cluster);
    // The last reports may still be in flight.
    thread::sleep(REPORT_WINDOW);
    let listener = TcpListener::bind(&node).expect("the port is free");
    listener.set_nonblocking(true).expect("set");
    thread::sleep(REPORT_WINDOW);
    assert!(listener.accept().is_err(), "a worker still reports to the old address");
}
