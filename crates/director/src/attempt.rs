//! One attempt to set up a session: a SETUP at a node, from the connection to the response. Its outcome
//! follows from what the socket proves: a SETUP of which no byte was written has not run at the node; any
//! other may have.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ashglade::ids::{NodeId, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_engine::{Input, LoadReport};
use ashglade_rtsp::client::{Client, ResponseOutcome};
use ashglade_rtsp::{Packet, Response, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{StatusCode, Url};
use tokio::task::JoinHandle;

use crate::context::DirectorContext;
use crate::node_session::NodeSession;
use crate::pool::Connection;

/// How an attempt ended, with the load that the node reported in its response. `T` is the session that the
/// node has accepted, as the front (RTSP or HLS) holds it.
pub type AttemptResult<T> = Result<(T, Option<LoadReport>), (AttemptError, Option<LoadReport>)>;

/// Why an attempt set up no session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The attempt failed with this outcome.
    Failed(AttemptOutcome),
    /// The node doesn't hold the title.
    TitleMissing,
}

/// Converts the result of an attempt to the engine's input, and the session if the node has accepted it.
pub fn setup_input<T>(
    session_id: SessionId,
    setup: SetupNumber,
    result: AttemptResult<T>,
) -> (Input, Option<T>) {
    match result {
        Ok((accepted, load)) => (Input::SetupAccepted { session: session_id, setup, load }, Some(accepted)),
        Err((AttemptError::Failed(how), load)) => {
            (Input::SetupFailed { session: session_id, setup, outcome: how, load }, None)
        }
        Err((AttemptError::TitleMissing, load)) => {
            (Input::TitleMissing { session: session_id, setup, load }, None)
        }
    }
}

/// An attempt in progress, by either front. Its task sends the SETUP and waits for the response.
pub struct Attempt<T> {
    /// The engine's number of the SETUP.
    pub setup: SetupNumber,
    task: JoinHandle<AttemptResult<T>>,
    /// Set before the first byte of the SETUP is written.
    written: Arc<AtomicBool>,
}

/// Marks a SETUP as written. Used by the task that sends it, just before the first byte.
pub struct WriteMarker {
    /// The session that the SETUP is for.
    pub session_id: SessionId,
    /// The engine's number of the SETUP.
    pub setup: SetupNumber,
    /// When the engine decided on the SETUP.
    decided_at: Instant,
    written: Arc<AtomicBool>,
}

impl WriteMarker {
    /// Marks the SETUP as written and reports that to the engine. Returns false if it must not be written any
    /// longer: a director that was paused since the decision may have used leases that have expired and that
    /// another director holds by now. Applies only where directors share resources.
    pub async fn mark_written(&self, context: &DirectorContext) -> bool {
        let max_delay = ashglade_peer_transport::max_send_delay(&context.settings);
        if context.settings.peering.is_some() && context.clock.now() - self.decided_at > max_delay {
            return false;
        }
        self.written.store(true, Ordering::SeqCst);
        context.engine.submit(Input::SetupWritten { session: self.session_id, setup: self.setup }).await;
        true
    }
}

impl<T: Send + 'static> Attempt<T> {
    /// Starts the task that sends the SETUP.
    pub fn start<F>(
        session_id: SessionId,
        setup: SetupNumber,
        decided_at: Instant,
        send: impl FnOnce(WriteMarker) -> F,
    ) -> Attempt<T>
    where
        F: Future<Output = AttemptResult<T>> + Send + 'static,
    {
        let written = Arc::new(AtomicBool::new(false));
        let task =
            tokio::spawn(send(WriteMarker { session_id, setup, decided_at, written: written.clone() }));
        Attempt { setup, task, written }
    }

    /// Whether a byte of the SETUP may have been written.
    pub fn written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Waits for the result. Cancellation safe: the future may be dropped and the method called again.
    pub async fn wait(&mut self) -> AttemptResult<T> {
        (&mut self.task).await.unwrap_or(Err((AttemptError::Failed(AttemptOutcome::Lost), None)))
    }

    /// Cancels the attempt by closing its connection, and returns its result. An attempt that has already
    /// ended keeps its own result.
    pub async fn cancel(self) -> AttemptResult<T> {
        self.task.abort();
        match self.task.await {
            Ok(result) => result,
            Err(_) if self.written.load(Ordering::SeqCst) => {
                Err((AttemptError::Failed(AttemptOutcome::Cancelled), None))
            }
            Err(_) => Err((AttemptError::Failed(AttemptOutcome::Unsent), None)),
        }
    }
}

/// Target of a SETUP by RTSP.
pub struct SetupTarget {
    pub node: NodeId,
    /// Address at which the node serves RTSP.
    pub address: SocketAddr,
    /// URL of the title at the node, at the rung to set up.
    pub url: Url,
    /// The track that the viewer sets up first.
    pub track: u8,
}

/// Sends a SETUP by RTSP and waits for the response.
pub async fn send_setup(
    context: Arc<DirectorContext>,
    target: SetupTarget,
    marker: WriteMarker,
) -> AttemptResult<Box<NodeSession>> {
    let SetupTarget { node, address, url, track } = target;
    let connection = context.pool.connect(address, context.settings.rtsp.connect_timeout).await;
    let connection = connection.map_err(|_| (AttemptError::Failed(AttemptOutcome::Unreachable), None))?;
    let mut client = Client::new(url);
    let request = client.setup(track, context.clock.elapsed_micros());
    if !marker.mark_written(&context).await {
        context.pool.put(address, connection);
        return Err((AttemptError::Failed(AttemptOutcome::Unsent), None));
    }
    let lost = |_| (AttemptError::Failed(AttemptOutcome::Lost), None);
    let mut pending = PendingConnection(Some(connection));
    pending.connection()?.send(Packet::Request(request)).await.map_err(lost)?;
    loop {
        let packet = pending
            .connection()?
            .next()
            .await
            .ok_or((AttemptError::Failed(AttemptOutcome::Lost), None))?
            .map_err(lost)?;
        let Packet::Response(response) = packet else { continue };
        let load = load_report(&response);
        match client.handle_response(&response) {
            ResponseOutcome::Completed(_) => {
                let node_session = NodeSession::new(&context, (node, address), pending.take()?, client).await;
                return Ok((Box::new(node_session), load));
            }
            ResponseOutcome::Rejected(_, StatusCode::NotEnoughBandwidth | StatusCode::ServiceUnavailable) => {
                context.pool.put(address, pending.take()?);
                return Err((AttemptError::Failed(AttemptOutcome::Full), load));
            }
            ResponseOutcome::Rejected(_, StatusCode::NotFound) => {
                context.pool.put(address, pending.take()?);
                return Err((AttemptError::TitleMissing, load));
            }
            ResponseOutcome::Rejected(..) => return Err((AttemptError::Failed(AttemptOutcome::Fault), load)),
            ResponseOutcome::Unmatched => {}
        }
    }
}

/// A connection with an unanswered SETUP. If dropped, it is reset rather than closed, so that data not yet
/// received by the node is discarded. Otherwise, after a network partition, the SETUP could arrive long after
/// the session was set up elsewhere.
struct PendingConnection(Option<Connection>);

impl PendingConnection {
    /// Returns the connection while the response is outstanding.
    fn connection(&mut self) -> Result<&mut Connection, (AttemptError, Option<LoadReport>)> {
        self.0.as_mut().ok_or((AttemptError::Failed(AttemptOutcome::Lost), None))
    }

    /// Takes the connection out once the response has arrived.
    fn take(&mut self) -> Result<Connection, (AttemptError, Option<LoadReport>)> {
        self.0.take().ok_or((AttemptError::Failed(AttemptOutcome::Lost), None))
    }
}

impl Drop for PendingConnection {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            let _ = connection.get_ref().set_zero_linger();
        }
    }
}

/// Returns the load that the node reported in a response, if it did.
pub fn load_report(response: &Response) -> Option<LoadReport> {
    messages::load_report(response).map(to_load_report)
}

/// Converts a load as reported by a node to the engine's type.
pub fn to_load_report(load: ashglade_rtsp::load::NodeLoad) -> LoadReport {
    LoadReport { link: load.link, uplink: load.uplink, streams: load.streams }
}
