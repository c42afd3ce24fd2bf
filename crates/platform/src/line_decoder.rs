//! Decoder for newline-terminated lines of limited length. A line that is too long is rejected as soon as it
//! exceeds the limit, without waiting for its end.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Length of the longest message in bytes, without its line feed.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Why a stream of lines can't be decoded further.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line exceeds [`MAX_LINE_BYTES`].
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Splits a byte stream into lines; the line feeds are removed.
#[derive(Debug, Default)]
pub struct LineDecoder {
    /// Number of buffered bytes that are known to hold no line feed.
    scanned_bytes: usize,
}

impl LineDecoder {
    /// Returns whether a line has begun and is not complete yet.
    pub fn has_partial_line(&self) -> bool {
        self.scanned_bytes > 0
    }
}

impl Decoder for LineDecoder {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let end = buffer[self.scanned_bytes..]
            .iter()
            .position(|&byte| byte == b'\n')
            .map(|offset| offset + self.scanned_bytes);
        if end.unwrap_or(buffer.len()) > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let Some(end) = end else {
            self.scanned_bytes = buffer.len();
            return Ok(None);
        };
        self.scanned_bytes = 0;
        let line = buffer.split_to(end).freeze();
        buffer.advance(1);
        Ok(Some(line))
    }
}
