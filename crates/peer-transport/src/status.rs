//! Status of a director's shared state, written as JSON and read by `ashglade show`. The JSON keys are fixed.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One director's health report on a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    pub node: u64,
    #[serde(rename = "by")]
    pub source: u16,
    #[serde(rename = "verdict")]
    pub health: String,
    pub setups: u16,
    pub age_ms: u32,
}

/// Shared state and traffic counters of one director.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Index of the director.
    #[serde(rename = "director")]
    pub director_index: usize,
    /// Number of directors.
    #[serde(rename = "directors")]
    pub director_count: usize,
    /// Directors from which a message arrived within the duration of a lease, and the director itself.
    #[serde(rename = "heard")]
    pub reachable_directors: Vec<usize>,
    /// Numbers of the held slow-start turns.
    #[serde(rename = "turns")]
    pub slow_start_turns: Vec<usize>,
    /// Limit on further SETUPs at one node within the window: this director's share, and the limit of the
    /// fleet; `None` if directors share no such limit.
    #[serde(rename = "repeats")]
    pub retry_limit: Option<(usize, usize)>,
    /// Nodes to be tried last, by id in hexadecimal, with the directors that reported them.
    #[serde(rename = "last")]
    pub suspected_nodes: BTreeMap<String, Vec<u16>>,
    /// Health reports of all directors.
    #[serde(rename = "words")]
    pub health_reports: Vec<NodeReport>,
    /// Datagrams and bytes sent since the start.
    #[serde(rename = "said")]
    pub sent: (u64, u64),
    /// Datagrams and bytes accepted since the start.
    #[serde(rename = "taken")]
    pub received: (u64, u64),
    /// Number of datagrams not sent because of the limit on bytes per second.
    #[serde(rename = "held_back")]
    pub rate_limited: u64,
    /// Number of discarded datagrams, by reason.
    #[serde(rename = "passed")]
    pub discarded: BTreeMap<String, u64>,
}

impl fmt::Display for PeerStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let isolated = self.reachable_directors.len() <= 1 && self.director_count > 1;
        writeln!(
            f,
            "director {} of {}, hears {:?}",
            self.director_index, self.director_count, self.reachable_directors
        )?;
        if isolated {
            writeln!(f, "HEARS NOTHING: only what is surely its own is used")?;
        }
        writeln!(f, "turns at cold nodes {:?} of {}", self.slow_start_turns, self.director_count * 2)?;
        if let Some((limit, fleet_limit)) = self.retry_limit {
            writeln!(f, "further SETUPs at one node {limit} of {fleet_limit}")?;
        }
        for (node, sources) in &self.suspected_nodes {
            writeln!(f, "tried last {node}, on the word of {sources:?}")?;
        }
        for report in &self.health_reports {
            let NodeReport { node, source, health, setups, age_ms } = report;
            writeln!(f, "node {node:016x} {health} by {source}, {setups} SETUPs, {age_ms} ms ago")?;
        }
        writeln!(
            f,
            "said {} datagrams, {} bytes; {} held back",
            self.sent.0, self.sent.1, self.rate_limited
        )?;
        writeln!(f, "taken {} datagrams, {} bytes", self.received.0, self.received.1)?;
        for (reason, count) in &self.discarded {
            writeln!(f, "passed over {count}: {reason}")?;
        }
        Ok(())
    }
}
