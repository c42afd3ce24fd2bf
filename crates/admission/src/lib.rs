//! Admission control in front of the module that places sessions: which requests pass at once, which wait for
//! a bounded time, which get a busy reply, in which order waiting requests are admitted, and when rejected
//! clients are told to retry. Whether an admitted session plays, and at which node, is decided by the module.
//!
//! [`AdmissionController::offer`] takes a request, [`AdmissionController::complete`] reports the outcome of
//! an admitted one, and [`AdmissionController::poll`] returns the decisions that are due. The crate does no
//! I/O, reads no clock and starts no threads: the caller passes in the time.
//!
//! - [`concurrency_limit`] learns how many set-ups may be in flight, from their duration and the busy
//!   replies;
//! - [`fair_queue`] holds waiting requests in bounded memory and shares admissions between service groups,
//!   tenants and clients;
//! - [`heavy_hitters`] detects clients that send far more requests than others, with a table of fixed size;
//! - [`retry_scheduler`] computes retry-after times that spread rejected clients over the capacity that is
//!   left.

pub mod concurrency_limit;
pub mod fair_queue;
pub mod heavy_hitters;
pub mod retry_scheduler;

use ashglade::ids::{GroupId, SessionId};
use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use concurrency_limit::ConcurrencyLimit;
use fair_queue::{FairQueue, QueuedRequest};
use heavy_hitters::HeavyHitters;
use retry_scheduler::{Arrival, RetryCounters, RetryScheduler};

/// Configuration of an [`AdmissionController`].
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Seed of the hash functions and of random retry delays.
    pub seed: u64,
    /// Weight of each service group and the utility of one of its sessions, indexed by [`GroupId`].
    pub groups: Vec<(f64, f64)>,
    /// Weights of the tenants within a group; at least one.
    pub tenant_weights: Vec<f64>,
    /// The shortest start target of any service group.
    pub min_start_target: Span,
    /// The longest retry-after that may be sent; without it, busy replies carry none.
    pub max_retry_after: Option<Span>,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Limit on set-ups in flight: initial, minimum and maximum.
    pub concurrency_limits: (f64, f64, f64),
}

/// A session request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The session to be set up.
    #[serde(rename = "sess")]
    pub session: SessionId,
    /// The service group whose share of the admissions the request uses.
    pub group: GroupId,
    /// Index of the tenant in [`AdmissionConfig::tenant_weights`].
    #[serde(default)]
    pub tenant: usize,
    /// Hash of the client's address or name.
    pub client: u64,
    /// Time within which the viewer expects the session to start.
    pub start_target: Span,
    /// Time after which the viewer gives up.
    pub setup_timeout: Span,
}

/// Outcome of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupOutcome {
    /// The session plays.
    Started,
    /// The module found no capacity, or the nodes were full.
    Busy,
    /// The viewer left or the session was torn down, which says nothing about capacity.
    Other,
}

/// What the caller has to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Pass the request to the module; `waited` is the time that it spent in the queue.
    Admit { session: SessionId, waited: Span },
    /// Send a busy reply.
    Reject { session: SessionId, retry_after: Option<Span>, reason: RejectReason },
}

/// Why a request was rejected. The names of the variants appear in logs, records and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The queue is full, and this request's group is the one that exceeds its share the most.
    NoPlace,
    /// The request cannot reach the head of the queue before its deadline.
    Hopeless,
    /// The deadline passed while the request waited.
    TooLong,
    /// The client retried before its retry-after, and the budget for such early retries is spent.
    TooEarly,
}

/// Totals since the controller was created.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCounters {
    /// Requests offered.
    pub offered: u64,
    /// Requests admitted.
    #[serde(rename = "let_in")]
    pub admitted: u64,
    /// Admitted requests that had to wait.
    #[serde(rename = "waited")]
    pub admitted_after_waiting: u64,
    /// Requests rejected as [`RejectReason::NoPlace`].
    #[serde(rename = "no_place")]
    pub queue_full: u64,
    /// Requests rejected as [`RejectReason::Hopeless`].
    #[serde(rename = "hopeless")]
    pub deadline_unreachable: u64,
    /// Requests rejected as [`RejectReason::TooLong`].
    #[serde(rename = "too_long")]
    pub wait_expired: u64,
    /// Requests rejected as [`RejectReason::TooEarly`].
    #[serde(rename = "too_early")]
    pub retried_early: u64,
}

/// Snapshot of the controller for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Current limit on set-ups in flight.
    pub limit: f64,
    /// Set-ups in flight.
    #[serde(rename = "inside")]
    pub in_flight: usize,
    /// Waiting requests by service group.
    pub waiting: Vec<usize>,
    /// Totals of requests and decisions.
    #[serde(rename = "tally")]
    pub counters: AdmissionCounters,
    /// Totals of retry slots and returning clients.
    #[serde(rename = "promises")]
    pub retries: RetryCounters,
}

/// Longest wait as a fraction of the start target; the rest is left for the set-up itself.
const MAX_WAIT_START_TARGET_FRACTION: f64 = 0.5;
/// Longest wait as a fraction of the setup timeout, whatever the start target is.
const MAX_WAIT_SETUP_TIMEOUT_FRACTION: f64 = 0.25;
/// Checks of the queue per start target while requests wait.
const CHECKS_PER_START_TARGET: f64 = 20.0;

/// Queues, admits and rejects session requests.
#[derive(Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    heavy_hitters: HeavyHitters,
    retry_scheduler: RetryScheduler,
    /// Admitted requests without an outcome yet, with the time of their admission.
    in_flight: std::collections::BTreeMap<SessionId, Instant>,
    /// When the queue was last searched for requests that cannot be admitted before their deadline.
    last_deadline_check: Instant,
    /// Whether admissions are suspended regardless of the limit.
    paused: bool,
    /// Decisions that the next poll returns.
    decisions: Vec<AdmissionDecision>,
    /// Totals since the controller was created.
    pub counters: AdmissionCounters,
}

impl AdmissionController {
    /// Creates a controller without requests; `now` is the caller's current time.
    pub fn new(config: AdmissionConfig, now: Instant) -> AdmissionController {
        AdmissionController {
            limit: ConcurrencyLimit::new(config.concurrency_limits, config.min_start_target, now),
            queue: FairQueue::new(&config.groups, &config.tenant_weights, config.max_waiting, config.seed),
            heavy_hitters: HeavyHitters::new(config.seed, now),
            retry_scheduler: RetryScheduler::new(
                config.max_retry_after,
                config.min_start_target,
                config.seed,
                now,
            ),
            in_flight: std::collections::BTreeMap::new(),
            last_deadline_check: now,
            paused: false,
            decisions: Vec::new(),
            counters: AdmissionCounters::default(),
            config,
        }
    }

    /// Returns the number of waiting requests and the number of set-ups in flight.
    pub fn waiting_and_in_flight(&self) -> (usize, usize) {
        (self.queue.len(), self.in_flight.len())
    }

    /// Returns a snapshot for operators.
    pub fn status(&self) -> AdmissionStatus {
        AdmissionStatus {
            limit: self.limit.current(),
            in_flight: self.in_flight.len(),
            waiting: self.queue.waiting_by_group(),
            counters: self.counters.clone(),
            retries: self.retry_scheduler.counters.clone(),
        }
    }

    /// Returns whether admissions are suspended below the limit because the set-ups in flight take too long.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Returns the current limit on set-ups in flight.
    pub fn limit(&self) -> f64 {
        self.limit.current()
    }

    /// Queues a request. [`AdmissionController::poll`] returns the decision on it, now or later.
    pub fn offer(&mut self, request: AdmissionRequest, now: Instant) {
        self.counters.offered += 1;
        let arrival = self.retry_scheduler.on_arrival(request.client, now);
        let heavy_count = self.heavy_hitters.record(request.client, now);
        let max_wait = (request.start_target * MAX_WAIT_START_TARGET_FRACTION)
            .min(request.setup_timeout * MAX_WAIT_SETUP_TIMEOUT_FRACTION);
        let in_slot = arrival == Arrival::InSlot && heavy_count.is_none();
        let queued =
            QueuedRequest { request, enqueued_at: now, deadline: now + max_wait, in_slot, heavy_count };
        if arrival == Arrival::EarlyOverBudget {
            self.reject(queued, RejectReason::TooEarly, now);
        } else if let Err(rejected) = self.queue.push(queued) {
            self.reject(rejected, RejectReason::NoPlace, now);
        }
    }

    /// Removes a waiting request whose viewer has left. Returns false if the request is not queued.
    pub fn cancel(&mut self, session: SessionId) -> bool {
        self.queue.remove(session)
    }

    /// Reports the outcome of an admitted request.
    pub fn complete(&mut self, session: SessionId, outcome: SetupOutcome, now: Instant) {
        let Some(admitted_at) = self.in_flight.remove(&session) else { return };
        self.limit.on_complete(now - admitted_at, outcome, self.in_flight.len() + 1, now);
        if outcome == SetupOutcome::Started {
            self.retry_scheduler.on_started(now);
        }
    }

    fn reject(&mut self, queued: QueuedRequest, reason: RejectReason, now: Instant) {
        *match reason {
            RejectReason::NoPlace => &mut self.counters.queue_full,
            RejectReason::Hopeless => &mut self.counters.deadline_unreachable,
            RejectReason::TooLong => &mut self.counters.wait_expired,
            RejectReason::TooEarly => &mut self.counters.retried_early,
        } += 1;
        let AdmissionRequest { session, client, .. } = queued.request;
        let retry_after = self.retry_scheduler.retry_after(client, queued.heavy_count.is_some(), now);
        self.decisions.push(AdmissionDecision::Reject { session, retry_after, reason });
    }

    /// Returns the decisions that are due: rejects requests whose wait has expired, then admits as many as
    /// the limit allows.
    pub fn poll(&mut self, now: Instant) -> Vec<AdmissionDecision> {
        for expired in self.queue.take_expired(now) {
            self.reject(expired, RejectReason::TooLong, now);
        }
        self.paused = self.limit.is_overloaded(self.in_flight.values().map(|&admitted_at| now - admitted_at));
        let has_capacity =
            |this: &AdmissionController| !this.paused && (this.in_flight.len() as f64) < this.limit.current();
        while has_capacity(self)
            && let Some(queued) = self.queue.pop()
        {
            let (session, waited) = (queued.request.session, now - queued.enqueued_at);
            self.in_flight.insert(session, now);
            self.retry_scheduler.on_admitted(queued.request.client, queued.in_slot);
            self.counters.admitted += 1;
            self.counters.admitted_after_waiting += u64::from(waited > Span::ZERO);
            self.decisions.push(AdmissionDecision::Admit { session, waited });
        }
        // A request that cannot be admitted in time is rejected now rather than at its deadline.
        if now - self.last_deadline_check >= self.config.min_start_target * (1.0 / CHECKS_PER_START_TARGET)
            && let Some(rate) = self.limit.completion_rate(now)
        {
            self.last_deadline_check = now;
            for unreachable in self.queue.evict_unreachable(now, rate) {
                self.reject(unreachable, RejectReason::Hopeless, now);
            }
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns when to poll next if nothing happens before; `now` if a waiting request can be admitted at
    /// once, and none if no request waits.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let has_capacity = !self.paused && (self.in_flight.len() as f64) < self.limit.current();
        let delay = if has_capacity {
            Span::ZERO
        } else {
            self.config.min_start_target * (1.0 / CHECKS_PER_START_TARGET)
        };
        (!self.queue.is_empty()).then(|| now + delay)
    }
}

#[cfg(test)]
mod tests;
