//! Accepts viewers' connections, and stops without losing one that has been accepted by the kernel.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade_platform::DownstreamId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tracing::warn;

use crate::downstream;
use crate::event_loop::EventSender;

/// Delay before the next `accept` after a failed one, as when the process or host has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections while descriptors are available for them, and starts a task for each. Further
/// connections wait in the listener's backlog.
pub struct Acceptor {
    descriptors: Arc<Semaphore>,
    max_queued_lines: usize,
    events: EventSender,
    next_id: u64,
}

impl Acceptor {
    pub fn new(descriptors: Arc<Semaphore>, max_queued_lines: usize, events: EventSender) -> Acceptor {
        Acceptor { descriptors, max_queued_lines, events, next_id: 0 }
    }

    /// Accepts until the sender of `stopped` is dropped, then takes what is in the backlog and closes the
    /// listener.
    pub async fn run(mut self, listener: TcpListener, mut stopped: oneshot::Receiver<()>) {
        loop {
            let accepted = async {
                let descriptor = self.descriptors.clone().acquire_owned().await.ok()?;
                Some((listener.accept().await, descriptor))
            };
            let accepted = tokio::select! {
                biased;
                _ = &mut stopped => break,
                accepted = accepted => accepted,
            };
            match accepted {
                Some((Ok((stream, client)), descriptor)) => self.spawn(stream, client.ip(), descriptor),
                Some((Err(error), _)) => {
                    warn!(%error, "cannot accept a connection; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => return,
            }
        }
        if let Err(error) = self.accept_backlog(listener) {
            warn!(%error, "cannot accept the connections in the backlog; they are reset");
        }
    }

    /// Accepts what is in the backlog, as far as descriptors are available, and closes the listener.
    fn accept_backlog(&mut self, listener: TcpListener) -> std::io::Result<()> {
        // The runtime may not have seen yet that the listener is readable.
        let listener = listener.into_std()?;
        while let Ok(descriptor) = self.descriptors.clone().try_acquire_owned() {
            match listener.accept() {
                Ok((stream, client)) => {
                    stream.set_nonblocking(true)?;
                    self.spawn(TcpStream::from_std(stream)?, client.ip(), descriptor);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn spawn(&mut self, stream: TcpStream, client: IpAddr, descriptor: OwnedSemaphorePermit) {
        let downstream = DownstreamId(self.next_id);
        self.next_id += 1;
        let connection = downstream::serve(
            downstream,
            client,
            stream,
            descriptor,
            self.max_queued_lines,
            self.events.clone(),
        );
        tokio::spawn(connection);
    }
}
