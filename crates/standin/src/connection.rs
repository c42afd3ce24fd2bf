//! One connection to a media node, with the session that lives on it.

use std::collections::VecDeque;
use std::sync::Arc;

use ashglade_judge::What;
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

/// Packets that wait for a connection at most.
const QUEUE: usize = 256;

struct Connection {
    fleet: Arc<Fleet>,
    node: Arc<Node>,
    /// The session's number at the node; a new one for each, so that a connection that is used again is told apart.
    number: u64,
    out: mpsc::Sender<Packet>,
    session: Option<String>,
    /// Its SETUP has its answer.
    answered: bool,
}

/// What becomes of a request.
enum Reply {
    Now(Response),
    At(Instant, Response),
    /// Handled, and the answer is dropped.
    Lost,
    Reset,
}

pub(crate) async fn run(fleet: Arc<Fleet>, node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, Codec::default());
    let (out, mut frames) = mpsc::channel(QUEUE);
    let mut changes = node.changes.subscribe();
    let number = node.connection();
    let mut this = Connection { fleet, node: node.clone(), number, out, session: None, answered: false };
    // Requests are read at once, for the record, and handled when the node works.
    let mut backlog: VecDeque<Request> = VecDeque::new();
    let mut late: Option<(Instant, Response)> = None;
    let mut reset = false;
    loop {
        if !node.state().up {
            reset = true;
            break;
        }
        let works = !node.state().faults.hang;
        if works
            && late.is_none()
            && let Some(request) = backlog.pop_front()
        {
            match this.handle(&request) {
                Reply::Now(response) => {
                    this.answers(&response);
                    if framed.send(Packet::Response(response)).await.is_err() {
                        break;
                    }
                }
                Reply::At(at, response) => late = Some((at, response)),
                Reply::Lost => {}
                Reply::Reset => {
                    reset = true;
                    break;
                }
            }
            continue;
        }
        let due = late.as_ref().map(|(at, _)| *at);
        let wait = async {
            match due {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            packet = framed.next() => match packet {
                Some(Ok(Packet::Request(request))) if backlog.len() < 64 => {
                    this.arrived(&request);
                    backlog.push_back(request);
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => break,
            },
            () = wait, if works => {
                let Some((_, response)) = late.take() else { continue };
                this.answers(&response);
                if framed.send(Packet::Response(response)).await.is_err() {
                    break;
                }
            }
            Some(packet) = frames.recv(), if works => {
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
    this.close(false);
    if reset {
        let _ = framed.get_ref().set_zero_linger();
    }
}

impl Connection {
    fn name(&self) -> String {
        self.node.spec.name.clone()
    }

    /// Notes a SETUP as it arrives.
    fn arrived(&mut self, request: &Request) {
        // A SETUP that names the session is one of a further track.
        if *request.method() != Method::Setup || request.header(&headers::SESSION).is_some() {
            return;
        }
        if self.session.is_some() {
            self.close(true);
        }
        self.number = self.node.connection();
        if let Some(url) = request.request_uri()
            && let Some((viewer, again)) = viewer_of(url)
        {
            let title = url.path().trim_start_matches('/').split('/').next().unwrap_or_default().to_string();
            let (node, connection, rung) = (self.name(), self.number, rung_from_url(url).unwrap_or(0));
            self.node.log.saw(What::Setup { node, connection, viewer, again, title, rung });
        }
        self.session = Some(format!("{}", self.number));
        self.answered = false;
    }

    /// Notes the answer to a SETUP as it is written.
    fn answers(&mut self, response: &Response) {
        if response.header(&headers::SESSION).is_some() && !std::mem::replace(&mut self.answered, true) {
            let status = u16::from(response.status());
            self.node.log.saw(What::SetupAnswered { node: self.name(), connection: self.number, status });
        }
    }

    /// The session, or the connection, is over.
    fn close(&mut self, torn_down: bool) {
        let mut state = self.node.state();
        let held = state.streams.keys().any(|(session, _)| *session == self.number);
        if held && !torn_down && !state.faults.keeps.is_zero() {
            state.orphans.insert(self.number, Instant::now());
        } else {
            state.end(self.number);
        }
        drop(state);
        if self.session.take().is_some() {
            self.node.log.saw(What::Closed { node: self.name(), connection: self.number });
        }
    }

    fn handle(&mut self, request: &Request) -> Reply {
        let cseq = messages::cseq(request);
        let mut ok = messages::response(StatusCode::Ok, cseq.as_deref());
        match request.method() {
            Method::Setup => return self.setup(request, cseq),
            Method::Play => {
                let mut state = self.node.state();
                let random = state.random.rand_u64();
                let mine = (self.number, 0)..=(self.number, u8::MAX);
                let mut streams = state.streams.range_mut(mine);
                // The first is the one that has renditions, if it is video.
                let Some((&(_, track), stream)) = streams.next() else {
                    return Reply::Now(messages::response(StatusCode::SessionNotFound, cseq.as_deref()));
                };
                streams.for_each(|(_, other)| other.playing = true);
                let switch = request.header(&messages::switch_stream_header());
                if let Some(rung) =
                    switch.and_then(|v| rung_from_url(&messages::parse_switch_stream(v.as_str())?))
                {
                    // Another rendition has an SSRC, a sequence and a clock of its own.
                    let (rate, playing) = (self.fleet.rate(track, rung), stream.playing);
                    let clock_rate = CLOCK_RATES[usize::from(track)];
                    *stream = Stream::new(rate, self.out.clone(), stream.channel, clock_rate, random);
                    stream.playing = playing;
                    let (node, connection) = (self.node.spec.name.clone(), self.number);
                    self.node.log.saw(What::Switched { node, connection, rung });
                }
                stream.playing = true;
                ok.insert_header(headers::RANGE, "npt=0.000-");
                let mine = (self.number, 0)..=(self.number, u8::MAX);
                let begins = state.streams.range(mine).map(|(&(_, track), stream)| stream.begins(track));
                let base = request.request_uri().map(|url| url.path().to_string()).unwrap_or_default();
                let info =
                    presentation::format_rtp_info(begins, |track| format!("{base}/track{}", track + 1));
                ok.insert_header(headers::RTP_INFO, info);
            }
            Method::Pause => {
                let mine = (self.number, 0)..=(self.number, u8::MAX);
                self.node.state().streams.range_mut(mine).for_each(|(_, stream)| stream.playing = false);
            }
            Method::Teardown => {
                let session = request.header(&headers::SESSION).map(|s| messages::session_id(s.as_str()));
                let named = session.and_then(|s| s.parse::<u64>().ok()).unwrap_or(self.number);
                if named == self.number {
                    self.close(true);
                } else if !self.node.state().end(named) {
                    return Reply::Now(messages::response(StatusCode::SessionNotFound, cseq.as_deref()));
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
            _ => return Reply::Now(messages::response(StatusCode::NotImplemented, cseq.as_deref())),
        }
        Reply::Now(ok)
    }

    fn setup(&mut self, request: &Request, cseq: Option<String>) -> Reply {
        let track = request.request_uri().and_then(track_of).unwrap_or(0).min(1);
        let further = request.header(&headers::SESSION).is_some();
        if further && !self.node.state().streams.keys().any(|(session, _)| *session == self.number) {
            return Reply::Now(messages::response(StatusCode::SessionNotFound, cseq.as_deref()));
        }
        if !further && self.fleet.pushed_over(&self.node) {
            return Reply::Reset;
        }
        let faults = self.node.state().faults.clone();
        let chance = self.node.state().random.rand_float();
        if !further && chance < faults.resets {
            return Reply::Reset;
        }
        let load = self.fleet.load(&self.node);
        let answer = |status| {
            let mut answer = messages::response(status, cseq.as_deref());
            answer.insert_header(load::header_name(), load.to_header_value());
            // Marks the answer to a SETUP, refused or not, for the record.
            answer.insert_header(headers::SESSION, format!("{};timeout=60", self.number));
            answer
        };
        let left_out = InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
        let transport = request.header(&headers::TRANSPORT);
        let channels = transport.and_then(|t| messages::parse_transport(t.as_str(), left_out));
        let rung = request.request_uri().and_then(rung_from_url);
        let (channels, rung) = match (channels, rung) {
            _ if !further && chance < faults.resets + faults.errors => {
                return Reply::Now(answer(StatusCode::InternalServerError));
            }
            (None, _) => return Reply::Now(answer(StatusCode::UnsupportedTransport)),
            (_, None) => return Reply::Now(answer(StatusCode::NotFound)),
            _ if !further && self.fleet.full(&self.node) => {
                return Reply::Now(answer(StatusCode::NotEnoughBandwidth));
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
        if faults.queue {
            let mut state = self.node.state();
            at = at.max(state.busy_until);
            state.busy_until = at + faults.delay;
        }
        let mut ok = answer(StatusCode::Ok);
        ok.insert_header(headers::TRANSPORT, channels.transport_header(Some(random as u32)));
        match faults.answer_lost && !further {
            true => Reply::Lost,
            false if faults.delay.is_zero() => Reply::Now(ok),
            false => Reply::At(at + faults.delay, ok),
        }
    }
}

/// The track that a URL names, from 0.
fn track_of(url: &Url) -> Option<u8> {
    url.path().rsplit('/').next()?.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)
}

/// The viewer and its try, from a URL's query: `viewer=N.K`.
fn viewer_of(url: &Url) -> Option<(u64, u32)> {
    let (_, value) = url.query_pairs().find(|(name, _)| name == "viewer")?;
    let (viewer, again) = value.split_once('.')?;
    Some((viewer.parse().ok()?, again.parse().ok()?))
}
