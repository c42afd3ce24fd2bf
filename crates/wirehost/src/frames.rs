//! Reading of frames and their fields, and writing of replies. All fields are little-endian and unpadded.
//!
//! A frame holds one batch: a header of [`BATCH_HEADER_BYTES`] bytes (index `u32`, clock `f64` in
//! milliseconds, length of the whole frame in bytes `u32`, number of records `u32`), then the records. Each
//! record starts with a `u8` code that determines its fields.

use std::fmt;
use std::io::{ErrorKind, Read};

use ashglade::ids::NodeId;

/// Length of a batch's header.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Length of one entry of a node list.
pub const NODE_LIST_ENTRY_BYTES: usize = 23;

/// An error in the input, with its position.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameError {
    /// Bytes from the start of the frame or, after [`FrameError::with_base`], of the input.
    offset: u64,
    message: String,
}

impl FrameError {
    /// Creates an error at `offset` bytes from the start of the frame or of the input.
    pub fn new(offset: u64, message: impl Into<String>) -> FrameError {
        FrameError { offset, message: message.into() }
    }

    /// Converts an offset within a frame to one within the input, where the frame starts at `base` bytes.
    pub fn with_base(self, base: u64) -> FrameError {
        FrameError { offset: self.offset + base, ..self }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the input", self.message, self.offset)
    }
}

/// Reads one whole frame that starts at byte `start` of the input. Returns false if the input ends before it.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>, start: u64) -> Result<bool, FrameError> {
    frame.clear();
    read_up_to(input, frame, BATCH_HEADER_BYTES, start)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < BATCH_HEADER_BYTES {
        return Err(FrameError::new(start + frame.len() as u64, "input ends within the header of a batch"));
    }
    let length = FieldReader::new(frame, 12).u32()? as usize;
    if length < BATCH_HEADER_BYTES {
        return Err(FrameError::new(start + 12, format!("batch length {length} is shorter than its header")));
    }
    read_up_to(input, frame, length - BATCH_HEADER_BYTES, start)?;
    if frame.len() < length {
        return Err(FrameError::new(
            start + frame.len() as u64,
            format!("input ends within a batch of {length} bytes"),
        ));
    }
    Ok(true)
}

/// Appends `max_bytes` bytes to the frame, fewer if the input ends before that. `start` is the frame's offset
/// in the input.
fn read_up_to(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    max_bytes: usize,
    start: u64,
) -> Result<(), FrameError> {
    match input.take(max_bytes as u64).read_to_end(frame) {
        Ok(_) => Ok(()),
        Err(e) if e.kind() == ErrorKind::Interrupted => Ok(()),
        Err(e) => Err(FrameError::new(start + frame.len() as u64, format!("failed to read the input: {e}"))),
    }
}

/// Reads the fields of a frame in their order.
#[derive(Clone)]
pub struct FieldReader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> FieldReader<'a> {
    /// Starts at an offset in bytes.
    pub fn new(bytes: &'a [u8], offset: usize) -> FieldReader<'a> {
        FieldReader { bytes, offset }
    }

    /// Returns the offset of the next field in bytes.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns whether all fields have been read.
    pub fn is_empty(&self) -> bool {
        self.offset >= self.bytes.len()
    }

    /// Returns an error at the next field.
    pub fn error(&self, message: impl Into<String>) -> FrameError {
        FrameError::new(self.offset as u64, message)
    }

    /// Reads a field of `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], FrameError> {
        let end = self.offset.checked_add(count).filter(|&end| end <= self.bytes.len());
        let end = end.ok_or_else(|| self.error(format!("batch ends within a field of {count} bytes")))?;
        let field = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut field = [0; N];
        field.copy_from_slice(self.bytes(N)?);
        Ok(field)
    }

    pub fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, FrameError> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, FrameError> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, FrameError> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, FrameError> {
        self.array().map(f32::from_le_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, FrameError> {
        self.array().map(f64::from_le_bytes)
    }

    /// Reads a node id, an integer of 6 bytes.
    pub fn node_id(&mut self) -> Result<NodeId, FrameError> {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(self.bytes(6)?);
        Ok(NodeId(u64::from_le_bytes(wide)))
    }

    /// Reads a `u32` length, then as many bytes.
    pub fn length_prefixed(&mut self) -> Result<&'a [u8], FrameError> {
        let length = self.u32()? as usize;
        self.bytes(length)
    }
}

/// Writes the fields of a reply in their order.
#[derive(Default)]
pub struct ReplyWriter {
    pub bytes: Vec<u8>,
}

impl ReplyWriter {
    /// Writes a field that is already encoded.
    pub fn put(&mut self, field: &[u8]) -> &mut ReplyWriter {
        self.bytes.extend_from_slice(field);
        self
    }

    /// Writes a `u16` length, then as many bytes. Bytes beyond `max_bytes` are cut off.
    pub fn put_length_prefixed(&mut self, field: &[u8], max_bytes: usize) -> &mut ReplyWriter {
        let field = &field[..field.len().min(max_bytes)];
        self.put(&(field.len() as u16).to_le_bytes()).put(field)
    }

    /// Writes a node id, an integer of 6 bytes.
    pub fn put_node_id(&mut self, node: NodeId) -> &mut ReplyWriter {
        self.put(&node.0.to_le_bytes()[..6])
    }
}
