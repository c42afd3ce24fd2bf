//! How judgements get round: pushed to a few peers a round while they are news, as often as the log of the fleet asks for
//! (the rumours of Demers and others, 1987, as SWIM carries them), and mended by digests, which tell a peer what one holds of
//! some sources so that it sends what is missing. Messages are bounded, the least told first; what doesn't fit waits.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::judgements::{Judgement, Judgements};

/// Words in one message at most, and sources of one digest.
pub const MOST_WORDS: usize = 24;
pub const MOST_SOURCES: usize = 48;
/// Peers told in a round, and rounds between digests.
const PEERS: usize = 2;
const DIGEST_EVERY: u64 = 5;
/// A word is told so many times the log of the fleet.
const TOLD: f64 = 2.0;
/// Answers to one digest at most.
const MOST_ANSWERS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Words(Vec<Judgement>),
    /// Of these sources in a row, from the first: a hash of what is held of each; 0 for nothing.
    Digest {
        first: u16,
        hashes: Vec<u32>,
        answer: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Spread {
    me: usize,
    directors: usize,
    every: Span,
    next: Instant,
    rounds: u64,
    /// What is still news: by source and node, how often it was told.
    news: BTreeMap<(u16, u64), u32>,
    random: oorandom::Rand64,
}

impl Spread {
    pub fn new(me: usize, directors: usize, every: Span, seed: u64, now: Instant) -> Spread {
        let random = oorandom::Rand64::new(u128::from(seed) << 16 | me as u128);
        Spread { me, directors, every, next: now, rounds: 0, news: BTreeMap::new(), random }
    }

    /// This is to be told on.
    pub fn news(&mut self, word: &Judgement) {
        self.news.insert((word.source, word.node), 0);
    }

    fn peer(&mut self) -> usize {
        let other = self.random.rand_range(0..(self.directors as u64 - 1)) as usize;
        if other >= self.me { other + 1 } else { other }
    }

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
            // The first of a process looks at all by and by, from a place of its own.
            let slices = self.directors.div_ceil(MOST_SOURCES) as u64;
            let slice = (self.rounds / DIGEST_EVERY + self.me as u64) % slices;
            let digest = self.digest(known, slice as usize * MOST_SOURCES, false, now);
            out.push((self.peer(), digest));
        }
        out
    }

    /// The news told least, as much as a message takes.
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

    /// A message came; what is to be answered.
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
                    // Nobody else knows better what we saw.
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

/// Hashes of what is held of sources in a row, 0 where that is nothing.
fn hashes(known: &Judgements, first: usize, many: usize, now: Instant) -> Vec<u32> {
    let mut hashes = vec![0u32; many];
    for word in known.words(now) {
        let Some(hash) = usize::from(word.source).checked_sub(first).and_then(|at| hashes.get_mut(at)) else {
            continue;
        };
        let mut hasher = SipHasher13::new();
        hasher.write_u64(word.node);
        hasher.write_u64(word.version);
        // In any order the same.
        *hash ^= (hasher.finish() as u32).max(1);
    }
    hashes
}
