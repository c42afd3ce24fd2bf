//! Ledger of the sessions that a director holds at nodes and of the tear-downs that are pending. A session
//! that a node has set up and that no director uses takes a stream and link capacity until the node's session
//! timeout, a minute by default (RFC 2326, 12.37). Therefore each session is recorded until the node is known
//! to have ended it. A session lost with its connection or with the director itself is torn down later.
//!
//! | session | state |
//! | --- | --- |
//! | set up at a node | held |
//! | torn down, confirmed by the node | removed |
//! | connection lost or TEARDOWN unanswered | pending: torn down on a new connection, with backoff |
//! | held when the director stopped | pending at the next director that reads the journal |
//! | node restarted since, or its session timeout passed | removed |
//!
//! The ledger does no I/O, reads no clock and starts no thread. The pending tear-downs of a node share one
//! exponential backoff with seeded jitter, so a node that is down gets one attempt at a time even if fifty
//! sessions were lost with it. The number of sessions is bounded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use ashglade::ids::{NodeId, SessionId};
use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

pub mod journal;

/// A session at a node, with what is needed to tear it down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldSession {
    pub node: NodeId,
    pub address: SocketAddr,
    pub url: String,
    /// The node's identifier of the session (RTSP `Session` header).
    pub session: String,
    /// The time after the last request at which the node drops the session by itself.
    pub timeout: Span,
}

/// How pending tear-downs are retried.
#[derive(Clone, Copy, Debug)]
pub struct TeardownPolicy {
    /// Backoff before the second attempt. It doubles with each failure.
    pub initial_backoff: Span,
    pub max_backoff: Span,
    /// Maximum number of tear-downs in flight to one node.
    pub max_in_flight_per_node: usize,
    /// Maximum number of sessions in the ledger. Beyond it the oldest pending tear-downs are dropped and counted.
    pub max_sessions: usize,
}

impl Default for TeardownPolicy {
    fn default() -> TeardownPolicy {
        TeardownPolicy {
            initial_backoff: Span::from_ms(250.0),
            max_backoff: Span::from_secs(8.0),
            max_in_flight_per_node: 2,
            max_sessions: 100_000,
        }
    }
}

/// Result of an attempt to tear a session down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeardownOutcome {
    /// The node ended the session or doesn't know it.
    Confirmed,
    /// No connection, no response, or a response with another status.
    Failed,
}

/// A tear-down to attempt now.
#[derive(Clone, Debug, PartialEq)]
pub struct Teardown {
    pub session: SessionId,
    pub held: HeldSession,
}

/// Counters since the ledger was created.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LedgerTally {
    /// Sessions recorded as held.
    pub held: u64,
    /// Tear-downs that became pending.
    #[serde(rename = "owed")]
    pub scheduled: u64,
    /// Attempts to tear a session down.
    #[serde(rename = "calls")]
    pub attempts: u64,
    /// Attempts that the node confirmed.
    #[serde(rename = "ended")]
    pub confirmed: u64,
    /// Sessions removed because their node must have dropped them or has restarted.
    #[serde(rename = "forgotten")]
    pub expired: u64,
    /// Tear-downs dropped because of the session limit.
    #[serde(rename = "let_go")]
    pub dropped: u64,
}

#[derive(Debug)]
struct PendingTeardown {
    held: HeldSession,
    since: Instant,
    in_flight: bool,
}

/// Pending tear-downs of one node. They share the backoff, so a node that is down gets one attempt at a time.
#[derive(Debug)]
struct NodeQueue {
    waiting: VecDeque<SessionId>,
    /// Number of attempts in flight.
    in_flight: usize,
    /// The backoff after the next failure.
    backoff: Span,
    /// The last attempt failed.
    failing: bool,
    /// When the next attempt is due.
    due: Option<Instant>,
}

/// Held sessions and pending tear-downs of one director.
#[derive(Debug)]
pub struct Ledger {
    policy: TeardownPolicy,
    random: oorandom::Rand64,
    held: BTreeMap<SessionId, HeldSession>,
    pending: BTreeMap<SessionId, PendingTeardown>,
    queues: BTreeMap<NodeId, NodeQueue>,
    /// When each waiting queue is due.
    due: BTreeSet<(Instant, NodeId)>,
    pub tally: LedgerTally,
}

impl Ledger {
    /// Creates an empty ledger. `seed` seeds the jitter.
    pub fn new(policy: TeardownPolicy, seed: u64) -> Ledger {
        Ledger {
            policy,
            random: oorandom::Rand64::new(seed.into()),
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            queues: BTreeMap::new(),
            due: BTreeSet::new(),
            tally: LedgerTally::default(),
        }
    }

    /// Returns the number of held sessions and the number of pending tear-downs.
    pub fn len(&self) -> (usize, usize) {
        (self.held.len(), self.pending.len())
    }

    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    /// Records a session that a node has set up.
    pub fn session_held(&mut self, session: SessionId, held: HeldSession) {
        self.tally.held += 1;
        self.held.insert(session, held);
        self.enforce_limit();
    }

    /// Removes a session whose end the node has confirmed.
    pub fn session_ended(&mut self, session: SessionId) {
        self.held.remove(&session);
    }

    /// Schedules the tear-down of a held session that ended here without confirmation by the node.
    pub fn schedule_teardown(&mut self, session: SessionId, now: Instant) {
        if let Some(held) = self.held.remove(&session) {
            self.schedule(session, held, now);
        }
    }

    /// Schedules the tear-down of a session that an earlier director held when it stopped, as read from its
    /// journal.
    pub fn schedule_inherited(&mut self, session: SessionId, held: HeldSession, now: Instant) {
        self.schedule(session, held, now);
    }

    fn schedule(&mut self, session: SessionId, held: HeldSession, now: Instant) {
        self.tally.scheduled += 1;
        let node = held.node;
        self.pending.insert(session, PendingTeardown { held, since: now, in_flight: false });
        // The first attempt is made soon, with jitter so that directors that lost the same node don't come at
        // once.
        let at = now + self.policy.initial_backoff * self.random.rand_float();
        let backoff = self.policy.initial_backoff;
        let empty =
            || NodeQueue { waiting: VecDeque::new(), in_flight: 0, backoff, failing: false, due: None };
        let queue = self.queues.entry(node).or_insert_with(empty);
        queue.waiting.push_back(session);
        if queue.due.is_none() && queue.in_flight == 0 {
            self.set_due(node, at);
        }
        self.enforce_limit();
    }

    /// Makes the node's queue due at `at`.
    fn set_due(&mut self, node: NodeId, at: Instant) {
        let Some(queue) = self.queues.get_mut(&node) else { return };
        if let Some(before) = queue.due.replace(at) {
            self.due.remove(&(before, node));
        }
        self.due.insert((at, node));
    }

    /// Drops pending tear-downs until the session limit is met. Those in flight are kept.
    fn enforce_limit(&mut self) {
        while self.held.len() + self.pending.len() > self.policy.max_sessions {
            let Some(oldest) =
                self.pending.iter().find(|(_, pending)| !pending.in_flight).map(|(&session, _)| session)
            else {
                return;
            };
            self.remove_pending(oldest);
            self.tally.dropped += 1;
        }
    }

    fn remove_pending(&mut self, session: SessionId) {
        if let Some(pending) = self.pending.remove(&session)
            && let Some(queue) = self.queues.get_mut(&pending.held.node)
        {
            queue.waiting.retain(|&other| other != session);
        }
    }

    /// Returns when [`Ledger::due_teardowns`] has to be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.due.first().map(|&(at, _)| at)
    }

    /// Returns the tear-downs to attempt now, and the sessions removed because their node has dropped them by
    /// its own timeout, so that the caller can remove them from the journal.
    pub fn due_teardowns(&mut self, now: Instant) -> (Vec<Teardown>, Vec<SessionId>) {
        let (mut teardowns, mut expired) = (Vec::new(), Vec::new());
        while let Some(&(at, node)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, node));
            let Some(queue) = self.queues.get_mut(&node) else { continue };
            queue.due = None;
            let max_in_flight = if queue.failing { 1 } else { self.policy.max_in_flight_per_node };
            while queue.in_flight < max_in_flight
                && let Some(session) = queue.waiting.pop_front()
            {
                let Some(pending) = self.pending.get_mut(&session) else { continue };
                if now - pending.since > pending.held.timeout {
                    self.pending.remove(&session);
                    self.tally.expired += 1;
                    expired.push(session);
                    continue;
                }
                queue.in_flight += 1;
                pending.in_flight = true;
                self.tally.attempts += 1;
                teardowns.push(Teardown { session, held: pending.held.clone() });
            }
            if queue.in_flight == 0 && queue.waiting.is_empty() {
                self.queues.remove(&node);
            }
        }
        (teardowns, expired)
    }

    /// Records the outcome of an attempt. Returns true if the session is removed.
    pub fn teardown_finished(&mut self, session: SessionId, outcome: TeardownOutcome, now: Instant) -> bool {
        let Some(pending) = self.pending.get_mut(&session).filter(|pending| pending.in_flight) else {
            return false;
        };
        pending.in_flight = false;
        let node = pending.held.node;
        let confirmed = outcome == TeardownOutcome::Confirmed;
        if confirmed {
            self.pending.remove(&session);
            self.tally.confirmed += 1;
        }
        let Some(queue) = self.queues.get_mut(&node) else { return confirmed };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        let at = if confirmed {
            (queue.failing, queue.backoff) = (false, self.policy.initial_backoff);
            now
        } else {
            queue.failing = true;
            queue.waiting.push_back(session);
            // Jitter of half a backoff either way, so that directors that failed together don't retry
            // together.
            let at = now + queue.backoff * (0.5 + self.random.rand_float());
            queue.backoff = (queue.backoff * 2.0).min(self.policy.max_backoff);
            at
        };
        self.set_due(node, at);
        confirmed
    }

    /// Removes the pending tear-downs of a node that restarted at `at`, as its earlier sessions are gone.
    /// Returns the sessions that were removed.
    pub fn node_started(&mut self, node: NodeId, at: Instant) -> Vec<SessionId> {
        let gone = |pending: &PendingTeardown| {
            pending.held.node == node && pending.since <= at && !pending.in_flight
        };
        let removed: Vec<SessionId> =
            self.pending.iter().filter(|(_, p)| gone(p)).map(|(&session, _)| session).collect();
        for &session in &removed {
            self.remove_pending(session);
            self.tally.expired += 1;
        }
        removed
    }
}

#[cfg(test)]
mod tests;
