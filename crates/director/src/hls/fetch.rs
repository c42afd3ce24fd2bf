//! What is fetched from nodes. A SETUP is a GET of the title's multivariant playlist, on a connection of its own so
//! that it is known whether a byte of it was written; the node accepts the session with 200.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ashglade::ids::{Sess, SetupNo};
use ashglade::interface::Ending;
use ashglade_engine::{Input, Load};
use ashglade_hls::playlist::{self, MOST_BYTES, Place};
use ashglade_rtsp::load;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RANGE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use url::Url;

use crate::attempt::End;
use crate::serve::Shared;

/// How a SETUP ended: with the node's playlist, or not.
pub type Outcome = Result<(Bytes, Option<Load>), (End, Option<Load>)>;

pub struct Attempt {
    pub setup: SetupNo,
    /// Where it serves HLS, and the address by which lists know it.
    pub node: (SocketAddr, SocketAddr),
    task: JoinHandle<Outcome>,
    written: Arc<AtomicBool>,
}

impl Attempt {
    pub fn start(
        shared: Arc<Shared>,
        sess: Sess,
        setup: SetupNo,
        node: (SocketAddr, SocketAddr),
        url: Url,
    ) -> Attempt {
        let written = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(send(shared, sess, setup, node.0, url, written.clone()));
        Attempt { setup, node, task, written }
    }

    pub fn written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    pub async fn ended(&mut self) -> Outcome {
        (&mut self.task).await.unwrap_or(Err((End::As(Ending::Lost), None)))
    }

    /// Gives it up, by closing its connection, unless it has just ended by itself.
    pub async fn withdraw(self) -> Outcome {
        self.task.abort();
        match self.task.await {
            Ok(outcome) => outcome,
            Err(_) if self.written.load(Ordering::SeqCst) => Err((End::As(Ending::Cancelled), None)),
            Err(_) => Err((End::As(Ending::Unsent), None)),
        }
    }
}

/// The load that an answer tells.
pub fn load_of<B>(response: &Response<B>) -> Option<Load> {
    let told = load::Load::read(response.headers().get("x-load")?.to_str().ok()?);
    Some(Load { link: told.link, uplink: told.uplink, streams: told.streams })
}

fn request(url: &Url) -> Option<Request<Empty<Bytes>>> {
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_string(),
    };
    let host = format!("{}:{}", url.host_str()?, url.port().unwrap_or(80));
    Request::get(path).header("host", host).body(Empty::new()).ok()
}

async fn send(
    shared: Arc<Shared>,
    sess: Sess,
    setup: SetupNo,
    node: SocketAddr,
    url: Url,
    written: Arc<AtomicBool>,
) -> Outcome {
    let within = shared.settings.front.connect_timeout;
    let connected = tokio::time::timeout(within, TcpStream::connect(node)).await;
    let Ok(Ok(stream)) = connected else { return Err((End::As(Ending::Unreachable), None)) };
    let _ = stream.set_nodelay(true);
    let request = request(&url).ok_or((End::As(Ending::Unsent), None))?;
    let shake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shake.map_err(|_| (End::As(Ending::Unreachable), None))?;
    // Ends with this task: to give the SETUP up closes its connection.
    let driver = tokio::spawn(connection);
    let _abort = AbortOnDrop(driver.abort_handle());
    written.store(true, Ordering::SeqCst);
    shared.core.tell(Input::Written { sess, setup }).await;
    let response = sender.send_request(request).await.map_err(|_| (End::As(Ending::Lost), None))?;
    let load = load_of(&response);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            return Err((End::As(Ending::Full), load));
        }
        StatusCode::NOT_FOUND => return Err((End::Missing, load)),
        _ => return Err((End::As(Ending::Fault), load)),
    }
    let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
    let bytes = body.map_err(|_| (End::As(Ending::Lost), load))?.to_bytes();
    // One that can't be given to a player is a fault of the node's.
    let folder = folder(&url);
    let place = Place { url: &url, folder: &folder };
    match playlist::master(&bytes, &place, f64::INFINITY, &|_, path| path.to_string()) {
        Ok(_) => Ok((bytes, load)),
        Err(trouble) => {
            tracing::warn!(%node, %trouble, "a multivariant playlist can't be used");
            Err((End::As(Ending::Fault), load))
        }
    }
}

/// The title's folder in a URL of one of its playlists: its first part.
pub fn folder(url: &Url) -> String {
    let first = url.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    format!("/{first}/")
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why something could not be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The node can't be reached, or broke off.
    Node,
    /// It said nothing in time.
    Silent,
}

/// Asks a node for something of a session's that plays there; the head of its answer.
pub async fn get(shared: &Shared, url: &Url, range: Option<HeaderValue>) -> Result<Response<Incoming>, Lost> {
    let client = &shared.http;
    let uri = url.as_str().parse::<hyper::Uri>().map_err(|_| Lost::Node)?;
    let mut request = Request::get(uri).body(Empty::<Bytes>::new()).map_err(|_| Lost::Node)?;
    if let Some(range) = range {
        request.headers_mut().insert(RANGE, range);
    }
    let within = shared.settings.front.answer_timeout;
    match tokio::time::timeout(within, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(Lost::Node),
        Err(_) => Err(Lost::Silent),
    }
}

/// A playlist, whole.
pub async fn text(shared: &Shared, url: &Url) -> Result<(StatusCode, Option<Load>, Bytes), Lost> {
    let response = get(shared, url, None).await?;
    let (status, load) = (response.status(), load_of(&response));
    let within = shared.settings.front.answer_timeout;
    let body = Limited::new(response.into_body(), MOST_BYTES + 1).collect();
    match tokio::time::timeout(within, body).await {
        Ok(Ok(body)) => Ok((status, load, body.to_bytes())),
        Ok(Err(_)) => Err(Lost::Node),
        Err(_) => Err(Lost::Silent),
    }
}
