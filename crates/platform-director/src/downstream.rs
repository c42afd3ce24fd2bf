//! Downstream connections: one task for each viewer's connection.

use std::net::IpAddr;
use std::time::Duration;

use ashglade_platform::causes::CONGESTION;
use ashglade_platform::setup_request::is_handover;
use ashglade_platform::{DownstreamId, Event, Message, Verb, message};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tracing::{debug, info};

use crate::connection::{LineOutcome, MalformedLine, run_connection};
use crate::event_loop::{ConnectionEvent, EventSender};

/// Time within which a line that has begun must be complete. The protocol requires that a connection that
/// sends no complete request is closed within 3 s of connecting.
const LINE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Serves a connection until either side ends it. The event loop gets the sender of the connection's
/// commands; dropping it closes the connection. `descriptor` is released once the socket is closed.
pub async fn serve(
    downstream: DownstreamId,
    client: IpAddr,
    stream: TcpStream,
    descriptor: OwnedSemaphorePermit,
    max_queued_lines: usize,
    events: EventSender,
) {
    let (sender, mut commands) = mpsc::channel(max_queued_lines);
    if !events.send(ConnectionEvent::Opened(downstream, client, sender)).await {
        return;
    }
    let handle_line = |line: Bytes, peer_closed: bool| match Message::parse(&line) {
        // The viewer closed right behind its SETUP, so no session is set up. The refusal is sent in case it
        // closed only its sending half. Handovers of playing sessions and releases are still processed.
        Ok(message) if peer_closed && message.verb == Verb::Start && !is_handover(&message) => {
            let refusal =
                message.tag.and_then(|tag| message::encode(Verb::Finish, tag, &[], Some(CONGESTION), None));
            Ok(refusal.map_or(LineOutcome::Ignore, LineOutcome::Reply))
        }
        Ok(message) => Ok(LineOutcome::Event(Event::DownstreamMessage(downstream, message))),
        Err(error) => {
            info!(link = downstream.0, from = %client, %error, "malformed line from a viewer; closing the connection");
            Err(MalformedLine)
        }
    };
    let mut closed = run_connection(stream, LINE_TIMEOUT, &mut commands, &events, handle_line).await;
    let unwritten = std::mem::take(&mut closed.unwritten);
    debug!(link = downstream.0, end = ?closed.reason, unwritten = unwritten.len(), "viewer connection closed");
    let _ = events.send(ConnectionEvent::Gateway(Event::DownstreamClosed(downstream, unwritten))).await;
    let undelivered = closed.send_final_lines(&mut commands).await;
    commands.close();
    drop(descriptor);
    for line in undelivered {
        let _ = events.send(ConnectionEvent::Gateway(Event::DownstreamUndelivered(downstream, line))).await;
    }
}
