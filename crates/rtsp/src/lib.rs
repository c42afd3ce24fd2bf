//! The subset of RTSP 1.0 (RFC 2326) that a session front needs, with RTP and RTCP interleaved on the RTSP
//! connection (section 10.12): a codec, a server state machine towards the viewer, a client state machine
//! towards the media node, load reports in `text/parameters`, and rewriting that keeps RTP continuous across
//! a change of rendition. Nothing in this crate performs I/O or reads a clock.

pub mod client;
pub mod codec;
pub mod digest;
pub mod load;
pub mod messages;
pub mod presentation;
pub mod rewrite;
pub mod rtcp;
pub mod server;

pub use codec::{Codec, CodecError, Limits, Packet};

/// An RTSP request with its body.
pub type Request = rtsp_types::Request<Vec<u8>>;
/// An RTSP response with its body.
pub type Response = rtsp_types::Response<Vec<u8>>;
