//! The traffic record: JSON lines, of which the first holds the configuration of the run and each further one
//! an event.

use serde::{Deserialize, Serialize};

/// Whether a session may be set up again once an earlier SETUP may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Care {
    /// It may be set up again anywhere and at any time.
    Safe,
    /// It may be set up again within the retry scope and the retry window, where nodes discard duplicates.
    Dedup,
    /// It must not be set up again.
    Fragile,
}

/// The nodes at which a session of a [`Care::Dedup`] group may be set up again, relative to its first node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    Anywhere,
    SameZone,
    SameCell,
}

/// Limits of a service group. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    /// Value of one session that starts within the start target.
    pub utility: f64,
    /// Time from the request to the 200 response that counts as a start in time.
    pub start_target: f64,
    pub care: Care,
    pub reach: Reach,
    /// Time after the first SETUP within which a [`Care::Dedup`] session may be set up again.
    pub repeat_window: f64,
    /// Lowest rung that a session may get.
    pub floor: u8,
    /// Maximum number of sessions of one title at one director; 0 for no maximum.
    pub seats: usize,
}

/// A media node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    /// Number of sessions that it can hold.
    pub places: f64,
    pub zone: u8,
    pub cell: u16,
}

/// What the rules are checked against. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    pub groups: Vec<Group>,
    pub nodes: Vec<Node>,
    /// Time after an update of a director's node list in which SETUPs may still reach a node listed as not
    /// ready.
    pub drain_grace: f64,
    /// Fraction of the full session rate that a node can take when its process has just started.
    pub cold_from: f64,
    /// Time after its start at which a node can take the full session rate.
    pub warm_after: f64,
    /// Multiple of its current session rate at which a cold node fails.
    pub fall_multiple: f64,
    /// Sliding window over which the session rate of a cold node is measured.
    pub fall_span: f64,
    /// Budget of further SETUPs for each director: the number always allowed, the number allowed for each
    /// session requested, and the sliding window for both.
    pub ration: Option<(f64, f64, f64)>,
    /// Tolerance when times recorded at two sockets of one machine are compared, as reading is not instant.
    pub slack: f64,
    /// Limits on all directors together; `None` if they share no state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<Shared>,
}

/// Limits on all directors together. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shared {
    /// Duration of a permit's lease.
    pub lease: f64,
    /// Maximum relative drift of a director's clock.
    pub drift: f64,
    /// Time that must pass between two holders of a permit.
    pub rest: f64,
    /// Maximum time from a director's decision until the node has received the SETUP.
    pub under_way: f64,
    /// Longest time for which the machine that ran all processes was seen to stand still.
    pub stalled: f64,
    /// For each home, by index: the directors that vote on its permits.
    pub councils: Vec<Vec<u16>>,
    /// Limit on further SETUPs at one node; `None` for no limit.
    pub repeats: Option<Repeats>,
}

/// A limit on the further SETUPs at one node, which are those after the first of their session.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Repeats {
    /// Maximum number at one node, from all directors together, within the window.
    pub at_node: usize,
    /// Number that each director may send to one node within the window without a permit.
    pub kept: usize,
    /// Sliding window, in milliseconds.
    pub span: f64,
    /// Permit pool from which directors lease the right to send more.
    pub pool: u8,
}

/// An event, with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sight {
    /// Milliseconds since the Unix epoch.
    pub at: f64,
    #[serde(flatten)]
    pub what: What,
}

/// What happened. `viewer` and `again` (the attempt, 0 for the first) identify one request; both are part of
/// the URL's query, which the director passes on from the viewer to the node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A viewer sent its session request: a SETUP, or the request for a multivariant playlist.
    /// `setup_timeout` is in milliseconds.
    Asked { viewer: u64, again: u32, director: u16, group: String, title: String, setup_timeout: f64 },
    /// A viewer received the response to its request.
    Answered { viewer: u64, again: u32, status: u16 },
    /// A viewer closed its connection without a response; `patient` if its setup timeout had passed.
    GaveUp { viewer: u64, again: u32, patient: bool },
    /// The director closed the viewer's connection without a response.
    Cut { viewer: u64, again: u32 },
    /// A node received the first SETUP of a session. `connection` is unique at the node to this SETUP, also
    /// where the network connection is used again.
    Setup { node: String, connection: u64, viewer: u64, again: u32, title: String, rung: u8 },
    /// A node sent the response to the SETUP.
    SetupAnswered { node: String, connection: u64, status: u16 },
    /// The session on the connection was torn down, or the connection was closed.
    Closed { node: String, connection: u64 },
    /// A session at a node changed its rung.
    Switched { node: String, connection: u64, rung: u8 },
    /// A node's process started.
    NodeStarted { node: String },
    /// A cold node failed as it was sent SETUPs too fast.
    NodeFell { node: String },
    /// A node list that names the node as ready or not was written to the file that the director reads.
    Listed { director: u16, node: String, ready: bool },
    /// A director's process was killed.
    DirectorKilled { director: u16 },
    /// A director's process started and listens.
    DirectorStarted { director: u16 },
    /// The relay between them saw a director close the connection with this outstanding SETUP. The node may
    /// notice only later, or never.
    Withdrawn { node: String, viewer: u64, again: u32 },
    /// The relay saw a director ask a voter for permits. `process` identifies the holder's process, `ask` its
    /// round of requests.
    RightsAsked { holder: u16, voter: u16, process: u64, ask: u64 },
    /// The relay saw a voter grant permits, each given by its pool and its number in the pool; `passed` if
    /// the relay delivered the grant.
    RightsGranted { passed: bool, voter: u16, holder: u16, process: u64, ask: u64, rights: Vec<(u8, u32)> },
    /// The relay saw a director release permits to a voter.
    RightsBack { holder: u16, voter: u16, process: u64, ask: u64, rights: Vec<(u8, u32)> },
    /// A director's process was stopped from `from` (milliseconds since the Unix epoch) until the time of the
    /// event.
    DirectorStood { director: u16, from: f64 },
}

/// An error in reading a traffic record.
#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("line {line}: {what}")]
    Malformed { line: usize, what: String },
    #[error("the traffic record is empty")]
    Empty,
}

/// A recorded run, with its events in the order of their times.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub plan: Plan,
    pub sights: Vec<Sight>,
}

impl Traffic {
    /// Parses a record. The events need not be in the order of their times.
    pub fn read(text: &str) -> Result<Traffic, Trouble> {
        let malformed = |line: usize, error: serde_json::Error| Trouble::Malformed {
            line: line + 1,
            what: error.to_string(),
        };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().ok_or(Trouble::Empty)?;
        let plan = serde_json::from_str(first).map_err(|error| malformed(0, error))?;
        let sights =
            lines.map(|(index, line)| serde_json::from_str(line).map_err(|error| malformed(index, error)));
        let mut sights: Vec<Sight> = sights.collect::<Result<_, _>>()?;
        sights.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Traffic { plan, sights })
    }
}
