//! One director's part: rights and judgements together, in words that are sent from one to one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::judgements::{Judgement, Judgements, Verdict};
use crate::rights::{self, Held, Rights};
use crate::spread::{self, Spread};
use crate::{Terms, draw};

/// What one director says to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    pub from: u16,
    pub to: u16,
    /// [`Terms::digest`] of the one that says it.
    pub terms: u64,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    Rights(rights::Message),
    Spread(spread::Message),
}

/// What is believed just now, and what may be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// By pool.
    pub held: Vec<Held>,
    /// Nodes that are tried last on others' word, with who speaks against each.
    pub left: BTreeMap<u64, Vec<u16>>,
    /// Directors heard of within a lease, ourselves among them.
    pub heard: BTreeSet<usize>,
}

#[derive(Clone, Debug)]
pub struct Member {
    terms: Terms,
    digest: u64,
    pub rights: Rights,
    known: Judgements,
    spread: Spread,
    heard: BTreeMap<usize, Instant>,
    /// When own SETUPs failed, within a lease: each may want a further one.
    failures: VecDeque<Instant>,
    /// Words of directors that were set up otherwise.
    pub other_terms: u64,
}

/// Failures that are remembered at most: no more rights than these are needed.
const MOST_FAILURES: usize = 1024;

impl Member {
    /// `process` is above that of the process before.
    pub fn start(terms: Terms, process: u64, now: Instant) -> Member {
        let first = process << 20;
        Member {
            digest: terms.digest(),
            rights: Rights::start(terms.clone(), draw(&[process, terms.seed]).max(1), now),
            known: Judgements::new(terms.me, terms.fade, first),
            spread: Spread::new(terms.me, terms.directors(), terms.gossip, terms.seed ^ process, now),
            heard: BTreeMap::new(),
            failures: VecDeque::new(),
            other_terms: 0,
            terms,
        }
    }

    /// An own SETUP ended at this node.
    pub fn saw(&mut self, node: u64, verdict: Verdict, now: Instant) {
        if verdict != Verdict::Well && self.failures.len() < MOST_FAILURES {
            self.failures.push_back(now);
        }
        if let Some(word) = self.known.saw(node, verdict, now) {
            self.spread.news(&word);
        }
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Word> {
        self.known.forget(now);
        while self.failures.front().is_some_and(|&at| now - at >= self.terms.lease) {
            self.failures.pop_front();
        }
        for (pool, terms) in self.terms.pools.iter().enumerate() {
            self.rights.need(pool, if terms.always { usize::MAX } else { self.failures.len() });
        }
        let rights = self.rights.tick(now).into_iter().map(|(to, message)| (to, Body::Rights(message)));
        let spread =
            self.spread.tick(&self.known, now).into_iter().map(|(to, message)| (to, Body::Spread(message)));
        let out: Vec<(usize, Body)> = rights.chain(spread).collect();
        self.say(out)
    }

    fn say(&self, out: Vec<(usize, Body)>) -> Vec<Word> {
        let (from, terms) = (self.terms.me as u16, self.digest);
        out.into_iter().map(|(to, body)| Word { from, to: to as u16, terms, body }).collect()
    }

    /// A word came from the address of the director that it names.
    pub fn take(&mut self, word: &Word, now: Instant) -> Vec<Word> {
        let from = usize::from(word.from);
        if usize::from(word.to) != self.terms.me || from >= self.terms.directors() || from == self.terms.me {
            return Vec::new();
        }
        if word.terms != self.digest {
            self.other_terms += 1;
            return Vec::new();
        }
        self.heard.insert(from, now);
        let out = match &word.body {
            Body::Rights(message) => {
                let answer = self.rights.take(from, message, now);
                answer.into_iter().map(|(to, message)| (to, Body::Rights(message))).collect()
            }
            Body::Spread(message) => {
                let answers = self.spread.take(from, message, &mut self.known, now);
                answers.into_iter().map(|(to, message)| (to, Body::Spread(message))).collect()
            }
        };
        self.say(out)
    }

    /// What may be used until `early` from now at the least, and what is believed.
    pub fn view(&self, now: Instant, early: Span) -> View {
        let held = (0..self.terms.pools.len()).map(|pool| self.rights.held(pool, now + early)).collect();
        let there = |at: &Instant| now - *at < self.terms.lease;
        let mut heard: BTreeSet<usize> =
            self.heard.iter().filter(|(_, at)| there(at)).map(|(&director, _)| director).collect();
        heard.insert(self.terms.me);
        View { held, left: self.known.left(&self.terms.zones, now), heard }
    }

    /// All that is held of media nodes, for who wants to look.
    pub fn words(&self, now: Instant) -> impl Iterator<Item = Judgement> {
        self.known.words(now)
    }
}
