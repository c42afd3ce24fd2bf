//! Lines of bounded length, as a decoder. What is too long is refused while it arrives, not when it ends.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// The longest message, without its line feed.
pub const MOST: usize = 16 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("a line longer than {MOST} bytes")]
    TooLong,
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

#[derive(Debug, Default)]
pub struct Lines {
    /// So much of what is buffered holds no line feed.
    seen: usize,
}

impl Lines {
    /// A line has begun and not ended.
    pub fn within(&self) -> bool {
        self.seen > 0
    }
}

impl Decoder for Lines {
    type Item = Bytes;
    type Error = Trouble;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Trouble> {
        let end = buffer[self.seen..].iter().position(|&byte| byte == b'\n').map(|at| at + self.seen);
        if end.unwrap_or(buffer.len()) > MOST {
            return Err(Trouble::TooLong);
        }
        let Some(end) = end else {
            self.seen = buffer.len();
            return Ok(None);
        };
        self.seen = 0;
        let line = buffer.split_to(end).freeze();
        buffer.advance(1);
        Ok(Some(line))
    }
}
