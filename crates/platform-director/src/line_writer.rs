//! The sending half of a connection: writes queued lines in order, several in one system call.

use std::collections::VecDeque;
use std::io::IoSlice;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, timeout_at};

use crate::command_queue::QueuedLine;
use crate::connection::EndReason;

/// Time without write progress after which a connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of lines per write.
const MAX_LINES_PER_WRITE: usize = 64;
/// Number of bytes from which on no further line is added to a write.
const MAX_BYTES_PER_WRITE: usize = 64 * 1024;

/// Writes the lines of one connection. The lines are not copied.
pub(crate) struct LineWriter {
    half: OwnedWriteHalf,
    /// Lines that are not completely written.
    lines: VecDeque<QueuedLine>,
    line_bytes: usize,
    /// Number of bytes of the first line that are written.
    written_of_first: usize,
    /// When the next bytes must be written.
    write_deadline: Instant,
    last_write_at: Option<Instant>,
}

impl LineWriter {
    pub fn new(half: OwnedWriteHalf) -> LineWriter {
        LineWriter {
            half,
            lines: VecDeque::new(),
            line_bytes: 0,
            written_of_first: 0,
            write_deadline: Instant::now(),
            last_write_at: None,
        }
    }

    /// Returns whether a line is not completely written.
    pub fn has_unsent(&self) -> bool {
        !self.lines.is_empty()
    }

    /// Returns whether another line may be queued.
    pub fn has_room(&self) -> bool {
        self.lines.len() < MAX_LINES_PER_WRITE && self.line_bytes < MAX_BYTES_PER_WRITE
    }

    /// Queues a line behind the others.
    pub fn queue(&mut self, line: QueuedLine) {
        if self.lines.is_empty() {
            self.write_deadline = Instant::now() + WRITE_TIMEOUT;
        }
        self.line_bytes += line.as_bytes().len();
        self.lines.push_back(line);
    }

    /// Writes once, possibly a part of what is queued. Cancel-safe.
    pub async fn write_some(&mut self) -> Result<(), EndReason> {
        let lines = self.lines.iter().map(|line| &line.as_bytes()[..]);
        let mut slices: Vec<IoSlice> = lines.map(IoSlice::new).collect();
        if let Some(first) = slices.first_mut() {
            first.advance(self.written_of_first);
        }
        let write = timeout_at(self.write_deadline, self.half.write_vectored(&slices)).await;
        let count = write.map_err(|_| EndReason::WriteTimeout)?.map_err(|_| EndReason::PeerClosed)?;
        self.mark_written(count);
        let now = Instant::now();
        (self.write_deadline, self.last_write_at) = (now + WRITE_TIMEOUT, Some(now));
        Ok(())
    }

    /// Removes the lines that are completely written after further `count` bytes.
    fn mark_written(&mut self, count: usize) {
        self.written_of_first += count;
        while let Some(first) = self.lines.front() {
            let length = first.as_bytes().len();
            if self.written_of_first < length {
                return;
            }
            self.written_of_first -= length;
            self.line_bytes -= length;
            self.lines.pop_front();
        }
    }

    /// Returns whether something was written within this time, so that it may still be in transit.
    pub fn has_written_within(&self, time: Duration) -> bool {
        self.last_write_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Shuts down the sending half: the peer reads an end of the stream behind what was written.
    pub async fn shut_down(&mut self) {
        let _ = self.half.shutdown().await;
    }

    /// Returns the lines that are not completely written, and the sending half if it can still be used: after a
    /// part of a line, the peer could not parse anything further.
    pub fn into_unwritten(self) -> (Vec<Bytes>, Option<OwnedWriteHalf>) {
        let at_line_boundary = self.written_of_first == 0;
        let lines = self.lines.into_iter().map(QueuedLine::into_bytes).collect();
        (lines, at_line_boundary.then_some(self.half))
    }
}
