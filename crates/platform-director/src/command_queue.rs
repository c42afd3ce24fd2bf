//! The event loop's side of a connection: a queue of commands that is bounded in number and in bytes.

use ashglade_platform::{ByteAccount, ByteReservation, queued_line_bytes};
use bytes::Bytes;
use tokio::sync::mpsc;

/// What the event loop asks of a connection. Dropping the sender of the commands closes the connection once
/// all queued lines are written.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send a line.
    SendLine(QueuedLine),
    /// Send a line to a peer that has closed, in case it closed only its sending half and still reads. Never
    /// reported as unwritten.
    SendAfterClose(Bytes),
    /// Close the connection unless it has received a message that the event loop had not processed when it
    /// sent the command. Holds the number of messages processed by then.
    CloseIfIdle(u64),
}

/// A line, and the bytes that it holds of the budget for queued lines until it is written.
#[derive(Debug)]
pub struct QueuedLine {
    line: Bytes,
    _bytes: ByteReservation,
}

impl QueuedLine {
    /// Returns the line, line feed included.
    pub fn as_bytes(&self) -> &Bytes {
        &self.line
    }

    /// Gives up the reservation.
    pub fn into_bytes(self) -> Bytes {
        self.line
    }
}

/// Sends commands to a connection.
#[derive(Debug)]
pub struct CommandSender {
    commands: mpsc::Sender<ConnectionCommand>,
    queued_bytes: ByteAccount,
}

impl CommandSender {
    pub fn new(commands: mpsc::Sender<ConnectionCommand>, queued_bytes: ByteAccount) -> CommandSender {
        CommandSender { commands, queued_bytes }
    }

    /// Queues a line. Returns the line if the connection has ended, or its queue is full in number or bytes.
    pub fn send_line(&self, line: Bytes) -> Result<(), Bytes> {
        let Some(reservation) = self.queued_bytes.reserve(queued_line_bytes(line.len())) else {
            return Err(line);
        };
        let command = ConnectionCommand::SendLine(QueuedLine { line, _bytes: reservation });
        match self.commands.try_send(command).map_err(|error| error.into_inner()) {
            Err(ConnectionCommand::SendLine(queued)) => Err(queued.into_bytes()),
            _ => Ok(()),
        }
    }

    /// Queues a line for a peer that has closed, if there is room for it.
    pub fn send_after_close(&self, line: Bytes) {
        let _ = self.commands.try_send(ConnectionCommand::SendAfterClose(line));
    }

    /// Asks the connection to close unless it has received more than `processed_messages`.
    pub fn close_if_idle(&self, processed_messages: u64) {
        let _ = self.commands.try_send(ConnectionCommand::CloseIfIdle(processed_messages));
    }
}
