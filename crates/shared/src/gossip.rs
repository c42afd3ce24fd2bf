//! Gossip of health reports between directors.
//!
//! New reports are pushed to a few random peers in each round, a number of times that grows with the
//! logarithm of the fleet size (rumor mongering of Demers and others, 1987, as used by SWIM). Losses are
//! repaired by anti-entropy: digests tell a peer which reports of some sources the sender has, and the peer
//! replies with the missing ones. Messages are of bounded size. The reports sent the fewest times go first,
//! and the others wait.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::health::{HealthReport, HealthStore};

/// Maximum number of reports in one message.
pub const MAX_REPORTS_PER_MESSAGE: usize = 24;
/// Maximum number of sources covered by one digest.
pub const MAX_SOURCES_PER_DIGEST: usize = 48;
/// Number of peers that are sent new reports in a round.
const PEERS_PER_ROUND: usize = 2;
/// Number of rounds from one digest to the next.
const ROUNDS_PER_DIGEST: u64 = 5;
/// Number of times that a report is sent, per binary logarithm of the fleet size.
const TRANSMISSIONS_PER_LOG2: f64 = 2.0;
/// Maximum number of messages with reports in reply to one digest.
const MAX_REPLIES_PER_DIGEST: usize = 4;

/// A message of the gossip protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Health reports, at most [`MAX_REPORTS_PER_MESSAGE`].
    Reports(Vec<HealthReport>),
    /// Hashes of the sender's reports, one for each source from `first_source` on; 0 if it has none of that
    /// source. `is_reply` marks a digest sent in reply to a digest, which gets no digest in turn.
    Digest { first_source: u16, hashes: Vec<u32>, is_reply: bool },
}

/// Gossip protocol of one director.
#[derive(Clone, Debug)]
pub struct Gossip {
    director_index: usize,
    director_count: usize,
    interval: Span,
    next_round_at: Instant,
    /// Number of rounds so far.
    rounds: u64,
    /// Number of transmissions so far of the reports that are still being pushed, by source and node.
    transmissions: BTreeMap<(u16, u64), u32>,
    random: oorandom::Rand64,
}

impl Gossip {
    /// Starts with nothing to send. `interval` is the time between rounds; `seed` selects the sequence of
    /// peers.
    pub fn new(
        director_index: usize,
        director_count: usize,
        interval: Span,
        seed: u64,
        now: Instant,
    ) -> Gossip {
        let random = oorandom::Rand64::new(u128::from(seed) << 16 | director_index as u128);
        Gossip {
            director_index,
            director_count,
            interval,
            next_round_at: now,
            rounds: 0,
            transmissions: BTreeMap::new(),
            random,
        }
    }

    /// Schedules a new report for transmission to peers.
    pub fn enqueue(&mut self, report: &HealthReport) {
        self.transmissions.insert((report.source, report.node), 0);
    }

    /// Returns the index of a random director other than this one.
    fn random_peer(&mut self) -> usize {
        let index = self.random.rand_range(0..(self.director_count as u64 - 1)) as usize;
        if index >= self.director_index { index + 1 } else { index }
    }

    /// Runs a round if one is due. Returns the messages to send, each with its recipient.
    pub fn tick(&mut self, store: &HealthStore, now: Instant) -> Vec<(usize, GossipMessage)> {
        if now < self.next_round_at || self.director_count < 2 {
            return Vec::new();
        }
        self.next_round_at = now + self.interval;
        self.rounds += 1;
        let mut messages = Vec::new();
        for _ in 0..PEERS_PER_ROUND.min(self.director_count - 1) {
            let reports = self.next_reports(store, now);
            if !reports.is_empty() {
                messages.push((self.random_peer(), GossipMessage::Reports(reports)));
            }
        }
        if self.rounds.is_multiple_of(ROUNDS_PER_DIGEST) {
            // Successive digests cover all sources in turn, from a different start at each director.
            let slices = self.director_count.div_ceil(MAX_SOURCES_PER_DIGEST) as u64;
            let slice = (self.rounds / ROUNDS_PER_DIGEST + self.director_index as u64) % slices;
            let digest = self.digest(store, slice as usize * MAX_SOURCES_PER_DIGEST, false, now);
            messages.push((self.random_peer(), digest));
        }
        messages
    }

    /// Returns the pending reports that were sent the fewest times, as many as fit in a message.
    fn next_reports(&mut self, store: &HealthStore, now: Instant) -> Vec<HealthReport> {
        if self.transmissions.is_empty() {
            return Vec::new();
        }
        let max_transmissions =
            (TRANSMISSIONS_PER_LOG2 * (self.director_count as f64 + 1.0).log2()).ceil() as u32;
        let mut candidates: Vec<((u16, u64), u32)> =
            self.transmissions.iter().map(|(&key, &sent)| (key, sent)).collect();
        candidates.sort_by_key(|&(key, sent)| (sent, key));
        candidates.truncate(MAX_REPORTS_PER_MESSAGE);
        let stored: BTreeMap<(u16, u64), HealthReport> =
            store.reports(now).map(|report| ((report.source, report.node), report)).collect();
        let mut reports = Vec::new();
        for (key, sent) in candidates {
            match (stored.get(&key), self.transmissions.get_mut(&key)) {
                (Some(report), Some(transmissions)) if sent < max_transmissions => {
                    *transmissions += 1;
                    reports.push(*report);
                }
                _ => drop(self.transmissions.remove(&key)),
            }
        }
        reports
    }

    /// Returns a digest of the stored reports of the sources from `first_source` on.
    fn digest(
        &self,
        store: &HealthStore,
        first_source: usize,
        is_reply: bool,
        now: Instant,
    ) -> GossipMessage {
        let count = MAX_SOURCES_PER_DIGEST.min(self.director_count - first_source);
        let hashes = hashes(store, first_source, count, now);
        GossipMessage::Digest { first_source: first_source as u16, hashes, is_reply }
    }

    /// Processes a message from a peer. Returns the replies, each with its recipient.
    pub fn receive(
        &mut self,
        sender: usize,
        message: &GossipMessage,
        store: &mut HealthStore,
        now: Instant,
    ) -> Vec<(usize, GossipMessage)> {
        match message {
            GossipMessage::Reports(reports) => {
                for report in reports.iter().take(MAX_REPORTS_PER_MESSAGE) {
                    // This director is the authority on its own reports.
                    let is_own = usize::from(report.source) == self.director_index;
                    if !is_own && usize::from(report.source) < self.director_count && store.merge(report, now)
                    {
                        self.enqueue(report);
                    }
                }
                Vec::new()
            }
            GossipMessage::Digest { first_source, hashes: peer_hashes, is_reply } => {
                let first_source = usize::from(*first_source);
                if first_source >= self.director_count || peer_hashes.len() > MAX_SOURCES_PER_DIGEST {
                    return Vec::new();
                }
                let count = peer_hashes.len().min(self.director_count - first_source);
                let own_hashes = hashes(store, first_source, count, now);
                let differ = |source: usize| {
                    source >= first_source
                        && source < first_source + count
                        && own_hashes[source - first_source] != peer_hashes[source - first_source]
                };
                let missing: Vec<HealthReport> =
                    store.reports(now).filter(|report| differ(usize::from(report.source))).collect();
                let mut messages: Vec<(usize, GossipMessage)> = missing
                    .chunks(MAX_REPORTS_PER_MESSAGE)
                    .take(MAX_REPLIES_PER_DIGEST)
                    .map(|reports| (sender, GossipMessage::Reports(reports.to_vec())))
                    .collect();
                let peer_has_more = (0..count)
                    .any(|index| peer_hashes[index] != 0 && peer_hashes[index] != own_hashes[index]);
                if peer_has_more && !is_reply {
                    messages.push((sender, self.digest(store, first_source, true, now)));
                }
                messages
            }
        }
    }
}

/// Returns a hash of the stored reports of each of `count` sources from `first_source` on, 0 where there are
/// none.
fn hashes(store: &HealthStore, first_source: usize, count: usize, now: Instant) -> Vec<u32> {
    let mut hashes = vec![0u32; count];
    for report in store.reports(now) {
        let Some(hash) =
            usize::from(report.source).checked_sub(first_source).and_then(|index| hashes.get_mut(index))
        else {
            continue;
        };
        let mut hasher = SipHasher13::new();
        hasher.write_u64(report.node);
        hasher.write_u64(report.version);
        // XOR makes the result independent of the order.
        *hash ^= (hasher.finish() as u32).max(1);
    }
    hashes
}
