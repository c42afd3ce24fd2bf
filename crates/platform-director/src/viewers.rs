//! Viewers' connections.

use std::net::IpAddr;
use std::time::Duration;

use ashglade_platform::{Event, Link, Message};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tracing::debug;

use crate::lines::{self, Reader};

/// A line that has begun must go on; its sender is owed an end within 3 s of connecting.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Reads until the connection ends, from either side. Dropping the queue's sender closes it.
pub async fn serve(
    link: Link,
    from: IpAddr,
    stream: TcpStream,
    queue: mpsc::Receiver<Bytes>,
    events: mpsc::Sender<Event>,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let _ = events.send(Event::Opened(link, from)).await;
    let reading = async {
        let mut reader = Reader::new(read);
        loop {
            match reader.next(PATIENCE).await {
                Ok(line) => match Message::read(&line) {
                    Ok(message) => {
                        if events.send(Event::Said(link, message)).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        debug!(link = link.0, %error, "what can't be read; closed");
                        return;
                    }
                },
                Err(end) => {
                    debug!(link = link.0, ?end, "closed");
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = lines::write(write, queue) => {}
    }
    let _ = events.send(Event::Closed(link)).await;
}
