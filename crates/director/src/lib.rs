//! The director on sockets: a thin shell around the engine. One task owns the engine and drains what has come in
//! into one round; connection tasks carry bytes and time. Nothing here decides.

mod attempt;
mod core;
mod errands;
mod files;
mod hls;
mod lists;
mod node;
mod orders;
mod owed;
mod pool;
mod probe;
mod serve;
mod session;
mod shared;
mod viewer;

pub use ashglade_clock::Clock;
pub use ashglade_peer_transport::InjectedFault;
pub use files::Trouble;
pub use lists::Files;
pub use serve::{Options, door_view, load, replay_start, serve, shared_view};
