//! The director on the platform: passes data and time between sockets and the gateway of `ashglade_platform`.
//! All tasks run on one thread. One task owns the gateway and processes all events that have arrived in one
//! batch; each connection has a task of its own.

mod command_queue;
mod connection;
mod discovery;
mod downstream;
mod event_loop;
mod line_reader;
mod line_writer;
mod listener;
mod upstream;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashglade_platform::{Config, Event, Gateway};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{error, info, warn};

use crate::event_loop::EventLoop;
use ashglade_clock::Clock;

/// Number of attempts to read a new configuration before the current one stays in force. The file may still
/// be being written when the reload is requested.
const CONFIG_READ_ATTEMPTS: u32 = 5;
/// Delay between two such attempts.
const CONFIG_READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which the start waits for an address that is in use, and the delay between two attempts.
const BIND_TIMEOUT: Duration = Duration::from_secs(25);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why the director could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("{path}: {message}")]
    Config { path: PathBuf, message: String },
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("cannot install a signal handler: {0}")]
    Signals(std::io::Error),
    #[error("the event loop failed: {0}")]
    EventLoop(tokio::task::JoinError),
}

/// Reads and checks a configuration file.
pub fn load(path: &Path) -> Result<Config, ServeError> {
    let config_error = |message: String| ServeError::Config { path: path.to_path_buf(), message };
    let text = std::fs::read_to_string(path).map_err(|error| config_error(error.to_string()))?;
    Config::parse(&text).map_err(config_error)
}

/// Serves until a drain has finished. SIGTERM starts the drain, which ends by itself before the process may be
/// killed; SIGHUP reloads the configuration.
pub async fn serve(path: &Path) -> Result<(), ServeError> {
    // Handlers are installed first: a signal that arrives during startup must not end the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(ServeError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut config = load(path)?;
    let address = config.listen;
    let Some(listener) = bind(address, &mut terminate).await? else { return Ok(()) };
    info!(name = config.name, %address, bus = %config.bus, sockets = config.limits.sockets, "serving");

    let clock = Clock::start();
    let gateway = Gateway::new(&config, clock.now());
    let (bus_address, bus_address_updates) = watch::channel(config.bus);
    let known_events = config.known_nodes.clone().events_after(0);
    let last_offset = known_events.last().map_or(0, |event| event.offset);
    let names = config.site.names.clone();
    let updates = known_events.into_iter().map(|event| event.into_discovery_update(&names)).collect();
    let mut event_loop = EventLoop::new(gateway, clock, connect_timeout(&config));
    let priority_events = event_loop.priority_sender();
    let _ = priority_events.send(Event::DiscoveryUpdates(updates)).await;
    tokio::spawn(discovery::follow(bus_address_updates, last_offset, names, priority_events.clone()));
    tokio::spawn(event_loop.accept(listener));
    // A task of its own, so that the runtime schedules it in turn with the connections' tasks.
    let mut event_loop = tokio::spawn(event_loop.run());
    // When the configuration is read next, and the number of attempts left.
    let mut reload = None;
    let mut draining = false;
    loop {
        tokio::select! {
            result = &mut event_loop => return result.map_err(ServeError::EventLoop),
            _ = hangup.recv() => reload = Some((Instant::now(), CONFIG_READ_ATTEMPTS)),
            () = sleep_until(reload.map_or_else(Instant::now, |(at, _)| at)), if reload.is_some() => {
                reload = match (load(path), reload) {
                    (Ok(new_config), _) => {
                        let unapplied_fields = new_config.fields_requiring_restart(&config);
                        info!(bus = %new_config.bus, "configuration reloaded");
                        if !unapplied_fields.is_empty() {
                            warn!(fields = unapplied_fields.join(", "), "changed fields take effect only after a restart");
                        }
                        let _ = bus_address.send(new_config.bus);
                        config.bus = new_config.bus;
                        None
                    }
                    // The file may still be being written.
                    (Err(error), Some((_, attempts_left))) if attempts_left > 1 => {
                        warn!(trouble = %error, "cannot read the new configuration; retrying");
                        Some((Instant::now() + CONFIG_READ_RETRY_DELAY, attempts_left - 1))
                    }
                    (Err(error), _) => {
                        error!(trouble = %error, "cannot read the new configuration; the current one stays in force");
                        None
                    }
                };
            }
            _ = terminate.recv() => {
                if draining {
                    info!("another SIGTERM received; the drain goes on and ends in time by itself");
                    continue;
                }
                draining = true;
                info!("SIGTERM received; draining");
                let priority_events = priority_events.clone();
                // In a task of its own: this one must not block while the channel is full.
                tokio::spawn(async move { priority_events.send(Event::DrainStarted).await });
            }
        }
    }
}

/// Listens at the address. While it is in use, as when another process is about to end, tries again until
/// [`BIND_TIMEOUT`] has passed. Returns `None` if SIGTERM comes first.
async fn bind(address: SocketAddr, terminate: &mut Signal) -> Result<Option<TcpListener>, ServeError> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    let mut waits = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(Some(listener)),
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !waits {
                    warn!(%address, "the address is in use; waiting until it is free");
                }
                waits = true;
            }
            Err(error) => return Err(ServeError::Listen { address, error }),
        }
        tokio::select! {
            _ = terminate.recv() => {
                info!("SIGTERM received before listening; shutting down");
                return Ok(None);
            }
            () = sleep(BIND_RETRY_DELAY) => {}
        }
    }
}

/// Returns the time after which a connection to a node has failed, bounded to between 1 ms and 60 s.
fn connect_timeout(config: &Config) -> Duration {
    Duration::from_secs_f64((config.site.connect_timeout.as_ms() / 1e3).clamp(0.001, 60.0))
}
