//! An RTSP connection to a stand-in media node, with its session.

use std::collections::VecDeque;
use std::sync::Arc;

use ashglade_judge::EventKind;
use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::presentation::{self, rung_from_url};
use ashglade_rtsp::{Codec, Packet, Request, Response, load};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::node::{CLOCK_RATES, Fleet, Node, Stream};

/// Maximum number of media packets that wait to be written to a connection.
const MAX_QUEUED_PACKETS: usize = 256;

/// The state of a connection.
struct Connection {
    fleet: Arc<Fleet>,
    node: Arc<Node>,
    /// Number of the session, unique at the node: each further session on the connection gets a new one.
    number: u64,
    out: mpsc::Sender<Packet>,
    session: Option<String>,
    /// Whether the response to the session's first SETUP was sent.
    answered: bool,
}

/// How a request is answered.
enum Reply {
    Immediate(Response),
    /// The response is sent at that time.
    Delayed(Instant, Response),
    /// The request was handled, and the response is dropped.
    Dropped,
    /// The connection is reset.
    Reset,
}

/// Serves a connection until it closes or the node's process ends.
pub(crate) async fn run(fleet: Arc<Fleet>, node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, Codec::default());
    let (out, mut frames) = mpsc::channel(MAX_QUEUED_PACKETS);
    let mut changes = node.changes.subscribe();
    let number = node.next_connection();
    let mut connection =
        Connection { fleet, node: node.clone(), number, out, session: None, answered: false };
    // Requests are recorded as they arrive, and handled while the node doesn't hang.
    let mut backlog: VecDeque<Request> = VecDeque::new();
    let mut delayed: Option<(Instant, Response)> = None;
    let mut reset = false;
    loop {
        if !node.state().running {
            reset = true;
            break;
        }
        let responsive = !node.state().faults.hang;
        if responsive
            && delayed.is_none()
            && let Some(request) = backlog.pop_front()
        {
            match connection.handle(&request) {
                Reply::Immediate(response) => {
                    connection.record_response(&response);
                    if framed.send(Packet::Response(response)).await.is_err() {
                        break;
                    }
                }
                Reply::Delayed(at, response) => delayed = Some((at, response)),
                Reply::Dropped => {}
                Reply::Reset => {
                    reset = true;
                    break;
                }
            }
            continue;
        }
        let due_at = delayed.as_ref().map(|(at, _)| *at);
        let wait_until_due = async {
            match due_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            packet = framed.next() => match packet {
                Some(Ok(Packet::Request(request))) if backlog.len() < 64 => {
                    connection.record_setup(&request);
                    backlog.push_back(request);
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => break,
            },
            () = wait_until_due, if responsive => {
                let Some((_, response)) = delayed.take() else { continue };
                connection.record_response(&response);
                if framed.send(Packet::Response(response)).await.is_err() {
                    break;
                }
            }
            Some(packet) = frames.recv(), if responsive => {
                if framed.feed(packet).await.is_err() {
                    break;
                }
                while let Ok(packet) = frames.try_recv() {
                    if framed.feed(packet).await.is_err() {
                        break;
                    }
                }
                if framed.flush().await.is_err() {
                    break;
                }
            }
            _ = changes.changed() => {}
        }
    }
    connection.close_session(false);
    if reset {
        let _ = framed.get_ref().set_zero_linger();
    }
}

impl Connection {
    fn node_name(&self) -> String {
        self.node.spec.name.clone()
    }

    /// Records the first SETUP of a session as it arrives, and begins the session.
    fn record_setup(&mut self, request: &Request) {
        // A SETUP with a session ID is for a further track.
        if *request.method() != Method::Setup || request.header(&headers::SESSION).is_some() {
            return;
        }
        if self.session.is_some() {
            self.close_session(true);
        }
        self.number = self.node.next_connection();
        if let Some(url) = request.request_uri()
            && let Some((viewer, attempt)) = viewer_of(url)
        {
            let title = url.path().trim_start_matches('/').split('/').next().unwrap_or_default().to_string();
            let (node, connection, rung) = (self.node_name(), self.number, rung_from_url(url).unwrap_or(0));
            self.node.recorder.record(EventKind::SetupReceived {
                node,
                connection,
                viewer,
                attempt,
                title,
                rung,
            });
        }
        self.session = Some(format!("{}", self.number));
        self.answered = false;
    }

    /// Records the response to the first SETUP of a session as it is written.
    fn record_response(&mut self, response: &Response) {
        if response.header(&headers::SESSION).is_some() && !std::mem::replace(&mut self.answered, true) {
            let status = u16::from(response.status());
            self.node.recorder.record(EventKind::SetupResponseSent {
                node: self.node_name(),
                connection: self.number,
                status,
            });
        }
    }

    /// Ends the session by a teardown, or because its connection has closed; the node may then keep it for a
    /// while.
    fn close_session(&mut self, torn_down: bool) {
        let mut state = self.node.state();
        let held = state.streams.keys().any(|(session, _)| *session == self.number);
        if held && !torn_down && !state.faults.orphan_retention.is_zero() {
            state.orphans.insert(self.number, Instant::now());
        } else {
            state.end_session(self.number);
        }
        drop(state);
        if self.session.take().is_some() {
            self.node
                .recorder
                .record(EventKind::SessionClosed { node: self.node_name(), connection: self.number });
        }
    }

    /// Handles a request.
    fn handle(&mut self, request: &Request) -> Reply {
        let cseq = messages::cseq(request);
        let mut ok = messages::response(StatusCode::Ok, cseq.as_deref());
        match request.method() {
            Method::Setup => return self.setup(request, cseq),
            Method::Play => {
                let mut state = self.node.state();
                let random = state.random.rand_u64();
                let session_tracks = (self.number, 0)..=(self.number, u8::MAX);
                let mut streams = state.streams.range_mut(session_tracks);
                // Only video, the first track, has several renditions.
                let Some((&(_, track), stream)) = streams.next() else {
                    return Reply::Immediate(messages::response(
                        StatusCode::SessionNotFound,
                        cseq.as_deref(),
                    ));
                };
                streams.for_each(|(_, other)| other.playing = true);
                let switch = request.header(&messages::switch_stream_header());
                if let Some(rung) =
                    switch.and_then(|v| rung_from_url(&messages::parse_switch_stream(v.as_str())?))
                {
                    // Each rendition has its own SSRC, sequence numbers and timestamps.
                    let (rate, playing) = (self.fleet.rate(track, rung), stream.playing);
                    let clock_rate = CLOCK_RATES[usize::from(track)];
                    *stream = Stream::new(rate, self.out.clone(), stream.channel, clock_rate, random);
                    stream.playing = playing;
                    let (node, connection) = (self.node.spec.name.clone(), self.number);
                    self.node.recorder.record(EventKind::RungChanged { node, connection, rung });
                }
                stream.playing = true;
                ok.insert_header(headers::RANGE, "npt=0.000-");
                let session_tracks = (self.number, 0)..=(self.number, u8::MAX);
                let track_starts = state
                    .streams
                    .range(session_tracks)
                    .map(|(&(_, track), stream)| stream.next_packet(track));
                let base = request.request_uri().map(|url| url.path().to_string()).unwrap_or_default();
                let info =
                    presentation::format_rtp_info(track_starts, |track| format!("{base}/track{}", track + 1));
                ok.insert_header(headers::RTP_INFO, info);
            }
            Method::Pause => {
                let session_tracks = (self.number, 0)..=(self.number, u8::MAX);
                self.node
                    .state()
                    .streams
                    .range_mut(session_tracks)
                    .for_each(|(_, stream)| stream.playing = false);
            }
            Method::Teardown => {
                let session = request.header(&headers::SESSION).map(|s| messages::session_id(s.as_str()));
                let number = session.and_then(|s| s.parse::<u64>().ok()).unwrap_or(self.number);
                if number == self.number {
                    self.close_session(true);
                } else if !self.node.state().end_session(number) {
                    return Reply::Immediate(messages::response(
                        StatusCode::SessionNotFound,
                        cseq.as_deref(),
                    ));
                }
            }
            Method::GetParameter => {
                let load = self.fleet.load(&self.node);
                ok.insert_header(headers::CONTENT_TYPE, "text/parameters");
                ok = ok.replace_body(load.to_parameters().into_bytes());
            }
            Method::Options => {
                ok.insert_header(headers::PUBLIC, "OPTIONS, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER");
            }
            _ => return Reply::Immediate(messages::response(StatusCode::NotImplemented, cseq.as_deref())),
        }
        Reply::Immediate(ok)
    }

    /// Handles a SETUP of a session's first or a further track.
    fn setup(&mut self, request: &Request, cseq: Option<String>) -> Reply {
        let track = request.request_uri().and_then(track_of).unwrap_or(0).min(1);
        let is_further_track = request.header(&headers::SESSION).is_some();
        if is_further_track && !self.node.state().streams.keys().any(|(session, _)| *session == self.number) {
            return Reply::Immediate(messages::response(StatusCode::SessionNotFound, cseq.as_deref()));
        }
        if !is_further_track && self.fleet.overloads(&self.node) {
            return Reply::Reset;
        }
        let faults = self.node.state().faults.clone();
        let draw = self.node.state().random.rand_float();
        if !is_further_track && draw < faults.reset_fraction {
            return Reply::Reset;
        }
        let load = self.fleet.load(&self.node);
        let respond = |status| {
            let mut response = messages::response(status, cseq.as_deref());
            response.insert_header(load::header_name(), load.to_header_value());
            // Also on rejections: by this header a response to a SETUP is recognized and recorded.
            response.insert_header(headers::SESSION, format!("{};timeout=60", self.number));
            response
        };
        let default_channels = InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
        let transport = request.header(&headers::TRANSPORT);
        let channels = transport.and_then(|t| messages::parse_transport(t.as_str(), default_channels));
        let rung = request.request_uri().and_then(rung_from_url);
        let (channels, rung) = match (channels, rung) {
            _ if !is_further_track && draw < faults.reset_fraction + faults.error_fraction => {
                return Reply::Immediate(respond(StatusCode::InternalServerError));
            }
            (None, _) => return Reply::Immediate(respond(StatusCode::UnsupportedTransport)),
            (_, None) => return Reply::Immediate(respond(StatusCode::NotFound)),
            _ if !is_further_track && self.fleet.is_full(&self.node) => {
                return Reply::Immediate(respond(StatusCode::NotEnoughBandwidth));
            }
            (Some(channels), Some(rung)) => (channels, rung),
        };
        let rate = self.fleet.rate(track, rung);
        let clock_rate = CLOCK_RATES[usize::from(track)];
        let mut state = self.node.state();
        let random = state.random.rand_u64();
        let stream = Stream::new(rate, self.out.clone(), channels.rtp, clock_rate, random);
        state.streams.insert((self.number, track), stream);
        drop(state);
        let mut at = Instant::now();
        if faults.serialize_setups {
            let mut state = self.node.state();
            at = at.max(state.setup_queue_ends);
            state.setup_queue_ends = at + faults.setup_delay;
        }
        let mut ok = respond(StatusCode::Ok);
        ok.insert_header(headers::TRANSPORT, channels.transport_header(Some(random as u32)));
        match faults.drop_setup_responses && !is_further_track {
            true => Reply::Dropped,
            false if faults.setup_delay.is_zero() => Reply::Immediate(ok),
            false => Reply::Delayed(at + faults.setup_delay, ok),
        }
    }
}

/// Returns the index of the track that a URL names (`/track1` is 0).
fn track_of(url: &Url) -> Option<u8> {
    url.path().rsplit('/').next()?.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)
}

/// Returns the viewer and the attempt from a URL's query, where they are given as `viewer=N.K`.
fn viewer_of(url: &Url) -> Option<(u64, u32)> {
    let (_, value) = url.query_pairs().find(|(name, _)| name == "viewer")?;
    let (viewer, attempt) = value.split_once('.')?;
    Some((viewer.parse().ok()?, attempt.parse().ok()?))
}
