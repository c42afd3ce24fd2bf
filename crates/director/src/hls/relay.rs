//! A segment on its way from its node to its player, as it comes: what the player doesn't take isn't read.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// What became of one.
#[derive(Clone, Copy, Debug)]
pub struct Relayed {
    pub variant: Option<usize>,
    pub bytes: u64,
    /// For so long the node was waited for; what the player took is its own affair.
    pub waited: Duration,
    /// The node broke off in the middle.
    pub broken: bool,
}

pub struct Relay {
    inner: Incoming,
    done: Option<mpsc::Sender<Relayed>>,
    so_far: Relayed,
    /// Since when the node is waited for.
    since: Option<Instant>,
}

impl Relay {
    /// `asked` is when the node was asked.
    pub fn new(
        inner: Incoming,
        variant: Option<usize>,
        asked: Instant,
        done: mpsc::Sender<Relayed>,
    ) -> Relay {
        let so_far = Relayed { variant, bytes: 0, waited: asked.elapsed(), broken: false };
        Relay { inner, done: Some(done), so_far, since: None }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Pending => {
                self.since.get_or_insert_with(Instant::now);
            }
            Poll::Ready(frame) => {
                if let Some(since) = self.since.take() {
                    self.so_far.waited += since.elapsed();
                }
                match frame {
                    Some(Ok(frame)) => {
                        self.so_far.bytes += frame.data_ref().map_or(0, |data| data.remaining() as u64)
                    }
                    Some(Err(_)) => self.so_far.broken = true,
                    None => {}
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            // There is room for as many as a session may have open.
            let _ = done.try_send(self.so_far);
        }
    }
}
