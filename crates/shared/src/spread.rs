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

use crate::judgements::{Judgement, Judgements};

/// Maximum number of reports in one message.
pub const MOST_WORDS: usize = 24;
/// Maximum number of sources covered by one digest.
pub const MOST_SOURCES: usize = 48;
/// Number of peers that are sent new reports in a round.
const PEERS: usize = 2;
/// Number of rounds from one digest to the next.
const DIGEST_EVERY: u64 = 5;
/// Number of times that a report is sent, per binary logarithm of the fleet size.
const TOLD: f64 = 2.0;
/// Maximum number of messages with reports in reply to one digest.
const MOST_ANSWERS: usize = 4;

/// A message of the gossip protocol.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Health reports, at most [`MAX_REPORTS_PER_MESSAGE`].
    Words(Vec<Judgement>),
    /// Hashes of the sender's reports, one for each source from `first_source` on; 0 if it has none of that
    /// source. `is_reply` marks a digest sent in reply to a digest, which gets no digest in turn.
    Digest { first: u16, hashes: Vec<u32>, answer: bool },
}

/// Gossip protocol of one director.
#[derive(Clone, Debug)]
pub struct Spread {
    me: usize,
    directors: usize,
    every: Span,
    next: Instant,
    rounds: u64,
    /// Number of transmissions so far of the reports that are still being pushed, by source and node.
    news: BTreeMap<(u16, u64), u32>,
    random: oorandom::Rand64,
}

impl Spread {
    /// Starts with nothing to send. `interval` is the time between rounds; `seed` selects the sequence of
    /// peers.
    pub fn new(me: usize, directors: usize, every: Span, seed: u64, now: Instant) -> Spread {
        let random = oorandom::Rand64::new(u128::from(seed) << 16 | me as u128);
        Spread { me, directors, every, next: now, rounds: 0, news: BTreeMap::new(), random }
    }

    /// Schedules a new report for transmission to peers.
    pub fn news(&mut self, word: &Judgement) {
        self.news.insert((word.source, word.node), 0);
    }

    fn peer(&mut self) -> usize {
        let other = self.random.rand_range(0..(self.directors as u64 - 1)) as usize;
        if other >= self.me { other + 1 } else { other }
    }

    /// Runs a round if one is due. Returns the messages to send, each with its recipient.
    pub fn tick(&mut self, known: &Judgements, now: Instant) -> Vec<(usize, Message)> {
        if now < self.next || self.directors < 2 {
            return Vec::new();
        }
        self.next = now + self.every;
        self.rounds += 1;
        let mut out = Vec::new();
        for _ in 0..PEERS.min(self.directors - 1) {
            let words = self.words(known, now);
            if !words.is_empty() {
                out.push((self.peer(), Message::Words(words)));
            }
        }
        if self.rounds.is_multiple_of(DIGEST_EVERY) {
            // Successive digests cover all sources in turn, from a different start at each director.
            let slices = self.directors.div_ceil(MOST_SOURCES) as u64;
            let slice = (self.rounds / DIGEST_EVERY + self.me as u64) % slices;
            let digest = self.digest(known, slice as usize * MOST_SOURCES, false, now);
            out.push((self.peer(), digest));
        }
        out
    }

    /// Returns the pending reports that were sent the fewest times, as many as fit in a message.
    fn words(&mut self, known: &Judgements, now: Instant) -> Vec<Judgement> {
        if self.news.is_empty() {
            return Vec::new();
        }
        let most = (TOLD * (self.directors as f64 + 1.0).log2()).ceil() as u32;
        let mut order: Vec<((u16, u64), u32)> = self.news.iter().map(|(&key, &told)| (key, told)).collect();
        order.sort_by_key(|&(key, told)| (told, key));
        order.truncate(MOST_WORDS);
        let held: BTreeMap<(u16, u64), Judgement> =
            known.words(now).map(|word| ((word.source, word.node), word)).collect();
        let mut words = Vec::new();
        for (key, told) in order {
            match (held.get(&key), self.news.get_mut(&key)) {
                (Some(word), Some(times)) if told < most => {
                    *times += 1;
                    words.push(*word);
                }
                _ => drop(self.news.remove(&key)),
            }
        }
        words
    }

    fn digest(&self, known: &Judgements, first: usize, answer: bool, now: Instant) -> Message {
        let many = MOST_SOURCES.min(self.directors - first);
        let hashes = hashes(known, first, many, now);
        Message::Digest { first: first as u16, hashes, answer }
    }

    /// Processes a message from a peer. Returns the replies, each with its recipient.
    pub fn take(
        &mut self,
        from: usize,
        message: &Message,
        known: &mut Judgements,
        now: Instant,
    ) -> Vec<(usize, Message)> {
        match message {
            Message::Words(words) => {
                for word in words.iter().take(MOST_WORDS) {
                    // This director is the authority on its own reports.
                    let ours = usize::from(word.source) == self.me;
                    if !ours && usize::from(word.source) < self.directors && known.merge(word, now) {
                        self.news(word);
                    }
                }
                Vec::new()
            }
            Message::Digest { first, hashes: theirs, answer } => {
                let first = usize::from(*first);
                if first >= self.directors || theirs.len() > MOST_SOURCES {
                    return Vec::new();
                }
                let many = theirs.len().min(self.directors - first);
                let ours = hashes(known, first, many, now);
                let differ = |source: usize| {
                    source >= first && source < first + many && ours[source - first] != theirs[source - first]
                };
                let missing: Vec<Judgement> =
                    known.words(now).filter(|word| differ(usize::from(word.source))).collect();
                let mut out: Vec<(usize, Message)> = missing
                    .chunks(MOST_WORDS)
                    .take(MOST_ANSWERS)
                    .map(|words| (from, Message::Words(words.to_vec())))
                    .collect();
                let lacks = (0..many).any(|k| theirs[k] != 0 && theirs[k] != ours[k]);
                if lacks && !answer {
                    out.push((from, self.digest(known, first, true, now)));
                }
                out
            }
        }
    }
}

/// Returns a hash of the stored reports of each of `count` sources from `first_source` on, 0 where there are
/// none.
fn hashes(known: &Judgements, first: usize, many: usize, now: Instant) -> Vec<u32> {
    let mut hashes = vec![0u32; many];
    for word in known.words(now) {
        let Some(hash) = usize::from(word.source).checked_sub(first).and_then(|at| hashes.get_mut(at)) else {
            continue;
        };
        let mut hasher = SipHasher13::new();
        hasher.write_u64(word.node);
        hasher.write_u64(word.version);
        // XOR makes the result independent of the order.
        *hash ^= (hasher.finish() as u32).max(1);
    }
    hashes
}
