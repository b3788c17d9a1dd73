//! A controller: creates its components from the settings, connects them and runs them.

use crate::authority::Authority;
use crate::cells::CellLink;
use crate::clock::Clock;
use crate::event_loop::EventLoop;
use crate::event_queue::{self, EventSender};
use crate::limits::{IDLE_HEARTBEATS, IDLE_TIMEOUT, LISTEN_BACKLOG, ResourceShares};
use crate::links::{CloudLink, Links, StoreLink, WorkerLink};
use crate::peers::Peers;
use crate::server::{Bounds, HttpServer};
use crate::settings::Settings;
use crate::thread;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Runs a controller until the process is killed.
pub fn serve(mut settings: Settings) -> io::Result<()> {
    let (events, event_receiver) = event_queue::channel();
    let clock = Clock::start();
    let authority = Authority::default();
    let listener = listen(settings.listen)?;
    let shares = ResourceShares::of(settings.memory_mb, settings.max_sockets);
    settings.facts.max_direct_commands = shares.command_threads;
    settings.facts.max_held_heartbeats = shares.held_heartbeats;
    settings.facts.log = tracing::enabled!(tracing::Level::DEBUG);
    let links = start_links(&settings, &events, clock, &authority, shares)?;
    let bounds = bounds(shares, settings.facts.heartbeat_interval_s);
    tracing::info!(
        node = %settings.facts.node,
        listen = %settings.listen,
        connections = bounds.connections,
        direct = shares.command_threads,
        "event=start"
    );
    let server = HttpServer::new(listener, &events, &authority, bounds)?;
    thread::spawn("front", move || server.run())?;
    EventLoop::new(settings.facts, event_receiver, links, authority, clock).run();
    Ok(())
}

fn start_links(
    settings: &Settings,
    events: &EventSender,
    clock: Clock,
    authority: &Authority,
    shares: ResourceShares,
) -> io::Result<Links> {
    let facts = &settings.facts;
    let store = StoreLink::start(settings.state, events, clock, facts.watch_timing())?;
    let cloud = CloudLink::start(settings.cloud, events, authority)?;
    let workers = WorkerLink::new(events, authority, shares.command_threads);
    let cells = match &facts.cells {
        Some(cells) => Some(CellLink::start(cells, events)?),
        None => None,
    };
    let peers = Peers::start(
        facts.node.clone(),
        settings.peer_listen,
        settings.others.clone(),
        events.clone(),
    )?;
    Ok(Links { store, cloud, workers, peers, cells })
}

fn bounds(shares: ResourceShares, heartbeat_s: f64) -> Bounds {
    let heartbeats = Duration::from_secs_f64(heartbeat_s * IDLE_HEARTBEATS);
    Bounds {
        connections: shares.connections,
        user_threads: shares.user_threads,
        worker_threads: shares.worker_threads,
        idle_timeout: IDLE_TIMEOUT.max(heartbeats),
    }
}

/// Opens a listener like the standard library's, but with a larger backlog: a whole fleet may
/// connect at the same time.
fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
