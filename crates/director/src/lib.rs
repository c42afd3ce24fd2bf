//! The director's network I/O around the engine. One task owns the engine and runs it in rounds. Tasks for
//! each viewer's connection, session and node list feed it inputs and carry out its effects. Which session
//! goes to which node is decided by the engine alone.

mod attempt;
mod context;
mod engine_handle;
mod engine_task;
mod files;
mod hls;
mod node_lists;
mod node_requests;
mod node_session;
mod pool;
mod probe;
mod rtsp_connection;
mod rtsp_session;
mod serve;
mod teardown;

pub use ashglade_clock::Clock;
pub use ashglade_peer_transport::InjectedFault;
pub use files::StartupError;
pub use node_lists::NodeListFiles;
pub use serve::{Options, admission_status_path, engine_config, load, peer_status_path, serve};
