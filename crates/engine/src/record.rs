//! Recording and replay of an engine's rounds. A record is a file of JSON lines: a header, then one line per
//! round with its time, inputs and effects. Replayed on a new engine with the same configuration, the inputs
//! must yield the same effects; [`replay`] reports the first line that differs.

use ashglade::time::Instant;
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineConfig};
use crate::messages::{Effect, Input};

/// One round of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedRound {
    pub at: Instant,
    #[serde(rename = "in")]
    pub inputs: Vec<Input>,
    #[serde(rename = "out")]
    pub effects: Vec<Effect>,
}

/// The first line of a record.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordHeader {
    /// When the engine was started.
    pub started: Instant,
}

/// Why a record can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A line can't be parsed. Lines count from 1.
    #[error("line {line}: {reason}")]
    Malformed { line: usize, reason: String },
    /// The replay yields other effects than the record holds.
    #[error("line {line}: recorded {recorded}, replayed {replayed}")]
    Mismatch { line: usize, recorded: String, replayed: String },
}

/// Replays a record and returns the number of rounds and effects replayed. An incomplete last line, as a
/// killed process leaves, is ignored.
pub fn replay(config: EngineConfig, text: &str) -> Result<(usize, usize), ReplayError> {
    let mut lines = text.split_inclusive('\n').enumerate();
    let malformed =
        |line: usize, e: serde_json::Error| ReplayError::Malformed { line: line + 1, reason: e.to_string() };
    let Some((_, first)) = lines.next() else {
        return Err(ReplayError::Malformed { line: 1, reason: "the record is empty".into() });
    };
    let header: RecordHeader = serde_json::from_str(first).map_err(|e| malformed(0, e))?;
    let mut engine = Engine::new(config, header.started);
    let (mut rounds, mut effects) = (0, 0);
    for (i, text) in lines {
        let round: RecordedRound = match serde_json::from_str(text) {
            Ok(round) => round,
            Err(_) if !text.ends_with('\n') => break,
            Err(e) => return Err(malformed(i, e)),
        };
        let replayed = engine.round(round.at, round.inputs);
        let json = |effects: &[Effect]| serde_json::to_string(effects).unwrap_or_default();
        if json(&replayed) != json(&round.effects) {
            return Err(ReplayError::Mismatch {
                line: i + 1,
                recorded: json(&round.effects),
                replayed: json(&replayed),
            });
        }
        (rounds, effects) = (rounds + 1, effects + replayed.len());
    }
    Ok((rounds, effects))
}
