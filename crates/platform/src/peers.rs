//! The switchboard's side towards media nodes: connections, what waits for them, tests of those that have fallen silent.
//!
//! What stands at a node is tied to no connection. Its end is heard from the node; where the node can't say it, it is found
//! out: one that refuses connections has ended, one that answers no test and takes no connection is gone, and one that the
//! list tells as started since has lost what it had.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, LoadMetric};
use ashglade::time::{Instant, Span};
use ashglade_engine::{Input, LoadReport, NodeStatus, NodeUpdate};
use bytes::Bytes;
use tracing::{debug, trace, warn};

use crate::board::{Action, Board, CloseReason, Out, Trunk};
use crate::bus::News;
use crate::causes;
use crate::message::{self, Message, Tag, Verb, figure};

/// A node that says nothing for so long is tested; sessions that it lost unsaid are owed a release within 8 s.
const QUIET: f64 = 3.5;
/// A test that has no answer by then is taken for failed, and another connection is tried.
const TEST: f64 = 0.5;
/// No word and no connection for so long: it is gone.
const GONE: f64 = 5.0;
/// A connection that breaks so soon after its last word was not lost with its machine.
const FRESH: f64 = 2.0;
/// Between attempts at a connection that is wanted for what stands there, and for what is owed there alone, where each
/// that fails doubles it.
const REDIAL: f64 = 0.25;
/// What is owed to a node that takes no connection is owed so long, and what was written on one that broke as long ago.
const PENDING: f64 = 8.0;
/// A node that sessions are handed over at, and that the list doesn't tell of within so long, is gone.
const UNLISTED: f64 = 2.0;
/// Connections to one node at most. Each carries as many SETUPs at once as the settings tell, and a node has few for all
/// directors together; what finds them full is told as unsent and goes elsewhere.
const MOST_TRUNKS: usize = 4;

pub(crate) struct Peer {
    name: String,
    address: Option<SocketAddr>,
    /// The list has told of it; a session that is handed over may be told of first.
    listed: bool,
    pub removed: bool,
    trunks: BTreeSet<Trunk>,
    /// Sessions whose SETUP waits for a connection, and probes.
    waiting: VecDeque<SessionId>,
    probes: Vec<u64>,
    /// Lines that any connection may carry: releases, new rungs; each with since when it is owed.
    pending: VecDeque<(Instant, Bytes)>,
    pub standing: BTreeSet<SessionId>,
    heard: Instant,
    tested: Option<Instant>,
    dialed: Instant,
    /// Connections in a row that did not come up.
    never_up: u32,
    /// Since when a SETUP's end leaves open whether its process has started again.
    doubted: Option<Instant>,
    /// A connection was lost just after it carried a word: one that comes up at once shows that the process goes on.
    broke: Option<Instant>,
}

impl Peer {
    fn new(name: String, now: Instant) -> Peer {
        Peer {
            name,
            address: None,
            listed: false,
            removed: false,
            trunks: BTreeSet::new(),
            waiting: VecDeque::new(),
            probes: Vec::new(),
            pending: VecDeque::new(),
            standing: BTreeSet::new(),
            heard: now,
            tested: None,
            dialed: Instant::LONG_AGO,
            never_up: 0,
            doubted: None,
            broke: None,
        }
    }
}

/// A connection to a node.
pub(crate) struct Line {
    pub node: NodeId,
    up: bool,
    made: Instant,
    heard: Instant,
    /// It came up at once after another broke just behind a word.
    resumes: bool,
    open: BTreeSet<SessionId>,
    /// Releases written here that the node has not confirmed.
    released: VecDeque<(Instant, Tag)>,
    /// Tests out, with the engine's number where it asked for one.
    echoes: BTreeMap<Tag, Option<u64>>,
}

impl Board {
    // Events

    pub(crate) fn told(&mut self, now: Instant, news: News) {
        let mut left: BTreeSet<NodeId> = BTreeSet::new();
        if news.whole {
            left.extend(self.peers.keys());
        }
        let mut nodes = Vec::with_capacity(news.entries.len());
        for entry in news.entries {
            left.remove(&entry.node);
            let standing = match (entry.ready, entry.removed) {
                (true, _) => NodeStatus::Ready(entry.place),
                (_, true) => NodeStatus::Gone,
                _ => NodeStatus::Draining,
            };
            nodes.push(NodeUpdate { node: entry.node, status: standing });
            let name = entry.name;
            let peer = self.peers.entry(entry.node).or_insert_with(|| Peer::new(name, now));
            peer.listed = true;
            peer.removed = entry.removed;
            let unknown = peer.address.is_none();
            peer.address = entry.address.or(peer.address).filter(|_| !entry.removed);
            let wanted = unknown && peer.address.is_some() && !peer.standing.is_empty();
            if entry.removed {
                peer.pending.clear();
            }
            if let Some(started) = entry.place.started {
                self.started_again(now, entry.node, started);
            }
            if wanted {
                self.dial(now, entry.node);
            }
        }
        for node in left {
            nodes.push(NodeUpdate { node, status: NodeStatus::Gone });
            if let Some(peer) = self.peers.get_mut(&node) {
                (peer.listed, peer.removed, peer.address) = (true, true, None);
                peer.pending.clear();
            }
        }
        self.inputs.push(Input::DiscoveryUpdate { full: news.whole, nodes });
    }

    /// What was there before is lost.
    fn started_again(&mut self, now: Instant, node: NodeId, started: Instant) {
        let Some(peer) = self.peers.get(&node) else { return };
        let made = |trunk: &Trunk| self.trunks.get(trunk).is_some_and(|line| line.made < started);
        let old: Vec<Trunk> = peer.trunks.iter().copied().filter(made).collect();
        let since =
            |sess: &SessionId| self.calls.get(sess).and_then(|call| call.at).is_some_and(|at| at.1 < started);
        let lost: Vec<SessionId> = peer.standing.iter().copied().filter(since).collect();
        for sess in lost {
            self.over(now, sess, AttemptOutcome::Lost, true);
        }
        for trunk in old {
            self.let_go(now, trunk);
        }
    }

    /// A session is handed over that plays at a node of this name, of which the list may tell a moment later.
    pub(crate) fn named(&mut self, now: Instant, node: NodeId, name: &str) {
        self.peers.entry(node).or_insert_with(|| Peer::new(name.to_string(), now));
    }

    pub(crate) fn up(&mut self, now: Instant, trunk: Trunk) {
        let Some(line) = self.trunks.get_mut(&trunk) else { return };
        (line.up, line.heard) = (true, now);
        let node = line.node;
        let Some(peer) = self.peers.get_mut(&node) else { return };
        (peer.heard, peer.never_up) = (now, 0);
        // A process that ended takes no connection for a while, and a machine that vanished had said nothing for long. But
        // a machine takes connections for a process that is being killed: only a word on this one will show that it went on.
        line.resumes = peer.broke.take().is_some_and(|at| now - at <= self.site.connect_timeout);
        let pending = std::mem::take(&mut peer.pending);
        let (waiting, probes) = (std::mem::take(&mut peer.waiting), std::mem::take(&mut peer.probes));
        // One that failed its test is of no more use now that there is another.
        let failed = peer.tested.take().is_some_and(|at| now - at > Span::from_secs(TEST));
        let old: Vec<Trunk> = peer.trunks.iter().copied().filter(|&t| failed && t != trunk).collect();
        for (_, line) in pending {
            self.write(now, trunk, line);
        }
        for sess in waiting {
            self.send(now, sess, trunk);
        }
        for probe in probes {
            self.echo(trunk, Some(probe));
        }
        for trunk in old {
            if self.trunks.get(&trunk).is_some_and(|line| line.up) {
                self.let_go(now, trunk);
            }
        }
    }

    pub(crate) fn heard(&mut self, now: Instant, trunk: Trunk, message: Message) {
        let Some(line) = self.trunks.get_mut(&trunk) else { return };
        line.heard = now;
        let node = line.node;
        trace!(trunk = trunk.0, ?message, "heard");
        // A node that fails a test may be past its end already, with its sessions: that is no word of what stands there, and
        // a connection tried anew tells whether anybody is there.
        let failed = message.verb == Verb::Echoed && message.cause != Some(1);
        if let Some(peer) = self.peers.get_mut(&node).filter(|_| !failed) {
            (peer.heard, peer.tested) = (now, None);
        }
        let Some(tag) = message.tag else { return self.spoil(now, trunk) };
        if matches!(message.verb, Verb::Finish | Verb::Finished) {
            line.released.retain(|&(_, released)| released != tag);
        }
        let load = message.opts.get("load").map(read_load);
        let sess = self.tags.get(&tag).copied();
        let call = sess.and_then(|sess| self.calls.get(&sess));
        let answers = |out: &Out| out.sent.is_some_and(|(sent, _)| sent == trunk);
        let out = call.and_then(|call| call.out.as_ref()).filter(|out| answers(out)).map(|out| out.setup);
        let stands = call.and_then(|call| call.at).is_some_and(|(at, _)| at == node);
        // What was there before the doubt could not speak of it after another start: a connection, or a session.
        let cut = message.verb == Verb::Finish && message.cause.is_none_or(|cause| cause == causes::CUT);
        let since = call.and_then(|call| call.at).filter(|_| stands && !cut).map(|(_, since)| since);
        let (made, resumes) = self.trunks.get(&trunk).map(|line| (line.made, line.resumes)).unzip();
        if let Some(peer) = self.peers.get_mut(&node).filter(|_| !failed)
            && let Some(doubted) = peer.doubted
            && (resumes == Some(true) || made.into_iter().chain(since).any(|before| before < doubted))
        {
            peer.doubted = None;
            debug!(
                name = peer.name,
                resumes, "its process went on: what was there before speaks, or it did at once"
            );
            self.inputs.push(Input::NodeKeptRunning { node });
        }
        match (message.verb, sess) {
            (Verb::Started, Some(sess)) if out.is_some() => {
                let Some(text) = message.description else { return self.spoil(now, trunk) };
                let Some(setup) = out else { return };
                self.set_up_over(sess);
                if let Some(call) = self.calls.get_mut(&sess) {
                    (call.at, call.description, call.ask) = (Some((node, now)), Some(text), None);
                }
                self.stands(now, sess, node);
                self.inputs.push(Input::SetupAccepted { session: sess, setup, load });
            }
            (Verb::Started, _) if !stands => {
                // It comes too late to be wanted, or was never asked for.
                if let Some(at) = self.given_up.iter().position(|&given| given == (node, tag)) {
                    self.given_up.remove(at);
                    self.post(now, node, Verb::Finish, tag, &[], Some(causes::CLEARED));
                }
            }
            (Verb::Finish, sess) => {
                let Some(cause) = message.cause else { return self.spoil(now, trunk) };
                match (sess, out) {
                    (Some(sess), Some(setup)) => {
                        self.set_up_over(sess);
                        let how = causes::of_setup(cause);
                        self.inputs.push(Input::SetupFailed { session: sess, setup, outcome: how, load });
                        self.spoke(node, how, true);
                        self.settle(sess);
                    }
                    (Some(sess), None) if stands => {
                        self.inputs.extend(load.map(|load| Input::NodeLoad { node, load }));
                        let (how, owed) = causes::of_session(cause);
                        let stood = self.calls.get(&sess).and_then(|call| call.at).map(|(_, since)| since);
                        let unbroken = made.zip(stood).is_some_and(|(made, stood)| made <= stood);
                        self.over(now, sess, how, owed);
                        self.spoke(node, how, unbroken);
                    }
                    _ => {}
                }
            }
            (Verb::Echoed, _) => {
                let test = self.trunks.get_mut(&trunk).and_then(|line| line.echoes.remove(&tag));
                let passed = message.cause == Some(1);
                match test {
                    Some(Some(probe)) => {
                        let load = passed.then(|| load.unwrap_or_default());
                        self.inputs.push(Input::ProbeResult { probe, load });
                    }
                    // What a test of ours brings is worth as much as what the module asked for.
                    Some(None) if passed => {
                        self.inputs.extend(load.map(|load| Input::NodeLoad { node, load }));
                    }
                    _ => {}
                }
            }
            (Verb::Notice, Some(sess)) if stands => {
                let Some(value) = message.opts.figure("value") else { return };
                match message.opts.get("note") {
                    Some("d") => self.inputs.push(Input::NodeDelivery { node, share: value }),
                    Some("r") => {
                        self.inputs.push(Input::RungUnchanged { session: sess, rung: Rung(value as u8) })
                    }
                    Some("l") => {
                        let load = LoadReport { link: Some(value), ..LoadReport::default() };
                        self.inputs.push(Input::NodeLoad { node, load });
                    }
                    Some("u") => {
                        let load = LoadReport { uplink: Some(value), ..LoadReport::default() };
                        self.inputs.push(Input::NodeLoad { node, load });
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// A node that says itself, on the connection that its session began on, that the session was lost has not ended.
    fn spoke(&mut self, node: NodeId, how: AttemptOutcome, unbroken: bool) {
        if how == AttemptOutcome::Lost && unbroken {
            self.inputs.push(Input::NodeKeptRunning { node });
        }
    }

    pub(crate) fn down(&mut self, now: Instant, trunk: Trunk, reason: CloseReason) {
        let Some(line) = self.trunks.remove(&trunk) else { return };
        let name = self.peers.get(&line.node).map(|peer| &peer.name);
        debug!(name, trunk = trunk.0, ?reason, open = line.open.len(), "a connection to a node ended");
        let node = line.node;
        if let Some(peer) = self.peers.get_mut(&node) {
            let fresh = matches!(reason, CloseReason::Lost | CloseReason::Spoilt)
                && line.up
                && now - line.heard <= Span::from_secs(FRESH);
            if !line.open.is_empty() {
                peer.doubted = Some(now);
            }
            peer.broke = (fresh && peer.doubted.is_some()).then_some(now);
        }
        for sess in line.open {
            let Some(call) = self.calls.get_mut(&sess) else { continue };
            let Some(out) = call.out.take() else { continue };
            // It may have run, and may stand there unknown to us.
            let tag = call.tag;
            self.inputs.push(Input::SetupFailed {
                session: sess,
                setup: out.setup,
                outcome: AttemptOutcome::Lost,
                load: None,
            });
            self.owe(now, node, tag);
            self.settle(sess);
        }
        for probe in line.echoes.into_values().flatten() {
            self.inputs.push(Input::ProbeResult { probe, load: None });
        }
        // It may have gone with the connection.
        for (_, tag) in line.released.into_iter().filter(|(at, _)| now - *at <= Span::from_secs(PENDING)) {
            self.owe(now, node, tag);
        }
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.trunks.remove(&trunk);
        if reason == CloseReason::NeverUp {
            peer.never_up = (peer.never_up + 1).min(16);
        }
        if reason == CloseReason::Refused {
            // Its process has ended, and with it what stood there when the connection was begun.
            self.lose_all(now, node, line.made);
        }
        self.no_trunk_for_waiting(node, reason);
        let Some(peer) = self.peers.get(&node) else { return };
        let pending = !peer.pending.is_empty() && peer.never_up == 0;
        let wanted = !peer.standing.is_empty() || pending || peer.broke.is_some();
        if wanted && peer.trunks.is_empty() && now - peer.dialed > Span::from_secs(REDIAL) {
            self.dial(now, node);
        }
    }

    /// All that stood at the node by then is lost, and nobody is there to be told anything.
    fn lose_all(&mut self, now: Instant, node: NodeId, by: Instant) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.pending.retain(|(since, _)| *since > by);
        let stood =
            |sess: &SessionId| self.calls.get(sess).and_then(|call| call.at).is_none_or(|at| at.1 <= by);
        let lost: Vec<SessionId> = peer.standing.iter().copied().filter(stood).collect();
        for sess in lost {
            self.over(now, sess, AttemptOutcome::Lost, true);
        }
    }

    /// What waits for a connection is not begun for one that has gone, whether or not the settings let a SETUP be given up.
    pub(crate) fn recall_unsent(&mut self, sess: SessionId) {
        let Some(call) = self.calls.get_mut(&sess) else { return };
        let Some(out) = call.out.take_if(|out| out.sent.is_none()) else { return };
        if let Some(peer) = self.peers.get_mut(&out.node) {
            peer.waiting.retain(|&other| other != sess);
        }
        self.inputs.push(Input::SetupFailed {
            session: sess,
            setup: out.setup,
            outcome: AttemptOutcome::Unsent,
            load: None,
        });
    }

    /// What waits for a connection can't have one, if none is on its way.
    fn no_trunk_for_waiting(&mut self, node: NodeId, reason: CloseReason) {
        // For want of a descriptor of ours nothing was tried.
        let how =
            if reason == CloseReason::Wanting { AttemptOutcome::Unsent } else { AttemptOutcome::Unreachable };
        let Some(peer) = self.peers.get_mut(&node) else { return };
        if peer.trunks.iter().any(|trunk| self.trunks.get(trunk).is_some_and(|line| !line.up)) {
            return;
        }
        let (waiting, probes) = (std::mem::take(&mut peer.waiting), std::mem::take(&mut peer.probes));
        for sess in waiting {
            let Some(out) = self.calls.get_mut(&sess).and_then(|call| call.out.take()) else { continue };
            self.inputs.push(Input::SetupFailed {
                session: sess,
                setup: out.setup,
                outcome: how,
                load: None,
            });
            self.settle(sess);
        }
        self.inputs.extend(probes.into_iter().map(|probe| Input::ProbeResult { probe, load: None }));
    }

    // What the engine wants

    pub(crate) fn set_up(&mut self, now: Instant, sess: SessionId, out: Out) {
        let (node, setup) = (out.node, out.setup);
        let Some(call) = self.calls.get_mut(&sess) else { return };
        if self.peers.get(&node).is_none_or(|peer| peer.address.is_none()) {
            return self.inputs.push(Input::SetupFailed {
                session: sess,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
        }
        call.out = Some(out);
        match self.trunk(now, node) {
            Some(trunk) => self.send(now, sess, trunk),
            None => match self.peers.get_mut(&node) {
                Some(peer) if peer.trunks.iter().any(|t| self.trunks.get(t).is_some_and(|line| !line.up)) => {
                    peer.waiting.push_back(sess);
                }
                // All it may have are full, or we may have no more: nothing was tried.
                _ => {
                    if let Some(call) = self.calls.get_mut(&sess) {
                        call.out = None;
                    }
                    self.inputs.push(Input::SetupFailed {
                        session: sess,
                        setup,
                        outcome: AttemptOutcome::Unsent,
                        load: None,
                    });
                }
            },
        }
    }

    /// Writes the SETUP that waits. From here on it may have run.
    fn send(&mut self, now: Instant, sess: SessionId, trunk: Trunk) {
        let Some(call) = self.calls.get_mut(&sess) else { return };
        let (Some(out), Some(ask)) = (call.out.as_mut(), call.ask.as_ref()) else { return };
        let setup = out.setup;
        if call.answered || now >= out.until {
            // Nobody waits for it any longer.
            call.out = None;
            self.inputs.push(Input::SetupFailed {
                session: sess,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
            return self.settle(sess);
        }
        let (rung, left) = (out.rung.0.to_string(), (out.until - now).as_ms().floor().max(1.0).to_string());
        let opts =
            [("class", ask.class.as_str()), ("key", ask.key.as_str()), ("left", &left), ("rung", &rung)];
        let line = message::write(Verb::Start, call.tag, &opts, None, Some(&ask.description));
        let Some(line) = line else {
            call.out = None;
            return self.inputs.push(Input::SetupFailed {
                session: sess,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            });
        };
        out.sent = Some((trunk, now));
        call.begun = true;
        if let Some(on) = self.trunks.get_mut(&trunk) {
            on.open.insert(sess);
        }
        self.inputs.push(Input::SetupWritten { session: sess, setup });
        self.actions.push(Action::ToNode(trunk, line));
    }

    pub(crate) fn withdraw(&mut self, now: Instant, sess: SessionId, setup: SetupNumber, if_unsent: bool) {
        let Some(call) = self.calls.get_mut(&sess) else { return };
        let Some(out) = call.out.as_ref().filter(|out| out.setup == setup) else { return };
        let (tag, node, late, sent) = (call.tag, out.node, now >= out.until, out.sent);
        let Some((trunk, at)) = sent else {
            call.out = None;
            if let Some(peer) = self.peers.get_mut(&node) {
                peer.waiting.retain(|&other| other != sess);
            }
            let how = if late { AttemptOutcome::Unreachable } else { AttemptOutcome::Unsent };
            self.inputs.push(Input::SetupFailed { session: sess, setup, outcome: how, load: None });
            return self.settle(sess);
        };
        if if_unsent {
            return;
        }
        self.set_up_over(sess);
        self.given_up.push_back((node, tag));
        if self.given_up.len() > self.bounds.owed {
            self.given_up.pop_front();
            warn!("more SETUPs were given up than are held: what comes of the oldest stays where it is");
        }
        self.inputs.push(Input::SetupFailed {
            session: sess,
            setup,
            outcome: AttemptOutcome::Silent,
            load: None,
        });
        if late && let Some(peer) = self.peers.get_mut(&node) {
            peer.doubted = Some(now);
        }
        if let Some(line) = give_up(tag) {
            self.write(now, trunk, line);
        }
        // Not a word since it was sent: whatever the cause, nothing else open there will be answered.
        if late && self.trunks.get(&trunk).is_some_and(|line| line.heard <= at) {
            self.let_go(now, trunk);
        }
        self.settle(sess);
    }

    pub(crate) fn change_rung(&mut self, now: Instant, sess: SessionId, rung: Rung) {
        let Some(call) = self.calls.get(&sess) else { return };
        if let Some((node, _)) = call.at {
            let tag = call.tag;
            self.post(now, node, Verb::Rate, tag, &[("rung", &rung.0.to_string())], None);
        }
    }

    /// Tears the session down at its node, if it stands there.
    pub(crate) fn release(&mut self, now: Instant, sess: SessionId) {
        if let Some((node, _)) = self.calls.get(&sess).and_then(|call| call.at)
            && let Some(tag) = self.calls.get(&sess).map(|call| call.tag)
        {
            self.forget_standing(sess);
            self.post(now, node, Verb::Finish, tag, &[], Some(causes::CLEARED));
        }
        self.settle(sess);
    }

    pub(crate) fn probe(&mut self, now: Instant, probe: u64, node: NodeId) {
        match self.trunk(now, node) {
            Some(trunk) => self.echo(trunk, Some(probe)),
            None => match self.peers.get_mut(&node) {
                Some(peer) if !peer.trunks.is_empty() => peer.probes.push(probe),
                _ => self.inputs.push(Input::ProbeResult { probe, load: None }),
            },
        }
    }

    // Connections

    pub(crate) fn stands(&mut self, now: Instant, sess: SessionId, node: NodeId) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.standing.insert(sess);
        if peer.trunks.is_empty() {
            peer.heard = now;
            self.dial(now, node);
        }
    }

    /// A SETUP has its answer, or is given up.
    fn set_up_over(&mut self, sess: SessionId) {
        let out = self.calls.get_mut(&sess).and_then(|call| call.out.take());
        if let Some((trunk, _)) = out.and_then(|out| out.sent)
            && let Some(line) = self.trunks.get_mut(&trunk)
        {
            line.open.remove(&sess);
        }
    }

    /// A connection that takes a further SETUP; where there is none, one is on its way if one may be.
    fn trunk(&mut self, now: Instant, node: NodeId) -> Option<Trunk> {
        let peer = self.peers.get(&node)?;
        let streams = self.site.max_streams_per_connection.unwrap_or(usize::MAX);
        let on = |trunk: &&Trunk| self.trunks.get(trunk).is_some_and(|l| l.up && l.open.len() < streams);
        if let Some(&trunk) = peer.trunks.iter().rev().find(on) {
            return Some(trunk);
        }
        if peer.trunks.iter().all(|trunk| self.trunks.get(trunk).is_none_or(|line| line.up)) {
            self.dial(now, node);
        }
        None
    }

    fn dial(&mut self, now: Instant, node: NodeId) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let Some(address) = peer.address.filter(|_| peer.trunks.len() < MOST_TRUNKS) else { return };
        if self.trunks.len() >= self.descriptors()[1] {
            self.make_room(now);
            if self.trunks.len() >= self.descriptors()[1] {
                return;
            }
        }
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let trunk = Trunk(self.next_trunk);
        self.next_trunk += 1;
        peer.trunks.insert(trunk);
        peer.dialed = now;
        let line = Line {
            node,
            up: false,
            made: now,
            heard: now,
            resumes: false,
            open: BTreeSet::new(),
            released: VecDeque::new(),
            echoes: BTreeMap::new(),
        };
        self.trunks.insert(trunk, line);
        self.actions.push(Action::Dial(trunk, address));
    }

    /// As many connections as may be: one of no use at present is closed, so that the next attempt finds room.
    fn make_room(&mut self, now: Instant) {
        let idle = |line: &Line| line.up && line.open.is_empty() && line.echoes.is_empty();
        let unused = |line: &Line| self.peers.get(&line.node).is_none_or(|peer| peer.standing.is_empty());
        let spare = self.trunks.iter().filter(|(_, line)| idle(line) && unused(line));
        if let Some(trunk) = spare.min_by_key(|(_, line)| line.heard).map(|(&trunk, _)| trunk) {
            debug!(trunk = trunk.0, "of no use at present: closed for want of descriptors");
            self.let_go(now, trunk);
        }
    }

    pub(crate) fn spoil(&mut self, now: Instant, trunk: Trunk) {
        self.hang_up(trunk);
        self.down(now, trunk, CloseReason::Spoilt);
    }

    pub(crate) fn let_go(&mut self, now: Instant, trunk: Trunk) {
        self.hang_up(trunk);
        self.down(now, trunk, CloseReason::Silent);
    }

    fn hang_up(&mut self, trunk: Trunk) {
        if let Some(line) = self.trunks.get(&trunk) {
            self.hung_up.insert(trunk, line.node);
            self.actions.push(Action::HangUp(trunk));
        }
    }

    /// Lines that were not written before their connection ended: what must reach the node goes on another.
    pub(crate) fn untaken(&mut self, now: Instant, trunk: Trunk, lines: Vec<Bytes>) {
        let Some(&node) = self.hung_up.get(&trunk) else { return };
        for line in lines {
            let told = Message::read(&line).ok().filter(|told| told.verb == Verb::Finish);
            if let Some(tag) = told.and_then(|told| told.tag) {
                self.owe(now, node, tag);
            }
        }
    }

    /// Writes a line; a release is remembered until the node confirms it.
    fn write(&mut self, now: Instant, trunk: Trunk, line: Bytes) {
        let told = Message::read(&line).ok().filter(|told| told.verb == Verb::Finish);
        if let Some(tag) = told.and_then(|told| told.tag)
            && let Some(on) = self.trunks.get_mut(&trunk)
        {
            if on.released.len() >= self.bounds.owed {
                on.released.pop_front();
                warn!(
                    trunk = trunk.0,
                    "more releases are unconfirmed than are held: the oldest is not sent again"
                );
            }
            on.released.push_back((now, tag));
        }
        self.actions.push(Action::ToNode(trunk, line));
    }

    /// No line waits for a connection to a node.
    pub(crate) fn nothing_waits_for_nodes(&self) -> bool {
        self.peers.values().all(|peer| peer.pending.is_empty())
    }

    fn echo(&mut self, trunk: Trunk, probe: Option<u64>) {
        let tag = Tag::of(self.next_echo);
        self.next_echo = self.next_echo.wrapping_add(1);
        if let Some(line) = self.trunks.get_mut(&trunk) {
            line.echoes.insert(tag, probe);
        }
        // One that asks for the report costs no more than one that doesn't.
        let line = message::write(Verb::Echo, tag, &[], Some(1), None);
        self.actions.extend(line.map(|line| Action::ToNode(trunk, line)));
    }

    fn owe(&mut self, now: Instant, node: NodeId, tag: Tag) {
        let Some(line) = give_up(tag) else { return };
        let owed = |peer: &Peer| peer.pending.iter().any(|(_, other)| *other == line);
        if self.peers.get(&node).is_some_and(|peer| !owed(peer)) {
            self.keep(now, node, line);
        }
    }

    /// Keeps a line until there is a connection to the node.
    fn keep(&mut self, now: Instant, node: NodeId, line: Bytes) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        if peer.pending.len() < self.bounds.owed {
            peer.pending.push_back((now, line));
        } else {
            warn!(name = peer.name, "more lines wait for a connection than are held: one is not sent");
        }
    }

    /// Sends a line that any connection to the node may carry.
    fn post(
        &mut self,
        now: Instant,
        node: NodeId,
        verb: Verb,
        tag: Tag,
        opts: &[(&str, &str)],
        cause: Option<u16>,
    ) {
        let Some(line) = message::write(verb, tag, opts, cause, None) else { return };
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let up = |trunk: &&Trunk| self.trunks.get(trunk).is_some_and(|line| line.up);
        if let Some(&trunk) = peer.trunks.iter().rev().find(up) {
            return self.write(now, trunk, line);
        }
        let unconnected = peer.trunks.is_empty();
        self.keep(now, node, line);
        if unconnected {
            self.dial(now, node);
        }
    }

    pub(crate) fn look_at_peers(&mut self, now: Instant) {
        let nodes: Vec<NodeId> = self.peers.keys().copied().collect();
        for node in nodes {
            self.look_at(now, node);
        }
    }

    fn look_at(&mut self, now: Instant, node: NodeId) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let after = |at: Instant, secs: f64| now - at > Span::from_secs(secs);
        if peer.address.is_none() && peer.listed {
            // No longer listed: nobody is there to be told. A line owed since must not keep what stood there from its end.
            peer.pending.clear();
        }
        peer.pending.retain(|(since, _)| !after(*since, PENDING));
        let pause = REDIAL * f64::from(1u32 << peer.never_up.min(5));
        if peer.trunks.is_empty() && !peer.pending.is_empty() && after(peer.dialed, pause) {
            return self.dial(now, node);
        }
        if peer.standing.is_empty() {
            let open = |trunk: &Trunk| self.trunks.get(trunk).is_some_and(|line| !line.open.is_empty());
            let unlisted = !peer.listed && peer.pending.is_empty();
            if (peer.removed || unlisted) && peer.waiting.is_empty() && !peer.trunks.iter().any(open) {
                let trunks = peer.trunks.clone();
                trunks.into_iter().for_each(|trunk| self.let_go(now, trunk));
                self.peers.remove(&node);
            }
            return;
        }
        let listed = peer.listed || after(peer.heard, UNLISTED);
        let gone = listed && peer.trunks.is_empty() && peer.address.is_none();
        if after(peer.heard, GONE) || gone {
            debug!(name = peer.name, standing = peer.standing.len(), "a node is gone unsaid");
            let trunks = peer.trunks.clone();
            self.lose_all(now, node, now);
            return trunks.into_iter().for_each(|trunk| self.let_go(now, trunk));
        }
        let up = |trunk: &&Trunk| self.trunks.get(trunk).is_some_and(|line| line.up);
        let on = peer.trunks.iter().find(up).copied();
        let dialing = peer.trunks.iter().any(|trunk| self.trunks.get(trunk).is_some_and(|line| !line.up));
        match (on, peer.tested) {
            (Some(trunk), None) if after(peer.heard, QUIET) => {
                peer.tested = Some(now);
                self.echo(trunk, None);
            }
            (Some(_), Some(at)) if after(at, TEST) && !dialing => self.dial(now, node),
            (None, _) if !dialing && after(peer.dialed, REDIAL) => self.dial(now, node),
            _ => {}
        }
    }
}

fn give_up(tag: Tag) -> Option<Bytes> {
    message::write(Verb::Finish, tag, &[], Some(causes::CLEARED), None)
}

/// A report: figures by the names of the settings, as in `x0:0.12;x1:0.4`.
fn read_load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = figure(value);
        match ashglade_site::load_metric(name) {
            LoadMetric::Link => load.link = value,
            LoadMetric::Uplink => load.uplink = value,
            LoadMetric::Streams => load.streams = value,
            LoadMetric::Other => {}
        }
    }
    load
}
