//! Stand-ins for what a director meets: media nodes that share links and uplinks, start cold and fall, and viewers
//! that ask, watch, come again and leave. Faults are set from outside, by script. Loopback only.

mod connection;
mod hls;
pub mod hls_player;
mod log;
pub mod node;
pub mod viewer;

pub use log::Log;
pub use node::{Faults, Fleet, Spec};
