//! Idle connections to nodes, kept so that a SETUP need not wait for a handshake. A connection carries one session
//! at a time: to give a SETUP up is to close its connection, which no other session has to suffer for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ashglade_rtsp::Codec;
use futures_util::{FutureExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

pub type Connection = Framed<TcpStream, Codec>;

/// Bytes read from a node at once, at first.
const READ: usize = 16 * 1024;
/// An idle connection is held for so long: under the time after which most servers close it.
const IDLE: Duration = Duration::from_secs(20);

pub struct Pool {
    most: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool { most, idle: Mutex::default() }
    }

    /// An idle connection on which the node has neither said anything nor gone, the latest used first.
    pub fn take(&self, node: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(|broken| broken.into_inner());
        let kept = idle.get_mut(&node)?;
        while let Some((since, mut connection)) = kept.pop() {
            if since.elapsed() < IDLE && connection.next().now_or_never().is_none() {
                return Some(connection);
            }
        }
        None
    }

    pub fn put(&self, node: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(|broken| broken.into_inner());
        let kept = idle.entry(node).or_default();
        kept.retain(|(since, _)| since.elapsed() < IDLE);
        if kept.len() < self.most {
            kept.push((Instant::now(), connection));
        }
    }

    /// Opens a connection, or takes an idle one.
    pub async fn connect(&self, node: SocketAddr, within: Duration) -> std::io::Result<Connection> {
        if let Some(connection) = self.take(node) {
            return Ok(connection);
        }
        let stream = tokio::time::timeout(within, TcpStream::connect(node)).await??;
        stream.set_nodelay(true)?;
        Ok(Framed::with_capacity(stream, Codec::relaying(), READ))
    }
}
