//! The platform's protocol without I/O, clock or threads: JSON lines between viewers, directors and media
//! nodes, events from the event bus, and the [`gateway`] that translates both into the engine's inputs and
//! its effects back into lines. No other package deals with the protocol's field names.
//!
//! Received messages are never forwarded as they are. Each is parsed into checked values and encoded anew,
//! because a node that receives a line it can't parse closes the connection, and with it everything else that
//! is open there.

pub mod bus;
pub mod byte_budget;
pub mod causes;
pub mod config;
mod early_ends;
pub mod gateway;
pub mod line_decoder;
pub mod message;
mod orphaned_releases;
mod recent_tags;
mod resource_limits;
pub mod setup_request;
mod upstream;

pub use byte_budget::{ByteAccount, ByteBudget, ByteReservation};
pub use config::Config;
pub use gateway::{Action, CloseReason, DownstreamId, Event, Gateway, OpenWork, UpstreamId};
pub use line_decoder::LineDecoder;
pub use message::{Message, Tag, Verb};
pub use resource_limits::{ResourceLimits, queued_line_bytes};

#[cfg(test)]
mod answer_length_tests;
#[cfg(test)]
mod byte_budget_tests;
#[cfg(test)]
mod equivalence_tests;
#[cfg(test)]
mod lost_connection_tests;
#[cfg(test)]
mod repeated_tag_tests;
#[cfg(test)]
mod session_end_tests;
#[cfg(test)]
mod shutdown_tests;
#[cfg(test)]
mod tests;
