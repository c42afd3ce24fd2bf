//! One SETUP at a node, from the connection to the answer. How it ended is told as the socket proves it: what was
//! not written never ran; what was written may have.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ashglade::ids::{NodeId, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_engine::{Input, LoadReport};
use ashglade_rtsp::client::{Answer, Client};
use ashglade_rtsp::{Packet, Response, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{StatusCode, Url};
use tokio::task::JoinHandle;

use crate::node::NodeSide;
use crate::pool::Connection;
use crate::shared::Shared;

/// How a SETUP ended, with the load that the answer told; where the node accepted it, with what the front holds of it.
pub type Outcome<T> = Result<(T, Option<LoadReport>), (End, Option<LoadReport>)>;

/// How a SETUP came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    As(AttemptOutcome),
    /// The node doesn't hold the title.
    Missing,
}

/// What the engine is told of a SETUP that has ended, and what is held if it started.
pub fn told<T>(sess: SessionId, setup: SetupNumber, outcome: Outcome<T>) -> (Input, Option<T>) {
    match outcome {
        Ok((held, load)) => (Input::SetupAccepted { session: sess, setup, load }, Some(held)),
        Err((End::As(how), load)) => (Input::SetupFailed { session: sess, setup, outcome: how, load }, None),
        Err((End::Missing, load)) => (Input::TitleMissing { session: sess, setup, load }, None),
    }
}

/// A SETUP that is out, by either front.
pub struct Attempt<T> {
    pub setup: SetupNumber,
    task: JoinHandle<Outcome<T>>,
    /// Set before the first byte is written.
    written: Arc<AtomicBool>,
}

/// What the task that sends a SETUP says just before it writes the first byte.
pub struct Begins {
    pub sess: SessionId,
    pub setup: SetupNumber,
    /// When the engine decided it.
    decided: Instant,
    written: Arc<AtomicBool>,
}

impl Begins {
    /// False if it must not be written any longer: a director that stood still since it decided may have decided it by
    /// rights that are another's by now. Only where directors share any.
    pub async fn writing(&self, shared: &Shared) -> bool {
        let within = ashglade_peer_transport::max_send_delay(&shared.settings);
        if shared.settings.talk.is_some() && shared.clock.now() - self.decided > within {
            return false;
        }
        self.written.store(true, Ordering::SeqCst);
        shared.core.tell(Input::SetupWritten { session: self.sess, setup: self.setup }).await;
        true
    }
}

impl<T: Send + 'static> Attempt<T> {
    pub fn start<F>(
        sess: SessionId,
        setup: SetupNumber,
        decided: Instant,
        send: impl FnOnce(Begins) -> F,
    ) -> Attempt<T>
    where
        F: Future<Output = Outcome<T>> + Send + 'static,
    {
        let written = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(send(Begins { sess, setup, decided, written: written.clone() }));
        Attempt { setup, task, written }
    }

    pub fn written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Waits for the end; may be dropped and called again.
    pub async fn ended(&mut self) -> Outcome<T> {
        (&mut self.task).await.unwrap_or(Err((End::As(AttemptOutcome::Lost), None)))
    }

    /// Gives the SETUP up, by closing its connection, unless it has just ended by itself.
    pub async fn withdraw(self) -> Outcome<T> {
        self.task.abort();
        match self.task.await {
            Ok(outcome) => outcome,
            Err(_) if self.written.load(Ordering::SeqCst) => Err((End::As(AttemptOutcome::Cancelled), None)),
            Err(_) => Err((End::As(AttemptOutcome::Unsent), None)),
        }
    }
}

/// What is to be set up where, by RTSP.
pub struct Wanted {
    pub node: NodeId,
    pub address: SocketAddr,
    pub url: Url,
    /// The track that the viewer begins with.
    pub track: u8,
}

/// Sends a SETUP by RTSP.
pub async fn send(shared: Arc<Shared>, wanted: Wanted, begins: Begins) -> Outcome<Box<NodeSide>> {
    let Wanted { node, address, url, track } = wanted;
    let connection = shared.pool.connect(address, shared.settings.front.connect_timeout).await;
    let connection = connection.map_err(|_| (End::As(AttemptOutcome::Unreachable), None))?;
    let mut client = Client::new(url);
    let request = client.setup(track, shared.clock.elapsed_micros());
    if !begins.writing(&shared).await {
        shared.pool.put(address, connection);
        return Err((End::As(AttemptOutcome::Unsent), None));
    }
    let lost = |_| (End::As(AttemptOutcome::Lost), None);
    let mut out = Unanswered(Some(connection));
    out.connection()?.send(Packet::Request(request)).await.map_err(lost)?;
    loop {
        let packet =
            out.connection()?.next().await.ok_or((End::As(AttemptOutcome::Lost), None))?.map_err(lost)?;
        let Packet::Response(response) = packet else { continue };
        let load = load(&response);
        match client.answered(&response) {
            Answer::Done(_) => {
                let side = NodeSide::hold(&shared, (node, address), out.answered()?, client).await;
                return Ok((Box::new(side), load));
            }
            Answer::Refused(_, StatusCode::NotEnoughBandwidth | StatusCode::ServiceUnavailable) => {
                shared.pool.put(address, out.answered()?);
                return Err((End::As(AttemptOutcome::Full), load));
            }
            Answer::Refused(_, StatusCode::NotFound) => {
                shared.pool.put(address, out.answered()?);
                return Err((End::Missing, load));
            }
            Answer::Refused(..) => return Err((End::As(AttemptOutcome::Fault), load)),
            Answer::Stray => {}
        }
    }
}

/// A connection with a SETUP on it that has no answer. Given up, it is reset and not closed: what the other end has not
/// taken yet is dropped. Guards against a SETUP that arrives when a cut heals, long after others were set up in its place.
struct Unanswered(Option<Connection>);

impl Unanswered {
    fn connection(&mut self) -> Result<&mut Connection, (End, Option<LoadReport>)> {
        self.0.as_mut().ok_or((End::As(AttemptOutcome::Lost), None))
    }

    fn answered(&mut self) -> Result<Connection, (End, Option<LoadReport>)> {
        self.0.take().ok_or((End::As(AttemptOutcome::Lost), None))
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            let _ = connection.get_ref().set_zero_linger();
        }
    }
}

/// The load that an answer tells, in the engine's words.
pub fn load(response: &Response) -> Option<LoadReport> {
    messages::load_of(response).map(in_our_words)
}

/// A load as nodes tell it, in the engine's words.
pub fn in_our_words(told: ashglade_rtsp::load::Load) -> LoadReport {
    LoadReport { link: told.link, uplink: told.uplink, streams: told.streams }
}
