//! The receiving half of a connection: splits what is received into lines.
//!
//! Memory is bounded for any number of connections, however long their lines are and however slowly they send. A
//! connection holds a small buffer of its own. For a longer line it needs room in the [`ReceiveBudget`], which all
//! connections of a kind share; a complete line is handed over once its bytes are free there. Room is given in the
//! order of asking. A connection that waits for it is not read, so that flow control slows its sender.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use ashglade_platform::LineDecoder;
use ashglade_platform::line_decoder::MAX_LINE_BYTES;
use bytes::{BufMut, Bytes, BytesMut};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Decoder;
use tokio_util::sync::PollSemaphore;

use crate::connection::EndReason;

/// Maximum number of bytes that a connection holds without a reservation.
const SMALL_BUFFER_BYTES: usize = 6144;
/// Number of buffered bytes below which what has arrived is read before the next line is handed over.
const READ_AHEAD_BYTES: usize = 4096;
/// Number of bytes of a buffer that has room for the longest line and its line feed.
const LARGE_BUFFER_BYTES: usize = MAX_LINE_BYTES + 1;
/// Memory that a received message needs beside its text, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// The memory that received lines may hold together. Short and long lines have a part each, so that the usual short
/// ones don't wait behind long ones.
#[derive(Clone)]
pub(crate) struct ReceiveBudget {
    /// For complete lines, until they have been processed.
    short_lines: LineBudget,
    long_lines: LineBudget,
    /// Numbers of large buffers.
    free_large_buffers: Arc<Semaphore>,
}

/// The bytes that complete lines may hold together.
#[derive(Clone)]
struct LineBudget {
    free_bytes: Arc<Semaphore>,
    max_bytes: usize,
}

impl LineBudget {
    fn new(max_bytes: usize) -> LineBudget {
        LineBudget { free_bytes: Arc::new(Semaphore::new(max_bytes)), max_bytes }
    }

    fn held_bytes(&self) -> usize {
        self.max_bytes - self.free_bytes.available_permits()
    }

    /// Returns the number of bytes to reserve for a line of this length.
    fn cost_of(&self, line_bytes: usize) -> u32 {
        (line_bytes + MESSAGE_OVERHEAD_BYTES).min(self.max_bytes) as u32
    }
}

impl ReceiveBudget {
    /// Creates a budget of `max_bytes` for complete lines, and of `large_buffer_bytes` for connections that receive
    /// lines longer than their own buffer.
    pub fn new(max_bytes: usize, large_buffer_bytes: usize) -> ReceiveBudget {
        let large_buffers = (large_buffer_bytes / LARGE_BUFFER_BYTES).max(1);
        ReceiveBudget {
            short_lines: LineBudget::new(max_bytes / 2),
            long_lines: LineBudget::new(max_bytes / 2),
            free_large_buffers: Arc::new(Semaphore::new(large_buffers)),
        }
    }

    /// Returns the number of bytes that complete lines hold.
    pub fn held_bytes(&self) -> usize {
        self.short_lines.held_bytes() + self.long_lines.held_bytes()
    }
}

/// A complete line.
pub(crate) struct ReceivedLine {
    /// The line without its line feed.
    pub text: Bytes,
    /// Holds the bytes of the line until it has been processed.
    pub reservation: OwnedSemaphorePermit,
    /// The peer has closed its sending half, maybe behind further lines.
    pub peer_closed: bool,
}

/// Receives the lines of one connection.
pub(crate) struct LineReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    decoder: LineDecoder,
    budget: ReceiveBudget,
    free_short_bytes: PollSemaphore,
    free_long_bytes: PollSemaphore,
    free_large_buffers: PollSemaphore,
    /// Held while the buffer is a large one.
    large_buffer: Option<OwnedSemaphorePermit>,
    /// The reservation of the next line.
    reservation: Option<OwnedSemaphorePermit>,
    /// The peer's close has been read, or is known to follow what has not been read.
    peer_closed: bool,
    /// All data of the peer has been read.
    at_end: bool,
    /// Time within which a line that has begun must be complete.
    line_timeout: Duration,
    line_deadline: Option<Instant>,
}

impl LineReader {
    /// Creates the reader of a connection on which a line that has begun must be complete within `line_timeout`.
    pub fn new(half: OwnedReadHalf, line_timeout: Duration, budget: ReceiveBudget) -> LineReader {
        LineReader {
            half,
            buffer: BytesMut::new(),
            decoder: LineDecoder::default(),
            free_short_bytes: PollSemaphore::new(budget.short_lines.free_bytes.clone()),
            free_long_bytes: PollSemaphore::new(budget.long_lines.free_bytes.clone()),
            free_large_buffers: PollSemaphore::new(budget.free_large_buffers.clone()),
            large_buffer: None,
            budget,
            reservation: None,
            peer_closed: false,
            at_end: false,
            line_timeout,
            line_deadline: None,
        }
    }

    /// Returns whether all data up to the peer's close has been read. A socket that is closed earlier is reset.
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Returns the number of bytes that the connection may hold at present.
    fn buffer_bytes(&self) -> usize {
        if self.large_buffer.is_some() { LARGE_BUFFER_BYTES } else { SMALL_BUFFER_BYTES }
    }

    /// Returns the next line. A line that has begun must be complete within the line timeout, however many reads
    /// it takes; the time in which it waits for room doesn't count. Cancel-safe.
    pub async fn next_line(&mut self) -> Result<ReceivedLine, EndReason> {
        loop {
            self.read_available();
            let found = self.decoder.find_line(&self.buffer).map_err(|_| EndReason::ProtocolError)?;
            let Some(line_bytes) = found else {
                if self.at_end {
                    return Err(EndReason::PeerClosed);
                }
                self.receive_more().await?;
                continue;
            };
            self.line_deadline = None;
            self.reserve(line_bytes).await?;
            if let Some(line) = self.take_line()? {
                return Ok(line);
            }
        }
    }

    /// Waits for further data of a line that is not complete, or for the first data of the next one.
    async fn receive_more(&mut self) -> Result<(), EndReason> {
        if self.buffer.is_empty() {
            // An idle connection holds no buffer: one is allocated once data has arrived.
            self.buffer = BytesMut::new();
            self.half.readable().await.map_err(|_| EndReason::PeerClosed)?;
            return self.read_chunk().await;
        }
        if self.buffer.len() >= self.buffer_bytes() {
            return self.enlarge_buffer().await;
        }
        let deadline = *self.line_deadline.get_or_insert_with(|| Instant::now() + self.line_timeout);
        timeout_at(deadline, self.read_chunk()).await.unwrap_or(Err(EndReason::ProtocolError))
    }

    /// Reads as much as the buffer may hold.
    async fn read_chunk(&mut self) -> Result<(), EndReason> {
        let room = self.buffer_bytes() - self.buffer.len();
        self.buffer.reserve(room);
        let mut limited = (&mut self.half).take(room as u64);
        match limited.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => {
                self.at_end = true;
                Err(EndReason::PeerClosed)
            }
            Ok(_) => Ok(()),
        }
    }

    /// Waits until the connection may have a large buffer. The sender is not read meanwhile, and the deadline of its
    /// line is put off by as long.
    async fn enlarge_buffer(&mut self) -> Result<(), EndReason> {
        let time_left = self.line_deadline.take().map(|deadline| deadline - Instant::now());
        let free = &mut self.free_large_buffers;
        self.large_buffer = poll_fn(|context| free.poll_acquire(context)).await;
        self.line_deadline = time_left.map(|time_left| Instant::now() + time_left);
        self.large_buffer.as_ref().map(|_| ()).ok_or(EndReason::LocalClose)
    }

    /// Reserves the bytes of the next line, which keeps its place among those that wait if this is cancelled.
    async fn reserve(&mut self, line_bytes: usize) -> Result<(), EndReason> {
        if self.reservation.is_none() {
            let (budget, free_bytes) = if line_bytes > SMALL_BUFFER_BYTES {
                (&self.budget.long_lines, &mut self.free_long_bytes)
            } else {
                (&self.budget.short_lines, &mut self.free_short_bytes)
            };
            let cost = budget.cost_of(line_bytes);
            self.reservation = poll_fn(|context| free_bytes.poll_acquire_many(context, cost)).await;
        }
        self.reservation.as_ref().map(|_| ()).ok_or(EndReason::LocalClose)
    }

    /// Splits the next line off the buffer, and looks whether the peer has closed meanwhile.
    fn take_line(&mut self) -> Result<Option<ReceivedLine>, EndReason> {
        let line = self.decoder.decode(&mut self.buffer).map_err(|_| EndReason::ProtocolError)?;
        if self.buffer.len() <= SMALL_BUFFER_BYTES && self.large_buffer.take().is_some() {
            // What follows the long line is moved, so that nothing keeps its memory.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        let (Some(text), Some(reservation)) = (line, self.reservation.take()) else { return Ok(None) };
        self.read_available();
        self.peer_closed = self.peer_closed || is_read_closed(self.half.as_ref());
        Ok(Some(ReceivedLine { text, reservation, peer_closed: self.peer_closed }))
    }

    /// Reads data that has already arrived, as far as it fits into a buffer that is not empty, so that a close
    /// right behind the buffered lines is known before the lines are processed.
    fn read_available(&mut self) {
        while !self.at_end && !self.buffer.is_empty() && self.buffer.len() < READ_AHEAD_BYTES {
            let room = self.buffer_bytes() - self.buffer.len();
            self.buffer.reserve(room);
            match self.half.try_read_buf(&mut (&mut self.buffer).limit(room)) {
                Ok(0) => (self.at_end, self.peer_closed) = (true, true),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => (self.at_end, self.peer_closed) = (true, true),
            }
        }
    }

    /// Returns whether no data has arrived that was not returned as a line.
    pub fn is_idle(&mut self) -> bool {
        if self.buffer.is_empty() {
            self.buffer.reserve(SMALL_BUFFER_BYTES);
            // A close by the peer is reported by the next read.
            let _ = self.half.try_read_buf(&mut self.buffer);
        }
        self.buffer.is_empty()
    }

    /// Reads and discards data until the peer closes too.
    pub async fn discard_until_close(&mut self) {
        self.buffer.clear();
        self.buffer.reserve(SMALL_BUFFER_BYTES);
        while self.half.read_buf(&mut self.buffer).await.is_ok_and(|count| count > 0) {
            self.buffer.clear();
        }
    }
}

/// Returns whether the peer's close has arrived, maybe behind data that has not been read. The runtime learns of it
/// later, so the socket itself is asked.
fn is_read_closed(stream: &TcpStream) -> bool {
    let mut sockets = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut sockets, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}
