//! Parses, validates and formats node lists. A node list refers to zones, models and cells of the headend
//! settings.

use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::Instant;
use ashglade_discovery::sources::checksum;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};

use crate::headend::required_text;
use crate::schema::boxes as schema;
use crate::text_format::{self, SettingsError};

/// The names of the headend settings that a node list may refer to. A name's index is its id.
#[derive(Clone, Debug, Default)]
pub struct HeadendNames {
    /// Zone names, indexed by `ZoneId`.
    pub zones: Vec<String>,
    /// Model names, indexed by `ModelId`.
    pub models: Vec<String>,
    /// Number of cells.
    pub cell_count: u16,
    /// Whether each node must have an HLS address (`http`).
    pub requires_http: bool,
}

/// Parses and validates a node list. `file` is the name that errors give.
///
/// # Errors
///
/// Returns the first error in the text, with its line and field.
pub fn parse_node_list(file: &str, text: &str, names: &HeadendNames) -> Result<NodeList, SettingsError> {
    Ok(parse_node_list_with_omissions(file, text, names)?.0)
}

/// Like [`parse_node_list`], but also returns the number of ready nodes that the list leaves out
/// intentionally, if it has one.
///
/// # Errors
///
/// Returns the first error in the text, with its line and field.
pub fn parse_node_list_with_omissions(
    file: &str,
    text: &str,
    names: &HeadendNames,
) -> Result<(NodeList, Option<usize>), SettingsError> {
    let (message, source) =
        text_format::parse::<schema::Boxes>(crate::SCHEMA, "ashglade.boxes.Boxes", file, text)?;
    let generation = source.required("generation", message.generation)?;
    if let Some(expected) = &message.checksum {
        let actual = checksum(text);
        if !expected.eq_ignore_ascii_case(&actual) {
            return Err(source.error(
                "checksum",
                format!("is {expected}, but the checksum of the file is {actual}: the file is truncated or was changed"),
            ));
        }
    }
    let mut entries = Vec::new();
    for (i, node) in message.r#box.iter().enumerate() {
        let field = |name: &str| format!("box[{i}].{name}");
        let address = required_text(&source, &field("address"), &node.address)?;
        let address = address.parse().map_err(|_| {
            source.error(
                &field("address"),
                format!("{address:?} is not an address and port such as 127.0.0.1:8554"),
            )
        })?;
        let zone = required_text(&source, &field("zone"), &node.zone)?;
        let model = required_text(&source, &field("model"), &node.model)?;
        let cell = node.cell.map(f64::from);
        let info = NodeInfo {
            zone: ZoneId(source.index_of(&field("zone"), &zone, &names.zones)? as u8),
            model: ModelId(source.index_of(&field("model"), &model, &names.models)? as u8),
            cell: CellId(
                source.in_range(&field("cell"), cell, 0.0, f64::from(names.cell_count) - 1.0)? as u16
            ),
            weight: source.in_range(&field("weight"), node.weight, 1e-6, 1e9)?,
            started: node.started_ms.filter(|&ms| ms > 0).map(|ms| Instant::from_ms(ms as f64)),
        };
        let state = match node.standing() {
            schema::Standing::Ready => NodeState::Ready,
            schema::Standing::Draining => NodeState::Draining,
            schema::Standing::Gone => NodeState::Gone,
        };
        let http_address = match &node.http {
            Some(http) => Some(http.parse().map_err(|_| {
                source.error(
                    &field("http"),
                    format!("{http:?} is not an address and port such as 127.0.0.1:8080"),
                )
            })?),
            None if names.requires_http => {
                return Err(
                    source.error(&field("http"), "is missing; the settings contain `hls`, which requires it")
                );
            }
            None => None,
        };
        let name = required_text(&source, &field("name"), &node.name)?;
        entries.push(NodeEntry { name, address, http_address, id: node.id.clone(), info, state });
    }
    Ok((NodeList { generation, entries }, message.leaves_out.map(|count| count as usize)))
}

/// Formats a node list, with its checksum, as text that [`parse_node_list`] parses.
pub fn format_node_list(list: &NodeList, names: &HeadendNames) -> String {
    let mut text = format!("generation: {}\n", list.generation);
    let name_of = |names: &[String], index: u8| names.get(usize::from(index)).cloned().unwrap_or_default();
    for entry in &list.entries {
        let info = &entry.info;
        let started = info.started.map_or(0.0, Instant::as_ms);
        let http = entry.http_address.map_or_else(String::new, |http| format!(" http: \"{http}\""));
        let id = entry.id.as_ref().map_or_else(String::new, |id| format!(" id: {id:?}"));
        let state = match entry.state {
            NodeState::Ready => "READY",
            NodeState::Draining => "DRAINING",
            NodeState::Gone => "GONE",
        };
        text += &format!(
            "box {{ name: {:?} address: \"{}\" zone: {:?} model: {:?} cell: {} weight: {} started_ms: {started:.0} \
             standing: {state}{http}{id} }}\n",
            entry.name,
            entry.address,
            name_of(&names.zones, info.zone.0),
            name_of(&names.models, info.model.0),
            info.cell.0,
            info.weight,
        );
    }
    let checksum = checksum(&text);
    text + &format!("checksum: \"{checksum}\"\n")
}
