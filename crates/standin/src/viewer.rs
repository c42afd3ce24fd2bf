//! Scripted viewers: they request a session, watch it, retry after a busy reply or a failure, and leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ashglade_judge::EventKind;
use ashglade_rtsp::{Codec, Packet, Request, Response, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Framed;

use crate::hls_player;
use crate::recorder::TrafficRecorder;

/// What a viewer does.
#[derive(Clone, Debug)]
pub struct ViewerScript {
    pub id: u64,
    /// Directors, each with its index. The viewer begins with the first and takes the next one after a
    /// failure.
    pub directors: Vec<(u16, SocketAddr)>,
    /// The HLS addresses of the directors, used in place of `directors` if the viewer speaks HLS.
    pub hls_directors: Option<Vec<(u16, SocketAddr)>>,
    pub group: String,
    pub title: String,
    /// Number of tracks that it sets up.
    pub tracks: u8,
    /// Highest rung that it can play.
    pub top_rung: u8,
    pub setup_timeout: Duration,
    /// Time for which it watches, over all attempts.
    pub watch_duration: Duration,
    /// Time after which it leaves if its request has no response; `None` to wait for the setup timeout.
    pub abandon_after: Option<Duration>,
    /// Maximum number of attempts after the first.
    pub max_retries: u32,
    /// Delay before the next attempt after a failure, or a busy reply without Retry-After.
    pub retry_delay: Duration,
}

/// Counters of the media that viewers received.
#[derive(Debug, Default)]
pub struct MediaCounters {
    /// RTP packets.
    pub packets: AtomicU64,
    /// Bytes of RTP packets and HLS segments.
    pub bytes: AtomicU64,
    /// Changes of a track's SSRC. A director must cause none.
    pub ssrc_changes: AtomicU64,
    /// RTP packets with a lower sequence number than the one before. A director must cause none.
    pub sequence_regressions: AtomicU64,
    /// Attempts that failed.
    pub failed_attempts: AtomicU64,
    /// HLS segments.
    pub segments: AtomicU64,
    /// Milliseconds for which HLS players stalled.
    pub stalled_ms: AtomicU64,
}

impl ViewerScript {
    /// Returns the query of the URL of an attempt.
    pub(crate) fn query(&self, attempt: u32) -> String {
        let viewer = self.id;
        format!("group={}&top={}&viewer={viewer}.{attempt}&client=v{viewer}", self.group, self.top_rung)
    }

    /// Requests a session with any protocol, and records the request and its result. `response` sends the
    /// request and yields `None` if the connection closes before the response. Returns the response, or the
    /// outcome of an attempt without one.
    pub(crate) async fn request_session<T>(
        &self,
        attempt: u32,
        director: u16,
        recorder: &TrafficRecorder,
        response: impl Future<Output = Option<T>>,
        status: impl Fn(&T) -> u16,
    ) -> Result<T, AttemptOutcome> {
        let (viewer, started) = (self.id, Instant::now());
        recorder.record(EventKind::RequestSent {
            viewer,
            attempt,
            director,
            group: self.group.clone(),
            title: self.title.clone(),
            setup_timeout: self.setup_timeout.as_secs_f64() * 1e3,
        });
        let timeout = self.abandon_after.unwrap_or(self.setup_timeout).min(self.setup_timeout);
        match timeout_at(started + timeout, response).await {
            Ok(Some(response)) => {
                recorder.record(EventKind::ResponseReceived { viewer, attempt, status: status(&response) });
                Ok(response)
            }
            Ok(None) => {
                recorder.record(EventKind::ClosedWithoutResponse { viewer, attempt });
                Err(AttemptOutcome::Failed)
            }
            Err(_) => {
                recorder.record(EventKind::RequestAbandoned {
                    viewer,
                    attempt,
                    timed_out: timeout >= self.setup_timeout,
                });
                Err(if timeout < self.setup_timeout { AttemptOutcome::Left } else { AttemptOutcome::Failed })
            }
        }
    }
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The viewer watched for as long as it wanted.
    Watched,
    /// A busy reply, with its Retry-After.
    Busy(Option<Duration>),
    /// The request or the session failed.
    Failed,
    /// The viewer left before it got a response.
    Left,
}

/// Runs a viewer to its end.
pub async fn run(script: ViewerScript, recorder: TrafficRecorder, media: Arc<MediaCounters>) {
    let mut remaining = script.watch_duration;
    let mut failures = 0;
    for attempt in 0..=script.max_retries {
        let directors = script.hls_directors.as_ref().unwrap_or(&script.directors);
        let Some(&(director, address)) = directors.get(failures % directors.len().max(1)) else {
            return;
        };
        let started = Instant::now();
        let outcome = match script.hls_directors {
            Some(_) => {
                hls_player::run_attempt(&script, attempt, director, address, remaining, &recorder, &media)
                    .await
            }
            None => run_attempt(&script, attempt, director, address, remaining, &recorder, &media).await,
        };
        remaining = remaining.saturating_sub(started.elapsed());
        match outcome {
            AttemptOutcome::Watched | AttemptOutcome::Left => return,
            AttemptOutcome::Busy(retry_after) => {
                tokio::time::sleep(retry_after.unwrap_or(script.retry_delay)).await
            }
            AttemptOutcome::Failed => {
                // Only a failure makes it try another director; after a busy reply it returns to the same
                // one.
                failures += 1;
                media.failed_attempts.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(script.retry_delay).await;
            }
        }
        if remaining < Duration::from_millis(200) {
            return;
        }
    }
}

/// An RTSP connection to a director.
struct Connection {
    framed: Framed<TcpStream, Codec>,
    cseq: u32,
    url: Url,
    session: Option<String>,
}

impl Connection {
    /// Sends a request: for a track if one is given, as in SETUP, or else for the presentation.
    async fn send(&mut self, method: Method, track: Option<u8>) -> Result<(), ashglade_rtsp::CodecError> {
        self.cseq += 1;
        let mut url = self.url.clone();
        if let Some(track) = track {
            url.set_path(&format!("{}/track{}", url.path(), track + 1));
        }
        let mut request: Request = messages::request(method, &url, self.cseq);
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        if let Some(track) = track {
            let channels = messages::InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
            request.insert_header(headers::TRANSPORT, channels.transport_header(None));
        }
        self.framed.send(Packet::Request(request)).await
    }

    /// Returns the response to the last request. Interleaved frames before it are dropped.
    async fn response(&mut self) -> Option<Response> {
        loop {
            if let Packet::Response(response) = self.framed.next().await?.ok()? {
                return Some(response);
            }
        }
    }
}

/// Runs one attempt over RTSP: requests a session and plays it.
async fn run_attempt(
    script: &ViewerScript,
    attempt: u32,
    director: u16,
    address: SocketAddr,
    watch: Duration,
    recorder: &TrafficRecorder,
    media: &MediaCounters,
) -> AttemptOutcome {
    let query = script.query(attempt);
    let Ok(url) = Url::parse(&format!("rtsp://{address}/{}?{query}", script.title)) else {
        return AttemptOutcome::Left;
    };
    let connect = tokio::time::timeout(script.setup_timeout, TcpStream::connect(address));
    let Ok(Ok(stream)) = connect.await else { return AttemptOutcome::Failed };
    let _ = stream.set_nodelay(true);
    let mut connection =
        Connection { framed: Framed::new(stream, Codec::default()), cseq: 0, url, session: None };
    let started = Instant::now();
    let response = async {
        connection.send(Method::Setup, Some(0)).await.ok()?;
        connection.response().await
    };
    let status = |response: &Response| response.status().into();
    let response = match script.request_session(attempt, director, recorder, response, status).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    match response.status() {
        StatusCode::Ok => {}
        StatusCode::ServiceUnavailable | StatusCode::NotEnoughBandwidth => {
            let retry_after = messages::header(&response, &headers::RETRY_AFTER).and_then(|v| v.parse().ok());
            return AttemptOutcome::Busy(retry_after.map(Duration::from_secs));
        }
        _ => return AttemptOutcome::Failed,
    }
    let session = messages::header(&response, &headers::SESSION).map(|s| messages::session_id(s).to_string());
    connection.session = session;
    for track in 1..script.tracks {
        if connection.send(Method::Setup, Some(track)).await.is_err() {
            return AttemptOutcome::Failed;
        }
        match timeout_at(Instant::now() + script.setup_timeout, connection.response()).await {
            Ok(Some(response)) if response.status() == StatusCode::Ok => {}
            _ => return AttemptOutcome::Failed,
        }
    }
    if connection.send(Method::Play, None).await.is_err() {
        return AttemptOutcome::Failed;
    }
    let until = started + watch;
    let mut last: [Option<(u32, u16)>; 2] = [None; 2];
    loop {
        match timeout_at(until, connection.framed.next()).await {
            Err(_) => break,
            Ok(Some(Ok(Packet::Frame { channel: channel @ (0 | 2), payload }))) => {
                let Ok(packet) = rtp_types::RtpPacket::parse(&payload) else { continue };
                media.packets.fetch_add(1, Ordering::Relaxed);
                media.bytes.fetch_add(payload.len() as u64, Ordering::Relaxed);
                let (ssrc, seq) = (packet.ssrc(), packet.sequence_number());
                let last = &mut last[usize::from(channel / 2)];
                if let Some((last_ssrc, last_seq)) = *last {
                    media.ssrc_changes.fetch_add(u64::from(ssrc != last_ssrc), Ordering::Relaxed);
                    let is_backward = seq.wrapping_sub(last_seq) > 0x8000;
                    media.sequence_regressions.fetch_add(u64::from(is_backward), Ordering::Relaxed);
                }
                *last = Some((ssrc, seq));
            }
            // 203 is the packet type of RTCP BYE, which ends the stream.
            Ok(Some(Ok(Packet::Frame { payload, .. }))) if payload.get(1) == Some(&203) => {
                return AttemptOutcome::Failed;
            }
            Ok(Some(Ok(Packet::Response(response)))) if response.status() != StatusCode::Ok => {
                return AttemptOutcome::Failed;
            }
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_)) | None) => return AttemptOutcome::Failed,
        }
    }
    if connection.send(Method::Teardown, None).await.is_ok() {
        let _ = timeout_at(Instant::now() + Duration::from_millis(500), connection.response()).await;
    }
    AttemptOutcome::Watched
}
