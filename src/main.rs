//! marblebarrow: a cluster scheduler. `--config FILE` serves; the other
//! commands check settings and speak to a running controller.

mod cli;
mod http;
mod limits;
mod links;
mod operator;
mod owner;
mod peers;
mod server;
mod settings;

use clap::Parser as _;
use limits::*;
use settings::Settings;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::Cli::parse().run()
}

/// Serves until killed.
fn serve(settings: Settings) -> std::io::Result<()> {
    let (inbox, rx) = owner::Inbox::channel();
    let listener = std::net::TcpListener::bind(settings.listen)?;
    let by_memory = (settings.memory_mb * CONNECTIONS_SHARE * 1024.0 / CONNECTION_KB) as usize;
    let most = by_memory.min(settings.max_sockets.saturating_sub(OWN_SOCKETS)).max(16);
    let links = links::Links {
        store: links::StoreLink::start(settings.state, &inbox)?,
        cloud: links::CloudLink::start(settings.cloud, &inbox)?,
        direct: links::DirectLink::new(&inbox),
        peers: peers::Peers::start(
            settings.facts.node.clone(),
            settings.peer_listen,
            settings.others.clone(),
            inbox.clone(),
        )?,
    };
    tracing::info!(node = %settings.facts.node, listen = %settings.listen, "event=start");
    let server_inbox = inbox.clone();
    links::spawn("accept", move || server::serve(&listener, &server_inbox, most))?;
    owner::Owner::new(settings.facts, rx, links).run();
    Ok(())
}
