//! The files that a director reads: headend settings and node lists, in protobuf text format. The schemas are
//! in `proto/`. Each field is validated; errors name the file, line and field. This crate contains no policy.

mod headend;
mod node_list;
pub mod text_format;

pub use headend::{
    AdmissionSettings, HlsSettings, PeerSettings, RetryLimit, RtspSettings, Settings, SharingSettings, Title,
    parse_settings,
};
pub use node_list::{HeadendNames, format_node_list, parse_node_list, parse_node_list_with_omissions};
pub use text_format::SettingsError;

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
