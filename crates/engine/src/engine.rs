//! The rounds.

use std::collections::{BTreeMap, BTreeSet};

use ashglade::ids::{NodeId, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, DirectorConfig, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use ashglade_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
};
use ashglade_catalogue::Missing;
use ashglade_discovery::{Membership, NodeList, NodeState};

use crate::answers::{Hand, Hands, Tally};
use crate::desk::Desk;
use crate::messages::{
    self, BusyReason, Effect, Input, LeaseExpiry, LoadReport, NodeUpdate, SessionResponse, ViewerRequest,
};
use crate::notes::Notes;
use crate::setups::{self, Withdrawn};
use crate::timers::{Timer, Timers};

/// What an engine is started with.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub director: DirectorConfig,
    /// Kept of each setup timeout for the way of the answer.
    pub answer_margin: Span,
    pub probe_timeout: Span,
    /// Sessions in hand at once, set-ups included.
    pub max_sessions: usize,
    /// The fair door, if there is one.
    pub admission: Option<AdmissionConfig>,
}

/// Titles that nodes were found not to hold: so many at most, each believed for so many seconds.
const MOST_MISSING: usize = 65_536;
const BELIEVED: f64 = 300.0;
/// Delivered shares are told once a second.
const NOTES_EVERY: f64 = 1.0;

pub struct Engine {
    director: Director,
    start: EngineConfig,
    roster: Membership,
    /// Nodes that the last numbered events told as ready.
    ready: BTreeSet<NodeId>,
    door: Option<AdmissionController>,
    /// What nodes were found not to hold.
    missing: Missing,
    hands: Hands,
    timers: Timers,
    notes: Notes,
    probes: BTreeMap<u64, NodeId>,
    next_probe: u64,
    door_due: Option<Instant>,
    draining: bool,
    drained: bool,
    turns: Vec<usize>,
    turns_of: usize,
    turns_lapse: Option<LeaseExpiry>,
    repeats_span: Span,
    repeats_lapse: Option<LeaseExpiry>,
    seen: Vec<SetupResult>,
}

/// What came of a SETUP at a node: it started, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetupResult {
    pub node: NodeId,
    pub failure: Option<AttemptOutcome>,
}

/// One piece of news for the module, in its words.
enum News {
    List,
    Told(bool, Vec<NodeUpdate>),
    UnderWay(SessionId, SessionRequest, NodeId),
    WentOn(NodeId),
    Turns(Vec<usize>, usize),
    Repeats(usize, Span),
    Doubted(Vec<NodeId>),
    Asked(SessionId, SessionRequest),
    Left(SessionId),
    Started(SessionId, SetupNumber, NodeId),
    Ended(SessionId, SetupNumber, NodeId, AttemptOutcome, bool),
    Stays(SessionId, ashglade::ids::Rung),
    Delivered(NodeId, f64),
    Load(NodeId, LoadReport),
    Probed(NodeId, bool),
    Woke(ashglade::ids::TimerId),
}

impl Engine {
    pub fn new(start: EngineConfig, now: Instant) -> Engine {
        let mut timers = Timers::default();
        timers.at(now + Span::from_secs(NOTES_EVERY), Timer::Notes);
        Engine {
            director: Director::new(&start.director, now),
            door: start.admission.clone().map(|terms| AdmissionController::new(terms, now)),
            start,
            roster: Membership::default(),
            ready: BTreeSet::new(),
            missing: Missing::new(MOST_MISSING, Span::from_secs(BELIEVED)),
            hands: Hands::default(),
            timers,
            notes: Notes::default(),
            probes: BTreeMap::new(),
            next_probe: 0,
            door_due: None,
            draining: false,
            drained: false,
            turns: Vec::new(),
            turns_of: 0,
            turns_lapse: None,
            repeats_span: Span::ZERO,
            repeats_lapse: None,
            seen: Vec::new(),
        }
    }

    /// What came of SETUPs in the last round, for the other directors.
    pub fn setup_results(&self) -> &[SetupResult] {
        &self.seen
    }

    /// When the next round is due if nothing comes in before.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers.next()
    }

    pub fn tally(&self) -> &Tally {
        &self.hands.tally
    }

    pub fn session_count(&self) -> usize {
        self.hands.len()
    }

    pub fn membership(&self) -> &Membership {
        &self.roster
    }

    /// Takes all that has come in, in order, then what is due, and lets the module decide once.
    pub fn round(&mut self, now: Instant, inputs: Vec<Input>) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut news = Vec::new();
        self.seen.clear();
        for input in inputs {
            self.take(now, input, &mut news, &mut effects);
        }
        self.lapse(now, &mut news);
        // Answers that are late only because we stood still have been taken; now what they left undone is due.
        while let Some(timer) = self.timers.pop(now) {
            self.due(now, timer, &mut news, &mut effects);
        }
        self.let_in(now, &mut news, &mut effects);
        let mut desk = Desk {
            now,
            hands: &mut self.hands,
            timers: &mut self.timers,
            effects: &mut effects,
            probes: &mut self.probes,
            next_probe: &mut self.next_probe,
            probe_timeout: self.start.probe_timeout,
            missing: &self.missing,
        };
        let roster = &self.roster;
        self.director.run_round(now, |round| news.iter().for_each(|n| tell(round, roster, n)), &mut desk);
        self.came_out(now, &effects);
        if self.draining && !self.drained && self.hands.is_empty() {
            self.drained = true;
            effects.push(Effect::Drained);
        }
        effects
    }

    /// Rights whose lease is over are not used in this round, whoever has or hasn't said so.
    fn lapse(&mut self, now: Instant, news: &mut Vec<News>) {
        if let Some(lapse) = self.turns_lapse.take_if(|lapse| lapse.at <= now) {
            self.turns.truncate(lapse.retained);
            news.push(News::Turns(self.turns.clone(), self.turns_of));
        }
        if let Some(lapse) = self.repeats_lapse.take_if(|lapse| lapse.at <= now) {
            news.push(News::Repeats(lapse.retained, self.repeats_span));
        }
    }

    /// What the door says: some go in to the module, some are sent away.
    fn let_in(&mut self, now: Instant, news: &mut Vec<News>, effects: &mut Vec<Effect>) {
        let Some(door) = &mut self.door else { return };
        for verdict in door.poll(now) {
            match verdict {
                AdmissionDecision::Admit { session: sess, .. } => {
                    let Some(hand) = self.hands.get_mut(sess) else { continue };
                    let Some(want) = hand.at_door.take() else { continue };
                    // What is left of its time, to the module's end of it.
                    let patience = hand.answer_by - self.start.answer_margin * 0.5 - now;
                    news.push(News::Asked(sess, viewing(want, patience)));
                }
                AdmissionDecision::Reject { session: sess, retry_after, reason: why } => {
                    let answer = SessionResponse::Busy { retry_after, why: BusyReason::Door(why) };
                    if self.hands.answer(sess, &answer) {
                        effects.push(Effect::Respond { session: sess, response: answer });
                    }
                }
            }
        }
    }

    /// Tells the door what came of those that it let in, and when it is to be looked at again.
    fn came_out(&mut self, now: Instant, effects: &[Effect]) {
        let Some(door) = &mut self.door else { return };
        for effect in effects {
            if let Effect::Respond { session: sess, response: answer } = effect {
                let how = match answer {
                    SessionResponse::Plays { .. } => SetupOutcome::Started,
                    SessionResponse::Busy { .. } => SetupOutcome::Busy,
                    SessionResponse::TornDown => SetupOutcome::Other,
                };
                door.complete(*sess, how, now);
            }
        }
        if let Some(at) = door.next_deadline(now) {
            // One look is due at a time: each round would add its own.
            if self.door_due.is_none_or(|due| at < due) {
                self.door_due = Some(at);
                self.timers.at(at, Timer::Door);
            }
        }
    }

    /// The door's own counters, if there is one.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.door.as_ref()
    }

    fn take(&mut self, now: Instant, input: Input, news: &mut Vec<News>, effects: &mut Vec<Effect>) {
        match input {
            Input::DiscoverySnapshot(list) => self.list(list, news, effects),
            Input::DiscoveryUpdate { full: whole, nodes } => {
                if whole {
                    self.ready.clear();
                }
                for told in &nodes {
                    if matches!(told.status, messages::NodeStatus::Ready(_)) {
                        self.ready.insert(told.node);
                    } else {
                        self.ready.remove(&told.node);
                    }
                }
                news.push(News::Told(whole, nodes));
                let ready = std::mem::take(&mut self.ready);
                self.recall(|node| ready.contains(&node), effects);
                self.ready = ready;
            }
            Input::SessionHandedOver { session: sess, request: want, node } => {
                if self.hands.len() < self.start.max_sessions {
                    let answered = true;
                    let hand = Hand { answered, setups: 1, plays_at: Some(node), ..self.hand(now, &want) };
                    self.hands.insert(sess, hand);
                    news.push(News::UnderWay(sess, viewing(want, Span::ZERO), node));
                }
            }
            Input::NodeKeptRunning { node } => news.push(News::WentOn(node)),
            Input::NodeDelivery { node, share } => news.push(News::Delivered(node, share)),
            Input::SessionRequested { session: sess, request: want } => {
                self.asked(now, sess, want, news, effects)
            }
            Input::ViewerLeft { session: sess } => self.left(now, sess, news, effects),
            Input::SetupWritten { session: sess, setup } => {
                if let Some(out) = self.out_mut(sess, setup) {
                    out.written = true;
                }
            }
            Input::SetupAccepted { session: sess, setup, load } => {
                self.started(sess, setup, load, news, effects)
            }
            Input::SetupFailed { session: sess, setup, outcome: how, load } => {
                let Some(out) = self.out_mut(sess, setup) else { return };
                let (node, how) = (out.node, out.ending(how));
                if let Some(load) = load {
                    news.push(News::Load(node, load));
                }
                self.ended(sess, setup, node, how, news);
            }
            Input::TitleMissing { session: sess, setup, load } => {
                let Some(node) = self.out_mut(sess, setup).map(|out| out.node) else { return };
                if let Some(title) = self.hands.get(sess).map(|hand| hand.title) {
                    self.missing.told(node, title, now);
                }
                self.hands.tally.missing += 1;
                news.extend(load.map(|load| News::Load(node, load)));
                self.not_held(sess, setup, node, news);
            }
            Input::SessionEnded { session: sess, outcome: how } => {
                let Some((node, setups)) = self.hands.get(sess).and_then(|h| Some((h.plays_at?, h.setups)))
                else {
                    return;
                };
                self.hands.tally.broken += 1;
                self.hands.remove(sess);
                news.push(News::Ended(sess, SetupNumber(setups.saturating_sub(1)), node, how, true));
            }
            Input::RungUnchanged { session: sess, rung } => {
                if let Some(hand) = self.hands.get_mut(sess) {
                    hand.rung = rung;
                    news.push(News::Stays(sess, rung));
                }
            }
            Input::SessionDelivery { session: sess, share } => {
                if let Some(hand) = self.hands.get(sess)
                    && let Some(node) = hand.plays_at
                {
                    let scale = self.start.director.groups.get(hand.group.0).map_or(1.0, |g| g.rate_scale);
                    let rung = self.start.director.ladder.get(usize::from(hand.rung.0));
                    self.notes.add(node, rung.map_or(0.0, |&(kb, _)| kb) * scale, share);
                }
            }
            Input::NodeLoad { node, load } => news.push(News::Load(node, load)),
            Input::ProbeResult { probe, load } => {
                if let Some(node) = self.probes.remove(&probe) {
                    news.extend(load.map(|load| News::Load(node, load)));
                    news.push(News::Probed(node, load.is_some()));
                }
            }
            Input::SlowStartTurns { owned: ours, total: of, lease_expiry: lapse } => {
                (self.turns, self.turns_of, self.turns_lapse) = (ours.clone(), of, lapse);
                news.push(News::Turns(ours, of));
            }
            Input::RetryLimitPerNode { limit: most, window: span, lease_expiry: lapse } => {
                (self.repeats_span, self.repeats_lapse) = (span, lapse);
                news.push(News::Repeats(most, span));
            }
            Input::SuspectedNodes { nodes } => news.push(News::Doubted(nodes)),
            Input::Drain => self.draining = true,
        }
    }

    fn out_mut(&mut self, sess: SessionId, setup: SetupNumber) -> Option<&mut setups::Out> {
        self.hands.get_mut(sess)?.out.as_mut().filter(|out| out.setup == setup)
    }

    fn list(&mut self, list: NodeList, news: &mut Vec<News>, effects: &mut Vec<Effect>) {
        // One that starts again may have been filled anew.
        for entry in &list.entries {
            let node = entry.node_id();
            let known = self.roster.entry(node).map(|before| before.info.started);
            if known.is_some_and(|before| before != entry.info.started) {
                self.missing.started(node);
            }
        }
        let refused = match self.roster.update(list) {
            Ok(None) => return,
            Ok(Some(_)) => {
                news.push(News::List);
                let roster = std::mem::take(&mut self.roster);
                let ready = |node| roster.entry(node).is_some_and(|e| e.state == NodeState::Ready);
                self.recall(ready, effects);
                self.roster = roster;
                None
            }
            Err(refusal) => Some(refusal.to_string()),
        };
        let generation = self.roster.list().map_or(0, |list| list.generation);
        effects.push(Effect::DiscoveryResult { generation, rejection: refused });
    }

    /// Rule 3: what waits for a connection to a node that now drains or is gone must not be written later, when
    /// the grace may be over. What has been written goes on.
    fn recall(&mut self, ready: impl Fn(NodeId) -> bool, effects: &mut Vec<Effect>) {
        for (sess, hand) in self.hands.iter_mut() {
            let Some(out) = &mut hand.out else { continue };
            if !ready(out.node)
                && !out.written
                && out.withdrawn.is_none()
                && out.withdraw(Withdrawn::Recalled)
            {
                effects.push(Effect::CancelSetup { session: sess, setup: out.setup, if_unsent: true });
            }
        }
    }

    fn asked(
        &mut self,
        now: Instant,
        sess: SessionId,
        want: ViewerRequest,
        news: &mut Vec<News>,
        effects: &mut Vec<Effect>,
    ) {
        self.hands.tally.asked += 1;
        let full = self.hands.len() >= self.start.max_sessions;
        if full || self.draining {
            self.hands.tally.over_bound += u64::from(full);
            self.hands.tally.draining += u64::from(self.draining);
            self.hands.tally.busy += 1;
            let why = if full { BusyReason::TooManySessions } else { BusyReason::Draining };
            let retry_after = self.start.director.max_retry_after;
            effects.push(Effect::Respond {
                session: sess,
                response: SessionResponse::Busy { retry_after, why },
            });
            return;
        }
        let patience = want.setup_timeout - self.start.answer_margin;
        let hand = self.hand(now, &want);
        self.timers.at(hand.answer_by, Timer::Answer(sess));
        let terms = self.start.director.groups.get(want.group.0);
        let hand = match (&mut self.door, terms) {
            (Some(door), Some(terms)) => {
                let ViewerRequest { group, tenant, client, setup_timeout, .. } = want;
                let start_target = terms.start_target;
                door.offer(
                    AdmissionRequest { session: sess, group, tenant, client, start_target, setup_timeout },
                    now,
                );
                Hand { at_door: Some(want), ..hand }
            }
            _ => {
                news.push(News::Asked(sess, viewing(want, patience)));
                hand
            }
        };
        self.hands.insert(sess, hand);
    }

    fn hand(&self, now: Instant, want: &ViewerRequest) -> Hand {
        Hand {
            group: want.group,
            title: want.title,
            // Half of the margin is for what the last SETUP's ending takes to reach the module.
            answer_by: now + want.setup_timeout - self.start.answer_margin * 0.5,
            answered: false,
            left: false,
            at_door: None,
            setups: 0,
            out: None,
            plays_at: None,
            rung: self
                .start
                .director
                .groups
                .get(want.group.0)
                .map_or_else(Default::default, |g| g.floor_rung),
        }
    }

    fn left(&mut self, now: Instant, sess: SessionId, news: &mut Vec<News>, effects: &mut Vec<Effect>) {
        let Some(hand) = self.hands.get_mut(sess) else { return };
        if hand.left {
            return;
        }
        hand.left = true;
        if let Some(door) = &mut self.door {
            if hand.at_door.is_some() {
                // The module never heard of it.
                door.cancel(sess);
                self.hands.tally.left_unanswered += 1;
                self.hands.remove(sess);
                return;
            }
            door.complete(sess, SetupOutcome::Other, now);
        }
        let (unanswered, setups) = (!hand.answered, hand.setups);
        news.push(News::Left(sess));
        if let Some(node) = hand.plays_at {
            effects.push(Effect::ReleaseSession { session: sess });
            news.push(News::Ended(
                sess,
                SetupNumber(setups.saturating_sub(1)),
                node,
                AttemptOutcome::Played,
                true,
            ));
            self.hands.remove(sess);
        } else if hand.out.is_none() {
            self.hands.remove(sess);
        }
        self.hands.tally.left_unanswered += u64::from(unanswered);
    }

    fn started(
        &mut self,
        sess: SessionId,
        setup: SetupNumber,
        load: Option<LoadReport>,
        news: &mut Vec<News>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(out) = self.out_mut(sess, setup) else {
            // Its ending was told by ourselves: nobody waits for it.
            self.hands.tally.too_late += 1;
            effects.push(Effect::ReleaseSession { session: sess });
            return;
        };
        let (node, start) = (out.node, out.started());
        if let Some(load) = load {
            news.push(News::Load(node, load));
        }
        match start {
            setups::Start::TooLate(how) => {
                self.hands.tally.too_late += 1;
                effects.push(Effect::ReleaseSession { session: sess });
                self.ended(sess, setup, node, how, news);
            }
            setups::Start::Plays => {
                let Some(hand) = self.hands.get_mut(sess) else { return };
                let rung = hand.rung;
                self.missing.forget(node, hand.title);
                (hand.out, hand.plays_at) = (None, Some(node));
                self.hands.tally.started += 1;
                self.seen.push(SetupResult { node, failure: None });
                news.push(News::Started(sess, setup, node));
                let answer = SessionResponse::Plays { rung };
                if self.hands.answer(sess, &answer) {
                    effects.push(Effect::Respond { session: sess, response: answer });
                } else {
                    // The guard has answered already, or the viewer is gone.
                    effects.push(Effect::ReleaseSession { session: sess });
                    news.push(News::Left(sess));
                    news.push(News::Ended(sess, setup, node, AttemptOutcome::Cancelled, true));
                    self.hands.remove(sess);
                }
            }
        }
    }

    /// The SETUP that was out has ended.
    fn ended(
        &mut self,
        sess: SessionId,
        setup: SetupNumber,
        node: NodeId,
        how: AttemptOutcome,
        news: &mut Vec<News>,
    ) {
        let Some(hand) = self.hands.get_mut(sess) else { return };
        hand.out = None;
        let over = hand.left || hand.answered;
        if over {
            self.hands.remove(sess);
        }
        let kind = match how {
            AttemptOutcome::Full => 0,
            AttemptOutcome::Unreachable => 1,
            AttemptOutcome::Unsent => 2,
            AttemptOutcome::Fault => 3,
            AttemptOutcome::Silent => 4,
            AttemptOutcome::Lost => 5,
            AttemptOutcome::Cancelled | AttemptOutcome::Played => 6,
        };
        self.hands.tally.endings[kind] += 1;
        self.seen.push(SetupResult { node, failure: Some(how) });
        news.push(News::Ended(sess, setup, node, how, over));
    }

    /// A SETUP came to nothing for want of the title: that it never ran is as sure as if it had not been sent, and it says
    /// nothing of the node's health.
    fn not_held(&mut self, sess: SessionId, setup: SetupNumber, node: NodeId, news: &mut Vec<News>) {
        let gave_up =
            self.out_mut(sess, setup).is_some_and(|out| out.withdrawn == Some(Withdrawn::ViewerLeft));
        let how = if gave_up { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
        self.ended(sess, setup, node, how, news);
    }

    fn due(&mut self, now: Instant, timer: Timer, news: &mut Vec<News>, effects: &mut Vec<Effect>) {
        match timer {
            // The door is looked at in every round.
            Timer::Door => self.door_due = None,
            Timer::Wake(ticket) => news.push(News::Woke(ticket)),
            Timer::Setup(sess, setup) => {
                let Some(out) = self.out_mut(sess, setup) else { return };
                if out.withdraw(Withdrawn::OutOfTime) {
                    effects.push(Effect::CancelSetup { session: sess, setup, if_unsent: false });
                }
                // The shell tells in a moment what was written; it is not waited for beyond a part of the
                // margin that the answer has left.
                self.timers.at(now + self.start.answer_margin * 0.25, Timer::Withdrawn(sess, setup));
            }
            Timer::Withdrawn(sess, setup) => {
                if let Some(out) = self.out_mut(sess, setup) {
                    let (node, how) = (out.node, out.ending(AttemptOutcome::Silent));
                    self.hands.tally.untold += 1;
                    self.ended(sess, setup, node, how, news);
                }
            }
            Timer::Answer(sess) => {
                let waits =
                    self.hands.get(sess).is_some_and(|h| !h.answered && !h.left && h.answer_by <= now);
                if waits {
                    self.hands.tally.guarded += 1;
                    if self.hands.get(sess).is_some_and(|hand| hand.at_door.is_none()) {
                        news.push(News::Left(sess));
                    } else if let Some(door) = &mut self.door {
                        door.cancel(sess);
                    }
                    let out = self.hands.get_mut(sess).and_then(|hand| hand.out.as_mut());
                    if let Some(out) = out
                        && out.withdraw(Withdrawn::ViewerLeft)
                    {
                        effects.push(Effect::CancelSetup {
                            session: sess,
                            setup: out.setup,
                            if_unsent: false,
                        });
                    }
                    if self.hands.answer(sess, &SessionResponse::TornDown) {
                        effects.push(Effect::Respond { session: sess, response: SessionResponse::TornDown });
                    }
                }
            }
            Timer::Spared(sess, setup) => {
                if let Some(node) = self.out_mut(sess, setup).map(|out| out.node) {
                    self.not_held(sess, setup, node, news);
                }
            }
            Timer::Probe(probe) => {
                if let Some(node) = self.probes.remove(&probe) {
                    news.push(News::Probed(node, false));
                }
            }
            Timer::Notes => {
                self.missing.tidy(now);
                news.extend(self.notes.take().map(|(node, share)| News::Delivered(node, share)));
                self.timers.at(now + Span::from_secs(NOTES_EVERY), Timer::Notes);
            }
        }
    }
}

fn viewing(want: ViewerRequest, patience: Span) -> SessionRequest {
    let ViewerRequest { group, title, top_rung: top, first_cell: home, cell_count: copies, .. } = want;
    SessionRequest {
        group,
        title,
        top_rung: top,
        first_cell: home,
        cell_count: copies,
        setup_timeout: patience,
    }
}

fn tell(round: &mut Round, roster: &Membership, news: &News) {
    match *news {
        News::Turns(ref ours, of) => round.set_slow_start_turns(ours, of),
        News::Repeats(most, span) => round.set_retry_limit_per_node(most, span),
        News::Doubted(ref nodes) => round.set_suspected_nodes(nodes),
        News::List => {
            round.begin_list_snapshot();
            for (&node, entry) in roster.nodes() {
                match entry.state {
                    NodeState::Ready => round.node_ready(node, entry.info),
                    NodeState::Draining | NodeState::Gone => round.node_draining(node),
                }
            }
            round.finish_list();
        }
        News::Told(whole, ref nodes) => {
            if whole {
                round.begin_list_snapshot();
            } else {
                round.begin_list_update();
            }
            for told in nodes {
                match told.status {
                    messages::NodeStatus::Ready(place) => round.node_ready(told.node, place),
                    messages::NodeStatus::Draining => round.node_draining(told.node),
                    messages::NodeStatus::Gone => round.node_removed(told.node),
                }
            }
            round.finish_list();
        }
        News::WentOn(node) => round.node_kept_running(node),
        News::UnderWay(sess, want, node) => round.session_handed_over(sess, want, node),
        News::Asked(sess, want) => round.session_requested(sess, want),
        News::Left(sess) => round.viewer_left(sess),
        News::Started(sess, setup, node) => round.session_started(sess, setup, node),
        News::Ended(sess, setup, node, how, complete) => {
            round.attempt_ended(sess, setup, node, how, complete)
        }
        News::Stays(sess, rung) => round.session_rung_reported(sess, rung),
        News::Delivered(node, share) => round.delivery_reported(node, share),
        News::Load(node, load) => {
            if let Some(link) = load.link {
                round.link_demand_reported(node, link);
            }
            if let Some(uplink) = load.uplink {
                round.uplink_demand_reported(node, uplink);
            }
        }
        News::Probed(node, answered) => round.probe_finished(node, answered),
        News::Woke(ticket) => round.timer_fired(ticket),
    }
}
