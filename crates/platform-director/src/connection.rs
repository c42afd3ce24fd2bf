//! One connection to a viewer or a media node: receives and sends lines through bounded queues, and reports
//! how the connection ended.
//!
//! Three races are handled here:
//!
//! - The peer closes while a line for it is on its way. Received data is read before anything is written, and
//!   unwritten lines are reported when the connection ends, so that the caller can drop them or send them
//!   elsewhere.
//! - This side closes while a line of the peer is on its way. An idle connection is closed only if nothing
//!   has been received in the meantime.
//! - A socket that is closed with unread data is reset, and the peer may lose data that was written just
//!   before. This side therefore shuts down its sending half first, and for a short time reads and discards
//!   what is still received.

use std::fmt;
use std::io::ErrorKind;
use std::time::Duration;

use ashglade_platform::line_decoder::MAX_LINE_BYTES;
use ashglade_platform::{Event, LineDecoder};
use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::command_queue::{ConnectionCommand, QueuedLine};
use crate::event_loop::EventSender;

/// Maximum number of bytes per read, so that a fast sender does not starve the other connections.
const READ_CHUNK_BYTES: usize = 4096;
/// Time without write progress after which a connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a connection that this side closes is dropped, even if its peer has not closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a write within which the data may still be in transit, so that a reset could lose it.
const TRANSIT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of lines per write.
const MAX_LINES_PER_WRITE: usize = 64;
/// Number of bytes from which on no further line is added to a write.
const MAX_BYTES_PER_WRITE: usize = 64 * 1024;

/// Why a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The peer closed or reset the connection.
    PeerClosed,
    /// A malformed line was received, or a line that was not completed in time.
    ProtocolError,
    /// The peer did not read what was written to it.
    WriteTimeout,
    /// This side closed the connection.
    LocalClose,
}

/// Prints the label that logs use for the reason.
impl fmt::Debug for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::PeerClosed => "Closed",
            EndReason::ProtocolError => "Unreadable",
            EndReason::WriteTimeout => "Stuck",
            EndReason::LocalClose => "Ours",
        })
    }
}

/// Error for a line that is not a valid message.
pub struct MalformedLine;

/// Result of handling a received line.
pub enum LineOutcome {
    Ignore,
    /// Send the message to the event loop.
    Event(Event),
    /// Send the line once the connection has ended: the peer has closed, but may still read.
    Reply(Bytes),
}

struct Reader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    decoder: LineDecoder,
    /// The peer's close has been read; the buffer holds the last data of the peer.
    peer_closed: bool,
    /// When the line that has begun must be complete.
    line_deadline: Option<Instant>,
}

impl Reader {
    /// Returns the next line. A line that has begun must be complete within `line_timeout`, however many
    /// reads it takes. Cancel-safe.
    async fn next_line(&mut self, line_timeout: Duration) -> Result<Bytes, EndReason> {
        loop {
            self.read_available();
            match self.decoder.decode(&mut self.buffer) {
                Ok(Some(line)) => {
                    self.line_deadline = None;
                    return Ok(line);
                }
                Ok(None) => {}
                Err(_) => return Err(EndReason::ProtocolError),
            }
            if self.peer_closed {
                return Err(EndReason::PeerClosed);
            }
            if self.buffer.is_empty() {
                // An idle connection holds no buffer: one is allocated once data has arrived.
                self.buffer = BytesMut::new();
                self.half.readable().await.map_err(|_| EndReason::PeerClosed)?;
            } else {
                self.line_deadline.get_or_insert_with(|| Instant::now() + line_timeout);
            }
            self.reserve_chunk();
            let mut limited = (&mut self.half).take(READ_CHUNK_BYTES as u64);
            let read = limited.read_buf(&mut self.buffer);
            let read = match self.line_deadline {
                Some(deadline) => timeout_at(deadline, read).await.map_err(|_| EndReason::ProtocolError)?,
                None => read.await,
            };
            match read {
                Ok(0) | Err(_) => return Err(EndReason::PeerClosed),
                Ok(_) => {}
            }
        }
    }

    /// Makes room for one chunk. A buffer that must grow for a long line gets room for the longest, as doubling
    /// its size would take more.
    fn reserve_chunk(&mut self) {
        let wanted = if self.buffer.len() < READ_CHUNK_BYTES {
            READ_CHUNK_BYTES
        } else {
            READ_CHUNK_BYTES.max(MAX_LINE_BYTES + READ_CHUNK_BYTES - self.buffer.len().min(MAX_LINE_BYTES))
        };
        self.buffer.reserve(wanted);
    }

    /// Reads data that has already arrived, up to about one chunk, so that a close right behind the buffered
    /// lines is known before the lines are processed.
    fn read_available(&mut self) {
        while !self.peer_closed && !self.buffer.is_empty() && self.buffer.len() < READ_CHUNK_BYTES {
            self.reserve_chunk();
            match self.half.try_read_buf(&mut self.buffer) {
                Ok(0) => self.peer_closed = true,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.peer_closed = true,
            }
        }
    }

    /// Returns whether no data has arrived that was not returned as a line.
    fn is_idle(&mut self) -> bool {
        if self.buffer.is_empty() {
            self.buffer.reserve(READ_CHUNK_BYTES);
            // A close by the peer is reported by the next read.
            let _ = self.half.try_read_buf(&mut self.buffer);
        }
        self.buffer.is_empty()
    }

    /// Reads and discards data until the peer closes too.
    async fn discard_until_close(&mut self) {
        self.buffer.clear();
        self.buffer.reserve(READ_CHUNK_BYTES);
        while self.half.read_buf(&mut self.buffer).await.is_ok_and(|count| count > 0) {
            self.buffer.clear();
        }
    }
}

struct Writer {
    half: OwnedWriteHalf,
    /// Lines whose write has not begun.
    queued: Vec<QueuedLine>,
    queued_bytes: usize,
    /// Lines whose write has begun.
    in_flight: Vec<QueuedLine>,
    /// The bytes of `in_flight` that are not written yet.
    unsent: Bytes,
    /// When the next bytes must be written.
    write_deadline: Instant,
    last_write_at: Option<Instant>,
}

impl Writer {
    fn has_unsent(&self) -> bool {
        !self.unsent.is_empty() || !self.queued.is_empty()
    }

    fn has_room(&self) -> bool {
        self.queued.len() < MAX_LINES_PER_WRITE && self.queued_bytes < MAX_BYTES_PER_WRITE
    }

    fn queue(&mut self, line: QueuedLine) {
        self.queued_bytes += line.as_bytes().len();
        self.queued.push(line);
    }

    /// Writes once, possibly a part of the unsent bytes. Cancel-safe.
    async fn write_some(&mut self) -> Result<(), EndReason> {
        if self.unsent.is_empty() {
            self.in_flight = std::mem::take(&mut self.queued);
            self.queued_bytes = 0;
            self.unsent = match &self.in_flight[..] {
                [line] => line.as_bytes().clone(),
                lines => concat(lines),
            };
            self.write_deadline = Instant::now() + WRITE_TIMEOUT;
        }
        let written = timeout_at(self.write_deadline, self.half.write(&self.unsent)).await;
        let count = written.map_err(|_| EndReason::WriteTimeout)?.map_err(|_| EndReason::PeerClosed)?;
        self.unsent.advance(count);
        if self.unsent.is_empty() {
            self.unsent = Bytes::new();
            self.in_flight.clear();
        }
        (self.write_deadline, self.last_write_at) = (Instant::now() + WRITE_TIMEOUT, Some(Instant::now()));
        Ok(())
    }

    /// Returns the lines that are not completely written, and the sending half if it can still be used.
    fn into_unwritten(mut self) -> (Vec<Bytes>, Option<OwnedWriteHalf>) {
        // After a part of a line, the peer could not parse anything further.
        let at_line_boundary = self.unsent.is_empty();
        let (mut remaining, mut first_unwritten) = (self.unsent.len(), self.in_flight.len());
        while remaining > 0 && first_unwritten > 0 {
            first_unwritten -= 1;
            remaining = remaining.saturating_sub(self.in_flight[first_unwritten].as_bytes().len());
        }
        let mut lines = self.in_flight.split_off(first_unwritten);
        lines.append(&mut self.queued);
        (lines.into_iter().map(QueuedLine::into_bytes).collect(), at_line_boundary.then_some(self.half))
    }
}

fn concat(lines: &[QueuedLine]) -> Bytes {
    let mut joined = BytesMut::with_capacity(lines.iter().map(|line| line.as_bytes().len()).sum());
    lines.iter().for_each(|line| joined.extend_from_slice(line.as_bytes()));
    joined.freeze()
}

/// How a connection ended.
pub struct ClosedConnection {
    pub reason: EndReason,
    /// Lines that were not completely written.
    pub unwritten: Vec<Bytes>,
    /// Both halves of the socket and the replies still to be sent, if the peer may still read: it has closed,
    /// perhaps only its sending half, or has sent a malformed line.
    half_open: Option<(Reader, OwnedWriteHalf, Vec<Bytes>)>,
}

impl ClosedConnection {
    /// Sends a peer that may still read the answers to its last requests, until the sender of the commands is
    /// dropped or [`CLOSE_TIMEOUT`] has passed. Returns the lines that were to be sent on the open
    /// connection.
    pub async fn send_final_lines(self, commands: &mut mpsc::Receiver<ConnectionCommand>) -> Vec<Bytes> {
        let mut unwritten = Vec::new();
        let Some((mut reader, mut half, replies)) = self.half_open else { return unwritten };
        let send_lines = async {
            let mut writable = half.write_all(&replies.concat()).await.is_ok();
            let mut wrote = !replies.is_empty();
            while let Some(command) = commands.recv().await {
                match command {
                    ConnectionCommand::SendAfterClose(line) if writable => {
                        (writable, wrote) = (half.write_all(&line).await.is_ok(), true);
                    }
                    ConnectionCommand::SendLine(line) => unwritten.push(line.into_bytes()),
                    _ => {}
                }
            }
            let _ = half.shutdown().await;
            if wrote && writable && !reader.peer_closed {
                reader.discard_until_close().await;
            }
        };
        let _ = timeout(CLOSE_TIMEOUT, send_lines).await;
        unwritten
    }
}

/// Receives and sends lines until either side ends the connection.
///
/// `handle_line` gets each received line and whether the peer's close has been read behind it; an error ends
/// the connection. A line that has begun must be complete within `line_timeout`.
pub async fn run_connection(
    stream: TcpStream,
    line_timeout: Duration,
    commands: &mut mpsc::Receiver<ConnectionCommand>,
    events: &EventSender,
    mut handle_line: impl FnMut(Bytes, bool) -> Result<LineOutcome, MalformedLine>,
) -> ClosedConnection {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader = Reader {
        half: read,
        buffer: BytesMut::new(),
        decoder: LineDecoder::default(),
        peer_closed: false,
        line_deadline: None,
    };
    let mut writer = Writer {
        half: write,
        queued: Vec::new(),
        queued_bytes: 0,
        in_flight: Vec::new(),
        unsent: Bytes::new(),
        write_deadline: Instant::now(),
        last_write_at: None,
    };
    let mut reported_messages = 0;
    let mut replies: Vec<Bytes> = Vec::new();
    // Set once the sender of the commands is dropped: queued lines are written until then.
    let mut close_deadline = None;
    let reason = 'open: loop {
        let mut command = tokio::select! {
            // Reading goes first, so that a close by the peer is detected before anything is written to it.
            biased;
            line = reader.next_line(line_timeout) => match line {
                Ok(line) => {
                    let bytes = line.len();
                    match handle_line(line, reader.peer_closed) {
                        Ok(LineOutcome::Ignore) => {}
                        Ok(LineOutcome::Reply(line)) => replies.push(line),
                        Ok(LineOutcome::Event(event)) => {
                            reported_messages += 1;
                            if !events.send_message(event, bytes).await {
                                break EndReason::LocalClose;
                            }
                        }
                        Err(MalformedLine) => break EndReason::ProtocolError,
                    }
                    commands.try_recv().ok()
                }
                Err(reason) => break reason,
            },
            written = writer.write_some(), if writer.has_unsent() => match written {
                Ok(()) => None,
                Err(reason) => break reason,
            },
            command = commands.recv(), if close_deadline.is_none() && writer.has_room() => {
                if command.is_none() {
                    close_deadline = Some(Instant::now() + CLOSE_TIMEOUT);
                }
                command
            }
            () = sleep_until(close_deadline.unwrap_or_else(Instant::now)), if close_deadline.is_some() => break EndReason::WriteTimeout,
        };
        let had_command = command.is_some();
        while let Some(current) = command {
            match current {
                ConnectionCommand::SendLine(line) => writer.queue(line),
                ConnectionCommand::SendAfterClose(_) => {}
                ConnectionCommand::CloseIfIdle(processed_messages) => {
                    // Lets the runtime poll the sockets: after a stall of the process, data may have arrived
                    // that no task has seen yet.
                    yield_now().await;
                    if processed_messages == reported_messages && !writer.has_unsent() && reader.is_idle() {
                        break 'open EndReason::LocalClose;
                    }
                }
            }
            command = if writer.has_room() { commands.try_recv().ok() } else { None };
        }
        if had_command {
            // Lets the runtime poll the sockets, so that a close that has already arrived is read before a
            // line is written.
            yield_now().await;
            continue;
        }
        // Writes even if the peer sends so fast that reading never pauses.
        if writer.has_unsent()
            && let Some(Err(reason)) = poll_once(writer.write_some()).await
        {
            break reason;
        }
        if close_deadline.is_some() && !writer.has_unsent() {
            break EndReason::LocalClose;
        }
    };
    if reason == EndReason::LocalClose {
        let _ = timeout(CLOSE_TIMEOUT, async {
            let _ = writer.half.shutdown().await;
            if writer.last_write_at.is_some_and(|at| at.elapsed() < TRANSIT_TIME) {
                reader.discard_until_close().await;
            }
        })
        .await;
    }
    let (mut unwritten, half) = writer.into_unwritten();
    let half = half.filter(|_| matches!(reason, EndReason::PeerClosed | EndReason::ProtocolError));
    let half_open = half.map(|half| (reader, half, replies));
    if half_open.is_none() {
        commands.close();
    }
    while let Ok(command) = commands.try_recv() {
        if let ConnectionCommand::SendLine(line) = command {
            unwritten.push(line.into_bytes());
        }
    }
    ClosedConnection { reason, unwritten, half_open }
}

/// Polls a future once and returns its output if it is ready.
async fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = std::future::ready(()) => None,
    }
}
