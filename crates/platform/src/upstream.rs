//! The gateway's side towards media nodes: connections, lines queued for them, and health checks of nodes
//! that have fallen silent.
//!
//! A playing session is not tied to a connection. Normally its node reports its end; where the node can't,
//! the end is inferred: a node that refuses connections has terminated, a node that answers no health check
//! and accepts no connection is gone, and a node that according to the node list has started since has lost
//! its earlier sessions.

mod checks;
mod discovery;
mod node_messages;
mod process_identity;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::{Instant, Span};
use ashglade_engine::Input;
use bytes::Bytes;
use tracing::{debug, warn};

use crate::byte_budget::ByteAccount;
use crate::causes;
use crate::gateway::{Action, Attempt, CloseReason, Gateway, HeldRequest, UpstreamId};
use crate::message::{self, Message, Tag, Verb};
use crate::resource_limits::queued_line_bytes;

pub(crate) use process_identity::ProcessId;

/// Time without a message after which a node with playing sessions is checked. With the timeouts below, the
/// viewers of sessions that were lost without notice get their release within the 8 s that the protocol
/// allows.
const QUIET_PERIOD_SECONDS: f64 = 3.5;
/// Time after which an unanswered health check counts as failed, and another connection is tried.
const HEALTH_CHECK_TIMEOUT_SECONDS: f64 = 0.5;
/// Time without a message or a new connection after which a node counts as gone.
const NODE_GONE_TIMEOUT_SECONDS: f64 = 5.0;
/// A connection that is lost within this time after its last message was not lost because its machine failed.
const RECENT_MESSAGE_SECONDS: f64 = 2.0;
/// Time between connection attempts to a node with playing sessions. For a node that only has queued lines,
/// each failed attempt doubles it.
const RECONNECT_INTERVAL_SECONDS: f64 = 0.25;
/// Maximum number of times that failed attempts double that time.
const MAX_DELAY_DOUBLINGS: u32 = 5;
/// Time that a line is queued for a node that accepts no connection, and the age up to which unconfirmed
/// releases of a lost connection are sent again.
const QUEUED_LINE_TTL_SECONDS: f64 = 8.0;
/// Time after which a node that is known only by handed-over sessions, and that the node list has not named,
/// counts as gone.
const UNLISTED_NODE_TIMEOUT_SECONDS: f64 = 2.0;
/// Parts of the bytes of lines queued for nodes that long SETUPs and all SETUPs may use, so that long ones leave room
/// for those of usual length. The rest is left for releases and health checks: a connection that can't take one is
/// closed.
const LONG_SETUP_LINE_PART: f64 = 0.5;
const SETUP_LINE_PART: f64 = 0.75;
/// Number of bytes from which on a SETUP is long.
const LONG_SETUP_BYTES: usize = 2048;
/// Maximum number of connections to one node. Each carries as many concurrent SETUPs as the settings allow,
/// and a node accepts few connections from all directors together. A SETUP that finds all of them full fails
/// as unsent and is placed elsewhere.
pub(crate) const MAX_UPSTREAMS_PER_NODE: usize = 4;

/// A media node and what waits for it.
pub(crate) struct NodeState {
    name: String,
    address: Option<SocketAddr>,
    /// The node list has named the node; a handed-over session may name it earlier.
    listed: bool,
    pub removed: bool,
    upstreams: BTreeSet<UpstreamId>,
    /// Sessions whose SETUP waits for a connection.
    waiting_setups: VecDeque<SessionId>,
    /// The engine's probes that wait for a connection.
    waiting_probes: Vec<u64>,
    /// Releases and rung changes, which any connection may carry, with the time at which each was queued.
    queued_lines: VecDeque<(Instant, Bytes)>,
    /// A release is among the queued lines whose session was ended after all viewers' connections were closed
    /// for a planned shutdown.
    owes_release: bool,
    /// Sessions that play at the node.
    pub playing: BTreeSet<SessionId>,
    last_heard_at: Instant,
    /// When the health check that is unanswered was sent.
    health_check_sent_at: Option<Instant>,
    last_connect_at: Instant,
    /// Number of consecutive connections that were not established.
    connect_failures: u32,
    /// Since when a failed SETUP or a lost connection makes it possible that the node's process has
    /// restarted.
    restart_suspected_at: Option<Instant>,
    /// A connection was given up on which the node may have reported ends of sessions. It repeats them on the next
    /// connection that is opened.
    may_repeat_releases: bool,
    /// When a connection was lost shortly after it had carried a message. If the next one is established at
    /// once, the process probably keeps running.
    connection_lost_at: Option<Instant>,
}

impl NodeState {
    fn new(name: String, now: Instant) -> NodeState {
        NodeState {
            name,
            address: None,
            listed: false,
            removed: false,
            upstreams: BTreeSet::new(),
            waiting_setups: VecDeque::new(),
            waiting_probes: Vec::new(),
            queued_lines: VecDeque::new(),
            owes_release: false,
            playing: BTreeSet::new(),
            last_heard_at: now,
            health_check_sent_at: None,
            last_connect_at: Instant::LONG_AGO,
            connect_failures: 0,
            restart_suspected_at: None,
            may_repeat_releases: false,
            connection_lost_at: None,
        }
    }

    /// Returns whether the node list gives an address for the node.
    pub fn is_reachable(&self) -> bool {
        self.address.is_some()
    }
}

/// A connection to a node.
pub(crate) struct UpstreamConnection {
    pub node: NodeId,
    connected: bool,
    /// When the connection attempt began.
    created_at: Instant,
    last_heard_at: Instant,
    /// The connection was established at once after another one was lost shortly after a message.
    resumes: bool,
    /// The process that the connection leads to.
    process: ProcessId,
    /// A message about a session has been received here, so that the connection is in use.
    carried_session: bool,
    /// Sessions whose SETUP was sent here and has no answer.
    pending: BTreeSet<SessionId>,
    /// Releases sent here that the node has not confirmed, with the time of each.
    unconfirmed_releases: VecDeque<(Instant, Tag)>,
    /// Unanswered health checks, with the number of the probe if the engine requested one.
    health_checks: BTreeMap<Tag, Option<u64>>,
    /// The bytes of the lines that are queued on the connection.
    pub(crate) line_bytes: ByteAccount,
}

impl Gateway {
    // Events

    /// Handles an established connection: sends everything that waits for one.
    pub(crate) fn upstream_connected(&mut self, now: Instant, upstream: UpstreamId) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else { return };
        (connection.connected, connection.last_heard_at) = (true, now);
        let node = connection.node;
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        (node_state.last_heard_at, node_state.connect_failures) = (now, 0);
        node_state.may_repeat_releases = false;
        // A terminated process accepts no connection for a while, and a failed machine has been silent for
        // long, so a quick reconnect suggests that the process keeps running. But the kernel also accepts
        // connections for a process that is being killed: only a message on the new connection proves it.
        connection.resumes =
            node_state.connection_lost_at.take().is_some_and(|at| now - at <= self.site.connect_timeout);
        let queued_lines = std::mem::take(&mut node_state.queued_lines);
        node_state.owes_release = false;
        let (setups, probes) =
            (std::mem::take(&mut node_state.waiting_setups), std::mem::take(&mut node_state.waiting_probes));
        // A connection that failed its health check is replaced by the new one.
        let check_failed = node_state
            .health_check_sent_at
            .take()
            .is_some_and(|at| now - at > Span::from_secs(HEALTH_CHECK_TIMEOUT_SECONDS));
        let failed: Vec<UpstreamId> =
            node_state.upstreams.iter().copied().filter(|&id| check_failed && id != upstream).collect();
        for (_, line) in queued_lines {
            self.send_line(now, upstream, line);
        }
        for session in setups {
            self.send_setup(now, session, upstream);
        }
        for probe in probes {
            self.send_health_check(upstream, Some(probe));
        }
        for upstream in failed {
            if self.upstreams.get(&upstream).is_some_and(|connection| connection.connected) {
                self.abandon_upstream(now, upstream);
            }
        }
    }

    /// Handles the end of a connection: fails what was pending on it, queues its unconfirmed releases, and
    /// reconnects if needed.
    pub(crate) fn upstream_closed(&mut self, now: Instant, upstream: UpstreamId, reason: CloseReason) {
        let Some(connection) = self.upstreams.remove(&upstream) else { return };
        let name = self.nodes.get(&connection.node).map(|node_state| &node_state.name);
        debug!(
            name,
            trunk = upstream.0,
            ?reason,
            open = connection.pending.len(),
            "connection to a node closed"
        );
        let node = connection.node;
        if let Some(node_state) = self.nodes.get_mut(&node) {
            let lost_after_message = matches!(reason, CloseReason::Lost | CloseReason::ProtocolError)
                && connection.connected
                && now - connection.last_heard_at <= Span::from_secs(RECENT_MESSAGE_SECONDS);
            let may_have_lost_message = matches!(reason, CloseReason::ProtocolError | CloseReason::Abandoned)
                || !connection.pending.is_empty();
            node_state.may_repeat_releases |= connection.connected && may_have_lost_message;
            if !connection.pending.is_empty() {
                node_state.restart_suspected_at = Some(now);
            }
            node_state.connection_lost_at =
                (lost_after_message && node_state.restart_suspected_at.is_some()).then_some(now);
        }
        for session in connection.pending {
            let Some(state) = self.sessions.get_mut(&session) else { continue };
            let Some(attempt) = state.attempt.take() else { continue };
            // The session may have started, and may play at the node without being known here.
            let tag = state.tag;
            self.inputs.push(Input::SetupFailed {
                session,
                setup: attempt.setup,
                outcome: AttemptOutcome::Lost,
                load: None,
            });
            self.resend_release(now, node, upstream, tag);
            self.remove_if_finished(session);
        }
        for probe in connection.health_checks.into_values().flatten() {
            self.inputs.push(Input::ProbeResult { probe, load: None });
        }
        // Unconfirmed releases may have been lost with the connection.
        for (_, tag) in connection
            .unconfirmed_releases
            .into_iter()
            .filter(|(at, _)| now - *at <= Span::from_secs(QUEUED_LINE_TTL_SECONDS))
        {
            self.resend_release(now, node, upstream, tag);
        }
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        node_state.upstreams.remove(&upstream);
        if reason == CloseReason::ConnectFailed {
            node_state.connect_failures = (node_state.connect_failures + 1).min(16);
        }
        if reason == CloseReason::Refused {
            // The process has terminated, and with it the sessions that played when this connection attempt
            // began.
            self.end_lost_sessions(now, node, connection.created_at);
        }
        self.fail_waiting(node, reason);
        if self.nodes.get(&node).is_some_and(|node_state| node_state.removed) {
            // Nobody else reports the end of sessions that only this connection led to.
            self.release_unreachable_sessions(now, node);
        }
        let Some(node_state) = self.nodes.get(&node) else { return };
        let has_lines = !node_state.queued_lines.is_empty() && node_state.connect_failures == 0;
        let needed = !node_state.playing.is_empty() || has_lines || node_state.connection_lost_at.is_some();
        if ((needed && node_state.upstreams.is_empty()) || self.awaits_repeated_releases(node))
            && now - node_state.last_connect_at > Span::from_secs(RECONNECT_INTERVAL_SECONDS)
        {
            self.connect(now, node);
        }
    }

    /// Returns whether a further connection to the node is needed, on which it repeats the ends of sessions that it
    /// may have reported on one that was given up.
    fn awaits_repeated_releases(&self, node: NodeId) -> bool {
        let node_state = self.nodes.get(&node);
        node_state.is_some_and(|state| state.may_repeat_releases && !state.playing.is_empty())
            && !self.is_connecting(node)
    }

    /// Returns whether a connection to the node is being established.
    fn is_connecting(&self, node: NodeId) -> bool {
        let is_connecting = |upstream: &UpstreamId| {
            self.upstreams.get(upstream).is_some_and(|connection| !connection.connected)
        };
        self.nodes.get(&node).is_some_and(|node_state| node_state.upstreams.iter().any(is_connecting))
    }

    /// Ends the sessions that have played at the node since `until` or earlier, as lost, and drops lines that
    /// were queued by then.
    fn end_lost_sessions(&mut self, now: Instant, node: NodeId, until: Instant) {
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        node_state.queued_lines.retain(|(queued_at, _)| *queued_at > until);
        let played_by_then = |session: &SessionId| {
            self.sessions.get(session).and_then(|state| state.playing_at).is_none_or(|at| at.1 <= until)
        };
        let lost: Vec<SessionId> = node_state.playing.iter().copied().filter(played_by_then).collect();
        for session in lost {
            self.end_session(now, session, AttemptOutcome::Lost, true);
        }
    }

    /// Cancels a SETUP that still waits for a connection, as its viewer has left. Applies also where the
    /// settings don't allow sent SETUPs to be cancelled.
    pub(crate) fn cancel_unsent_attempt(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        let Some(attempt) = state.attempt.take_if(|attempt| attempt.sent.is_none()) else { return };
        if let Some(node_state) = self.nodes.get_mut(&attempt.node) {
            node_state.waiting_setups.retain(|&other| other != session);
        }
        self.inputs.push(Input::SetupFailed {
            session,
            setup: attempt.setup,
            outcome: AttemptOutcome::Unsent,
            load: None,
        });
    }

    /// Fails the SETUPs and probes that wait for a connection to the node, unless one is still being
    /// established.
    fn fail_waiting(&mut self, node: NodeId, reason: CloseReason) {
        // Without local resources no connection was attempted.
        let outcome = if reason == CloseReason::NoLocalResources {
            AttemptOutcome::Unsent
        } else {
            AttemptOutcome::Unreachable
        };
        if self.is_connecting(node) {
            return;
        }
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let (setups, probes) =
            (std::mem::take(&mut node_state.waiting_setups), std::mem::take(&mut node_state.waiting_probes));
        for session in setups {
            let Some(attempt) = self.sessions.get_mut(&session).and_then(|state| state.attempt.take()) else {
                continue;
            };
            self.inputs.push(Input::SetupFailed { session, setup: attempt.setup, outcome, load: None });
            self.remove_if_finished(session);
        }
        self.inputs.extend(probes.into_iter().map(|probe| Input::ProbeResult { probe, load: None }));
    }

    // Effects of the engine

    /// Sends the attempt's SETUP, or lets it wait for a connection. Reports it as unsent if neither is
    /// possible.
    pub(crate) fn start_attempt(&mut self, now: Instant, session: SessionId, attempt: Attempt) {
        let (node, setup) = (attempt.node, attempt.setup);
        let Some(state) = self.sessions.get_mut(&session) else { return };
        if self.nodes.get(&node).is_none_or(|node_state| node_state.address.is_none()) {
            return self.inputs.push(Input::SetupFailed {
                session,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
        }
        state.attempt = Some(attempt);
        match self.available_upstream(now, node) {
            Some(upstream) => self.send_setup(now, session, upstream),
            None if self.is_connecting(node) => {
                if let Some(node_state) = self.nodes.get_mut(&node) {
                    node_state.waiting_setups.push_back(session);
                }
            }
            // All connections that the node may have are full, or no descriptor is left: nothing was sent.
            None => {
                if let Some(state) = self.sessions.get_mut(&session) {
                    state.attempt = None;
                }
                self.inputs.push(Input::SetupFailed {
                    session,
                    setup,
                    outcome: AttemptOutcome::Unsent,
                    load: None,
                });
            }
        }
    }

    /// Sends the SETUP of the session's attempt. From here on the session may start at the node.
    fn send_setup(&mut self, now: Instant, session: SessionId, upstream: UpstreamId) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        let Some(attempt) = state.attempt.as_mut() else { return };
        let setup = attempt.setup;
        let waiting_request = state.request.as_ref().filter(|_| !state.answered && now < attempt.deadline);
        let Some(HeldRequest { request, .. }) = waiting_request.map(Box::as_ref) else {
            // No one waits for it any longer.
            state.attempt = None;
            self.inputs.push(Input::SetupFailed {
                session,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
            return self.remove_if_finished(session);
        };
        let (rung, left_ms) =
            (attempt.rung.0.to_string(), (attempt.deadline - now).as_ms().floor().max(1.0).to_string());
        let opts = [
            ("class", request.class.as_str()),
            ("key", request.key.as_str()),
            ("left", &left_ms),
            ("rung", &rung),
        ];
        let line = message::encode(Verb::Start, state.tag, &opts, None, Some(&request.description));
        // Lines of this call are not reserved yet: its actions are carried out when it has ended.
        let setup_bytes = self.setup_bytes_in_call;
        let connection = self.upstreams.get(&upstream);
        let has_room = |line: &Bytes| {
            let part = if line.len() < LONG_SETUP_BYTES { SETUP_LINE_PART } else { LONG_SETUP_LINE_PART };
            connection.is_some_and(|c| {
                c.line_bytes.has_room_within(part, setup_bytes + queued_line_bytes(line.len()))
            })
        };
        let Some(line) = line.filter(has_room) else {
            state.attempt = None;
            return self.inputs.push(Input::SetupFailed {
                session,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
        };
        self.setup_bytes_in_call += queued_line_bytes(line.len());
        attempt.sent = Some((upstream, now));
        state.setup_sent = true;
        if let Some(connection) = self.upstreams.get_mut(&upstream) {
            connection.pending.insert(session);
        }
        self.inputs.push(Input::SetupWritten { session, setup });
        self.actions.push(Action::SendUpstream(upstream, line));
    }

    /// Cancels a SETUP and reports its outcome to the engine. With `if_unsent`, a SETUP that has been sent
    /// goes on.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Instant,
        session: SessionId,
        setup: SetupNumber,
        if_unsent: bool,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        let Some(attempt) = state.attempt.as_ref().filter(|attempt| attempt.setup == setup) else { return };
        let (tag, node, timed_out, sent) = (state.tag, attempt.node, now >= attempt.deadline, attempt.sent);
        let Some((upstream, sent_at)) = sent else {
            state.attempt = None;
            if let Some(node_state) = self.nodes.get_mut(&node) {
                node_state.waiting_setups.retain(|&other| other != session);
            }
            let outcome = if timed_out { AttemptOutcome::Unreachable } else { AttemptOutcome::Unsent };
            self.inputs.push(Input::SetupFailed { session, setup, outcome, load: None });
            return self.remove_if_finished(session);
        };
        if if_unsent {
            return;
        }
        self.clear_attempt(session);
        self.cancelled_setups.push_back((node, tag));
        if self.cancelled_setups.len() > self.limits.outstanding {
            self.cancelled_setups.pop_front();
            warn!(
                "too many cancelled SETUPs are held; dropped the oldest, whose session is not released if it still starts"
            );
        }
        self.inputs.push(Input::SetupFailed { session, setup, outcome: AttemptOutcome::Silent, load: None });
        if timed_out && let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.restart_suspected_at = Some(now);
        }
        if let Some(line) = encode_release(tag) {
            self.send_line(now, upstream, line);
        }
        // Nothing has been received since the SETUP was sent: whatever the cause, nothing else that is
        // pending on this connection will be answered.
        if timed_out
            && self.upstreams.get(&upstream).is_some_and(|connection| connection.last_heard_at <= sent_at)
        {
            self.abandon_upstream(now, upstream);
        }
        self.remove_if_finished(session);
    }

    pub(crate) fn change_rung(&mut self, now: Instant, session: SessionId, rung: Rung) {
        let Some(state) = self.sessions.get(&session) else { return };
        if let Some((node, _)) = state.playing_at {
            let tag = state.tag;
            self.send_to_node(now, node, Verb::Rate, tag, &[("rung", &rung.0.to_string())], None);
        }
    }

    /// Tears the session down at its node, if it plays.
    pub(crate) fn release_session(&mut self, now: Instant, session: SessionId) {
        if let Some((node, _)) = self.sessions.get(&session).and_then(|state| state.playing_at)
            && let Some(tag) = self.sessions.get(&session).map(|state| state.tag)
        {
            debug!(%tag, "releasing the session at its node");
            self.clear_playing(session);
            let is_left = self.leaves_sessions_to_next_process(now);
            let is_connected = self.connected_upstream(node, None).is_some();
            if let Some(node_state) = self.nodes.get_mut(&node) {
                node_state.owes_release |= is_left && !is_connected;
            }
            self.send_to_node(now, node, Verb::Finish, tag, &[], Some(causes::NORMAL_RELEASE));
        }
        self.remove_if_finished(session);
    }

    /// Sends a probe, or lets it wait for a connection. Reports it as failed if the node has none.
    pub(crate) fn start_probe(&mut self, now: Instant, probe: u64, node: NodeId) {
        match self.available_upstream(now, node) {
            Some(upstream) => self.send_health_check(upstream, Some(probe)),
            None => match self.nodes.get_mut(&node) {
                Some(node_state) if !node_state.upstreams.is_empty() => node_state.waiting_probes.push(probe),
                _ => self.inputs.push(Input::ProbeResult { probe, load: None }),
            },
        }
    }

    // Connections

    /// Records that the session plays at the node, and connects to the node if there is no connection on
    /// which it could report the session's end.
    pub(crate) fn session_plays(&mut self, now: Instant, session: SessionId, node: NodeId) {
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        node_state.playing.insert(session);
        if node_state.upstreams.is_empty() {
            node_state.last_heard_at = now;
            self.connect(now, node);
        }
    }

    /// Removes the session's attempt, which has been answered or cancelled.
    fn clear_attempt(&mut self, session: SessionId) {
        let attempt = self.sessions.get_mut(&session).and_then(|state| state.attempt.take());
        if let Some((upstream, _)) = attempt.and_then(|attempt| attempt.sent)
            && let Some(connection) = self.upstreams.get_mut(&upstream)
        {
            connection.pending.remove(&session);
        }
    }

    /// Returns a connection that can carry a further SETUP. If there is none, starts to connect unless that
    /// is under way or not allowed.
    fn available_upstream(&mut self, now: Instant, node: NodeId) -> Option<UpstreamId> {
        let node_state = self.nodes.get(&node)?;
        let max_pending = self.site.max_streams_per_connection.unwrap_or(usize::MAX);
        let has_room = |upstream: &&UpstreamId| {
            self.upstreams.get(upstream).is_some_and(|c| c.connected && c.pending.len() < max_pending)
        };
        if let Some(&upstream) = node_state.upstreams.iter().rev().find(has_room) {
            return Some(upstream);
        }
        if !self.is_connecting(node) {
            self.connect(now, node);
        }
        None
    }

    /// Returns whether a planned shutdown has closed all viewers' connections.
    fn leaves_sessions_to_next_process(&self, now: Instant) -> bool {
        self.shutdown().is_some_and(|shutdown| !shutdown.attends_sessions(now))
    }

    /// Starts to connect to the node, unless it has no address, or the limits on connections don't allow it.
    fn connect(&mut self, now: Instant, node: NodeId) {
        // A node repeats the release of a session on the next connection only. Once this process has no
        // connection to a viewer any more, that one is to be the next process's. Only a session that ends after
        // that is worth a connection: the next process would know nothing of its release.
        let owes_release = self.nodes.get(&node).is_some_and(|node_state| node_state.owes_release);
        if self.leaves_sessions_to_next_process(now) && !owes_release {
            return;
        }
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let Some(address) =
            node_state.address.filter(|_| node_state.upstreams.len() < MAX_UPSTREAMS_PER_NODE)
        else {
            return;
        };
        if self.upstreams.len() >= self.descriptor_limits()[1] {
            self.close_unused_upstream(now);
            if self.upstreams.len() >= self.descriptor_limits()[1] {
                return;
            }
        }
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        let upstream = UpstreamId(self.next_upstream);
        self.next_upstream += 1;
        node_state.upstreams.insert(upstream);
        node_state.last_connect_at = now;
        let connection = UpstreamConnection {
            node,
            connected: false,
            created_at: now,
            last_heard_at: now,
            resumes: false,
            process: ProcessId::behind(upstream),
            carried_session: false,
            pending: BTreeSet::new(),
            unconfirmed_releases: VecDeque::new(),
            health_checks: BTreeMap::new(),
            line_bytes: self.upstream_line_bytes.open_account(),
        };
        self.upstreams.insert(upstream, connection);
        self.actions.push(Action::ConnectUpstream(upstream, address));
    }

    /// Closes the connection that has been unused for longest, if any, to free a descriptor.
    fn close_unused_upstream(&mut self, now: Instant) {
        let is_idle = |connection: &UpstreamConnection| {
            connection.connected && connection.pending.is_empty() && connection.health_checks.is_empty()
        };
        let nothing_plays = |connection: &UpstreamConnection| {
            self.nodes.get(&connection.node).is_none_or(|node_state| node_state.playing.is_empty())
        };
        let unused =
            self.upstreams.iter().filter(|(_, connection)| is_idle(connection) && nothing_plays(connection));
        if let Some(upstream) =
            unused.min_by_key(|(_, connection)| connection.last_heard_at).map(|(&upstream, _)| upstream)
        {
            debug!(trunk = upstream.0, "closing an unused connection to free a descriptor");
            self.abandon_upstream(now, upstream);
        }
    }

    pub(crate) fn close_on_protocol_error(&mut self, now: Instant, upstream: UpstreamId) {
        self.close_upstream(upstream);
        self.upstream_closed(now, upstream, CloseReason::ProtocolError);
    }

    pub(crate) fn abandon_upstream(&mut self, now: Instant, upstream: UpstreamId) {
        self.close_upstream(upstream);
        self.upstream_closed(now, upstream, CloseReason::Abandoned);
    }

    fn close_upstream(&mut self, upstream: UpstreamId) {
        if let Some(connection) = self.upstreams.get(&upstream) {
            self.closing_upstreams.insert(upstream, connection.node);
            self.actions.push(Action::CloseUpstream(upstream));
        }
    }

    /// Sends the releases among lines that were not written before their connection ended on another connection.
    pub(crate) fn upstream_undelivered(&mut self, now: Instant, upstream: UpstreamId, lines: Vec<Bytes>) {
        let Some(&node) = self.closing_upstreams.get(&upstream) else { return };
        for line in lines {
            let release = Message::parse(&line).ok().filter(|message| message.verb == Verb::Finish);
            if let Some(tag) = release.and_then(|message| message.tag) {
                self.resend_release(now, node, upstream, tag);
            }
        }
    }

    /// Sends a line. A release is remembered until the node confirms it.
    fn send_line(&mut self, now: Instant, upstream: UpstreamId, line: Bytes) {
        let release = Message::parse(&line).ok().filter(|message| message.verb == Verb::Finish);
        if let Some(tag) = release.and_then(|message| message.tag)
            && let Some(connection) = self.upstreams.get_mut(&upstream)
        {
            if connection.unconfirmed_releases.len() >= self.limits.outstanding {
                connection.unconfirmed_releases.pop_front();
                warn!(
                    trunk = upstream.0,
                    "too many releases are unconfirmed; dropped the oldest, which is not sent again"
                );
            }
            connection.unconfirmed_releases.push_back((now, tag));
        }
        self.actions.push(Action::SendUpstream(upstream, line));
    }

    /// Returns the account of the lines that are queued on a connection to a node.
    pub fn upstream_line_account(&self, upstream: UpstreamId) -> Option<ByteAccount> {
        self.upstreams.get(&upstream).map(|connection| connection.line_bytes.clone())
    }

    /// Returns whether no line waits for a connection to a node.
    pub(crate) fn no_lines_queued_for_nodes(&self) -> bool {
        self.nodes.values().all(|node_state| node_state.queued_lines.is_empty())
    }

    /// Sends a health check, for the engine's `probe` if given.
    fn send_health_check(&mut self, upstream: UpstreamId, probe: Option<u64>) {
        let tag = Tag::from_number(self.next_health_check);
        self.next_health_check = self.next_health_check.wrapping_add(1);
        if let Some(connection) = self.upstreams.get_mut(&upstream) {
            connection.health_checks.insert(tag, probe);
        }
        // Cause 1 asks for a load report, which costs nothing extra.
        let line = message::encode(Verb::Echo, tag, &[], Some(1), None);
        self.actions.extend(line.map(|line| Action::SendUpstream(upstream, line)));
    }

    /// Sends a release that may have been lost with the connection `lost_on` again: on another connection to the
    /// node, or on the next one if there is none. Does nothing if the release is already on its way.
    fn resend_release(&mut self, now: Instant, node: NodeId, lost_on: UpstreamId, tag: Tag) {
        let Some(line) = encode_release(tag) else { return };
        if let Some(upstream) = self.connected_upstream(node, Some(lost_on)) {
            let is_sent = self
                .upstreams
                .get(&upstream)
                .is_some_and(|c| c.unconfirmed_releases.iter().any(|&(_, released)| released == tag));
            if !is_sent {
                self.send_line(now, upstream, line);
            }
            return;
        }
        let is_queued =
            |node_state: &NodeState| node_state.queued_lines.iter().any(|(_, other)| *other == line);
        if self.nodes.get(&node).is_some_and(|node_state| !is_queued(node_state)) {
            self.queue_line(now, node, line);
        }
    }

    /// Queues a line until there is a connection to the node.
    fn queue_line(&mut self, now: Instant, node: NodeId, line: Bytes) {
        let Some(node_state) = self.nodes.get_mut(&node) else { return };
        if node_state.queued_lines.len() < self.limits.outstanding {
            node_state.queued_lines.push_back((now, line));
        } else {
            warn!(name = node_state.name, "too many lines wait for a connection; dropped the newest");
        }
    }

    /// Returns the newest established connection to the node that is not `excluded`.
    fn connected_upstream(&self, node: NodeId, excluded: Option<UpstreamId>) -> Option<UpstreamId> {
        let is_connected = |upstream: &&UpstreamId| {
            Some(**upstream) != excluded && self.upstreams.get(upstream).is_some_and(|c| c.connected)
        };
        self.nodes.get(&node)?.upstreams.iter().rev().find(is_connected).copied()
    }

    /// Sends a message on any connection to the node, or queues it and connects if there is none.
    fn send_to_node(
        &mut self,
        now: Instant,
        node: NodeId,
        verb: Verb,
        tag: Tag,
        opts: &[(&str, &str)],
        cause: Option<u16>,
    ) {
        let Some(line) = message::encode(verb, tag, opts, cause, None) else { return };
        if let Some(upstream) = self.connected_upstream(node, None) {
            return self.send_line(now, upstream, line);
        }
        let Some(node_state) = self.nodes.get(&node) else { return };
        let has_no_connection = node_state.upstreams.is_empty();
        self.queue_line(now, node, line);
        if has_no_connection {
            self.connect(now, node);
        }
    }
}

/// Encodes the release that cancels a SETUP or ends a playing session normally.
fn encode_release(tag: Tag) -> Option<Bytes> {
    message::encode(Verb::Finish, tag, &[], Some(causes::NORMAL_RELEASE), None)
}
