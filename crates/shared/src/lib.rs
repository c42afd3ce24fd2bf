//! State shared by the directors of a fleet, usable during network partitions.
//!
//! - [`permits`]: enforces limits over the whole fleet with permits that are reserved, leased and released;
//! - [`health`]: health reports on media nodes, merged so that reordering, duplication and loss don't matter;
//! - [`gossip`]: dissemination of health reports in messages of bounded size;
//! - [`SharedState`]: the state of one director, which combines the three.
//!
//! Nothing here relies on messages to be delivered, in order or exactly once. Safety rests on [`permits`]
//! alone, whose module documentation has the argument. Health reports only decide which nodes are tried last,
//! and gossip how soon they are known. The crate does no I/O, reads no clock and starts no thread.

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

/// Configuration of the shared state; equal at all directors but for `director_index`, `seed` and the
/// injected fault.
///
/// Each message carries [`FleetConfig::digest`]. Directors ignore messages from directors with another
/// digest.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Index of this director.
    pub me: usize,
    /// Zone of each director, whether it is running or not.
    pub zones: Vec<u8>,
    /// Maximum number of voters on the permits of one owner.
    pub council: usize,
    /// Duration of a lease.
    pub lease: Span,
    /// Maximum rate error of a clock, as a fraction: 0.01 is 1 % too fast or too slow.
    pub drift: f64,
    /// Time that must pass between the use of a permit by one holder and by the next.
    pub rest: Span,
    /// Permit pools; messages refer to them by index.
    pub pools: Vec<Pool>,
    /// Time for which a health report is taken into account.
    pub fade: Span,
    /// Interval between gossip rounds.
    pub gossip: Span,
    /// Seed of the choice of gossip peers.
    pub seed: u64,
    /// Fault for tests that check whether a broken protocol is detected.
    pub defect: Option<Defect>,
}

/// A limit over the whole fleet, divided into permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Number of permits reserved for each director, which are never leased to others.
    pub kept: usize,
    /// Number of permits of the whole fleet that are leased to directors that need them. Permit `j` is owned
    /// by director `j` modulo the number of directors.
    pub lent: usize,
    /// Whether each director always requests all permits it can get; otherwise it requests as many as its
    /// SETUPs failed within the duration of a lease.
    pub always: bool,
}

/// A fault planted in the lease protocol, each leaving out one step of the safety argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Permits are granted again without waiting for the guard interval.
    NoRest,
    /// A lease is counted from the arrival of the grant instead of the time of the request.
    FromAnswer,
    /// Voters don't record their grants, so that they grant a permit to several holders.
    Twice,
}

impl Terms {
    /// Returns the number of directors in the fleet, running or not.
    pub fn directors(&self) -> usize {
        self.zones.len()
    }

    /// Returns a hash of all settings on which safety depends.
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

    /// Returns the voters on the permits of an owner: the owner, then the directors after it, each time the
    /// next from a zone with the fewest voters so far. The result is the same at all directors, as safety
    /// requires that any two majorities of the voters share one.
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

/// Returns the health of a node as shown by the outcome of a SETUP (`None`: it succeeded), if it shows any. A
/// node that rejects a SETUP because it is full is working.
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

/// Returns a uniformly distributed hash of `parts`, equal at all directors.
fn draw(parts: &[u64]) -> u64 {
    let mut hasher = SipHasher13::new();
    parts.iter().for_each(|&part| hasher.write_u64(part));
    hasher.finish()
}
