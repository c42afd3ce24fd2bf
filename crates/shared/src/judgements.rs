//! Health reports on media nodes.
//!
//! A director issues a versioned [`HealthReport`] on each node at which its own SETUPs failed. A store keeps
//! the newest report of each source and node ([`HealthStore::merge`]). The merge is a join (commutative,
//! associative and idempotent), so reordering, duplication and loss of messages don't matter
//! (`tests/health_merge.rs`). A report carries its age. The receiver converts the age to its own clock, and
//! keeps the earliest time that any copy of the report implies.
//!
//! A director that has seen no failure itself suspects a node only on reports from independent sources
//! ([`HealthStore::suspected_nodes`]): several directors, from its own zone or from two others, that
//! outnumber those that report the node healthy. The influence of one source is limited. It counts once,
//! however many failures it saw, and not at all if it reports failures alone at three or more nodes, and at
//! more nodes alone than together with others: then it is considered faulty itself (as in Lifeguard:
//! Dadgar and others, 2018).

use std::collections::{BTreeMap, BTreeSet};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::draw;

/// Health of a media node, as seen by one director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The node answers SETUPs.
    Well,
    /// SETUPs get an error, or the connection breaks.
    Failing,
    /// SETUPs get no answer.
    Silent,
}

/// One director's report on the health of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Judgement {
    /// Index of the reporting director.
    pub source: u16,
    /// Id of the media node.
    pub node: u64,
    /// Version of the report, increasing over all reports of its source and across restarts.
    pub version: u64,
    pub verdict: Verdict,
    /// Number of the source's own SETUPs on which the report is based.
    pub setups: u16,
    /// Time since the last of these SETUPs ended, in milliseconds.
    pub age_ms: u32,
}

/// A report as stored, without its key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    version: u64,
    verdict: Verdict,
    setups: u16,
    /// Time when the last SETUP of the report ended, on this director's clock.
    at: Instant,
}

/// Maximum number of nodes in the store, and of nodes with counted failures. In the store a further node
/// replaces the one whose newest report is oldest.
const MOST_NODES: usize = 4096;
/// Number of sources required to suspect a node, or half of the directors, rounded up, where that is fewer.
const WITNESSES: usize = 3;
/// Maximum age of an accepted report, in milliseconds; an older one is of no use.
const MOST_AGE_MS: u32 = 3_600_000;

/// Store of the health reports of all directors.
#[derive(Clone, Debug)]
pub struct Judgements {
    me: u16,
    fade: Span,
    /// Reports by node and source.
    known: BTreeMap<u64, BTreeMap<u16, Known>>,
    /// Number of consecutive failures of own SETUPs, by node.
    failed: BTreeMap<u64, u16>,
    version: u64,
}

impl Judgements {
    /// Creates an empty store. Versions of own reports start above `last_version`, which must not be below
    /// any version used by a previous process of this director.
    pub fn new(me: usize, fade: Span, first: u64) -> Judgements {
        Judgements { me: me as u16, fade, known: BTreeMap::new(), failed: BTreeMap::new(), version: first }
    }

    /// Records the outcome of an own SETUP at this node. Returns a report if one is to be sent to others.
    pub fn saw(&mut self, node: u64, verdict: Verdict, now: Instant) -> Option<Judgement> {
        let before = self.known.get(&node).and_then(|words| words.get(&self.me)).copied();
        let fresh = before.filter(|known| now - known.at < self.fade);
        if verdict == Verdict::Well {
            self.failed.remove(&node);
            // Healthy nodes are reported only in reply to contrary reports, and then at a limited rate.
            let doubted = self.known.get(&node).is_some_and(|words| {
                words
                    .iter()
                    .any(|(_, known)| known.verdict != Verdict::Well && now - known.at < self.fade * 2.0)
            });
            let said = fresh.is_some_and(|f| f.verdict == Verdict::Well && now - f.at < self.fade * 0.25);
            return (doubted && !said).then(|| self.say(node, verdict, 1, now));
        }
        let failed = self.failed.entry(node).or_default();
        *failed = failed.saturating_add(1);
        let failed = *failed;
        self.bound_failed();
        let said = fresh.is_some_and(|f| f.verdict != Verdict::Well && now - f.at < self.fade * 0.25);
        // A single failure is reported: it may be chance for one director, but in a large fleet, where each
        // director rarely tries a given node, it is all the evidence there is.
        (!said).then(|| self.say(node, verdict, failed, now))
    }

    fn bound_failed(&mut self) {
        while self.failed.len() > MOST_NODES {
            self.failed.pop_first();
        }
    }

    fn say(&mut self, node: u64, verdict: Verdict, setups: u16, now: Instant) -> Judgement {
        self.version += 1;
        let word = Judgement { source: self.me, node, version: self.version, verdict, setups, age_ms: 0 };
        self.merge(&word, now);
        word
    }

    /// Merges a report into the store. Returns whether it is newer than the stored one.
    pub fn merge(&mut self, word: &Judgement, now: Instant) -> bool {
        if word.age_ms > MOST_AGE_MS {
            return false;
        }
        let at = now - Span::from_ms(f64::from(word.age_ms));
        let new = Known { version: word.version, verdict: word.verdict, setups: word.setups, at };
        if !self.known.contains_key(&word.node) && self.known.len() >= MOST_NODES {
            let newest = |words: &BTreeMap<u16, Known>| words.values().map(|known| known.at).max();
            let oldest = self.known.iter().min_by_key(|(_, words)| newest(words)).map(|(&node, _)| node);
            oldest.and_then(|node| self.known.remove(&node));
        }
        let words = self.known.entry(word.node).or_default();
        match words.get_mut(&word.source) {
            Some(known) if known.version > new.version => false,
            Some(known) if known.version == new.version => {
                // Another copy of the same report: the earlier time is the closer bound on when it was
                // issued.
                known.at = known.at.min(new.at);
                false
            }
            Some(known) => {
                *known = new;
                true
            }
            None => {
                words.insert(word.source, new);
                true
            }
        }
    }

    /// Drops reports that are older than four times the time for which they are taken into account.
    pub fn forget(&mut self, now: Instant) {
        let fade = self.fade;
        self.known.retain(|_, words| {
            words.retain(|_, known| now - known.at < fade * 4.0);
            !words.is_empty()
        });
    }

    /// Returns the number of stored reports.
    pub fn len(&self) -> usize {
        self.known.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the store holds no reports.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns all stored reports, with their ages at `now`.
    pub fn words(&self, now: Instant) -> impl Iterator<Item = Judgement> {
        let word = move |node, source, known: &Known| Judgement {
            source,
            node,
            version: known.version,
            verdict: known.verdict,
            setups: known.setups,
            age_ms: (now - known.at).as_ms().clamp(0.0, f64::from(u32::MAX)) as u32,
        };
        self.known.iter().flat_map(move |(&node, words)| {
            words.iter().map(move |(&source, known)| word(node, source, known))
        })
    }

    /// Returns the nodes to be tried last because of others' reports, each with the sources of these reports.
    /// `zones` holds the zone of each director.
    pub fn left(&self, zones: &[u8], now: Instant) -> BTreeMap<u64, Vec<u16>> {
        let sick = self.sick(zones.len(), now);
        let kinds: BTreeSet<u8> = zones.iter().copied().collect();
        let wanted = WITNESSES.min(zones.len().div_ceil(2)).max(1);
        let mut left = BTreeMap::new();
        for (&node, words) in &self.known {
            let fresh = |verdict_is: fn(Verdict) -> bool, fade: Span| {
                let among =
                    words.iter().filter(move |(_, known)| verdict_is(known.verdict) && now - known.at < fade);
                among.map(|(&source, _)| source).filter(|source| !sick.contains(source)).collect::<Vec<u16>>()
            };
            // Own observations take precedence: a node that answers this director is not suspected.
            let own = words.get(&self.me);
            if own.is_some_and(|own| own.verdict == Verdict::Well && now - own.at < self.fade) {
                continue;
            }
            // Reports expire at each director after a different time, so that a few directors retry the node
            // first instead of all at once.
            let late = draw(&[u64::from(self.me), node]) % 1024;
            let fade = self.fade * (1.0 + late as f64 / 1024.0);
            let against = fresh(|verdict| verdict != Verdict::Well, fade);
            let well = fresh(|verdict| verdict == Verdict::Well, self.fade);
            let of: BTreeSet<u8> =
                against.iter().filter_map(|&s| zones.get(usize::from(s)).copied()).collect();
            // Directors of the same zone reach the node by the same network paths. From other zones reports
            // of two are required, as one zone may be partitioned.
            let ours = zones.get(usize::from(self.me)).is_some_and(|zone| of.contains(zone));
            let independent = against.len() >= wanted && (ours || of.len() >= kinds.len().min(2));
            if independent && against.len() > well.len() {
                left.insert(node, against);
            }
        }
        left
    }

    /// Returns the sources that report failures alone at more nodes than they share with other sources. Their
    /// own link, clock or counting is considered faulty.
    fn sick(&self, directors: usize, now: Instant) -> BTreeSet<u16> {
        let mut alone: BTreeMap<u16, (usize, usize)> = BTreeMap::new();
        for words in self.known.values() {
            let against = words
                .iter()
                .filter(|(_, known)| known.verdict != Verdict::Well && now - known.at < self.fade * 2.0);
            let against: Vec<u16> = against.map(|(&source, _)| source).collect();
            for &source in &against {
                let entry = alone.entry(source).or_default();
                if against.len() == 1 { entry.0 += 1 } else { entry.1 += 1 }
            }
        }
        let sick = |&(alone, shared): &(usize, usize)| directors > 2 && alone >= 3 && alone > shared;
        alone.iter().filter(|(_, counts)| sick(counts)).map(|(&source, _)| source).collect()
    }
}
