//! What is fetched from nodes. A SETUP is a GET of the title's multivariant playlist, on a connection of its own so
//! that it is known whether a byte of it was written; the node accepts the session with 200.

use std::net::SocketAddr;
use std::sync::Arc;

use ashglade::ids::NodeId;
use ashglade::interface::AttemptOutcome;
use ashglade_engine::LoadReport;
use ashglade_hls::Variant;
use ashglade_hls::playlist::{self, MOST_BYTES, Place};
use ashglade_rtsp::load;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RANGE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use url::Url;

use crate::attempt::{Begins, End, Outcome, in_our_words};
use crate::shared::Shared;

/// A session that its node has accepted.
pub struct Accepted {
    /// Where the node serves HLS, and the address by which lists know it.
    pub node: (NodeId, SocketAddr, SocketAddr),
    /// Its multivariant playlist, and what that names.
    pub master: Bytes,
    pub variants: Vec<Variant>,
}

/// The load that an answer tells.
pub fn load_of<B>(response: &Response<B>) -> Option<LoadReport> {
    Some(in_our_words(load::Load::read(response.headers().get("x-load")?.to_str().ok()?)))
}

fn request(url: &Url) -> Option<Request<Empty<Bytes>>> {
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_string(),
    };
    let host = format!("{}:{}", url.host_str()?, url.port().unwrap_or(80));
    Request::get(path).header("host", host).body(Empty::new()).ok()
}

/// Sends a SETUP by HTTP.
pub async fn send(
    shared: Arc<Shared>,
    node: (NodeId, SocketAddr, SocketAddr),
    url: Url,
    begins: Begins,
) -> Outcome<Accepted> {
    let within = shared.settings.front.connect_timeout;
    let connected = tokio::time::timeout(within, TcpStream::connect(node.1)).await;
    let Ok(Ok(stream)) = connected else { return Err((End::As(AttemptOutcome::Unreachable), None)) };
    let _ = stream.set_nodelay(true);
    let request = request(&url).ok_or((End::As(AttemptOutcome::Unsent), None))?;
    let shake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shake.map_err(|_| (End::As(AttemptOutcome::Unreachable), None))?;
    // Ends with this task: to give the SETUP up closes its connection.
    let driver = tokio::spawn(connection);
    let _abort = AbortOnDrop(driver.abort_handle());
    if !begins.writing(&shared).await {
        return Err((End::As(AttemptOutcome::Unsent), None));
    }
    let response = sender.send_request(request).await.map_err(|_| (End::As(AttemptOutcome::Lost), None))?;
    let load = load_of(&response);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            return Err((End::As(AttemptOutcome::Full), load));
        }
        StatusCode::NOT_FOUND => return Err((End::Missing, load)),
        _ => return Err((End::As(AttemptOutcome::Fault), load)),
    }
    let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
    let master = body.map_err(|_| (End::As(AttemptOutcome::Lost), load))?.to_bytes();
    // One that can't be given to a player is a fault of the node's.
    let folder = folder(&url);
    let place = Place { url: &url, folder: &folder };
    match playlist::master(&master, &place, f64::INFINITY, &|_, path| path.to_string()) {
        Ok(read) => Ok((Accepted { node, master, variants: read.variants }, load)),
        Err(trouble) => {
            tracing::warn!(node = %node.1, %trouble, "a multivariant playlist can't be used");
            Err((End::As(AttemptOutcome::Fault), load))
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
pub async fn text(shared: &Shared, url: &Url) -> Result<(StatusCode, Option<LoadReport>, Bytes), Lost> {
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
