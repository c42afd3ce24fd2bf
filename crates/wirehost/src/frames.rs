//! Frames and the fields in them: little-endian, unpadded.

use std::fmt;
use std::io::{ErrorKind, Read};

use ashglade::ids::NodeId;

/// Bytes of a batch's header: index, clock, length of the frame, count of records.
pub const HEADER: usize = 20;
/// Bytes of one entry of a list of nodes.
pub const ENTRY: usize = 23;

/// What is wrong with the input, and at which of its bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Trouble {
    at: u64,
    what: String,
}

impl Trouble {
    pub fn new(at: u64, what: impl Into<String>) -> Trouble {
        Trouble { at, what: what.into() }
    }

    /// The same, with `bytes` of input before the frame that it counts from.
    pub fn after(self, bytes: u64) -> Trouble {
        Trouble { at: self.at + bytes, ..self }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the input", self.what, self.at)
    }
}

/// Reads one frame whole; false at a clean end of input.
pub fn read(input: &mut impl Read, frame: &mut Vec<u8>, start: u64) -> Result<bool, Trouble> {
    frame.clear();
    fill(input, frame, HEADER, start)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < HEADER {
        return Err(Trouble::new(start + frame.len() as u64, "input ends within a batch's header"));
    }
    let length = Fields::new(frame, 12).u32()? as usize;
    if length < HEADER {
        return Err(Trouble::new(start + 12, format!("a batch can't be {length} bytes long")));
    }
    fill(input, frame, length - HEADER, start)?;
    if frame.len() < length {
        return Err(Trouble::new(
            start + frame.len() as u64,
            format!("input ends within a batch of {length} bytes"),
        ));
    }
    Ok(true)
}

fn fill(input: &mut impl Read, frame: &mut Vec<u8>, bytes: usize, start: u64) -> Result<(), Trouble> {
    match input.take(bytes as u64).read_to_end(frame) {
        Ok(_) => Ok(()),
        Err(e) if e.kind() == ErrorKind::Interrupted => Ok(()),
        Err(e) => Err(Trouble::new(start + frame.len() as u64, format!("can't read: {e}"))),
    }
}

/// Takes one field after another from a frame.
#[derive(Clone)]
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], at: usize) -> Fields<'a> {
        Fields { bytes, at }
    }

    pub fn at(&self) -> usize {
        self.at
    }

    pub fn is_empty(&self) -> bool {
        self.at >= self.bytes.len()
    }

    pub fn trouble(&self, what: impl Into<String>) -> Trouble {
        Trouble::new(self.at as u64, what)
    }

    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Trouble> {
        let end = self.at.checked_add(count).filter(|&end| end <= self.bytes.len());
        let end =
            end.ok_or_else(|| self.trouble(format!("the batch ends within a field of {count} bytes")))?;
        let field = &self.bytes[self.at..end];
        self.at = end;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Trouble> {
        let mut field = [0; N];
        field.copy_from_slice(self.take(N)?);
        Ok(field)
    }

    pub fn u8(&mut self) -> Result<u8, Trouble> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, Trouble> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Trouble> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Trouble> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, Trouble> {
        self.array().map(f32::from_le_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, Trouble> {
        self.array().map(f64::from_le_bytes)
    }

    pub fn node(&mut self) -> Result<NodeId, Trouble> {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(self.take(6)?);
        Ok(NodeId(u64::from_le_bytes(wide)))
    }

    /// A count of bytes, then as many bytes.
    pub fn text(&mut self) -> Result<&'a [u8], Trouble> {
        let count = self.u32()? as usize;
        self.take(count)
    }
}

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    pub bytes: Vec<u8>,
}

impl Reply {
    pub fn put(&mut self, field: &[u8]) -> &mut Reply {
        self.bytes.extend_from_slice(field);
        self
    }

    /// A count of bytes, then as many bytes, cut to `most`.
    pub fn text(&mut self, text: &[u8], most: usize) -> &mut Reply {
        let text = &text[..text.len().min(most)];
        self.put(&(text.len() as u16).to_le_bytes()).put(text)
    }

    pub fn node(&mut self, node: NodeId) -> &mut Reply {
        self.put(&node.0.to_le_bytes()[..6])
    }
}
