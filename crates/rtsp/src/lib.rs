//! RTSP 1.0 (RFC 2326) with RTP interleaved on the same connection (10.12), as far as a session front
//! needs it: one codec for both sides, the viewer's side as a state machine, load in `text/parameters`,
//! and RTP kept continuous across a change of rendition. Nothing here does I/O or reads a clock.

pub mod client;
pub mod codec;
pub mod digest;
pub mod load;
pub mod messages;
pub mod presentation;
pub mod rewrite;
pub mod rtcp;
pub mod server;

pub use codec::{Codec, Fault, Limits, Packet};

pub type Request = rtsp_types::Request<Vec<u8>>;
pub type Response = rtsp_types::Response<Vec<u8>>;
