//! One connection to a media node, with the session that lives on it.

use std::collections::VecDeque;
use std::sync::Arc;

use ashglade_judge::What;
use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::presentation::rung_of;
use ashglade_rtsp::{Codec, Packet, Request, Response, load};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::node::{Fleet, Node, Stream};

/// Packets that wait for a connection at most.
const QUEUE: usize = 256;

struct Connection {
    fleet: Arc<Fleet>,
    node: Arc<Node>,
    /// The session's number at the node; a new one for each, so that a connection that is used again is told apart.
    number: u64,
    out: mpsc::Sender<Packet>,
    session: Option<String>,
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
    let mut this = Connection { fleet, node: node.clone(), number, out, session: None };
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
    this.close();
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
        if *request.method() != Method::Setup {
            return;
        }
        if self.session.is_some() {
            self.close();
        }
        self.number = self.node.connection();
        if let Some(url) = request.request_uri()
            && let Some((viewer, again)) = viewer_of(url)
        {
            let title = url.path().trim_start_matches('/').split('/').next().unwrap_or_default().to_string();
            let (node, connection, rung) = (self.name(), self.number, rung_of(url).unwrap_or(0));
            self.node.log.saw(What::Setup { node, connection, viewer, again, title, rung });
        }
        self.session = Some(format!("{}", self.number));
    }

    /// Notes the answer to a SETUP as it is written.
    fn answers(&mut self, response: &Response) {
        if response.header(&headers::SESSION).is_none() && response.header(&headers::TRANSPORT).is_none() {
            return;
        }
        if response.header(&headers::TRANSPORT).is_some() || response.status() != StatusCode::Ok {
            let status = u16::from(response.status());
            self.node.log.saw(What::SetupAnswered { node: self.name(), connection: self.number, status });
        }
    }

    /// The session, or the connection, is over.
    fn close(&mut self) {
        self.node.state().streams.remove(&self.number);
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
                let Some(stream) = state.streams.get_mut(&self.number) else {
                    return Reply::Now(messages::response(StatusCode::SessionNotFound, cseq.as_deref()));
                };
                let switch = request.header(&messages::switch_stream());
                if let Some(rung) = switch.and_then(|v| rung_of(&messages::switched_to(v.as_str())?)) {
                    // Another rendition has an SSRC, a sequence and a clock of its own.
                    let (rate, playing) = (self.fleet.rate(rung), stream.playing);
                    *stream = Stream::new(rate, self.out.clone(), stream.channel, random);
                    stream.playing = playing;
                    let (node, connection) = (self.node.spec.name.clone(), self.number);
                    self.node.log.saw(What::Switched { node, connection, rung });
                }
                stream.playing = true;
                ok.insert_header(headers::RANGE, "npt=0.000-");
            }
            Method::Pause => {
                if let Some(stream) = self.node.state().streams.get_mut(&self.number) {
                    stream.playing = false;
                }
            }
            Method::Teardown => self.close(),
            Method::GetParameter => {
                let load = self.fleet.load(&self.node);
                ok.insert_header(headers::CONTENT_TYPE, "text/parameters");
                ok = ok.replace_body(load.body().into_bytes());
            }
            Method::Options => {
                ok.insert_header(headers::PUBLIC, "OPTIONS, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER");
            }
            _ => return Reply::Now(messages::response(StatusCode::NotImplemented, cseq.as_deref())),
        }
        Reply::Now(ok)
    }

    fn setup(&mut self, request: &Request, cseq: Option<String>) -> Reply {
        if self.fleet.pushed_over(&self.node) {
            return Reply::Reset;
        }
        let faults = self.node.state().faults.clone();
        let chance = self.node.state().random.rand_float();
        if chance < faults.resets {
            return Reply::Reset;
        }
        let load = self.fleet.load(&self.node);
        let answer = |status| {
            let mut answer = messages::response(status, cseq.as_deref());
            answer.insert_header(load::header(), load.line());
            // Marks the answer to a SETUP, refused or not, for the record.
            answer.insert_header(headers::SESSION, format!("{};timeout=60", self.number));
            answer
        };
        let left_out = Channels { rtp: 0, rtcp: 1 };
        let transport = request.header(&headers::TRANSPORT);
        let channels = transport.and_then(|t| messages::interleaved(t.as_str(), left_out));
        let rung = request.request_uri().and_then(rung_of);
        let (channels, rung) = match (channels, rung) {
            _ if chance < faults.resets + faults.errors => {
                return Reply::Now(answer(StatusCode::InternalServerError));
            }
            (None, _) => return Reply::Now(answer(StatusCode::UnsupportedTransport)),
            (_, None) => return Reply::Now(answer(StatusCode::NotFound)),
            _ if self.fleet.full(&self.node) => return Reply::Now(answer(StatusCode::NotEnoughBandwidth)),
            (Some(channels), Some(rung)) => (channels, rung),
        };
        let rate = self.fleet.rate(rung);
        let mut state = self.node.state();
        let random = state.random.rand_u64();
        state.streams.insert(self.number, Stream::new(rate, self.out.clone(), channels.rtp, random));
        drop(state);
        let mut ok = answer(StatusCode::Ok);
        ok.insert_header(headers::TRANSPORT, channels.granted(Some(random as u32)));
        match faults.answer_lost {
            true => Reply::Lost,
            false if faults.delay.is_zero() => Reply::Now(ok),
            false => Reply::At(Instant::now() + faults.delay, ok),
        }
    }
}

/// The viewer and its try, from a URL's query: `viewer=N.K`.
fn viewer_of(url: &Url) -> Option<(u64, u32)> {
    let (_, value) = url.query_pairs().find(|(name, _)| name == "viewer")?;
    let (viewer, again) = value.split_once('.')?;
    Some((viewer.parse().ok()?, again.parse().ok()?))
}
