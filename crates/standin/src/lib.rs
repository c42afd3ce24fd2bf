//! Stand-ins for a director's peers, for tests on loopback: media nodes with shared uplinks, slow start and
//! overload, and scripted viewers that request, watch, retry and leave. The caller injects faults.

mod connection;
mod hls;
pub mod hls_player;
pub mod node;
mod recorder;
pub mod viewer;

pub use node::{Faults, Fleet, NodeSpec};
pub use recorder::TrafficRecorder;
