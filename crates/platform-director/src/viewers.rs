//! Viewers' connections.

use std::net::IpAddr;
use std::time::Duration;

use ashglade_platform::ask::is_handed_over;
use ashglade_platform::{Event, Link, Message, Verb};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tracing::{debug, info};

use crate::connection::{QUEUE, Spoilt, carry};
use crate::hub::Word;

/// A line that has begun must go on; its sender is owed an end within 3 s of connecting.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Reads until the connection ends, from either side. Dropping the sender that the hub is given closes it. The descriptor
/// is held, as counted, until the socket is closed.
pub async fn serve(
    link: Link,
    from: IpAddr,
    stream: TcpStream,
    descriptor: OwnedSemaphorePermit,
    words: mpsc::Sender<Word>,
) {
    let (sender, orders) = mpsc::channel(QUEUE);
    if words.send(Word::Opened(link, from, sender)).await.is_err() {
        return;
    }
    let heard = |line: Bytes, gone: bool| match Message::read(&line) {
        // It closed behind its set-up: nobody waits for that. What plays already is handed over, what it ended is ended.
        Ok(message) if gone && message.verb == Verb::Start && !is_handed_over(&message) => Ok(None),
        Ok(message) => Ok(Some(Word::Event(Event::Said(link, message)))),
        Err(error) => {
            info!(link = link.0, %from, %error, "what can't be read; closed");
            Err(Spoilt)
        }
    };
    let (end, unwritten) = carry(stream, PATIENCE, orders, &words, heard).await;
    drop(descriptor);
    debug!(link = link.0, ?end, unwritten = unwritten.len(), "closed");
    let _ = words.send(Word::Event(Event::Closed(link, unwritten))).await;
}
