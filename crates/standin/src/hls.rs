//! A media node's HLS: live playlists of segments of a second, made as they are asked for, with sizes that are those of
//! their rung. Sessions share link and places with those of RTSP; who fetches nothing for a while has gone.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade_judge::What;
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

/// Segments in a playlist; each is of a second.
const WINDOW: u64 = 6;
/// A session is over when nothing of it was asked for so long.
const QUIET: Duration = Duration::from_secs(4);
/// What a segment takes where the link has room.
const QUICK: f64 = 0.04;

/// The connection is to be reset.
#[derive(Debug)]
struct Reset;

impl std::fmt::Display for Reset {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("reset")
    }
}

impl std::error::Error for Reset {}

type Reply = Result<Response<Full<Bytes>>, Reset>;

pub async fn accept(fleet: Arc<Fleet>, node: Arc<Node>, listener: TcpListener) {
    let mut changes = node.changes.subscribe();
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    loop {
        if !node.state().up {
            return;
        }
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let _ = stream.set_nodelay(true);
                tokio::spawn(connection(fleet.clone(), node.clone(), stream));
            },
            _ = tick.tick() => quiet(&node),
            _ = changes.changed() => {}
        }
    }
}

/// Ends sessions of which nothing was heard.
fn quiet(node: &Node) {
    let mut state = node.state();
    let gone: Vec<(String, u64, Duration)> = state
        .hls
        .iter()
        .filter(|(_, (_, heard))| heard.elapsed() > QUIET)
        .map(|(viewer, (number, heard))| (viewer.clone(), *number, heard.elapsed()))
        .collect();
    for (viewer, number, _) in &gone {
        state.hls.remove(viewer);
        state.end(*number);
    }
    drop(state);
    // Nobody has had it since it was last asked for.
    for (_, connection, ago) in gone {
        node.log.saw_before(ago, What::Closed { node: node.spec.name.clone(), connection });
    }
}

async fn connection(fleet: Arc<Fleet>, node: Arc<Node>, stream: tokio::net::TcpStream) {
    let mut changes = node.changes.subscribe();
    let (of, at) = (fleet.clone(), node.clone());
    let service = hyper::service::service_fn(move |request| answer(of.clone(), at.clone(), request));
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    loop {
        tokio::select! {
            _ = &mut served => return,
            _ = changes.changed() => if !node.state().up {
                return;
            }
        }
    }
}

fn element(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v.to_string())
}

/// The first and last byte of a range that is within the size; one range alone is known here.
fn range(request: &Request<Incoming>, size: usize) -> Option<(usize, usize)> {
    let text = request.headers().get(RANGE)?.to_str().ok()?.strip_prefix("bytes=")?;
    let (from, to) = text.split_once('-')?;
    let (from, to) = (from.parse().ok()?, to.parse::<usize>().ok()?.min(size.checked_sub(1)?));
    (from <= to).then_some((from, to))
}

fn reply(
    fleet: &Fleet,
    node: &Node,
    status: StatusCode,
    kind: &'static str,
    body: impl Into<Bytes>,
) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Ok(load) = HeaderValue::from_str(&fleet.load(node).to_header_value()) {
        reply.headers_mut().insert("x-load", load);
    }
    Ok(reply)
}

const PLAYLIST: &str = "application/vnd.apple.mpegurl";

async fn answer(fleet: Arc<Fleet>, node: Arc<Node>, request: Request<Incoming>) -> Reply {
    let hangs = || node.state().faults.hang;
    let mut changes = node.changes.subscribe();
    while hangs() {
        let _ = changes.changed().await;
    }
    let parts: Vec<&str> = request.uri().path().trim_start_matches('/').split('/').collect();
    let viewer = element(&request, "viewer").unwrap_or_default();
    let rung = |name: &str| name.strip_prefix('v').and_then(|n| n.parse::<u8>().ok());
    match parts[..] {
        [title, "index.m3u8"] => setup(&fleet, &node, title, &viewer, &request).await,
        [_, variant, "index.m3u8"] if rung(variant).is_some() => {
            heard(&fleet, &node, &viewer, rung(variant).unwrap_or(0));
            reply(&fleet, &node, StatusCode::OK, PLAYLIST, media(&viewer))
        }
        [_, variant, _] if rung(variant).is_some() => {
            let rung = rung(variant).unwrap_or(0);
            heard(&fleet, &node, &viewer, rung);
            let share = fleet.share(&node);
            let takes = if share < 1.0 { 1.0 / share } else { QUICK };
            tokio::time::sleep(Duration::from_secs_f64(takes)).await;
            let size = (fleet.rate(0, rung) * 1e3) as usize;
            let Some((from, to)) = range(&request, size) else {
                return reply(&fleet, &node, StatusCode::OK, "video/mp2t", vec![0x47; size]);
            };
            let part = vec![0x47; to + 1 - from];
            let mut reply = reply(&fleet, &node, StatusCode::PARTIAL_CONTENT, "video/mp2t", part)?;
            if let Ok(value) = HeaderValue::from_str(&format!("bytes {from}-{to}/{size}")) {
                reply.headers_mut().insert(CONTENT_RANGE, value);
            }
            Ok(reply)
        }
        _ => reply(&fleet, &node, StatusCode::NOT_FOUND, "text/plain", "no such thing\n"),
    }
}

/// Its session is alive, and at this rung.
fn heard(fleet: &Fleet, node: &Node, viewer: &str, rung: u8) {
    let mut state = node.state();
    let Some((number, heard)) = state.hls.get_mut(viewer) else { return };
    *heard = Instant::now();
    let (number, rate) = (*number, fleet.rate(0, rung));
    let Some(stream) = state.streams.get_mut(&(number, 0)) else { return };
    let changed = std::mem::replace(&mut stream.rate, rate) != rate;
    drop(state);
    if changed {
        node.log.saw(What::Switched { node: node.spec.name.clone(), connection: number, rung });
    }
}

fn media(viewer: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let first = now.saturating_sub(WINDOW);
    let head = format!("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:{first}\n");
    (first..now).fold(head, |text, n| text + &format!("#EXTINF:1.0,\n{n}.ts?viewer={viewer}\n"))
}

fn master(fleet: &Fleet, viewer: &str) -> String {
    (0u8..).zip(&fleet.ladder).fold(
        "#EXTM3U\n#EXT-X-INDEPENDENT-SEGMENTS\n".to_string(),
        |text, (rung, kb)| {
            let bits = (kb * 8e3) as u64;
            text + &format!("#EXT-X-STREAM-INF:BANDWIDTH={bits}\nv{rung}/index.m3u8?viewer={viewer}\n")
        },
    )
}

/// A SETUP whose connection is closed before its answer: its session is over.
struct Unanswered {
    node: Arc<Node>,
    viewer: String,
    number: u64,
    answered: bool,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let mut state = self.node.state();
        state.end(self.number);
        if state.hls.get(&self.viewer).is_some_and(|(number, _)| *number == self.number) {
            state.hls.remove(&self.viewer);
        }
        drop(state);
        self.node.log.saw(What::Closed { node: self.node.spec.name.clone(), connection: self.number });
    }
}

/// The request of the multivariant playlist is a session's: it takes a place.
async fn setup(
    fleet: &Arc<Fleet>,
    node: &Arc<Node>,
    title: &str,
    viewer: &str,
    request: &Request<Incoming>,
) -> Reply {
    let name = node.spec.name.clone();
    let rung = element(request, "rung").and_then(|rung| rung.parse::<u8>().ok()).unwrap_or(0);
    let number = node.connection();
    let named = viewer.split_once('.').and_then(|(v, k)| Some((v.parse().ok()?, k.parse().ok()?)));
    if let Some((viewer, again)) = named {
        let (title, connection) = (title.to_string(), number);
        node.log.saw(What::Setup { node: name.clone(), connection, viewer, again, title, rung });
    }
    if fleet.pushed_over(node) {
        return Err(Reset);
    }
    let faults = node.state().faults.clone();
    let chance = node.state().random.rand_float();
    let answered = |status: StatusCode| {
        node.log.saw(What::SetupAnswered { node: name.clone(), connection: number, status: status.into() });
        if status != StatusCode::OK {
            node.log.saw(What::Closed { node: name.clone(), connection: number });
        }
    };
    if chance < faults.resets {
        node.log.saw(What::Closed { node: name.clone(), connection: number });
        return Err(Reset);
    }
    if chance < faults.resets + faults.errors {
        answered(StatusCode::INTERNAL_SERVER_ERROR);
        return reply(fleet, node, StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "a fault\n");
    }
    if fleet.full(node) {
        answered(StatusCode::SERVICE_UNAVAILABLE);
        return reply(fleet, node, StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full\n");
    }
    let mut at = Instant::now();
    {
        let mut state = node.state();
        // The same viewer's earlier session here is over.
        if let Some((old, _)) = state.hls.insert(viewer.to_string(), (number, at)) {
            state.end(old);
            node.log.saw(What::Closed { node: name.clone(), connection: old });
        }
        let (out, _) = mpsc::channel::<Packet>(1);
        let random = state.random.rand_u64();
        let stream = Stream::new(fleet.rate(0, rung), out, 0, CLOCK_RATES[0], random);
        state.streams.insert((number, 0), stream);
        if faults.queue {
            at = at.max(state.busy_until);
            state.busy_until = at + faults.delay;
        }
    }
    let mut guard = Unanswered { node: node.clone(), viewer: viewer.to_string(), number, answered: false };
    tokio::time::sleep_until(at + faults.delay).await;
    if faults.answer_lost {
        // All else is answered.
        std::future::pending::<()>().await;
    }
    guard.answered = true;
    answered(StatusCode::OK);
    reply(fleet, node, StatusCode::OK, PLAYLIST, master(fleet, viewer))
}
