//! One SETUP at a node, from the connection to the answer. How it ended is told as the socket proves it: what was
//! not written never ran; what was written may have.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ashglade::ids::{Sess, SetupNo};
use ashglade::interface::Ending;
use ashglade_engine::{Input, Load};
use ashglade_rtsp::client::{Answer, Client};
use ashglade_rtsp::{Packet, Response, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{StatusCode, Url};
use tokio::task::JoinHandle;

use crate::node::NodeSide;
use crate::serve::Shared;

/// How a SETUP ended, with the load that the answer told.
pub type Outcome = Result<(Box<NodeSide>, Option<Load>), (End, Option<Load>)>;

/// How a SETUP came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    As(Ending),
    /// The node doesn't hold the title.
    Missing,
}

impl End {
    /// What the engine is told.
    pub fn input(self, sess: Sess, setup: SetupNo, load: Option<Load>) -> Input {
        match self {
            End::As(how) => Input::Ended { sess, setup, how, load },
            End::Missing => Input::Missing { sess, setup, load },
        }
    }
}

/// A SETUP that is out.
pub struct Attempt {
    pub setup: SetupNo,
    task: JoinHandle<Outcome>,
    /// Set before the first byte is written.
    written: Arc<AtomicBool>,
}

/// What is to be set up where.
pub struct Wanted {
    pub sess: Sess,
    pub setup: SetupNo,
    pub node: SocketAddr,
    pub url: Url,
    /// The track that the viewer begins with.
    pub track: u8,
}

impl Attempt {
    pub fn start(shared: Arc<Shared>, wanted: Wanted) -> Attempt {
        let written = Arc::new(AtomicBool::new(false));
        let setup = wanted.setup;
        let task = tokio::spawn(send(shared, wanted, written.clone()));
        Attempt { setup, task, written }
    }

    pub fn written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Waits for the end; may be dropped and called again.
    pub async fn ended(&mut self) -> Outcome {
        (&mut self.task).await.unwrap_or(Err((End::As(Ending::Lost), None)))
    }

    /// Gives the SETUP up, by closing its connection, unless it has just ended by itself.
    pub async fn withdraw(self) -> Outcome {
        self.task.abort();
        match self.task.await {
            Ok(outcome) => outcome,
            Err(_) if self.written.load(Ordering::SeqCst) => Err((End::As(Ending::Cancelled), None)),
            Err(_) => Err((End::As(Ending::Unsent), None)),
        }
    }
}

async fn send(shared: Arc<Shared>, wanted: Wanted, written: Arc<AtomicBool>) -> Outcome {
    let Wanted { sess, setup, node, url, track } = wanted;
    let connection = shared.pool.connect(node, shared.settings.front.connect_timeout).await;
    let mut connection = connection.map_err(|_| (End::As(Ending::Unreachable), None))?;
    let mut client = Client::new(url);
    let request = client.setup(track, shared.clock.micros());
    written.store(true, Ordering::SeqCst);
    shared.core.tell(Input::Written { sess, setup }).await;
    let lost = |_| (End::As(Ending::Lost), None);
    connection.send(Packet::Request(request)).await.map_err(lost)?;
    loop {
        let packet = connection.next().await.ok_or((End::As(Ending::Lost), None))?.map_err(lost)?;
        let Packet::Response(response) = packet else { continue };
        let load = load(&response);
        match client.answered(&response) {
            Answer::Done(_) => {
                let side = NodeSide::hold(&shared, node, connection, client).await;
                return Ok((Box::new(side), load));
            }
            Answer::Refused(_, StatusCode::NotEnoughBandwidth | StatusCode::ServiceUnavailable) => {
                shared.pool.put(node, connection);
                return Err((End::As(Ending::Full), load));
            }
            Answer::Refused(_, StatusCode::NotFound) => {
                shared.pool.put(node, connection);
                return Err((End::Missing, load));
            }
            Answer::Refused(..) => return Err((End::As(Ending::Fault), load)),
            Answer::Stray => {}
        }
    }
}

/// The load that an answer tells, in the engine's words.
pub fn load(response: &Response) -> Option<Load> {
    let told = messages::load_of(response)?;
    Some(Load { link: told.link, uplink: told.uplink, streams: told.streams })
}
