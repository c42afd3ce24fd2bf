//! Enforces limits over the whole fleet of directors with permits that are leased under quorum votes.
//!
//! A limit is divided into permits ([`PermitPool`]). Some are reserved for each director and never change
//! hands, so they stay usable during a network partition. The others have an owner and are leased to
//! whichever director needs them, to the owner first. The holder of a permit may do what one permit allows;
//! no director acts on a sum that it has read.
//!
//! **Safety: a permit is never used by two directors at once.**
//!
//! - Each owner has a fixed set of voters ([`FleetConfig::voters`]). A voter grants a permit to one holder at
//!   a time. It grants the permit to nobody else until the lease and the guard interval have passed on its
//!   own clock, extended by the maximum clock drift. A voter that has just started grants nothing for the
//!   same time, as the previous process of this director may have granted any permit.
//! - A holder counts a grant from the time when it sent the *request*, for the lease shortened by the maximum
//!   clock drift. It holds a permit while a majority of the owner's voters has granted it.
//! - In true time, therefore, every holder has stopped using the permit when the lease ends, and no voter of
//!   its majority grants the permit again before the guard interval has passed as well. Two majorities of the
//!   same voters share a voter (quorum intersection), so no second holder can gather a majority earlier.
//! - A holder that releases a permit stops using it before it sends the release. A voter that receives the
//!   release grants the permit again after the guard interval. The holder ignores grants for requests sent up
//!   to the release.
//! - The guard interval covers the window over which media nodes count. What one holder sends last and what
//!   the next holder sends first do not fall into the same window.
//!
//! Messages may be lost, delayed, duplicated and reordered, and directors may stop, restart and be wrongly
//! considered dead. Such faults leave permits unused; they never exceed the limit.
//!
//! References: leases, Gray and Cheriton, 1989; majorities, Lamport, 1998; permits held in place of sums that
//! are read, O'Neil, 1986 (escrow), and Balegas and others, 2015. `tests/interleavings.rs` and
//! `tests/random_simulations.rs` search for a counterexample, and find one for each [`InjectedFault`].

use std::collections::{BTreeMap, BTreeSet};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

#[cfg(doc)]
use crate::Pool;
use crate::{Defect, Terms, draw};

/// A permit that can be leased, identified by its pool and its number within the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Right {
    pub pool: u8,
    pub number: u32,
}

/// A message of the lease protocol between a holder and a voter.
///
/// `process_id` identifies the holder's process, and `round` the request round of that process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Holder to voter: requests or renews leases on `permits`, and queries the free permits of
    /// `queried_owners`.
    Ask { process: u64, number: u64, rights: Vec<Right>, look: Vec<u16> },
    /// Voter to holder: grants `permits` of the request of that round. As far as this voter knows, those in
    /// `free` are available.
    Grant { process: u64, number: u64, rights: Vec<Right>, free: Vec<Right> },
    /// Holder to voter: the holder no longer uses `permits`, whatever it requested in rounds up to this one.
    Back { process: u64, number: u64, rights: Vec<Right> },
}

/// Number of request rounds within the duration of a lease.
const RENEWALS: f64 = 3.0;
/// Number of recent request rounds whose grants are accepted.
const REMEMBERED: usize = 4;
/// Number of rounds for which a permit that others may hold is requested before it is given up.
const TRIES: u32 = 2;
/// Number of owners whose free permits are queried in a round, for each pool that needs more permits.
const LOOKS: usize = 2;
/// Maximum number of free permits reported in one reply.
const MOST_FREE: usize = 32;
/// Maximum number of permits in one message. Further permits are requested in the next rounds.
pub const MOST_RIGHTS: usize = 256;

/// A grant as recorded by the voter that gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Given {
    to: usize,
    /// Process of the holder; after a restart a director doesn't know what it held.
    process: u64,
    number: u64,
    /// Time before which this voter grants the permit to nobody else.
    until: Instant,
}

/// A permit that this director requests or holds.
#[derive(Clone, Debug, Default)]
struct Wanted {
    /// Voters that granted the permit, each with the end of its grant.
    votes: Vec<(usize, Instant)>,
    /// Number of request rounds since the permit was last held.
    tries: u32,
}

/// The lease protocol of one director, as holder and as voter.
#[derive(Clone, Debug)]
pub struct Rights {
    terms: Terms,
    /// Voters by owner, computed once because they are looked up often.
    councils: Vec<Vec<usize>>,
    /// Identifies this process among all processes of this director.
    process: u64,
    /// Time before which this voter grants nothing, as a previous process may have granted any permit.
    votes_from: Instant,
    given: BTreeMap<Right, Given>,
    /// By owner: time and round of its last request, and the permits of its own that it requested.
    homes: BTreeMap<usize, (Instant, u64, BTreeSet<Right>)>,
    /// By owner: the directors that queried its free permits, and when.
    lookers: BTreeMap<usize, BTreeMap<usize, Instant>>,
    wanted: BTreeMap<Right, Wanted>,
    /// Released permits with the round up to which grants are ignored.
    void: BTreeMap<Right, u64>,
    /// Permits that are no longer used and whose release has not been sent.
    backs: Vec<Right>,
    /// Permits reported as free since the last request round.
    free: BTreeSet<Right>,
    /// The last request rounds, each with the time of its request.
    asked: Vec<(u64, Instant)>,
    number: u64,
    next: Instant,
    /// By pool: number of permits needed beyond the reserved ones.
    need: Vec<usize>,
}

/// The permits of one pool that a director may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Numbers within the whole pool, counting the reserved permits of all directors first, then the leasable
    /// ones.
    pub rights: Vec<usize>,
    /// Earliest end of the leases; `None` if only reserved permits are held.
    pub until: Option<Instant>,
}

impl Rights {
    /// Starts without leases. `process_id` must differ from that of every previous process of this director.
    pub fn start(terms: Terms, process: u64, now: Instant) -> Rights {
        let councils = (0..terms.directors()).map(|home| terms.council(home)).collect();
        Rights {
            councils,
            process,
            votes_from: now + guard(&terms),
            given: BTreeMap::new(),
            homes: BTreeMap::new(),
            lookers: BTreeMap::new(),
            wanted: BTreeMap::new(),
            void: BTreeMap::new(),
            backs: Vec::new(),
            free: BTreeSet::new(),
            asked: Vec::new(),
            number: 0,
            next: now,
            need: vec![0; terms.pools.len()],
            terms,
        }
    }

    /// Sets the number of permits of this pool that are needed beyond the reserved ones.
    pub fn need(&mut self, pool: usize, count: usize) {
        if let Some(need) = self.need.get_mut(pool) {
            *need = count;
        }
    }

    /// Returns the permits of this pool that may be used at `now`.
    pub fn held(&self, pool: usize, now: Instant) -> Held {
        let Some(terms) = self.terms.pools.get(pool) else { return Held::default() };
        let me = self.terms.me;
        let mut held = Held { rights: (me * terms.kept..(me + 1) * terms.kept).collect(), until: None };
        let lent = self.wanted.iter().filter(|(right, _)| usize::from(right.pool) == pool);
        for (right, wanted) in lent {
            if let Some(until) = self.holds(right, wanted, now) {
                held.rights.push(self.terms.directors() * terms.kept + right.number as usize);
                held.until = Some(held.until.map_or(until, |first| first.min(until)));
            }
        }
        held
    }

    /// Returns the time until which the permit is held, or `None` if it is not held at `now`.
    fn holds(&self, right: &Right, wanted: &Wanted, now: Instant) -> Option<Instant> {
        let mut votes: Vec<Instant> = wanted.votes.iter().map(|v| v.1).filter(|&until| now < until).collect();
        let majority = self.councils[self.home(right)].len() / 2 + 1;
        votes.sort_unstable();
        // The majority lasts until the earliest end among the `majority` grants that end last.
        votes.len().checked_sub(majority).map(|at| votes[at])
    }

    fn home(&self, right: &Right) -> usize {
        right.number as usize % self.terms.directors()
    }

    /// Starts a request round if one is due. Returns the messages to send, each with its recipient.
    pub fn tick(&mut self, now: Instant) -> Vec<(usize, Message)> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.terms.lease * (1.0 / RENEWALS);
        let mut out = self.give_back(now);
        self.number += 1;
        self.asked.push((self.number, now));
        if self.asked.len() > REMEMBERED {
            self.asked.remove(0);
        }
        let look = self.choose(now);
        let mut asks: BTreeMap<usize, (Vec<Right>, Vec<u16>)> = BTreeMap::new();
        for right in self.wanted.keys() {
            for &voter in &self.councils[self.home(right)] {
                asks.entry(voter).or_default().0.push(*right);
            }
        }
        for home in look {
            for &voter in &self.councils[home] {
                asks.entry(voter).or_default().1.push(home as u16);
            }
        }
        let (process, number) = (self.process, self.number);
        for (voter, (mut rights, look)) in asks {
            if rights.len() > MOST_RIGHTS {
                let turn = self.number as usize * MOST_RIGHTS % rights.len();
                rights.rotate_left(turn);
                rights.truncate(MOST_RIGHTS);
            }
            if voter == self.terms.me {
                // A director's own vote needs no message.
                let (granted, free) = self.vote(voter, process, number, &rights, &look, now);
                self.count(voter, number, &granted, now);
                self.free.extend(free);
            } else {
                out.push((voter, Message::Ask { process, number, rights, look }));
            }
        }
        out
    }

    /// Returns the release messages for the permits given up in the previous round; this director has stopped
    /// using them since.
    fn give_back(&mut self, now: Instant) -> Vec<(usize, Message)> {
        let mut told: BTreeMap<usize, Vec<Right>> = BTreeMap::new();
        let now_free = std::mem::take(&mut self.backs);
        for right in now_free {
            for &voter in &self.councils[self.home(&right)] {
                told.entry(voter).or_default().push(right);
            }
        }
        let (process, number) = (self.process, self.number);
        let mut out = Vec::new();
        for (voter, rights) in told {
            for rights in rights.chunks(MOST_RIGHTS) {
                let rights = rights.to_vec();
                match voter == self.terms.me {
                    true => self.back(voter, process, number, &rights, now),
                    false => out.push((voter, Message::Back { process, number, rights })),
                }
            }
        }
        out
    }

    /// Chooses the permits to request from now on. Returns the owners whose free permits are to be queried.
    fn choose(&mut self, now: Instant) -> Vec<usize> {
        let free = std::mem::take(&mut self.free);
        let mut look = BTreeSet::new();
        for pool in 0..self.terms.pools.len() {
            let (need, n, me) = (self.need[pool], self.terms.directors(), self.terms.me);
            let lent = self.terms.pools[pool].lent;
            let mine = (me..lent).step_by(n).map(|number| Right { pool: pool as u8, number: number as u32 });
            let mine: BTreeSet<Right> = mine.take(need).collect();
            // Permits that are held and no longer needed are released, those of other owners first, and so
            // are permits that were requested without success.
            let mut room = need.saturating_sub(mine.len());
            let of_pool: Vec<Right> =
                self.wanted.keys().filter(|r| usize::from(r.pool) == pool).copied().collect();
            for right in of_pool {
                let Some(wanted) = self.wanted.get(&right) else { continue };
                let held = self.holds(&right, wanted, now).is_some();
                let stays = mine.contains(&right) || (room > 0 && (held || wanted.tries < TRIES));
                if !stays {
                    self.wanted.remove(&right);
                    self.void.insert(right, self.number);
                    self.backs.push(right);
                } else if !mine.contains(&right) {
                    room -= 1;
                }
            }
            // Each director orders the free permits differently, so that they don't all request the same
            // ones.
            let mut fresh: Vec<Right> = free
                .iter()
                .filter(|r| {
                    usize::from(r.pool) == pool && !self.wanted.contains_key(r) && !self.backs.contains(r)
                })
                .copied()
                .collect();
            fresh.sort_by_key(|r| draw(&[me as u64, self.number, u64::from(r.number)]));
            for right in mine.into_iter().chain(fresh.into_iter().take(room)) {
                self.wanted.entry(right).or_default();
            }
            if room > 0 && lent > 0 {
                let first = draw(&[me as u64, self.process, self.number]) as usize;
                look.extend((0..LOOKS).map(|k| (first + k) % n.min(lent)).filter(|&home| home != me));
            }
        }
        let held = self.wanted.iter().filter(|(right, wanted)| self.holds(right, wanted, now).is_some());
        let held: BTreeSet<Right> = held.map(|(right, _)| *right).collect();
        for (right, wanted) in &mut self.wanted {
            wanted.tries = if held.contains(right) { 0 } else { wanted.tries.saturating_add(1) };
        }
        // A grant for a round that is no longer kept is ignored anyway.
        let oldest = self.asked.first().map_or(0, |&(number, _)| number);
        self.void.retain(|_, &mut number| number >= oldest);
        look.into_iter().collect()
    }

    /// Processes a message and returns the reply, if there is one. Ignores numbers that are out of range.
    pub fn take(&mut self, from: usize, message: &Message, now: Instant) -> Option<(usize, Message)> {
        if from >= self.terms.directors() || from == self.terms.me {
            return None;
        }
        match message {
            Message::Ask { process, number, rights, look } => {
                let (rights, free) = self.vote(from, *process, *number, rights, look, now);
                Some((from, Message::Grant { process: *process, number: *number, rights, free }))
            }
            Message::Grant { process, number, rights, free } => {
                if *process == self.process {
                    self.count(from, *number, rights, now);
                    let room = (MOST_FREE * LOOKS * self.terms.council).saturating_sub(self.free.len());
                    let known: Vec<Right> = free.iter().filter(|right| self.exists(right)).copied().collect();
                    self.free.extend(known.into_iter().take(room));
                }
                None
            }
            Message::Back { process, number, rights } => {
                self.back(from, *process, *number, rights, now);
                None
            }
        }
    }

    fn exists(&self, right: &Right) -> bool {
        let pool = self.terms.pools.get(usize::from(right.pool));
        pool.is_some_and(|pool| (right.number as usize) < pool.lent)
    }

    /// Votes on a request. Returns the granted permits, and the free permits of the queried owners.
    fn vote(
        &mut self,
        to: usize,
        process: u64,
        number: u64,
        rights: &[Right],
        look: &[u16],
        now: Instant,
    ) -> (Vec<Right>, Vec<Right>) {
        if now < self.votes_from {
            return (Vec::new(), Vec::new());
        }
        if self
            .homes
            .get(&to)
            .is_none_or(|&(_, last, _)| last < number || now - self.homes[&to].0 > self.terms.lease)
        {
            let own = rights.iter().filter(|right| self.home(right) == to).copied().collect();
            self.homes.insert(to, (now, number, own));
        }
        let look = &look[..look.len().min(LOOKS * self.terms.pools.len())];
        for &home in look {
            if usize::from(home) < self.terms.directors() {
                let lookers = self.lookers.entry(usize::from(home)).or_default();
                lookers.insert(to, now);
                lookers.retain(|_, &mut at| now - at < self.terms.lease);
            }
        }
        let mut granted = Vec::new();
        for right in rights.iter().take(MOST_RIGHTS) {
            if self.may_grant(right, to, process, now) && !granted.contains(right) {
                let until = now + guard(&self.terms);
                if self.terms.defect != Some(Defect::Twice) {
                    self.given.insert(*right, Given { to, process, number, until });
                }
                granted.push(*right);
            }
        }
        let mut free = Vec::new();
        for &home in look {
            for (pool, terms) in self.terms.pools.iter().enumerate() {
                let numbers = (usize::from(home)..terms.lent).step_by(self.terms.directors());
                let rights = numbers.map(|number| Right { pool: pool as u8, number: number as u32 });
                free.extend(rights.filter(|right| self.may_grant(right, to, process, now)));
            }
        }
        free.truncate(MOST_FREE);
        (granted, free)
    }

    fn may_grant(&self, right: &Right, to: usize, process: u64, now: Instant) -> bool {
        if !self.exists(right) {
            return false;
        }
        let home = self.home(right);
        // An owner that requests its own permit takes precedence over others.
        let asked = self.homes.get(&home);
        let wants = asked.is_some_and(|(at, _, own)| now - *at < self.terms.lease && own.contains(right));
        let ours = |g: &Given| (g.to, g.process) == (to, process);
        let given = self.given.get(right);
        let free = given.is_none_or(|g| ours(g) || g.until <= now);
        let first = home == to || given.is_some_and(ours) || self.prefers(right, home, to, now);
        self.councils[home].contains(&self.terms.me) && (home == to || !wants) && free && first
    }

    /// Returns whether `holder` takes precedence among the directors that query this owner. The order is the
    /// same at all voters, because with votes split among several directors none of them would get a
    /// majority.
    fn prefers(&self, right: &Right, home: usize, to: usize, now: Instant) -> bool {
        let rank = |director: usize| draw(&[u64::from(right.pool), u64::from(right.number), director as u64]);
        let lookers = self.lookers.get(&home);
        let recent = |&(_, at): &(&usize, &Instant)| now - *at < self.terms.lease * (1.0 - 1.0 / RENEWALS);
        lookers.is_none_or(|all| all.iter().filter(recent).all(|(&other, _)| rank(other) <= rank(to)))
    }

    /// Records a release: the permits may be granted again after the guard interval.
    fn back(&mut self, from: usize, process: u64, number: u64, rights: &[Right], now: Instant) {
        let until = now + rest(&self.terms) * (1.0 + self.terms.drift);
        for right in rights.iter().take(MOST_RIGHTS) {
            if let Some(given) = self.given.get_mut(right)
                && (given.to, given.process) == (from, process)
                && given.number <= number
            {
                given.until = given.until.min(until);
                // Until then a delayed request of the same process doesn't get the permit either.
                given.process = 0;
            }
        }
    }

    /// Records a voter's grant for a request of that round. The grant counts from the time of the request on
    /// this director's clock, and for less time than the voter reserves it.
    fn count(&mut self, voter: usize, number: u64, rights: &[Right], now: Instant) {
        let Some(&(_, at)) = self.asked.iter().find(|(known, _)| *known == number) else { return };
        let at = if self.terms.defect == Some(Defect::FromAnswer) { now } else { at };
        let until = at + self.terms.lease * ((1.0 - self.terms.drift) / (1.0 + self.terms.drift));
        for right in rights.iter().take(MOST_RIGHTS) {
            let void = self.void.get(right).is_some_and(|&void| number <= void);
            let voter_votes = self.exists(right) && self.councils[self.home(right)].contains(&voter);
            let Some(wanted) = self.wanted.get_mut(right) else { continue };
            if void || !voter_votes {
                continue;
            }
            match wanted.votes.iter_mut().find(|(known, _)| *known == voter) {
                Some(vote) => vote.1 = vote.1.max(until),
                None => wanted.votes.push((voter, until)),
            }
        }
    }
}

fn rest(terms: &Terms) -> Span {
    if terms.defect == Some(Defect::NoRest) { Span::ZERO } else { terms.rest }
}

/// Returns the time for which a voter reserves a permit after granting it: on its own clock, however fast
/// that runs, this covers the lease and the guard interval in true time.
fn guard(terms: &Terms) -> Span {
    (terms.lease + rest(terms)) * (1.0 + terms.drift)
}
