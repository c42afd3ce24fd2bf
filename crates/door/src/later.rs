//! When to come back. Whoever is sent away is given a moment of its own: sessions are served at some rate, those that
//! come by themselves take a part of it, and what is left is handed out, one after the other. So those that are
//! told to come back come when there is room, and not all at once.
//!
//! What was promised is kept: a client that comes back at its moment goes first in its group. Promises are held in
//! a table of bounded size, by client; one that comes early loses its own, and heavy clients get none.
//!
//! A time that can't be told truly because it is over the longest that may be told is told as that longest, spread by
//! chance over its last half: telling less would bring everyone back too early, at once.

use std::collections::BTreeMap;

use ashglade::time::{Instant, Span};

#[derive(Debug)]
pub struct Later {
    most: Option<Span>,
    least: Span,
    random: oorandom::Rand64,
    /// Up to when what is left over has been handed out.
    handed: Instant,
    served: Rate,
    came: Rate,
    /// By client: when it was told to come back.
    promises: BTreeMap<u64, Instant>,
    tidied: Instant,
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
        }
    }

    /// A request came; true if its client was told to come back about now.
    pub fn came(&mut self, client: u64, now: Instant) -> bool {
        self.came.add(now);
        let promised = self.promises.remove(&client);
        promised.is_some_and(|at| now >= at && now - at <= Span::from_secs(KEPT))
    }

    fn promise(&mut self, client: u64, at: Instant, now: Instant) {
        if now - self.tidied > Span::from_secs(1.0) {
            self.tidied = now;
            self.promises.retain(|_, at| now - *at <= Span::from_secs(KEPT));
        }
        if self.promises.len() < MOST_PROMISES {
            self.promises.insert(client, at);
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
        self.handed = self.handed.max(now + self.least);
        let mine = self.handed - now;
        let chance = self.random.rand_float();
        if mine >= most || left <= 0.0 || heavy {
            return Some(most * (0.5 + 0.5 * chance));
        }
        self.handed = self.handed + Span::from_secs(1.0 / left);
        let after = (mine * (1.0 + SPREAD * chance)).min(most);
        self.promise(client, now + after, now);
        Some(after)
    }
}
