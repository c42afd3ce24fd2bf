//! The shared state of one director: permits, health reports and gossip, driven by messages between peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::judgements::{Judgement, Judgements, Verdict};
use crate::rights::{self, Held, Rights};
use crate::spread::{self, Spread};
use crate::{Terms, draw};

/// A message from one director to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// Index of the sending director.
    pub from: u16,
    /// Index of the receiving director.
    pub to: u16,
    /// [`FleetConfig::digest`] of the sender.
    pub terms: u64,
    pub body: Body,
}

/// Content of a message between directors.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    Rights(rights::Message),
    Spread(spread::Message),
}

/// What a director may use and what it knows at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Permits that may be used, by pool.
    pub held: Vec<Held>,
    /// Nodes to be tried last because of others' reports, each with the sources of these reports.
    pub left: BTreeMap<u64, Vec<u16>>,
    /// Directors from which a message arrived within the duration of a lease, and this director itself.
    pub heard: BTreeSet<usize>,
}

/// The shared state as one director has it. The caller delivers messages, sends those returned, and passes
/// the time.
#[derive(Clone, Debug)]
pub struct Member {
    terms: Terms,
    digest: u64,
    pub rights: Rights,
    known: Judgements,
    spread: Spread,
    heard: BTreeMap<usize, Instant>,
    /// Times of own failed SETUPs within the duration of a lease; each may need a permit for a further
    /// attempt.
    failures: VecDeque<Instant>,
    /// Number of messages ignored because their sender has another configuration.
    pub other_terms: u64,
}

/// Maximum number of failures kept, which also limits the number of permits requested for them.
const MOST_FAILURES: usize = 1024;

impl Member {
    /// Starts a director's state. `process` must exceed that of every previous process of this director.
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

    /// Records the outcome of an own SETUP at this node.
    pub fn saw(&mut self, node: u64, verdict: Verdict, now: Instant) {
        if verdict != Verdict::Well && self.failures.len() < MOST_FAILURES {
            self.failures.push_back(now);
        }
        if let Some(word) = self.known.saw(node, verdict, now) {
            self.spread.news(&word);
        }
    }

    /// Runs all periodic work that is due. Returns the messages to send.
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

    /// Processes a message, whose sender the caller has authenticated. Returns the replies.
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

    /// Returns the permits that may be used from now for at least `margin`, and what is known of nodes and
    /// peers.
    pub fn view(&self, now: Instant, early: Span) -> View {
        let held = (0..self.terms.pools.len()).map(|pool| self.rights.held(pool, now + early)).collect();
        let there = |at: &Instant| now - *at < self.terms.lease;
        let mut heard: BTreeSet<usize> =
            self.heard.iter().filter(|(_, at)| there(at)).map(|(&director, _)| director).collect();
        heard.insert(self.terms.me);
        View { held, left: self.known.left(&self.terms.zones, now), heard }
    }

    /// Returns all stored health reports, with their ages at `now`.
    pub fn words(&self, now: Instant) -> impl Iterator<Item = Judgement> {
        self.known.words(now)
    }
}
