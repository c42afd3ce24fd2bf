//! Status of a director's shared state, written as JSON and read by `ashglade show`. The JSON keys are fixed.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One director's health report on a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub node: u64,
    pub by: u16,
    pub verdict: String,
    pub setups: u16,
    pub age_ms: u32,
}

/// Shared state and traffic counters of one director.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Index of the director.
    pub director: usize,
    /// Number of directors.
    pub directors: usize,
    /// Directors from which a message arrived within the duration of a lease, and the director itself.
    pub heard: Vec<usize>,
    /// Numbers of the held slow-start turns.
    pub turns: Vec<usize>,
    /// Limit on further SETUPs at one node within the window: this director's share, and the limit of the fleet;
    /// `None` if directors share no such limit.
    pub repeats: Option<(usize, usize)>,
    /// Nodes to be tried last, by id in hexadecimal, with the directors that reported them.
    pub last: BTreeMap<String, Vec<u16>>,
    /// Health reports of all directors.
    pub words: Vec<Seen>,
    /// Datagrams and bytes sent since the start.
    pub said: (u64, u64),
    /// Datagrams and bytes accepted since the start.
    pub taken: (u64, u64),
    /// Number of datagrams not sent because of the limit on bytes per second.
    pub held_back: u64,
    /// Number of discarded datagrams, by reason.
    pub passed: BTreeMap<String, u64>,
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let alone = self.heard.len() <= 1 && self.directors > 1;
        writeln!(f, "director {} of {}, hears {:?}", self.director, self.directors, self.heard)?;
        if alone {
            writeln!(f, "HEARS NOTHING: only what is surely its own is used")?;
        }
        writeln!(f, "turns at cold nodes {:?} of {}", self.turns, self.directors * 2)?;
        if let Some((ours, of)) = self.repeats {
            writeln!(f, "further SETUPs at one node {ours} of {of}")?;
        }
        for (node, by) in &self.last {
            writeln!(f, "tried last {node}, on the word of {by:?}")?;
        }
        for word in &self.words {
            let Seen { node, by, verdict, setups, age_ms } = word;
            writeln!(f, "node {node:016x} {verdict} by {by}, {setups} SETUPs, {age_ms} ms ago")?;
        }
        writeln!(f, "said {} datagrams, {} bytes; {} held back", self.said.0, self.said.1, self.held_back)?;
        writeln!(f, "taken {} datagrams, {} bytes", self.taken.0, self.taken.1)?;
        for (why, count) in &self.passed {
            writeln!(f, "passed over {count}: {why}")?;
        }
        Ok(())
    }
}
