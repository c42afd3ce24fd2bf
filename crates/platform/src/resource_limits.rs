//! Limits on state that other parties can make grow. None of them limits the fleet: lists of directors and of
//! media nodes may have any length. Limits on per-session state follow the memory limit, as each session has
//! at most one entry of each kind. Memory is allocated as it is needed, not in advance.
//!
//! Messages may be 16 KiB long, a hundred times their usual length, so what holds messages is limited in bytes
//! as well: at most three quarters of the memory limit in all. Short lines that are received in part come on top: at
//! most 6 KiB for each connection, whose number the limit on descriptors bounds.

use crate::line_decoder::MAX_LINE_BYTES;

/// Number of sessions for each MB of memory.
const SESSIONS_PER_MB: f64 = 100.0;
/// One viewer connection may have this fraction (one in four) of all sessions pending, so that no connection
/// can take all the room from the others.
const MAX_PENDING_DIVISOR: usize = 4;
/// Lower bound of the limits, however little memory there is: a front that carries this many viewers on one
/// connection is served as far as there is room.
const MIN_LIMIT: usize = 1024;
/// Bytes in one MB of the memory limit.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Parts of the memory limit that may be used for the texts of requests without an answer, for messages that
/// have been received from viewers or from nodes and not processed, for long lines that are received in part, and
/// for lines that are queued in each direction.
const REQUEST_BYTES_DIVISOR: f64 = 8.0;
const RECEIVED_BYTES_DIVISOR: f64 = 64.0;
const NODE_RECEIVED_BYTES_DIVISOR: f64 = 32.0;
const LARGE_BUFFER_BYTES_DIVISOR: f64 = 4.0;
const LINE_BYTES_DIVISOR: f64 = 8.0;
/// Memory that a queued line needs beside its text, in bytes.
const QUEUED_LINE_OVERHEAD_BYTES: usize = 128;
/// Upper bound of the bytes of received messages, however much memory there is: what is read earlier than it can be
/// processed only waits longer.
const MAX_RECEIVED_BYTES: usize = 512 * 1024;
/// Lower bound of the limits on bytes, however little memory there is: a few messages of any length.
const MIN_BYTES: usize = 8 * MAX_LINE_BYTES;

/// Returns the memory that a queued line of this length needs, in bytes.
pub fn queued_line_bytes(length: usize) -> usize {
    length + QUEUED_LINE_OVERHEAD_BYTES
}

/// Maximum numbers of entries that a director holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Sessions, including queued SETUP requests.
    pub sessions: usize,
    /// Unanswered SETUP requests on one viewer connection.
    pub pending_setups: usize,
    /// Entries of each of these kinds: release notices owed to clients, lines queued for one node, releases
    /// that a node has not confirmed, and cancelled SETUPs that the node may still start. A session has at
    /// most one of them at a time.
    pub outstanding: usize,
    /// Lines queued on one connection: an answer or a release for each session, and as many lines that belong
    /// to no session. All of them may be queued at once, for example when a zone is lost.
    pub queued_lines: usize,
    /// Bytes of the texts of SETUP requests that have no answer.
    pub request_bytes: usize,
    /// Bytes of messages of viewers that have been received and not processed.
    pub received_bytes: usize,
    /// The same for messages of nodes.
    pub node_received_bytes: usize,
    /// Bytes of the buffers of viewers' connections that receive a long line.
    pub large_buffer_bytes: usize,
    /// Bytes of the lines queued for viewers, and as many for nodes.
    pub line_bytes: usize,
}

impl ResourceLimits {
    /// Derives the limits from the memory limit in MB.
    pub fn of(memory_mb: f64) -> ResourceLimits {
        let sessions = (memory_mb * SESSIONS_PER_MB) as usize;
        let outstanding = sessions.max(MIN_LIMIT);
        let bytes = |divisor: f64| ((memory_mb * BYTES_PER_MB / divisor) as usize).max(MIN_BYTES);
        ResourceLimits {
            sessions,
            pending_setups: (sessions / MAX_PENDING_DIVISOR).max(MIN_LIMIT),
            outstanding,
            queued_lines: outstanding * 2,
            request_bytes: bytes(REQUEST_BYTES_DIVISOR),
            received_bytes: bytes(RECEIVED_BYTES_DIVISOR).min(MAX_RECEIVED_BYTES),
            node_received_bytes: bytes(NODE_RECEIVED_BYTES_DIVISOR),
            large_buffer_bytes: bytes(LARGE_BUFFER_BYTES_DIVISOR),
            line_bytes: bytes(LINE_BYTES_DIVISOR),
        }
    }
}
