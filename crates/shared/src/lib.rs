//! What directors share, and what holds of it while part of the fleet hears nothing.
//!
//! - [`rights`]: bounds over the whole fleet, kept as rights that are held, lent by leases and given back;
//! - [`judgements`]: what directors saw of media nodes, merged so that order, doubling and loss don't matter;
//! - [`spread`]: how judgements get round, in messages of bounded size;
//! - [`Member`]: one director's part in all three.
//!
//! Nothing here needs messages to arrive, in order or once. What is safe rests on [`rights`] alone, whose module has the
//! argument; judgements only ever say which node is tried last, and spreading only how soon that is known. There is no I/O,
//! no clock and no thread in it.

use std::hash::Hasher;

use ashglade::interface::AttemptOutcome;
use ashglade::time::Span;
use siphasher::sip::SipHasher13;

pub mod judgements;
mod member;
pub mod rights;
pub mod spread;

pub use judgements::{Judgement, Verdict};
pub use member::{Body, Member, View, Word};

/// What a director is set up with; the same at all but for `me` and `seed`. [`Terms::digest`] goes along in each message:
/// directors that were told otherwise pass each other's words over.
#[derive(Clone, Debug)]
pub struct Terms {
    pub me: usize,
    /// By director, dead or alive: its zone.
    pub zones: Vec<u8>,
    /// How many vote on the rights of one home at most.
    pub council: usize,
    pub lease: Span,
    /// Clocks run this part too fast or too slow at most.
    pub drift: f64,
    /// What must pass between two holders of a right.
    pub rest: Span,
    pub pools: Vec<Pool>,
    /// For how long a judgement on a node is believed.
    pub fade: Span,
    /// Between messages that spread judgements.
    pub gossip: Span,
    pub seed: u64,
    /// Broken on purpose, to see that it is found out.
    pub defect: Option<Defect>,
}

/// A bound over the fleet, cut into rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Rights of each director that are never lent.
    pub kept: usize,
    /// Rights of the whole fleet that go where they are needed; right `j` has director `j` modulo their number for its home.
    pub lent: usize,
    /// Each needs all it can have, always; if not, as many as its SETUPs failed within a lease.
    pub always: bool,
}

/// What is left out of the argument for safety.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Rights are granted anew without a rest.
    NoRest,
    /// A lease is counted from when its grant came, not from when it was asked for.
    FromAnswer,
    /// A voter forgets what it has granted.
    Twice,
}

impl Terms {
    pub fn directors(&self) -> usize {
        self.zones.len()
    }

    /// A number that differs where anything differs that safety rests on.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for number in [self.zones.len(), self.council, self.pools.len()] {
            hasher.write_u64(number as u64);
        }
        hasher.write(&self.zones);
        for span in [self.lease, self.rest] {
            hasher.write_u64(span.as_ms().to_bits());
        }
        hasher.write_u64(self.drift.to_bits());
        for pool in &self.pools {
            hasher.write_u64(pool.kept as u64);
            hasher.write_u64(pool.lent as u64);
        }
        hasher.finish()
    }

    /// Who votes on the rights of a home: itself, then those after it, from zones that have the fewest yet. The same
    /// wherever it is asked, as safety rests on majorities of one council sharing a voter.
    pub fn council(&self, home: usize) -> Vec<usize> {
        let n = self.directors();
        let mut council = Vec::with_capacity(self.council.min(n));
        let mut left: Vec<usize> = (0..n).map(|k| (home + k) % n).collect();
        while council.len() < self.council.min(n) {
            let had = |d: usize| council.iter().filter(|&&c: &&usize| self.zones[c] == self.zones[d]).count();
            let Some(at) = (0..left.len()).min_by_key(|&at| (had(left[at]), at)) else { break };
            council.push(left.remove(at));
        }
        council
    }
}

/// What the end of an own SETUP says of its node, if anything. A node that turns a set-up away does its work.
pub fn verdict(ended: Option<AttemptOutcome>) -> Option<Verdict> {
    match ended {
        None | Some(AttemptOutcome::Full) => Some(Verdict::Well),
        Some(AttemptOutcome::Silent) => Some(Verdict::Silent),
        Some(AttemptOutcome::Unreachable | AttemptOutcome::Fault | AttemptOutcome::Lost) => {
            Some(Verdict::Failing)
        }
        Some(AttemptOutcome::Unsent | AttemptOutcome::Cancelled | AttemptOutcome::Played) => None,
    }
}

/// An even draw that is the same wherever it is made.
fn draw(parts: &[u64]) -> u64 {
    let mut hasher = SipHasher13::new();
    parts.iter().for_each(|&part| hasher.write_u64(part));
    hasher.finish()
}
