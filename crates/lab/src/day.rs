//! Reads and validates day files.

use std::path::Path;

use ashglade_settings::text::{self, Source, Trouble};

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
const MOST: f64 = 65_000.0;

/// Reads a day file, fills in defaults and validates it.
pub fn read(path: &Path) -> Result<Day, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&path.display().to_string(), &text).map_err(|e| e.to_string())
}

/// Parses a day from text; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<Day, Trouble> {
    let (mut day, at) = text::read::<Day>(SCHEMA, "ashglade.day.Day", file, text)?;
    at.need("seed", day.seed)?;
    at.within("seconds", day.seconds, 1.0, 3600.0)?;
    let directors = at.within("directors", day.directors.map(f64::from), 1.0, MOST)?;
    day.network_ms = Some(at.within("network_ms", Some(day.network_ms.unwrap_or(0.3)), 0.0, 1000.0)?);
    at.within("drain_grace_ms", day.drain_grace_ms, 0.0, 60_000.0)?;
    day.slack_ms = Some(at.within("slack_ms", Some(day.slack_ms.unwrap_or(60.0)), 0.0, 10_000.0)?);
    let headend = at.need("headend", day.headend.as_ref())?;
    if day.nodes.is_empty() {
        return Err(at.trouble("nodes", "is left out; one kind at least is wanted"));
    }
    let models: Vec<String> = headend.model.iter().filter_map(|m| m.name.clone()).collect();
    for (i, nodes) in day.nodes.iter().enumerate() {
        let field = |name: &str| format!("nodes[{i}].{name}");
        at.within(&field("count"), nodes.count.map(f64::from), 1.0, MOST)?;
        at.within(&field("weight"), nodes.weight, 1e-3, 1e6)?;
        at.one_of(&field("model"), nodes.model.as_deref().unwrap_or_default(), &models)?;
    }
    if day.viewers.is_empty() {
        return Err(at.trouble("viewers", "is left out; one crowd at least is wanted"));
    }
    for (i, viewers) in day.viewers.iter().enumerate() {
        if viewers.hls_share.is_some_and(|part| part > 0.0) && headend.hls.is_none() {
            return Err(at.trouble(&format!("viewers[{i}].hls_share"), "needs the headend's `hls`"));
        }
        check_viewers(&at, &format!("viewers[{i}]"), viewers, (headend.group.len(), directors))?;
    }
    let lists = at.need("lists", day.lists.as_ref())?;
    at.within("lists.notice_ms", lists.notice_ms, 0.0, 60_000.0)?;
    at.within("lists.silent_notice_ms", lists.silent_notice_ms, 0.0, 60_000.0)?;
    let nodes: f64 = day.nodes.iter().filter_map(|n| n.count).map(f64::from).sum();
    let racks = headend.links.as_ref().and_then(|l| l.racks).map_or(1.0, f64::from);
    for (i, trouble) in day.trouble.iter().enumerate() {
        check(&at, i, trouble, (nodes, racks, directors))?;
    }
    let parties = crate::play::parties(&day);
    for (i, fault) in day.fault.iter().enumerate() {
        check_fault(&at, &format!("fault[{i}]"), fault, &parties)?;
    }
    Ok(day)
}

/// Validates a group of viewers against the number of service groups and of directors.
fn check_viewers(
    at: &Source,
    field: &str,
    viewers: &schema::Viewers,
    (groups, directors): (usize, f64),
) -> Result<(), Trouble> {
    let field = |name: &str| format!("{field}.{name}");
    at.within(&field("rate"), viewers.rate, 0.01, 1e5)?;
    let from = at.within(&field("watch_from_s"), viewers.watch_from_s, 0.1, 3600.0)?;
    at.within(&field("watch_to_s"), viewers.watch_to_s, from, 3600.0)?;
    for (name, part) in [
        ("impatient", viewers.impatient),
        ("small_screens", viewers.small_screens),
        ("hls_share", viewers.hls_share),
    ] {
        at.within(&field(name), Some(part.unwrap_or(0.0)), 0.0, 1.0)?;
    }
    at.within(&field("rejoin_ms"), viewers.rejoin_ms, 1.0, 60_000.0)?;
    at.within(&field("from_s"), Some(viewers.from_s.unwrap_or(0.0)), 0.0, 3600.0)?;
    at.within(&field("to_s"), Some(viewers.to_s.unwrap_or(3600.0)), viewers.from_s.unwrap_or(0.0), 3600.0)?;
    for (name, shares, of) in [
        ("group_share", &viewers.group_share, groups),
        ("director_share", &viewers.director_share, directors as usize),
    ] {
        if shares.is_empty() {
            continue;
        }
        if shares.len() != of {
            return Err(at.trouble(&field(name), format!("has {} shares; {of} are wanted", shares.len())));
        }
        for (k, &share) in shares.iter().enumerate() {
            at.within(&format!("{}[{k}]", field(name)), Some(share), 0.0, 1e6)?;
        }
        if shares.iter().sum::<f64>() <= 0.0 {
            return Err(at.trouble(&field(name), "leaves nobody"));
        }
    }
    Ok(())
}

/// Validates a fault and the party names in it.
fn check_fault(at: &Source, field: &str, fault: &Fault, parties: &Parties) -> Result<(), Trouble> {
    let named = |list: &str, names: &[String]| {
        for (k, name) in names.iter().enumerate() {
            if parties.resolve(name).is_none() {
                let what = format!(
                    "{name:?} is nobody; as \"director 3\", \"node 5\", \"zone NAME\" or \"viewers\""
                );
                return Err(at.trouble(&format!("{field}.{list}[{k}]"), what));
            }
        }
        Ok(())
    };
    named("from", &fault.from)?;
    named("to", &fault.to)?;
    let inside = |name: &str| format!("{field}.{name}");
    match (&fault.when, fault.at_s) {
        (Some(_), Some(_)) | (None, None) => return Err(at.trouble(field, "wants one of at_s and when")),
        (None, time) => drop(at.within(&inside("at_s"), time, 0.0, 3600.0)?),
        (Some(when), None) => {
            named("when.from", &when.from)?;
            named("when.to", &when.to)?;
        }
    }
    at.within(&inside("for_s"), Some(fault.for_s.unwrap_or(0.0)), 0.0, 3600.0)?;
    if fault.from.is_empty() {
        return Err(at.trouble(&inside("from"), "is left out"));
    }
    let (from, to) = match fault.deed() {
        FaultKind::NoDeed => return Err(at.trouble(&inside("deed"), "is left out")),
        FaultKind::Cut => return Ok(()),
        FaultKind::Kill | FaultKind::Stop => {
            let other = fault.from.iter().position(|name| !name.starts_with("director"));
            return other.map_or(Ok(()), |k| {
                Err(at.trouble(&inside(&format!("from[{k}]")), "only directors are killed or stopped"))
            });
        }
        FaultKind::Delay | FaultKind::Reorder => (0.0, 60_000.0),
        FaultKind::Loss | FaultKind::Double => (0.0, 1.0),
        FaultKind::Trickle => (1.0, 1e9),
    };
    at.within(&inside("size"), fault.size, from, to).map(drop)
}

/// Validates a trouble. `of` holds the numbers of nodes, racks and directors.
fn check(at: &Source, i: usize, trouble: &schema::Trouble, of: (f64, f64, f64)) -> Result<(), Trouble> {
    let field = |name: &str| format!("trouble[{i}].{name}");
    at.within(&field("at_s"), trouble.at_s, 0.0, 3600.0)?;
    at.within(&field("for_s"), trouble.for_s, 0.0, 3600.0)?;
    let (from, to) = match trouble.kind() {
        TroubleKind::Unset => return Err(at.trouble(&field("kind"), "is left out")),
        TroubleKind::FastErrors | TroubleKind::Reset => (0.0, 1.0),
        TroubleKind::Slow | TroubleKind::Neighbour | TroubleKind::OriginSlow | TroubleKind::Burst => {
            (1.0, 100.0)
        }
        TroubleKind::Ageing | TroubleKind::SlowSetup | TroubleKind::SetupQueue => (1.0, 60_000.0),
        TroubleKind::DiscoveryStale | TroubleKind::BalancerRoll | TroubleKind::Keeps => (0.0, 600.0),
        _ => (f64::MIN, f64::MAX),
    };
    if from != f64::MIN {
        at.within(&field("size"), trouble.size, from, to)?;
    }
    let most = match trouble.kind() {
        TroubleKind::OriginSlow => of.1,
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::PeerDown => of.2,
        _ => of.0,
    };
    for (k, &on) in trouble.on.iter().enumerate() {
        at.within(&format!("trouble[{i}].on[{k}]"), Some(f64::from(on)), 0.0, most - 1.0)?;
    }
    Ok(())
}
