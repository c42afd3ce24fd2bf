//! Which box list a director goes by. A list replaces the one before whole or not at all: one that is older than
//! the one held, contradicts itself or names the same address twice changes nothing. What has been told as
//! draining or gone stays so until a *newer* list says otherwise. Free of I/O.

pub mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use ashglade::ids::NodeId;
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

/// One media node as a list tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    pub name: String,
    pub address: SocketAddr,
    /// Where it serves HLS, if it does.
    #[serde(rename = "http", default, skip_serializing_if = "Option::is_none")]
    pub http_address: Option<SocketAddr>,
    /// Tells the node where directors reach it by different addresses; its address does if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    #[serde(rename = "place")]
    pub info: NodeInfo,
    #[serde(rename = "standing")]
    pub state: NodeState,
}

impl NodeEntry {
    pub fn node_id(&self) -> NodeId {
        self.id.as_ref().map_or_else(|| node_id(&self.address), |id| hash(id))
    }
}

/// A media node's id: the same at every director and after a restart, as directors that take turns at a cold
/// node must agree on it. Keyed by nothing, so that it also is the same from one release to the next.
pub fn node_id(address: &SocketAddr) -> NodeId {
    hash(&address.to_string())
}

fn hash(text: &str) -> NodeId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(text.as_bytes());
    NodeId(hasher.finish())
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeList {
    /// Rises with each change of the list.
    pub generation: u64,
    pub entries: Vec<NodeEntry>,
}

/// Why a list was left out; the one held stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    #[error("generation {offered} is older than {held}, which is in force")]
    StaleGeneration { offered: u64, held: u64 },
    #[error("generation {generation} was told before with other entries")]
    ConflictingGeneration { generation: u64 },
    #[error("{first} and {second} have the same address, {address}")]
    DuplicateAddress { first: String, second: String, address: SocketAddr },
    #[error("two nodes are named {name}")]
    DuplicateName { name: String },
    #[error("the ids of {first} and {second} are the same")]
    DuplicateId { first: String, second: String },
    #[error("{name} has the weight {weight}; more than 0 and finite is wanted")]
    InvalidWeight { name: String, weight: String },
    #[error("the list names no node")]
    Empty,
}

/// What a list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub added: usize,
    pub restarted: usize,
    pub draining: usize,
    pub removed: usize,
}

#[derive(Debug, Default)]
pub struct Membership {
    held: Option<NodeList>,
    /// Every node ever named, with what was last told: connections to nodes that drain go on.
    nodes: BTreeMap<NodeId, NodeEntry>,
}

impl Membership {
    pub fn list(&self) -> Option<&NodeList> {
        self.held.as_ref()
    }

    pub fn entry(&self, node: NodeId) -> Option<&NodeEntry> {
        self.nodes.get(&node)
    }

    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &NodeEntry)> {
        self.nodes.iter()
    }

    /// Takes the list if it may be taken; `Ok(None)` where it is the one held.
    pub fn update(&mut self, list: NodeList) -> Result<Option<Changes>, ListError> {
        check(&list)?;
        if let Some(held) = &self.held {
            if list.generation < held.generation {
                return Err(ListError::StaleGeneration { offered: list.generation, held: held.generation });
            }
            if list.generation == held.generation {
                return if list == *held {
                    Ok(None)
                } else {
                    Err(ListError::ConflictingGeneration { generation: list.generation })
                };
            }
        }
        let mut changes = Changes::default();
        let mut left: BTreeSet<NodeId> =
            self.nodes.iter().filter(|(_, e)| e.state != NodeState::Gone).map(|(&node, _)| node).collect();
        for entry in &list.entries {
            let node = entry.node_id();
            left.remove(&node);
            let before = self.nodes.insert(node, entry.clone());
            let was = before.as_ref().map(|b| b.state);
            changes.added += usize::from(before.is_none());
            changes.draining +=
                usize::from(entry.state == NodeState::Draining && was != Some(NodeState::Draining));
            changes.removed += usize::from(entry.state == NodeState::Gone && was != Some(NodeState::Gone));
            changes.restarted += usize::from(before.is_some_and(|b| started(&b.info) < started(&entry.info)));
        }
        // What a whole list leaves out is gone.
        for node in left {
            if let Some(entry) = self.nodes.get_mut(&node) {
                entry.state = NodeState::Gone;
                changes.removed += 1;
            }
        }
        self.held = Some(list);
        Ok(Some(changes))
    }
}

fn started(place: &NodeInfo) -> Instant {
    place.started.unwrap_or(Instant::LONG_AGO)
}

fn check(list: &NodeList) -> Result<(), ListError> {
    if list.entries.is_empty() {
        return Err(ListError::Empty);
    }
    let (mut names, mut addresses, mut ids) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    for entry in &list.entries {
        let name = || entry.name.clone();
        if names.insert(&entry.name, ()).is_some() {
            return Err(ListError::DuplicateName { name: name() });
        }
        if let Some(first) = addresses.insert(entry.address, name()) {
            return Err(ListError::DuplicateAddress { first, second: name(), address: entry.address });
        }
        if let Some(first) = ids.insert(entry.node_id(), name()) {
            return Err(ListError::DuplicateId { first, second: name() });
        }
        let weight = entry.info.weight;
        if !(weight.is_finite() && weight > 0.0) {
            return Err(ListError::InvalidWeight { name: name(), weight: weight.to_string() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod watch_test;
