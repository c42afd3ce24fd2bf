//! Converts a day file of the bench into one that is played on sockets. Troubles keep their names, times and
//! sizes; the rest is scaled to one machine.

use std::fmt::Write as _;
use std::path::Path;

use serde::Deserialize;

/// The parts of the bench's day file that are read. Its times are in microseconds.
#[derive(Deserialize)]
struct BenchDay {
    length: f64,
    servers: Vec<serde::de::IgnoredAny>,
    balancers: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    troubles: Vec<BenchTrouble>,
}

/// A trouble in the bench's day file.
#[derive(Deserialize)]
struct BenchTrouble {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    on: Vec<u32>,
}

/// Reads the bench's day file and returns the converted day in text format.
pub fn convert(path: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let bench_day: BenchDay = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let nodes = bench_day.servers.len().max(1);
    let directors = bench_day.balancers.len().max(1);
    let template = include_str!("../../../days/bad-day.txtpb");
    // Settings, viewers and lists are those of the template; fleet size, length and troubles come from the
    // bench.
    let mut day = String::new();
    let mut skipped_depth = 0usize;
    for line in template.lines() {
        let replaced = ["trouble {", "nodes {", "directors:", "seconds:"].iter().any(|p| line.starts_with(p));
        if replaced && line.contains('{') && !line.contains('}') {
            skipped_depth += 1;
        }
        if skipped_depth == 0 && !replaced {
            day += line;
            day.push('\n');
        }
        if skipped_depth > 0 && line.starts_with('}') {
            skipped_depth -= 1;
        }
    }
    let seconds = bench_day.length / 1e6;
    let mut write_line = |line: std::fmt::Arguments| {
        let _ = writeln!(day, "{line}");
    };
    write_line(format_args!("seconds: {seconds:.1}"));
    write_line(format_args!("directors: {directors}"));
    write_line(format_args!("nodes {{ count: {nodes} model: \"small\" weight: 1 guard: true }}"));
    for trouble in &bench_day.troubles {
        let (at, length) = (trouble.at / 1e6, trouble.len / 1e6);
        let supported = crate::day::TroubleKind::from_str_name(&trouble.kind).is_some();
        if !supported {
            write_line(format_args!("# {} at {at:.1} s has no counterpart on sockets", trouble.kind));
            continue;
        }
        let (target_count, size) = match trouble.kind.as_str() {
            "origin_slow" => (2, trouble.size),
            "balancer_roll" | "balancer_stall" | "peer_down" => (directors, length.min(2.0)),
            "ageing" => (nodes, 2000.0),
            "discovery_stale" => (nodes, trouble.size / 1e6),
            _ => (nodes, trouble.size),
        };
        let mut on: Vec<u32> = trouble.on.iter().map(|i| i % target_count as u32).collect();
        on.sort_unstable();
        on.dedup();
        if on.is_empty() && trouble.kind != "burst" && trouble.kind != "discovery_stale" {
            // The bench draws these targets at run time; use a fifth of the fleet instead.
            on = (0..target_count.div_ceil(5) as u32).collect();
        }
        let on: String = on.iter().map(|i| format!(" on: {i}")).collect();
        let kind = &trouble.kind;
        write_line(format_args!(
            "trouble {{ kind: {kind} at_s: {at:.2} for_s: {length:.2} size: {size:.3}{on} }}"
        ));
    }
    Ok(day)
}
