//! HLS (RFC 8216) for each session. The director hands every player playlists of its own: [`playlist`] rewrites those
//! of the node, [`token`] ties every URI in them to the session, [`session`] is the session's state over stateless
//! requests. There is no I/O, no clock and no thread in it, and nothing of who plays where is decided here.

pub mod playlist;
pub mod session;
pub mod token;

pub use playlist::{Master, Media, Trouble, Variant};
pub use session::{Ask, Gone, Session, Step};
pub use token::{Forged, Key, Keys, Token};

#[cfg(test)]
mod tests;
