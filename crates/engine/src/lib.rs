//! One director between the module and the world. [`Engine::round`] takes what has come in since the last round
//! and gives back what is to be done; there is no I/O, no clock and no thread in it, so the running director, a
//! replay and an emulator drive the same code, and one recorded run of inputs gives the same effects byte for byte.
//!
//! Who plays, where and at which rung is decided by the module (`ashglade::policy`), which is hosted here through
//! its `Writer`. What the engine holds itself is what the module trusts its host with:
//!
//! - a SETUP ends by the time it was given, and exactly one ending is told for it ([`setups`]);
//! - a request has exactly one answer, before its setup timeout whatever happens ([`answers`]);
//! - an answer that comes after its SETUP was given up does not leak a session at the node;
//! - nothing not yet sent goes to a node that has been told as draining;
//! - what nodes deliver is summed up once a second ([`notes`]);
//! - sessions in hand are bounded.

pub mod answers;
mod desk;
mod engine;
pub mod messages;
pub mod notes;
pub mod record;
pub mod setups;
pub mod timers;

pub use answers::Tally;
pub use ashglade_admission::{AdmissionConfig, AdmissionStatus, RejectReason};
pub use engine::{Engine, EngineConfig, SetupResult};
pub use messages::{
    BusyReason, Effect, Input, LeaseExpiry, LoadReport, NodeStatus, NodeUpdate, SessionResponse,
    ViewerRequest,
};

#[cfg(test)]
mod tests;
