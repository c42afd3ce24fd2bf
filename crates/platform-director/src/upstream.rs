//! Upstream connections: one task for each connection to a media node.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade_platform::{CloseReason, Event, Message, UpstreamId};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tracing::{info, warn};

use crate::command_queue::ConnectionCommand;
use crate::connection::{ClosedConnection, EndReason, LineOutcome, MalformedLine, run_connection};
use crate::event_loop::{ConnectionEvent, EventSender};

/// Returns the close reason for a connection that was not established. A lack of local resources says nothing
/// about the node.
fn connect_error_reason(error: &std::io::Error) -> CloseReason {
    match error.kind() {
        ErrorKind::ConnectionRefused => CloseReason::Refused,
        ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::TimedOut
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => CloseReason::ConnectFailed,
        // This process has no descriptor, port or memory left.
        _ => {
            warn!(%error, "cannot open a connection to a media node for lack of local resources");
            CloseReason::NoLocalResources
        }
    }
}

async fn send_event(events: &EventSender, event: Event) {
    let _ = events.send(ConnectionEvent::Gateway(event)).await;
}

/// Connects to a node and serves the connection until it ends. Dropping the sender of `commands` closes it.
///
/// `connect_timeout` bounds the wait for a descriptor, the connect, and the reception of a line that has
/// begun.
pub async fn serve(
    upstream: UpstreamId,
    address: SocketAddr,
    connect_timeout: Duration,
    descriptors: Arc<Semaphore>,
    mut commands: mpsc::Receiver<ConnectionCommand>,
    events: EventSender,
) {
    // A descriptor becomes free as soon as another connection has ended.
    let Ok(Ok(descriptor)) = timeout(connect_timeout, descriptors.acquire_owned()).await else {
        return send_event(
            &events,
            Event::UpstreamClosed(upstream, CloseReason::NoLocalResources, Vec::new()),
        )
        .await;
    };
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            return send_event(
                &events,
                Event::UpstreamClosed(upstream, connect_error_reason(&error), Vec::new()),
            )
            .await;
        }
        Err(_) => {
            return send_event(
                &events,
                Event::UpstreamClosed(upstream, CloseReason::ConnectFailed, Vec::new()),
            )
            .await;
        }
    };
    send_event(&events, Event::UpstreamConnected(upstream)).await;
    let handle_line = |line: Bytes, _| match Message::parse(&line) {
        Ok(message) => Ok(LineOutcome::Event(Event::UpstreamMessage(upstream, message))),
        Err(error) => {
            info!(trunk = upstream.0, %address, %error, "malformed line from a media node; closing the connection");
            Err(MalformedLine)
        }
    };
    let ClosedConnection { reason, mut unwritten, .. } =
        run_connection(stream, connect_timeout, &mut commands, &events, handle_line).await;
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let ConnectionCommand::SendLine(line) = command {
            unwritten.push(line.into_bytes());
        }
    }
    drop(descriptor);
    let reason =
        if reason == EndReason::ProtocolError { CloseReason::ProtocolError } else { CloseReason::Lost };
    send_event(&events, Event::UpstreamClosed(upstream, reason, unwritten)).await;
}
