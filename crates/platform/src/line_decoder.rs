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
    /// Returns the length of the first line without its line feed, if it is complete.
    pub fn find_line(&mut self, buffer: &[u8]) -> Result<Option<usize>, LineError> {
        let unscanned = &buffer[self.scanned_bytes..];
        let end = unscanned.iter().position(|&byte| byte == b'\n').map(|offset| offset + self.scanned_bytes);
        let length = end.unwrap_or(buffer.len());
        if length > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        self.scanned_bytes = length;
        Ok(end)
    }
}

impl Decoder for LineDecoder {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let Some(end) = self.find_line(buffer)? else { return Ok(None) };
        self.scanned_bytes = 0;
        let line = buffer.split_to(end).freeze();
        buffer.advance(1);
        Ok(Some(line))
    }
}
