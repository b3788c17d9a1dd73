//! A controller: builds its parts from the settings, connects them and runs them.

use crate::limits::*;
use crate::settings::Settings;
use crate::{authority, cells, clock, event_queue, limits, links, owner, peers, server, thread};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Serves until killed.
pub fn serve(mut settings: Settings) -> std::io::Result<()> {
    let (inbox, rx) = event_queue::Inbox::channel();
    let clock = clock::Clock::start();
    let authority = authority::Authority::default();
    let listener = listen(settings.listen)?;
    let room = limits::Room::of(settings.memory_mb, settings.max_sockets);
    settings.facts.direct_most = room.direct_threads;
    settings.facts.log = tracing::enabled!(tracing::Level::DEBUG);
    let idle = IDLE_TIME.max(Duration::from_secs_f64(settings.facts.report_s * IDLE_REPORTS));
    let watch_timing = settings.facts.watch_timing();
    let links = links::Links {
        store: links::StoreLink::start(settings.state, &inbox, clock, watch_timing)?,
        cloud: links::CloudLink::start(settings.cloud, &inbox, &authority)?,
        workers: links::WorkerLink::new(&inbox, &authority, room.direct_threads),
        cells: match &settings.facts.cells {
            Some(settings) => Some(cells::CellLink::start(settings, &inbox)?),
            None => None,
        },
        peers: peers::Peers::start(
            settings.facts.node.clone(),
            settings.peer_listen,
            settings.others.clone(),
            inbox.clone(),
        )?,
    };
    let bounds = server::Bounds {
        most: room.connections,
        user_threads: room.user_threads,
        report_threads: room.report_threads,
        idle,
    };
    tracing::info!(
        node = %settings.facts.node,
        listen = %settings.listen,
        connections = bounds.most,
        direct = room.direct_threads,
        "event=start"
    );
    let front = server::HttpServer::new(listener, &inbox, &authority, bounds)?;
    thread::spawn("front", move || front.run())?;
    owner::Owner::new(settings.facts, rx, links, authority, clock).run();
    Ok(())
}

/// Listens as the standard library does, with room for more to wait: a whole
/// fleet may come at once.
fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
