//! The transport task, which connects the shared state to a socket, a clock and the engine.

use std::net::SocketAddr;
use std::path::PathBuf;

use ashglade::time::{Instant, Span};
use ashglade_clock::Clock;
use ashglade_engine::{Input, SetupResult};
use ashglade_settings::Settings;
use ashglade_shared::{FleetConfig, PeerMessage, PermitPool, SharedState, health_from_outcome};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::{debug, info};

use crate::codec::{Codec, Datagram, DiscardReason, MAX_DATAGRAM_BYTES};
use crate::config::{RETRY_POOL, TICK_INTERVAL};
use crate::engine_updates::EngineUpdates;
use crate::replay::ReplayFilter;
use crate::status::{NodeReport, PeerStatus};

/// Receives the inputs that the transport produces for the engine.
pub trait EngineSink: Send + Sync + 'static {
    /// Delivers one input to the engine.
    fn send_input(&self, input: Input) -> impl Future<Output = ()> + Send;
}

/// Resources and limits of the transport task.
pub struct PeerTransport {
    pub socket: UdpSocket,
    pub config: FleetConfig,
    /// Addresses of all directors, by index; this director's own is among them.
    pub peer_addresses: Vec<SocketAddr>,
    pub codec: Codec,
    pub clock: Clock,
    /// Results of this director's SETUPs.
    pub setup_results: mpsc::Receiver<SetupResult>,
    /// Maximum number of bytes sent per second.
    pub max_bytes_per_second: f64,
    /// Window over which further SETUPs at a node are counted; `None` if directors share no limit on them.
    pub retry_window: Option<Span>,
    /// File to which the status is written once a second.
    pub status_path: Option<PathBuf>,
}

impl PeerTransport {
    /// Builds the transport from the settings. Returns `None` if they name no other directors or the secret
    /// cannot be used.
    pub fn new(
        settings: &Settings,
        socket: UdpSocket,
        clock: Clock,
        setup_results: mpsc::Receiver<SetupResult>,
        status_path: Option<PathBuf>,
    ) -> Option<PeerTransport> {
        let config = crate::fleet_config(settings)?;
        let talk = settings.peering.as_ref()?;
        let share = talk.sharing.as_ref();
        Some(PeerTransport {
            socket,
            config,
            peer_addresses: talk.addresses.clone(),
            codec: Codec::new(&talk.secret)?,
            clock,
            setup_results,
            max_bytes_per_second: share.map_or(f64::INFINITY, |share| share.max_bytes_per_second),
            retry_window: crate::config::retry_window(settings),
            status_path,
        })
    }
}

/// State of the running transport.
struct TransportTask<E> {
    engine: E,
    transport: PeerTransport,
    state: SharedState,
    replay_filter: ReplayFilter,
    /// Number of this process in datagrams.
    process: u64,
    /// Sequence number of the last datagram.
    sequence: u64,
    /// Token bucket of the rate limit: bytes that may be sent now, and the time of the last refill.
    send_allowance: f64,
    refilled_at: Instant,
    /// Time when the status file was last written.
    status_written_at: Instant,
    status: PeerStatus,
    engine_updates: EngineUpdates,
}

/// Exchanges messages with the other directors for as long as the director runs, and passes changes to the
/// engine.
pub async fn run<E: EngineSink>(transport: PeerTransport, engine: E) {
    let now = transport.clock.now();
    // Start time in milliseconds: higher than that of the previous process unless the machine's clock was set
    // back.
    let process = now.as_ms().max(1.0) as u64;
    let (director_count, director_index) =
        (transport.config.director_count(), transport.config.director_index);
    let mut task = TransportTask {
        engine,
        state: SharedState::new(transport.config.clone(), process, now),
        replay_filter: ReplayFilter::new(director_count, transport.config.lease),
        process,
        sequence: 0,
        send_allowance: 0.0,
        refilled_at: now,
        status_written_at: now,
        status: PeerStatus {
            director_index,
            director_count,
            reachable_directors: vec![director_index],
            ..PeerStatus::default()
        },
        engine_updates: EngineUpdates::new(transport.retry_window),
        transport,
    };
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let messages = tokio::select! {
            _ = tick.tick() => task.state.tick(task.transport.clock.now()),
            received = task.transport.socket.recv_from(&mut bytes) => match received {
                Ok((size, from)) => task.receive(&bytes[..size], from),
                // For instance, the port of a peer that is not running is unreachable.
                Err(_) => Vec::new(),
            },
            Some(result) = task.transport.setup_results.recv() => {
                if let Some(health) = health_from_outcome(result.failure) {
                    task.state.record_outcome(result.node.0, health, task.transport.clock.now());
                }
                Vec::new()
            }
        };
        // Before any release is sent, the engine learns which permits it may no longer use.
        task.update_engine().await;
        task.send(messages);
        task.write_status();
    }
}

impl<E: EngineSink> TransportTask<E> {
    /// Processes a datagram. Returns the replies.
    fn receive(&mut self, bytes: &[u8], from: SocketAddr) -> Vec<PeerMessage> {
        let now = self.transport.clock.now();
        let decoded = self.transport.codec.decode(bytes).and_then(|datagram| {
            let sender = usize::from(datagram.message.from);
            if self.transport.peer_addresses.get(sender) != Some(&from)
                || usize::from(datagram.message.to) != self.transport.config.director_index
            {
                return Err(DiscardReason::Stranger);
            }
            if !self.replay_filter.is_new(sender, datagram.process, datagram.sequence, now) {
                return Err(DiscardReason::Replayed);
            }
            Ok(datagram)
        });
        match decoded {
            Ok(datagram) => {
                self.status.received =
                    (self.status.received.0 + 1, self.status.received.1 + bytes.len() as u64);
                let before = self.state.config_mismatches;
                let messages = self.state.receive(&datagram.message, now);
                if self.state.config_mismatches != before {
                    *self.status.discarded.entry("set up otherwise".into()).or_default() += 1;
                }
                messages
            }
            Err(reason) => {
                debug!(%from, why = ?reason, "discarded a datagram");
                *self.status.discarded.entry(format!("{reason:?}")).or_default() += 1;
                Vec::new()
            }
        }
    }

    /// Sends messages as far as the rate limit allows, and drops the others.
    fn send(&mut self, messages: Vec<PeerMessage>) {
        let now = self.transport.clock.now();
        let limit = self.transport.max_bytes_per_second;
        if limit.is_finite() {
            self.send_allowance =
                (self.send_allowance + limit * ((now - self.refilled_at).as_ms() / 1e3)).min(limit);
            self.refilled_at = now;
        }
        for message in messages {
            let Some(peer) = self.transport.peer_addresses.get(usize::from(message.to)) else { continue };
            self.sequence += 1;
            let datagram = Datagram { process: self.process, sequence: self.sequence, message };
            let Some(bytes) = self.transport.codec.encode(&datagram) else { continue };
            let size = bytes.len() as f64;
            if limit.is_finite() && self.send_allowance < size {
                self.status.rate_limited += 1;
                continue;
            }
            self.send_allowance -= if limit.is_finite() { size } else { 0.0 };
            // A datagram that cannot be sent counts as lost.
            if self.transport.socket.try_send_to(&bytes, *peer).is_ok() {
                self.status.sent = (self.status.sent.0 + 1, self.status.sent.1 + bytes.len() as u64);
            }
        }
    }

    /// Passes changes of permits and suspected nodes to the engine, and updates the status accordingly.
    async fn update_engine(&mut self) {
        let now = self.transport.clock.now();
        let (snapshot, inputs) = self.engine_updates.poll(&self.state, &self.transport.config, now);
        for input in inputs {
            if matches!(input, Input::SuspectedNodes { .. }) {
                info!(nodes = ?snapshot.suspected_nodes, "suspected nodes and the directors that reported them");
            }
            self.engine.send_input(input).await;
        }
        let reachable: Vec<usize> = snapshot.reachable.into_iter().collect();
        if reachable != self.status.reachable_directors {
            info!(directors = ?reachable, "reachable directors changed");
            self.status.reachable_directors = reachable;
        }
        let pool_size =
            |pool: &PermitPool| pool.reserved * self.transport.config.director_count() + pool.leasable;
        let retry_fleet_limit = self.transport.config.permit_pools.get(RETRY_POOL).map(pool_size);
        self.status.retry_limit = self.engine_updates.retry_limit().zip(retry_fleet_limit);
        self.status.suspected_nodes = snapshot
            .suspected_nodes
            .into_iter()
            .map(|(node, sources)| (format!("{node:016x}"), sources))
            .collect();
        self.status.slow_start_turns = self.engine_updates.slow_start_turns().to_vec();
    }

    /// Writes the status file once a second, if one is configured.
    fn write_status(&mut self) {
        let now = self.transport.clock.now();
        let Some(path) = self
            .transport
            .status_path
            .as_ref()
            .filter(|_| now - self.status_written_at >= Span::from_secs(1.0))
        else {
            return;
        };
        self.status_written_at = now;
        let node_report = |report: ashglade_shared::HealthReport| NodeReport {
            node: report.node,
            source: report.source,
            health: format!("{:?}", report.health),
            setups: report.setups,
            age_ms: report.age_ms,
        };
        self.status.health_reports = self.state.health_reports(now).map(node_report).collect();
        let text = serde_json::to_string(&self.status).unwrap_or_default();
        // The file is replaced by a rename, so that no reader sees part of it.
        let temporary = path.with_extension("new");
        let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
        if let Err(error) = written {
            debug!(path = %path.display(), %error, "cannot write the status file");
        }
    }
}
