//! The gateway: a state machine without I/O between viewers' connections (downstream), the engine, and media
//! nodes' connections (upstream). Messages and discovery updates become the engine's inputs; the engine's
//! effects become lines on connections. It makes no placement decisions. It is responsible for transport:
//!
//! - which session a tag names, which connection its answer goes to, and that there is exactly one answer;
//! - that a SETUP is cancelled at its node before the next SETUP of the session is sent;
//! - that the viewer of a session that has played and ended gets a release, also where the node can't report
//!   the end (see `upstream`);
//! - that connections, SETUP requests and sessions of one party don't grow without bound.

mod downstream;
mod planned_shutdown;
mod release_notices;
mod setup_queue;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::shutdown::Shutdown;
use ashglade::time::{Instant, Span};
use ashglade_engine::{Effect, Engine, EngineConfig, Input, SessionResponse, Tally};
use ashglade_site::DirectorSettings;
use bytes::Bytes;
use tracing::{debug, trace, warn};

use crate::bus::{DiscoveryUpdate, node_id};
use crate::byte_budget::ByteBudget;
use crate::causes;
use crate::config::Config;
use crate::early_ends::{EarlyEnd, EarlyEnds};
use crate::message::{self, Message, Tag, Verb};
use crate::orphaned_releases::OrphanedReleases;
use crate::recent_tags::RecentTags;
use crate::resource_limits::ResourceLimits;
use crate::setup_request::SetupRequest;
use crate::upstream::{NodeState, ProcessId, UpstreamConnection};

use downstream::DownstreamConnection;
pub use planned_shutdown::OpenWork;
use release_notices::ReleaseNotice;
pub(crate) use setup_queue::HeldRequest;
use setup_queue::SetupQueue;

/// Identifies a viewer's connection. Assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DownstreamId(pub u64);

/// Identifies a connection to a media node. Assigned by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Why a connection to a node ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The node refused the connection: no process listens there.
    Refused,
    /// The connection was not established, for any reason but a refusal: a timeout, a reset, an unreachable
    /// host.
    ConnectFailed,
    /// The established connection was closed or reset.
    Lost,
    /// A line could not be parsed, so nothing that is open on the connection can be trusted any longer.
    ProtocolError,
    /// This side gave the connection up: its node may be stalled or has restarted, it takes no more lines, or
    /// it is unused and its descriptor is needed.
    Abandoned,
    /// This process had no descriptor, port or memory for the connection. Says nothing about the node.
    NoLocalResources,
}

/// Prints the label that logs use for the reason.
impl fmt::Debug for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Refused => "Refused",
            CloseReason::ConnectFailed => "NeverUp",
            CloseReason::Lost => "Lost",
            CloseReason::ProtocolError => "Spoilt",
            CloseReason::Abandoned => "Silent",
            CloseReason::NoLocalResources => "Wanting",
        })
    }
}

/// Input to [`Gateway::process`].
#[derive(Debug)]
pub enum Event {
    /// A viewer connected from this address.
    DownstreamOpened(DownstreamId, IpAddr),
    /// A viewer sent a message.
    DownstreamMessage(DownstreamId, Message),
    /// A viewer's connection ended; the lines were not written, so the viewer can't have read them.
    DownstreamClosed(DownstreamId, Vec<Bytes>),
    /// A line could not be queued, because the connection's queue is full or the connection has ended.
    DownstreamUndelivered(DownstreamId, Bytes),
    /// A connection to a node was established.
    UpstreamConnected(UpstreamId),
    /// A node sent a message.
    UpstreamMessage(UpstreamId, Message),
    /// A connection to a node ended or was not established; the lines were not written. Reported exactly once
    /// for each [`Action::ConnectUpstream`].
    UpstreamClosed(UpstreamId, CloseReason, Vec<Bytes>),
    /// A line could not be queued, because the connection's queue is full or the connection has ended.
    UpstreamUndelivered(UpstreamId, Bytes),
    /// New events of the event bus.
    DiscoveryUpdates(Vec<DiscoveryUpdate>),
    /// A planned shutdown begins: health checks fail from here on, while requests are still served as long as
    /// [`Shutdown`] decides.
    DrainStarted,
}

/// Output of [`Gateway::process`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a line to a viewer.
    SendDownstream(DownstreamId, Bytes),
    /// Send a line to a viewer that has closed the connection, in case it closed only its sending half and
    /// still reads.
    SendDownstreamAfterClose(DownstreamId, Bytes),
    /// Close a viewer's connection.
    CloseDownstream(DownstreamId),
    /// Close a viewer's connection unless something has been received on it meanwhile. It counts as open
    /// until its close is reported.
    CloseDownstreamIfIdle(DownstreamId),
    /// Close the listener. Connections that it has accepted by then are still reported.
    StopListening,
    /// Connect to a node.
    ConnectUpstream(UpstreamId, SocketAddr),
    /// Send a line to a node.
    SendUpstream(UpstreamId, Bytes),
    /// Close a connection to a node.
    CloseUpstream(UpstreamId),
}

/// Time between the first health check that passes, or the first request, and the engine's first round.
/// Viewers hand over playing sessions as soon as that check has passed; the engine is to know of them
/// together with its first node list.
const ENGINE_START_DELAY_SECONDS: f64 = 0.1;
/// Interval of the checks of connections and nodes.
const CHECK_INTERVAL_SECONDS: f64 = 0.25;
/// Part of the setup timeout that is reserved for the transmission of the answer, in milliseconds.
const ANSWER_MARGIN_MS: f64 = 20.0;
/// Maximum number of queued SETUP requests handled in one call, so that closes and cancellations are
/// processed between the requests of a flood.
const MAX_SETUPS_PER_CALL: usize = 32;
/// Descriptors that the process needs for itself: standard streams, the runtime, the listener, and the event
/// bus at its old and its new address.
const RESERVED_DESCRIPTORS: usize = 14;
/// Number of tags of ended sessions that are kept for each entry of other kinds.
const RECENT_TAGS_PER_OUTSTANDING: usize = 4;
/// Time after the start of a process within which sessions are handed over to it.
pub(crate) const HANDOVER_PERIOD_SECONDS: f64 = 30.0;

/// An outstanding SETUP of a session at one node.
pub(crate) struct Attempt {
    pub setup: SetupNumber,
    pub node: NodeId,
    pub rung: Rung,
    pub deadline: Instant,
    /// The connection on which the SETUP was sent, and when; `None` while it waits for a connection.
    pub sent: Option<(UpstreamId, Instant)>,
}

/// A session from its request to its end.
pub(crate) struct SessionState {
    pub tag: Tag,
    /// The connection on which the session was requested.
    pub downstream: DownstreamId,
    pub client: IpAddr,
    /// Contents of the session's SETUPs; `None` once it is answered or plays.
    pub request: Option<Box<HeldRequest>>,
    pub attempt: Option<Attempt>,
    /// At least one SETUP has been sent, so the session may have started at a node.
    pub setup_sent: bool,
    /// The node where the session plays, and since when.
    pub playing_at: Option<(NodeId, Instant)>,
    /// The process of the node at which the session plays; `None` if the session was handed over and the node has
    /// not named it since.
    pub process: Option<ProcessId>,
    /// The answer for the viewer with the node's session description, until it is sent.
    pub started_line: Option<Bytes>,
    /// The answer has been sent, or no one waits for one.
    pub answered: bool,
    /// The release of a session that has ended before its answer was sent: the viewer gets it after the answer.
    release_after_answer: Option<Bytes>,
}

/// Connects viewers' connections, the engine and nodes' connections. See the [module documentation](self).
pub struct Gateway {
    pub(crate) site: DirectorSettings,
    engine_config: EngineConfig,
    pub(crate) limits: ResourceLimits,
    engine: Option<Engine>,
    /// When the engine starts, once that is scheduled.
    engine_start_at: Option<Instant>,
    pub(crate) inputs: Vec<Input>,
    pub(crate) actions: Vec<Action>,
    pub(crate) sessions: BTreeMap<SessionId, SessionState>,
    pub(crate) session_by_tag: BTreeMap<Tag, SessionId>,
    next_session: u64,
    setup_queue: SetupQueue,
    /// The bytes of all requests that have no answer.
    request_bytes: ByteBudget,
    downstreams: BTreeMap<DownstreamId, DownstreamConnection>,
    /// Descriptors available to connections of viewers and of nodes.
    descriptor_limits: [usize; 2],
    release_notices: VecDeque<ReleaseNotice>,
    pub(crate) nodes: BTreeMap<NodeId, NodeState>,
    pub(crate) upstreams: BTreeMap<UpstreamId, UpstreamConnection>,
    pub(crate) next_upstream: u64,
    /// The bytes of the lines that are queued on connections to nodes.
    pub(crate) upstream_line_bytes: ByteBudget,
    /// Bytes of the SETUPs that the call of [`Gateway::process`] in progress sends.
    pub(crate) setup_bytes_in_call: usize,
    pub(crate) next_health_check: u64,
    /// Connections to nodes that this side closed, until their end is reported.
    pub(crate) closing_upstreams: BTreeMap<UpstreamId, NodeId>,
    /// Sent SETUPs that were cancelled and that the node may still start, oldest first.
    pub(crate) cancelled_setups: VecDeque<(NodeId, Tag)>,
    next_check_at: Instant,
    pub(crate) created_at: Instant,
    early_ends: EarlyEnds,
    recent_tags: RecentTags,
    /// The time of the call of [`Gateway::process`] in progress.
    now: Instant,
    pub(crate) orphaned_releases: OrphanedReleases,
    shutdown: Option<Shutdown>,
    /// When connections are closed next during a shutdown.
    next_shutdown_check_at: Instant,
}

impl Gateway {
    /// Creates a gateway without connections. The engine starts after the first passed health check or
    /// request.
    pub fn new(config: &Config, now: Instant) -> Gateway {
        let site = config.site.clone();
        let limits = ResourceLimits::of(config.limits.memory_mb);
        let descriptors = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let engine_config = EngineConfig {
            director: site.director.clone(),
            answer_margin: Span::from_ms(ANSWER_MARGIN_MS),
            probe_timeout: site.connect_timeout,
            max_sessions: limits.sessions,
            admission: None,
        };
        Gateway {
            engine_config,
            limits,
            engine: None,
            engine_start_at: None,
            inputs: Vec::new(),
            actions: Vec::new(),
            sessions: BTreeMap::new(),
            session_by_tag: BTreeMap::new(),
            next_session: 0,
            setup_queue: SetupQueue::default(),
            request_bytes: ByteBudget::new(limits.request_bytes),
            downstreams: BTreeMap::new(),
            descriptor_limits: [descriptors.div_ceil(2), descriptors / 2],
            release_notices: VecDeque::new(),
            nodes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            next_upstream: 0,
            upstream_line_bytes: ByteBudget::new(limits.line_bytes),
            setup_bytes_in_call: 0,
            next_health_check: site.director.seed,
            closing_upstreams: BTreeMap::new(),
            cancelled_setups: VecDeque::new(),
            next_check_at: now,
            created_at: now,
            early_ends: EarlyEnds::default(),
            recent_tags: RecentTags::new(limits.outstanding * RECENT_TAGS_PER_OUTSTANDING),
            now,
            orphaned_releases: OrphanedReleases::default(),
            shutdown: None,
            next_shutdown_check_at: now,
            site,
        }
    }

    /// Returns the engine's counters, once it has started.
    pub fn tally(&self) -> Option<&Tally> {
        self.engine.as_ref().map(Engine::tally)
    }

    /// Returns the limits on what other parties can make grow.
    pub fn resource_limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// Returns the maximum numbers of descriptors for connections of viewers and of nodes, including
    /// connections that are being closed.
    pub fn descriptor_limits(&self) -> [usize; 2] {
        self.descriptor_limits
    }

    /// Returns the numbers of sessions, of viewers' connections, of nodes, and of connections to nodes.
    pub fn sizes(&self) -> [usize; 4] {
        [self.sessions.len(), self.downstreams.len(), self.nodes.len(), self.upstreams.len()]
    }

    /// Returns the budget of the lines that are queued on connections to nodes.
    pub fn upstream_line_bytes(&self) -> &ByteBudget {
        &self.upstream_line_bytes
    }

    /// Returns the number of queued SETUP requests, and the bytes of all requests that have no answer.
    pub fn held_requests(&self) -> (usize, usize) {
        (self.setup_queue.len(), self.request_bytes.used())
    }

    /// Returns when [`Gateway::process`] must be called next, even if no event occurs.
    pub fn next_deadline(&self) -> Instant {
        let engine = self.engine.as_ref().and_then(Engine::next_deadline);
        let queued = (!self.setup_queue.is_empty()).then_some(Instant::LONG_AGO);
        let shutdown = self.shutdown.map(|_| self.next_shutdown_check_at);
        [Some(self.next_check_at), self.engine_start_at, queued, engine, shutdown]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_check_at)
    }

    /// Handles events in their order and then everything that is due, and returns what is to be done.
    pub fn process(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.setup_bytes_in_call = 0;
        self.now = now;
        // New upstream connections are handled last: they send what waits for them, and a viewer that leaves
        // in the same call needs nothing sent.
        let mut connected = Vec::new();
        for event in events {
            match event {
                Event::UpstreamConnected(upstream) => connected.push(upstream),
                event => self.handle_event(now, event),
            }
        }
        connected.into_iter().for_each(|upstream| self.upstream_connected(now, upstream));
        for _ in 0..MAX_SETUPS_PER_CALL {
            let Some(setup) = self.setup_queue.pop() else { break };
            self.handle_setup(now, setup);
        }
        if now >= self.next_check_at {
            self.next_check_at = now + Span::from_secs(CHECK_INTERVAL_SECONDS);
            self.check_downstreams(now);
            self.expire_release_notices(now);
            self.check_nodes(now);
        }
        if self.engine_start_at.is_some_and(|at| at <= now) {
            self.engine_start_at = None;
            self.engine = Some(Engine::new(self.engine_config.clone(), now));
        }
        while let Some(engine) = &mut self.engine {
            if self.inputs.is_empty() && engine.next_deadline().is_none_or(|due| due > now) {
                break;
            }
            for effect in engine.round(now, std::mem::take(&mut self.inputs)) {
                self.apply_effect(now, effect);
            }
        }
        self.advance_shutdown(now);
        self.actions.iter().for_each(|action| trace!(?action, "action"));
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::DownstreamOpened(downstream, client) => self.downstream_opened(now, downstream, client),
            Event::DownstreamMessage(downstream, message) => {
                self.downstream_message(now, downstream, message)
            }
            Event::DownstreamClosed(downstream, unwritten) => {
                self.downstream_closed(downstream);
                unwritten.into_iter().for_each(|line| self.downstream_undelivered(now, downstream, line));
            }
            Event::DownstreamUndelivered(downstream, line) => {
                self.downstream_closed(downstream);
                self.downstream_undelivered(now, downstream, line);
            }
            Event::UpstreamConnected(upstream) => self.upstream_connected(now, upstream),
            Event::UpstreamMessage(upstream, message) => self.upstream_message(now, upstream, message),
            Event::UpstreamClosed(upstream, reason, unwritten) => {
                let node = self.upstreams.get(&upstream).map(|connection| connection.node);
                self.closing_upstreams.extend(node.map(|node| (upstream, node)));
                // Unwritten lines are queued first, as they decide whether another connection is needed.
                self.upstream_undelivered(now, upstream, unwritten);
                self.upstream_closed(now, upstream, reason);
                self.closing_upstreams.remove(&upstream);
            }
            Event::UpstreamUndelivered(upstream, line) => {
                self.abandon_upstream(now, upstream);
                self.upstream_undelivered(now, upstream, vec![line]);
            }
            Event::DiscoveryUpdates(updates) => {
                updates.into_iter().for_each(|update| self.apply_discovery_update(now, update))
            }
            Event::DrainStarted => self.start_shutdown(now),
        }
    }

    fn apply_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::SendSetup { session, setup, node, rung, deadline: until } => {
                self.start_attempt(now, session, Attempt { setup, node, rung, deadline: until, sent: None });
            }
            Effect::CancelSetup { session, setup, if_unsent } => {
                self.cancel_attempt(now, session, setup, if_unsent)
            }
            Effect::Respond { session, response: answer } => self.send_answer(now, session, answer),
            Effect::ChangeRung { session, rung } => self.change_rung(now, session, rung),
            Effect::ReleaseSession { session } => self.release_session(now, session),
            Effect::ReconnectViewer { session } => {
                let tag = self.sessions.get(&session).map(|state| state.tag);
                if let Some(line) = tag.and_then(|tag| message::encode(Verb::Move, tag, &[], None, None)) {
                    self.send_to_viewer(session, line);
                }
                self.release_session(now, session);
                self.inputs.push(Input::SessionEnded { session, outcome: AttemptOutcome::Cancelled });
            }
            Effect::SendProbe { probe, node } => self.start_probe(now, probe, node),
            Effect::DiscoveryResult { .. } | Effect::Drained => {}
        }
    }

    fn schedule_engine_start(&mut self, now: Instant) {
        if self.engine.is_none() && self.engine_start_at.is_none() {
            self.engine_start_at = Some(now + Span::from_secs(ENGINE_START_DELAY_SECONDS));
        }
    }

    /// Answers a request with a release.
    fn refuse(&mut self, downstream: DownstreamId, tag: Tag, cause: u16) {
        debug!(%tag, link = downstream.0, cause, "request refused");
        let line = message::encode(Verb::Finish, tag, &[], Some(cause), None);
        self.actions.extend(line.map(|line| Action::SendDownstream(downstream, line)));
    }

    /// Creates a session that awaits its answer, or one that already plays if `playing_at` is given.
    fn create_session(
        &mut self,
        now: Instant,
        downstream: DownstreamId,
        tag: Tag,
        request: Option<Box<HeldRequest>>,
        playing_at: Option<(NodeId, Instant)>,
    ) -> Option<SessionId> {
        let connection = self.downstreams.get_mut(&downstream)?;
        let (session, client, answered) =
            (SessionId(self.next_session), connection.client, playing_at.is_some());
        self.next_session += 1;
        let sessions = if answered { &mut connection.playing } else { &mut connection.pending };
        sessions.insert(session);
        self.mark_useful(now, downstream);
        let state = SessionState {
            tag,
            downstream,
            client,
            request,
            attempt: None,
            setup_sent: false,
            playing_at,
            process: None,
            started_line: None,
            answered,
            release_after_answer: None,
        };
        self.sessions.insert(session, state);
        self.session_by_tag.insert(tag, session);
        let draining_ms = self.draining_ms(now);
        debug!(%tag, link = downstream.0, draining_ms, "session created");
        Some(session)
    }

    /// Takes over a session that already plays at the node `name`.
    fn adopt_session(
        &mut self,
        now: Instant,
        downstream: DownstreamId,
        tag: Tag,
        request: &SetupRequest,
        name: &str,
    ) {
        let node = node_id(name);
        if self.nodes.get(&node).is_some_and(|node_state| node_state.removed) {
            // The node is gone and will never report the session's end.
            return self.refuse(downstream, tag, causes::release_cause(AttemptOutcome::Lost));
        }
        if !self.has_room_for_session(downstream) {
            return self.refuse(downstream, tag, causes::CONGESTION);
        }
        self.ensure_node(now, node, name);
        let Some(session) = self.create_session(now, downstream, tag, None, Some((node, now))) else {
            return;
        };
        self.inputs.push(Input::SessionHandedOver { session, request: request.viewer_request, node });
        self.session_plays(now, session, node);
        match self.early_ends.take(now, tag) {
            Some(EarlyEnd::Viewer) => self.viewer_left(session),
            Some(EarlyEnd::Node { node: ended_at, cause }) if ended_at == node => {
                let (outcome, notify_viewer) = causes::session_outcome(cause);
                self.end_session(now, session, outcome, notify_viewer);
            }
            _ => {}
        }
    }

    /// Keeps the end of a session that may still be handed over to this process.
    pub(crate) fn keep_early_end(&mut self, now: Instant, tag: Tag, end: EarlyEnd) {
        if now - self.created_at > Span::from_secs(HANDOVER_PERIOD_SECONDS) {
            return;
        }
        if self.early_ends.keep(now, tag, end, self.limits.outstanding) {
            warn!(%tag, "too many ends of unknown sessions; this and further ones don't apply to handovers");
        }
    }

    /// Handles the viewer's side of the end of a session: it cancelled the request, ended the session or
    /// disconnected.
    fn viewer_left(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        debug!(tag = %state.tag, answered = state.answered, "viewer left or ended its session");
        (state.answered, state.request) = (true, None);
        let downstream = state.downstream;
        if let Some(connection) = self.downstreams.get_mut(&downstream) {
            connection.pending.remove(&session);
        }
        self.inputs.push(Input::ViewerLeft { session });
        self.cancel_unsent_attempt(session);
        self.remove_if_finished(session);
    }

    /// Sends the one answer to the session's request, and the release if the session has ended meanwhile.
    fn send_answer(&mut self, now: Instant, session: SessionId, answer: SessionResponse) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        if std::mem::replace(&mut state.answered, true) {
            // The viewer has left in the same call, so that no answer is owed.
            return self.remove_if_finished(session);
        }
        state.request = None;
        let (tag, client, downstream) = (state.tag, state.client, state.downstream);
        let plays = matches!(answer, SessionResponse::Plays { .. });
        let still_plays = plays && state.playing_at.is_some();
        // A viewer that is refused knows of no session that could be released.
        let release = state.release_after_answer.take().filter(|_| plays);
        let line = state.started_line.take().filter(|_| plays).or_else(|| {
            let cause = causes::answer_cause(&answer, state.setup_sent);
            message::encode(Verb::Finish, tag, &[], Some(cause), None)
        });
        if let Some(connection) = self.downstreams.get_mut(&downstream) {
            connection.pending.remove(&session);
            connection.idle_since = now;
            connection.playing.extend(still_plays.then_some(session));
        }
        let draining_ms = self.draining_ms(now);
        debug!(%tag, link = downstream.0, ?answer, draining_ms, "request answered");
        self.actions.extend(line.map(|line| Action::SendDownstream(downstream, line)));
        if let Some(release) = release {
            self.send_release_notice(now, client, Some(downstream), release);
        }
        self.remove_if_finished(session);
    }

    /// Ends a playing session: sends a release to its viewer, if `notify_viewer`, and removes the session's
    /// state. If the viewer has no answer yet, both wait for the answer.
    pub(crate) fn end_session(
        &mut self,
        now: Instant,
        session: SessionId,
        outcome: AttemptOutcome,
        notify_viewer: bool,
    ) {
        self.inputs.push(Input::SessionEnded { session, outcome });
        let Some(state) = self.sessions.get_mut(&session) else { return };
        let (tag, client, downstream, answered) = (state.tag, state.client, state.downstream, state.answered);
        debug!(%tag, ?outcome, notify_viewer, answered, "playing session ended");
        let line = message::encode(Verb::Finish, tag, &[], Some(causes::release_cause(outcome)), None)
            .filter(|_| notify_viewer);
        match line {
            Some(line) if answered => self.send_release_notice(now, client, Some(downstream), line),
            // The answer is an effect of the engine's next round.
            line => state.release_after_answer = line,
        }
        self.clear_playing(session);
        self.remove_if_finished(session);
    }

    /// Records that the session no longer plays at its node.
    pub(crate) fn clear_playing(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        let Some((node, _)) = state.playing_at.take() else { return };
        if let Some(node_state) = self.nodes.get_mut(&node) {
            node_state.playing.remove(&session);
        }
        if let Some(connection) = self.downstreams.get_mut(&state.downstream) {
            connection.playing.remove(&session);
        }
    }

    /// Removes a session that is answered, has no outstanding SETUP and does not play.
    pub(crate) fn remove_if_finished(&mut self, session: SessionId) {
        let is_finished =
            |state: &SessionState| state.answered && state.attempt.is_none() && state.playing_at.is_none();
        if self.sessions.get(&session).is_some_and(is_finished)
            && let Some(state) = self.sessions.remove(&session)
        {
            self.session_by_tag.remove(&state.tag);
            if state.setup_sent {
                self.recent_tags.keep(self.now, state.tag);
            }
        }
    }
}
