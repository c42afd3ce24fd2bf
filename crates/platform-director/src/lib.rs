//! The director on the platform's sockets: a thin shell that carries bytes and time between connections and the
//! switchboard of `ashglade_platform`. One thread; one task owns the switchboard, and what has come in is one turn.

mod bus;
mod connection;
mod hub;
mod nodes;
mod viewers;

use std::path::{Path, PathBuf};
use std::time::Duration;

use ashglade_platform::{Config, Event, Gateway};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, warn};

use crate::hub::Hub;
use ashglade_clock::Clock;

/// A new configuration that can't be read is read so often, so far apart, before the one held stays in force.
const READS: u32 = 5;
const AGAIN: Duration = Duration::from_millis(100);

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("{path}: {what}")]
    Config { path: PathBuf, what: String },
    #[error("can't listen on {address}: {error}")]
    Listen { address: std::net::SocketAddr, error: std::io::Error },
    #[error("signals: {0}")]
    Signals(std::io::Error),
    #[error("the task that owns the switchboard: {0}")]
    Hub(tokio::task::JoinError),
}

pub fn load(path: &Path) -> Result<Config, Trouble> {
    let trouble = |what: String| Trouble::Config { path: path.to_path_buf(), what };
    let text = std::fs::read_to_string(path).map_err(|e| trouble(e.to_string()))?;
    Config::parse(&text).map_err(trouble)
}

/// Serves until the process is ended from outside, or until nothing is owed any longer after a planned end was told.
pub async fn serve(path: &Path) -> Result<(), Trouble> {
    // Signals first: one that comes while we start is not to end the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(Trouble::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Trouble::Signals)?;
    let mut config = load(path)?;
    let address = config.listen;
    let listener = TcpListener::bind(address).await.map_err(|error| Trouble::Listen { address, error })?;
    info!(name = config.name, %address, bus = %config.bus, sockets = config.limits.sockets, "serving");

    let clock = Clock::start();
    let board = Gateway::new(&config, clock.now());
    let (source, sources) = watch::channel(config.bus);
    let known = config.known_nodes.clone().events_after(0);
    let held = known.last().map_or(0, |event| event.offset);
    let names = config.site.names.clone();
    let news = known.into_iter().map(|event| event.into_discovery_update(&names)).collect();
    let hub = Hub::new(board, clock, dial_timeout(&config));
    let first = hub.first();
    let _ = first.send(Event::DiscoveryUpdates(news)).await;
    tokio::spawn(bus::follow(sources, held, names, first.clone()));
    tokio::spawn(hub.accept(listener));
    // A task like the connections': it takes its turn among them.
    let mut hub = tokio::spawn(hub.run());
    let mut reading = None;
    let mut ending = false;
    loop {
        tokio::select! {
            ended = &mut hub => return ended.map_err(Trouble::Hub),
            _ = hangup.recv() => reading = Some((Instant::now(), READS)),
            () = sleep_until(reading.map_or_else(Instant::now, |(at, _)| at)), if reading.is_some() => {
                reading = match (load(path), reading) {
                    (Ok(new), _) => {
                        let waits = new.fields_requiring_restart(&config);
                        info!(bus = %new.bus, "configuration read anew");
                        if !waits.is_empty() {
                            warn!(fields = waits.join(", "), "read anew, but in force from the next start on");
                        }
                        let _ = source.send(new.bus);
                        config.bus = new.bus;
                        None
                    }
                    // Whoever writes it may not have done yet.
                    (Err(trouble), Some((_, more))) if more > 1 => {
                        warn!(%trouble, "the new configuration is read again in a moment");
                        Some((Instant::now() + AGAIN, more - 1))
                    }
                    (Err(trouble), _) => {
                        error!(%trouble, "the configuration held stays in force");
                        None
                    }
                };
            }
            _ = terminate.recv() => {
                if ending {
                    info!("ended at once, as told twice");
                    return Ok(());
                }
                ending = true;
                info!("a planned end is near");
                let first = first.clone();
                // The hub must go on taking events while this one waits for room.
                tokio::spawn(async move { first.send(Event::DrainStarted).await });
            }
        }
    }
}

fn dial_timeout(config: &Config) -> Duration {
    Duration::from_secs_f64((config.site.connect_timeout.as_ms() / 1e3).clamp(0.001, 60.0))
}
