//! One SETUP at a node, from the connection to the answer. How it ended is told as the socket proves it: what was
//! not written never ran; what was written may have.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ashglade::ids::{Sess, SetupNo};
use ashglade::interface::Ending;
use ashglade_engine::{Input, Load};
use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::{Packet, Response};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::task::JoinHandle;

use crate::node::NodeSide;
use crate::serve::Shared;

/// How a SETUP ended, with the load that the answer told.
pub type Outcome = Result<(Box<NodeSide>, Option<Load>), (Ending, Option<Load>)>;

/// A SETUP that is out.
pub struct Attempt {
    pub setup: SetupNo,
    task: JoinHandle<Outcome>,
    /// Set before the first byte is written.
    written: Arc<AtomicBool>,
}

impl Attempt {
    pub fn start(shared: Arc<Shared>, sess: Sess, setup: SetupNo, node: SocketAddr, url: Url) -> Attempt {
        let written = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(send(shared, sess, setup, node, url, written.clone()));
        Attempt { setup, task, written }
    }

    pub fn written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Waits for the end; may be dropped and called again.
    pub async fn ended(&mut self) -> Outcome {
        (&mut self.task).await.unwrap_or(Err((Ending::Lost, None)))
    }

    /// Gives the SETUP up, by closing its connection, unless it has just ended by itself.
    pub async fn withdraw(self) -> Outcome {
        self.task.abort();
        match self.task.await {
            Ok(outcome) => outcome,
            Err(_) if self.written.load(Ordering::SeqCst) => Err((Ending::Cancelled, None)),
            Err(_) => Err((Ending::Unsent, None)),
        }
    }
}

async fn send(
    shared: Arc<Shared>,
    sess: Sess,
    setup: SetupNo,
    node: SocketAddr,
    url: Url,
    written: Arc<AtomicBool>,
) -> Outcome {
    let connection = shared.pool.connect(node, shared.settings.front.connect_timeout).await;
    let mut connection = connection.map_err(|_| (Ending::Unreachable, None))?;
    let channels = Channels { rtp: 0, rtcp: 1 };
    let cseq = 1;
    let mut request = messages::request(Method::Setup, &url, cseq);
    request.insert_header(headers::TRANSPORT, channels.granted(None));
    written.store(true, Ordering::SeqCst);
    shared.core.tell(Input::Written { sess, setup }).await;
    let lost = |_| (Ending::Lost, None);
    connection.send(Packet::Request(request)).await.map_err(lost)?;
    loop {
        let packet = connection.next().await.ok_or((Ending::Lost, None))?.map_err(lost)?;
        let Packet::Response(response) = packet else { continue };
        if messages::header(&response, &headers::CSEQ) != Some(&cseq.to_string()) {
            continue;
        }
        let load = load(&response);
        let session = messages::header(&response, &headers::SESSION).map(messages::session_id);
        return match (response.status(), session) {
            (StatusCode::Ok, Some(session)) => {
                let granted = messages::header(&response, &headers::TRANSPORT);
                let channels = granted.and_then(|t| messages::interleaved(t, channels)).unwrap_or(channels);
                let side = NodeSide::new(node, connection, url, session.to_string(), channels, cseq);
                Ok((Box::new(side), load))
            }
            (StatusCode::NotEnoughBandwidth | StatusCode::ServiceUnavailable, _) => {
                shared.pool.put(node, connection);
                Err((Ending::Full, load))
            }
            // An answer of 200 that names no session is a fault like any other: the connection is closed.
            _ => Err((Ending::Fault, load)),
        };
    }
}

/// The load that an answer tells, in the engine's words.
pub fn load(response: &Response) -> Option<Load> {
    let told = messages::load_of(response)?;
    Some(Load { link: told.link, uplink: told.uplink, streams: told.streams })
}
