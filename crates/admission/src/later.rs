//! When to come back. Whoever is sent away is given a moment of its own: sessions are served at some rate, those that
//! come by themselves take a part of it, and what is left is handed out, one after the other. So those that are
//! told to come back come when there is room, and not all at once.
//!
//! What was promised is kept: a client that comes back at its moment goes first in its group. Promises are held in
//! a table of bounded size, by client; one that comes early is told the same moment again, and heavy
//! clients get none.
//!
//! A time that can't be told truly because it is over the longest that may be told is told as that longest, spread by
//! chance over its last half: telling less would bring everyone back too early, at once.

use std::collections::BTreeMap;

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

#[derive(Debug)]
pub struct Later {
    most: Option<Span>,
    least: Span,
    random: oorandom::Rand64,
    /// Up to when what is left over has been handed out.
    handed: Instant,
    served: Rate,
    came: Rate,
    promises: BTreeMap<u64, Promise>,
    tidied: Instant,
    /// What retries that come before their time may still use.
    budget: f64,
    pub kept: RetryCounters,
}

/// What one client was told.
#[derive(Clone, Copy, Debug)]
struct Promise {
    at: Instant,
    /// Whether room was set aside for it at that moment.
    room: bool,
    /// How often in a row it was sent away.
    times: u32,
}

/// What became of promises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounters {
    #[serde(rename = "made")]
    pub slots_reserved: u64,
    /// SetupOutcome back at their moment, and of those, went in.
    #[serde(rename = "came")]
    pub returned_in_slot: u64,
    #[serde(rename = "went_in")]
    pub admitted: u64,
    /// SetupOutcome before their moment, and of those, were sent away for it.
    #[serde(rename = "early")]
    pub returned_early: u64,
    #[serde(rename = "refused")]
    pub rejected_early: u64,
}

/// How a request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coming {
    First,
    /// At the moment that it was told, to room set aside for it.
    Promised,
    /// When it was told, though no room could be set aside, or long after.
    Again,
    /// Before it was told, within the budget of such retries.
    Early,
    /// Before it was told, and there are too many of them.
    TooMany,
}

/// Events a second, by halving what is past.
#[derive(Debug)]
struct Rate {
    count: f64,
    at: Instant,
    begun: Instant,
}

/// Past events count half after so many seconds.
const HALF_LIFE: f64 = 3.0;
/// What those that come back find left over is at least this part of what is served: some of those that come by
/// themselves are sent away as well, and some never come back.
const LEFT_OVER: f64 = 0.5;
/// A promise is kept for so many seconds after its moment, and so many are held at most.
const KEPT: f64 = 2.0;
const MOST_PROMISES: usize = 16_384;
/// Retries before their time are let in as this part of first tries, so many at once at most.
const EARLY_PART: f64 = 0.1;
const EARLY_MOST: f64 = 20.0;
/// A part of what is told, at most, is added by chance.
const SPREAD: f64 = 0.2;

impl Rate {
    fn new(now: Instant) -> Rate {
        Rate { count: 0.0, at: now, begun: now }
    }

    fn faded(&self, now: Instant) -> f64 {
        self.count * 0.5f64.powf(((now - self.at).as_ms() / 1e3 / HALF_LIFE).max(0.0))
    }

    fn add(&mut self, now: Instant) {
        (self.count, self.at) = (self.faded(now) + 1.0, now);
    }

    fn a_second(&self, now: Instant) -> f64 {
        // The weight of all the past at a half-life, less what had not begun.
        let seen = ((now - self.begun).as_ms() / 1e3).max(0.1);
        let weight = HALF_LIFE / std::f64::consts::LN_2 * (1.0 - 0.5f64.powf(seen / HALF_LIFE));
        self.faded(now) / weight
    }
}

impl Later {
    pub fn new(most: Option<Span>, target: Span, seed: u64, now: Instant) -> Later {
        let random = oorandom::Rand64::new(u128::from(seed) << 1);
        Later {
            most,
            least: target * 0.5,
            random,
            handed: now,
            served: Rate::new(now),
            came: Rate::new(now),
            promises: BTreeMap::new(),
            tidied: now,
            budget: 0.0,
            kept: RetryCounters::default(),
        }
    }

    /// A request came, in answer to what its client was told or not.
    pub fn came(&mut self, client: u64, now: Instant) -> Coming {
        self.came.add(now);
        let Some(&Promise { at, room, .. }) = self.promises.get(&client) else {
            // Retries feed on first tries: a storm of them alone gets nothing.
            self.budget = (self.budget + EARLY_PART).min(EARLY_MOST);
            return Coming::First;
        };
        if now < at {
            self.kept.returned_early += 1;
            if self.budget < 1.0 {
                self.kept.rejected_early += 1;
                return Coming::TooMany;
            }
            self.budget -= 1.0;
            return Coming::Early;
        }
        if room && now - at <= Span::from_secs(KEPT) {
            self.kept.returned_in_slot += 1;
            return Coming::Promised;
        }
        Coming::Again
    }

    /// A client's request went in: what it was told before is done with.
    pub fn went_in(&mut self, client: u64, promised: bool) {
        self.kept.admitted += u64::from(promised);
        self.promises.remove(&client);
    }

    fn promise(&mut self, client: u64, promise: Promise, now: Instant) {
        if now - self.tidied > Span::from_secs(1.0) {
            self.tidied = now;
            self.promises.retain(|_, promise| now - promise.at <= Span::from_secs(KEPT));
        }
        if self.promises.len() < MOST_PROMISES || self.promises.contains_key(&client) {
            self.kept.slots_reserved += u64::from(promise.room);
            self.promises.insert(client, promise);
        }
    }

    /// A session was set up.
    pub fn served(&mut self, now: Instant) {
        self.served.add(now);
    }

    /// When the next of those sent away, this client, is to come back; none where none may be told. A heavy client is
    /// promised nothing.
    pub fn when(&mut self, client: u64, heavy: bool, now: Instant) -> Option<Span> {
        let most = self.most?;
        let served = self.served.a_second(now);
        let left = (served - (self.came.a_second(now) - served).max(0.0)).max(served * LEFT_OVER);
        let before = self.promises.get(&client).copied();
        let times = before.map_or(0, |promise| promise.times);
        let chance = self.random.rand_float();
        // One that comes before its time is told the same moment again: it gains nothing by it.
        if let Some(promise) = before.filter(|promise| promise.at > now) {
            return Some((promise.at - now).min(most));
        }
        self.handed = self.handed.max(now + self.least);
        let mine = self.handed - now;
        // What was told and did not come true is told for longer, and spread wider, the next time.
        let longer = self.least * f64::from(1u32 << times.min(4)) - self.least;
        if mine + longer >= most || left <= 0.0 || heavy {
            let after = most * (0.5 + 0.5 * chance);
            self.promise(client, Promise { at: now + after, room: false, times: times + 1 }, now);
            return Some(after);
        }
        self.handed = self.handed + Span::from_secs(1.0 / left);
        let after = ((mine + longer) * (1.0 + SPREAD * chance)).min(most);
        self.promise(client, Promise { at: now + after, room: true, times: times + 1 }, now);
        Some(after)
    }
}
