//! The engine: handles inputs and timers, runs the policy and collects the effects of each round.

use std::collections::{BTreeMap, BTreeSet};

use ashglade::ids::{NodeId, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, DirectorConfig, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use ashglade_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
};
use ashglade_catalogue::MissingTitles;
use ashglade_discovery::{Membership, NodeList, NodeState};

use crate::decision_sink::EffectSink;
use crate::delivery::DeliveryTotals;
use crate::messages::{
    BusyReason, Effect, Input, LeaseExpiry, LoadReport, NodeStatus, NodeUpdate, SessionResponse,
    ViewerRequest,
};
use crate::sessions::{SessionState, SessionTable, Tally};
use crate::setups::{Acceptance, CancelReason, PendingSetup};
use crate::timers::{Timer, TimerQueue};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub director: DirectorConfig,
    /// Part of each setup timeout that is reserved for delivering the response to the viewer.
    pub answer_margin: Span,
    pub probe_timeout: Span,
    /// Maximum number of concurrent sessions, including those being set up.
    pub max_sessions: usize,
    /// The admission queue; `None` admits all requests at once.
    pub admission: Option<AdmissionConfig>,
}

/// Maximum number of remembered titles that nodes don't hold.
const MAX_MISSING_TITLES: usize = 65_536;
/// The time after which a missing title is tried at its node again.
const MISSING_TITLE_TTL_SECONDS: f64 = 300.0;
/// The interval at which delivery ratios are reported to the policy.
const DELIVERY_REPORT_INTERVAL_SECONDS: f64 = 1.0;

/// The state machine of one director. See the crate documentation.
pub struct Engine {
    policy: Director,
    config: EngineConfig,
    membership: Membership,
    /// Nodes that the discovery updates so far report as ready.
    ready_nodes: BTreeSet<NodeId>,
    admission: Option<AdmissionController>,
    missing_titles: MissingTitles,
    sessions: SessionTable,
    timers: TimerQueue,
    delivery: DeliveryTotals,
    /// Nodes of the outstanding probes, by probe number.
    probes: BTreeMap<u64, NodeId>,
    next_probe: u64,
    /// When the earliest admission timer fires.
    admission_due: Option<Instant>,
    draining: bool,
    drained: bool,
    /// When all requests must be answered, whatever their timeouts.
    answers_due: Option<Instant>,
    slow_start_turns: Vec<usize>,
    slow_start_turn_total: usize,
    slow_start_lease: Option<LeaseExpiry>,
    retry_window: Span,
    retry_lease: Option<LeaseExpiry>,
    setup_results: Vec<SetupResult>,
}

/// The result of one SETUP at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetupResult {
    pub node: NodeId,
    /// How the SETUP failed; `None` if it started a session.
    pub failure: Option<AttemptOutcome>,
}

/// An event to report to the policy in this round.
enum PolicyEvent {
    Snapshot,
    /// Node updates, and whether they cover all nodes.
    Update(bool, Vec<NodeUpdate>),
    SessionHandedOver(SessionId, SessionRequest, NodeId),
    NodeKeptRunning(NodeId),
    /// The turns that this director owns, and their total.
    SlowStartTurns(Vec<usize>, usize),
    RetryLimitPerNode(usize, Span),
    SuspectedNodes(Vec<NodeId>),
    SessionRequested(SessionId, SessionRequest),
    ViewerLeft(SessionId),
    SetupAccepted(SessionId, SetupNumber, NodeId),
    /// The outcome of a SETUP or of a playing session, and whether the session is over with it.
    AttemptEnded(SessionId, SetupNumber, NodeId, AttemptOutcome, bool),
    /// No SETUP may be sent or waited for after this time.
    DeadlineLimit(Instant),
    RungUnchanged(SessionId, ashglade::ids::Rung),
    NodeDelivery(NodeId, f64),
    NodeLoad(NodeId, LoadReport),
    /// A probe has finished, and whether the node answered it.
    ProbeFinished(NodeId, bool),
    TimerFired(ashglade::ids::TimerId),
}

impl Engine {
    /// Creates an engine that starts at `now`.
    pub fn new(config: EngineConfig, now: Instant) -> Engine {
        let mut timers = TimerQueue::default();
        timers.schedule(now + Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS), Timer::DeliveryReport);
        Engine {
            policy: Director::new(&config.director, now),
            admission: config.admission.clone().map(|config| AdmissionController::new(config, now)),
            config,
            membership: Membership::default(),
            ready_nodes: BTreeSet::new(),
            missing_titles: MissingTitles::new(
                MAX_MISSING_TITLES,
                Span::from_secs(MISSING_TITLE_TTL_SECONDS),
            ),
            sessions: SessionTable::default(),
            timers,
            delivery: DeliveryTotals::default(),
            probes: BTreeMap::new(),
            next_probe: 0,
            admission_due: None,
            draining: false,
            drained: false,
            answers_due: None,
            slow_start_turns: Vec::new(),
            slow_start_turn_total: 0,
            slow_start_lease: None,
            retry_window: Span::ZERO,
            retry_lease: None,
            setup_results: Vec::new(),
        }
    }

    /// Returns the results of SETUPs in the last round, which are shared with the other directors.
    pub fn setup_results(&self) -> &[SetupResult] {
        &self.setup_results
    }

    /// Returns when the next round is due if no input arrives before.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers.next_deadline()
    }

    /// Returns the number of timers, including those that no longer apply and have not been removed yet.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Returns the counters since the start.
    pub fn tally(&self) -> &Tally {
        &self.sessions.tally
    }

    /// Returns the number of sessions, including those being set up.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the nodes that discovery has reported.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Runs one round: handles the inputs in order, then the timers that are due, then lets the policy decide
    /// once. Returns the effects in the order in which they have to be carried out.
    pub fn round(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut events = Vec::new();
        self.setup_results.clear();
        for input in inputs {
            self.handle_input(now, input, &mut events, &mut effects);
        }
        self.expire_leases(now, &mut events);
        // Inputs come before timers: after a pause of the process, an outcome that arrived meanwhile counts
        // rather than the timeout it would have met.
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(now, timer, &mut events, &mut effects);
        }
        self.poll_admission(now, &mut events, &mut effects);
        let mut sink = EffectSink {
            now,
            sessions: &mut self.sessions,
            timers: &mut self.timers,
            effects: &mut effects,
            probes: &mut self.probes,
            next_probe: &mut self.next_probe,
            probe_timeout: self.config.probe_timeout,
            missing_titles: &self.missing_titles,
        };
        let membership = &self.membership;
        self.policy.run_round(
            now,
            |round| events.iter().for_each(|e| report(round, membership, e)),
            &mut sink,
        );
        self.complete_admissions(now, &effects);
        self.compact_timers();
        if self.draining && !self.drained && self.sessions.is_empty() {
            self.drained = true;
            effects.push(Effect::Drained);
        }
        effects
    }

    /// Removes timers of requests that have been answered, and of SETUPs and probes that have ended.
    fn compact_timers(&mut self) {
        let (sessions, probes) = (&self.sessions, &self.probes);
        let is_pending = |session, setup| {
            let pending = sessions.get(session).and_then(|state| state.pending_setup.as_ref());
            pending.is_some_and(|pending| pending.number == setup)
        };
        self.timers.compact(|timer| match timer {
            Timer::SetupDeadline(session, setup)
            | Timer::CancelGrace(session, setup)
            | Timer::TitleMissing(session, setup) => is_pending(session, setup),
            Timer::ResponseDeadline(session) => {
                sessions.get(session).is_some_and(|state| !state.answered && !state.viewer_left)
            }
            Timer::ProbeTimeout(probe) => probes.contains_key(&probe),
            Timer::Policy(_) | Timer::Admission | Timer::DeliveryReport => true,
        });
    }

    /// Gives up rights whose lease has expired, whether or not an input has reported the expiry yet.
    fn expire_leases(&mut self, now: Instant, events: &mut Vec<PolicyEvent>) {
        if let Some(lease) = self.slow_start_lease.take_if(|lease| lease.at <= now) {
            self.slow_start_turns.truncate(lease.retained);
            events
                .push(PolicyEvent::SlowStartTurns(self.slow_start_turns.clone(), self.slow_start_turn_total));
        }
        if let Some(lease) = self.retry_lease.take_if(|lease| lease.at <= now) {
            events.push(PolicyEvent::RetryLimitPerNode(lease.retained, self.retry_window));
        }
    }

    /// Passes admitted requests on to the policy and answers rejected ones.
    fn poll_admission(&mut self, now: Instant, events: &mut Vec<PolicyEvent>, effects: &mut Vec<Effect>) {
        let Some(admission) = &mut self.admission else { return };
        for decision in admission.poll(now) {
            match decision {
                AdmissionDecision::Admit { session, .. } => {
                    let Some(state) = self.sessions.get_mut(session) else { continue };
                    let Some(request) = state.queued_request.take() else { continue };
                    // The rest of the setup timeout, less the full answer margin: the response deadline has
                    // only half of the margin deducted.
                    let remaining = state.response_deadline - self.config.answer_margin * 0.5 - now;
                    events.push(PolicyEvent::SessionRequested(session, policy_request(request, remaining)));
                }
                AdmissionDecision::Reject { session, retry_after, reason } => {
                    let response = SessionResponse::Busy { retry_after, why: BusyReason::Door(reason) };
                    if self.sessions.record_response(session, &response) {
                        effects.push(Effect::Respond { session, response });
                    }
                }
            }
        }
    }

    /// Reports the responses of this round to the admission queue, and schedules its next poll.
    fn complete_admissions(&mut self, now: Instant, effects: &[Effect]) {
        let Some(admission) = &mut self.admission else { return };
        for effect in effects {
            if let Effect::Respond { session, response } = effect {
                let outcome = match response {
                    SessionResponse::Plays { .. } => SetupOutcome::Started,
                    SessionResponse::Busy { .. } => SetupOutcome::Busy,
                    SessionResponse::TornDown => SetupOutcome::Other,
                };
                admission.complete(*session, outcome, now);
            }
        }
        if let Some(at) = admission.next_deadline(now) {
            // Without this check each round would schedule a timer of its own.
            if self.admission_due.is_none_or(|due| at < due) {
                self.admission_due = Some(at);
                self.timers.schedule(at, Timer::Admission);
            }
        }
    }

    /// Returns the admission queue, if one is configured.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    fn handle_input(
        &mut self,
        now: Instant,
        input: Input,
        events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match input {
            Input::DiscoverySnapshot(list) => self.handle_snapshot(list, events, effects),
            Input::DiscoveryUpdate { full, nodes } => {
                if full {
                    self.ready_nodes.clear();
                }
                for update in &nodes {
                    if matches!(update.status, NodeStatus::Ready(_)) {
                        self.ready_nodes.insert(update.node);
                    } else {
                        self.ready_nodes.remove(&update.node);
                    }
                }
                events.push(PolicyEvent::Update(full, nodes));
                let ready_nodes = std::mem::take(&mut self.ready_nodes);
                self.cancel_unsent(|node| ready_nodes.contains(&node), effects);
                self.ready_nodes = ready_nodes;
            }
            Input::SessionHandedOver { session, request, node } => {
                if self.sessions.len() < self.config.max_sessions {
                    let answered = true;
                    let state = SessionState {
                        answered,
                        setup_count: 1,
                        playing_node: Some(node),
                        ..self.new_session(now, &request)
                    };
                    self.sessions.insert(session, state);
                    events.push(PolicyEvent::SessionHandedOver(
                        session,
                        policy_request(request, Span::ZERO),
                        node,
                    ));
                }
            }
            Input::NodeKeptRunning { node } => events.push(PolicyEvent::NodeKeptRunning(node)),
            Input::NodeDelivery { node, share } => events.push(PolicyEvent::NodeDelivery(node, share)),
            Input::SessionRequested { session, request } => {
                self.handle_request(now, session, request, events, effects)
            }
            Input::ViewerLeft { session } => self.handle_viewer_left(now, session, events, effects),
            Input::SetupWritten { session, setup } => {
                if let Some(pending) = self.pending_setup_mut(session, setup) {
                    pending.written = true;
                }
            }
            Input::SetupAccepted { session, setup, load } => {
                self.handle_setup_accepted(session, setup, load, events, effects)
            }
            Input::SetupFailed { session, setup, outcome, load } => {
                let Some(pending) = self.pending_setup_mut(session, setup) else { return };
                let (node, outcome) = (pending.node, pending.effective_outcome(outcome));
                if let Some(load) = load {
                    events.push(PolicyEvent::NodeLoad(node, load));
                }
                self.finish_setup(session, setup, node, outcome, events);
            }
            Input::TitleMissing { session, setup, load } => {
                let Some(node) = self.pending_setup_mut(session, setup).map(|pending| pending.node) else {
                    return;
                };
                if let Some(title) = self.sessions.get(session).map(|state| state.title) {
                    self.missing_titles.record(node, title, now);
                }
                self.sessions.tally.missing += 1;
                events.extend(load.map(|load| PolicyEvent::NodeLoad(node, load)));
                self.finish_without_title(session, setup, node, events);
            }
            Input::SessionEnded { session, outcome } => {
                let Some((node, setups)) = self
                    .sessions
                    .get(session)
                    .and_then(|state| Some((state.playing_node?, state.setup_count)))
                else {
                    return;
                };
                self.sessions.tally.broken += 1;
                self.sessions.remove(session);
                events.push(PolicyEvent::AttemptEnded(
                    session,
                    SetupNumber(setups.saturating_sub(1)),
                    node,
                    outcome,
                    true,
                ));
            }
            Input::RungUnchanged { session, rung } => {
                if let Some(state) = self.sessions.get_mut(session) {
                    state.rung = rung;
                    events.push(PolicyEvent::RungUnchanged(session, rung));
                }
            }
            Input::SessionDelivery { session, share } => {
                if let Some(state) = self.sessions.get(session)
                    && let Some(node) = state.playing_node
                {
                    let scale = self.config.director.groups.get(state.group.0).map_or(1.0, |g| g.rate_scale);
                    let rung = self.config.director.ladder.get(usize::from(state.rung.0));
                    self.delivery.add(node, rung.map_or(0.0, |&(kb, _)| kb) * scale, share);
                }
            }
            Input::NodeLoad { node, load } => events.push(PolicyEvent::NodeLoad(node, load)),
            Input::ProbeResult { probe, load } => {
                if let Some(node) = self.probes.remove(&probe) {
                    events.extend(load.map(|load| PolicyEvent::NodeLoad(node, load)));
                    events.push(PolicyEvent::ProbeFinished(node, load.is_some()));
                }
            }
            Input::SlowStartTurns { owned, total, lease_expiry } => {
                (self.slow_start_turns, self.slow_start_turn_total, self.slow_start_lease) =
                    (owned.clone(), total, lease_expiry);
                events.push(PolicyEvent::SlowStartTurns(owned, total));
            }
            Input::RetryLimitPerNode { limit, window, lease_expiry } => {
                (self.retry_window, self.retry_lease) = (window, lease_expiry);
                events.push(PolicyEvent::RetryLimitPerNode(limit, window));
            }
            Input::SuspectedNodes { nodes } => events.push(PolicyEvent::SuspectedNodes(nodes)),
            Input::Drain => self.draining = true,
            Input::AnswerBy { deadline } => self.limit_response_deadlines(deadline, events),
        }
    }

    /// Brings the response deadlines of all unanswered requests forward, where they are later.
    fn limit_response_deadlines(&mut self, deadline: Instant, events: &mut Vec<PolicyEvent>) {
        self.answers_due = Some(deadline);
        let latest = deadline - self.config.answer_margin * 0.5;
        for (session, state) in self.sessions.iter_mut() {
            if !state.answered && state.response_deadline > latest {
                state.response_deadline = latest;
                self.timers.schedule(latest, Timer::ResponseDeadline(session));
            }
        }
        events.push(PolicyEvent::DeadlineLimit(latest - self.config.answer_margin * 0.5));
    }

    /// Returns the session's pending SETUP if it has this number.
    fn pending_setup_mut(&mut self, session: SessionId, setup: SetupNumber) -> Option<&mut PendingSetup> {
        self.sessions.get_mut(session)?.pending_setup.as_mut().filter(|pending| pending.number == setup)
    }

    fn handle_snapshot(&mut self, list: NodeList, events: &mut Vec<PolicyEvent>, effects: &mut Vec<Effect>) {
        // A node that has restarted may hold other titles now.
        for entry in &list.entries {
            let node = entry.node_id();
            let known = self.membership.entry(node).map(|before| before.info.started);
            if known.is_some_and(|before| before != entry.info.started) {
                self.missing_titles.node_started(node);
            }
        }
        let rejection = match self.membership.update(list) {
            Ok(None) => return,
            Ok(Some(_)) => {
                events.push(PolicyEvent::Snapshot);
                let membership = std::mem::take(&mut self.membership);
                let ready = |node| membership.entry(node).is_some_and(|e| e.state == NodeState::Ready);
                self.cancel_unsent(ready, effects);
                self.membership = membership;
                None
            }
            Err(error) => Some(error.to_string()),
        };
        let generation = self.membership.list().map_or(0, |list| list.generation);
        effects.push(Effect::DiscoveryResult { generation, rejection });
    }

    /// Cancels unsent SETUPs to nodes that are no longer ready. While they wait for a connection, the node's
    /// drain grace period may end. SETUPs of which a byte was written continue.
    fn cancel_unsent(&mut self, ready: impl Fn(NodeId) -> bool, effects: &mut Vec<Effect>) {
        for (session, state) in self.sessions.iter_mut() {
            let Some(pending) = &mut state.pending_setup else { continue };
            if !ready(pending.node)
                && !pending.written
                && pending.cancelled.is_none()
                && pending.cancel(CancelReason::NodeDraining)
            {
                effects.push(Effect::CancelSetup { session, setup: pending.number, if_unsent: true });
            }
        }
    }

    fn handle_request(
        &mut self,
        now: Instant,
        session: SessionId,
        request: ViewerRequest,
        events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        self.sessions.tally.asked += 1;
        let full = self.sessions.len() >= self.config.max_sessions;
        if full || self.draining {
            self.sessions.tally.over_bound += u64::from(full);
            self.sessions.tally.draining += u64::from(self.draining);
            self.sessions.tally.busy += 1;
            let why = if full { BusyReason::TooManySessions } else { BusyReason::Draining };
            let retry_after = self.config.director.max_retry_after;
            effects.push(Effect::Respond { session, response: SessionResponse::Busy { retry_after, why } });
            return;
        }
        let request = ViewerRequest {
            setup_timeout: self
                .answers_due
                .map_or(request.setup_timeout, |due| request.setup_timeout.min(due - now)),
            ..request
        };
        let remaining = request.setup_timeout - self.config.answer_margin;
        let state = self.new_session(now, &request);
        self.timers.schedule(state.response_deadline, Timer::ResponseDeadline(session));
        let group_config = self.config.director.groups.get(request.group.0);
        let state = match (&mut self.admission, group_config) {
            (Some(admission), Some(group_config)) => {
                let ViewerRequest { group, tenant, client, setup_timeout, .. } = request;
                let start_target = group_config.start_target;
                admission.offer(
                    AdmissionRequest { session, group, tenant, client, start_target, setup_timeout },
                    now,
                );
                SessionState { queued_request: Some(request), ..state }
            }
            _ => {
                events.push(PolicyEvent::SessionRequested(session, policy_request(request, remaining)));
                state
            }
        };
        self.sessions.insert(session, state);
    }

    fn new_session(&self, now: Instant, request: &ViewerRequest) -> SessionState {
        SessionState {
            group: request.group,
            title: request.title,
            // Half of the margin allows for the time that the outcome of the last SETUP takes to reach the
            // policy.
            response_deadline: now + request.setup_timeout - self.config.answer_margin * 0.5,
            answered: false,
            viewer_left: false,
            queued_request: None,
            setup_count: 0,
            pending_setup: None,
            playing_node: None,
            rung: self
                .config
                .director
                .groups
                .get(request.group.0)
                .map_or_else(Default::default, |g| g.floor_rung),
        }
    }

    fn handle_viewer_left(
        &mut self,
        now: Instant,
        session: SessionId,
        events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        if state.viewer_left {
            return;
        }
        state.viewer_left = true;
        if let Some(admission) = &mut self.admission {
            if state.queued_request.is_some() {
                // The policy doesn't know the session yet.
                admission.cancel(session);
                self.sessions.tally.left_unanswered += 1;
                self.sessions.remove(session);
                return;
            }
            admission.complete(session, SetupOutcome::Other, now);
        }
        let (unanswered, setups) = (!state.answered, state.setup_count);
        events.push(PolicyEvent::ViewerLeft(session));
        if let Some(node) = state.playing_node {
            effects.push(Effect::ReleaseSession { session });
            events.push(PolicyEvent::AttemptEnded(
                session,
                SetupNumber(setups.saturating_sub(1)),
                node,
                AttemptOutcome::Played,
                true,
            ));
            self.sessions.remove(session);
        } else if state.pending_setup.is_none() {
            self.sessions.remove(session);
        }
        self.sessions.tally.left_unanswered += u64::from(unanswered);
    }

    fn handle_setup_accepted(
        &mut self,
        session: SessionId,
        setup: SetupNumber,
        load: Option<LoadReport>,
        events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending_setup_mut(session, setup) else {
            // The engine has already counted the SETUP as failed.
            self.sessions.tally.too_late += 1;
            effects.push(Effect::ReleaseSession { session });
            return;
        };
        let (node, acceptance) = (pending.node, pending.accepted());
        if let Some(load) = load {
            events.push(PolicyEvent::NodeLoad(node, load));
        }
        match acceptance {
            Acceptance::TooLate(outcome) => {
                self.sessions.tally.too_late += 1;
                effects.push(Effect::ReleaseSession { session });
                self.finish_setup(session, setup, node, outcome, events);
            }
            Acceptance::Plays => {
                let Some(state) = self.sessions.get_mut(session) else { return };
                let rung = state.rung;
                self.missing_titles.forget(node, state.title);
                (state.pending_setup, state.playing_node) = (None, Some(node));
                self.sessions.tally.started += 1;
                self.setup_results.push(SetupResult { node, failure: None });
                events.push(PolicyEvent::SetupAccepted(session, setup, node));
                let response = SessionResponse::Plays { rung };
                if self.sessions.record_response(session, &response) {
                    effects.push(Effect::Respond { session, response });
                } else {
                    // The request was answered at its response deadline, or the viewer has left.
                    effects.push(Effect::ReleaseSession { session });
                    events.push(PolicyEvent::ViewerLeft(session));
                    events.push(PolicyEvent::AttemptEnded(
                        session,
                        setup,
                        node,
                        AttemptOutcome::Cancelled,
                        true,
                    ));
                    self.sessions.remove(session);
                }
            }
        }
    }

    /// Records the outcome of the pending SETUP.
    fn finish_setup(
        &mut self,
        session: SessionId,
        setup: SetupNumber,
        node: NodeId,
        outcome: AttemptOutcome,
        events: &mut Vec<PolicyEvent>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.pending_setup = None;
        let over = state.viewer_left || state.answered;
        if over {
            self.sessions.remove(session);
        }
        let index = match outcome {
            AttemptOutcome::Full => 0,
            AttemptOutcome::Unreachable => 1,
            AttemptOutcome::Unsent => 2,
            AttemptOutcome::Fault => 3,
            AttemptOutcome::Silent => 4,
            AttemptOutcome::Lost => 5,
            AttemptOutcome::Cancelled | AttemptOutcome::Played => 6,
        };
        self.sessions.tally.endings[index] += 1;
        self.setup_results.push(SetupResult { node, failure: Some(outcome) });
        events.push(PolicyEvent::AttemptEnded(session, setup, node, outcome, over));
    }

    /// Records that the pending SETUP failed because its node doesn't hold the title. This proves that
    /// nothing ran, as if the SETUP had not been sent, and says nothing about the node's health.
    fn finish_without_title(
        &mut self,
        session: SessionId,
        setup: SetupNumber,
        node: NodeId,
        events: &mut Vec<PolicyEvent>,
    ) {
        let viewer_left = self
            .pending_setup_mut(session, setup)
            .is_some_and(|pending| pending.cancelled == Some(CancelReason::ViewerLeft));
        let outcome = if viewer_left { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
        self.finish_setup(session, setup, node, outcome, events);
    }

    fn handle_timer(
        &mut self,
        now: Instant,
        timer: Timer,
        events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match timer {
            // Every round polls the admission queue, so the timer only has to cause a round.
            Timer::Admission => self.admission_due = None,
            Timer::Policy(timer) => events.push(PolicyEvent::TimerFired(timer)),
            Timer::SetupDeadline(session, setup) => {
                let Some(pending) = self.pending_setup_mut(session, setup) else { return };
                if pending.cancel(CancelReason::DeadlineExpired) {
                    effects.push(Effect::CancelSetup { session, setup, if_unsent: false });
                }
                // The I/O layer reports within moments whether anything was written. Waiting for it is
                // limited to a part of the answer margin, so that the response is still in time.
                self.timers
                    .schedule(now + self.config.answer_margin * 0.25, Timer::CancelGrace(session, setup));
            }
            Timer::CancelGrace(session, setup) => {
                if let Some(pending) = self.pending_setup_mut(session, setup) {
                    let (node, outcome) = (pending.node, pending.effective_outcome(AttemptOutcome::Silent));
                    self.sessions.tally.untold += 1;
                    self.finish_setup(session, setup, node, outcome, events);
                }
            }
            Timer::ResponseDeadline(session) => {
                let waits = self.sessions.get(session).is_some_and(|state| {
                    !state.answered && !state.viewer_left && state.response_deadline <= now
                });
                if waits {
                    self.sessions.tally.guarded += 1;
                    if self.sessions.get(session).is_some_and(|state| state.queued_request.is_none()) {
                        events.push(PolicyEvent::ViewerLeft(session));
                    } else if let Some(admission) = &mut self.admission {
                        admission.cancel(session);
                    }
                    let pending =
                        self.sessions.get_mut(session).and_then(|state| state.pending_setup.as_mut());
                    if let Some(pending) = pending
                        && pending.cancel(CancelReason::ViewerLeft)
                    {
                        effects.push(Effect::CancelSetup {
                            session,
                            setup: pending.number,
                            if_unsent: false,
                        });
                    }
                    if self.sessions.record_response(session, &SessionResponse::TornDown) {
                        effects.push(Effect::Respond { session, response: SessionResponse::TornDown });
                    }
                }
            }
            Timer::TitleMissing(session, setup) => {
                if let Some(node) = self.pending_setup_mut(session, setup).map(|pending| pending.node) {
                    self.finish_without_title(session, setup, node, events);
                }
            }
            Timer::ProbeTimeout(probe) => {
                if let Some(node) = self.probes.remove(&probe) {
                    events.push(PolicyEvent::ProbeFinished(node, false));
                }
            }
            Timer::DeliveryReport => {
                self.missing_titles.remove_expired(now);
                events
                    .extend(self.delivery.take().map(|(node, share)| PolicyEvent::NodeDelivery(node, share)));
                self.timers
                    .schedule(now + Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS), Timer::DeliveryReport);
            }
        }
    }
}

/// Returns the request as the policy takes it, with the time that is left of the setup timeout.
fn policy_request(request: ViewerRequest, setup_timeout: Span) -> SessionRequest {
    let ViewerRequest { group, title, top_rung, first_cell, cell_count, .. } = request;
    SessionRequest { group, title, top_rung, first_cell, cell_count, setup_timeout }
}

/// Reports one event to the policy.
fn report(round: &mut Round, membership: &Membership, event: &PolicyEvent) {
    match *event {
        PolicyEvent::SlowStartTurns(ref owned, total) => round.set_slow_start_turns(owned, total),
        PolicyEvent::RetryLimitPerNode(limit, window) => round.set_retry_limit_per_node(limit, window),
        PolicyEvent::SuspectedNodes(ref nodes) => round.set_suspected_nodes(nodes),
        PolicyEvent::Snapshot => {
            round.begin_list_snapshot();
            for (&node, entry) in membership.nodes() {
                match entry.state {
                    NodeState::Ready => round.node_ready(node, entry.info),
                    NodeState::Draining | NodeState::Gone => round.node_draining(node),
                }
            }
            round.finish_list();
        }
        PolicyEvent::Update(full, ref nodes) => {
            if full {
                round.begin_list_snapshot();
            } else {
                round.begin_list_update();
            }
            for update in nodes {
                match update.status {
                    NodeStatus::Ready(info) => round.node_ready(update.node, info),
                    NodeStatus::Draining => round.node_draining(update.node),
                    NodeStatus::Gone => round.node_removed(update.node),
                }
            }
            round.finish_list();
        }
        PolicyEvent::NodeKeptRunning(node) => round.node_kept_running(node),
        PolicyEvent::SessionHandedOver(session, request, node) => {
            round.session_handed_over(session, request, node)
        }
        PolicyEvent::SessionRequested(session, request) => round.session_requested(session, request),
        PolicyEvent::DeadlineLimit(latest) => round.limit_deadlines(latest),
        PolicyEvent::ViewerLeft(session) => round.viewer_left(session),
        PolicyEvent::SetupAccepted(session, setup, node) => round.session_started(session, setup, node),
        PolicyEvent::AttemptEnded(session, setup, node, outcome, over) => {
            round.attempt_ended(session, setup, node, outcome, over)
        }
        PolicyEvent::RungUnchanged(session, rung) => round.session_rung_reported(session, rung),
        PolicyEvent::NodeDelivery(node, share) => round.delivery_reported(node, share),
        PolicyEvent::NodeLoad(node, load) => {
            if let Some(link) = load.link {
                round.link_demand_reported(node, link);
            }
            if let Some(uplink) = load.uplink {
                round.uplink_demand_reported(node, uplink);
            }
        }
        PolicyEvent::ProbeFinished(node, answered) => round.probe_finished(node, answered),
        PolicyEvent::TimerFired(timer) => round.timer_fired(timer),
    }
}
