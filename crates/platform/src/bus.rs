//! Numbered events of the event bus, read into what the engine is told of nodes.

use std::hash::Hasher;
use std::net::SocketAddr;

use ashglade::ids::{CellId, ModelId, NodeId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use ashglade_site::{NameTables, name_index};
use serde::{Deserialize, Deserializer};
use tracing::warn;

/// A media node's id: from its name, so that it is the same at every director and after restarts, while one that
/// takes the address of another is another node.
pub fn id_of(name: &str) -> NodeId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    NodeId(hasher.finish())
}

/// What a read of the bus returns, and what the configuration keeps of it.
#[derive(Clone, Debug, Deserialize)]
pub struct Batch {
    #[serde(default)]
    pub batch: Vec<Numbered>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Numbered {
    pub offset: u64,
    /// Absent where the event tells of something else.
    #[serde(default)]
    topology: Option<Topology>,
}

#[derive(Clone, Debug, Deserialize)]
struct Topology {
    #[serde(default)]
    snapshot: bool,
    #[serde(default, deserialize_with = "readable")]
    endpoints: Vec<Endpoint>,
}

/// Those that can be read. One that can't is told with its place and field, and keeps nobody from hearing of the others.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Endpoint>, D::Error> {
    let all = Vec::<serde_json::Value>::deserialize(deserializer)?;
    let read = |(at, value): (usize, serde_json::Value)| {
        let name = value.get("name").map(ToString::to_string);
        serde_path_to_error::deserialize::<_, Endpoint>(value)
            .inspect_err(|error| warn!(at, name, field = %error.path(), error = %error.inner(), "left out of the list"))
            .ok()
    };
    Ok(all.into_iter().enumerate().filter_map(read).collect())
}

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

/// One media node, as an event tells of it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub node: NodeId,
    pub address: Option<SocketAddr>,
    pub place: NodeInfo,
    pub ready: bool,
    pub removed: bool,
}

/// One event; a whole one names all nodes that there are.
#[derive(Clone, Debug)]
pub struct News {
    pub whole: bool,
    pub entries: Vec<Entry>,
}

impl Batch {
    /// The events that follow on the one held. Where some are missing, nothing after them is taken but a whole list.
    pub fn after(self, mut held: u64) -> Vec<Numbered> {
        let mut follow = Vec::new();
        for event in self.batch {
            let whole = event.topology.as_ref().is_some_and(|topology| topology.snapshot);
            if event.offset == held + 1 || (whole && event.offset > held) {
                held = event.offset;
                follow.push(event);
            }
        }
        follow
    }
}

impl Numbered {
    pub fn news(self, names: &NameTables) -> News {
        let topology = self.topology.unwrap_or(Topology { snapshot: false, endpoints: Vec::new() });
        // A zone or a kind that the settings don't name is none of those that they do.
        let id = |names: &[String], name: &str| name_index(names, name).map_or(u8::MAX, |at| at as u8);
        let entry = |e: Endpoint| Entry {
            node: id_of(&e.name),
            address: e.address,
            place: NodeInfo {
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
        News { whole: topology.snapshot, entries: topology.endpoints.into_iter().map(entry).collect() }
    }
}
