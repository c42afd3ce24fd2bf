//! Node discovery: which list of media nodes a director uses. A new list replaces the previous one as a whole
//! or is rejected as a whole: a list that is older than the current one, that contradicts it under the same
//! generation, or that is inconsistent in itself (as with one address twice) changes nothing. A node reported
//! as draining or gone stays so until a newer list says otherwise. The crate does no I/O.

pub mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use ashglade::ids::NodeId;
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use serde::{Deserialize, Serialize};

/// State of a media node as reported by a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Takes new sessions.
    Ready,
    /// Takes no new sessions and finishes those it has.
    Draining,
    /// Is no longer part of the fleet.
    Gone,
}

/// One media node in a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Name of the node, unique within its list.
    pub name: String,
    /// Address of the RTSP server.
    pub address: SocketAddr,
    /// Address of the HLS server, if the node has one.
    #[serde(rename = "http", default, skip_serializing_if = "Option::is_none")]
    pub http_address: Option<SocketAddr>,
    /// Identity of the node where directors reach it under different addresses; by default it is the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// Zone, model, cell, weight and start time.
    #[serde(rename = "place")]
    pub info: NodeInfo,
    /// Whether the node takes sessions.
    #[serde(rename = "standing")]
    pub state: NodeState,
}

impl NodeEntry {
    /// Returns the id that is derived from the entry's `id` or, without one, from its address.
    pub fn node_id(&self) -> NodeId {
        self.id.as_ref().map_or_else(|| node_id(&self.address), |id| hash(id))
    }
}

/// Returns the id of the node at an address. It is the same at all directors, which must agree on it when
/// they take turns at a cold node, and after a restart. The hash has no key, so that the id is also the same
/// in all releases.
pub fn node_id(address: &SocketAddr) -> NodeId {
    hash(&address.to_string())
}

fn hash(text: &str) -> NodeId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(text.as_bytes());
    NodeId(hasher.finish())
}

/// A complete list of media nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeList {
    /// Version of the list, which increases with each change.
    pub generation: u64,
    /// All nodes of the fleet; nodes without an entry are gone.
    pub entries: Vec<NodeEntry>,
}

/// Why a list was rejected. The current list remains in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list is older than the current one.
    #[error("generation {offered} is older than {current}, which is in force")]
    StaleGeneration { offered: u64, current: u64 },
    /// The list differs from the current one but has the same generation.
    #[error("generation {generation} was already received with other entries")]
    ConflictingGeneration { generation: u64 },
    /// Two entries have one address.
    #[error("{first} and {second} have the same address, {address}")]
    DuplicateAddress { first: String, second: String, address: SocketAddr },
    /// Two entries have one name.
    #[error("two nodes are named {name}")]
    DuplicateName { name: String },
    /// Two entries result in one node id.
    #[error("{first} and {second} have the same id")]
    DuplicateId { first: String, second: String },
    /// A weight is not finite or not positive.
    #[error("the weight of {name} is {weight}, but must be finite and greater than 0")]
    InvalidWeight { name: String, weight: String },
    /// The list has no entries.
    #[error("the list contains no nodes")]
    Empty,
}

/// Number of nodes that changed with a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChanges {
    /// Nodes that no earlier list contained.
    pub added: usize,
    /// Nodes with a later start time than before.
    pub restarted: usize,
    /// Nodes that are draining now and were not before.
    pub draining: usize,
    /// Nodes that are gone now and were not before.
    pub removed: usize,
}

/// The current list, and the last known state of every node that any list has contained.
#[derive(Debug, Default)]
pub struct Membership {
    current: Option<NodeList>,
    /// Includes nodes that are draining or gone, as connections to them are still in use.
    nodes: BTreeMap<NodeId, NodeEntry>,
}

impl Membership {
    /// Returns the current list; none before the first one was accepted.
    pub fn list(&self) -> Option<&NodeList> {
        self.current.as_ref()
    }

    /// Returns the last known entry of a node, which may be draining or gone.
    pub fn entry(&self, node: NodeId) -> Option<&NodeEntry> {
        self.nodes.get(&node)
    }

    /// Returns the last known entries of all nodes, including those that are draining or gone.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &NodeEntry)> {
        self.nodes.iter()
    }

    /// Replaces the current list and returns what changed, or `Ok(None)` if the list equals the current one.
    /// On an error the current list remains.
    pub fn update(&mut self, list: NodeList) -> Result<Option<MembershipChanges>, ListError> {
        validate(&list)?;
        if let Some(current) = &self.current {
            if list.generation < current.generation {
                return Err(ListError::StaleGeneration {
                    offered: list.generation,
                    current: current.generation,
                });
            }
            if list.generation == current.generation {
                return if list == *current {
                    Ok(None)
                } else {
                    Err(ListError::ConflictingGeneration { generation: list.generation })
                };
            }
        }
        let mut changes = MembershipChanges::default();
        let mut missing: BTreeSet<NodeId> =
            self.nodes.iter().filter(|(_, e)| e.state != NodeState::Gone).map(|(&node, _)| node).collect();
        for entry in &list.entries {
            let node = entry.node_id();
            missing.remove(&node);
            let previous = self.nodes.insert(node, entry.clone());
            let previous_state = previous.as_ref().map(|previous| previous.state);
            changes.added += usize::from(previous.is_none());
            changes.draining += usize::from(
                entry.state == NodeState::Draining && previous_state != Some(NodeState::Draining),
            );
            changes.removed +=
                usize::from(entry.state == NodeState::Gone && previous_state != Some(NodeState::Gone));
            changes.restarted += usize::from(
                previous.is_some_and(|previous| started_at(&previous.info) < started_at(&entry.info)),
            );
        }
        // Nodes that the list does not contain are gone.
        for node in missing {
            if let Some(entry) = self.nodes.get_mut(&node) {
                entry.state = NodeState::Gone;
                changes.removed += 1;
            }
        }
        self.current = Some(list);
        Ok(Some(changes))
    }
}

fn started_at(info: &NodeInfo) -> Instant {
    info.started.unwrap_or(Instant::LONG_AGO)
}

/// Checks that a list is consistent in itself.
fn validate(list: &NodeList) -> Result<(), ListError> {
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
mod sources_tests;
#[cfg(test)]
mod tests;
