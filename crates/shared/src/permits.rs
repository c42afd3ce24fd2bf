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
use crate::PermitPool;
use crate::{FleetConfig, InjectedFault, uniform_hash};

/// A permit that can be leased, identified by its pool and its number within the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Index of the pool in [`FleetConfig::permit_pools`].
    pub pool: u8,
    /// Number among the leasable permits of the pool, from 0.
    pub number: u32,
}

/// A message of the lease protocol between a holder and a voter.
///
/// `process_id` identifies the holder's process, and `round` the request round of that process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Holder to voter: requests or renews leases on `permits`, and queries the free permits of
    /// `queried_owners`.
    Request { process_id: u64, round: u64, permits: Vec<Permit>, queried_owners: Vec<u16> },
    /// Voter to holder: grants `permits` of the request of that round. As far as this voter knows, those in
    /// `free` are available.
    Grant { process_id: u64, round: u64, permits: Vec<Permit>, free: Vec<Permit> },
    /// Holder to voter: the holder no longer uses `permits`, whatever it requested in rounds up to this one.
    Release { process_id: u64, round: u64, permits: Vec<Permit> },
}

/// Number of request rounds within the duration of a lease.
const REQUESTS_PER_LEASE: f64 = 3.0;
/// Number of recent request rounds whose grants are accepted.
const REMEMBERED_ROUNDS: usize = 4;
/// Number of rounds for which a permit that others may hold is requested before it is given up.
const MAX_FAILED_ROUNDS: u32 = 2;
/// Number of owners whose free permits are queried in a round, for each pool that needs more permits.
const QUERIES_PER_POOL: usize = 2;
/// Maximum number of free permits reported in one reply.
const MAX_FREE_PER_REPLY: usize = 32;
/// Maximum number of permits in one message. Further permits are requested in the next rounds.
pub const MAX_PERMITS_PER_MESSAGE: usize = 256;

/// A grant as recorded by the voter that gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct GrantRecord {
    holder: usize,
    /// Process of the holder; after a restart a director doesn't know what it held. 0 once the permit is
    /// released.
    process_id: u64,
    /// Request round of the holder.
    round: u64,
    /// Time before which this voter grants the permit to nobody else.
    reserved_until: Instant,
}

/// A permit that this director requests or holds.
#[derive(Clone, Debug, Default)]
struct RequestedPermit {
    /// Voters that granted the permit, each with the end of its grant.
    grants: Vec<(usize, Instant)>,
    /// Number of request rounds since the permit was last held.
    failed_rounds: u32,
}

/// The lease protocol of one director, as holder and as voter.
#[derive(Clone, Debug)]
pub struct PermitLeases {
    config: FleetConfig,
    /// Voters by owner, computed once because they are looked up often.
    voters: Vec<Vec<usize>>,
    /// Identifies this process among all processes of this director.
    process_id: u64,
    /// Time before which this voter grants nothing, as a previous process may have granted any permit.
    may_vote_from: Instant,
    /// As voter: the last grant of each permit.
    grants: BTreeMap<Permit, GrantRecord>,
    /// As voter, by owner: time and round of its last request, and the permits of its own that it requested.
    owner_requests: BTreeMap<usize, (Instant, u64, BTreeSet<Permit>)>,
    /// As voter, by owner: the directors that queried its free permits, and when.
    queriers: BTreeMap<usize, BTreeMap<usize, Instant>>,
    /// As holder: the permits that are requested or held.
    requested: BTreeMap<Permit, RequestedPermit>,
    /// Released permits with the round up to which grants are ignored.
    ignored_rounds: BTreeMap<Permit, u64>,
    /// Permits that are no longer used and whose release has not been sent.
    pending_releases: Vec<Permit>,
    /// Permits reported as free since the last request round.
    free: BTreeSet<Permit>,
    /// The last request rounds, each with the time of its request.
    recent_rounds: Vec<(u64, Instant)>,
    /// Number of the last request round.
    round: u64,
    next_request_at: Instant,
    /// By pool: number of permits needed beyond the reserved ones.
    needed: Vec<usize>,
}

/// The permits of one pool that a director may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldPermits {
    /// Numbers within the whole pool, counting the reserved permits of all directors first, then the leasable
    /// ones.
    pub numbers: Vec<usize>,
    /// Earliest end of the leases; `None` if only reserved permits are held.
    pub valid_until: Option<Instant>,
}

impl PermitLeases {
    /// Starts without leases. `process_id` must differ from that of every previous process of this director.
    pub fn new(config: FleetConfig, process_id: u64, now: Instant) -> PermitLeases {
        let voters = (0..config.director_count()).map(|owner| config.voters(owner)).collect();
        PermitLeases {
            voters,
            process_id,
            may_vote_from: now + grant_duration(&config),
            grants: BTreeMap::new(),
            owner_requests: BTreeMap::new(),
            queriers: BTreeMap::new(),
            requested: BTreeMap::new(),
            ignored_rounds: BTreeMap::new(),
            pending_releases: Vec::new(),
            free: BTreeSet::new(),
            recent_rounds: Vec::new(),
            round: 0,
            next_request_at: now,
            needed: vec![0; config.permit_pools.len()],
            config,
        }
    }

    /// Sets the number of permits of this pool that are needed beyond the reserved ones.
    pub fn set_needed(&mut self, pool: usize, count: usize) {
        if let Some(needed) = self.needed.get_mut(pool) {
            *needed = count;
        }
    }

    /// Returns the permits of this pool that may be used at `now`.
    pub fn held(&self, pool: usize, now: Instant) -> HeldPermits {
        let Some(permit_pool) = self.config.permit_pools.get(pool) else { return HeldPermits::default() };
        let director_index = self.config.director_index;
        let mut held = HeldPermits {
            numbers: (director_index * permit_pool.reserved..(director_index + 1) * permit_pool.reserved)
                .collect(),
            valid_until: None,
        };
        let requested = self.requested.iter().filter(|(permit, _)| usize::from(permit.pool) == pool);
        for (permit, request) in requested {
            if let Some(until) = self.held_until(permit, request, now) {
                held.numbers
                    .push(self.config.director_count() * permit_pool.reserved + permit.number as usize);
                held.valid_until = Some(held.valid_until.map_or(until, |first| first.min(until)));
            }
        }
        held
    }

    /// Returns the time until which the permit is held, or `None` if it is not held at `now`.
    fn held_until(&self, permit: &Permit, request: &RequestedPermit, now: Instant) -> Option<Instant> {
        let mut grant_ends: Vec<Instant> =
            request.grants.iter().map(|grant| grant.1).filter(|&until| now < until).collect();
        let majority = self.voters[self.owner(permit)].len() / 2 + 1;
        grant_ends.sort_unstable();
        // The majority lasts until the earliest end among the `majority` grants that end last.
        grant_ends.len().checked_sub(majority).map(|index| grant_ends[index])
    }

    /// Returns the director that owns the permit.
    fn owner(&self, permit: &Permit) -> usize {
        permit.number as usize % self.config.director_count()
    }

    /// Starts a request round if one is due. Returns the messages to send, each with its recipient.
    pub fn tick(&mut self, now: Instant) -> Vec<(usize, PermitMessage)> {
        if now < self.next_request_at {
            return Vec::new();
        }
        self.next_request_at = now + self.config.lease * (1.0 / REQUESTS_PER_LEASE);
        let mut messages = self.release_messages(now);
        self.round += 1;
        self.recent_rounds.push((self.round, now));
        if self.recent_rounds.len() > REMEMBERED_ROUNDS {
            self.recent_rounds.remove(0);
        }
        let queried_owners = self.choose_permits(now);
        let mut requests: BTreeMap<usize, (Vec<Permit>, Vec<u16>)> = BTreeMap::new();
        for permit in self.requested.keys() {
            for &voter in &self.voters[self.owner(permit)] {
                requests.entry(voter).or_default().0.push(*permit);
            }
        }
        for owner in queried_owners {
            for &voter in &self.voters[owner] {
                requests.entry(voter).or_default().1.push(owner as u16);
            }
        }
        let (process_id, round) = (self.process_id, self.round);
        for (voter, (mut permits, queried_owners)) in requests {
            if permits.len() > MAX_PERMITS_PER_MESSAGE {
                let offset = self.round as usize * MAX_PERMITS_PER_MESSAGE % permits.len();
                permits.rotate_left(offset);
                permits.truncate(MAX_PERMITS_PER_MESSAGE);
            }
            if voter == self.config.director_index {
                // A director's own vote needs no message.
                let (granted, free) = self.vote(voter, process_id, round, &permits, &queried_owners, now);
                self.record_grant(voter, round, &granted, now);
                self.free.extend(free);
            } else {
                messages.push((voter, PermitMessage::Request { process_id, round, permits, queried_owners }));
            }
        }
        messages
    }

    /// Returns the release messages for the permits given up in the previous round; this director has stopped
    /// using them since.
    fn release_messages(&mut self, now: Instant) -> Vec<(usize, PermitMessage)> {
        let mut releases: BTreeMap<usize, Vec<Permit>> = BTreeMap::new();
        let released = std::mem::take(&mut self.pending_releases);
        for permit in released {
            for &voter in &self.voters[self.owner(&permit)] {
                releases.entry(voter).or_default().push(permit);
            }
        }
        let (process_id, round) = (self.process_id, self.round);
        let mut messages = Vec::new();
        for (voter, permits) in releases {
            for permits in permits.chunks(MAX_PERMITS_PER_MESSAGE) {
                let permits = permits.to_vec();
                match voter == self.config.director_index {
                    true => self.record_release(voter, process_id, round, &permits, now),
                    false => messages.push((voter, PermitMessage::Release { process_id, round, permits })),
                }
            }
        }
        messages
    }

    /// Chooses the permits to request from now on. Returns the owners whose free permits are to be queried.
    fn choose_permits(&mut self, now: Instant) -> Vec<usize> {
        let free = std::mem::take(&mut self.free);
        let mut queried_owners = BTreeSet::new();
        for pool in 0..self.config.permit_pools.len() {
            let (needed, director_count, director_index) =
                (self.needed[pool], self.config.director_count(), self.config.director_index);
            let leasable = self.config.permit_pools[pool].leasable;
            let own = (director_index..leasable)
                .step_by(director_count)
                .map(|number| Permit { pool: pool as u8, number: number as u32 });
            let own: BTreeSet<Permit> = own.take(needed).collect();
            // Permits that are held and no longer needed are released, those of other owners first, and so
            // are permits that were requested without success.
            let mut room = needed.saturating_sub(own.len());
            let of_pool: Vec<Permit> =
                self.requested.keys().filter(|permit| usize::from(permit.pool) == pool).copied().collect();
            for permit in of_pool {
                let Some(request) = self.requested.get(&permit) else { continue };
                let held = self.held_until(&permit, request, now).is_some();
                let keep = own.contains(&permit)
                    || (room > 0 && (held || request.failed_rounds < MAX_FAILED_ROUNDS));
                if !keep {
                    self.requested.remove(&permit);
                    self.ignored_rounds.insert(permit, self.round);
                    self.pending_releases.push(permit);
                } else if !own.contains(&permit) {
                    room -= 1;
                }
            }
            // Each director orders the free permits differently, so that they don't all request the same
            // ones.
            let mut candidates: Vec<Permit> = free
                .iter()
                .filter(|permit| {
                    usize::from(permit.pool) == pool
                        && !self.requested.contains_key(permit)
                        && !self.pending_releases.contains(permit)
                })
                .copied()
                .collect();
            candidates.sort_by_key(|permit| {
                uniform_hash(&[director_index as u64, self.round, u64::from(permit.number)])
            });
            for permit in own.into_iter().chain(candidates.into_iter().take(room)) {
                self.requested.entry(permit).or_default();
            }
            if room > 0 && leasable > 0 {
                let first_owner =
                    uniform_hash(&[director_index as u64, self.process_id, self.round]) as usize;
                queried_owners.extend(
                    (0..QUERIES_PER_POOL)
                        .map(|offset| (first_owner + offset) % director_count.min(leasable))
                        .filter(|&owner| owner != director_index),
                );
            }
        }
        let held =
            self.requested.iter().filter(|(permit, request)| self.held_until(permit, request, now).is_some());
        let held: BTreeSet<Permit> = held.map(|(permit, _)| *permit).collect();
        for (permit, request) in &mut self.requested {
            request.failed_rounds =
                if held.contains(permit) { 0 } else { request.failed_rounds.saturating_add(1) };
        }
        // A grant for a round that is no longer kept is ignored anyway.
        let oldest = self.recent_rounds.first().map_or(0, |&(round, _)| round);
        self.ignored_rounds.retain(|_, &mut round| round >= oldest);
        queried_owners.into_iter().collect()
    }

    /// Processes a message and returns the reply, if there is one. Ignores numbers that are out of range.
    pub fn receive(
        &mut self,
        sender: usize,
        message: &PermitMessage,
        now: Instant,
    ) -> Option<(usize, PermitMessage)> {
        if sender >= self.config.director_count() || sender == self.config.director_index {
            return None;
        }
        match message {
            PermitMessage::Request { process_id, round, permits, queried_owners } => {
                let (permits, free) = self.vote(sender, *process_id, *round, permits, queried_owners, now);
                Some((sender, PermitMessage::Grant { process_id: *process_id, round: *round, permits, free }))
            }
            PermitMessage::Grant { process_id, round, permits, free } => {
                if *process_id == self.process_id {
                    self.record_grant(sender, *round, permits, now);
                    let room = (MAX_FREE_PER_REPLY * QUERIES_PER_POOL * self.config.max_voters)
                        .saturating_sub(self.free.len());
                    let existing: Vec<Permit> =
                        free.iter().filter(|permit| self.exists(permit)).copied().collect();
                    self.free.extend(existing.into_iter().take(room));
                }
                None
            }
            PermitMessage::Release { process_id, round, permits } => {
                self.record_release(sender, *process_id, *round, permits, now);
                None
            }
        }
    }

    /// Returns whether the permit's pool and number are in range.
    fn exists(&self, permit: &Permit) -> bool {
        let pool = self.config.permit_pools.get(usize::from(permit.pool));
        pool.is_some_and(|pool| (permit.number as usize) < pool.leasable)
    }

    /// Votes on a request. Returns the granted permits, and the free permits of the queried owners.
    fn vote(
        &mut self,
        holder: usize,
        process_id: u64,
        round: u64,
        permits: &[Permit],
        queried_owners: &[u16],
        now: Instant,
    ) -> (Vec<Permit>, Vec<Permit>) {
        if now < self.may_vote_from {
            return (Vec::new(), Vec::new());
        }
        if self.owner_requests.get(&holder).is_none_or(|&(_, last, _)| {
            last < round || now - self.owner_requests[&holder].0 > self.config.lease
        }) {
            let own = permits.iter().filter(|permit| self.owner(permit) == holder).copied().collect();
            self.owner_requests.insert(holder, (now, round, own));
        }
        let queried_owners =
            &queried_owners[..queried_owners.len().min(QUERIES_PER_POOL * self.config.permit_pools.len())];
        for &owner in queried_owners {
            if usize::from(owner) < self.config.director_count() {
                let queriers = self.queriers.entry(usize::from(owner)).or_default();
                queriers.insert(holder, now);
                queriers.retain(|_, &mut at| now - at < self.config.lease);
            }
        }
        let mut granted = Vec::new();
        for permit in permits.iter().take(MAX_PERMITS_PER_MESSAGE) {
            if self.may_grant(permit, holder, process_id, now) && !granted.contains(permit) {
                let reserved_until = now + grant_duration(&self.config);
                if self.config.injected_fault != Some(InjectedFault::DoubleGrant) {
                    self.grants.insert(*permit, GrantRecord { holder, process_id, round, reserved_until });
                }
                granted.push(*permit);
            }
        }
        let mut free = Vec::new();
        for &owner in queried_owners {
            for (pool, permit_pool) in self.config.permit_pools.iter().enumerate() {
                let numbers =
                    (usize::from(owner)..permit_pool.leasable).step_by(self.config.director_count());
                let permits = numbers.map(|number| Permit { pool: pool as u8, number: number as u32 });
                free.extend(permits.filter(|permit| self.may_grant(permit, holder, process_id, now)));
            }
        }
        free.truncate(MAX_FREE_PER_REPLY);
        (granted, free)
    }

    /// Returns whether this voter may grant the permit to this process of `holder`.
    fn may_grant(&self, permit: &Permit, holder: usize, process_id: u64, now: Instant) -> bool {
        if !self.exists(permit) {
            return false;
        }
        let owner = self.owner(permit);
        // An owner that requests its own permit takes precedence over others.
        let owner_request = self.owner_requests.get(&owner);
        let owner_requested =
            owner_request.is_some_and(|(at, _, own)| now - *at < self.config.lease && own.contains(permit));
        let same_holder = |grant: &GrantRecord| (grant.holder, grant.process_id) == (holder, process_id);
        let grant = self.grants.get(permit);
        let available = grant.is_none_or(|grant| same_holder(grant) || grant.reserved_until <= now);
        let has_precedence = owner == holder
            || grant.is_some_and(same_holder)
            || self.has_precedence(permit, owner, holder, now);
        self.voters[owner].contains(&self.config.director_index)
            && (owner == holder || !owner_requested)
            && available
            && has_precedence
    }

    /// Returns whether `holder` takes precedence among the directors that query this owner. The order is the
    /// same at all voters, because with votes split among several directors none of them would get a
    /// majority.
    fn has_precedence(&self, permit: &Permit, owner: usize, holder: usize, now: Instant) -> bool {
        let rank = |director: usize| {
            uniform_hash(&[u64::from(permit.pool), u64::from(permit.number), director as u64])
        };
        let queriers = self.queriers.get(&owner);
        let is_recent =
            |&(_, at): &(&usize, &Instant)| now - *at < self.config.lease * (1.0 - 1.0 / REQUESTS_PER_LEASE);
        queriers.is_none_or(|all| all.iter().filter(is_recent).all(|(&other, _)| rank(other) <= rank(holder)))
    }

    /// Records a release: the permits may be granted again after the guard interval.
    fn record_release(
        &mut self,
        sender: usize,
        process_id: u64,
        round: u64,
        permits: &[Permit],
        now: Instant,
    ) {
        let reserved_until = now + guard_interval(&self.config) * (1.0 + self.config.max_clock_drift);
        for permit in permits.iter().take(MAX_PERMITS_PER_MESSAGE) {
            if let Some(grant) = self.grants.get_mut(permit)
                && (grant.holder, grant.process_id) == (sender, process_id)
                && grant.round <= round
            {
                grant.reserved_until = grant.reserved_until.min(reserved_until);
                // Until then a delayed request of the same process doesn't get the permit either.
                grant.process_id = 0;
            }
        }
    }

    /// Records a voter's grant for a request of that round. The grant counts from the time of the request on
    /// this director's clock, and for less time than the voter reserves it.
    fn record_grant(&mut self, voter: usize, round: u64, permits: &[Permit], now: Instant) {
        let Some(&(_, requested_at)) =
            self.recent_rounds.iter().find(|(known_round, _)| *known_round == round)
        else {
            return;
        };
        let counted_from = if self.config.injected_fault == Some(InjectedFault::LeaseFromReply) {
            now
        } else {
            requested_at
        };
        let until = counted_from
            + self.config.lease * ((1.0 - self.config.max_clock_drift) / (1.0 + self.config.max_clock_drift));
        for permit in permits.iter().take(MAX_PERMITS_PER_MESSAGE) {
            let ignored = self.ignored_rounds.get(permit).is_some_and(|&ignored| round <= ignored);
            let may_vote = self.exists(permit) && self.voters[self.owner(permit)].contains(&voter);
            let Some(request) = self.requested.get_mut(permit) else { continue };
            if ignored || !may_vote {
                continue;
            }
            match request.grants.iter_mut().find(|(known_voter, _)| *known_voter == voter) {
                Some(grant) => grant.1 = grant.1.max(until),
                None => request.grants.push((voter, until)),
            }
        }
    }
}

/// Returns the guard interval in effect, which is zero under the fault that leaves it out.
fn guard_interval(config: &FleetConfig) -> Span {
    if config.injected_fault == Some(InjectedFault::NoGuardInterval) {
        Span::ZERO
    } else {
        config.guard_interval
    }
}

/// Returns the time for which a voter reserves a permit after granting it: on its own clock, however fast
/// that runs, this covers the lease and the guard interval in true time.
fn grant_duration(config: &FleetConfig) -> Span {
    (config.lease + guard_interval(config)) * (1.0 + config.max_clock_drift)
}
