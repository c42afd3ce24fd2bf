//! The viewer's side of one connection as a state machine (RFC 2326, A.2), without I/O: a request in, a [`Step`]
//! out. Requests are answered in the order in which they came (RFC 2326, 9.1), so the shell hands in the next one
//! only when the last has its answer. What each method comes to in each state is the table in [`allowed`].

use std::sync::Arc;

use rtsp_types::headers;
use rtsp_types::{Method, StatusCode};

use crate::digest::Users;
use crate::messages::{self, Channels};
use crate::presentation::{self, Asked};
use crate::{Request, Response};

/// What the shell is to do about a request.
#[derive(Debug)]
pub enum Step {
    /// Write this answer.
    Reply(Response),
    /// Ask for a session; the answer comes later by [`Server::granted`] or [`Server::turned_away`].
    Ask(Asked),
    /// Set up a further track of the session where it is; the answer comes by [`Server::track_granted`] or
    /// [`Server::failed`].
    Track { track: u8 },
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

pub const PUBLIC: &str = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER";

/// Whether a method is taken in a state, or the status that it is refused with.
///
/// | method | Init | Ready | Playing |
/// | --- | --- | --- | --- |
/// | OPTIONS, DESCRIBE, GET_PARAMETER, SET_PARAMETER | taken | taken | taken |
/// | SETUP | taken | a further track | 455 |
/// | PLAY | 455 | taken | taken |
/// | PAUSE | 455 | taken | taken |
/// | TEARDOWN | 454 | taken | taken |
/// | ANNOUNCE, RECORD, REDIRECT | 405 | 405 | 405 |
/// | any other | 501 | 501 | 501 |
pub fn allowed(method: &Method, state: State) -> Result<(), StatusCode> {
    use State::*;
    match (method, state) {
        (Method::Options | Method::Describe | Method::GetParameter | Method::SetParameter, _) => Ok(()),
        (Method::Setup, Init | Ready) => Ok(()),
        (Method::Play | Method::Pause | Method::Teardown, Ready | Playing) => Ok(()),
        (Method::Setup, Playing) | (Method::Play | Method::Pause, Init) => {
            Err(StatusCode::MethodNotValidInThisState)
        }
        (Method::Teardown, Init) => Err(StatusCode::SessionNotFound),
        (Method::Announce | Method::Record | Method::Redirect, _) => Err(StatusCode::MethodNotAllowed),
        _ => Err(StatusCode::NotImplemented),
    }
}

/// One viewer's connection, with at most one session.
pub struct Server {
    state: State,
    /// The CSeq that waits for its answer.
    cseq: Option<String>,
    /// The track whose SETUP waits, and its channels.
    asked: (u8, Channels),
    /// Tracks that are set up.
    tracks: Vec<(u8, Channels)>,
    session: Option<String>,
    /// Seconds that a session lasts without a word from the viewer.
    timeout: u32,
    /// RTP ticks a second of each track.
    clock_rates: Vec<u32>,
    /// Who may come in, and the nonce of this connection.
    users: Option<(Arc<Users>, String)>,
}

impl Server {
    pub fn new(timeout: u32, clock_rates: &[u32]) -> Server {
        Server {
            state: State::Init,
            cseq: None,
            asked: (0, Channels { rtp: 0, rtcp: 1 }),
            tracks: Vec::new(),
            session: None,
            timeout,
            clock_rates: clock_rates.to_vec(),
            users: None,
        }
    }

    /// Lets in only these users, who answer a challenge with this nonce.
    pub fn guarded(mut self, users: Arc<Users>, nonce: String) -> Server {
        self.users = Some((users, nonce));
        self
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// A request waits for its answer; the next must not be handed in before.
    pub fn waits(&self) -> bool {
        self.cseq.is_some()
    }

    /// The viewer's channels of a track that is set up.
    pub fn channels(&self, track: u8) -> Option<Channels> {
        self.tracks.iter().find(|(t, _)| *t == track).map(|&(_, channels)| channels)
    }

    /// The track whose RTCP comes on this channel.
    pub fn track_of_rtcp(&self, channel: u8) -> Option<u8> {
        self.tracks.iter().find(|(_, channels)| channels.rtcp == channel).map(|&(track, _)| track)
    }

    fn reply(&self, status: StatusCode, cseq: Option<&str>) -> Response {
        let mut response = messages::response(status, cseq);
        if let Some(session) = &self.session {
            response.insert_header(headers::SESSION, format!("{session};timeout={}", self.timeout));
        }
        match status {
            StatusCode::NotImplemented => response.insert_header(headers::PUBLIC, PUBLIC),
            StatusCode::MethodNotAllowed => response.insert_header(headers::ALLOW, PUBLIC),
            _ => {}
        }
        response
    }

    /// Takes the next request; `titles` tells how many tracks a title has, if there is one of that name.
    pub fn request(&mut self, request: &Request, titles: impl Fn(&str) -> Option<u8>) -> Step {
        let cseq = messages::cseq(request);
        let refuse = |status| Step::Reply(self.reply(status, cseq.as_deref()));
        if cseq.is_none() {
            return refuse(StatusCode::BadRequest);
        }
        if let Some(wanted) = request.header(&headers::REQUIRE).or(request.header(&headers::PROXY_REQUIRE)) {
            let mut reply = self.reply(StatusCode::OptionNotSupported, cseq.as_deref());
            reply.insert_header(headers::UNSUPPORTED, wanted.as_str());
            return Step::Reply(reply);
        }
        if let Some((users, nonce)) = &self.users
            && *request.method() != Method::Options
            && !request
                .header(&headers::AUTHORIZATION)
                .is_some_and(|header| users.admits(header.as_str(), nonce, request.method()))
        {
            let mut reply = self.reply(StatusCode::Unauthorized, cseq.as_deref());
            reply.insert_header(headers::WWW_AUTHENTICATE, users.challenge(nonce));
            return Step::Reply(reply);
        }
        let session = request.header(&headers::SESSION).map(|s| messages::session_id(s.as_str()));
        if session.is_some() && session != self.session.as_deref() {
            return refuse(StatusCode::SessionNotFound);
        }
        if let Err(status) = allowed(request.method(), self.state) {
            return refuse(status);
        }
        // What concerns a session must name it (RFC 2326, 12.37).
        let named = session.is_some();
        match request.method() {
            Method::Options => {
                let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
                reply.insert_header(headers::PUBLIC, PUBLIC);
                Step::Reply(reply)
            }
            // Without parameters they test that the session lives (RFC 2326, 10.8); there are none to get or set.
            Method::GetParameter | Method::SetParameter if request.body().is_empty() => {
                refuse(StatusCode::Ok)
            }
            Method::GetParameter | Method::SetParameter => refuse(StatusCode::ParameterNotUnderstood),
            Method::Describe => self.describe(request, cseq, titles),
            Method::Setup => self.setup(request, cseq, named, titles),
            _ if !named => refuse(StatusCode::SessionNotFound),
            Method::Teardown => {
                let reply = self.reply(StatusCode::Ok, cseq.as_deref());
                self.ended();
                Step::Leave(reply)
            }
            _ if self.tracks.len() > 1
                && request.request_uri().and_then(Asked::read).is_some_and(|a| a.track.is_some()) =>
            {
                refuse(StatusCode::OnlyAggregateOperationAllowed)
            }
            Method::Pause if self.state == State::Ready => refuse(StatusCode::Ok),
            Method::Pause => {
                self.cseq = cseq;
                Step::Pause
            }
            _ => {
                self.cseq = cseq;
                Step::Play { range: request.header(&headers::RANGE).map(|r| r.as_str().to_string()) }
            }
        }
    }

    fn describe(&self, request: &Request, cseq: Option<String>, titles: impl Fn(&str) -> Option<u8>) -> Step {
        let asked = request.request_uri().and_then(Asked::read);
        let tracks = asked.as_ref().and_then(|asked| titles(&asked.title));
        let (Some(asked), Some(tracks), Some(url)) = (asked, tracks, request.request_uri()) else {
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
        let query = url.query().unwrap_or_default();
        let rates = self.clock_rates.iter().take(tracks.into());
        Step::Reply(reply.replace_body(presentation::describe(&asked.title, query, rates.copied())))
    }

    fn setup(
        &mut self,
        request: &Request,
        cseq: Option<String>,
        named: bool,
        titles: impl Fn(&str) -> Option<u8>,
    ) -> Step {
        let refuse = |this: &Server, status| Step::Reply(this.reply(status, cseq.as_deref()));
        let Some(asked) = request.request_uri().and_then(Asked::read) else {
            return refuse(self, StatusCode::NotFound);
        };
        let Some(tracks) = titles(&asked.title) else { return refuse(self, StatusCode::NotFound) };
        // One session for each connection: a SETUP that names none, while there is one, can't be meant.
        if self.state == State::Ready && !named {
            return refuse(self, StatusCode::MethodNotValidInThisState);
        }
        let track = match asked.track {
            Some(track) if track < tracks => track,
            Some(_) => return refuse(self, StatusCode::NotFound),
            None if tracks == 1 => 0,
            None => return refuse(self, StatusCode::AggregateOperationNotAllowed),
        };
        if self.channels(track).is_some() {
            return refuse(self, StatusCode::MethodNotValidInThisState);
        }
        let left_out = Channels { rtp: track * 2, rtcp: track * 2 + 1 };
        let transport = request.header(&headers::TRANSPORT).map(|transport| transport.as_str());
        let taken = |c: &Channels| self.tracks.iter().any(|(_, other)| other.overlaps(c));
        let channels = transport.and_then(|t| messages::interleaved(t, left_out)).filter(|c| !taken(c));
        let Some(channels) = channels else { return refuse(self, StatusCode::UnsupportedTransport) };
        (self.cseq, self.asked) = (cseq, (track, channels));
        if self.state == State::Ready { Step::Track { track } } else { Step::Ask(asked) }
    }

    /// The session that was asked for is set up at a node; `session` is its name towards the viewer.
    pub fn granted(&mut self, session: String, ssrc: u32) -> Response {
        (self.state, self.session) = (State::Ready, Some(session));
        self.track_granted(ssrc)
    }

    /// The track that was asked for is set up at the node.
    pub fn track_granted(&mut self, ssrc: u32) -> Response {
        self.tracks.push(self.asked);
        let cseq = self.cseq.take();
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        reply.insert_header(headers::TRANSPORT, self.asked.1.granted(Some(ssrc)));
        reply
    }

    /// The track that the viewer's SETUP is for.
    pub fn track(&self) -> u8 {
        self.asked.0
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

    /// The node did not do what SETUP of a track, PLAY or PAUSE asked for.
    pub fn failed(&mut self, status: StatusCode) -> Response {
        let cseq = self.cseq.take();
        self.reply(status, cseq.as_deref())
    }

    /// The session is over.
    pub fn ended(&mut self) {
        (self.state, self.session) = (State::Init, None);
        self.tracks.clear();
    }
}
