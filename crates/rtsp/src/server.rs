//! The viewer's side of one connection as a state machine (RFC 2326, A.2), without I/O: a request in, a [`Step`]
//! out. Requests are answered in the order in which they came (RFC 2326, 9.1), so the shell hands in the next one
//! only when the last has its answer.
//!
//! | method | Init | Ready | Playing |
//! | --- | --- | --- | --- |
//! | OPTIONS, DESCRIBE, GET_PARAMETER | answered | answered | answered |
//! | SETUP | asks for a session | 459 | 459 |
//! | PLAY | 455 | plays | plays |
//! | PAUSE | 455 | 455 | pauses |
//! | TEARDOWN | 454 | ends | ends |
//! | any other | 501 | 501 | 501 |

use rtsp_types::headers;
use rtsp_types::{Method, StatusCode};

use crate::messages::{self, Channels};
use crate::presentation::Asked;
use crate::{Request, Response};

/// What the shell is to do about a request.
#[derive(Debug)]
pub enum Step {
    /// Write this answer.
    Reply(Response),
    /// Ask for a session; the answer comes later by [`Server::granted`] or [`Server::turned_away`].
    Ask(Asked),
    /// Let the node play; the answer comes by [`Server::plays`] or [`Server::failed`].
    Play { range: Option<String> },
    /// Let the node pause; the answer comes by [`Server::paused`] or [`Server::failed`].
    Pause,
    /// The session ends; write this answer.
    Leave(Response),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Init,
    Ready,
    Playing,
}

/// How a session is answered for.
pub struct Server {
    state: State,
    /// The CSeq that waits for its answer.
    cseq: Option<String>,
    channels: Channels,
    session: Option<String>,
    /// Seconds that a session lasts without a word from the viewer.
    timeout: u32,
    /// Which titles there are.
    clock_rate: u32,
}

pub const PUBLIC: &str = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER";

impl Server {
    pub fn new(timeout: u32, clock_rate: u32) -> Server {
        let channels = Channels { rtp: 0, rtcp: 1 };
        Server { state: State::Init, cseq: None, channels, session: None, timeout, clock_rate }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// A request waits for its answer; the next must not be handed in before.
    pub fn waits(&self) -> bool {
        self.cseq.is_some()
    }

    pub fn channels(&self) -> Channels {
        self.channels
    }

    fn reply(&self, status: StatusCode, cseq: Option<&str>) -> Response {
        let mut response = messages::response(status, cseq);
        if let Some(session) = &self.session {
            response.insert_header(headers::SESSION, format!("{session};timeout={}", self.timeout));
        }
        response
    }

    /// Takes the next request; `knows` tells whether there is such a title.
    pub fn request(&mut self, request: &Request, knows: impl Fn(&str) -> bool) -> Step {
        let cseq = messages::cseq(request);
        let refuse = |status| Step::Reply(self.reply(status, cseq.as_deref()));
        if cseq.is_none() {
            return refuse(StatusCode::BadRequest);
        }
        if let Some(wanted) = request.header(&headers::REQUIRE) {
            let mut reply = self.reply(StatusCode::OptionNotSupported, cseq.as_deref());
            reply.insert_header(headers::UNSUPPORTED, wanted.as_str());
            return Step::Reply(reply);
        }
        if let Some(session) = request.header(&headers::SESSION)
            && self.session.as_deref() != Some(messages::session_id(session.as_str()))
        {
            return refuse(StatusCode::SessionNotFound);
        }
        // What concerns a session must name it (RFC 2326, 12.37).
        let named = request.header(&headers::SESSION).is_some();
        match (request.method(), self.state) {
            (Method::Options, _) => {
                let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
                reply.insert_header(headers::PUBLIC, PUBLIC);
                Step::Reply(reply)
            }
            (Method::GetParameter, _) if request.body().is_empty() => refuse(StatusCode::Ok),
            (Method::GetParameter, _) => refuse(StatusCode::ParameterNotUnderstood),
            (Method::Describe, _) => self.describe(request, cseq, knows),
            (Method::Setup, State::Init) => self.setup(request, cseq, knows),
            (Method::Setup, _) => refuse(StatusCode::AggregateOperationNotAllowed),
            (Method::Play, State::Ready | State::Playing) if named => {
                self.cseq = cseq;
                Step::Play { range: request.header(&headers::RANGE).map(|r| r.as_str().to_string()) }
            }
            (Method::Pause, State::Playing) if named => {
                self.cseq = cseq;
                Step::Pause
            }
            (Method::Teardown, State::Ready | State::Playing) if named => {
                let reply = self.reply(StatusCode::Ok, cseq.as_deref());
                self.ended();
                Step::Leave(reply)
            }
            (Method::Teardown, _) => refuse(StatusCode::SessionNotFound),
            (Method::Play | Method::Pause, State::Init) => refuse(StatusCode::MethodNotValidInThisState),
            (Method::Pause, State::Ready) if named => refuse(StatusCode::MethodNotValidInThisState),
            (Method::Play | Method::Pause, _) => refuse(StatusCode::SessionNotFound),
            _ => {
                let mut reply = self.reply(StatusCode::NotImplemented, cseq.as_deref());
                reply.insert_header(headers::PUBLIC, PUBLIC);
                Step::Reply(reply)
            }
        }
    }

    fn describe(&self, request: &Request, cseq: Option<String>, knows: impl Fn(&str) -> bool) -> Step {
        let asked = request.request_uri().and_then(Asked::read).filter(|asked| knows(&asked.title));
        let (Some(asked), Some(url)) = (asked, request.request_uri()) else {
            return Step::Reply(self.reply(StatusCode::NotFound, cseq.as_deref()));
        };
        let accepts = request.header(&headers::ACCEPT).is_none_or(|accept| {
            let accept = accept.as_str();
            accept.contains("application/sdp") || accept.contains("*/*") || accept.contains("application/*")
        });
        if !accepts {
            return Step::Reply(self.reply(StatusCode::NotAcceptable, cseq.as_deref()));
        }
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        reply.insert_header(headers::CONTENT_TYPE, "application/sdp");
        let (host, port) = (url.host_str().unwrap_or("localhost"), url.port().unwrap_or(554));
        reply.insert_header(headers::CONTENT_BASE, format!("rtsp://{host}:{port}/{}/", asked.title));
        Step::Reply(reply.replace_body(crate::presentation::describe(&asked.title, self.clock_rate)))
    }

    fn setup(&mut self, request: &Request, cseq: Option<String>, knows: impl Fn(&str) -> bool) -> Step {
        let Some(asked) = request.request_uri().and_then(Asked::read).filter(|asked| knows(&asked.title))
        else {
            return Step::Reply(self.reply(StatusCode::NotFound, cseq.as_deref()));
        };
        let transport = request.header(&headers::TRANSPORT).map(|transport| transport.as_str());
        let Some(channels) = transport.and_then(|t| messages::interleaved(t, self.channels)) else {
            return Step::Reply(self.reply(StatusCode::UnsupportedTransport, cseq.as_deref()));
        };
        (self.cseq, self.channels) = (cseq, channels);
        Step::Ask(asked)
    }

    /// The session that was asked for plays at a node; `session` is its name towards the viewer.
    pub fn granted(&mut self, session: String, ssrc: u32) -> Response {
        (self.state, self.session) = (State::Ready, Some(session));
        let cseq = self.cseq.take();
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        reply.insert_header(headers::TRANSPORT, self.channels.granted(Some(ssrc)));
        reply
    }

    /// No session: a busy reply with the seconds after which to come again, or a failure.
    pub fn turned_away(&mut self, status: StatusCode, retry_after: Option<f64>) -> Response {
        let cseq = self.cseq.take();
        self.ended();
        let mut reply = self.reply(status, cseq.as_deref());
        if let Some(seconds) = retry_after {
            messages::retry_after(&mut reply, seconds);
        }
        reply
    }

    /// The node plays; `range` and `rtp_info` as it told them.
    pub fn plays(&mut self, range: Option<&str>, rtp_info: Option<&str>) -> Response {
        self.state = State::Playing;
        let cseq = self.cseq.take();
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        if let Some(range) = range {
            reply.insert_header(headers::RANGE, range);
        }
        if let Some(info) = rtp_info {
            reply.insert_header(headers::RTP_INFO, info);
        }
        reply
    }

    pub fn paused(&mut self) -> Response {
        self.state = State::Ready;
        let cseq = self.cseq.take();
        self.reply(StatusCode::Ok, cseq.as_deref())
    }

    /// The node did not do what PLAY or PAUSE asked for.
    pub fn failed(&mut self, status: StatusCode) -> Response {
        let cseq = self.cseq.take();
        self.reply(status, cseq.as_deref())
    }

    /// The session is over.
    pub fn ended(&mut self) {
        (self.state, self.session) = (State::Init, None);
    }
}
