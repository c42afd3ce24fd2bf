//! A scripted player: it asks for a title, takes the highest variant that it is offered, fetches segment after segment,
//! and begins anew when it is told to.

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

use crate::log::Log;
use crate::viewer::{End, Media, Script};

/// Between looks at a live playlist.
const RELOAD: Duration = Duration::from_millis(500);
/// Failures in a row that it bears.
const BEARS: u32 = 6;

/// One connection to a director.
pub struct Http {
    sender: SendRequest<Empty<Bytes>>,
    host: SocketAddr,
}

impl Http {
    pub async fn open(host: SocketAddr) -> Option<Http> {
        let stream = TcpStream::connect(host).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Http { sender, host })
    }

    /// Status, retry-after and body of what is at a path.
    pub async fn get(&mut self, path: &str) -> Option<(StatusCode, Option<u64>, Bytes)> {
        self.get_with(path, None).await
    }

    /// The same of a range of bytes.
    pub async fn get_with(
        &mut self,
        path: &str,
        range: Option<&str>,
    ) -> Option<(StatusCode, Option<u64>, Bytes)> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", self.host.to_string());
        let request = range.iter().fold(request, |request, range| request.header("range", *range));
        let request = request.body(Empty::new()).ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let after = response.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
        let status = response.status();
        Some((status, after, response.into_body().collect().await.ok()?.to_bytes()))
    }
}

/// URIs of a playlist, in its order.
pub fn uris(playlist: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(playlist);
    text.lines().filter(|line| !line.starts_with('#') && !line.is_empty()).map(str::to_string).collect()
}

pub(crate) async fn one(
    script: &Script,
    again: u32,
    director: u16,
    address: SocketAddr,
    watch: Duration,
    log: &Log,
    media: &Media,
) -> End {
    let connect = tokio::time::timeout(script.setup_timeout, Http::open(address));
    let Ok(Some(mut http)) = connect.await else { return End::Broken };
    let asked = Instant::now();
    let path = format!("/{}/index.m3u8?{}", script.title, script.query(again));
    let status = |(status, ..): &(StatusCode, Option<u64>, Bytes)| (*status).into();
    let answer = script.asks(again, director, log, http.get(&path), status).await;
    let (status, after, body) = match answer {
        Ok(answer) => answer,
        Err(end) => return end,
    };
    match status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return End::Busy(after.map(Duration::from_secs)),
        _ => return End::Broken,
    }
    // Variants are in the order of the ladder.
    let Some(variant) = uris(&body).pop() else { return End::Broken };
    let until = asked + watch;
    match timeout_at(until, plays(&mut http, &variant, media)).await {
        Err(_) => End::Watched,
        Ok(()) => End::Broken,
    }
}

/// Fetches segments until something breaks for good.
async fn plays(http: &mut Http, variant: &str, media: &Media) {
    let mut fetched: BTreeSet<String> = BTreeSet::new();
    let (mut failures, mut last) = (0, Instant::now());
    while failures < BEARS {
        let Some((status, after, body)) = http.get(variant).await else { return };
        match status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => {
                failures += 1;
                tokio::time::sleep(Duration::from_secs(after.unwrap_or(1))).await;
                continue;
            }
            _ => return,
        }
        let listed = uris(&body);
        // It begins near the live edge.
        let from = if fetched.is_empty() { listed.len().saturating_sub(2) } else { 0 };
        for uri in &listed[from..] {
            // The same segment at another rung, or from another node, has the same number.
            let number = uri.split('?').next().and_then(|path| path.rsplit('/').next()).unwrap_or(uri);
            if !fetched.insert(number.to_string()) {
                continue;
            }
            match http.get(uri).await {
                Some((StatusCode::OK, _, bytes)) => {
                    failures = 0;
                    media.segments.fetch_add(1, Ordering::Relaxed);
                    media.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    // A segment holds a second.
                    let late = last.elapsed().saturating_sub(Duration::from_millis(2500));
                    media.stalled_ms.fetch_add(late.as_millis() as u64, Ordering::Relaxed);
                    last = Instant::now();
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
        tokio::time::sleep(RELOAD).await;
    }
}
