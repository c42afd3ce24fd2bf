//! Which directors are there, and which parts of a cold node's pace each of them may use.
//!
//! Directors take turns at a cold node (rule 4). By settings alone each has one turn in as many as there are directors, and
//! those of directors that are down are lost. Where directors may talk, a turn is in two halves. The first is its director's for
//! good, whatever is heard of whom. The second is lent by lease: whoever holds leases of it from more than half of all
//! directors may use it, its own director first, and another when that one isn't heard of.
//!
//! **Why two never use one half.** A director as a voter grants a half to one holder at a time: until a grant has run out by
//! its own clock, with the drift that clocks may have and a rest added, it grants it to nobody else, and one that has
//! just started grants nothing for as long. A holder counts a grant from when it *asked*, and for the lease less the drift. So by
//! true time every holder has stopped at the latest when the lease is over, and no voter of its majority grants anew before;
//! two majorities share a voter. The rest is the span in which a node counts SETUPs: what the one sent in its last moment and
//! what the next sends in its first don't meet in one span. Nothing here needs messages to arrive, in order or once, or any view
//! of who is alive to be right: that only says who asks for what. (Leases: Gray and Cheriton, 1989; majorities: Lamport, 1998.)
//!
//! There is no I/O, no clock and no thread in it. `tests/interleavings.rs` searches through partitions, drifts and restarts.

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

/// What a director is set up with; the same at all but for `me`.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub me: usize,
    /// How many there are in all, dead or alive.
    pub directors: usize,
    pub lease: Span,
    /// Clocks run this part too fast or too slow at most.
    pub drift: f64,
    /// What must pass between two users of a half.
    pub rest: Span,
}

/// What directors send each other. Each may be lost, late, doubled or out of order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Wants these halves, or renews them. Also says that the sender is there.
    Ask { process: u64, number: u64, halves: Vec<usize> },
    /// Of those asked for by that number, these are granted.
    Grant { process: u64, number: u64, halves: Vec<usize> },
}

/// A grant that was given, as its voter knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Given {
    to: usize,
    /// Of which of its processes: one that starts again doesn't know what it held.
    process: u64,
    /// Nobody else gets it before.
    until: Instant,
}

#[derive(Clone, Debug)]
pub struct Member {
    terms: Terms,
    /// Differs from process to process of one director.
    process: u64,
    /// Grants nothing before: a process before this one may have.
    votes_from: Instant,
    given: Vec<Option<Given>>,
    /// By half and voter: until when its grant to us holds.
    got: Vec<Vec<Instant>>,
    /// When each was last heard of; ourselves always.
    heard: Vec<Option<Instant>>,
    /// Numbers of what was asked, with when; the last few.
    asked: Vec<(u64, Instant)>,
    number: u64,
    next: Instant,
    started: Instant,
}

/// A lease is renewed so often in its time; so many that were asked for are remembered.
const RENEWALS: f64 = 3.0;
const REMEMBERED: usize = 4;

impl Member {
    /// `process` differs from that of the process before.
    pub fn start(terms: Terms, process: u64, now: Instant) -> Member {
        let n = terms.directors;
        Member {
            terms,
            process,
            votes_from: now + guard(&terms),
            given: vec![None; n],
            got: vec![vec![Instant::LONG_AGO; n]; n],
            heard: vec![None; n],
            asked: Vec::new(),
            number: 0,
            next: now,
            started: now,
        }
    }

    /// The halves that may be used now: own first half always, and the second halves that are held. A turn `t` of
    /// `2 * directors` is the first half of director `t` or, from `directors` on, the second of `t - directors`.
    pub fn turns(&self, now: Instant) -> Vec<usize> {
        let n = self.terms.directors;
        std::iter::once(self.terms.me)
            .chain((0..n).filter(|&half| self.holds(half, now)).map(|half| n + half))
            .collect()
    }

    fn holds(&self, half: usize, now: Instant) -> bool {
        let votes = self.got[half].iter().filter(|&&until| now < until).count();
        votes * 2 > self.terms.directors
    }

    /// Those that are held to be there.
    pub fn alive(&self, now: Instant) -> Vec<usize> {
        let there = |&d: &usize| d == self.terms.me || self.is_heard(d, now);
        (0..self.terms.directors).filter(there).collect()
    }

    fn is_heard(&self, director: usize, now: Instant) -> bool {
        self.heard[director].is_some_and(|at| now - at < self.terms.lease)
    }

    /// When [`Member::tick`] is due, and when the next of what is held runs out.
    pub fn next_due(&self) -> Instant {
        self.next
    }

    /// Asks for what it wants, if it is time to; to whom, and what.
    pub fn tick(&mut self, now: Instant) -> Vec<(usize, Message)> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.terms.lease * (1.0 / RENEWALS);
        self.number += 1;
        self.asked.push((self.number, now));
        if self.asked.len() > REMEMBERED {
            self.asked.remove(0);
        }
        let halves = self.wanted(now);
        let message = Message::Ask { process: self.process, number: self.number, halves: halves.clone() };
        // Its own vote needs no message.
        let granted = self.vote(self.terms.me, self.process, &halves, now);
        self.count(self.terms.me, self.number, &granted);
        (0..self.terms.directors).filter(|&d| d != self.terms.me).map(|d| (d, message.clone())).collect()
    }

    /// Its own half, and those of the silent, dealt out among those that are there.
    fn wanted(&self, now: Instant) -> Vec<usize> {
        let me = self.terms.me;
        let alive = self.alive(now);
        // One that has just started has heard of nobody, and takes nobody for dead.
        let settled = now - self.started >= self.terms.lease;
        let mut silent = 0;
        (0..self.terms.directors)
            .filter(|&half| {
                if half == me {
                    return true;
                }
                if alive.contains(&half) || !settled {
                    return false;
                }
                let mine = alive[silent % alive.len()] == me;
                silent += 1;
                mine
            })
            .collect()
    }

    /// A message came; what is to be answered. What is not well-formed by its numbers is passed over.
    pub fn take(&mut self, from: usize, message: &Message, now: Instant) -> Vec<(usize, Message)> {
        if from >= self.terms.directors || from == self.terms.me {
            return Vec::new();
        }
        match message {
            Message::Ask { process, number, halves } => {
                self.heard[from] = Some(now);
                let halves = self.vote(from, *process, halves, now);
                vec![(from, Message::Grant { process: *process, number: *number, halves })]
            }
            Message::Grant { process, number, halves } => {
                if *process == self.process {
                    self.count(from, *number, halves);
                }
                Vec::new()
            }
        }
    }

    /// Grants what may be granted.
    fn vote(&mut self, to: usize, process: u64, halves: &[usize], now: Instant) -> Vec<usize> {
        if now < self.votes_from {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for &half in halves.iter().take(self.terms.directors) {
            // A director that is there goes before those that would use its half for it.
            let owner_there = half == self.terms.me || (half < self.heard.len() && self.is_heard(half, now));
            let Some(given) = self.given.get_mut(half) else { continue };
            let free = given.is_none_or(|g| (g.to, g.process) == (to, process) || g.until <= now);
            if free && (half == to || !owner_there) && !granted.contains(&half) {
                *given = Some(Given { to, process, until: now + guard(&self.terms) });
                granted.push(half);
            }
        }
        granted
    }

    /// A voter granted what was asked by that number: from when it was asked, by our clock, and for less than the voter
    /// goes by.
    fn count(&mut self, voter: usize, number: u64, halves: &[usize]) {
        let Some(&(_, at)) = self.asked.iter().find(|(known, _)| *known == number) else { return };
        let until = at + self.terms.lease * ((1.0 - self.terms.drift) / (1.0 + self.terms.drift));
        for &half in halves {
            if let Some(got) = self.got.get_mut(half) {
                got[voter] = got[voter].max(until);
            }
        }
    }
}

/// For how long a voter keeps to a grant, by its own clock: the lease in true time, however fast that runs, and the rest.
fn guard(terms: &Terms) -> Span {
    (terms.lease + terms.rest) * (1.0 + terms.drift)
}

#[cfg(test)]
mod tests;
