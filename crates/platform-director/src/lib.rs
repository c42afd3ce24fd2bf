//! The director on the platform's sockets: a thin shell that carries bytes and time between connections and the
//! switchboard of `ashglade_platform`. One thread; one task owns the switchboard, and what has come in is one turn.

mod bus;
mod hub;
mod lines;
mod nodes;
mod viewers;

use std::path::{Path, PathBuf};
use std::time::Duration;

use ashglade_platform::{Board, Config, Event};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tracing::{error, info};

use crate::hub::Hub;
use ashglade_clock::Clock;

/// Events that wait for the switchboard at most; a full channel slows those who read sockets.
const EVENTS: usize = 1024;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("{path}: {what}")]
    Config { path: PathBuf, what: String },
    #[error("can't listen on {address}: {error}")]
    Listen { address: std::net::SocketAddr, error: std::io::Error },
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

pub fn load(path: &Path) -> Result<Config, Trouble> {
    let trouble = |what: String| Trouble::Config { path: path.to_path_buf(), what };
    let text = std::fs::read_to_string(path).map_err(|e| trouble(e.to_string()))?;
    Config::read(&text).map_err(trouble)
}

/// Serves until the process is ended from outside.
pub async fn serve(path: &Path) -> Result<(), Trouble> {
    let config = load(path)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Trouble::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Trouble::Signals)?;
    let address = config.listen;
    let listener = TcpListener::bind(address).await.map_err(|error| Trouble::Listen { address, error })?;
    info!(name = config.name, %address, bus = %config.bus, sockets = config.limits.sockets, "serving");

    let clock = Clock::start();
    let (events, inbox) = mpsc::channel(EVENTS);
    let board = Board::new(&config, clock.now());
    let (source, sources) = watch::channel(config.bus);
    let known = config.known.clone().after(0);
    let held = known.last().map_or(0, |event| event.offset);
    let names = config.site.names.clone();
    let news = known.into_iter().map(|event| event.news(&names)).collect();
    let _ = events.send(Event::Bus(news)).await;
    tokio::spawn(bus::follow(sources, held, names, events.clone()));
    let hub = Hub::new(board, clock, events.clone(), dial_timeout(&config));
    let accept = hub.accept(listener);
    tokio::spawn(accept);
    let mut hub = std::pin::pin!(hub.run(inbox));
    loop {
        tokio::select! {
            () = &mut hub => return Ok(()),
            _ = hangup.recv() => match load(path) {
                Ok(config) => {
                    info!(bus = %config.bus, "configuration read anew");
                    let _ = source.send(config.bus);
                }
                Err(trouble) => error!(%trouble, "the configuration held stays in force"),
            },
            _ = terminate.recv() => {
                info!("a planned end is near");
                let events = events.clone();
                // The hub must go on taking events while this one waits for room.
                tokio::spawn(async move { events.send(Event::Stopping).await });
            }
        }
    }
}

fn dial_timeout(config: &Config) -> Duration {
    Duration::from_secs_f64((config.site.dial_timeout.as_ms() / 1e3).clamp(0.001, 60.0))
}
