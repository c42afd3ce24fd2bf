//! Computes the retry-after of rejected requests. Each rejected client gets a slot of its own: the part of
//! the served rate that unscheduled arrivals need is subtracted, and what is left of the rate is divided into
//! consecutive slots. Clients that retry as told therefore return when there is capacity, and not all at
//! once.
//!
//! A client that returns in its slot is admitted before others of its tenant. Slots are kept by client in a
//! table of bounded size. A client that returns early is given the same time again, and heavy clients get no
//! slot.
//!
//! When the next free slot lies beyond the longest retry-after, the client is given a random time in the
//! upper half of that longest delay, without a slot: a shorter delay would bring all of them back too early
//! and at once.

use std::collections::BTreeMap;

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

/// Assigns retry slots and classifies the clients that return.
#[derive(Debug)]
pub struct RetryScheduler {
    /// The longest retry-after; without it, no client is given one.
    max_retry_after: Option<Span>,
    /// The shortest retry-after: half a start target.
    min_retry_after: Span,
    random: oorandom::Rand64,
    /// End of the last slot that was assigned.
    assigned_until: Instant,
    /// Rate of sessions that were set up.
    served: EventRate,
    /// Rate of requests, first tries and retries alike.
    arrivals: EventRate,
    /// Retry times by client.
    scheduled_retries: BTreeMap<u64, ScheduledRetry>,
    /// When expired retry times were last removed.
    last_cleanup: Instant,
    /// Number of early retries that may still be accepted.
    early_budget: f64,
    /// Totals since the scheduler was created.
    pub counters: RetryCounters,
}

/// The retry time that a client was given.
#[derive(Clone, Copy, Debug)]
struct ScheduledRetry {
    retry_at: Instant,
    /// Whether a slot is reserved at that time.
    slot_reserved: bool,
    /// Number of consecutive rejections of the client.
    rejections: u32,
}

/// Totals of retry slots and of the clients that returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounters {
    /// Slots reserved.
    #[serde(rename = "made")]
    pub slots_reserved: u64,
    /// Requests of clients that returned in their slot.
    #[serde(rename = "came")]
    pub returned_in_slot: u64,
    /// Requests of clients that returned in their slot and were admitted.
    #[serde(rename = "went_in")]
    pub admitted: u64,
    /// Requests of clients that returned before the time they were given.
    #[serde(rename = "early")]
    pub returned_early: u64,
    /// Requests of clients that returned early and were rejected for it.
    #[serde(rename = "refused")]
    pub rejected_early: u64,
}

/// How a request relates to the retry time that its client was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The client has not been given a retry time.
    New,
    /// The client returns in the slot reserved for it.
    InSlot,
    /// The client returns after the time it was given, but no slot was reserved or it has expired.
    WithoutSlot,
    /// The client returns before the time it was given, within the budget for early retries.
    Early,
    /// The client returns before the time it was given, and the budget for early retries is spent.
    EarlyOverBudget,
}

/// Exponentially decaying event rate.
#[derive(Debug)]
struct EventRate {
    /// Number of events, with the weight that they had at `updated_at`.
    count: f64,
    updated_at: Instant,
    started_at: Instant,
}

/// Seconds after which an event has lost half its weight in a rate.
const RATE_HALF_LIFE_SECONDS: f64 = 3.0;
/// Smallest fraction of the served rate that is divided into slots: some of the unscheduled arrivals are
/// rejected as well, and some clients never return.
const MIN_SLOT_RATE_FRACTION: f64 = 0.5;
/// Seconds after its retry time for which a slot remains reserved and the retry time remains stored.
const SLOT_DURATION_SECONDS: f64 = 2.0;
/// Maximum number of clients whose retry time is stored.
const MAX_SCHEDULED_RETRIES: usize = 16_384;
/// Early retries accepted per request of a new client.
const EARLY_RETRIES_PER_NEW_CLIENT: f64 = 0.1;
/// Maximum of the accumulated budget for early retries.
const MAX_EARLY_BUDGET: f64 = 20.0;
/// Largest random addition to a retry-after, as a fraction of it.
const JITTER_FRACTION: f64 = 0.2;

impl EventRate {
    fn new(now: Instant) -> EventRate {
        EventRate { count: 0.0, updated_at: now, started_at: now }
    }

    fn decayed_count(&self, now: Instant) -> f64 {
        self.count * 0.5f64.powf(((now - self.updated_at).as_ms() / 1e3 / RATE_HALF_LIFE_SECONDS).max(0.0))
    }

    fn record(&mut self, now: Instant) {
        (self.count, self.updated_at) = (self.decayed_count(now) + 1.0, now);
    }

    fn per_second(&self, now: Instant) -> f64 {
        // Seconds of observation, each weighted like the events in it; the time before the start does not
        // count.
        let elapsed_seconds = ((now - self.started_at).as_ms() / 1e3).max(0.1);
        let weighted_seconds = RATE_HALF_LIFE_SECONDS / std::f64::consts::LN_2
            * (1.0 - 0.5f64.powf(elapsed_seconds / RATE_HALF_LIFE_SECONDS));
        self.decayed_count(now) / weighted_seconds
    }
}

impl RetryScheduler {
    /// Creates a scheduler; `start_target` is the shortest start target of any service group.
    pub fn new(max_retry_after: Option<Span>, start_target: Span, seed: u64, now: Instant) -> RetryScheduler {
        let random = oorandom::Rand64::new(u128::from(seed) << 1);
        RetryScheduler {
            max_retry_after,
            min_retry_after: start_target * 0.5,
            random,
            assigned_until: now,
            served: EventRate::new(now),
            arrivals: EventRate::new(now),
            scheduled_retries: BTreeMap::new(),
            last_cleanup: now,
            early_budget: 0.0,
            counters: RetryCounters::default(),
        }
    }

    /// Records a request and classifies it by the retry time that its client was given.
    pub fn on_arrival(&mut self, client: u64, now: Instant) -> Arrival {
        self.arrivals.record(now);
        let Some(&ScheduledRetry { retry_at, slot_reserved, .. }) = self.scheduled_retries.get(&client)
        else {
            // Only new clients add to the budget, so that a storm of retries alone gets nothing.
            self.early_budget = (self.early_budget + EARLY_RETRIES_PER_NEW_CLIENT).min(MAX_EARLY_BUDGET);
            return Arrival::New;
        };
        if now < retry_at {
            self.counters.returned_early += 1;
            if self.early_budget < 1.0 {
                self.counters.rejected_early += 1;
                return Arrival::EarlyOverBudget;
            }
            self.early_budget -= 1.0;
            return Arrival::Early;
        }
        if slot_reserved && now - retry_at <= Span::from_secs(SLOT_DURATION_SECONDS) {
            self.counters.returned_in_slot += 1;
            return Arrival::InSlot;
        }
        Arrival::WithoutSlot
    }

    /// Records that a client's request was admitted, and drops the retry time that the client was given.
    pub fn on_admitted(&mut self, client: u64, in_slot: bool) {
        self.counters.admitted += u64::from(in_slot);
        self.scheduled_retries.remove(&client);
    }

    /// Stores a client's retry time if the table has room, and removes expired ones once a second.
    fn store(&mut self, client: u64, scheduled: ScheduledRetry, now: Instant) {
        if now - self.last_cleanup > Span::from_secs(1.0) {
            self.last_cleanup = now;
            self.scheduled_retries
                .retain(|_, scheduled| now - scheduled.retry_at <= Span::from_secs(SLOT_DURATION_SECONDS));
        }
        if self.scheduled_retries.len() < MAX_SCHEDULED_RETRIES
            || self.scheduled_retries.contains_key(&client)
        {
            self.counters.slots_reserved += u64::from(scheduled.slot_reserved);
            self.scheduled_retries.insert(client, scheduled);
        }
    }

    /// Records that a session was set up.
    pub fn on_started(&mut self, now: Instant) {
        self.served.record(now);
    }

    /// Returns the retry-after for a client that is rejected now; none if the configuration allows none. A
    /// heavy client gets no slot.
    pub fn retry_after(&mut self, client: u64, heavy: bool, now: Instant) -> Option<Span> {
        let max_retry_after = self.max_retry_after?;
        let served = self.served.per_second(now);
        let slot_rate =
            (served - (self.arrivals.per_second(now) - served).max(0.0)).max(served * MIN_SLOT_RATE_FRACTION);
        let previous = self.scheduled_retries.get(&client).copied();
        let rejections = previous.map_or(0, |scheduled| scheduled.rejections);
        let jitter = self.random.rand_float();
        // A client that returned early is given the same time again, so that it gains nothing.
        if let Some(scheduled) = previous.filter(|scheduled| scheduled.retry_at > now) {
            return Some((scheduled.retry_at - now).min(max_retry_after));
        }
        self.assigned_until = self.assigned_until.max(now + self.min_retry_after);
        let slot_delay = self.assigned_until - now;
        // Exponential backoff: each further rejection lengthens the delay, and with it the range of the
        // jitter.
        let backoff = self.min_retry_after * f64::from(1u32 << rejections.min(4)) - self.min_retry_after;
        if slot_delay + backoff >= max_retry_after || slot_rate <= 0.0 || heavy {
            let delay = max_retry_after * (0.5 + 0.5 * jitter);
            self.store(
                client,
                ScheduledRetry { retry_at: now + delay, slot_reserved: false, rejections: rejections + 1 },
                now,
            );
            return Some(delay);
        }
        self.assigned_until = self.assigned_until + Span::from_secs(1.0 / slot_rate);
        let delay = ((slot_delay + backoff) * (1.0 + JITTER_FRACTION * jitter)).min(max_retry_after);
        self.store(
            client,
            ScheduledRetry { retry_at: now + delay, slot_reserved: true, rejections: rejections + 1 },
            now,
        );
        Some(delay)
    }
}
