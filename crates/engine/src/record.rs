//! A director's rounds as JSON lines, one a round: when, what came in, what came out. Played again on a fresh
//! engine with the same settings they must give the same effects; the first that doesn't is named.

use ashglade::time::Instant;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineConfig};
use crate::messages::{Effect, Input};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedRound {
    pub at: Instant,
    #[serde(rename = "in")]
    pub inputs: Vec<Input>,
    #[serde(rename = "out")]
    pub effects: Vec<Effect>,
}

/// The first line of a record: when the engine started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordHeader {
    pub started: Instant,
}

#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    #[error("line {line}: {what}")]
    Malformed { line: usize, what: String },
    #[error("line {line}: recorded {recorded}, now {now}")]
    Differs { line: usize, recorded: String, now: String },
}

/// Plays a record again; the number of rounds and effects that came out the same. A last line that was cut short,
/// as by a kill, is passed over.
pub fn replay(start: EngineConfig, text: &str) -> Result<(usize, usize), ReplayError> {
    let mut lines = text.split_inclusive('\n').enumerate();
    let bad =
        |line: usize, e: serde_json::Error| ReplayError::Malformed { line: line + 1, what: e.to_string() };
    let Some((_, first)) = lines.next() else {
        return Err(ReplayError::Malformed { line: 1, what: "the record is empty".into() });
    };
    let head: RecordHeader = serde_json::from_str(first).map_err(|e| bad(0, e))?;
    let mut engine = Engine::new(start, head.started);
    let (mut rounds, mut effects) = (0, 0);
    for (i, text) in lines {
        let line: RecordedRound = match serde_json::from_str(text) {
            Ok(line) => line,
            Err(_) if !text.ends_with('\n') => break,
            Err(e) => return Err(bad(i, e)),
        };
        let now = engine.round(line.at, line.inputs);
        let text = |effects: &[Effect]| serde_json::to_string(effects).unwrap_or_default();
        if text(&now) != text(&line.effects) {
            return Err(ReplayError::Differs { line: i + 1, recorded: text(&line.effects), now: text(&now) });
        }
        (rounds, effects) = (rounds + 1, effects + now.len());
    }
    Ok((rounds, effects))
}
