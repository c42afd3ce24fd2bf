//! A scripted HLS player: it requests a title, takes the highest variant that is offered and fetches its
//! segments.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::recorder::TrafficRecorder;
use crate::viewer::{AttemptOutcome, MediaCounters, ViewerScript};

/// Interval at which a live playlist is loaded again.
const RELOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed requests after which playback fails.
const MAX_CONSECUTIVE_FAILURES: u32 = 6;

/// An HTTP connection to a director.
pub struct HttpClient {
    sender: SendRequest<Empty<Bytes>>,
    host: SocketAddr,
}

impl HttpClient {
    /// Connects; `None` if the server can't be reached.
    pub async fn connect(host: SocketAddr) -> Option<HttpClient> {
        let stream = TcpStream::connect(host).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(HttpClient { sender, host })
    }

    /// Returns status, Retry-After (in seconds) and body of a GET request; `None` if the connection fails.
    pub async fn get(&mut self, path: &str) -> Option<(StatusCode, Option<u64>, Bytes)> {
        self.get_range(path, None).await
    }

    /// Like [`HttpClient::get`], with a Range header.
    pub async fn get_range(
        &mut self,
        path: &str,
        range: Option<&str>,
    ) -> Option<(StatusCode, Option<u64>, Bytes)> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", self.host.to_string());
        let request = range.iter().fold(request, |request, range| request.header("range", *range));
        let request = request.body(Empty::new()).ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let retry_after = response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
        let status = response.status();
        Some((status, retry_after, response.into_body().collect().await.ok()?.to_bytes()))
    }
}

/// Returns the URIs of a playlist, in its order.
pub fn uris(playlist: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(playlist);
    text.lines().filter(|line| !line.starts_with('#') && !line.is_empty()).map(str::to_string).collect()
}

/// Runs one attempt: requests a session and plays it.
pub(crate) async fn run_attempt(
    script: &ViewerScript,
    attempt: u32,
    director: u16,
    address: SocketAddr,
    watch: Duration,
    recorder: &TrafficRecorder,
    media: &MediaCounters,
) -> AttemptOutcome {
    let connect = tokio::time::timeout(script.setup_timeout, HttpClient::connect(address));
    let Ok(Some(mut http)) = connect.await else { return AttemptOutcome::Failed };
    let started = Instant::now();
    let path = format!("/{}/index.m3u8?{}", script.title, script.query(attempt));
    let status = |(status, ..): &(StatusCode, Option<u64>, Bytes)| (*status).into();
    let response = script.request_session(attempt, director, recorder, http.get(&path), status).await;
    let (status, retry_after, body) = match response {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    match status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return AttemptOutcome::Busy(retry_after.map(Duration::from_secs)),
        _ => return AttemptOutcome::Failed,
    }
    // Variants are in the order of the ladder.
    let Some(variant) = uris(&body).pop() else { return AttemptOutcome::Failed };
    let until = started + watch;
    match timeout_at(until, fetch_segments(&mut http, &variant, media)).await {
        Err(_) => AttemptOutcome::Watched,
        Ok(()) => AttemptOutcome::Failed,
    }
}

/// Fetches the segments of a variant until playback fails.
async fn fetch_segments(http: &mut HttpClient, variant: &str, media: &MediaCounters) {
    let mut fetched: BTreeSet<String> = BTreeSet::new();
    let (mut failures, mut last_segment) = (0, Instant::now());
    while failures < MAX_CONSECUTIVE_FAILURES {
        let Some((status, retry_after, body)) = http.get(variant).await else { return };
        match status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => {
                failures += 1;
                tokio::time::sleep(Duration::from_secs(retry_after.unwrap_or(1))).await;
                continue;
            }
            _ => return,
        }
        let listed = uris(&body);
        // Playback begins near the live edge.
        let first = if fetched.is_empty() { listed.len().saturating_sub(2) } else { 0 };
        for uri in &listed[first..] {
            // A segment has the same number at every rung and node.
            let number = uri.split('?').next().and_then(|path| path.rsplit('/').next()).unwrap_or(uri);
            if !fetched.insert(number.to_string()) {
                continue;
            }
            match http.get(uri).await {
                Some((StatusCode::OK, _, bytes)) => {
                    failures = 0;
                    media.segments.fetch_add(1, Ordering::Relaxed);
                    media.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    // A segment holds one second. Waiting longer than 2.5 s for the next one counts as a
                    // stall.
                    let stall = last_segment.elapsed().saturating_sub(Duration::from_millis(2500));
                    media.stalled_ms.fetch_add(stall.as_millis() as u64, Ordering::Relaxed);
                    last_segment = Instant::now();
                }
                Some((StatusCode::GONE | StatusCode::FORBIDDEN, ..)) | None => return,
                Some(_) => {
                    failures += 1;
                    fetched.remove(number);
                    break;
                }
            }
        }
        while fetched.len() > 64 {
            fetched.pop_first();
        }
        tokio::time::sleep(RELOAD_INTERVAL).await;
    }
}
