//! Which process of a node the connections and the sessions of the node belong to.
//!
//! A node is known by its name, and is reached by an address that another process may have taken: a restarted
//! one of the same name, or another node's, before the node list reports it. A connection leads to one process
//! as long as it is open, so a session that was set up on a connection plays at the process of that
//! connection. A connection that is opened later may lead to another process, whatever that answers to SETUPs
//! and health checks. Only a message about a session that is older shows that it is the same.

use ashglade::ids::{NodeId, SessionId};

use super::UpstreamConnection;
use crate::causes;
use crate::gateway::{Gateway, UpstreamId};
use crate::message::{Message, Verb};

/// A process of a node, named after the first connection that is known to lead to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessId(UpstreamId);

impl ProcessId {
    /// Returns the process behind a new connection.
    pub fn behind(upstream: UpstreamId) -> ProcessId {
        ProcessId(upstream)
    }
}

/// Returns whether only the process at which a session plays can have sent this message about it. A process
/// that doesn't know a session may confirm its release, or report it as interrupted.
fn names_known_session(message: &Message) -> bool {
    match message.verb {
        Verb::Notice => true,
        Verb::Finish => message.cause.is_some_and(|cause| cause != causes::INTERRUPTED),
        _ => false,
    }
}

impl Gateway {
    /// Takes note of a message about a session that plays at the connection's node: if it shows that the
    /// connection leads to the session's process, both have the same one from here on.
    pub(super) fn identify_process(&mut self, upstream: UpstreamId, session: SessionId, message: &Message) {
        if !names_known_session(message) {
            return;
        }
        let Some(connection) = self.upstreams.get(&upstream) else { return };
        let (node, found) = (connection.node, connection.process);
        let Some(state) = self.sessions.get_mut(&session) else { return };
        match state.process.replace(found) {
            Some(known) if known != found => self.merge_processes(node, known, found),
            _ => {}
        }
    }

    /// Records that two processes of a node are one.
    fn merge_processes(&mut self, node: NodeId, known: ProcessId, found: ProcessId) {
        let Some(node_state) = self.nodes.get(&node) else { return };
        for upstream in &node_state.upstreams {
            if let Some(connection) = self.upstreams.get_mut(upstream).filter(|c| c.process == known) {
                connection.process = found;
            }
        }
        for session in &node_state.playing {
            if let Some(state) = self.sessions.get_mut(session).filter(|s| s.process == Some(known)) {
                state.process = Some(found);
            }
        }
    }

    /// Returns the sessions that play at a node and whose process no open connection is known to lead to.
    pub(super) fn sessions_without_connection(&self, node: NodeId) -> Vec<SessionId> {
        let Some(node_state) = self.nodes.get(&node) else { return Vec::new() };
        let connections = || node_state.upstreams.iter().filter_map(|upstream| self.upstreams.get(upstream));
        let is_reached = |process: ProcessId| {
            connections().any(|c: &UpstreamConnection| c.connected && c.process == process)
        };
        let process = |session: &SessionId| self.sessions.get(session).and_then(|state| state.process);
        let sessions = node_state.playing.iter().copied();
        sessions.filter(|session| !process(session).is_some_and(is_reached)).collect()
    }
}
