//! Scripted viewers: they ask, watch, come again after a busy reply or a break, and leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ashglade_judge::What;
use ashglade_rtsp::{Codec, Packet, Request, Response, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Framed;

use crate::hls_player;
use crate::log::Log;

/// What one viewer does.
#[derive(Clone, Debug)]
pub struct Script {
    pub id: u64,
    /// Directors it may ask, by number; it begins with the first and goes round.
    pub directors: Vec<(u16, SocketAddr)>,
    /// It speaks HTTP, with these in place of those.
    pub hls: Option<Vec<(u16, SocketAddr)>>,
    pub group: String,
    pub title: String,
    /// Tracks that it sets up.
    pub tracks: u8,
    /// Highest rung that it can use.
    pub top: u8,
    pub setup_timeout: Duration,
    pub watch: Duration,
    /// It leaves so long after its request if it has no answer by then.
    pub leaves_after: Option<Duration>,
    /// How often it comes again, and after how long where it isn't told.
    pub returns: u32,
    pub rejoin: Duration,
}

/// What viewers saw of the media, summed up.
#[derive(Debug, Default)]
pub struct Media {
    pub packets: AtomicU64,
    pub bytes: AtomicU64,
    /// Packets of another SSRC than the session's, and steps back in the sequence: there must be none.
    pub foreign: AtomicU64,
    pub backward: AtomicU64,
    pub breaks: AtomicU64,
    /// Segments of HLS that arrived, and seconds for which players had none.
    pub segments: AtomicU64,
    pub stalled_ms: AtomicU64,
}

impl Script {
    /// What goes along in the URL of a try.
    pub(crate) fn query(&self, again: u32) -> String {
        let viewer = self.id;
        format!("group={}&top={}&viewer={viewer}.{again}&client=v{viewer}", self.group, self.top)
    }

    /// Asks for a session, by whatever protocol, and notes what is seen of it; the answer, or how the try ended without.
    pub(crate) async fn asks<T>(
        &self,
        again: u32,
        director: u16,
        log: &Log,
        answer: impl Future<Output = Option<T>>,
        status: impl Fn(&T) -> u16,
    ) -> Result<T, End> {
        let (viewer, asked) = (self.id, Instant::now());
        log.saw(What::Asked {
            viewer,
            again,
            director,
            group: self.group.clone(),
            title: self.title.clone(),
            setup_timeout: self.setup_timeout.as_secs_f64() * 1e3,
        });
        let patience = self.leaves_after.unwrap_or(self.setup_timeout).min(self.setup_timeout);
        match timeout_at(asked + patience, answer).await {
            Ok(Some(answer)) => {
                log.saw(What::Answered { viewer, again, status: status(&answer) });
                Ok(answer)
            }
            Ok(None) => {
                log.saw(What::Cut { viewer, again });
                Err(End::Broken)
            }
            Err(_) => {
                log.saw(What::GaveUp { viewer, again, patient: patience >= self.setup_timeout });
                Err(if patience < self.setup_timeout { End::Left } else { End::Broken })
            }
        }
    }
}

/// How a try ended.
pub(crate) enum End {
    Watched,
    Busy(Option<Duration>),
    Broken,
    Left,
}

pub async fn run(script: Script, log: Log, media: Arc<Media>) {
    let mut left = script.watch;
    let mut turned_to = 0;
    for again in 0..=script.returns {
        let directors = script.hls.as_ref().unwrap_or(&script.directors);
        let Some(&(director, address)) = directors.get(turned_to % directors.len().max(1)) else {
            return;
        };
        let began = Instant::now();
        let end = match script.hls {
            Some(_) => hls_player::one(&script, again, director, address, left, &log, &media).await,
            None => one(&script, again, director, address, left, &log, &media).await,
        };
        left = left.saturating_sub(began.elapsed());
        match end {
            End::Watched | End::Left => return,
            End::Busy(after) => tokio::time::sleep(after.unwrap_or(script.rejoin)).await,
            End::Broken => {
                // Whoever was told when to come back comes to the director that told it.
                turned_to += 1;
                media.breaks.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(script.rejoin).await;
            }
        }
        if left < Duration::from_millis(200) {
            return;
        }
    }
}

struct Connection {
    framed: Framed<TcpStream, Codec>,
    cseq: u32,
    url: Url,
    session: Option<String>,
}

impl Connection {
    /// Sends a request: SETUP of a track, anything else for the whole presentation.
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

    /// The answer to the last request; frames are passed over.
    async fn answer(&mut self) -> Option<Response> {
        loop {
            if let Packet::Response(response) = self.framed.next().await?.ok()? {
                return Some(response);
            }
        }
    }
}

async fn one(
    script: &Script,
    again: u32,
    director: u16,
    address: SocketAddr,
    watch: Duration,
    log: &Log,
    media: &Media,
) -> End {
    let query = script.query(again);
    let Ok(url) = Url::parse(&format!("rtsp://{address}/{}?{query}", script.title)) else {
        return End::Left;
    };
    let connect = tokio::time::timeout(script.setup_timeout, TcpStream::connect(address));
    let Ok(Ok(stream)) = connect.await else { return End::Broken };
    let _ = stream.set_nodelay(true);
    let mut connection =
        Connection { framed: Framed::new(stream, Codec::default()), cseq: 0, url, session: None };
    let asked = Instant::now();
    let answer = async {
        connection.send(Method::Setup, Some(0)).await.ok()?;
        connection.answer().await
    };
    let status = |response: &Response| response.status().into();
    let response = match script.asks(again, director, log, answer, status).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    match response.status() {
        StatusCode::Ok => {}
        StatusCode::ServiceUnavailable | StatusCode::NotEnoughBandwidth => {
            let after = messages::header(&response, &headers::RETRY_AFTER).and_then(|v| v.parse().ok());
            return End::Busy(after.map(Duration::from_secs));
        }
        _ => return End::Broken,
    }
    let session = messages::header(&response, &headers::SESSION).map(|s| messages::session_id(s).to_string());
    connection.session = session;
    for track in 1..script.tracks {
        if connection.send(Method::Setup, Some(track)).await.is_err() {
            return End::Broken;
        }
        match timeout_at(Instant::now() + script.setup_timeout, connection.answer()).await {
            Ok(Some(response)) if response.status() == StatusCode::Ok => {}
            _ => return End::Broken,
        }
    }
    if connection.send(Method::Play, None).await.is_err() {
        return End::Broken;
    }
    let until = asked + watch;
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
                if let Some((before, at)) = *last {
                    media.foreign.fetch_add(u64::from(ssrc != before), Ordering::Relaxed);
                    let back = seq.wrapping_sub(at) > 0x8000;
                    media.backward.fetch_add(u64::from(back), Ordering::Relaxed);
                }
                *last = Some((ssrc, seq));
            }
            // RTCP BYE: the stream is over.
            Ok(Some(Ok(Packet::Frame { payload, .. }))) if payload.get(1) == Some(&203) => {
                return End::Broken;
            }
            Ok(Some(Ok(Packet::Response(response)))) if response.status() != StatusCode::Ok => {
                return End::Broken;
            }
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_)) | None) => return End::Broken,
        }
    }
    if connection.send(Method::Teardown, None).await.is_ok() {
        let _ = timeout_at(Instant::now() + Duration::from_millis(500), connection.answer()).await;
    }
    End::Watched
}
