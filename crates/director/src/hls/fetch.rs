//! HTTP requests to nodes. The SETUP of an HLS session is a GET of the title's multivariant playlist, which
//! the node accepts with 200. It uses a connection of its own, so that it is known whether a byte of it was
//! written.

use std::net::SocketAddr;
use std::sync::Arc;

use ashglade::ids::NodeId;
use ashglade::interface::AttemptOutcome;
use ashglade_engine::LoadReport;
use ashglade_hls::Variant;
use ashglade_hls::playlist::{self, MAX_PLAYLIST_BYTES, PlaylistLocation};
use ashglade_rtsp::load;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RANGE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use url::Url;

use crate::attempt::{AttemptError, AttemptResult, WriteMarker, to_load_report};
use crate::context::DirectorContext;

/// A session that a node has accepted.
pub struct AcceptedSession {
    /// The node, the address at which it serves HLS, and its address in the node list.
    pub node: (NodeId, SocketAddr, SocketAddr),
    /// The multivariant playlist as received from the node.
    pub multivariant_playlist: Bytes,
    /// The variants that the playlist names.
    pub variants: Vec<Variant>,
}

/// Returns the load that the node reported in a response, if it did.
pub fn load_report<B>(response: &Response<B>) -> Option<LoadReport> {
    Some(to_load_report(load::NodeLoad::parse(response.headers().get("x-load")?.to_str().ok()?)))
}

/// Returns a GET request for the URL, or `None` if the URL has no host or isn't valid in a request.
fn request(url: &Url) -> Option<Request<Empty<Bytes>>> {
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_string(),
    };
    let host = format!("{}:{}", url.host_str()?, url.port().unwrap_or(80));
    Request::get(path).header("host", host).body(Empty::new()).ok()
}

/// Sends a SETUP by HTTP and waits for the response.
///
/// `node` is as in [`AcceptedSession::node`].
pub async fn send_setup(
    context: Arc<DirectorContext>,
    node: (NodeId, SocketAddr, SocketAddr),
    url: Url,
    marker: WriteMarker,
) -> AttemptResult<AcceptedSession> {
    let timeout = context.settings.rtsp.connect_timeout;
    let connected = tokio::time::timeout(timeout, TcpStream::connect(node.1)).await;
    let Ok(Ok(stream)) = connected else {
        return Err((AttemptError::Failed(AttemptOutcome::Unreachable), None));
    };
    let _ = stream.set_nodelay(true);
    let request = request(&url).ok_or((AttemptError::Failed(AttemptOutcome::Unsent), None))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|_| (AttemptError::Failed(AttemptOutcome::Unreachable), None))?;
    // The connection's task ends with this one, so that cancelling the SETUP closes its connection.
    let driver = tokio::spawn(connection);
    let _abort = AbortOnDrop(driver.abort_handle());
    if !marker.mark_written(&context).await {
        return Err((AttemptError::Failed(AttemptOutcome::Unsent), None));
    }
    let response =
        sender.send_request(request).await.map_err(|_| (AttemptError::Failed(AttemptOutcome::Lost), None))?;
    let load = load_report(&response);
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            return Err((AttemptError::Failed(AttemptOutcome::Full), load));
        }
        StatusCode::NOT_FOUND => return Err((AttemptError::TitleMissing, load)),
        _ => return Err((AttemptError::Failed(AttemptOutcome::Fault), load)),
    }
    let body = Limited::new(response.into_body(), MAX_PLAYLIST_BYTES).collect().await;
    let multivariant_playlist =
        body.map_err(|_| (AttemptError::Failed(AttemptOutcome::Lost), load))?.to_bytes();
    // A playlist that can't be passed to a player counts as a fault of the node.
    let folder = title_folder(&url);
    let place = PlaylistLocation { url: &url, folder: &folder };
    match playlist::rewrite_multivariant(&multivariant_playlist, &place, f64::INFINITY, &|_, path| {
        path.to_string()
    }) {
        Ok(playlist) => {
            Ok((AcceptedSession { node, multivariant_playlist, variants: playlist.variants }, load))
        }
        Err(error) => {
            tracing::warn!(node = %node.1, trouble = %error, "the node's multivariant playlist is invalid");
            Err((AttemptError::Failed(AttemptOutcome::Fault), load))
        }
    }
}

/// Returns the title's folder, which is the first segment of the path of its playlists' URLs.
pub fn title_folder(url: &Url) -> String {
    let first = url.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    format!("/{first}/")
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request to a node failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The node can't be reached, or the connection broke.
    Disconnected,
    /// The node didn't respond within the response timeout.
    TimedOut,
}

/// Sends a GET of a playing session to its node, and returns the response once its header has arrived.
pub async fn get(
    context: &DirectorContext,
    url: &Url,
    range: Option<HeaderValue>,
) -> Result<Response<Incoming>, FetchError> {
    let client = &context.http_client;
    let uri = url.as_str().parse::<hyper::Uri>().map_err(|_| FetchError::Disconnected)?;
    let mut request = Request::get(uri).body(Empty::<Bytes>::new()).map_err(|_| FetchError::Disconnected)?;
    if let Some(range) = range {
        request.headers_mut().insert(RANGE, range);
    }
    let timeout = context.settings.rtsp.answer_timeout;
    match tokio::time::timeout(timeout, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(FetchError::Disconnected),
        Err(_) => Err(FetchError::TimedOut),
    }
}

/// Fetches a playlist. Returns its status, the node's load and its text.
pub async fn get_playlist(
    context: &DirectorContext,
    url: &Url,
) -> Result<(StatusCode, Option<LoadReport>, Bytes), FetchError> {
    let response = get(context, url, None).await?;
    let (status, load) = (response.status(), load_report(&response));
    let timeout = context.settings.rtsp.answer_timeout;
    let body = Limited::new(response.into_body(), MAX_PLAYLIST_BYTES + 1).collect();
    match tokio::time::timeout(timeout, body).await {
        Ok(Ok(body)) => Ok((status, load, body.to_bytes())),
        Ok(Err(_)) => Err(FetchError::Disconnected),
        Err(_) => Err(FetchError::TimedOut),
    }
}
