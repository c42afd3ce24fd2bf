//! Emulated directors: the work that a running director does between its engine and the sockets.

use std::collections::BTreeMap;

use ashglade::ids::{SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade_engine::{Effect, Engine, EngineConfig, Input, SessionResponse};

use super::peers::PeerState;
use super::world::{Event, World};

/// A session as its director's connection handling tracks it.
#[derive(Clone, Debug)]
pub struct DirectorSession {
    /// Index of the viewer, and its attempt that this session serves.
    pub viewer: usize,
    pub attempt: u32,
    /// The SETUP in flight and its node. The node is `None` if no connection to it could be opened.
    pub pending_setup: Option<(SetupNumber, Option<usize>)>,
    /// The node that streams the session.
    pub playing_on: Option<usize>,
    pub rung: u8,
    pub group: usize,
    /// Whether a node may have executed an earlier SETUP of this session.
    pub may_have_run: bool,
    /// The viewer has left or was refused. The session is kept until the SETUP in flight has ended.
    pub closed: bool,
    /// Whether the viewer's request has been answered.
    pub responded: bool,
}

/// One director: its engine while its process runs, and the state around it.
pub struct SimulatedDirector {
    config: EngineConfig,
    pub engine: Option<Engine>,
    /// State shared with peers; `None` if the settings enable no peer communication.
    pub peer_state: Option<PeerState>,
    /// Incremented on each start and each kill, so that events of an earlier process can be told apart.
    pub process: u32,
    /// Inputs for the next round.
    pub inbox: Vec<Input>,
    /// When the next round is scheduled, in microseconds.
    pub round_due_us: Option<u64>,
    /// When the current round or pause ends, in microseconds.
    pub busy_until_us: u64,
    pub sessions: BTreeMap<SessionId, DirectorSession>,
    last_session_id: u64,
    /// By node: when this director received a list with the node as draining or gone, in seconds.
    pub leaving_since_s: BTreeMap<usize, f64>,
}

impl SimulatedDirector {
    pub fn new(config: EngineConfig, peer_state: Option<PeerState>) -> SimulatedDirector {
        SimulatedDirector {
            config,
            engine: None,
            peer_state,
            process: 0,
            inbox: Vec::new(),
            round_due_us: None,
            busy_until_us: 0,
            sessions: BTreeMap::new(),
            last_session_id: 0,
            leaving_since_s: BTreeMap::new(),
        }
    }

    /// Starts a new process.
    pub fn start(&mut self, now: ashglade::time::Instant) {
        self.process += 1;
        self.engine = Some(Engine::new(self.config.clone(), now));
        if let Some(peer_state) = &mut self.peer_state {
            peer_state.start(now);
        }
        self.round_due_us = None;
    }

    /// Kills the process and returns the sessions that it held.
    pub fn kill(&mut self) -> BTreeMap<SessionId, DirectorSession> {
        self.process += 1;
        self.engine = None;
        self.inbox.clear();
        self.round_due_us = None;
        std::mem::take(&mut self.sessions)
    }

    /// Adds a session under a new identifier. Identifiers are never reused, not even by a later process.
    pub fn add_session(&mut self, session: DirectorSession) -> SessionId {
        self.last_session_id += 1;
        let session_id = SessionId(self.last_session_id);
        self.sessions.insert(session_id, session);
        session_id
    }
}

impl World {
    /// Starts a director's process and gives it the current node list.
    pub(super) fn start_director(&mut self, director: usize) {
        let (now, list) = (self.instant(), self.list.clone());
        let director_state = &mut self.directors[director];
        director_state.start(now);
        director_state.busy_until_us = self.now_us;
        let process = director_state.process;
        self.deliver_input(director as u16, process, Input::DiscoverySnapshot(list));
        if self.directors[director].peer_state.is_some() {
            self.schedule_after(0.0, Event::PeerTick { director: director as u16, process });
        }
    }

    /// Kills a director's process: nodes end its sessions and viewers lose their connections.
    pub(super) fn kill_director(&mut self, director: usize) {
        let sessions = self.directors[director].kill();
        for (session_id, session) in sessions {
            if let Some(node) = session.playing_on.or(session.pending_setup.and_then(|(_, node)| node)) {
                let retention_s = self.fleet.nodes[node].faults.orphan_retention.as_secs_f64();
                self.schedule_after(
                    self.network_delay_s + retention_s,
                    Event::StreamEnds { key: (director as u16, session_id), node },
                );
            }
            self.schedule_after(
                self.network_delay_s,
                Event::ViewerDisconnected { viewer: session.viewer, attempt: session.attempt },
            );
        }
    }

    /// Stops a node's process and reports the loss to each director with a session or a SETUP there.
    pub(super) fn stop_node(&mut self, node: usize) {
        self.fleet.stop(node);
        let mut lost = Vec::new();
        for (director, director_state) in (0u16..).zip(&self.directors) {
            for (&session_id, session) in &director_state.sessions {
                let outcome = AttemptOutcome::Lost;
                if session.playing_on == Some(node) {
                    lost.push((
                        director,
                        director_state.process,
                        Input::SessionEnded { session: session_id, outcome },
                    ));
                } else if let Some((setup, Some(at))) = session.pending_setup
                    && at == node
                {
                    lost.push((
                        director,
                        director_state.process,
                        Input::SetupFailed { session: session_id, setup, outcome, load: None },
                    ));
                }
            }
        }
        for (director, process, input) in lost {
            self.schedule_after(self.network_delay_s, Event::DirectorInput { director, process, input });
        }
    }

    /// Runs a round of the director's engine on all queued inputs and applies its effects.
    pub(super) fn run_round(&mut self, director: u16) {
        let now = self.instant();
        let director_state = &mut self.directors[usize::from(director)];
        let Some(engine) = &mut director_state.engine else { return };
        let inputs = std::mem::take(&mut director_state.inbox);
        for input in &inputs {
            track_input(&mut director_state.sessions, input);
        }
        let lost_sessions: Vec<(SessionId, DirectorSession)> = inputs
            .iter()
            .filter_map(|input| match input {
                Input::SessionEnded { session: session_id, .. } => {
                    Some((*session_id, director_state.sessions.remove(session_id)?))
                }
                _ => None,
            })
            .collect();
        let effects = engine.round(now, inputs);
        if let Some(peer_state) = &mut director_state.peer_state {
            peer_state.record_results(engine.setup_results(), now);
        }
        let due = engine.next_deadline();
        for (_, session) in lost_sessions {
            self.schedule_after(
                self.network_delay_s,
                Event::ViewerDisconnected { viewer: session.viewer, attempt: session.attempt },
            );
        }
        for effect in effects {
            self.apply_effect(director, effect);
        }
        if let Some(due) = due {
            self.schedule_round(director, (due.as_ms() * 1e3).ceil().max(0.0) as u64);
        }
    }

    /// Does what an engine asked for, and checks SETUPs against the rules.
    fn apply_effect(&mut self, director: u16, effect: Effect) {
        let network_delay_s = self.network_delay_s;
        let process = self.directors[usize::from(director)].process;
        let sessions = &mut self.directors[usize::from(director)].sessions;
        match effect {
            Effect::SendSetup { session: session_id, setup, node, rung, .. } => {
                let Some(session) = sessions.get_mut(&session_id) else { return };
                let (concurrent, retried) = (session.pending_setup.is_some(), session.may_have_run);
                let node = self.node_index.get(&node).copied().filter(|&i| self.fleet.nodes[i].up);
                (session.pending_setup, session.rung) = (Some((setup, node)), rung.0);
                let group = session.group;
                if concurrent {
                    self.record_violation(format!(
                        "rule 2: two SETUPs out for session {} of director {director}",
                        session_id.0
                    ));
                }
                if retried && self.is_fragile(group) {
                    self.record_violation(format!(
                        "rule 2: session {} of director {director} is set up again",
                        session_id.0
                    ));
                }
                match node {
                    Some(node) => {
                        let key = (director, session_id);
                        self.deliver_input(
                            director,
                            process,
                            Input::SetupWritten { session: session_id, setup },
                        );
                        self.schedule_after(
                            network_delay_s,
                            Event::SetupArrives { key, process, setup, node, rung: rung.0 },
                        );
                    }
                    None => {
                        let input = Input::SetupFailed {
                            session: session_id,
                            setup,
                            outcome: AttemptOutcome::Unreachable,
                            load: None,
                        };
                        self.schedule_after(
                            network_delay_s * 2.0,
                            Event::DirectorInput { director, process, input },
                        );
                    }
                }
            }
            Effect::CancelSetup { session: session_id, setup, if_unsent } => {
                let Some(session) = sessions.get_mut(&session_id) else { return };
                let Some((_, node)) = session.pending_setup.filter(|&(number, _)| number == setup) else {
                    return;
                };
                // A SETUP is written as soon as its node is connected, so it is no longer unsent.
                if if_unsent && node.is_some() {
                    return;
                }
                session.pending_setup = None;
                let closed = session.closed;
                let outcome = if node.is_some() { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                session.may_have_run |= node.is_some();
                if closed {
                    sessions.remove(&session_id);
                }
                if let Some(node) = node {
                    let retention_s = self.fleet.nodes[node].faults.orphan_retention.as_secs_f64();
                    self.schedule_after(
                        network_delay_s + retention_s,
                        Event::StreamEnds { key: (director, session_id), node },
                    );
                }
                self.deliver_input(
                    director,
                    process,
                    Input::SetupFailed { session: session_id, setup, outcome, load: None },
                );
            }
            Effect::Respond { session: session_id, response } => {
                let Some(session) = sessions.get_mut(&session_id) else { return };
                let (viewer, attempt) = (session.viewer, session.attempt);
                session.responded = true;
                if !matches!(response, SessionResponse::Plays { .. }) {
                    close_session(sessions, session_id);
                }
                self.schedule_after(network_delay_s, Event::ViewerAnswered { viewer, attempt, response });
            }
            Effect::ChangeRung { session: session_id, rung } => {
                let Some(session) = sessions.get_mut(&session_id) else { return };
                session.rung = rung.0;
                if let Some(node) = session.playing_on {
                    self.schedule_after(
                        network_delay_s,
                        Event::RungChanges { key: (director, session_id), node, rung: rung.0 },
                    );
                }
            }
            Effect::ReleaseSession { session: session_id }
            | Effect::ReconnectViewer { session: session_id } => {
                // A session that started too late is released while its request may still be unanswered.
                let Some(session) = sessions.get_mut(&session_id) else { return };
                let node =
                    session.playing_on.take().or(session.pending_setup.take().and_then(|(_, node)| node));
                if session.responded || session.closed {
                    sessions.remove(&session_id);
                }
                if let Some(node) = node {
                    self.schedule_after(
                        network_delay_s,
                        Event::StreamEnds { key: (director, session_id), node },
                    );
                }
            }
            Effect::SendProbe { probe, node } => {
                let Some(&node) = self.node_index.get(&node) else { return };
                let at = &self.fleet.nodes[node];
                if at.up && !at.faults.hang {
                    let load = Some(self.fleet.load(node));
                    self.schedule_after(
                        network_delay_s * 2.0,
                        Event::DirectorInput { director, process, input: Input::ProbeResult { probe, load } },
                    );
                }
            }
            Effect::DiscoveryResult { .. } | Effect::Drained => {}
        }
    }
}

/// Marks a session as closed, and removes it if nothing of it is left at a node.
fn close_session(sessions: &mut BTreeMap<SessionId, DirectorSession>, session_id: SessionId) {
    if let Some(session) = sessions.get_mut(&session_id) {
        session.closed = true;
        if session.pending_setup.is_none() && session.playing_on.is_none() {
            sessions.remove(&session_id);
        }
    }
}

/// Updates the tracked sessions from an input, before the engine processes it.
fn track_input(sessions: &mut BTreeMap<SessionId, DirectorSession>, input: &Input) {
    match *input {
        Input::SetupAccepted { session: session_id, setup, .. } => {
            if let Some(session) = sessions.get_mut(&session_id)
                && let Some((number, Some(node))) = session.pending_setup
                && number == setup
            {
                (session.playing_on, session.pending_setup) = (Some(node), None);
            }
        }
        Input::SetupFailed { session: session_id, setup, outcome, .. } => {
            if let Some(session) = sessions.get_mut(&session_id)
                && session.pending_setup.is_some_and(|(number, _)| number == setup)
            {
                session.pending_setup = None;
                session.may_have_run |= !matches!(
                    outcome,
                    AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Unsent
                );
                if session.closed {
                    sessions.remove(&session_id);
                }
            }
        }
        Input::ViewerLeft { session: session_id } => close_session(sessions, session_id),
        _ => {}
    }
}
