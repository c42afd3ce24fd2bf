//! What passed the stand-ins' sockets in a trial, and what was done to the processes. All times are in
//! seconds since the start of the trial.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::plan::RetrySafety;

/// A director's answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session stands; whether its description is the one that a node gave for it.
    Started { genuine: bool },
    /// The request was refused or failed, with this cause. After `Started`: the session is over.
    Finished { cause: u16 },
    /// The line could not be parsed.
    Malformed,
}

/// How a viewer stopped waiting before it had an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It sent a release.
    Released,
    /// It closed or reset its connection.
    Closed,
}

/// One sending of a request on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending {
    pub connection: u64,
    /// When its last byte was written.
    pub written_at: f64,
}

/// A viewer's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub director: usize,
    pub retry_safety: RetrySafety,
    /// How long the viewer waits for an answer, in seconds.
    pub timeout: f64,
    pub sendings: Vec<Sending>,
    pub answers: Vec<(f64, Answer)>,
    pub departed: Option<(f64, Departure)>,
    /// When the viewer ended the playing session; the last time if it had to say so again.
    pub ended_by_viewer: Option<f64>,
    /// The connection attempt of a second sending was refused.
    pub resend_refused: bool,
}

/// A viewer's connection.
#[derive(Clone, Debug)]
pub struct Connection {
    pub director: usize,
    pub opened_at: f64,
    /// When the viewer read the end of the connection.
    pub ended_at: Option<f64>,
}

/// How a SETUP ended at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered that the session stands.
    Started,
    /// The node answered with a release of this cause.
    Refused(u16),
    /// The director gave it up, by a release or by closing the connection.
    GivenUp,
    /// The node closed the connection, or sent something malformed.
    Broken,
}

/// A SETUP at a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub tag: String,
    pub node: String,
    pub director: usize,
    pub arrived_at: f64,
    pub end: Option<(f64, AttemptEnd)>,
}

/// A session that stands at a node.
#[derive(Clone, Debug)]
pub struct NodeSession {
    pub node: String,
    pub started_at: f64,
    /// When it ended at the node, and whether the director ended it.
    pub ended: Option<(f64, bool)>,
}

/// A node that drains or is removed, as one director is told.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    pub director: usize,
    pub node: String,
    /// When the director counts as told, by the protocol's terms or because it has been told.
    pub told_at: f64,
}

/// A time in which a node could not be reached.
#[derive(Clone, Debug)]
pub struct CutOff {
    pub node: String,
    pub from: f64,
    pub until: f64,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    Exited(i32),
    Signalled(i32),
}

/// One process of a director.
#[derive(Clone, Debug, Default)]
pub struct Process {
    pub director: usize,
    pub started_at: f64,
    pub ready_at: Option<f64>,
    pub terminated_at: Option<f64>,
    pub killed_at: Option<f64>,
    pub ended: Option<(f64, ProcessEnd)>,
    pub max_memory_mb: f64,
    pub max_descriptors: usize,
    pub panicked: bool,
}

/// A connection of a client that sends what can't be used.
#[derive(Clone, Debug)]
pub struct UselessConnection {
    pub director: usize,
    pub opened_at: f64,
    /// When the director answered or closed.
    pub answered_at: Option<f64>,
}

/// The whole record of a trial.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub requests: BTreeMap<String, Request>,
    pub connections: BTreeMap<u64, Connection>,
    pub attempts: Vec<Attempt>,
    pub node_sessions: BTreeMap<String, Vec<NodeSession>>,
    pub withdrawals: Vec<Withdrawal>,
    pub cut_offs: Vec<CutOff>,
    pub processes: Vec<Process>,
    pub useless_connections: Vec<UselessConnection>,
    /// How often each kind of fault took place.
    pub faults: BTreeMap<&'static str, u64>,
    pub ended_at: f64,
}

/// The record that all stand-ins of a running trial share.
#[derive(Clone)]
pub struct SharedRecord {
    started_at: Instant,
    record: Arc<Mutex<Record>>,
}

impl SharedRecord {
    pub fn start() -> SharedRecord {
        SharedRecord { started_at: Instant::now(), record: Arc::default() }
    }

    /// Returns the time since the start of the trial in seconds.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a fault that has taken place.
    pub fn count(&self, fault: &'static str) {
        *self.lock().faults.entry(fault).or_default() += 1;
    }
}
