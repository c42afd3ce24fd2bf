//! The ledger on paper: a line for each session that is held, and one when it is struck out. A director that starts
//! reads what the one before it left open. A last line that was cut short, as by a kill, counts as not written.

use std::collections::BTreeMap;

use ashglade::ids::SessionId;
use serde::{Deserialize, Serialize};

use crate::HeldSession;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Held(SessionId, HeldSession),
    #[serde(rename = "struck")]
    Removed(SessionId),
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct JournalError {
    pub line: usize,
    pub what: String,
}

/// What is still open at the end of these pages.
pub fn open_sessions(text: &str) -> Result<BTreeMap<SessionId, HeldSession>, JournalError> {
    let mut open = BTreeMap::new();
    for (i, line) in text.split_inclusive('\n').enumerate() {
        match serde_json::from_str(line) {
            Ok(Entry::Held(sess, held)) => drop(open.insert(sess, held)),
            Ok(Entry::Removed(sess)) => drop(open.remove(&sess)),
            Err(_) if !line.ends_with('\n') => break,
            Err(e) => return Err(JournalError { line: i + 1, what: e.to_string() }),
        }
    }
    Ok(open)
}

pub fn encode(line: &Entry) -> String {
    serde_json::to_string(line).map(|text| text + "\n").unwrap_or_default()
}
