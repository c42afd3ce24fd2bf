//! The traffic record: JSON lines, of which the first holds the configuration of the run and each further one
//! an event.

use serde::{Deserialize, Serialize};

/// Whether a session may be set up again once an earlier SETUP may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// It may be set up again anywhere and at any time.
    Safe,
    /// It may be set up again within the retry scope and the retry window, where nodes discard duplicates.
    Dedup,
    /// It must not be set up again.
    Fragile,
}

/// The nodes at which a session of a [`RetrySafety::Dedup`] group may be set up again, relative to its first
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryScope {
    Anywhere,
    SameZone,
    SameCell,
}

/// Limits of a service group. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceGroup {
    pub name: String,
    /// Value of one session that starts within the start target.
    pub utility: f64,
    /// Time from the request to the 200 response that counts as a start in time.
    pub start_target: f64,
    #[serde(rename = "care")]
    pub retry_safety: RetrySafety,
    #[serde(rename = "reach")]
    pub retry_scope: RetryScope,
    /// Time after the first SETUP within which a [`RetrySafety::Dedup`] session may be set up again.
    #[serde(rename = "repeat_window")]
    pub retry_window: f64,
    /// Lowest rung that a session may get.
    #[serde(rename = "floor")]
    pub floor_rung: u8,
    /// Maximum number of sessions of one title at one director; 0 for no maximum.
    pub seats: usize,
}

/// A media node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MediaNode {
    pub name: String,
    /// Number of sessions that it can hold.
    #[serde(rename = "places")]
    pub max_sessions: f64,
    pub zone: u8,
    pub cell: u16,
}

/// What the rules are checked against. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RulesConfig {
    pub groups: Vec<ServiceGroup>,
    pub nodes: Vec<MediaNode>,
    /// Time after an update of a director's node list in which SETUPs may still reach a node listed as not
    /// ready.
    pub drain_grace: f64,
    /// Fraction of the full session rate that a node can take when its process has just started.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_fraction: f64,
    /// Time after its start at which a node can take the full session rate.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// Multiple of its current session rate at which a cold node fails.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Sliding window over which the session rate of a cold node is measured.
    #[serde(rename = "fall_span")]
    pub overload_window: f64,
    /// Budget of further SETUPs for each director: the number always allowed, the number allowed for each
    /// session requested, and the sliding window for both.
    #[serde(rename = "ration")]
    pub retry_budget: Option<(f64, f64, f64)>,
    /// Tolerance when times recorded at two sockets of one machine are compared, as reading is not instant.
    #[serde(rename = "slack")]
    pub timing_tolerance: f64,
    /// Limits on all directors together; `None` if they share no state.
    #[serde(rename = "shared", default, skip_serializing_if = "Option::is_none")]
    pub fleet_limits: Option<FleetLimits>,
}

/// Limits on all directors together. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Duration of a permit's lease.
    pub lease: f64,
    /// Maximum relative drift of a director's clock.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
    /// Time that must pass between two holders of a permit.
    #[serde(rename = "rest")]
    pub guard_interval: f64,
    /// Maximum time from a director's decision until the node has received the SETUP.
    #[serde(rename = "under_way")]
    pub max_send_delay: f64,
    /// Longest time for which the machine that ran all processes was seen to stand still.
    #[serde(rename = "stalled")]
    pub longest_stall: f64,
    /// For each home, by index: the directors that vote on its permits.
    #[serde(rename = "councils")]
    pub voters: Vec<Vec<u16>>,
    /// Limit on further SETUPs at one node; `None` for no limit.
    #[serde(rename = "repeats")]
    pub retry_limit: Option<RetryLimit>,
}

/// A limit on the further SETUPs at one node, which are those after the first of their session.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RetryLimit {
    /// Maximum number at one node, from all directors together, within the window.
    #[serde(rename = "at_node")]
    pub max_per_node: usize,
    /// Number that each director may send to one node within the window without a permit.
    #[serde(rename = "kept")]
    pub max_without_permit: usize,
    /// Sliding window, in milliseconds.
    #[serde(rename = "span")]
    pub window: f64,
    /// Permit pool from which directors lease the right to send more.
    pub pool: u8,
}

/// An event, with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrafficEvent {
    /// Milliseconds since the Unix epoch.
    pub at: f64,
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What happened. `viewer` and `attempt` (0 for the first) identify one request; both are part of the URL's
/// query, which the director passes on from the viewer to the node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A viewer sent its session request: a SETUP, or the request for a multivariant playlist.
    /// `setup_timeout` is in milliseconds.
    #[serde(rename = "asked")]
    RequestSent {
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
        director: u16,
        group: String,
        title: String,
        setup_timeout: f64,
    },
    /// A viewer received the response to its request.
    #[serde(rename = "answered")]
    ResponseReceived {
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
        status: u16,
    },
    /// A viewer closed its connection without a response; `timed_out` if its setup timeout had passed.
    #[serde(rename = "gave_up")]
    RequestAbandoned {
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
        #[serde(rename = "patient")]
        timed_out: bool,
    },
    /// The director closed the viewer's connection without a response.
    #[serde(rename = "cut")]
    ClosedWithoutResponse {
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
    },
    /// A node received the first SETUP of a session. `connection` is unique at the node to this SETUP, also
    /// where the network connection is used again.
    #[serde(rename = "setup")]
    SetupReceived {
        node: String,
        connection: u64,
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
        title: String,
        rung: u8,
    },
    /// A node sent the response to the SETUP.
    #[serde(rename = "setup_answered")]
    SetupResponseSent { node: String, connection: u64, status: u16 },
    /// The session on the connection was torn down, or the connection was closed.
    #[serde(rename = "closed")]
    SessionClosed { node: String, connection: u64 },
    /// A session at a node changed its rung.
    #[serde(rename = "switched")]
    RungChanged { node: String, connection: u64, rung: u8 },
    /// A node's process started.
    NodeStarted { node: String },
    /// A cold node failed as it was sent SETUPs too fast.
    #[serde(rename = "node_fell")]
    NodeOverloaded { node: String },
    /// A node list that names the node as ready or not was written to the file that the director reads.
    #[serde(rename = "listed")]
    NodeListed { director: u16, node: String, ready: bool },
    /// A director's process was killed.
    DirectorKilled { director: u16 },
    /// A director's process started and listens.
    DirectorStarted { director: u16 },
    /// The relay between them saw a director close the connection with this outstanding SETUP. The node may
    /// notice only later, or never.
    #[serde(rename = "withdrawn")]
    SetupCancelled {
        node: String,
        viewer: u64,
        #[serde(rename = "again")]
        attempt: u32,
    },
    /// The relay saw a director ask a voter for permits. `process_id` identifies the holder's process,
    /// `round` its round of requests.
    #[serde(rename = "rights_asked")]
    PermitsRequested {
        holder: u16,
        voter: u16,
        #[serde(rename = "process")]
        process_id: u64,
        #[serde(rename = "ask")]
        round: u64,
    },
    /// The relay saw a voter grant permits, each given by its pool and its number in the pool; `delivered` if
    /// the relay delivered the grant.
    #[serde(rename = "rights_granted")]
    PermitsGranted {
        #[serde(rename = "passed")]
        delivered: bool,
        voter: u16,
        holder: u16,
        #[serde(rename = "process")]
        process_id: u64,
        #[serde(rename = "ask")]
        round: u64,
        #[serde(rename = "rights")]
        permits: Vec<(u8, u32)>,
    },
    /// The relay saw a director release permits to a voter.
    #[serde(rename = "rights_back")]
    PermitsReleased {
        holder: u16,
        voter: u16,
        #[serde(rename = "process")]
        process_id: u64,
        #[serde(rename = "ask")]
        round: u64,
        #[serde(rename = "rights")]
        permits: Vec<(u8, u32)>,
    },
    /// A director's process was stopped from `from` (milliseconds since the Unix epoch) until the time of the
    /// event.
    #[serde(rename = "director_stood")]
    DirectorPaused { director: u16, from: f64 },
}

/// An error in reading a traffic record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    #[error("line {line}: {reason}")]
    Malformed { line: usize, reason: String },
    #[error("the traffic record is empty")]
    Empty,
}

/// A recorded run, with its events in the order of their times.
#[derive(Clone, Debug)]
pub struct TrafficRecord {
    pub config: RulesConfig,
    pub events: Vec<TrafficEvent>,
}

impl TrafficRecord {
    /// Parses a record. The events need not be in the order of their times.
    pub fn parse(text: &str) -> Result<TrafficRecord, RecordError> {
        let malformed = |line: usize, error: serde_json::Error| RecordError::Malformed {
            line: line + 1,
            reason: error.to_string(),
        };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().ok_or(RecordError::Empty)?;
        let config = serde_json::from_str(first).map_err(|error| malformed(0, error))?;
        let events =
            lines.map(|(index, line)| serde_json::from_str(line).map_err(|error| malformed(index, error)));
        let mut events: Vec<TrafficEvent> = events.collect::<Result<_, _>>()?;
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(TrafficRecord { config, events })
    }
}
