//! What a director reads: the headend settings and the box list, in protobuf text format. The schemas are in
//! `proto/`. Each field is checked; an error names file, line and field. Nothing here decides.

mod boxes;
mod headend;
pub mod text;

pub use boxes::{Names, boxes, watched_boxes, write_boxes};
pub use headend::{Door, Front, Hls, Repeats, Settings, Share, Talk, Title, settings};
pub use text::Trouble;

/// The schemas as generated types.
pub mod schema {
    #![allow(clippy::all)]
    pub mod headend {
        include!(concat!(env!("OUT_DIR"), "/ashglade.headend.rs"));
    }
    pub mod boxes {
        include!(concat!(env!("OUT_DIR"), "/ashglade.boxes.rs"));
    }
}

/// The compiled schemas, for reading text.
pub(crate) const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));

#[cfg(test)]
mod tests;
