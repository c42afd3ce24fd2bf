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
use std::time::Duration;

use ashglade_platform::Event;
use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use crate::command_queue::ConnectionCommand;
use crate::event_loop::{ConnectionEvent, EventSender};
use crate::line_reader::{LineReader, ReceivedLine};
use crate::line_writer::LineWriter;

/// Time after which a connection that this side closes is dropped, even if its peer has not closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a write within which the data may still be in transit, so that a reset could lose it.
const TRANSIT_TIME: Duration = Duration::from_secs(1);

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

/// How a connection ended.
pub struct ClosedConnection {
    pub reason: EndReason,
    /// Lines that were not completely written.
    pub unwritten: Vec<Bytes>,
    /// Both halves of the socket and the replies still to be sent, if the peer may still read: it has closed,
    /// perhaps only its sending half, or has sent a malformed line.
    half_open: Option<(LineReader, OwnedWriteHalf, Vec<Bytes>)>,
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
            if wrote && writable && !reader.is_at_end() {
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
    let mut reader = LineReader::new(read, line_timeout, events.receive_budget().clone());
    let mut writer = LineWriter::new(write);
    let mut reported_messages = 0;
    let mut replies: Vec<Bytes> = Vec::new();
    // Set once the sender of the commands is dropped: queued lines are written until then.
    let mut close_deadline = None;
    let reason = 'open: loop {
        let mut command = tokio::select! {
            // Reading goes first, so that a close by the peer is detected before anything is written to it.
            biased;
            line = reader.next_line() => match line {
                Ok(ReceivedLine { text, reservation, peer_closed }) => {
                    match handle_line(text, peer_closed) {
                        Ok(LineOutcome::Ignore) => {}
                        Ok(LineOutcome::Reply(line)) => replies.push(line),
                        Ok(LineOutcome::Event(event)) => {
                            reported_messages += 1;
                            if !events.send(ConnectionEvent::Message(event, reservation)).await {
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
            writer.shut_down().await;
            if writer.has_written_within(TRANSIT_TIME) {
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
