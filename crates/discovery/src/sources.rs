//! Merges the node lists of several sources. Sources are files that other programs write: they may change at
//! any time, disappear, be truncated or be wrong. [`SourceMerger`] is given what was read and determines the
//! list in force; it reads nothing itself.
//!
//! - What is read is accepted as a whole or not at all, and an older generation of a source never replaces a
//!   newer one.
//! - All sources form one list. A node's data is that of the first source that contains it, and its state is
//!   the worst that any source reports. A drain reported by any source therefore holds until the same source
//!   revokes it in a newer list.
//! - A list that *leaves out* many nodes at once that were ready before is held back with a warning. It is
//!   accepted if it stays the same for a while, or if its writer confirms the number of nodes. Nodes that it
//!   reports by name as draining or gone are so at once, as a reported drain must always be honoured (rule
//!   3).
//!
//! Two alternatives were rejected. To refuse such a list until an operator acts loses every SETUP to the
//! missing nodes if they are really gone, at night for hours. To remove a few nodes at a time is slower, and
//! a wrong list does the same damage in the end. Envoy's panic threshold and Consul's anti-flapping are based
//! on the same assumption: a view in which most nodes have vanished says more about the view than about the
//! fleet.

use std::collections::BTreeMap;
use std::hash::Hasher;

use ashglade::time::{Instant, Span};

use crate::{ListError, NodeEntry, NodeList, NodeState, validate};

/// Index of a source in the settings. Earlier sources take precedence over later ones.
pub type SourceIndex = usize;

/// What was read from a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceRead {
    /// A complete list.
    List {
        list: NodeList,
        /// Number of nodes that the writer confirms to have left out.
        leaves_out: Option<usize>,
    },
    /// The source does not exist, cannot be read, or is not a valid list.
    Unreadable { reason: String },
}

/// A change that results from reading the sources.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceEvent {
    /// The list that is in force from now on.
    InForce(NodeList),
    /// A list of a source was rejected.
    Rejected { source: SourceIndex, reason: String },
    /// A list leaves out `left_out` of the source's `ready` nodes. It is accepted at `until` if it does not
    /// change before.
    HeldBack { source: SourceIndex, left_out: usize, ready: usize, until: Instant },
    /// A list that leaves out many nodes was accepted, by confirmation or after having been held back.
    Accepted { source: SourceIndex, left_out: usize },
    /// A source that had a list cannot be read any more. Its last list remains in force.
    Unavailable { source: SourceIndex, reason: String },
    /// The source can be read again.
    Available { source: SourceIndex },
}

#[derive(Debug, Default)]
struct SourceState {
    /// The list accepted last.
    list: Option<NodeList>,
    /// A newer list that is held back.
    pending: Option<PendingList>,
    /// The source could not be read the last time.
    unavailable: bool,
    /// Hash of the last reason for a rejection, so that the same fault is reported only once.
    last_rejection: Option<u64>,
}

/// A list that is held back because it leaves out many nodes.
#[derive(Debug)]
struct PendingList {
    list: NodeList,
    /// Number of ready nodes that the list leaves out.
    left_out: usize,
    /// When the list is accepted.
    until: Instant,
}

/// Determines the list in force from what was read from the sources.
#[derive(Debug)]
pub struct SourceMerger {
    sources: Vec<SourceState>,
    /// Time for which a list that leaves out many nodes has to stay the same before it is accepted.
    hold_time: Span,
    /// The list in force.
    current: Option<NodeList>,
    /// Generation of the list in force, which is independent of the generations of the sources.
    generation: u64,
}

/// Fraction of a source's ready nodes that a list may leave out at once; it may always leave out one.
const MAX_LEFT_OUT_FRACTION: f64 = 0.25;

impl SourceMerger {
    /// Creates a merger for a number of sources, without a list.
    pub fn new(sources: usize, hold_time: Span) -> SourceMerger {
        let sources = (0..sources).map(|_| SourceState::default()).collect();
        SourceMerger { sources, hold_time, current: None, generation: 0 }
    }

    /// Starts with the list that was in force when the previous director process ended. It holds until the
    /// sources replace it, and generations continue from its own.
    pub fn resume(&mut self, list: NodeList) -> Result<(), ListError> {
        validate(&list)?;
        self.generation = list.generation;
        if let Some(first) = self.sources.first_mut() {
            // With the lowest generation, so that any list of the source is newer.
            first.list = Some(NodeList { generation: 0, entries: list.entries.clone() });
        }
        self.current = Some(list);
        Ok(())
    }

    /// Returns the list in force.
    pub fn current(&self) -> Option<&NodeList> {
        self.current.as_ref()
    }

    /// Takes what was read from a source and returns the resulting changes.
    pub fn update(&mut self, source: SourceIndex, read: SourceRead, now: Instant) -> Vec<SourceEvent> {
        let mut events = Vec::new();
        if source >= self.sources.len() {
            return events;
        }
        match read {
            SourceRead::Unreadable { reason } => {
                let state = &mut self.sources[source];
                if state.list.is_some() && !std::mem::replace(&mut state.unavailable, true) {
                    events.push(SourceEvent::Unavailable { source, reason });
                } else if state.list.is_none() && state.last_rejection != Some(hash(&reason)) {
                    state.last_rejection = Some(hash(&reason));
                    events.push(SourceEvent::Rejected { source, reason });
                }
            }
            SourceRead::List { list, leaves_out } => {
                if std::mem::take(&mut self.sources[source].unavailable) {
                    events.push(SourceEvent::Available { source });
                }
                self.take_list(source, list, leaves_out, now, &mut events);
            }
        }
        self.merge(&mut events);
        events
    }

    /// Returns when to call [`SourceMerger::poll`] if nothing is read before.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.sources.iter().filter_map(|state| Some(state.pending.as_ref()?.until)).min()
    }

    /// Accepts the lists that were held back long enough, and returns the resulting changes.
    pub fn poll(&mut self, now: Instant) -> Vec<SourceEvent> {
        let mut events = Vec::new();
        for (source, state) in self.sources.iter_mut().enumerate() {
            // A source that cannot be read at the moment does not confirm its list.
            if !state.unavailable
                && let Some(pending) = state.pending.take_if(|pending| pending.until <= now)
            {
                events.push(SourceEvent::Accepted { source, left_out: pending.left_out });
                state.list = Some(pending.list);
            }
        }
        self.merge(&mut events);
        events
    }

    /// Accepts, holds back or rejects a list of a source.
    fn take_list(
        &mut self,
        source: SourceIndex,
        list: NodeList,
        leaves_out: Option<usize>,
        now: Instant,
        events: &mut Vec<SourceEvent>,
    ) {
        let ready = self.ready_nodes(source);
        let state = &mut self.sources[source];
        if let Err(reason) = check_successor(state, &list) {
            let reason_hash = hash(&reason);
            if state.last_rejection.replace(reason_hash) != Some(reason_hash) {
                events.push(SourceEvent::Rejected { source, reason });
            }
            return;
        }
        state.last_rejection = None;
        if state.list.as_ref() == Some(&list)
            || state.pending.as_ref().is_some_and(|pending| pending.list == list)
        {
            return;
        }
        let listed: std::collections::BTreeSet<_> = list.entries.iter().map(NodeEntry::node_id).collect();
        let left_out = ready.iter().filter(|node| !listed.contains(node)).count();
        let max_left_out = ((ready.len() as f64 * MAX_LEFT_OUT_FRACTION) as usize).max(1);
        if left_out > max_left_out && leaves_out != Some(left_out) {
            // Each newer list starts the hold time anew.
            let until = now + self.hold_time;
            state.pending = Some(PendingList { list, left_out, until });
            events.push(SourceEvent::HeldBack { source, left_out, ready: ready.len(), until });
            return;
        }
        state.pending = None;
        if left_out > max_left_out {
            events.push(SourceEvent::Accepted { source, left_out });
        }
        state.list = Some(list);
    }

    /// Returns the nodes that are ready in a source's accepted list.
    fn ready_nodes(&self, source: SourceIndex) -> Vec<ashglade::ids::NodeId> {
        let entries = self.sources[source].list.iter().flat_map(|list| &list.entries);
        entries.filter(|entry| entry.state == NodeState::Ready).map(NodeEntry::node_id).collect()
    }

    /// Merges the lists of all sources, and reports the result if it differs from the list in force.
    fn merge(&mut self, events: &mut Vec<SourceEvent>) {
        let mut merged: Vec<NodeEntry> = Vec::new();
        let mut index_by_node = BTreeMap::new();
        for state in &self.sources {
            let entries = state.list.iter().flat_map(|list| &list.entries);
            for entry in entries {
                match index_by_node.get(&entry.node_id()) {
                    None => {
                        index_by_node.insert(entry.node_id(), merged.len());
                        merged.push(entry.clone());
                    }
                    Some(&index) => {
                        let first: &mut NodeEntry = &mut merged[index];
                        first.state = worse(first.state, entry.state);
                    }
                }
            }
        }
        // A list that is held back applies to the nodes that it reports as draining or gone.
        for pending in self.sources.iter().filter_map(|state| state.pending.as_ref()) {
            for entry in pending.list.entries.iter().filter(|entry| entry.state != NodeState::Ready) {
                if let Some(&index) = index_by_node.get(&entry.node_id()) {
                    merged[index].state = worse(merged[index].state, entry.state);
                }
            }
        }
        if merged.is_empty() || self.current.as_ref().is_some_and(|list| list.entries == merged) {
            return;
        }
        let list = NodeList { generation: self.generation + 1, entries: merged };
        // Sources that are each consistent may still contradict each other, as by one address under two
        // names.
        match validate(&list) {
            Ok(()) => {
                self.generation = list.generation;
                self.current = Some(list.clone());
                events.push(SourceEvent::InForce(list));
            }
            Err(error) => {
                let (source, reason) =
                    (self.sources.len() - 1, format!("sources contradict each other: {error}"));
                let reason_hash = hash(&reason);
                let last = &mut self.sources[source];
                if last.last_rejection.replace(reason_hash) != Some(reason_hash) {
                    events.push(SourceEvent::Rejected { source, reason });
                }
            }
        }
    }
}

/// Checks that a list is valid and may follow the newest list of its source; the error is the reason to
/// reject it.
fn check_successor(state: &SourceState, list: &NodeList) -> Result<(), String> {
    validate(list).map_err(|error| error.to_string())?;
    let newest = state.pending.as_ref().map(|pending| &pending.list).or(state.list.as_ref());
    match newest {
        Some(newest) if list.generation < newest.generation => {
            Err(ListError::StaleGeneration { offered: list.generation, current: newest.generation }
                .to_string())
        }
        Some(newest) if list.generation == newest.generation && list != newest => {
            Err(ListError::ConflictingGeneration { generation: list.generation }.to_string())
        }
        _ => Ok(()),
    }
}

/// Returns the worse of two states: gone is worse than draining, and draining is worse than ready.
fn worse(one: NodeState, other: NodeState) -> NodeState {
    let rank = |state| match state {
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

/// Returns the checksum that a list file may carry, over all lines but the one that carries it. It detects a
/// file that was truncated between two entries, which is still valid syntax. CRC-32 (ISO-HDLC), as eight
/// hexadecimal digits.
pub fn checksum(text: &str) -> String {
    let mut hasher = crc32fast::Hasher::new();
    for line in text.split_inclusive('\n').filter(|line| !line.trim_start().starts_with("checksum:")) {
        hasher.update(line.as_bytes());
    }
    format!("{:08x}", hasher.finalize())
}
