//! The platform's protocol, free of I/O, clock and threads: lines of JSON between viewers, directors and media nodes, the
//! event bus, and the [`board`] that connects their words with the engine's. The wire's names end here.
//!
//! Nothing that came in is passed on as it came: a message is read into checked values and built anew, since a node
//! closes on what it can't read together with all else that is open on the connection.

pub mod ask;
pub mod board;
mod bounds;
pub mod bus;
pub mod causes;
pub mod config;
pub mod line;
pub mod message;
mod peers;

pub use board::{Action, Board, CloseReason, Event, Link, Trunk};
pub use bounds::Bounds;
pub use config::Config;
pub use line::Lines;
pub use message::{Message, Tag, Verb};

#[cfg(test)]
mod same_tests;
#[cfg(test)]
mod tests;
