//! Periodic checks of nodes: queued lines that expire, health checks of silent nodes, reconnects, and nodes that
//! are gone.

use ashglade::ids::NodeId;
use ashglade::time::{Instant, Span};
use tracing::debug;

use super::{
    HEALTH_CHECK_TIMEOUT_SECONDS, MAX_DELAY_DOUBLINGS, NODE_GONE_TIMEOUT_SECONDS, QUEUED_LINE_TTL_SECONDS,
    QUIET_PERIOD_SECONDS, RECONNECT_INTERVAL_SECONDS, UNLISTED_NODE_TIMEOUT_SECONDS,
};
use crate::gateway::{Gateway, HANDOVER_PERIOD_SECONDS, UpstreamId};

impl Gateway {
    pub(crate) fn check_nodes(&mut self, now: Instant) {
        let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
        for node in nodes {
            self.check_node(now, node);
        }
    }

    /// Expires queued lines, sends health checks, reconnects, and removes the node when it is gone.
    fn check_node(&mut self, now: Instant, node: NodeId) {
        let shutting_down = self.shutdown().is_some();
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let has_elapsed = |since: Instant, seconds: f64| now - since > Span::from_secs(seconds);
        if node_state.address.is_none() && node_state.listed {
            // The node is no longer listed, so no line can reach it. A queued line must not delay the end of
            // its sessions.
            node_state.queued_lines.clear();
        }
        node_state.queued_lines.retain(|(queued_at, _)| !has_elapsed(*queued_at, QUEUED_LINE_TTL_SECONDS));
        // A process that ends soon has no time for longer delays.
        let doublings = if shutting_down { 0 } else { node_state.connect_failures.min(MAX_DELAY_DOUBLINGS) };
        let reconnect_delay = RECONNECT_INTERVAL_SECONDS * f64::from(1u32 << doublings);
        if node_state.address.is_some()
            && node_state.upstreams.is_empty()
            && !node_state.queued_lines.is_empty()
            && has_elapsed(node_state.last_connect_at, reconnect_delay)
        {
            return self.connect(now, node);
        }
        if node_state.playing.is_empty() {
            let has_pending = |upstream: &UpstreamId| {
                self.upstreams.get(upstream).is_some_and(|connection| !connection.pending.is_empty())
            };
            let unlisted = !node_state.listed && node_state.queued_lines.is_empty();
            // A session that is handed over may name a node that was removed before.
            let removed =
                node_state.removed && now - self.created_at > Span::from_secs(HANDOVER_PERIOD_SECONDS);
            if (removed || unlisted)
                && node_state.waiting_setups.is_empty()
                && !node_state.upstreams.iter().any(has_pending)
            {
                let upstreams = node_state.upstreams.clone();
                upstreams.into_iter().for_each(|upstream| self.abandon_upstream(now, upstream));
                self.nodes.remove(&node);
            }
            return;
        }
        let should_be_listed =
            node_state.listed || has_elapsed(node_state.last_heard_at, UNLISTED_NODE_TIMEOUT_SECONDS);
        let unreachable = should_be_listed && node_state.upstreams.is_empty() && node_state.address.is_none();
        if has_elapsed(node_state.last_heard_at, NODE_GONE_TIMEOUT_SECONDS) || unreachable {
            debug!(
                name = node_state.name,
                standing = node_state.playing.len(),
                "node is gone without notice; its sessions are lost"
            );
            let upstreams = node_state.upstreams.clone();
            self.end_lost_sessions(now, node, now);
            return upstreams.into_iter().for_each(|upstream| self.abandon_upstream(now, upstream));
        }
        let connected_lately = !has_elapsed(node_state.last_connect_at, RECONNECT_INTERVAL_SECONDS);
        if !connected_lately && self.awaits_repeated_releases(node) {
            self.connect(now, node);
        }
        let connecting = self.is_connecting(node);
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let is_connected = |upstream: &&UpstreamId| {
            self.upstreams.get(upstream).is_some_and(|connection| connection.connected)
        };
        let connected = node_state.upstreams.iter().find(is_connected).copied();
        match (connected, node_state.health_check_sent_at) {
            (Some(upstream), None) if has_elapsed(node_state.last_heard_at, QUIET_PERIOD_SECONDS) => {
                node_state.health_check_sent_at = Some(now);
                self.send_health_check(upstream, None);
            }
            (Some(_), Some(at)) if has_elapsed(at, HEALTH_CHECK_TIMEOUT_SECONDS) && !connecting => {
                self.connect(now, node)
            }
            (None, _)
                if !connecting && has_elapsed(node_state.last_connect_at, RECONNECT_INTERVAL_SECONDS) =>
            {
                self.connect(now, node)
            }
            _ => {}
        }
    }
}
