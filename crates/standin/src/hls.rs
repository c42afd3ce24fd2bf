//! The HLS server of a stand-in media node: live playlists and one-second segments, generated on request with
//! the size of their rung. HLS and RTSP sessions share the node's link and its maximum number of sessions. An
//! HLS session ends when it has requested nothing for a while.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade_judge::EventKind;
use ashglade_rtsp::Packet;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_RANGE, CONTENT_TYPE, HeaderValue, RANGE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::node::{CLOCK_RATES, Fleet, Node, Stream};

/// Number of segments in a media playlist, one second each.
const PLAYLIST_SEGMENTS: u64 = 6;
/// Time without a request after which a session ends.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time to serve a segment while the link is not full.
const SEGMENT_SERVE_SECONDS: f64 = 0.04;

/// The error by which a handler resets its connection.
#[derive(Debug)]
struct Reset;

impl std::fmt::Display for Reset {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("reset")
    }
}

impl std::error::Error for Reset {}

/// A response, or a reset of the connection.
type Reply = Result<Response<Full<Bytes>>, Reset>;

/// Accepts connections until the node's process ends, and ends idle sessions.
pub async fn accept(fleet: Arc<Fleet>, node: Arc<Node>, listener: TcpListener) {
    let mut changes = node.changes.subscribe();
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    loop {
        if !node.state().running {
            return;
        }
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(fleet.clone(), node.clone(), stream));
            },
            _ = tick.tick() => end_idle_sessions(&node),
            _ = changes.changed() => {}
        }
    }
}

/// Ends sessions whose last request is too long ago.
fn end_idle_sessions(node: &Node) {
    let mut state = node.state();
    let expired: Vec<(String, u64, Duration)> = state
        .hls_sessions
        .iter()
        .filter(|(_, (_, last_request))| last_request.elapsed() > SESSION_IDLE_TIMEOUT)
        .map(|(viewer, (number, last_request))| (viewer.clone(), *number, last_request.elapsed()))
        .collect();
    for (viewer, number, _) in &expired {
        state.hls_sessions.remove(viewer);
        state.end_session(*number);
    }
    drop(state);
    // The viewer stopped using it after its last request.
    for (_, connection, ago) in expired {
        node.recorder
            .record_earlier(ago, EventKind::SessionClosed { node: node.spec.name.clone(), connection });
    }
}

/// Serves a connection until it closes or the node's process ends.
async fn serve_connection(fleet: Arc<Fleet>, node: Arc<Node>, stream: tokio::net::TcpStream) {
    let mut changes = node.changes.subscribe();
    let (handler_fleet, handler_node) = (fleet.clone(), node.clone());
    let service = hyper::service::service_fn(move |request| {
        handle(handler_fleet.clone(), handler_node.clone(), request)
    });
    let serving = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            _ = &mut serving => return,
            _ = changes.changed() => if !node.state().running {
                return;
            }
        }
    }
}

/// Returns the value of a query parameter.
fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v.to_string())
}

/// Returns the first and last byte of the requested range, cut to the size. Only a single range with both
/// ends is supported.
fn byte_range(request: &Request<Incoming>, size: usize) -> Option<(usize, usize)> {
    let text = request.headers().get(RANGE)?.to_str().ok()?.strip_prefix("bytes=")?;
    let (first, last) = text.split_once('-')?;
    let (first, last) = (first.parse().ok()?, last.parse::<usize>().ok()?.min(size.checked_sub(1)?));
    (first <= last).then_some((first, last))
}

/// Builds a response that reports the node's load.
fn reply(
    fleet: &Fleet,
    node: &Node,
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(load) = HeaderValue::from_str(&fleet.load(node).to_header_value()) {
        reply.headers_mut().insert("x-load", load);
    }
    Ok(reply)
}

const PLAYLIST_CONTENT_TYPE: &str = "application/vnd.apple.mpegurl";

/// Handles a request for a playlist or a segment.
async fn handle(fleet: Arc<Fleet>, node: Arc<Node>, request: Request<Incoming>) -> Reply {
    let is_hanging = || node.state().faults.hang;
    let mut changes = node.changes.subscribe();
    while is_hanging() {
        let _ = changes.changed().await;
    }
    let parts: Vec<&str> = request.uri().path().trim_start_matches('/').split('/').collect();
    let viewer = query_parameter(&request, "viewer").unwrap_or_default();
    let rung_of = |name: &str| name.strip_prefix('v').and_then(|n| n.parse::<u8>().ok());
    match parts[..] {
        [title, "index.m3u8"] => start_session(&fleet, &node, title, &viewer, &request).await,
        [_, variant, "index.m3u8"] if rung_of(variant).is_some() => {
            record_activity(&fleet, &node, &viewer, rung_of(variant).unwrap_or(0));
            reply(&fleet, &node, StatusCode::OK, PLAYLIST_CONTENT_TYPE, media_playlist(&viewer))
        }
        [_, variant, _] if rung_of(variant).is_some() => {
            let rung = rung_of(variant).unwrap_or(0);
            record_activity(&fleet, &node, &viewer, rung);
            let fraction = fleet.delivered_fraction(&node);
            let seconds = if fraction < 1.0 { 1.0 / fraction } else { SEGMENT_SERVE_SECONDS };
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            let size = (fleet.rate(0, rung) * 1e3) as usize;
            let Some((first, last)) = byte_range(&request, size) else {
                return reply(&fleet, &node, StatusCode::OK, "video/mp2t", vec![0x47; size]);
            };
            let content = vec![0x47; last + 1 - first];
            let mut reply = reply(&fleet, &node, StatusCode::PARTIAL_CONTENT, "video/mp2t", content)?;
            if let Ok(value) = HeaderValue::from_str(&format!("bytes {first}-{last}/{size}")) {
                reply.headers_mut().insert(CONTENT_RANGE, value);
            }
            Ok(reply)
        }
        _ => reply(&fleet, &node, StatusCode::NOT_FOUND, "text/plain", "no such thing\n"),
    }
}

/// Records a request of a viewer's session: it is in use, at this rung.
fn record_activity(fleet: &Fleet, node: &Node, viewer: &str, rung: u8) {
    let mut state = node.state();
    let Some((number, last_request)) = state.hls_sessions.get_mut(viewer) else { return };
    *last_request = Instant::now();
    let (number, rate) = (*number, fleet.rate(0, rung));
    let Some(stream) = state.streams.get_mut(&(number, 0)) else { return };
    let changed = std::mem::replace(&mut stream.rate, rate) != rate;
    drop(state);
    if changed {
        node.recorder.record(EventKind::RungChanged {
            node: node.spec.name.clone(),
            connection: number,
            rung,
        });
    }
}

/// Builds the live media playlist of a variant. Segments are numbered by the seconds since the Unix epoch.
fn media_playlist(viewer: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let first = now.saturating_sub(PLAYLIST_SEGMENTS);
    let header =
        format!("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:{first}\n");
    (first..now).fold(header, |text, n| text + &format!("#EXTINF:1.0,\n{n}.ts?viewer={viewer}\n"))
}

/// Builds the multivariant playlist, with the variants in the order of the ladder.
fn multivariant_playlist(fleet: &Fleet, viewer: &str) -> String {
    (0u8..).zip(&fleet.ladder).fold(
        "#EXTM3U\n#EXT-X-INDEPENDENT-SEGMENTS\n".to_string(),
        |text, (rung, kb_per_second)| {
            let bits = (kb_per_second * 8e3) as u64;
            text + &format!("#EXT-X-STREAM-INF:BANDWIDTH={bits}\nv{rung}/index.m3u8?viewer={viewer}\n")
        },
    )
}

/// Ends the session if its connection closes, and drops this guard, before the response.
struct UnansweredGuard {
    node: Arc<Node>,
    viewer: String,
    number: u64,
    answered: bool,
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let mut state = self.node.state();
        state.end_session(self.number);
        if state.hls_sessions.get(&self.viewer).is_some_and(|(number, _)| *number == self.number) {
            state.hls_sessions.remove(&self.viewer);
        }
        drop(state);
        self.node
            .recorder
            .record(EventKind::SessionClosed { node: self.node.spec.name.clone(), connection: self.number });
    }
}

/// Handles the request for a multivariant playlist. It starts a session, as a SETUP does.
async fn start_session(
    fleet: &Arc<Fleet>,
    node: &Arc<Node>,
    title: &str,
    viewer: &str,
    request: &Request<Incoming>,
) -> Reply {
    let name = node.spec.name.clone();
    let rung = query_parameter(request, "rung").and_then(|rung| rung.parse::<u8>().ok()).unwrap_or(0);
    let number = node.next_connection();
    let viewer_and_attempt =
        viewer.split_once('.').and_then(|(v, k)| Some((v.parse().ok()?, k.parse().ok()?)));
    if let Some((viewer, attempt)) = viewer_and_attempt {
        let (title, connection) = (title.to_string(), number);
        node.recorder.record(EventKind::SetupReceived {
            node: name.clone(),
            connection,
            viewer,
            attempt,
            title,
            rung,
        });
    }
    if fleet.overloads(node) {
        return Err(Reset);
    }
    let faults = node.state().faults.clone();
    let draw = node.state().random.rand_float();
    let record_response = |status: StatusCode| {
        node.recorder.record(EventKind::SetupResponseSent {
            node: name.clone(),
            connection: number,
            status: status.into(),
        });
        if status != StatusCode::OK {
            node.recorder.record(EventKind::SessionClosed { node: name.clone(), connection: number });
        }
    };
    if draw < faults.reset_fraction {
        node.recorder.record(EventKind::SessionClosed { node: name.clone(), connection: number });
        return Err(Reset);
    }
    if draw < faults.reset_fraction + faults.error_fraction {
        record_response(StatusCode::INTERNAL_SERVER_ERROR);
        return reply(fleet, node, StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "a fault\n");
    }
    if fleet.is_full(node) {
        record_response(StatusCode::SERVICE_UNAVAILABLE);
        return reply(fleet, node, StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full\n");
    }
    let mut at = Instant::now();
    {
        let mut state = node.state();
        // An earlier session for the same viewer and attempt ends.
        if let Some((old_number, _)) = state.hls_sessions.insert(viewer.to_string(), (number, at)) {
            state.end_session(old_number);
            node.recorder.record(EventKind::SessionClosed { node: name.clone(), connection: old_number });
        }
        let (out, _) = mpsc::channel::<Packet>(1);
        let random = state.random.rand_u64();
        let stream = Stream::new(fleet.rate(0, rung), out, 0, CLOCK_RATES[0], random);
        state.streams.insert((number, 0), stream);
        if faults.serialize_setups {
            at = at.max(state.setup_queue_ends);
            state.setup_queue_ends = at + faults.setup_delay;
        }
    }
    let mut guard =
        UnansweredGuard { node: node.clone(), viewer: viewer.to_string(), number, answered: false };
    tokio::time::sleep_until(at + faults.setup_delay).await;
    if faults.drop_setup_responses {
        // Only this response is dropped; other requests get theirs.
        std::future::pending::<()>().await;
    }
    guard.answered = true;
    record_response(StatusCode::OK);
    reply(fleet, node, StatusCode::OK, PLAYLIST_CONTENT_TYPE, multivariant_playlist(fleet, viewer))
}
