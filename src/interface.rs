//! What a director is told at start and what it writes its decisions to.

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Group, Model, Node, Rung, Sess, SetupNo, Ticket, Title, Zone};
use crate::time::{Instant, Span};

/// Takes the decisions of a round, in the order in which they are made.
pub trait Writer {
    /// Asks a node to start the session; the SETUP is given up at `until`.
    fn setup(&mut self, sess: Sess, node: Node, until: Instant);
    /// Sets the session's rung, before its SETUP or while it plays.
    fn rung(&mut self, sess: Sess, rung: Rung);
    /// Busy reply: final, and harmless to ask again, where told so not before `retry_after`.
    fn busy(&mut self, sess: Sess, retry_after: Option<Span>);
    /// Final answer that says nothing of whether a SETUP ran.
    fn tear_down(&mut self, sess: Sess);
    fn cancel(&mut self, sess: Sess, setup: SetupNo);
    fn probe(&mut self, node: Node);
    fn wake(&mut self, ticket: Ticket, after: Span);
    /// Subscribes to changes of the list of media nodes, or no longer.
    fn follow_list(&mut self, on: bool);

    // No decision asks for these yet; a writer that can't do one leaves it out.

    /// Asks for the whole list once.
    fn fetch_list(&mut self) {}
    /// Ends a session that plays; its viewer comes back to this director after a short gap.
    fn send_back(&mut self, _sess: Sess) {}
    /// Closes idle connections to a node.
    fn close(&mut self, _node: Node) {}
    /// A short message to one director, by its number, or to all.
    fn tell(&mut self, _director: Option<u16>, _message: &[u8]) {}
    /// A line for the log.
    fn log(&mut self, _line: &str) {}
}

/// What a second SETUP may do once the first may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    /// No harm at any node.
    Safe,
    /// No harm within the reach and the repeat window.
    Dedup,
    /// Never.
    Fragile,
}

/// How far from its first node a dedup session may be set up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Anywhere,
    SameZone,
    SameCell,
}

#[derive(Clone, Debug)]
pub struct ServiceGroup {
    pub start_target: Span,
    pub utility: f64,
    pub care: Care,
    pub reach: Reach,
    pub repeat_window: Span,
    pub live: bool,
    /// Its rates over those of the ladder.
    pub scale: f64,
    pub floor: Rung,
    pub top: Rung,
    /// Sessions of one title that a director may hold; 0 for no cap.
    pub seats: usize,
}

/// A figure that a media node reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Streams that run or are set up.
    Streams,
    /// What is asked of the link over what it gives.
    Link,
    /// The same for the uplink of the rack.
    Uplink,
    /// Any other.
    Other,
}

/// The ration of SETUPs beyond a session's first.
#[derive(Clone, Copy, Debug)]
pub struct Ration {
    pub free: f64,
    pub per_session: f64,
    pub span: Span,
}

/// What is read when a director starts.
#[derive(Clone, Debug)]
pub struct Headend {
    pub seed: u64,
    pub zone: Zone,
    /// Our number among the directors, from 0.
    pub me: usize,
    pub directors: usize,
    pub groups: Vec<ServiceGroup>,
    /// kB a second and what it earns, for each rung.
    pub ladder: Vec<(f64, f64)>,
    /// Streams at most, for each kind of machine.
    pub places: Vec<f64>,
    pub cells: u16,
    pub racks: u16,
    /// kB a second for each unit of a node's weight.
    pub link_unit: f64,
    /// kB a second of a rack's uplink, on average.
    pub uplink: f64,
    /// What a further viewer of a live stream adds, as a part of its rate.
    pub join: f64,
    /// The part of the operators' goal that goes by the worst-served service group.
    pub worst_group: f64,
    /// A node says that it is full while so many times its link is asked for; 0 where it never does for its link.
    pub guard: f64,
    /// How late delivered shares are told.
    pub notice: Span,
    pub gauges: Vec<Gauge>,
    /// Reports come only when probed for.
    pub probe_only: bool,
    pub may_probe: bool,
    /// What one probe a session costs, in parts of all utility.
    pub probe_price: f64,
    pub may_cancel: bool,
    /// The longest time a viewer can be asked to stay away; none where it can't be told.
    pub retry_after: Option<Span>,
    pub setups_per_session: usize,
    pub ration: Option<Ration>,
    /// A node that has just started begins at this part of its pace,
    pub cold_from: f64,
    /// rising to all of it over this time.
    pub warm_after: Span,
    /// It falls over at this multiple of its pace
    pub fall_multiple: f64,
    /// for this long.
    pub fall_span: Span,
    /// Where the list must be asked for: how soon again at the latest.
    pub ask_list_within: Option<Span>,
}

/// What the list tells of a media node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    pub zone: Zone,
    pub model: Model,
    pub cell: Cell,
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<Instant>,
}

/// What a viewer wants.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Viewing {
    pub group: Group,
    pub title: Title,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// First of the cells in a row that hold the title, and how many.
    pub home: Cell,
    pub copies: u16,
    /// Until the setup timeout of this try.
    pub patience: Span,
}

/// How a SETUP, or the session that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Played,
    /// Turned away unseen.
    Full,
    /// No connection: it never ran.
    Unreachable,
    /// Never sent.
    Unsent,
    /// The node answered with a fault; it may have run.
    Fault,
    /// No answer in time; it may run.
    Silent,
    /// The connection was lost; it may have run.
    Lost,
    Cancelled,
}
