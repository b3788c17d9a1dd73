//! marblebarrow: a cluster scheduler. `--config FILE` serves; the other
//! commands check settings and speak to a running controller.

mod authority;
mod cells;
mod cells_cli;
mod cli;
mod http;
mod limits;
mod links;
mod operator;
mod owner;
mod peers;
mod pool;
mod server;
mod settings;
mod watch;

use clap::Parser as _;
use limits::*;
use settings::Settings;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    cli::Cli::parse().run()
}

/// Serves until killed.
fn serve(mut settings: Settings) -> std::io::Result<()> {
    let (inbox, rx) = owner::Inbox::channel();
    let clock = owner::Clock::start();
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
        direct: links::DirectLink::new(&inbox, &authority, room.direct_threads),
        cells: match &settings.facts.cells {
            Some(cells) => Some(cells::CellLink::start(cells, &inbox)?),
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
    links::spawn("front", move || front.run())?;
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
