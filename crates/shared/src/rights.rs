//! Bounds over the whole fleet, kept as rights that are held.
//!
//! A bound is cut into rights ([`Pool`]): some are each director's for good, whatever is heard of whom; the others have a home
//! and go by lease to whoever needs them, their home first. Whoever holds a right may do what one right allows; nobody ever
//! reads a sum and acts on it.
//!
//! **Why two never use one right.** Each home has a council ([`Terms::council`]). A voter grants a right to one holder at a
//! time: until a grant has run out by its own clock, with the drift that clocks may have and a rest added, it grants it to
//! nobody else, and one that has just started grants nothing for as long, as a process before it may have. A holder counts a
//! grant from when it *asked*, and for the lease less the drift, and holds a right while more than half of the council's
//! grants count. So by true time every holder has stopped at the latest when the lease is over, and no voter of its majority
//! grants anew before the rest has passed as well; two majorities of one council share a voter. A holder that gives a right
//! back has stopped using it before it says so; a voter that hears it grants anew after the rest, and grants that were asked for
//! before count no longer. The rest is the span in which nodes count: what one holder sent in its last moment and what the
//! next sends in its first don't meet in one span.
//!
//! Messages may be lost, late, doubled and out of order, and directors may stop, restart and be held for dead: that costs
//! rights their use, never their bound. (Leases: Gray and Cheriton, 1989; majorities: Lamport, 1998; rights that are held in
//! place of sums that are read: O'Neil, 1986, and Balegas and others, 2015.) `tests/interleavings.rs` searches for a
//! counterexample, and finds one for each [`Defect`].

use std::collections::{BTreeMap, BTreeSet};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

#[cfg(doc)]
use crate::Pool;
use crate::{Defect, Terms, draw};

/// A right that may be lent, by its pool and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Right {
    pub pool: u8,
    pub number: u32,
}

/// What is said about rights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Wants these, or renews them; and asks what there is at these homes.
    Ask { process: u64, number: u64, rights: Vec<Right>, look: Vec<u16> },
    /// Of those asked for by that number, these are granted. As far as this voter knows those others are free.
    Grant { process: u64, number: u64, rights: Vec<Right>, free: Vec<Right> },
    /// Uses these no longer, whatever was asked for up to that number.
    Back { process: u64, number: u64, rights: Vec<Right> },
}

/// A lease is renewed so often in its time; so many asks are remembered.
const RENEWALS: f64 = 3.0;
const REMEMBERED: usize = 4;
/// A right that others hold is tried for, for so many asks.
const TRIES: u32 = 2;
/// Homes looked at in one ask for each pool of which more is needed, and free rights told of in one answer.
const LOOKS: usize = 2;
const MOST_FREE: usize = 32;
/// Rights in one message at most; what is beyond is asked for by the next.
pub const MOST_RIGHTS: usize = 256;

/// A grant that was given, as its voter knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Given {
    to: usize,
    /// Of which of its processes: one that starts again doesn't know what it held.
    process: u64,
    number: u64,
    /// Nobody else gets it before.
    until: Instant,
}

/// What a holder knows of a right that it wants.
#[derive(Clone, Debug, Default)]
struct Wanted {
    /// By voter: until when its grant counts.
    votes: Vec<(usize, Instant)>,
    /// Asked for so often without being held.
    tries: u32,
}

#[derive(Clone, Debug)]
pub struct Rights {
    terms: Terms,
    /// By home, as it is asked for often.
    councils: Vec<Vec<usize>>,
    /// Differs from process to process of one director.
    process: u64,
    /// Grants nothing before: a process before this one may have.
    votes_from: Instant,
    given: BTreeMap<Right, Given>,
    /// By home: when it last asked, by which number, and for what of its own.
    homes: BTreeMap<usize, (Instant, u64, BTreeSet<Right>)>,
    /// By home: who looked for more there, and when.
    lookers: BTreeMap<usize, BTreeMap<usize, Instant>>,
    wanted: BTreeMap<Right, Wanted>,
    /// Grants for asks up to this number count no longer.
    void: BTreeMap<Right, u64>,
    /// Given back and not yet said so.
    backs: Vec<Right>,
    /// Told of as free by the last answers.
    free: BTreeSet<Right>,
    /// Numbers of what was asked, with when; the last few.
    asked: Vec<(u64, Instant)>,
    number: u64,
    next: Instant,
    /// By pool: how many are needed in all, over those that are kept.
    need: Vec<usize>,
}

/// What is held of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Numbers over the whole pool: those kept by directors first, then those that are lent.
    pub rights: Vec<usize>,
    /// When the first of those that are lent runs out, if there is one.
    pub until: Option<Instant>,
}

impl Rights {
    /// `process` differs from that of the process before.
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

    /// So many rights of this pool are needed, over those that are kept.
    pub fn need(&mut self, pool: usize, count: usize) {
        if let Some(need) = self.need.get_mut(pool) {
            *need = count;
        }
    }

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

    /// Until when it is held, if it is.
    fn holds(&self, right: &Right, wanted: &Wanted, now: Instant) -> Option<Instant> {
        let mut votes: Vec<Instant> = wanted.votes.iter().map(|v| v.1).filter(|&until| now < until).collect();
        let majority = self.councils[self.home(right)].len() / 2 + 1;
        votes.sort_unstable();
        // The majority is there until the first of its last votes runs out.
        votes.len().checked_sub(majority).map(|at| votes[at])
    }

    fn home(&self, right: &Right) -> usize {
        right.number as usize % self.terms.directors()
    }

    /// Asks for what is needed, if it is time to; to whom, and what.
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
                // Its own vote needs no message.
                let (granted, free) = self.vote(voter, process, number, &rights, &look, now);
                self.count(voter, number, &granted, now);
                self.free.extend(free);
            } else {
                out.push((voter, Message::Ask { process, number, rights, look }));
            }
        }
        out
    }

    /// Says which rights were given back at the last look, when no one here uses them any longer.
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

    /// Settles what is wanted from now on, and at which homes to look for more.
    fn choose(&mut self, now: Instant) -> Vec<usize> {
        let free = std::mem::take(&mut self.free);
        let mut look = BTreeSet::new();
        for pool in 0..self.terms.pools.len() {
            let (need, n, me) = (self.need[pool], self.terms.directors(), self.terms.me);
            let lent = self.terms.pools[pool].lent;
            let mine = (me..lent).step_by(n).map(|number| Right { pool: pool as u8, number: number as u32 });
            let mine: BTreeSet<Right> = mine.take(need).collect();
            // What is held and no longer needed goes back, that of others first; so does what was tried for in vain.
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
            // Each starts elsewhere among what is free, so that not all try for the same.
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
        // A grant for an ask that is no longer remembered counts for nothing by itself.
        let oldest = self.asked.first().map_or(0, |&(number, _)| number);
        self.void.retain(|_, &mut number| number >= oldest);
        look.into_iter().collect()
    }

    /// A message came; what is to be answered. What is not well-formed by its numbers is passed over.
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

    /// Grants what may be granted, and tells what else is free.
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
        // A home that wants its own goes before those that would use it in its place.
        let asked = self.homes.get(&home);
        let wants = asked.is_some_and(|(at, _, own)| now - *at < self.terms.lease && own.contains(right));
        let ours = |g: &Given| (g.to, g.process) == (to, process);
        let given = self.given.get(right);
        let free = given.is_none_or(|g| ours(g) || g.until <= now);
        let first = home == to || given.is_some_and(ours) || self.prefers(right, home, to, now);
        self.councils[home].contains(&self.terms.me) && (home == to || !wants) && free && first
    }

    /// Of several that look for more at this home one comes first, the same at all voters: votes that are split among
    /// them would serve nobody.
    fn prefers(&self, right: &Right, home: usize, to: usize, now: Instant) -> bool {
        let rank = |director: usize| draw(&[u64::from(right.pool), u64::from(right.number), director as u64]);
        let lookers = self.lookers.get(&home);
        let recent = |&(_, at): &(&usize, &Instant)| now - *at < self.terms.lease * (1.0 - 1.0 / RENEWALS);
        lookers.is_none_or(|all| all.iter().filter(recent).all(|(&other, _)| rank(other) <= rank(to)))
    }

    /// They are in use no longer; after a rest they may be granted anew.
    fn back(&mut self, from: usize, process: u64, number: u64, rights: &[Right], now: Instant) {
        let until = now + rest(&self.terms) * (1.0 + self.terms.drift);
        for right in rights.iter().take(MOST_RIGHTS) {
            if let Some(given) = self.given.get_mut(right)
                && (given.to, given.process) == (from, process)
                && given.number <= number
            {
                given.until = given.until.min(until);
                // Nor does its process get it by an ask from before.
                given.process = 0;
            }
        }
    }

    /// A voter granted what was asked by that number: from when it was asked, by our clock, and for less than the voter
    /// goes by.
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

/// For how long a voter keeps to a grant, by its own clock: the lease in true time, however fast that runs, and the rest.
fn guard(terms: &Terms) -> Span {
    (terms.lease + rest(terms)) * (1.0 + terms.drift)
}
