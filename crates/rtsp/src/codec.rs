//! Requests, answers and interleaved frames, as one codec for `tokio_util`'s `Framed`. The RTSP grammar itself
//! is read by `rtsp-types`; this file finds where a message ends, within limits, before anything is parsed, so
//! that no peer makes us hold or scan more than the limits say.

use bytes::{Buf, BufMut, BytesMut};
use rtsp_types::{Message, StatusCode};
use tokio_util::codec::{Decoder, Encoder};

use crate::{Request, Response};

/// What one message may take, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The request or status line.
    pub line: usize,
    /// That line and all headers.
    pub head: usize,
    pub body: usize,
    /// The payload of an interleaved frame; 65,535 by the format.
    pub frame: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { line: 2 * 1024, head: 16 * 1024, body: 64 * 1024, frame: 65_535 }
    }
}

#[derive(Debug)]
pub enum Packet {
    Request(Request),
    Response(Response),
    /// An interleaved frame: `$`, channel, length, payload.
    Frame {
        channel: u8,
        payload: BytesMut,
    },
    /// The same as it came, with its four bytes of header, from a codec that was made by [`Codec::relaying`].
    Raw(BytesMut),
}

/// Bytes of a frame before its payload; the second is the channel.
pub const FRAME_HEADER: usize = 4;

/// Why a connection can't go on. Only the connection that it came in on is concerned.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("the first line is longer than {limit} bytes")]
    LineTooLong { limit: usize },
    #[error("the headers are longer than {limit} bytes")]
    HeadTooLong { limit: usize },
    #[error("a body of {length} bytes; {limit} at most")]
    BodyTooLong { length: u64, limit: usize },
    #[error("a frame of {length} bytes on channel {channel}; {limit} at most")]
    FrameTooLong { channel: u8, length: usize, limit: usize },
    #[error("version {found:?}; RTSP/1.0 is spoken here")]
    Version { found: String },
    #[error("{what}, at byte {at} of the message")]
    Malformed { what: &'static str, at: usize },
    #[error("the connection was closed within a message, {held} bytes into it")]
    CutShort { held: usize },
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl Fault {
    /// The answer that can still be given before the connection is closed; none where the peer is not in the
    /// middle of a request that it could read the answer to.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Fault::LineTooLong { .. } => Some(StatusCode::RequestURITooLong),
            Fault::HeadTooLong { .. } | Fault::BodyTooLong { .. } => {
                Some(StatusCode::RequestMessageBodyTooLarge)
            }
            Fault::Version { .. } => Some(StatusCode::RTSPVersionNotSupported),
            Fault::Malformed { .. } => Some(StatusCode::BadRequest),
            Fault::FrameTooLong { .. } | Fault::CutShort { .. } | Fault::Io(_) => None,
        }
    }
}

#[derive(Debug, Default)]
pub struct Codec {
    limits: Limits,
    /// How far the bytes held were searched for the end of the headers: one look at each byte, however
    /// slowly they come.
    searched: usize,
    /// The whole length of the message that the held bytes begin, once its headers are in.
    whole: Option<usize>,
    /// Nothing after a fault is read.
    broken: bool,
    /// Frames keep their headers.
    raw: bool,
}

impl Codec {
    pub fn new(limits: Limits) -> Codec {
        Codec { limits, ..Codec::default() }
    }

    /// One that gives frames as they came: those that follow each other lie side by side, so that a relay can pass them
    /// on together without copying them.
    pub fn relaying() -> Codec {
        Codec { raw: true, ..Codec::default() }
    }

    fn frame(&self, src: &mut BytesMut) -> Result<Option<Packet>, Fault> {
        if src.len() < 4 {
            return Ok(None);
        }
        let (channel, length) = (src[1], usize::from(u16::from_be_bytes([src[2], src[3]])));
        if length > self.limits.frame {
            return Err(Fault::FrameTooLong { channel, length, limit: self.limits.frame });
        }
        if src.len() < 4 + length {
            src.reserve(4 + length - src.len());
            return Ok(None);
        }
        if self.raw {
            return Ok(Some(Packet::Raw(src.split_to(FRAME_HEADER + length))));
        }
        src.advance(FRAME_HEADER);
        Ok(Some(Packet::Frame { channel, payload: src.split_to(length) }))
    }

    /// The length of headers and body, once all headers are held.
    fn measure(&mut self, src: &BytesMut) -> Result<Option<usize>, Fault> {
        let from = self.searched.saturating_sub(3);
        let end = src[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.searched = src.len();
        let held = &src[..end.unwrap_or(src.len()).min(self.limits.head + 1)];
        let line = held.windows(2).position(|two| two == b"\r\n");
        if line.unwrap_or(held.len()) > self.limits.line {
            return Err(Fault::LineTooLong { limit: self.limits.line });
        }
        if let Some(line) = line {
            version(&held[..line])?;
        }
        if held.len() > self.limits.head {
            return Err(Fault::HeadTooLong { limit: self.limits.head });
        }
        let Some(end) = end else { return Ok(None) };
        let length = content_length(&src[..end])?;
        if length > self.limits.body as u64 {
            return Err(Fault::BodyTooLong { length, limit: self.limits.body });
        }
        Ok(Some(end + length as usize))
    }

    fn message(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, Fault> {
        if self.whole.is_none() {
            self.whole = self.measure(src)?;
        }
        let Some(whole) = self.whole else { return Ok(None) };
        if src.len() < whole {
            src.reserve(whole - src.len());
            return Ok(None);
        }
        (self.whole, self.searched) = (None, 0);
        let bytes = src.split_to(whole);
        let (message, used) = Message::<Vec<u8>>::parse(&bytes[..])
            .map_err(|_| Fault::Malformed { what: "neither a request nor an answer", at: 0 })?;
        if used != whole {
            return Err(Fault::Malformed { what: "bytes left over after the body", at: used });
        }
        match message {
            Message::Request(request) => Ok(Some(Packet::Request(request))),
            Message::Response(response) => Ok(Some(Packet::Response(response))),
            Message::Data(_) => Err(Fault::Malformed { what: "a frame within a message", at: 0 }),
        }
    }
}

/// Another version than 1.0 in a request or status line that is otherwise shaped like one.
fn version(line: &[u8]) -> Result<(), Fault> {
    let words: Vec<&[u8]> = line.split(|&b| b == b' ').collect();
    let named = match words.as_slice() {
        [first, ..] if first.starts_with(b"RTSP/") => first,
        [_, _, last] if last.starts_with(b"RTSP/") => last,
        _ => return Err(Fault::Malformed { what: "the first line is no RTSP request or answer", at: 0 }),
    };
    if *named == b"RTSP/1.0" {
        return Ok(());
    }
    Err(Fault::Version { found: String::from_utf8_lossy(named).into_owned() })
}

fn content_length(head: &[u8]) -> Result<u64, Fault> {
    let mut length = None;
    let mut at = 0;
    for line in head.split(|&b| b == b'\n') {
        if let Some(colon) = line.iter().position(|&b| b == b':')
            && line[..colon].trim_ascii().eq_ignore_ascii_case(b"content-length")
        {
            let digits = line[colon + 1..].trim_ascii();
            let bad = Fault::Malformed { what: "a Content-Length that is no number", at: at + colon + 1 };
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(bad);
            }
            let value = digits.iter().fold(0, |sum, &d| sum * 10 + u64::from(d - b'0'));
            if length.is_some_and(|before| before != value) {
                return Err(Fault::Malformed { what: "two Content-Length headers that differ", at });
            }
            length = Some(value);
        }
        at += line.len() + 1;
    }
    Ok(length.unwrap_or(0))
}

impl Decoder for Codec {
    type Item = Packet;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, Fault> {
        if self.broken {
            src.clear();
            return Ok(None);
        }
        // Empty lines before a message are passed over (RFC 2326, 4.1).
        if self.whole.is_none() && self.searched == 0 {
            let blank = src.iter().take_while(|&&b| b == b'\r' || b == b'\n').count();
            src.advance(blank);
        }
        if src.is_empty() {
            return Ok(None);
        }
        let got = if src[0] == b'$' { self.frame(src) } else { self.message(src) };
        self.broken = got.is_err();
        got
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, Fault> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(Fault::CutShort { held: src.len() }),
            got => Ok(got),
        }
    }
}

impl Encoder<Packet> for Codec {
    type Error = Fault;

    fn encode(&mut self, packet: Packet, dst: &mut BytesMut) -> Result<(), Fault> {
        let failed = |_| Fault::Malformed { what: "a message that can't be written", at: 0 };
        match packet {
            Packet::Request(request) => request.write(&mut dst.writer()).map_err(failed),
            Packet::Response(response) => response.write(&mut dst.writer()).map_err(failed),
            Packet::Raw(bytes) => {
                dst.extend_from_slice(&bytes);
                Ok(())
            }
            Packet::Frame { channel, payload } => {
                let length =
                    u16::try_from(payload.len()).ok().filter(|&l| usize::from(l) <= self.limits.frame);
                let length = length.ok_or(Fault::FrameTooLong {
                    channel,
                    length: payload.len(),
                    limit: self.limits.frame,
                })?;
                dst.reserve(4 + payload.len());
                dst.put_slice(&[b'$', channel]);
                dst.put_u16(length);
                dst.put_slice(&payload);
                Ok(())
            }
        }
    }
}
