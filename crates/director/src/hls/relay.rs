//! Relays a segment from its node to its player as a stream. Back pressure: while the player takes no data,
//! nothing is read from the node.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// How the relaying of a segment ended.
#[derive(Clone, Copy, Debug)]
pub struct RelayResult {
    /// The variant that the segment belongs to, if it is not shared between variants.
    pub variant: Option<usize>,
    /// Bytes received from the node.
    pub bytes: u64,
    /// The time spent waiting for the node. The time that the player took to read doesn't count.
    pub node_wait: Duration,
    /// The node can't be reached, or its connection failed before the end of the segment.
    pub node_failed: bool,
}

/// Response body that passes on a node's response and reports a [`RelayResult`] when it is dropped.
pub struct RelayBody {
    body: Incoming,
    results: Option<mpsc::Sender<RelayResult>>,
    progress: RelayResult,
    /// Since when the relay waits for data from the node.
    waiting_since: Option<Instant>,
}

impl RelayBody {
    /// `requested_at` is when the request was sent to the node.
    pub fn new(
        body: Incoming,
        variant: Option<usize>,
        requested_at: Instant,
        results: mpsc::Sender<RelayResult>,
    ) -> RelayBody {
        let progress =
            RelayResult { variant, bytes: 0, node_wait: requested_at.elapsed(), node_failed: false };
        RelayBody { body, results: Some(results), progress, waiting_since: None }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Pending => {
                self.waiting_since.get_or_insert_with(Instant::now);
            }
            Poll::Ready(frame) => {
                if let Some(waiting_since) = self.waiting_since.take() {
                    self.progress.node_wait += waiting_since.elapsed();
                }
                match frame {
                    Some(Ok(frame)) => {
                        self.progress.bytes += frame.data_ref().map_or(0, |data| data.remaining() as u64)
                    }
                    Some(Err(_)) => self.progress.node_failed = true,
                    None => {}
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if let Some(results) = self.results.take() {
            // The channel has room for as many results as a session may have segments in flight.
            let _ = results.try_send(self.progress);
        }
    }
}
