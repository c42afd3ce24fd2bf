//! Where lists come from: files that others write, more than one perhaps, which change at any moment, vanish, are cut short,
//! or are wrong. [`SourceMerger`] is told what was read and says what is in force; it does no reading itself.
//!
//! - What is read is taken whole or not at all, and an older generation of a source never replaces a newer.
//! - Several sources are one list: a node's place is that of the first source that names it, and its standing the worst that
//!   any of them tells. So a drain told anywhere holds until that same source takes it back in a newer list.
//! - A list that *leaves out* many nodes at once that another moment ago were ready is held back, and said loudly. It is taken
//!   when it is still the same after a while, or when its writer confirms the number. What it says of nodes by name is in
//!   force all the same: a drain that was told is kept (rule 3), from the first word on.
//!
//! Compared for the last: refusing such a list until somebody acts (the fleet may really have gone, and every SETUP to it is
//! then lost, at night); letting nodes go a few at a time (the same, slower, and a bad list does its harm all the same); and
//! this. Envoy's panic threshold and Consul's anti-flap share the idea that a view in which most have vanished tells more of
//! the view than of the fleet.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ashglade::time::{Instant, Span};

use crate::{ListError, NodeEntry, NodeList, NodeState, check};

/// Which source, by its place in the settings: the first goes before the others.
pub type SourceIndex = usize;

/// What was found at a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceRead {
    List {
        list: NodeList,
        /// How many nodes its writer says that it leaves out on purpose.
        leaves_out: Option<usize>,
    },
    /// It is not there, can't be read, or is no list.
    Unreadable { reason: String },
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceEvent {
    /// This is in force from now on.
    InForce(NodeList),
    /// A source's list was left out, and why.
    Rejected { source: SourceIndex, reason: String },
    /// A source leaves out so many of so many that are ready; until when, if it stays so.
    HeldBack { source: SourceIndex, left_out: usize, ready: usize, until: Instant },
    /// What was held back is taken.
    Accepted { source: SourceIndex, left_out: usize },
    /// A source that had a list has none; the list it had stays in force.
    Unavailable { source: SourceIndex, reason: String },
    /// It has one again.
    Available { source: SourceIndex },
}

#[derive(Debug, Default)]
struct Held {
    /// As last taken, whole.
    list: Option<NodeList>,
    /// Newer, and held back.
    back: Option<Back>,
    vanished: bool,
    /// What was refused last: a wrong list is told once, not at each look.
    refused: Option<u64>,
}

#[derive(Debug)]
struct Back {
    list: NodeList,
    left_out: usize,
    until: Instant,
}

#[derive(Debug)]
pub struct SourceMerger {
    sources: Vec<Held>,
    /// For so long a list that leaves out many must stay as it is.
    hold: Span,
    /// What is in force, and its own generation.
    in_force: Option<NodeList>,
    generation: u64,
}

/// A list may leave out this part of the ready nodes at once, and one node in any case.
const LEFT_OUT: f64 = 0.25;

impl SourceMerger {
    pub fn new(sources: usize, hold: Span) -> SourceMerger {
        let sources = (0..sources).map(|_| Held::default()).collect();
        SourceMerger { sources, hold, in_force: None, generation: 0 }
    }

    /// Begins with what was in force when the director before this one ended: it holds until sources tell otherwise.
    /// Generations go on from there.
    pub fn resume(&mut self, list: NodeList) -> Result<(), ListError> {
        check(&list)?;
        self.generation = list.generation;
        if let Some(first) = self.sources.first_mut() {
            // Of the lowest generation, so that whatever the source has now is newer.
            first.list = Some(NodeList { generation: 0, entries: list.entries.clone() });
        }
        self.in_force = Some(list);
        Ok(())
    }

    pub fn current(&self) -> Option<&NodeList> {
        self.in_force.as_ref()
    }

    /// Something was read; what is new by it.
    pub fn update(&mut self, source: SourceIndex, found: SourceRead, now: Instant) -> Vec<SourceEvent> {
        let mut news = Vec::new();
        if source >= self.sources.len() {
            return news;
        }
        match found {
            SourceRead::Unreadable { reason: why } => {
                let held = &mut self.sources[source];
                if held.list.is_some() && !std::mem::replace(&mut held.vanished, true) {
                    news.push(SourceEvent::Unavailable { source, reason: why });
                } else if held.list.is_none() && held.refused != Some(hash(&why)) {
                    held.refused = Some(hash(&why));
                    news.push(SourceEvent::Rejected { source, reason: why });
                }
            }
            SourceRead::List { list, leaves_out } => {
                if std::mem::take(&mut self.sources[source].vanished) {
                    news.push(SourceEvent::Available { source });
                }
                self.offered(source, list, leaves_out, now, &mut news);
            }
        }
        self.merge(&mut news);
        news
    }

    /// When something is due if nothing is read before.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.sources.iter().filter_map(|held| Some(held.back.as_ref()?.until)).min()
    }

    /// What was held back long enough and is still what its source says is taken.
    pub fn poll(&mut self, now: Instant) -> Vec<SourceEvent> {
        let mut news = Vec::new();
        for (source, held) in self.sources.iter_mut().enumerate() {
            // A source that has vanished meanwhile confirms nothing.
            if !held.vanished
                && let Some(back) = held.back.take_if(|back| back.until <= now)
            {
                news.push(SourceEvent::Accepted { source, left_out: back.left_out });
                held.list = Some(back.list);
            }
        }
        self.merge(&mut news);
        news
    }

    fn offered(
        &mut self,
        source: SourceIndex,
        list: NodeList,
        leaves_out: Option<usize>,
        now: Instant,
        news: &mut Vec<SourceEvent>,
    ) {
        let ready = self.ready_of(source);
        let held = &mut self.sources[source];
        if let Err(why) = admissible(held, &list) {
            let mark = hash(&why);
            if held.refused.replace(mark) != Some(mark) {
                news.push(SourceEvent::Rejected { source, reason: why });
            }
            return;
        }
        held.refused = None;
        if held.list.as_ref() == Some(&list) || held.back.as_ref().is_some_and(|back| back.list == list) {
            return;
        }
        let named: std::collections::BTreeSet<_> = list.entries.iter().map(NodeEntry::node_id).collect();
        let left_out = ready.iter().filter(|node| !named.contains(node)).count();
        let may = ((ready.len() as f64 * LEFT_OUT) as usize).max(1);
        if left_out > may && leaves_out != Some(left_out) {
            // A newer list begins a wait of its own.
            let until = now + self.hold;
            held.back = Some(Back { list, left_out, until });
            news.push(SourceEvent::HeldBack { source, left_out, ready: ready.len(), until });
            return;
        }
        held.back = None;
        if left_out > may {
            news.push(SourceEvent::Accepted { source, left_out });
        }
        held.list = Some(list);
    }

    /// Nodes that this source has as ready.
    fn ready_of(&self, source: SourceIndex) -> Vec<ashglade::ids::NodeId> {
        let entries = self.sources[source].list.iter().flat_map(|list| &list.entries);
        entries.filter(|entry| entry.state == NodeState::Ready).map(NodeEntry::node_id).collect()
    }

    /// Makes one list of what all sources say, and tells it if it is another than the one in force.
    fn merge(&mut self, news: &mut Vec<SourceEvent>) {
        let mut merged: Vec<NodeEntry> = Vec::new();
        let mut places = BTreeMap::new();
        for held in &self.sources {
            let whole = held.list.iter().flat_map(|list| &list.entries);
            for entry in whole {
                match places.get(&entry.node_id()) {
                    None => {
                        places.insert(entry.node_id(), merged.len());
                        merged.push(entry.clone());
                    }
                    Some(&at) => {
                        let first: &mut NodeEntry = &mut merged[at];
                        first.state = worse(first.state, entry.state);
                    }
                }
            }
        }
        // By name, a list that is held back counts: what it tells as leaving, leaves.
        for back in self.sources.iter().filter_map(|held| held.back.as_ref()) {
            for entry in back.list.entries.iter().filter(|entry| entry.state != NodeState::Ready) {
                if let Some(&at) = places.get(&entry.node_id()) {
                    merged[at].state = worse(merged[at].state, entry.state);
                }
            }
        }
        if merged.is_empty() || self.in_force.as_ref().is_some_and(|list| list.entries == merged) {
            return;
        }
        let list = NodeList { generation: self.generation + 1, entries: merged };
        // Two sources may each be well and contradict each other, as by one address under two names.
        match check(&list) {
            Ok(()) => {
                self.generation = list.generation;
                self.in_force = Some(list.clone());
                news.push(SourceEvent::InForce(list));
            }
            Err(refusal) => {
                let (source, why) =
                    (self.sources.len() - 1, format!("sources contradict each other: {refusal}"));
                let mark = hash(&why);
                let last = &mut self.sources[source];
                if last.refused.replace(mark) != Some(mark) {
                    news.push(SourceEvent::Rejected { source, reason: why });
                }
            }
        }
    }
}

/// Whether a list may follow what its source had.
fn admissible(held: &Held, list: &NodeList) -> Result<(), String> {
    check(list).map_err(|refusal| refusal.to_string())?;
    let newest = held.back.as_ref().map(|back| &back.list).or(held.list.as_ref());
    match newest {
        Some(before) if list.generation < before.generation => {
            Err(ListError::StaleGeneration { offered: list.generation, held: before.generation }.to_string())
        }
        Some(before) if list.generation == before.generation && list != before => {
            Err(ListError::ConflictingGeneration { generation: list.generation }.to_string())
        }
        _ => Ok(()),
    }
}

fn worse(one: NodeState, other: NodeState) -> NodeState {
    let rank = |standing| match standing {
        NodeState::Ready => 0,
        NodeState::Draining => 1,
        NodeState::Gone => 2,
    };
    if rank(other) > rank(one) { other } else { one }
}

fn hash(text: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The checksum that a list's text may carry, of everything but the line that carries it: a list cut off between two boxes
/// reads well and is half. CRC-32 (ISO-HDLC), as eight hexadecimal digits.
pub fn checksum(text: &str) -> String {
    let mut hasher = crc32fast::Hasher::new();
    for line in text.split_inclusive('\n').filter(|line| !line.trim_start().starts_with("checksum:")) {
        hasher.update(line.as_bytes());
    }
    format!("{:08x}", hasher.finalize())
}
