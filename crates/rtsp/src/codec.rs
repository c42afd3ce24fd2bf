//! A `tokio_util` codec for RTSP requests, responses and interleaved frames. `rtsp-types` parses the
//! messages; this module finds the end of a message before it is parsed and enforces size limits, so that a
//! peer can't make the receiver buffer or scan more than the limits allow.

use bytes::{Buf, BufMut, BytesMut};
use rtsp_types::{Message, StatusCode};
use tokio_util::codec::{Decoder, Encoder};

use crate::{Request, Response};

/// Size limits of one message, in bytes unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Length of the request line or status line.
    pub max_line_bytes: usize,
    /// Total length of the first line and all headers.
    pub max_head_bytes: usize,
    /// Number of headers. Each takes more memory when it is parsed than its text has.
    pub max_headers: usize,
    pub max_body_bytes: usize,
    /// Payload of an interleaved frame. The format allows up to 65,535.
    pub max_frame_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_line_bytes: 2 * 1024,
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            max_body_bytes: 64 * 1024,
            max_frame_bytes: 65_535,
        }
    }
}

/// A unit decoded from, or encoded to, an RTSP connection.
#[derive(Debug)]
pub enum Packet {
    Request(Request),
    Response(Response),
    /// An interleaved frame (RFC 2326, 10.12): `$`, channel, length, payload.
    Frame {
        channel: u8,
        payload: BytesMut,
    },
    /// An interleaved frame with its four header bytes, from a codec that was created by
    /// [`Codec::with_raw_frames`].
    RawFrame(BytesMut),
}

/// Length of the header of an interleaved frame, in bytes. Its second byte is the channel.
pub const FRAME_HEADER_BYTES: usize = 4;

/// An error after which a connection can't be decoded any further. Other connections are not affected.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    #[error("request or status line exceeds {limit} bytes")]
    LineTooLong { limit: usize },
    #[error("headers exceed {limit} bytes")]
    HeadTooLong { limit: usize },
    #[error("more than {limit} headers")]
    TooManyHeaders { limit: usize },
    #[error("body of {length} bytes exceeds the limit of {limit} bytes")]
    BodyTooLong { length: u64, limit: usize },
    #[error("interleaved frame of {length} bytes on channel {channel} exceeds the limit of {limit} bytes")]
    FrameTooLong { channel: u8, length: usize, limit: usize },
    #[error("unsupported version {found:?}; only RTSP/1.0 is supported")]
    Version { found: String },
    #[error("{what}, at byte {at} of the message")]
    Malformed { what: &'static str, at: usize },
    #[error("connection closed inside a message, after {received_bytes} bytes of it")]
    Truncated { received_bytes: usize },
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl CodecError {
    /// Returns the status to respond with before the connection is closed, or `None` where the error does not
    /// concern a request that the peer awaits a response to.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            CodecError::LineTooLong { .. } => Some(StatusCode::RequestURITooLong),
            CodecError::HeadTooLong { .. }
            | CodecError::TooManyHeaders { .. }
            | CodecError::BodyTooLong { .. } => Some(StatusCode::RequestMessageBodyTooLarge),
            CodecError::Version { .. } => Some(StatusCode::RTSPVersionNotSupported),
            CodecError::Malformed { .. } => Some(StatusCode::BadRequest),
            CodecError::FrameTooLong { .. } | CodecError::Truncated { .. } | CodecError::Io(_) => None,
        }
    }
}

/// Encoder and decoder of an RTSP connection with interleaved frames.
#[derive(Debug, Default)]
pub struct Codec {
    limits: Limits,
    /// Number of buffered bytes that were already searched for the end of the headers. Each byte is searched
    /// once, even if the peer sends them one by one.
    searched_bytes: usize,
    /// Total length of the message at the start of the buffer, known once all its headers have arrived.
    message_length: Option<usize>,
    /// Set by the first error; no input is decoded after it.
    failed: bool,
    /// Frames are returned as [`Packet::RawFrame`].
    raw_frames: bool,
}

impl Codec {
    pub fn new(limits: Limits) -> Codec {
        Codec { limits, ..Codec::default() }
    }

    /// Creates a codec that returns frames with their headers, as [`Packet::RawFrame`]. Consecutive frames
    /// stay contiguous in memory, so that a relay can forward them together without a copy.
    pub fn with_raw_frames() -> Codec {
        Codec { raw_frames: true, ..Codec::default() }
    }

    fn decode_frame(&self, src: &mut BytesMut) -> Result<Option<Packet>, CodecError> {
        if src.len() < 4 {
            return Ok(None);
        }
        let (channel, length) = (src[1], usize::from(u16::from_be_bytes([src[2], src[3]])));
        if length > self.limits.max_frame_bytes {
            return Err(CodecError::FrameTooLong { channel, length, limit: self.limits.max_frame_bytes });
        }
        if src.len() < 4 + length {
            src.reserve(4 + length - src.len());
            return Ok(None);
        }
        if self.raw_frames {
            return Ok(Some(Packet::RawFrame(src.split_to(FRAME_HEADER_BYTES + length))));
        }
        src.advance(FRAME_HEADER_BYTES);
        Ok(Some(Packet::Frame { channel, payload: src.split_to(length) }))
    }

    /// Returns the total length of headers and body once all headers are buffered.
    fn measure_message(&mut self, src: &BytesMut) -> Result<Option<usize>, CodecError> {
        let from = self.searched_bytes.saturating_sub(3);
        let end = src[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
        self.searched_bytes = src.len();
        let head = &src[..end.unwrap_or(src.len()).min(self.limits.max_head_bytes + 1)];
        let line = head.windows(2).position(|two| two == b"\r\n");
        if line.unwrap_or(head.len()) > self.limits.max_line_bytes {
            return Err(CodecError::LineTooLong { limit: self.limits.max_line_bytes });
        }
        if let Some(line) = line {
            check_version(&head[..line])?;
        }
        if head.len() > self.limits.max_head_bytes {
            return Err(CodecError::HeadTooLong { limit: self.limits.max_head_bytes });
        }
        let Some(end) = end else { return Ok(None) };
        // Besides the headers, the head has its first line and an empty last one.
        let header_count = src[..end].iter().filter(|&&byte| byte == b'\n').count().saturating_sub(2);
        if header_count > self.limits.max_headers {
            return Err(CodecError::TooManyHeaders { limit: self.limits.max_headers });
        }
        let length = parse_content_length(&src[..end])?;
        if length > self.limits.max_body_bytes as u64 {
            return Err(CodecError::BodyTooLong { length, limit: self.limits.max_body_bytes });
        }
        Ok(Some(end + length as usize))
    }

    fn decode_message(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, CodecError> {
        if self.message_length.is_none() {
            self.message_length = self.measure_message(src)?;
        }
        let Some(message_length) = self.message_length else { return Ok(None) };
        if src.len() < message_length {
            src.reserve(message_length - src.len());
            return Ok(None);
        }
        (self.message_length, self.searched_bytes) = (None, 0);
        let bytes = src.split_to(message_length);
        let (message, consumed) = Message::<Vec<u8>>::parse(&bytes[..])
            .map_err(|_| CodecError::Malformed { what: "not a valid RTSP request or response", at: 0 })?;
        if consumed != message_length {
            return Err(CodecError::Malformed { what: "unexpected bytes after the body", at: consumed });
        }
        match message {
            Message::Request(request) => Ok(Some(Packet::Request(request))),
            Message::Response(response) => Ok(Some(Packet::Response(response))),
            Message::Data(_) => {
                Err(CodecError::Malformed { what: "interleaved frame inside a message", at: 0 })
            }
        }
    }
}

/// Checks that the first line has the shape of a request line or status line and names version 1.0.
fn check_version(line: &[u8]) -> Result<(), CodecError> {
    let words: Vec<&[u8]> = line.split(|&b| b == b' ').collect();
    let version = match words.as_slice() {
        [first, ..] if first.starts_with(b"RTSP/") => first,
        [_, _, last] if last.starts_with(b"RTSP/") => last,
        _ => return Err(CodecError::Malformed { what: "not an RTSP request line or status line", at: 0 }),
    };
    if *version == b"RTSP/1.0" {
        return Ok(());
    }
    Err(CodecError::Version { found: String::from_utf8_lossy(version).into_owned() })
}

/// Returns the value of `Content-Length`, or 0 if the header is missing. Rejects repeated headers whose
/// values differ.
fn parse_content_length(head: &[u8]) -> Result<u64, CodecError> {
    let mut length = None;
    let mut at = 0;
    for line in head.split(|&b| b == b'\n') {
        if let Some(colon) = line.iter().position(|&b| b == b':')
            && line[..colon].trim_ascii().eq_ignore_ascii_case(b"content-length")
        {
            let digits = line[colon + 1..].trim_ascii();
            let invalid =
                CodecError::Malformed { what: "Content-Length is not a number", at: at + colon + 1 };
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(invalid);
            }
            let value = digits.iter().fold(0, |sum, &d| sum * 10 + u64::from(d - b'0'));
            if length.is_some_and(|previous| previous != value) {
                return Err(CodecError::Malformed { what: "conflicting Content-Length headers", at });
            }
            length = Some(value);
        }
        at += line.len() + 1;
    }
    Ok(length.unwrap_or(0))
}

impl Decoder for Codec {
    type Item = Packet;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, CodecError> {
        if self.failed {
            src.clear();
            return Ok(None);
        }
        // Empty lines before a message are ignored (RFC 2326, 4.1).
        if self.message_length.is_none() && self.searched_bytes == 0 {
            let blank = src.iter().take_while(|&&b| b == b'\r' || b == b'\n').count();
            src.advance(blank);
        }
        if src.is_empty() {
            return Ok(None);
        }
        let decoded = if src[0] == b'$' { self.decode_frame(src) } else { self.decode_message(src) };
        self.failed = decoded.is_err();
        decoded
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Packet>, CodecError> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(CodecError::Truncated { received_bytes: src.len() }),
            packet => Ok(packet),
        }
    }
}

impl Encoder<Packet> for Codec {
    type Error = CodecError;

    fn encode(&mut self, packet: Packet, dst: &mut BytesMut) -> Result<(), CodecError> {
        let write_error = |_| CodecError::Malformed { what: "message can't be serialized", at: 0 };
        match packet {
            Packet::Request(request) => request.write(&mut dst.writer()).map_err(write_error),
            Packet::Response(response) => response.write(&mut dst.writer()).map_err(write_error),
            Packet::RawFrame(bytes) => {
                dst.extend_from_slice(&bytes);
                Ok(())
            }
            Packet::Frame { channel, payload } => {
                let length = u16::try_from(payload.len())
                    .ok()
                    .filter(|&l| usize::from(l) <= self.limits.max_frame_bytes);
                let length = length.ok_or(CodecError::FrameTooLong {
                    channel,
                    length: payload.len(),
                    limit: self.limits.max_frame_bytes,
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
