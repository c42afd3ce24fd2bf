//! Connections to media nodes.

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

use crate::connection::{End, Ended, Heard, Order, Spoilt, carry};
use crate::hub::Word;

/// How a connection that did not come up ended. What we lack ourselves says nothing of the node.
fn not_up(error: &std::io::Error) -> CloseReason {
    match error.kind() {
        ErrorKind::ConnectionRefused => CloseReason::Refused,
        ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::TimedOut
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => CloseReason::ConnectFailed,
        // No descriptor, port or memory here.
        _ => {
            warn!(%error, "no connection to a node can be begun");
            CloseReason::NoLocalResources
        }
    }
}

async fn tell(words: &mpsc::Sender<Word>, event: Event) {
    let _ = words.send(Word::Event(event)).await;
}

/// Connects and reads until the connection ends. Dropping the orders' sender closes it.
pub async fn serve(
    trunk: UpstreamId,
    address: SocketAddr,
    patience: Duration,
    descriptors: Arc<Semaphore>,
    mut orders: mpsc::Receiver<Order>,
    words: mpsc::Sender<Word>,
) {
    // One is free as soon as another connection has ended.
    let Ok(Ok(descriptor)) = timeout(patience, descriptors.acquire_owned()).await else {
        return tell(&words, Event::UpstreamClosed(trunk, CloseReason::NoLocalResources, Vec::new())).await;
    };
    let stream = match timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            return tell(&words, Event::UpstreamClosed(trunk, not_up(&error), Vec::new())).await;
        }
        Err(_) => {
            return tell(&words, Event::UpstreamClosed(trunk, CloseReason::ConnectFailed, Vec::new())).await;
        }
    };
    tell(&words, Event::UpstreamConnected(trunk)).await;
    let heard = |line: Bytes, _| match Message::parse(&line) {
        Ok(message) => Ok(Heard::Word(Word::Event(Event::UpstreamMessage(trunk, message)))),
        Err(error) => {
            info!(trunk = trunk.0, %address, %error, "what can't be read; closed");
            Err(Spoilt)
        }
    };
    let Ended { end, mut unwritten, .. } = carry(stream, patience, &mut orders, &words, heard).await;
    orders.close();
    while let Ok(order) = orders.try_recv() {
        if let Order::Line(line) = order {
            unwritten.push(line);
        }
    }
    drop(descriptor);
    let reason = if end == End::Unreadable { CloseReason::ProtocolError } else { CloseReason::Lost };
    tell(&words, Event::UpstreamClosed(trunk, reason, unwritten)).await;
}
