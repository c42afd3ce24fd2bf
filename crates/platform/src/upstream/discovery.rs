//! What discovery reports of nodes: new addresses, starts and removals.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ashglade::ids::{NodeId, SessionId};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_engine::{Input, NodeStatus, NodeUpdate};
use bytes::Bytes;
use tracing::warn;

use super::{NodeState, encode_release};
use crate::bus::{DiscoveryUpdate, EndpointUpdate};
use crate::gateway::{Action, Gateway, UpstreamId};
use crate::message::{Message, Verb};

impl Gateway {
    /// Updates the nodes, and passes their status on to the engine.
    pub(crate) fn apply_discovery_update(&mut self, now: Instant, update: DiscoveryUpdate) {
        let mut unnamed: BTreeSet<NodeId> = BTreeSet::new();
        if update.snapshot {
            unnamed.extend(self.nodes.keys());
        }
        let mut nodes = Vec::with_capacity(update.nodes.len());
        let replaced = self.replaced_nodes(&update);
        for endpoint in update.nodes {
            unnamed.remove(&endpoint.node);
            let status = match (endpoint.ready, endpoint.removed) {
                (true, _) => NodeStatus::Ready(endpoint.info),
                (_, true) => NodeStatus::Gone,
                _ => NodeStatus::Draining,
            };
            nodes.push(NodeUpdate { node: endpoint.node, status });
            let name = endpoint.name;
            let node_state = self.nodes.entry(endpoint.node).or_insert_with(|| NodeState::new(name, now));
            node_state.listed = true;
            node_state.removed = endpoint.removed;
            let known_address = node_state.address;
            let had_no_address = known_address.is_none();
            node_state.address = endpoint.address.or(node_state.address).filter(|_| !endpoint.removed);
            let needs_connection =
                had_no_address && node_state.address.is_some() && !node_state.playing.is_empty();
            if endpoint.removed {
                self.node_removed(now, endpoint.node, known_address);
            }
            if let Some(started) = endpoint.info.started {
                self.node_started(now, endpoint.node, started);
            }
            if needs_connection {
                self.connect(now, endpoint.node);
            }
            self.adopt_orphaned_releases(now, endpoint.node);
        }
        for node in unnamed.into_iter().chain(replaced) {
            nodes.push(NodeUpdate { node, status: NodeStatus::Gone });
            if let Some(node_state) = self.nodes.get_mut(&node) {
                let address = node_state.address;
                (node_state.listed, node_state.removed, node_state.address) = (true, true, None);
                self.node_removed(now, node, address);
            }
        }
        self.inputs.push(Input::DiscoveryUpdate { full: update.snapshot, nodes });
    }

    /// Returns the nodes whose address the update gives to another node, and that it doesn't name itself: their
    /// processes are gone, though their removal may be reported much later.
    fn replaced_nodes(&self, update: &DiscoveryUpdate) -> BTreeSet<NodeId> {
        let named: BTreeSet<NodeId> = update.nodes.iter().map(|endpoint| endpoint.node).collect();
        let is_claimed = |endpoint: &&EndpointUpdate| {
            let known = self.nodes.get(&endpoint.node).and_then(|node_state| node_state.address);
            endpoint.ready && endpoint.address.is_some() && endpoint.address != known
        };
        let claimed: BTreeSet<SocketAddr> =
            update.nodes.iter().filter(is_claimed).filter_map(|endpoint| endpoint.address).collect();
        if claimed.is_empty() || update.snapshot {
            // A snapshot names all nodes that there are.
            return BTreeSet::new();
        }
        let is_replaced = |(node, node_state): &(&NodeId, &NodeState)| {
            !named.contains(node) && node_state.address.is_some_and(|address| claimed.contains(&address))
        };
        self.nodes.iter().filter(is_replaced).map(|(&node, _)| node).collect()
    }

    /// Ends the sessions of a removed node whose process no connection leads to, and drops the connections that no
    /// session has used: they may lead to another process, which has taken the node's address. Releases that are
    /// queued go to the node that is next at its address.
    fn node_removed(&mut self, now: Instant, node: NodeId, address: Option<SocketAddr>) {
        let Some(node_state) = self.nodes.get(&node) else { return };
        let is_unused = |upstream: &&UpstreamId| {
            self.upstreams.get(upstream).is_some_and(|connection| !connection.carried_session)
        };
        let unused: Vec<UpstreamId> = node_state.upstreams.iter().filter(is_unused).copied().collect();
        self.release_unreachable_sessions(now, node);
        for upstream in unused {
            self.abandon_upstream(now, upstream);
        }
        self.orphan_queued_releases(now, node, address);
    }

    /// Ends the sessions of a removed node whose process no connection leads to, as lost. They are released on
    /// a connection too, if there is one, in case it does lead there.
    pub(super) fn release_unreachable_sessions(&mut self, now: Instant, node: NodeId) {
        let lost = self.sessions_without_connection(node);
        if let Some(upstream) = self.connected_upstream(node, None) {
            let tags = lost.iter().filter_map(|id| Some(self.sessions.get(id)?.tag));
            let releases = tags.filter_map(encode_release);
            self.actions.extend(releases.map(|line| Action::SendUpstream(upstream, line)));
        }
        for session in lost {
            self.end_session(now, session, AttemptOutcome::Lost, true);
        }
    }

    /// Drops the lines that are queued for a node, and keeps the releases among them for its address.
    fn orphan_queued_releases(&mut self, now: Instant, node: NodeId, address: Option<SocketAddr>) {
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let lines = std::mem::take(&mut node_state.queued_lines);
        let Some(address) = address else { return };
        let is_release = |line: &Bytes| Message::parse(line).is_ok_and(|m| m.verb == Verb::Finish);
        let releases: Vec<(Instant, Bytes)> =
            lines.into_iter().filter(|(_, line)| is_release(line)).collect();
        if releases.is_empty() {
            // The search below looks at all nodes, and many may be removed at once.
            return;
        }
        let dropped = self.orphaned_releases.keep(now, address, releases, self.limits.outstanding);
        if dropped > 0 {
            warn!(%address, dropped, "too many releases wait for a node at this address; dropped the newest");
        }
        let successor = self.nodes.iter().find(|(_, other)| other.address == Some(address));
        if let Some((&successor, _)) = successor {
            self.adopt_orphaned_releases(now, successor);
        }
    }

    /// Queues the releases that are owed at a node's address.
    fn adopt_orphaned_releases(&mut self, now: Instant, node: NodeId) {
        let Some(address) = self.nodes.get(&node).and_then(|node_state| node_state.address) else { return };
        let lines = self.orphaned_releases.take(now, address);
        if lines.is_empty() {
            return;
        }
        if let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.queued_lines.extend(lines);
        }
        self.connect(now, node);
    }

    /// Ends the sessions and the connections that are older than the start of the node's process: they are
    /// lost.
    fn node_started(&mut self, now: Instant, node: NodeId, started: Instant) {
        let Some(node_state) = self.nodes.get(&node) else { return };
        let predates_start =
            |upstream: &UpstreamId| self.upstreams.get(upstream).is_some_and(|c| c.created_at < started);
        let stale: Vec<UpstreamId> = node_state.upstreams.iter().copied().filter(predates_start).collect();
        let played_before = |session: &SessionId| {
            self.sessions.get(session).and_then(|state| state.playing_at).is_some_and(|at| at.1 < started)
        };
        let lost: Vec<SessionId> = node_state.playing.iter().copied().filter(played_before).collect();
        for session in lost {
            self.end_session(now, session, AttemptOutcome::Lost, true);
        }
        for upstream in stale {
            self.abandon_upstream(now, upstream);
        }
    }

    /// Adds a node at which a handed-over session plays, if it is unknown. The node list may name it a moment
    /// later.
    pub(crate) fn ensure_node(&mut self, now: Instant, node: NodeId, name: &str) {
        self.nodes.entry(node).or_insert_with(|| NodeState::new(name.to_string(), now));
    }
}
