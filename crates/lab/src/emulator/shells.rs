//! Directors in simulated time: what the running director's shell does between engine and sockets.

use std::collections::BTreeMap;

use ashglade::ids::{SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade_engine::{Effect, Engine, EngineConfig, Input, SessionResponse};

use super::talk::Talker;
use super::world::{Event, World};

/// A session at a director.
#[derive(Clone, Debug)]
pub struct Seat {
    pub viewer: usize,
    pub again: u32,
    /// The SETUP that is out, and where; none where its node was not there to be connected to.
    pub out: Option<(SetupNumber, Option<usize>)>,
    pub plays_at: Option<usize>,
    pub rung: u8,
    pub group: usize,
    /// A SETUP of it may have run.
    pub may_have_run: bool,
    /// The viewer is gone, or has its answer: kept until the SETUP that is out has ended.
    pub over: bool,
    pub answered: bool,
}

pub struct Shell {
    start: EngineConfig,
    pub engine: Option<Engine>,
    /// What it shares with the others, if it does.
    pub talker: Option<Talker>,
    /// Counts the director's processes.
    pub life: u32,
    pub inbox: Vec<Input>,
    /// When the next round is due, if one is, and when the last will be over.
    pub round_at: Option<u64>,
    pub free_at: u64,
    pub seats: BTreeMap<SessionId, Seat>,
    next_sess: u64,
    /// By node: when it was told as draining or gone.
    pub leaves: BTreeMap<usize, f64>,
}

impl Shell {
    pub fn new(start: EngineConfig, talker: Option<Talker>) -> Shell {
        Shell {
            start,
            engine: None,
            talker,
            life: 0,
            inbox: Vec::new(),
            round_at: None,
            free_at: 0,
            seats: BTreeMap::new(),
            next_sess: 0,
            leaves: BTreeMap::new(),
        }
    }

    pub fn up(&mut self, now: ashglade::time::Instant) {
        self.life += 1;
        self.engine = Some(Engine::new(self.start.clone(), now));
        if let Some(talker) = &mut self.talker {
            talker.up(now);
        }
        self.round_at = None;
    }

    /// The process is killed; the sessions that it held.
    pub fn down(&mut self) -> BTreeMap<SessionId, Seat> {
        self.life += 1;
        self.engine = None;
        self.inbox.clear();
        self.round_at = None;
        std::mem::take(&mut self.seats)
    }

    /// Names are never used again, by a later process either.
    pub fn seat(&mut self, seat: Seat) -> SessionId {
        self.next_sess += 1;
        let sess = SessionId(self.next_sess);
        self.seats.insert(sess, seat);
        sess
    }
}

impl World {
    pub(super) fn director_up(&mut self, director: usize) {
        let (now, list) = (self.instant(), self.list.clone());
        let shell = &mut self.shells[director];
        shell.up(now);
        shell.free_at = self.now;
        let life = shell.life;
        self.reach(director as u16, life, Input::DiscoverySnapshot(list));
        if self.shells[director].talker.is_some() {
            self.plan(0.0, Event::Talks { director: director as u16, life });
        }
    }

    pub(super) fn director_down(&mut self, director: usize) {
        let seats = self.shells[director].down();
        for (sess, seat) in seats {
            if let Some(node) = seat.plays_at.or(seat.out.and_then(|(_, node)| node)) {
                let keeps = self.fleet.all[node].faults.keeps.as_secs_f64();
                self.plan(self.net + keeps, Event::Over { key: (director as u16, sess), node });
            }
            self.plan(self.net, Event::Breaks { viewer: seat.viewer, again: seat.again });
        }
    }

    /// The node's process ends: whoever has a session or a SETUP there hears of it.
    pub(super) fn node_stops(&mut self, node: usize) {
        self.fleet.stop(node);
        let mut lost = Vec::new();
        for (director, shell) in (0u16..).zip(&self.shells) {
            for (&sess, seat) in &shell.seats {
                let how = AttemptOutcome::Lost;
                if seat.plays_at == Some(node) {
                    lost.push((director, shell.life, Input::SessionEnded { session: sess, outcome: how }));
                } else if let Some((setup, Some(at))) = seat.out
                    && at == node
                {
                    lost.push((
                        director,
                        shell.life,
                        Input::SetupFailed { session: sess, setup, outcome: how, load: None },
                    ));
                }
            }
        }
        for (director, life, input) in lost {
            self.plan(self.net, Event::Reaches { director, life, input });
        }
    }

    pub(super) fn round(&mut self, director: u16) {
        let now = self.instant();
        let shell = &mut self.shells[usize::from(director)];
        let Some(engine) = &mut shell.engine else { return };
        let inputs = std::mem::take(&mut shell.inbox);
        for input in &inputs {
            noted(&mut shell.seats, input);
        }
        let broken: Vec<(SessionId, Seat)> = inputs
            .iter()
            .filter_map(|input| match input {
                Input::SessionEnded { session: sess, .. } => Some((*sess, shell.seats.remove(sess)?)),
                _ => None,
            })
            .collect();
        let effects = engine.round(now, inputs);
        if let Some(talker) = &mut shell.talker {
            talker.saw(engine.setup_results(), now);
        }
        let due = engine.next_deadline();
        for (_, seat) in broken {
            self.plan(self.net, Event::Breaks { viewer: seat.viewer, again: seat.again });
        }
        for effect in effects {
            self.effect(director, effect);
        }
        if let Some(due) = due {
            self.round_by(director, (due.as_ms() * 1e3).ceil().max(0.0) as u64);
        }
    }

    fn effect(&mut self, director: u16, effect: Effect) {
        let net = self.net;
        let life = self.shells[usize::from(director)].life;
        let seats = &mut self.shells[usize::from(director)].seats;
        match effect {
            Effect::SendSetup { session: sess, setup, node, rung, .. } => {
                let Some(seat) = seats.get_mut(&sess) else { return };
                let (doubled, again) = (seat.out.is_some(), seat.may_have_run);
                let node = self.node_of.get(&node).copied().filter(|&i| self.fleet.all[i].up);
                (seat.out, seat.rung) = (Some((setup, node)), rung.0);
                let group = seat.group;
                if doubled {
                    self.breach(format!(
                        "rule 2: two SETUPs out for session {} of director {director}",
                        sess.0
                    ));
                }
                if again && self.fragile(group) {
                    self.breach(format!("rule 2: session {} of director {director} is set up again", sess.0));
                }
                match node {
                    Some(node) => {
                        let key = (director, sess);
                        self.reach(director, life, Input::SetupWritten { session: sess, setup });
                        self.plan(net, Event::Setup { key, life, setup, node, rung: rung.0 });
                    }
                    None => {
                        let input = Input::SetupFailed {
                            session: sess,
                            setup,
                            outcome: AttemptOutcome::Unreachable,
                            load: None,
                        };
                        self.plan(net * 2.0, Event::Reaches { director, life, input });
                    }
                }
            }
            Effect::CancelSetup { session: sess, setup, if_unsent } => {
                let Some(seat) = seats.get_mut(&sess) else { return };
                let Some((_, node)) = seat.out.filter(|&(out, _)| out == setup) else { return };
                // What has found its node is written at once.
                if if_unsent && node.is_some() {
                    return;
                }
                seat.out = None;
                let over = seat.over;
                let how = if node.is_some() { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                seat.may_have_run |= node.is_some();
                if over {
                    seats.remove(&sess);
                }
                if let Some(node) = node {
                    let keeps = self.fleet.all[node].faults.keeps.as_secs_f64();
                    self.plan(net + keeps, Event::Over { key: (director, sess), node });
                }
                self.reach(
                    director,
                    life,
                    Input::SetupFailed { session: sess, setup, outcome: how, load: None },
                );
            }
            Effect::Respond { session: sess, response: answer } => {
                let Some(seat) = seats.get_mut(&sess) else { return };
                let (viewer, again) = (seat.viewer, seat.again);
                seat.answered = true;
                if !matches!(answer, SessionResponse::Plays { .. }) {
                    end(seats, sess);
                }
                self.plan(net, Event::Answered { viewer, again, answer });
            }
            Effect::ChangeRung { session: sess, rung } => {
                let Some(seat) = seats.get_mut(&sess) else { return };
                seat.rung = rung.0;
                if let Some(node) = seat.plays_at {
                    self.plan(net, Event::Switch { key: (director, sess), node, rung: rung.0 });
                }
            }
            Effect::ReleaseSession { session: sess } | Effect::ReconnectViewer { session: sess } => {
                // What began too late is let go, and the request may still want its answer.
                let Some(seat) = seats.get_mut(&sess) else { return };
                let node = seat.plays_at.take().or(seat.out.take().and_then(|(_, node)| node));
                if seat.answered || seat.over {
                    seats.remove(&sess);
                }
                if let Some(node) = node {
                    self.plan(net, Event::Over { key: (director, sess), node });
                }
            }
            Effect::SendProbe { probe, node } => {
                let Some(&node) = self.node_of.get(&node) else { return };
                let at = &self.fleet.all[node];
                if at.up && !at.faults.hang {
                    let load = Some(self.fleet.load(node));
                    self.plan(
                        net * 2.0,
                        Event::Reaches { director, life, input: Input::ProbeResult { probe, load } },
                    );
                }
            }
            Effect::DiscoveryResult { .. } | Effect::Drained => {}
        }
    }
}

/// Nobody waits for it any longer.
fn end(seats: &mut BTreeMap<SessionId, Seat>, sess: SessionId) {
    if let Some(seat) = seats.get_mut(&sess) {
        seat.over = true;
        if seat.out.is_none() && seat.plays_at.is_none() {
            seats.remove(&sess);
        }
    }
}

/// What came in, as the shell keeps it.
fn noted(seats: &mut BTreeMap<SessionId, Seat>, input: &Input) {
    match *input {
        Input::SetupAccepted { session: sess, setup, .. } => {
            if let Some(seat) = seats.get_mut(&sess)
                && let Some((out, Some(node))) = seat.out
                && out == setup
            {
                (seat.plays_at, seat.out) = (Some(node), None);
            }
        }
        Input::SetupFailed { session: sess, setup, outcome: how, .. } => {
            if let Some(seat) = seats.get_mut(&sess)
                && seat.out.is_some_and(|(out, _)| out == setup)
            {
                seat.out = None;
                seat.may_have_run |= !matches!(
                    how,
                    AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Unsent
                );
                if seat.over {
                    seats.remove(&sess);
                }
            }
        }
        Input::ViewerLeft { session: sess } => end(seats, sess),
        _ => {}
    }
}
