//! Pool of idle connections to nodes, so that a SETUP need not wait for a TCP handshake. A connection carries
//! one session at a time: a SETUP is cancelled by closing its connection, which must not disturb another
//! session.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ashglade_rtsp::Codec;
use futures_util::{FutureExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// An RTSP connection to a node.
pub type Connection = Framed<TcpStream, Codec>;

/// Initial size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The time after which an idle connection is dropped. Shorter than the idle timeout of most servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections by the node's address.
pub struct ConnectionPool {
    max_idle_per_node: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl ConnectionPool {
    /// Keeps at most `max_idle_per_node` idle connections to each node.
    pub fn new(max_idle_per_node: usize) -> ConnectionPool {
        ConnectionPool { max_idle_per_node, idle: Mutex::default() }
    }

    /// Takes the most recently used idle connection that the node has neither closed nor sent anything on.
    pub fn take(&self, node: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let connections = idle.get_mut(&node)?;
        while let Some((idle_since, mut connection)) = connections.pop() {
            if idle_since.elapsed() < IDLE_TIMEOUT && connection.next().now_or_never().is_none() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection without a session to the pool, or closes it if the pool is full.
    pub fn put(&self, node: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let connections = idle.entry(node).or_default();
        connections.retain(|(idle_since, _)| idle_since.elapsed() < IDLE_TIMEOUT);
        if connections.len() < self.max_idle_per_node {
            connections.push((Instant::now(), connection));
        }
    }

    /// Takes an idle connection, or opens one within `timeout`.
    pub async fn connect(&self, node: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
        if let Some(connection) = self.take(node) {
            return Ok(connection);
        }
        let stream = tokio::time::timeout(timeout, TcpStream::connect(node)).await??;
        stream.set_nodelay(true)?;
        Ok(Framed::with_capacity(stream, Codec::with_raw_frames(), READ_BUFFER_BYTES))
    }
}
