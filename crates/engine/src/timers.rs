//! What is due when. Entries that have become moot are not searched for: they are recognised when due.

use std::collections::BTreeSet;

use ashglade::ids::{SessionId, SetupNumber, TimerId};
use ashglade::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The module asked to be woken.
    Wake(TimerId),
    /// A SETUP has had its time.
    Setup(SessionId, SetupNumber),
    /// A SETUP was withdrawn and its ending has not been told.
    Withdrawn(SessionId, SetupNumber),
    /// A request must have its answer by now.
    Answer(SessionId),
    /// It goes to a node that doesn't hold the title: never sent.
    Spared(SessionId, SetupNumber),
    Probe(u64),
    /// The door is looked at.
    Door,
    /// Delivered shares are summed up.
    Notes,
}

#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub fn at(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub fn next(&self) -> Option<Instant> {
        self.0.first().map(|&(at, _)| at)
    }

    /// Takes the earliest that is due, those of one moment in a fixed order.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        let &(at, timer) = self.0.first()?;
        (at <= now).then(|| {
            self.0.pop_first();
            timer
        })
    }

    /// How many wait: bounded by sessions in hand, probes out and the module's tickets.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
