//! What goes into a round and what comes out of it. Fronts and shells know these words, never the module's insides.

use ashglade::ids::{CellId, GroupId, NodeId, Rung, SessionId, SetupNumber, TitleId};
use ashglade::interface::{AttemptOutcome, NodeInfo};
use ashglade::time::{Instant, Span};
use ashglade_admission::Turned;
use ashglade_discovery::List;
use serde::{Deserialize, Serialize};

/// What a viewer asks for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub group: GroupId,
    pub title: TitleId,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// First of the cells in a row that hold the title, and how many.
    pub home: CellId,
    pub copies: u16,
    /// From now, how long until the viewer gives up.
    pub setup_timeout: Span,
    /// By its place among the tenants of the settings; 0 for the others.
    #[serde(default)]
    pub tenant: usize,
    /// Whoever asks: the door is fair between clients.
    pub client: u64,
}

/// What a node tells of its load: link, uplink, streams, each where told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
    pub streams: Option<f64>,
}

/// A media node as a numbered event tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub node: NodeId,
    pub standing: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Standing {
    Ready(NodeInfo),
    Draining,
    /// What is held of it may go; it may come back, as a new one.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A whole box list, as it was read.
    List(List),
    /// What a numbered event tells of nodes: all of them, or those that changed. It is in force as it is told.
    Told {
        whole: bool,
        nodes: Vec<Told>,
    },
    /// A session that plays already is handed over; nobody is owed an answer. The node may be unknown here.
    UnderWay {
        sess: SessionId,
        want: Want,
        node: NodeId,
    },
    /// A viewer asks for a session. `sess` is new.
    Asked {
        sess: SessionId,
        want: Want,
    },
    /// The viewer gave up, ended the session or was lost.
    Left {
        sess: SessionId,
    },
    /// From here on a SETUP may have run: its first byte is about to be written.
    Written {
        sess: SessionId,
        setup: SetupNumber,
    },
    /// The node accepted the SETUP.
    Started {
        sess: SessionId,
        setup: SetupNumber,
        load: Option<Load>,
    },
    /// The SETUP came to nothing. Told exactly once for each SETUP that did not start.
    Ended {
        sess: SessionId,
        setup: SetupNumber,
        how: AttemptOutcome,
        load: Option<Load>,
    },
    /// The node doesn't hold the title, and set nothing up. Told in place of an ending.
    Missing {
        sess: SessionId,
        setup: SetupNumber,
        load: Option<Load>,
    },
    /// A session that played is over at its node.
    Over {
        sess: SessionId,
        how: AttemptOutcome,
    },
    /// The rung in force at the node, where a change of rung did not come about.
    Stays {
        sess: SessionId,
        rung: Rung,
    },
    /// The share of what was due that a playing session got since the last word of it.
    Flow {
        sess: SessionId,
        share: f64,
    },
    /// What failed at this node was not its end: its process is shown to be the one that it was.
    WentOn {
        node: NodeId,
    },
    /// The share of their rates that sessions at this node get, as the node itself tells it.
    Delivered {
        node: NodeId,
        share: f64,
    },
    Load {
        node: NodeId,
        load: Load,
    },
    /// A probe's answer, or none.
    Probed {
        probe: u64,
        load: Option<Load>,
    },
    /// Which turns at cold nodes are this director's, of so many in all.
    Turns {
        ours: Vec<usize>,
        of: usize,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        lapse: Option<Lapse>,
    },
    /// So many further SETUPs may go to one node within the span: this director's part of the fleet's bound.
    Repeats {
        most: usize,
        span: Span,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        lapse: Option<Lapse>,
    },
    /// Nodes that are tried last, by what other directors found.
    Doubted {
        nodes: Vec<NodeId>,
    },
    /// Takes nothing new from here on.
    Drain,
}

/// When a lease of what is shared is over, and how many of it are left then. A director that stood still must not go on
/// by what it held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapse {
    pub at: Instant,
    pub kept: usize,
}

/// Why a request is busy-replied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The module found no room for it within its attempts and budget.
    #[default]
    NoRoom,
    /// As many sessions are in hand as there may be.
    TooManySessions,
    Draining,
    /// The door did not let it in.
    Door(Turned),
}

/// The one answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Plays {
        rung: Rung,
    },
    Busy {
        retry_after: Option<Span>,
        #[serde(default)]
        why: Why,
    },
    TornDown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send this SETUP to the node and tell how it ended, by `until` or when it is withdrawn.
    Setup {
        sess: SessionId,
        setup: SetupNumber,
        node: NodeId,
        rung: Rung,
        until: Instant,
    },
    /// Give the SETUP up and tell how it ended; where `if_unsent`, only if not a byte of it was written.
    Withdraw {
        sess: SessionId,
        setup: SetupNumber,
        if_unsent: bool,
    },
    Answer {
        sess: SessionId,
        answer: Answer,
    },
    /// A playing session changes its rung.
    Rung {
        sess: SessionId,
        rung: Rung,
    },
    /// Tear the session down at its node, if it is there; nobody holds it here any longer.
    Release {
        sess: SessionId,
    },
    /// A playing session is sent back: over here and at its node, and its viewer comes again.
    SendBack {
        sess: SessionId,
    },
    Probe {
        probe: u64,
        node: NodeId,
    },
    /// A list was taken, with the generation now in force, or left out and why.
    Listed {
        generation: u64,
        refused: Option<String>,
    },
    /// Nothing is in hand any longer, and nothing new is taken.
    Drained,
}
