//! The state machine of one director. [`Engine::round`] takes the inputs that arrived since the last round
//! and returns the effects to carry out. It does no I/O, reads no clock and starts no thread, so the running
//! director, a replay and the emulator drive the same code, and a recorded sequence of inputs yields the same
//! effects byte for byte.
//!
//! The policy ([`ashglade::policy`]) decides which session plays, on which node and at which rung. The engine
//! hosts it through [`ashglade::interface::DecisionSink`] and enforces what the policy relies on its host
//! for:
//!
//! - each SETUP ends by its deadline, and exactly one outcome is reported for it ([`setups`]);
//! - each request gets exactly one response, before its setup timeout in all cases ([`sessions`]);
//! - a node that accepts a SETUP after it was cancelled is told to release the session, so none leaks there;
//! - no unsent SETUP goes to a node that is reported as draining;
//! - the delivery ratios of sessions are summed per node once a second ([`delivery`]);
//! - the number of concurrent sessions is bounded.

mod decision_sink;
pub mod delivery;
mod engine;
pub mod messages;
pub mod record;
pub mod sessions;
pub mod setups;
pub mod timers;

pub use ashglade_admission::{AdmissionConfig, AdmissionStatus, RejectReason};
pub use engine::{Engine, EngineConfig, SetupResult};
pub use messages::{
    BusyReason, Effect, Input, LeaseExpiry, LoadReport, NodeStatus, NodeUpdate, SessionResponse,
    ViewerRequest,
};
pub use sessions::Tally;

#[cfg(test)]
mod tests;
