//! What was seen, as JSON lines: the plan of the day first, then one sight a line.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Care {
    Safe,
    Dedup,
    Fragile,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    Anywhere,
    SameZone,
    SameCell,
}

/// A service group, as the rules go by it. Times in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    pub utility: f64,
    pub start_target: f64,
    pub care: Care,
    pub reach: Reach,
    pub repeat_window: f64,
    pub floor: u8,
    /// 0 for no cap.
    pub seats: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub places: f64,
    pub zone: u8,
    pub cell: u16,
}

/// The terms of a day. Times in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    pub groups: Vec<Group>,
    pub nodes: Vec<Node>,
    pub drain_grace: f64,
    pub cold_from: f64,
    pub warm_after: f64,
    pub fall_multiple: f64,
    pub fall_span: f64,
    /// Free ones, for each session taken, and the span.
    pub ration: Option<(f64, f64, f64)>,
    /// How far the clocks of two sockets on one machine may be apart: reading is not instant.
    pub slack: f64,
    /// Bounds over all directors together, where they share any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<Shared>,
}

/// What directors share, as its rules go by it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shared {
    pub lease: f64,
    pub drift: f64,
    /// What must pass between two holders of a right.
    pub rest: f64,
    /// What a holder may take from a decision to its SETUP at the node.
    pub under_way: f64,
    /// For how long the machine that all ran on stood still at a time, as far as was seen.
    pub stalled: f64,
    /// By home: who votes on its rights.
    pub councils: Vec<Vec<u16>>,
    /// Further SETUPs that one node is sent by all within the span, what each director keeps of them, and their pool.
    pub repeats: Option<Repeats>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Repeats {
    pub at_node: usize,
    pub kept: usize,
    pub span: f64,
    pub pool: u8,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sight {
    /// Milliseconds since 1970.
    pub at: f64,
    #[serde(flatten)]
    pub what: What,
}

/// `viewer` and `again` (0 for the first try) name one request; both go along in the URL's query, from the viewer
/// through the director to the node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A viewer wrote its SETUP.
    Asked {
        viewer: u64,
        again: u32,
        director: u16,
        group: String,
        title: String,
        setup_timeout: f64,
    },
    /// It read the answer.
    Answered {
        viewer: u64,
        again: u32,
        status: u16,
    },
    /// It closed without having read one; `patient` if its setup timeout had passed.
    GaveUp {
        viewer: u64,
        again: u32,
        patient: bool,
    },
    /// The director closed before answering.
    Cut {
        viewer: u64,
        again: u32,
    },
    /// A node read a SETUP on a connection, which is numbered anew each time.
    Setup {
        node: String,
        connection: u64,
        viewer: u64,
        again: u32,
        title: String,
        rung: u8,
    },
    /// It wrote the answer to the connection's SETUP.
    SetupAnswered {
        node: String,
        connection: u64,
        status: u16,
    },
    /// The session on the connection was torn down, or the connection was closed.
    Closed {
        node: String,
        connection: u64,
    },
    /// A playing session changed its rung.
    Switched {
        node: String,
        connection: u64,
        rung: u8,
    },
    /// A node's process started.
    NodeStarted {
        node: String,
    },
    /// A node was pushed over.
    NodeFell {
        node: String,
    },
    /// A list was put where a director reads it.
    Listed {
        director: u16,
        node: String,
        ready: bool,
    },
    DirectorKilled {
        director: u16,
    },
    DirectorStarted {
        director: u16,
    },
    /// A director's side of the connection on which this SETUP is out was closed, before its node could hear of it.
    Withdrawn {
        node: String,
        viewer: u64,
        again: u32,
    },
    /// A director asked a voter for rights, on the wire between them; its process and the number of the ask.
    RightsAsked {
        holder: u16,
        voter: u16,
        process: u64,
        ask: u64,
    },
    /// The voter granted these, by pool and number; `passed` if the wire carried it on.
    RightsGranted {
        passed: bool,
        voter: u16,
        holder: u16,
        process: u64,
        ask: u64,
        rights: Vec<(u8, u32)>,
    },
    /// The director said to the voter that it uses these no longer.
    RightsBack {
        holder: u16,
        voter: u16,
        process: u64,
        ask: u64,
        rights: Vec<(u8, u32)>,
    },
    /// A director's process stood still from then until now.
    DirectorStood {
        director: u16,
        from: f64,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("line {line}: {what}")]
    Malformed { line: usize, what: String },
    #[error("the record is empty")]
    Empty,
}

/// A day as it was seen, in the order of time.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub plan: Plan,
    pub sights: Vec<Sight>,
}

impl Traffic {
    pub fn read(text: &str) -> Result<Traffic, Trouble> {
        let bad =
            |line: usize, e: serde_json::Error| Trouble::Malformed { line: line + 1, what: e.to_string() };
        let mut lines = text.lines().enumerate();
        let (_, first) = lines.next().ok_or(Trouble::Empty)?;
        let plan = serde_json::from_str(first).map_err(|e| bad(0, e))?;
        let sights = lines.map(|(i, line)| serde_json::from_str(line).map_err(|e| bad(i, e)));
        let mut sights: Vec<Sight> = sights.collect::<Result<_, _>>()?;
        sights.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Traffic { plan, sights })
    }
}
