//! Plays a short day for each combination of a kind of trouble, a retry safety of the service groups and a
//! phase of the sessions. Several days run at once; each gives one line.

use std::path::Path;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::day::{self, Day};
use crate::play;

/// Kinds of trouble with their other fields, in the text format of day files, without times.
pub const TROUBLES: [(&str, &str); 8] = [
    ("answer_lost", "on: 0 on: 1 on: 2"),
    ("hang", "on: 0 on: 1 on: 2"),
    ("reset", "size: 0.7 on: 0 on: 1 on: 2"),
    ("fast_errors", "size: 0.7 on: 0 on: 1 on: 2"),
    ("slow_setup", "size: 900 on: 0 on: 1 on: 2"),
    ("vanish", "on: 0 on: 1"),
    ("drain", "on: 0 on: 1"),
    ("peer_down", "on: 0"),
];
/// Retry safety of all service groups.
pub const RETRY_SAFETIES: [&str; 3] = ["SAFE", "DEDUP", "FRAGILE"];
/// Phases of sessions, with the time at which the trouble starts in seconds.
pub const PHASES: [(&str, f64); 2] = [("setting up", 0.2), ("playing", 2.0)];

/// Number of cells played concurrently.
const MAX_CONCURRENT_CELLS: usize = 6;

/// The result of one combination.
pub struct MatrixCell {
    pub name: String,
    pub passed: bool,
    pub counts: String,
}

/// The day of one cell, derived from `bad-day.txtpb`.
fn matrix_day(kind: &str, fields: &str, retry_safety: &str, at: f64) -> Result<Day, String> {
    let template =
        include_str!("../../../days/bad-day.txtpb").lines().filter(|line| !line.starts_with("trouble"));
    let text = template
        .collect::<Vec<_>>()
        .join("\n")
        // All groups get this retry safety; a fifth of the viewers leaves before being answered.
        .replace("care: FRAGILE", "care: SAFE")
        .replace("care: SAFE", &format!("care: {retry_safety} repeat_window_ms: 2500"))
        .replace("impatient: 0.02", "impatient: 0.2")
        .replace("seconds: 30\ndirectors: 2", "seconds: 4\ndirectors: 1")
        .replace("count: 12", "count: 6")
        .replace("cells: 12 racks: 2", "cells: 6 racks: 1")
        .replace("home: 6", "home: 0")
        .replace("home: 8", "home: 1")
        .replace("home: 10", "home: 2")
        .replace("watch_to_s: 12", "watch_to_s: 5")
        .replace("drain_grace_ms: 500", "drain_grace_ms: 1500\nslack_ms: 250");
    let text = format!("{text}\ntrouble {{ kind: {kind} at_s: {at} for_s: 2 {fields} }}\n");
    day::parse("the matrix template", &text).map_err(|e| e.to_string())
}

/// Plays all kinds of trouble with these retry safeties and phases.
pub async fn play(
    out: &Path,
    retry_safeties: &[&str],
    phases: &[(&str, f64)],
) -> Result<Vec<MatrixCell>, String> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CELLS));
    let mut running = JoinSet::new();
    for (kind, fields) in TROUBLES {
        for retry_safety in retry_safeties {
            for (phase, at) in phases {
                let day = matrix_day(kind, fields, retry_safety, *at)?;
                let name = format!("{kind:11} {retry_safety:7} {phase:10}");
                let folder = out.join(format!("{kind}-{retry_safety}-{phase}").replace(' ', "-"));
                let permits = permits.clone();
                let order = running.len();
                running.spawn(async move {
                    let _permit = permits.acquire_owned().await;
                    let result = play::play(
                        &day,
                        &folder,
                        &play::PlayOptions { quiet: true, ..play::PlayOptions::default() },
                    )
                    .await;
                    result.map(|result| (order, name, result))
                });
            }
        }
    }
    let mut cells = Vec::new();
    while let Some(result) = running.join_next().await {
        let (order, name, result) = result.map_err(|e| e.to_string())??;
        let passed = result.verdict.passed() && result.orphans == 0;
        let rule_counts = |rule: usize| result.verdict.findings.get(rule).map_or("", |f| f.counts.as_str());
        let counts = format!("{}; {}", rule_counts(0), rule_counts(1));
        cells.push((order, MatrixCell { name, passed, counts }));
    }
    cells.sort_by_key(|(order, _)| *order);
    Ok(cells.into_iter().map(|(_, cell)| cell).collect())
}
