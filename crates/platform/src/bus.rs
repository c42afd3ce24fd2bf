//! Numbered events of the event bus, parsed into discovery updates for the engine.

use std::hash::Hasher;
use std::net::SocketAddr;

use ashglade::ids::{CellId, ModelId, NodeId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use ashglade_site::{NameTables, name_index};
use serde::{Deserialize, Deserializer};
use tracing::warn;

/// Returns the id of a media node: a hash of its name. It is the same at every director and after restarts,
/// and a node that takes over the address of another has an id of its own.
pub fn node_id(name: &str) -> NodeId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    NodeId(hasher.finish())
}

/// Reply to a read of the event bus. The configuration holds one too, with the nodes known at start.
#[derive(Clone, Debug, Deserialize)]
pub struct Batch {
    /// Events in the order of their offsets.
    #[serde(default, rename = "batch")]
    pub events: Vec<BusEvent>,
}

/// One event of the bus.
#[derive(Clone, Debug, Deserialize)]
pub struct BusEvent {
    /// Number of the event; consecutive events have consecutive numbers.
    pub offset: u64,
    /// Absent in events about something other than media nodes.
    #[serde(default)]
    topology: Option<Topology>,
}

#[derive(Clone, Debug, Deserialize)]
struct Topology {
    /// The event lists all nodes, not only those that changed.
    #[serde(default)]
    snapshot: bool,
    #[serde(default, deserialize_with = "valid_endpoints")]
    endpoints: Vec<Endpoint>,
}

/// Deserializes the valid elements of a list. An invalid one is logged with its index and field and skipped,
/// so that the other nodes are still learned.
fn valid_endpoints<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Endpoint>, D::Error> {
    let values = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let parse = |(at, value): (usize, serde_json::Value)| {
        let name = value.get("name").map(ToString::to_string);
        serde_path_to_error::deserialize::<_, Endpoint>(value)
            .inspect_err(|error| warn!(at, name, field = %error.path(), error = %error.inner(), "skipped an invalid endpoint of the node list"))
            .ok()
    };
    Ok(values.into_iter().enumerate().filter_map(parse).collect())
}

/// A media node in an event.
#[derive(Clone, Debug, Deserialize)]
struct Endpoint {
    name: String,
    #[serde(default)]
    address: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    model: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default)]
    weight: f64,
    /// When the node's process started, in milliseconds; 0 if not reported.
    #[serde(default)]
    since_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Up,
    Draining,
    Removed,
}

/// What an event reports of one media node.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Name of the node.
    pub name: String,
    /// Id derived from the name.
    pub node: NodeId,
    /// Address on which the node accepts connections, if reported.
    pub address: Option<SocketAddr>,
    /// Location, model, weight and start time.
    pub info: NodeInfo,
    /// The node is up and has an address: it accepts new sessions.
    pub ready: bool,
    /// The node has been removed from the fleet.
    pub removed: bool,
}

/// What one event reports of the media nodes.
#[derive(Clone, Debug)]
pub struct DiscoveryUpdate {
    /// The update lists all nodes; nodes that it does not name are gone.
    pub snapshot: bool,
    /// Nodes that changed, or all of them.
    pub nodes: Vec<EndpointUpdate>,
}

impl Batch {
    /// Returns the events that follow the one numbered `last_offset`. After a gap only a snapshot is taken,
    /// and what follows it.
    pub fn events_after(self, mut last_offset: u64) -> Vec<BusEvent> {
        let mut following = Vec::new();
        for event in self.events {
            let snapshot = event.topology.as_ref().is_some_and(|topology| topology.snapshot);
            if event.offset == last_offset + 1 || (snapshot && event.offset > last_offset) {
                last_offset = event.offset;
                following.push(event);
            }
        }
        following
    }
}

impl BusEvent {
    /// Converts the event. Names of zones and models become their positions in the settings' lists, `names`.
    pub fn into_discovery_update(self, names: &NameTables) -> DiscoveryUpdate {
        let topology = self.topology.unwrap_or(Topology { snapshot: false, endpoints: Vec::new() });
        // A zone or model that the settings don't name gets an id that differs from all of theirs.
        let id = |names: &[String], name: &str| name_index(names, name).map_or(u8::MAX, |index| index as u8);
        let endpoint_update = |e: Endpoint| EndpointUpdate {
            node: node_id(&e.name),
            address: e.address,
            info: NodeInfo {
                zone: ZoneId(id(&names.zones, &e.zone)),
                model: ModelId(id(&names.models, &e.model)),
                cell: CellId(e.group),
                weight: e.weight,
                started: (e.since_ms > 0.0).then(|| Instant::from_ms(e.since_ms)),
            },
            ready: e.status == Status::Up && e.address.is_some(),
            removed: e.status == Status::Removed,
            name: e.name,
        };
        DiscoveryUpdate {
            snapshot: topology.snapshot,
            nodes: topology.endpoints.into_iter().map(endpoint_update).collect(),
        }
    }
}
