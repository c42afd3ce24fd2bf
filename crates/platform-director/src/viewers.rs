//! Viewers' connections.

use std::net::IpAddr;
use std::time::Duration;

use ashglade_platform::causes::CONGESTION;
use ashglade_platform::setup_request::is_handover;
use ashglade_platform::{DownstreamId, Event, Message, Verb, message};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tracing::{debug, info};

use crate::connection::{Heard, Spoilt, carry};
use crate::hub::Word;

/// A line that has begun must go on; its sender is owed an end within 3 s of connecting.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Reads until the connection ends, from either side. Dropping the sender that the hub is given closes it. The descriptor
/// is held, as counted, until the socket is closed.
pub async fn serve(
    link: DownstreamId,
    from: IpAddr,
    stream: TcpStream,
    descriptor: OwnedSemaphorePermit,
    queue: usize,
    words: mpsc::Sender<Word>,
) {
    let (sender, mut orders) = mpsc::channel(queue);
    if words.send(Word::Opened(link, from, sender)).await.is_err() {
        return;
    }
    let heard = |line: Bytes, gone: bool| match Message::parse(&line) {
        // It closed behind its set-up: nobody is set up for that, and it is refused, should its half alone be closed. What
        // plays already is handed over, what it ended is ended.
        Ok(message) if gone && message.verb == Verb::Start && !is_handover(&message) => {
            let refusal =
                message.tag.and_then(|tag| message::encode(Verb::Finish, tag, &[], Some(CONGESTION), None));
            Ok(refusal.map_or(Heard::Nothing, Heard::Reply))
        }
        Ok(message) => Ok(Heard::Word(Word::Event(Event::DownstreamMessage(link, message)))),
        Err(error) => {
            info!(link = link.0, %from, %error, "what can't be read; closed");
            Err(Spoilt)
        }
    };
    let mut ended = carry(stream, PATIENCE, &mut orders, &words, heard).await;
    let unwritten = std::mem::take(&mut ended.unwritten);
    debug!(link = link.0, end = ?ended.end, unwritten = unwritten.len(), "closed");
    let _ = words.send(Word::Event(Event::DownstreamClosed(link, unwritten))).await;
    let unread = ended.last_words(&mut orders).await;
    orders.close();
    drop(descriptor);
    for line in unread {
        let _ = words.send(Word::Event(Event::DownstreamUndelivered(link, line))).await;
    }
}
