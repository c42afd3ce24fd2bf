//! Connections to media nodes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use ashglade_platform::{Event, Fall, Message, Trunk};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::debug;

use crate::lines::{self, End, Reader};

/// Connects and reads until the connection ends. Dropping the queue's sender closes it.
pub async fn serve(
    trunk: Trunk,
    address: SocketAddr,
    patience: Duration,
    queue: mpsc::Receiver<Bytes>,
    events: mpsc::Sender<Event>,
) {
    let stream = match timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        told => {
            let refused = matches!(&told, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
            let fall = if refused { Fall::Refused } else { Fall::NeverUp };
            let _ = events.send(Event::Down(trunk, fall)).await;
            return;
        }
    };
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let _ = events.send(Event::Up(trunk)).await;
    let reading = async {
        let mut reader = Reader::new(read);
        loop {
            let message = match reader.next(patience).await {
                Ok(line) => Message::read(&line).map_err(|error| {
                    debug!(trunk = trunk.0, %error, "what can't be read");
                    Fall::Spoilt
                }),
                Err(End::Closed) => Err(Fall::Lost),
                Err(End::Unreadable) => Err(Fall::Spoilt),
            };
            match message {
                Ok(message) => {
                    if events.send(Event::Heard(trunk, message)).await.is_err() {
                        return Fall::Lost;
                    }
                }
                Err(fall) => return fall,
            }
        }
    };
    let fall = tokio::select! {
        fall = reading => fall,
        () = lines::write(write, queue) => Fall::Lost,
    };
    let _ = events.send(Event::Down(trunk, fall)).await;
}
