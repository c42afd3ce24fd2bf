//! HLS (RFC 8216) with a session per player. Each player receives its own playlists: [`playlist`] rewrites
//! those of the media node, [`token`] binds every URI in them to the session, and [`session`] derives the
//! state of the session from stateless requests. The crate performs no I/O, reads no clock, starts no threads
//! and makes no placement decisions.

pub mod playlist;
pub mod session;
pub mod token;

pub use playlist::{MediaPlaylist, MultivariantPlaylist, PlaylistError, Variant};
pub use session::{GoneReason, RequestAction, RequestKind, Session};
pub use token::{KeyRing, SigningKey, Token, TokenError};

#[cfg(test)]
mod tests;
