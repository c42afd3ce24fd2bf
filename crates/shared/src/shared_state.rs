//! The shared state of one director: permits, health reports and gossip, driven by messages between peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::gossip::{Gossip, GossipMessage};
use crate::health::{HealthReport, HealthStore, NodeHealth};
use crate::permits::{HeldPermits, PermitLeases, PermitMessage};
use crate::{FleetConfig, uniform_hash};

/// A message from one director to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Index of the sending director.
    pub from: u16,
    /// Index of the receiving director.
    pub to: u16,
    /// [`FleetConfig::digest`] of the sender.
    pub config_digest: u64,
    pub body: MessageBody,
}

/// Content of a message between directors.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    Permits(PermitMessage),
    Gossip(GossipMessage),
}

/// What a director may use and what it knows at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Permits that may be used, by pool.
    pub held: Vec<HeldPermits>,
    /// Nodes to be tried last because of others' reports, each with the sources of these reports.
    pub suspected_nodes: BTreeMap<u64, Vec<u16>>,
    /// Directors from which a message arrived within the duration of a lease, and this director itself.
    pub reachable: BTreeSet<usize>,
}

/// The shared state as one director has it. The caller delivers messages, sends those returned, and passes
/// the time.
#[derive(Clone, Debug)]
pub struct SharedState {
    config: FleetConfig,
    config_digest: u64,
    /// Lease protocol of the permits.
    pub permits: PermitLeases,
    health: HealthStore,
    gossip: Gossip,
    /// Time of the last message from each director.
    last_received: BTreeMap<usize, Instant>,
    /// Times of own failed SETUPs within the duration of a lease; each may need a permit for a further
    /// attempt.
    recent_failures: VecDeque<Instant>,
    /// Number of messages ignored because their sender has another configuration.
    pub config_mismatches: u64,
}

/// Maximum number of failures kept, which also limits the number of permits requested for them.
const MAX_RECENT_FAILURES: usize = 1024;

impl SharedState {
    /// Starts a director's state. `process` is the number of its process, which must exceed that of every
    /// previous one.
    pub fn new(config: FleetConfig, process: u64, now: Instant) -> SharedState {
        let last_version = process << 20;
        SharedState {
            config_digest: config.digest(),
            permits: PermitLeases::new(config.clone(), uniform_hash(&[process, config.seed]).max(1), now),
            health: HealthStore::new(config.director_index, config.report_ttl, last_version),
            gossip: Gossip::new(
                config.director_index,
                config.director_count(),
                config.gossip_interval,
                config.seed ^ process,
                now,
            ),
            last_received: BTreeMap::new(),
            recent_failures: VecDeque::new(),
            config_mismatches: 0,
            config,
        }
    }

    /// Records the outcome of an own SETUP at this node.
    pub fn record_outcome(&mut self, node: u64, health: NodeHealth, now: Instant) {
        if health != NodeHealth::Well && self.recent_failures.len() < MAX_RECENT_FAILURES {
            self.recent_failures.push_back(now);
        }
        if let Some(report) = self.health.record_outcome(node, health, now) {
            self.gossip.enqueue(&report);
        }
    }

    /// Runs all periodic work that is due. Returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<PeerMessage> {
        self.health.remove_expired(now);
        while self.recent_failures.front().is_some_and(|&at| now - at >= self.config.lease) {
            self.recent_failures.pop_front();
        }
        for (pool, permit_pool) in self.config.permit_pools.iter().enumerate() {
            self.permits.set_needed(
                pool,
                if permit_pool.request_all { usize::MAX } else { self.recent_failures.len() },
            );
        }
        let permits =
            self.permits.tick(now).into_iter().map(|(to, message)| (to, MessageBody::Permits(message)));
        let gossip = self
            .gossip
            .tick(&self.health, now)
            .into_iter()
            .map(|(to, message)| (to, MessageBody::Gossip(message)));
        let messages: Vec<(usize, MessageBody)> = permits.chain(gossip).collect();
        self.address(messages)
    }

    /// Adds sender, recipient and configuration digest to messages.
    fn address(&self, messages: Vec<(usize, MessageBody)>) -> Vec<PeerMessage> {
        let (from, config_digest) = (self.config.director_index as u16, self.config_digest);
        messages
            .into_iter()
            .map(|(to, body)| PeerMessage { from, to: to as u16, config_digest, body })
            .collect()
    }

    /// Processes a message, whose sender the caller has authenticated. Returns the replies.
    pub fn receive(&mut self, message: &PeerMessage, now: Instant) -> Vec<PeerMessage> {
        let from = usize::from(message.from);
        if usize::from(message.to) != self.config.director_index
            || from >= self.config.director_count()
            || from == self.config.director_index
        {
            return Vec::new();
        }
        if message.config_digest != self.config_digest {
            self.config_mismatches += 1;
            return Vec::new();
        }
        self.last_received.insert(from, now);
        let messages = match &message.body {
            MessageBody::Permits(message) => {
                let reply = self.permits.receive(from, message, now);
                reply.into_iter().map(|(to, message)| (to, MessageBody::Permits(message))).collect()
            }
            MessageBody::Gossip(message) => {
                let replies = self.gossip.receive(from, message, &mut self.health, now);
                replies.into_iter().map(|(to, message)| (to, MessageBody::Gossip(message))).collect()
            }
        };
        self.address(messages)
    }

    /// Returns the permits that may be used from now for at least `margin`, and what is known of nodes and
    /// peers.
    pub fn snapshot(&self, now: Instant, margin: Span) -> Snapshot {
        let held =
            (0..self.config.permit_pools.len()).map(|pool| self.permits.held(pool, now + margin)).collect();
        let is_recent = |at: &Instant| now - *at < self.config.lease;
        let mut reachable: BTreeSet<usize> = self
            .last_received
            .iter()
            .filter(|(_, at)| is_recent(at))
            .map(|(&director, _)| director)
            .collect();
        reachable.insert(self.config.director_index);
        Snapshot { held, suspected_nodes: self.health.suspected_nodes(&self.config.zones, now), reachable }
    }

    /// Returns all stored health reports, with their ages at `now`.
    pub fn health_reports(&self, now: Instant) -> impl Iterator<Item = HealthReport> {
        self.health.reports(now)
    }
}
