//! The box list: checked against the headend's names, and written by programs that keep one.

use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use ashglade_discovery::sources::checksum;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};

use crate::headend::named;
use crate::schema::boxes as schema;
use crate::text::{self, Trouble};

/// Names that a box list uses, by their place in the headend settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub models: Vec<String>,
    pub cells: u16,
    /// Every box must tell where it serves HLS.
    pub http: bool,
}

/// Reads and checks a box list.
pub fn boxes(file: &str, text: &str, names: &Names) -> Result<NodeList, Trouble> {
    Ok(watched_boxes(file, text, names)?.0)
}

/// The same, with how many boxes its writer says that it leaves out on purpose.
pub fn watched_boxes(file: &str, text: &str, names: &Names) -> Result<(NodeList, Option<usize>), Trouble> {
    let (read, at) = text::read::<schema::Boxes>(crate::SCHEMA, "ashglade.boxes.Boxes", file, text)?;
    let generation = at.need("generation", read.generation)?;
    if let Some(told) = &read.checksum {
        let found = checksum(text);
        if !told.eq_ignore_ascii_case(&found) {
            return Err(at.trouble(
                "checksum",
                format!("says {told}, and the file has {found}: it was cut or changed"),
            ));
        }
    }
    let mut entries = Vec::new();
    for (i, node) in read.r#box.iter().enumerate() {
        let field = |name: &str| format!("box[{i}].{name}");
        let address = named(&at, &field("address"), &node.address)?;
        let address = address.parse().map_err(|_| {
            at.trouble(&field("address"), format!("{address:?} is no address and port, as 127.0.0.1:8554"))
        })?;
        let zone = named(&at, &field("zone"), &node.zone)?;
        let model = named(&at, &field("model"), &node.model)?;
        let cell = node.cell.map(f64::from);
        let place = NodeInfo {
            zone: ZoneId(at.one_of(&field("zone"), &zone, &names.zones)? as u8),
            model: ModelId(at.one_of(&field("model"), &model, &names.models)? as u8),
            cell: CellId(at.within(&field("cell"), cell, 0.0, f64::from(names.cells) - 1.0)? as u16),
            weight: at.within(&field("weight"), node.weight, 1e-6, 1e9)?,
            started: node.started_ms.filter(|&ms| ms > 0).map(|ms| Instant::from_ms(ms as f64)),
        };
        let standing = match node.standing() {
            schema::Standing::Ready => NodeState::Ready,
            schema::Standing::Draining => NodeState::Draining,
            schema::Standing::Gone => NodeState::Gone,
        };
        let http = match &node.http {
            Some(http) => Some(http.parse().map_err(|_| {
                at.trouble(&field("http"), format!("{http:?} is no address and port, as 127.0.0.1:8080"))
            })?),
            None if names.http => {
                return Err(at.trouble(&field("http"), "is left out, and the settings have `hls`"));
            }
            None => None,
        };
        let name = named(&at, &field("name"), &node.name)?;
        entries.push(NodeEntry {
            name,
            address,
            http_address: http,
            id: node.id.clone(),
            info: place,
            state: standing,
        });
    }
    Ok((NodeList { generation, entries }, read.leaves_out.map(|n| n as usize)))
}

/// Writes a list as [`boxes`] reads it.
pub fn write_boxes(list: &NodeList, names: &Names) -> String {
    let mut text = format!("generation: {}\n", list.generation);
    let name = |names: &[String], i: u8| names.get(usize::from(i)).cloned().unwrap_or_default();
    for entry in &list.entries {
        let place = &entry.info;
        let started = place.started.map_or(0.0, Instant::as_ms);
        let http = entry.http_address.map_or_else(String::new, |http| format!(" http: \"{http}\""));
        let id = entry.id.as_ref().map_or_else(String::new, |id| format!(" id: {id:?}"));
        let standing = match entry.state {
            NodeState::Ready => "READY",
            NodeState::Draining => "DRAINING",
            NodeState::Gone => "GONE",
        };
        text += &format!(
            "box {{ name: {:?} address: \"{}\" zone: {:?} model: {:?} cell: {} weight: {} started_ms: {started:.0} \
             standing: {standing}{http}{id} }}\n",
            entry.name,
            entry.address,
            name(&names.zones, place.zone.0),
            name(&names.models, place.model.0),
            place.cell.0,
            place.weight,
        );
    }
    let sum = checksum(&text);
    text + &format!("checksum: \"{sum}\"\n")
}
