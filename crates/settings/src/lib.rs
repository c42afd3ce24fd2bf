//! The files that a director reads: headend settings and node lists, in protobuf text format. The schemas are
//! in `proto/`. Each field is validated; errors name the file, line and field. This crate contains no policy.

mod boxes;
mod headend;
pub mod text;

pub use boxes::{Names, boxes, watched_boxes, write_boxes};
pub use headend::{Door, Front, Hls, Repeats, Settings, Share, Talk, Title, settings};
pub use text::Trouble;

/// Types generated from the schemas in `proto/`.
pub mod schema {
    #![allow(clippy::all)]
    /// Types of `proto/headend.proto`.
    pub mod headend {
        include!(concat!(env!("OUT_DIR"), "/ashglade.headend.rs"));
    }
    /// Types of `proto/boxes.proto`.
    pub mod boxes {
        include!(concat!(env!("OUT_DIR"), "/ashglade.boxes.rs"));
    }
}

/// The encoded descriptor set of the schemas, which the text format parser requires.
pub(crate) const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));

#[cfg(test)]
mod tests;
