//! Gossip of node health between directors in the simulator. The state is the one that directors share in
//! service, but messages are limited to [`MAX_MESSAGE_BYTES`].
//!
//! Permits are not used: at a site's price per message, requesting them would cost more than they gain.

use std::collections::{BTreeSet, VecDeque};

use ashglade::ids::{NodeId, SessionId};
use ashglade::interface::{AttemptOutcome, DirectorConfig};
use ashglade::time::{Instant, Span};
use ashglade_shared::gossip::GossipMessage;
use ashglade_shared::{FleetConfig, MessageBody, NodeHealth, PeerMessage, SharedState, health_from_outcome};

/// Maximum length of a message between directors.
const MAX_MESSAGE_BYTES: usize = 256;
/// Time for which a health report is taken into account.
const REPORT_TTL_SECONDS: f64 = 5.0;
/// Interval between gossip rounds.
const GOSSIP_INTERVAL_SECONDS: f64 = 0.5;

/// Gossip participant of one director.
pub struct HealthGossip {
    config: FleetConfig,
    state: SharedState,
    /// Sessions that are playing. Their end is not the outcome of a SETUP.
    started_sessions: BTreeSet<SessionId>,
    send_queue: VecDeque<PeerMessage>,
    suspected_nodes: Vec<NodeId>,
    /// Suspected nodes, if they changed since the last [`HealthGossip::take_update`].
    pending_update: Option<Vec<NodeId>>,
}

impl HealthGossip {
    /// Creates the gossip state of a director that has not heard of any node.
    pub fn new(director: &DirectorConfig, now: Instant) -> HealthGossip {
        let seconds = Span::from_secs;
        let config = FleetConfig {
            director_index: director.director_index,
            // The settings don't hold the zones of other directors.
            zones: vec![0; director.director_count],
            max_voters: 1,
            lease: seconds(REPORT_TTL_SECONDS),
            max_clock_drift: 0.0,
            guard_interval: Span::ZERO,
            permit_pools: Vec::new(),
            report_ttl: seconds(REPORT_TTL_SECONDS),
            gossip_interval: seconds(GOSSIP_INTERVAL_SECONDS),
            seed: director.seed,
            injected_fault: None,
        };
        let state = SharedState::new(config.clone(), now.as_ms().max(1.0) as u64, now);
        HealthGossip {
            config,
            state,
            started_sessions: BTreeSet::new(),
            send_queue: VecDeque::new(),
            suspected_nodes: Vec::new(),
            pending_update: None,
        }
    }

    /// Records that a session started on a node.
    pub fn session_started(&mut self, session: SessionId, node: NodeId, now: Instant) {
        self.started_sessions.insert(session);
        self.state.record_outcome(node.0, NodeHealth::Well, now);
    }

    /// Records the outcome of a SETUP, or the end of a session, which says nothing about the node's health.
    pub fn attempt_ended(&mut self, session: SessionId, node: NodeId, outcome: AttemptOutcome, now: Instant) {
        if !self.started_sessions.remove(&session)
            && let Some(health) = health_from_outcome(Some(outcome))
        {
            self.state.record_outcome(node.0, health, now);
        }
    }

    /// Processes a message from another director. One that can't be decoded is ignored.
    pub fn receive(&mut self, sender: u16, message: &[u8], now: Instant) {
        if let Ok((message, [])) = postcard::take_from_bytes::<GossipMessage>(message) {
            let (to, config_digest) = (self.config.director_index as u16, self.config.digest());
            let message = PeerMessage { from: sender, to, config_digest, body: MessageBody::Gossip(message) };
            self.send_queue.extend(self.state.receive(&message, now));
        }
    }

    /// Updates the suspected nodes from the health reports.
    pub fn update_suspected_nodes(&mut self, now: Instant) {
        let suspected_nodes: Vec<NodeId> =
            self.state.snapshot(now, Span::ZERO).suspected_nodes.into_keys().map(NodeId).collect();
        if suspected_nodes != self.suspected_nodes {
            self.suspected_nodes.clone_from(&suspected_nodes);
            self.pending_update = Some(suspected_nodes);
        }
    }

    /// Returns the suspected nodes if they changed since the last call.
    pub fn take_update(&mut self) -> Option<Vec<NodeId>> {
        self.pending_update.take()
    }

    /// Passes all pending messages to `send`, with the index of the receiving director.
    pub fn send_pending(&mut self, now: Instant, mut send: impl FnMut(u16, &[u8])) {
        self.send_queue.extend(self.state.tick(now));
        for message in std::mem::take(&mut self.send_queue) {
            if let MessageBody::Gossip(gossip) = message.body {
                send_split(message.to, &gossip, &mut send);
            }
        }
    }
}

/// Sends a message, split into several if it is longer than [`MAX_MESSAGE_BYTES`].
fn send_split(to: u16, message: &GossipMessage, send: &mut impl FnMut(u16, &[u8])) {
    let Ok(bytes) = postcard::to_allocvec(message) else { return };
    match message {
        _ if bytes.len() <= MAX_MESSAGE_BYTES => send(to, &bytes),
        GossipMessage::Reports(reports) if reports.len() > 1 => {
            let (first, second) = reports.split_at(reports.len() / 2);
            send_split(to, &GossipMessage::Reports(first.to_vec()), send);
            send_split(to, &GossipMessage::Reports(second.to_vec()), send);
        }
        _ => {}
    }
}
