//! UDP transport between directors. It carries the messages of `ashglade_shared`, which decides on their
//! content, and passes the resulting limits and suspected nodes to the engine.
//!
//! Each datagram is authenticated, of bounded size and numbered. Datagrams that are forged, truncated,
//! replayed, of another format version or from another address than their sender's are discarded.

pub mod codec;
mod config;
mod engine_updates;
pub mod replay;
mod status;
mod transport;

pub use ashglade_shared::InjectedFault;
pub use config::{RETRY_POOL, TICK_INTERVAL, fleet_config, max_send_delay, retry_window};
pub use engine_updates::EngineUpdates;
pub use status::{NodeReport, PeerStatus};
pub use transport::{EngineSink, PeerTransport, run};
