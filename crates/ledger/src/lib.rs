//! Which sessions a director holds at nodes, and which tear-downs it owes. A session that a node set up and nobody
//! holds any longer takes a place and a part of the link until the node forgets it, a minute later by RFC 2326 (12.37).
//! So each session that was set up is written down until the node is known to have ended it, and what was lost on
//! the way, with a connection or with the director itself, is torn down later.
//!
//! | a session | is |
//! | --- | --- |
//! | set up at a node | held |
//! | torn down, and the node said so | struck out |
//! | whose connection went, or whose TEARDOWN had no answer | owed: torn down on a connection of its own, tried again with growing pauses |
//! | held when the director ended | owed by the next one that reads the ledger |
//! | at a node that has started since, or that has forgotten it by its own time-out | struck out |
//!
//! Free of I/O, clock and threads. Sessions owed at one node share their pauses, which grow, in part by chance from a
//! seed: fifty sessions lost with one node cost it a call at a time while it is away. All of it is bounded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use ashglade::ids::{NodeId, SessionId};
use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

pub mod journal;

/// A session at a node, as far as it takes to end it there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldSession {
    pub node: NodeId,
    pub address: SocketAddr,
    pub url: String,
    /// The node's name for the session.
    pub session: String,
    /// The node forgets it so long after the last word.
    pub timeout: Span,
}

/// How tear-downs that are owed are tried.
#[derive(Clone, Copy, Debug)]
pub struct TeardownPolicy {
    /// Pause before the second try; each further one is twice as long,
    pub first: Span,
    /// up to this.
    pub most: Span,
    /// Out at one node at once.
    pub at_once: usize,
    /// Sessions written down at most; beyond that the oldest debts are let go, and counted.
    pub bound: usize,
}

impl Default for TeardownPolicy {
    fn default() -> TeardownPolicy {
        TeardownPolicy { first: Span::from_ms(250.0), most: Span::from_secs(8.0), at_once: 2, bound: 100_000 }
    }
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeardownOutcome {
    /// The node ended it, or didn't know it.
    Confirmed,
    /// No connection, no answer, or another one.
    Failed,
}

/// A tear-down to be tried now.
#[derive(Clone, Debug, PartialEq)]
pub struct Teardown {
    pub session: SessionId,
    pub held: HeldSession,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub held: u64,
    pub owed: u64,
    pub calls: u64,
    pub ended: u64,
    /// Struck out because the node must have forgotten them, or has started since.
    pub forgotten: u64,
    /// Let go because there were too many.
    pub let_go: u64,
}

#[derive(Debug)]
struct Debt {
    held: HeldSession,
    since: Instant,
    out: bool,
}

/// What is owed at one node. Its debts share their pauses: a node that is away is asked for one of them at a time.
#[derive(Debug)]
struct Queue {
    waiting: VecDeque<SessionId>,
    out: usize,
    /// The next pause; more than the first while the node is away.
    pause: Span,
    away: bool,
    due: Option<Instant>,
}

#[derive(Debug)]
pub struct Ledger {
    terms: TeardownPolicy,
    random: oorandom::Rand64,
    held: BTreeMap<SessionId, HeldSession>,
    debts: BTreeMap<SessionId, Debt>,
    queues: BTreeMap<NodeId, Queue>,
    /// When each queue that waits is due.
    due: BTreeSet<(Instant, NodeId)>,
    pub tally: Tally,
}

impl Ledger {
    pub fn new(terms: TeardownPolicy, seed: u64) -> Ledger {
        Ledger {
            terms,
            random: oorandom::Rand64::new(seed.into()),
            held: BTreeMap::new(),
            debts: BTreeMap::new(),
            queues: BTreeMap::new(),
            due: BTreeSet::new(),
            tally: Tally::default(),
        }
    }

    /// Sessions held, and tear-downs owed.
    pub fn len(&self) -> (usize, usize) {
        (self.held.len(), self.debts.len())
    }

    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    /// A node set a session up.
    pub fn session_held(&mut self, sess: SessionId, held: HeldSession) {
        self.tally.held += 1;
        self.held.insert(sess, held);
        self.keep_bound();
    }

    /// The node said that it ended the session.
    pub fn session_ended(&mut self, sess: SessionId) {
        self.held.remove(&sess);
    }

    /// The session is over here, and the node has not said that it is there.
    pub fn schedule_teardown(&mut self, sess: SessionId, now: Instant) {
        if let Some(held) = self.held.remove(&sess) {
            self.debt(sess, held, now);
        }
    }

    /// What an earlier director held when it ended, as its pages tell.
    pub fn schedule_inherited(&mut self, sess: SessionId, held: HeldSession, now: Instant) {
        self.debt(sess, held, now);
    }

    fn debt(&mut self, sess: SessionId, held: HeldSession, now: Instant) {
        self.tally.owed += 1;
        let node = held.node;
        self.debts.insert(sess, Debt { held, since: now, out: false });
        // The first try is soon, but directors that lost the same node don't all come in one moment.
        let at = now + self.terms.first * self.random.rand_float();
        let pause = self.terms.first;
        let empty = || Queue { waiting: VecDeque::new(), out: 0, pause, away: false, due: None };
        let queue = self.queues.entry(node).or_insert_with(empty);
        queue.waiting.push_back(sess);
        if queue.due.is_none() && queue.out == 0 {
            self.wait(node, at);
        }
        self.keep_bound();
    }

    /// The queue is looked at again at this time.
    fn wait(&mut self, node: NodeId, at: Instant) {
        let Some(queue) = self.queues.get_mut(&node) else { return };
        if let Some(before) = queue.due.replace(at) {
            self.due.remove(&(before, node));
        }
        self.due.insert((at, node));
    }

    fn keep_bound(&mut self) {
        while self.held.len() + self.debts.len() > self.terms.bound {
            let Some(oldest) = self.debts.iter().find(|(_, debt)| !debt.out).map(|(&sess, _)| sess) else {
                return;
            };
            self.strike(oldest);
            self.tally.let_go += 1;
        }
    }

    fn strike(&mut self, sess: SessionId) {
        if let Some(debt) = self.debts.remove(&sess)
            && let Some(queue) = self.queues.get_mut(&debt.held.node)
        {
            queue.waiting.retain(|&other| other != sess);
        }
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.due.first().map(|&(at, _)| at)
    }

    /// What is to be tried now. What a node has forgotten by itself is struck out; its sessions are returned so that
    /// pages can be.
    pub fn due_teardowns(&mut self, now: Instant) -> (Vec<Teardown>, Vec<SessionId>) {
        let (mut calls, mut struck) = (Vec::new(), Vec::new());
        while let Some(&(at, node)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, node));
            let Some(queue) = self.queues.get_mut(&node) else { continue };
            queue.due = None;
            let at_once = if queue.away { 1 } else { self.terms.at_once };
            while queue.out < at_once
                && let Some(sess) = queue.waiting.pop_front()
            {
                let Some(debt) = self.debts.get_mut(&sess) else { continue };
                if now - debt.since > debt.held.timeout {
                    self.debts.remove(&sess);
                    self.tally.forgotten += 1;
                    struck.push(sess);
                    continue;
                }
                queue.out += 1;
                debt.out = true;
                self.tally.calls += 1;
                calls.push(Teardown { session: sess, held: debt.held.clone() });
            }
            if queue.out == 0 && queue.waiting.is_empty() {
                self.queues.remove(&node);
            }
        }
        (calls, struck)
    }

    /// How a try ended; true if the session is struck out.
    pub fn teardown_finished(&mut self, sess: SessionId, outcome: TeardownOutcome, now: Instant) -> bool {
        let Some(debt) = self.debts.get_mut(&sess).filter(|debt| debt.out) else { return false };
        debt.out = false;
        let node = debt.held.node;
        let ended = outcome == TeardownOutcome::Confirmed;
        if ended {
            self.debts.remove(&sess);
            self.tally.ended += 1;
        }
        let Some(queue) = self.queues.get_mut(&node) else { return ended };
        queue.out = queue.out.saturating_sub(1);
        let at = if ended {
            (queue.away, queue.pause) = (false, self.terms.first);
            now
        } else {
            queue.away = true;
            queue.waiting.push_back(sess);
            // Half of the pause is sure, half by chance: directors that failed together part.
            let at = now + queue.pause * (0.5 + self.random.rand_float());
            queue.pause = (queue.pause * 2.0).min(self.terms.most);
            at
        };
        self.wait(node, at);
        ended
    }

    /// A node has started again: it holds nothing from before. The sessions that are struck out.
    pub fn node_started(&mut self, node: NodeId, at: Instant) -> Vec<SessionId> {
        let before = |debt: &Debt| debt.held.node == node && debt.since <= at && !debt.out;
        let gone: Vec<SessionId> =
            self.debts.iter().filter(|(_, d)| before(d)).map(|(&sess, _)| sess).collect();
        for &sess in &gone {
            self.strike(sess);
            self.tally.forgotten += 1;
        }
        gone
    }
}

#[cfg(test)]
mod tests;
