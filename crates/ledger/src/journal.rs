//! Journal format of the ledger: JSON lines, one when a session becomes held and one when it is removed. A
//! director that starts reads the sessions that its predecessor left open. An incomplete last line, as a
//! killed process leaves, is ignored.

use std::collections::BTreeMap;

use ashglade::ids::SessionId;
use serde::{Deserialize, Serialize};

use crate::HeldSession;

/// One line of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Held(SessionId, HeldSession),
    #[serde(rename = "struck")]
    Removed(SessionId),
}

/// A line of the journal that can't be parsed. Lines count from 1.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct JournalError {
    pub line: usize,
    pub reason: String,
}

/// Returns the sessions that are still held at the end of a journal.
pub fn open_sessions(text: &str) -> Result<BTreeMap<SessionId, HeldSession>, JournalError> {
    let mut open = BTreeMap::new();
    for (i, line) in text.split_inclusive('\n').enumerate() {
        match serde_json::from_str(line) {
            Ok(Entry::Held(session, held)) => drop(open.insert(session, held)),
            Ok(Entry::Removed(session)) => drop(open.remove(&session)),
            Err(_) if !line.ends_with('\n') => break,
            Err(e) => return Err(JournalError { line: i + 1, reason: e.to_string() }),
        }
    }
    Ok(open)
}

/// Returns the entry as a line of the journal, including the line feed.
pub fn encode(entry: &Entry) -> String {
    serde_json::to_string(entry).map(|text| text + "\n").unwrap_or_default()
}
