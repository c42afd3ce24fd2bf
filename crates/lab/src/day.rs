//! Reads and validates day files.

use std::path::Path;

use ashglade_settings::text_format::{self, ParsedFile, SettingsError};

/// Types generated from `day.proto`.
pub mod schema {
    #![allow(clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/ashglade.day.rs"));
}

pub use schema::{Day, Kind as TroubleKind};
use schema::{Deed as FaultKind, Fault};

use crate::net::Parties;

/// Encoded descriptors of `day.proto` and the schemas that it imports.
pub const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));

/// Maximum number of directors and of nodes in a kind: both are numbered with 16 bits.
const MAX_COUNT: f64 = 65_000.0;

/// Reads a day file, fills in defaults and validates it.
pub fn read(path: &Path) -> Result<Day, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&path.display().to_string(), &text).map_err(|e| e.to_string())
}

/// Parses a day from text; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<Day, SettingsError> {
    let (mut day, source) = text_format::parse::<Day>(SCHEMA, "ashglade.day.Day", file, text)?;
    source.required("seed", day.seed)?;
    source.in_range("seconds", day.seconds, 1.0, 3600.0)?;
    let directors = source.in_range("directors", day.directors.map(f64::from), 1.0, MAX_COUNT)?;
    day.network_ms = Some(source.in_range("network_ms", Some(day.network_ms.unwrap_or(0.3)), 0.0, 1000.0)?);
    source.in_range("drain_grace_ms", day.drain_grace_ms, 0.0, 60_000.0)?;
    day.slack_ms = Some(source.in_range("slack_ms", Some(day.slack_ms.unwrap_or(60.0)), 0.0, 10_000.0)?);
    let headend = source.required("headend", day.headend.as_ref())?;
    if day.nodes.is_empty() {
        return Err(source.error("nodes", "is missing; at least one kind of nodes is required"));
    }
    let models: Vec<String> = headend.model.iter().filter_map(|m| m.name.clone()).collect();
    for (i, nodes) in day.nodes.iter().enumerate() {
        let field = |name: &str| format!("nodes[{i}].{name}");
        source.in_range(&field("count"), nodes.count.map(f64::from), 1.0, MAX_COUNT)?;
        source.in_range(&field("weight"), nodes.weight, 1e-3, 1e6)?;
        source.index_of(&field("model"), nodes.model.as_deref().unwrap_or_default(), &models)?;
    }
    if day.viewers.is_empty() {
        return Err(source.error("viewers", "is missing; at least one group of viewers is required"));
    }
    for (i, viewers) in day.viewers.iter().enumerate() {
        if viewers.hls_share.is_some_and(|part| part > 0.0) && headend.hls.is_none() {
            return Err(source.error(&format!("viewers[{i}].hls_share"), "requires `hls` in the headend"));
        }
        check_viewers(&source, &format!("viewers[{i}]"), viewers, (headend.group.len(), directors))?;
    }
    let lists = source.required("lists", day.lists.as_ref())?;
    source.in_range("lists.notice_ms", lists.notice_ms, 0.0, 60_000.0)?;
    source.in_range("lists.silent_notice_ms", lists.silent_notice_ms, 0.0, 60_000.0)?;
    let nodes: f64 = day.nodes.iter().filter_map(|n| n.count).map(f64::from).sum();
    let racks = headend.links.as_ref().and_then(|l| l.racks).map_or(1.0, f64::from);
    for (i, trouble) in day.trouble.iter().enumerate() {
        check_trouble(&source, i, trouble, (nodes, racks, directors))?;
    }
    let parties = crate::play::parties(&day);
    for (i, fault) in day.fault.iter().enumerate() {
        check_fault(&source, &format!("fault[{i}]"), fault, &parties)?;
    }
    Ok(day)
}

/// Validates a group of viewers against the number of service groups and of directors.
fn check_viewers(
    source: &ParsedFile,
    field: &str,
    viewers: &schema::Viewers,
    (groups, directors): (usize, f64),
) -> Result<(), SettingsError> {
    let field = |name: &str| format!("{field}.{name}");
    source.in_range(&field("rate"), viewers.rate, 0.01, 1e5)?;
    let from = source.in_range(&field("watch_from_s"), viewers.watch_from_s, 0.1, 3600.0)?;
    source.in_range(&field("watch_to_s"), viewers.watch_to_s, from, 3600.0)?;
    for (name, part) in [
        ("impatient", viewers.impatient),
        ("small_screens", viewers.small_screens),
        ("hls_share", viewers.hls_share),
    ] {
        source.in_range(&field(name), Some(part.unwrap_or(0.0)), 0.0, 1.0)?;
    }
    source.in_range(&field("rejoin_ms"), viewers.rejoin_ms, 1.0, 60_000.0)?;
    source.in_range(&field("from_s"), Some(viewers.from_s.unwrap_or(0.0)), 0.0, 3600.0)?;
    source.in_range(
        &field("to_s"),
        Some(viewers.to_s.unwrap_or(3600.0)),
        viewers.from_s.unwrap_or(0.0),
        3600.0,
    )?;
    for (name, shares, of) in [
        ("group_share", &viewers.group_share, groups),
        ("director_share", &viewers.director_share, directors as usize),
    ] {
        if shares.is_empty() {
            continue;
        }
        if shares.len() != of {
            return Err(source.error(&field(name), format!("has {} shares; {of} are required", shares.len())));
        }
        for (k, &share) in shares.iter().enumerate() {
            source.in_range(&format!("{}[{k}]", field(name)), Some(share), 0.0, 1e6)?;
        }
        if shares.iter().sum::<f64>() <= 0.0 {
            return Err(source.error(&field(name), "needs at least one positive share"));
        }
    }
    Ok(())
}

/// Validates a fault and the party names in it.
fn check_fault(
    source: &ParsedFile,
    field: &str,
    fault: &Fault,
    parties: &Parties,
) -> Result<(), SettingsError> {
    let check_names = |list: &str, names: &[String]| {
        for (k, name) in names.iter().enumerate() {
            if parties.resolve(name).is_none() {
                let message = format!(
                    "{name:?} names no party; use \"director 3\", \"node 5\", \"zone NAME\" or \"viewers\""
                );
                return Err(source.error(&format!("{field}.{list}[{k}]"), message));
            }
        }
        Ok(())
    };
    check_names("from", &fault.from)?;
    check_names("to", &fault.to)?;
    let subfield = |name: &str| format!("{field}.{name}");
    match (&fault.when, fault.at_s) {
        (Some(_), Some(_)) | (None, None) => {
            return Err(source.error(field, "needs exactly one of at_s and when"));
        }
        (None, time) => drop(source.in_range(&subfield("at_s"), time, 0.0, 3600.0)?),
        (Some(when), None) => {
            check_names("when.from", &when.from)?;
            check_names("when.to", &when.to)?;
        }
    }
    source.in_range(&subfield("for_s"), Some(fault.for_s.unwrap_or(0.0)), 0.0, 3600.0)?;
    if fault.from.is_empty() {
        return Err(source.error(&subfield("from"), "is missing"));
    }
    let (from, to) = match fault.deed() {
        FaultKind::NoDeed => return Err(source.error(&subfield("deed"), "is missing")),
        FaultKind::Cut => return Ok(()),
        FaultKind::Kill | FaultKind::Stop => {
            let non_director = fault.from.iter().position(|name| !name.starts_with("director"));
            return non_director.map_or(Ok(()), |k| {
                Err(source.error(&subfield(&format!("from[{k}]")), "only directors can be killed or stopped"))
            });
        }
        FaultKind::Delay | FaultKind::Reorder => (0.0, 60_000.0),
        FaultKind::Loss | FaultKind::Double => (0.0, 1.0),
        FaultKind::Trickle => (1.0, 1e9),
    };
    source.in_range(&subfield("size"), fault.size, from, to).map(drop)
}

/// Validates a trouble. `of` holds the numbers of nodes, racks and directors.
fn check_trouble(
    source: &ParsedFile,
    i: usize,
    trouble: &schema::Trouble,
    target_counts: (f64, f64, f64),
) -> Result<(), SettingsError> {
    let field = |name: &str| format!("trouble[{i}].{name}");
    source.in_range(&field("at_s"), trouble.at_s, 0.0, 3600.0)?;
    source.in_range(&field("for_s"), trouble.for_s, 0.0, 3600.0)?;
    let (from, to) = match trouble.kind() {
        TroubleKind::Unset => return Err(source.error(&field("kind"), "is missing")),
        TroubleKind::FastErrors | TroubleKind::Reset => (0.0, 1.0),
        TroubleKind::Slow | TroubleKind::Neighbour | TroubleKind::OriginSlow | TroubleKind::Burst => {
            (1.0, 100.0)
        }
        TroubleKind::Ageing | TroubleKind::SlowSetup | TroubleKind::SetupQueue => (1.0, 60_000.0),
        TroubleKind::DiscoveryStale | TroubleKind::BalancerRoll | TroubleKind::Keeps => (0.0, 600.0),
        _ => (f64::MIN, f64::MAX),
    };
    if from != f64::MIN {
        source.in_range(&field("size"), trouble.size, from, to)?;
    }
    let max_targets = match trouble.kind() {
        TroubleKind::OriginSlow => target_counts.1,
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::PeerDown => target_counts.2,
        _ => target_counts.0,
    };
    for (k, &on) in trouble.on.iter().enumerate() {
        source.in_range(&format!("trouble[{i}].on[{k}]"), Some(f64::from(on)), 0.0, max_targets - 1.0)?;
    }
    Ok(())
}
