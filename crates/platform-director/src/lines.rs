//! One connection's two halves: lines in, bytes out. Both are bounded: a peer that doesn't read is let go when what
//! waits for it is too much, and a line that has begun must end in time.

use std::time::Duration;

use ashglade_platform::Lines;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

/// Lines that wait to be written on one connection at most.
pub const QUEUE: usize = 1024;
/// Read at once at most, so that one that sends at full speed takes its turn with the others.
const CHUNK: usize = 4096;
/// A peer that takes nothing for so long is let go.
const STUCK: Duration = Duration::from_secs(3);

pub struct Reader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    lines: Lines,
}

/// Why there is no further line.
#[derive(Debug)]
pub enum End {
    Closed,
    Unreadable,
}

impl Reader {
    pub fn new(half: OwnedReadHalf) -> Reader {
        Reader { half, buffer: BytesMut::new(), lines: Lines::default() }
    }

    /// The next line; one that has begun must end within `patience`.
    pub async fn next(&mut self, patience: Duration) -> Result<Bytes, End> {
        loop {
            match self.lines.decode(&mut self.buffer) {
                Ok(Some(line)) => return Ok(line),
                Ok(None) => {}
                Err(_) => return Err(End::Unreadable),
            }
            if self.buffer.is_empty() {
                // Nothing is held for a connection that is quiet.
                self.buffer = BytesMut::new();
            }
            let within = self.lines.within();
            if within {
                self.buffer.reserve(CHUNK);
            } else {
                // Wait for word before there is room for it.
                if self.half.readable().await.is_err() {
                    return Err(End::Closed);
                }
                self.buffer.reserve(CHUNK);
            }
            let mut limited = (&mut self.half).take(CHUNK as u64);
            let read = limited.read_buf(&mut self.buffer);
            let read =
                if within { timeout(patience, read).await.map_err(|_| End::Unreadable)? } else { read.await };
            match read {
                Ok(0) | Err(_) => return Err(End::Closed),
                Ok(_) => {}
            }
        }
    }
}

/// Writes what comes, several lines at once where several wait, until nobody holds the sender or the peer is lost.
pub async fn write(mut half: OwnedWriteHalf, mut lines: mpsc::Receiver<Bytes>) {
    let mut waiting = Vec::new();
    while lines.recv_many(&mut waiting, 64).await > 0 {
        let bytes = if waiting.len() == 1 { waiting.remove(0) } else { Bytes::from(waiting.concat()) };
        waiting.clear();
        match timeout(STUCK, half.write_all(&bytes)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
    let _ = half.shutdown().await;
}
