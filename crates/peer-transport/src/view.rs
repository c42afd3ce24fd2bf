//! What a director believes, from whom, and what it held and told: for `ashglade show`.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One director's word on a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub node: u64,
    pub by: u16,
    pub verdict: String,
    pub setups: u16,
    pub age_ms: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub director: usize,
    pub directors: usize,
    /// Directors heard of within a lease.
    pub heard: Vec<usize>,
    pub turns: Vec<usize>,
    /// Further SETUPs for one node within the span: ours, and all there are; none where that isn't shared.
    pub repeats: Option<(usize, usize)>,
    /// Nodes that are tried last, and on whose word.
    pub last: BTreeMap<String, Vec<u16>>,
    pub words: Vec<Seen>,
    /// Datagrams and bytes since the start.
    pub said: (u64, u64),
    pub taken: (u64, u64),
    /// Not sent, as more than `bytes_per_s` was to be said.
    pub held_back: u64,
    /// By reason: datagrams that were passed over.
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
