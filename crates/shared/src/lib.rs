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

pub mod gossip;
pub mod health;
pub mod permits;
mod shared_state;

pub use health::{HealthReport, NodeHealth};
pub use shared_state::{MessageBody, PeerMessage, SharedState, Snapshot};

/// Configuration of the shared state; equal at all directors but for `director_index`, `seed` and the
/// injected fault.
///
/// Each message carries [`FleetConfig::digest`]. Directors ignore messages from directors with another
/// digest.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Index of this director.
    pub director_index: usize,
    /// Zone of each director, whether it is running or not.
    pub zones: Vec<u8>,
    /// Maximum number of voters on the permits of one owner.
    pub max_voters: usize,
    /// Duration of a lease.
    pub lease: Span,
    /// Maximum rate error of a clock, as a fraction: 0.01 is 1 % too fast or too slow.
    pub max_clock_drift: f64,
    /// Time that must pass between the use of a permit by one holder and by the next.
    pub guard_interval: Span,
    /// Permit pools; messages refer to them by index.
    pub permit_pools: Vec<PermitPool>,
    /// Time for which a health report is taken into account.
    pub report_ttl: Span,
    /// Interval between gossip rounds.
    pub gossip_interval: Span,
    /// Seed of the choice of gossip peers.
    pub seed: u64,
    /// Fault for tests that check whether a broken protocol is detected.
    pub injected_fault: Option<InjectedFault>,
}

/// A limit over the whole fleet, divided into permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitPool {
    /// Number of permits reserved for each director, which are never leased to others.
    pub reserved: usize,
    /// Number of permits of the whole fleet that are leased to directors that need them. Permit `j` is owned
    /// by director `j` modulo the number of directors.
    pub leasable: usize,
    /// Whether each director always requests all permits it can get; otherwise it requests as many as its
    /// SETUPs failed within the duration of a lease.
    pub request_all: bool,
}

/// A fault planted in the lease protocol, each leaving out one step of the safety argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Permits are granted again without waiting for the guard interval.
    NoGuardInterval,
    /// A lease is counted from the arrival of the grant instead of the time of the request.
    LeaseFromReply,
    /// Voters don't record their grants, so that they grant a permit to several holders.
    DoubleGrant,
}

impl FleetConfig {
    /// Returns the number of directors in the fleet, running or not.
    pub fn director_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns a hash of all settings on which safety depends.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for value in [self.zones.len(), self.max_voters, self.permit_pools.len()] {
            hasher.write_u64(value as u64);
        }
        hasher.write(&self.zones);
        for span in [self.lease, self.guard_interval] {
            hasher.write_u64(span.as_ms().to_bits());
        }
        hasher.write_u64(self.max_clock_drift.to_bits());
        for pool in &self.permit_pools {
            hasher.write_u64(pool.reserved as u64);
            hasher.write_u64(pool.leasable as u64);
        }
        hasher.finish()
    }

    /// Returns the voters on the permits of an owner: the owner, then the directors after it, each time the
    /// next from a zone with the fewest voters so far. The result is the same at all directors, as safety
    /// requires that any two majorities of the voters share one.
    pub fn voters(&self, owner: usize) -> Vec<usize> {
        let director_count = self.director_count();
        let mut voters = Vec::with_capacity(self.max_voters.min(director_count));
        let mut candidates: Vec<usize> =
            (0..director_count).map(|offset| (owner + offset) % director_count).collect();
        while voters.len() < self.max_voters.min(director_count) {
            let zone_voters = |director: usize| {
                voters.iter().filter(|&&voter: &&usize| self.zones[voter] == self.zones[director]).count()
            };
            let Some(index) =
                (0..candidates.len()).min_by_key(|&index| (zone_voters(candidates[index]), index))
            else {
                break;
            };
            voters.push(candidates.remove(index));
        }
        voters
    }
}

/// Returns the health of a node as shown by the outcome of a SETUP (`None`: it succeeded), if it shows any. A
/// node that rejects a SETUP because it is full is working.
pub fn health_from_outcome(outcome: Option<AttemptOutcome>) -> Option<NodeHealth> {
    match outcome {
        None | Some(AttemptOutcome::Full) => Some(NodeHealth::Well),
        Some(AttemptOutcome::Silent) => Some(NodeHealth::Silent),
        Some(AttemptOutcome::Unreachable | AttemptOutcome::Fault | AttemptOutcome::Lost) => {
            Some(NodeHealth::Failing)
        }
        Some(AttemptOutcome::Unsent | AttemptOutcome::Cancelled | AttemptOutcome::Played) => None,
    }
}

/// Returns a uniformly distributed hash of `parts`, equal at all directors.
fn uniform_hash(parts: &[u64]) -> u64 {
    let mut hasher = SipHasher13::new();
    parts.iter().for_each(|&part| hasher.write_u64(part));
    hasher.finish()
}
