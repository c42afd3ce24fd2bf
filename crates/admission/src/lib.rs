//! The door before the module: which requests go in now, which wait a bounded time, which are busy-replied at once,
//! in which order those that wait go in, and when those that are sent away are told to come back. Who plays, and
//! where, is the module's.
//!
//! [`AdmissionController::offer`] takes a request, [`AdmissionController::done`] tells how one that went in came out, [`AdmissionController::round`] gives what is to
//! be done now. There is no I/O, no clock and no thread in it.
//!
//! - [`limit`] learns how much may be in hand at once, from how long set-ups take and how many are turned away;
//! - [`fair`] holds those that wait, shares by service group and within a group by client, in bounded memory;
//! - [`heavy`] tells clients that ask far more than others, in a fixed table;
//! - [`later`] says when to come back, and spreads those that it sends away over the time in which there is room.

pub mod fair;
pub mod heavy;
pub mod later;
pub mod limit;

use ashglade::ids::{GroupId, SessionId};
use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use fair::{Fair, Ticket};
use heavy::Heavy;
use later::{Coming, Later, RetryCounters};
use limit::Limit;

/// What the door is set up with.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    pub seed: u64,
    /// By service group: its weight, and the utility of one session.
    pub groups: Vec<(f64, f64)>,
    /// Weights of tenants within a group; one at least.
    pub tenant_weights: Vec<f64>,
    /// The shortest start target.
    pub min_start_target: Span,
    /// Longest retry-after that may be told; none is told without.
    pub max_retry_after: Option<Span>,
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// In hand at once: at the beginning, at least, and at most.
    pub concurrency_limits: (f64, f64, f64),
}

/// A request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    #[serde(rename = "sess")]
    pub session: SessionId,
    pub group: GroupId,
    /// By its place among the tenants of the terms.
    #[serde(default)]
    pub tenant: usize,
    /// Whoever it comes from: a hash of its address or its name.
    pub client: u64,
    /// When an answer is wanted, and when the viewer gives up.
    pub start_target: Span,
    pub setup_timeout: Span,
}

/// How a request that went in came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupOutcome {
    Started,
    /// The module had no room, or nodes were full.
    Busy,
    /// The viewer left, or it was torn down: tells nothing of room.
    Other,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It goes to the module now, having waited so long.
    Admit { session: SessionId, waited: Span },
    /// It is busy-replied now.
    Reject { session: SessionId, retry_after: Option<Span>, reason: RejectReason },
}

/// Why a request is sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// All places to wait are taken, and its group is the one most over its share.
    NoPlace,
    /// Its turn would not come in time.
    Hopeless,
    /// Its turn did not come in time.
    TooLong,
    /// It came before it was told, and too many do.
    TooEarly,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounters {
    pub offered: u64,
    #[serde(rename = "let_in")]
    pub admitted: u64,
    #[serde(rename = "waited")]
    pub admitted_after_waiting: u64,
    /// Sent away: no place to wait, would have waited too long, or did.
    #[serde(rename = "no_place")]
    pub queue_full: u64,
    #[serde(rename = "hopeless")]
    pub deadline_unreachable: u64,
    #[serde(rename = "too_long")]
    pub wait_expired: u64,
    /// SetupOutcome before they were told, and beyond the budget of such retries.
    #[serde(rename = "too_early")]
    pub retried_early: u64,
}

/// The door as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Set-ups that may be in hand at once, and that are.
    pub limit: f64,
    #[serde(rename = "inside")]
    pub in_flight: usize,
    /// By service group.
    pub waiting: Vec<usize>,
    #[serde(rename = "tally")]
    pub counters: AdmissionCounters,
    #[serde(rename = "promises")]
    pub retries: RetryCounters,
}

/// A part of the start target is the most that anyone waits: the rest is for the set-up itself.
const WAIT_PART: f64 = 0.5;
/// Nor does anyone wait for more than this part of the setup timeout, whatever its start target is.
const TIMEOUT_PART: f64 = 0.25;
/// The door is looked at so often in a start target while anyone waits.
const LOOKS: f64 = 20.0;

#[derive(Debug)]
pub struct AdmissionController {
    terms: AdmissionConfig,
    limit: Limit,
    fair: Fair,
    heavy: Heavy,
    later: Later,
    /// Requests that went in and have not come out, with when.
    inside: std::collections::BTreeMap<SessionId, Instant>,
    /// When it was last looked whose turn can't come in time.
    looked: Instant,
    /// Nothing more goes in just now, whatever the limit.
    held: bool,
    /// What is to be done since the last round.
    verdicts: Vec<AdmissionDecision>,
    pub counters: AdmissionCounters,
}

impl AdmissionController {
    pub fn new(terms: AdmissionConfig, now: Instant) -> AdmissionController {
        AdmissionController {
            limit: Limit::new(terms.concurrency_limits, terms.min_start_target, now),
            fair: Fair::new(&terms.groups, &terms.tenant_weights, terms.max_waiting, terms.seed),
            heavy: Heavy::new(terms.seed, now),
            later: Later::new(terms.max_retry_after, terms.min_start_target, terms.seed, now),
            inside: std::collections::BTreeMap::new(),
            looked: now,
            held: false,
            verdicts: Vec::new(),
            counters: AdmissionCounters::default(),
            terms,
        }
    }

    /// Requests that wait, and that went in and have not come out.
    pub fn waiting_and_in_flight(&self) -> (usize, usize) {
        (self.fair.len(), self.inside.len())
    }

    /// What is to be seen of the door just now.
    pub fn status(&self) -> AdmissionStatus {
        AdmissionStatus {
            limit: self.limit.now(),
            in_flight: self.inside.len(),
            waiting: self.fair.waiting(),
            counters: self.counters.clone(),
            retries: self.later.kept.clone(),
        }
    }

    /// Nothing more goes in just now, though the limit is not reached: what is in hand takes too long.
    pub fn is_paused(&self) -> bool {
        self.held
    }

    /// How many may be in hand at once just now.
    pub fn limit(&self) -> f64 {
        self.limit.now()
    }

    /// A request comes. It waits in its queue; [`AdmissionController::round`] says what becomes of it.
    pub fn offer(&mut self, request: AdmissionRequest, now: Instant) {
        self.counters.offered += 1;
        let coming = self.later.came(request.client, now);
        let heavy = self.heavy.asks(request.client, now);
        let patience = (request.start_target * WAIT_PART).min(request.setup_timeout * TIMEOUT_PART);
        let promised = coming == Coming::Promised && heavy.is_none();
        let ticket = Ticket { request, since: now, until: now + patience, promised, heavy };
        if coming == Coming::TooMany {
            self.send_away(ticket, RejectReason::TooEarly, now);
        } else if let Err(turned) = self.fair.push(ticket) {
            self.send_away(turned, RejectReason::NoPlace, now);
        }
    }

    /// The viewer of a request that waits has gone; false if it doesn't wait here.
    pub fn cancel(&mut self, session: SessionId) -> bool {
        self.fair.remove(session)
    }

    /// A request that went in has come out.
    pub fn complete(&mut self, session: SessionId, how: SetupOutcome, now: Instant) {
        let Some(since) = self.inside.remove(&session) else { return };
        self.limit.came(now - since, how, self.inside.len() + 1, now);
        if how == SetupOutcome::Started {
            self.later.served(now);
        }
    }

    fn send_away(&mut self, ticket: Ticket, reason: RejectReason, now: Instant) {
        *match reason {
            RejectReason::NoPlace => &mut self.counters.queue_full,
            RejectReason::Hopeless => &mut self.counters.deadline_unreachable,
            RejectReason::TooLong => &mut self.counters.wait_expired,
            RejectReason::TooEarly => &mut self.counters.retried_early,
        } += 1;
        let AdmissionRequest { session, client, .. } = ticket.request;
        let retry_after = self.later.when(client, ticket.heavy.is_some(), now);
        self.verdicts.push(AdmissionDecision::Reject { session, retry_after, reason });
    }

    /// What is to be done now. Whoever waits too long is told so at once; then as many go in as there is room for.
    pub fn poll(&mut self, now: Instant) -> Vec<AdmissionDecision> {
        for ticket in self.fair.overdue(now) {
            self.send_away(ticket, RejectReason::TooLong, now);
        }
        self.held = self.limit.held(self.inside.values().map(|&since| now - since));
        let room = |this: &AdmissionController| !this.held && (this.inside.len() as f64) < this.limit.now();
        while room(self)
            && let Some(ticket) = self.fair.pop()
        {
            let (session, waited) = (ticket.request.session, now - ticket.since);
            self.inside.insert(session, now);
            self.later.went_in(ticket.request.client, ticket.promised);
            self.counters.admitted += 1;
            self.counters.admitted_after_waiting += u64::from(waited > Span::ZERO);
            self.verdicts.push(AdmissionDecision::Admit { session, waited });
        }
        // Those whose turn can't come in time aren't kept until it has not come.
        if now - self.looked >= self.terms.min_start_target * (1.0 / LOOKS)
            && let Some(rate) = self.limit.rate(now)
        {
            self.looked = now;
            for ticket in self.fair.hopeless(now, rate) {
                self.send_away(ticket, RejectReason::Hopeless, now);
            }
        }
        std::mem::take(&mut self.verdicts)
    }

    /// When the next round is due if nothing comes before: at once if some of those that wait may go in.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let room = !self.held && (self.inside.len() as f64) < self.limit.now();
        let after = if room { Span::ZERO } else { self.terms.min_start_target * (1.0 / LOOKS) };
        (!self.fair.is_empty()).then(|| now + after)
    }
}

#[cfg(test)]
mod tests;
