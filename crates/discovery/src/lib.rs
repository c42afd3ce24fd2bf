//! Which box list a director goes by. A list replaces the one before whole or not at all: one that is older than
//! the one held, contradicts itself or names the same address twice changes nothing. What has been told as
//! draining or gone stays so until a *newer* list says otherwise. Free of I/O.

pub mod watch;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use ashglade::ids::NodeId;
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One media node as a list tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    /// Where it serves HLS, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Tells the node where directors reach it by different addresses; its address does if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    pub place: NodeInfo,
    pub standing: Standing,
}

impl Entry {
    pub fn node(&self) -> NodeId {
        self.id.as_ref().map_or_else(|| id_of(&self.address), |id| hash(id))
    }
}

/// A media node's id: the same at every director and after a restart, as directors that take turns at a cold
/// node must agree on it. Keyed by nothing, so that it also is the same from one release to the next.
pub fn id_of(address: &SocketAddr) -> NodeId {
    hash(&address.to_string())
}

fn hash(text: &str) -> NodeId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(text.as_bytes());
    NodeId(hasher.finish())
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Rises with each change of the list.
    pub generation: u64,
    pub entries: Vec<Entry>,
}

/// Why a list was left out; the one held stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("generation {offered} is older than {held}, which is in force")]
    Older { offered: u64, held: u64 },
    #[error("generation {generation} was told before with other entries")]
    Contradicts { generation: u64 },
    #[error("{first} and {second} have the same address, {address}")]
    SameAddress { first: String, second: String, address: SocketAddr },
    #[error("two nodes are named {name}")]
    SameName { name: String },
    #[error("the ids of {first} and {second} are the same")]
    SameId { first: String, second: String },
    #[error("{name} has the weight {weight}; more than 0 and finite is wanted")]
    Weight { name: String, weight: String },
    #[error("the list names no node")]
    Empty,
}

/// What a list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub new: usize,
    pub started_again: usize,
    pub draining: usize,
    pub gone: usize,
}

#[derive(Debug, Default)]
pub struct Roster {
    held: Option<List>,
    /// Every node ever named, with what was last told: connections to nodes that drain go on.
    nodes: BTreeMap<NodeId, Entry>,
}

impl Roster {
    pub fn list(&self) -> Option<&List> {
        self.held.as_ref()
    }

    pub fn entry(&self, node: NodeId) -> Option<&Entry> {
        self.nodes.get(&node)
    }

    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &Entry)> {
        self.nodes.iter()
    }

    /// Takes the list if it may be taken; `Ok(None)` where it is the one held.
    pub fn offer(&mut self, list: List) -> Result<Option<Changes>, Refusal> {
        check(&list)?;
        if let Some(held) = &self.held {
            if list.generation < held.generation {
                return Err(Refusal::Older { offered: list.generation, held: held.generation });
            }
            if list.generation == held.generation {
                return if list == *held {
                    Ok(None)
                } else {
                    Err(Refusal::Contradicts { generation: list.generation })
                };
            }
        }
        let mut changes = Changes::default();
        let mut left: BTreeSet<NodeId> =
            self.nodes.iter().filter(|(_, e)| e.standing != Standing::Gone).map(|(&node, _)| node).collect();
        for entry in &list.entries {
            let node = entry.node();
            left.remove(&node);
            let before = self.nodes.insert(node, entry.clone());
            let was = before.as_ref().map(|b| b.standing);
            changes.new += usize::from(before.is_none());
            changes.draining +=
                usize::from(entry.standing == Standing::Draining && was != Some(Standing::Draining));
            changes.gone += usize::from(entry.standing == Standing::Gone && was != Some(Standing::Gone));
            changes.started_again +=
                usize::from(before.is_some_and(|b| started(&b.place) < started(&entry.place)));
        }
        // What a whole list leaves out is gone.
        for node in left {
            if let Some(entry) = self.nodes.get_mut(&node) {
                entry.standing = Standing::Gone;
                changes.gone += 1;
            }
        }
        self.held = Some(list);
        Ok(Some(changes))
    }
}

fn started(place: &NodeInfo) -> Instant {
    place.started.unwrap_or(Instant::LONG_AGO)
}

fn check(list: &List) -> Result<(), Refusal> {
    if list.entries.is_empty() {
        return Err(Refusal::Empty);
    }
    let (mut names, mut addresses, mut ids) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    for entry in &list.entries {
        let name = || entry.name.clone();
        if names.insert(&entry.name, ()).is_some() {
            return Err(Refusal::SameName { name: name() });
        }
        if let Some(first) = addresses.insert(entry.address, name()) {
            return Err(Refusal::SameAddress { first, second: name(), address: entry.address });
        }
        if let Some(first) = ids.insert(entry.node(), name()) {
            return Err(Refusal::SameId { first, second: name() });
        }
        let weight = entry.place.weight;
        if !(weight.is_finite() && weight > 0.0) {
            return Err(Refusal::Weight { name: name(), weight: weight.to_string() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod watch_test;
