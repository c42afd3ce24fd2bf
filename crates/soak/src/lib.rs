//! Seeded trials of planned shutdowns on the platform's protocol.
//!
//! A trial runs some directors as real processes on loopback, between stand-ins for viewers, media nodes and
//! the event bus. Its settings and faults are drawn from one seed. Everything that passes the stand-ins'
//! sockets is [recorded](record), and the [judge](judge) counts from that record alone, by the protocol's
//! rules.

pub mod bus;
pub mod judge;
pub mod line;
pub mod node;
pub mod plan;
pub mod process;
pub mod record;
pub mod rng;
pub mod trial;
pub mod viewer;
