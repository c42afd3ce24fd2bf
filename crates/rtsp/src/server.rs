//! The RTSP server state machine (RFC 2326, A.2) of one viewer connection, without I/O: it takes a request
//! and returns a [`RequestAction`]. Requests are answered in the order in which they arrived (RFC 2326, 9.1),
//! so the caller passes the next request only after the previous one was answered. [`check_method`] lists the
//! methods that are valid in each state.

use std::sync::Arc;

use rtsp_types::headers;
use rtsp_types::{Method, StatusCode};

use crate::digest::Credentials;
use crate::messages::{self, InterleavedChannels};
use crate::presentation::{self, PresentationUrl};
use crate::{Request, Response};

/// The action that the caller performs for a request.
#[derive(Debug)]
pub enum RequestAction {
    /// Send this response.
    Respond(Response),
    /// Request a session, then call [`Server::session_accepted`] or [`Server::session_rejected`].
    RequestSession(PresentationUrl),
    /// Set up another track of the session at its node, then call [`Server::track_accepted`] or
    /// [`Server::request_failed`].
    SetupTrack { track: u8 },
    /// Send PLAY to the node, then call [`Server::play_accepted`] or [`Server::request_failed`].
    Play { range: Option<String> },
    /// Send PAUSE to the node, then call [`Server::pause_accepted`] or [`Server::request_failed`].
    Pause,
    /// End the session and send this response.
    EndSession(Response),
}

/// State of the viewer's session (RFC 2326, A.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Init,
    Ready,
    Playing,
}

/// Value of the `Public` and `Allow` headers: the supported methods.
pub const SUPPORTED_METHODS: &str =
    "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER";

/// Checks whether a method is valid in a state. Returns the status of the error response if it is not.
///
/// | method | Init | Ready | Playing |
/// | --- | --- | --- | --- |
/// | OPTIONS, DESCRIBE, GET_PARAMETER, SET_PARAMETER | valid | valid | valid |
/// | SETUP | valid | another track | 455 |
/// | PLAY | 455 | valid | valid |
/// | PAUSE | 455 | valid | valid |
/// | TEARDOWN | 454 | valid | valid |
/// | ANNOUNCE, RECORD, REDIRECT | 405 | 405 | 405 |
/// | any other | 501 | 501 | 501 |
pub fn check_method(method: &Method, state: State) -> Result<(), StatusCode> {
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

/// One viewer connection with at most one session.
pub struct Server {
    state: State,
    /// CSeq of the request that awaits its response.
    cseq: Option<String>,
    /// Track and channels of the last SETUP.
    pending_setup: (u8, InterleavedChannels),
    /// Tracks that were set up, with their interleaved channels.
    tracks: Vec<(u8, InterleavedChannels)>,
    /// Session identifier sent to the viewer.
    session: Option<String>,
    /// Session timeout in seconds, without requests or RTCP from the viewer.
    session_timeout_seconds: u32,
    /// RTP clock rate of each track, in ticks per second.
    clock_rates: Vec<u32>,
    /// Users that may connect, with the nonce of this connection. `None` disables authentication.
    credentials: Option<(Arc<Credentials>, String)>,
}

impl Server {
    /// Creates the state of a new connection. `clock_rates` holds the RTP clock rate of each track, in ticks
    /// per second.
    pub fn new(session_timeout_seconds: u32, clock_rates: &[u32]) -> Server {
        Server {
            state: State::Init,
            cseq: None,
            pending_setup: (0, InterleavedChannels { rtp: 0, rtcp: 1 }),
            tracks: Vec::new(),
            session: None,
            session_timeout_seconds,
            clock_rates: clock_rates.to_vec(),
            credentials: None,
        }
    }

    /// Enables Digest authentication with these users and the nonce of this connection.
    pub fn with_authentication(mut self, credentials: Arc<Credentials>, nonce: String) -> Server {
        self.credentials = Some((credentials, nonce));
        self
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether a request awaits its response. Until then, no other request may be passed in.
    pub fn awaits_response(&self) -> bool {
        self.cseq.is_some()
    }

    /// Returns the viewer's channels of a track that was set up.
    pub fn channels(&self, track: u8) -> Option<InterleavedChannels> {
        self.tracks.iter().find(|(t, _)| *t == track).map(|&(_, channels)| channels)
    }

    /// Returns the track whose RTCP is received on this channel.
    pub fn track_for_rtcp_channel(&self, channel: u8) -> Option<u8> {
        self.tracks.iter().find(|(_, channels)| channels.rtcp == channel).map(|&(track, _)| track)
    }

    fn reply(&self, status: StatusCode, cseq: Option<&str>) -> Response {
        let mut response = messages::response(status, cseq);
        if let Some(session) = &self.session {
            response.insert_header(
                headers::SESSION,
                format!("{session};timeout={}", self.session_timeout_seconds),
            );
        }
        match status {
            StatusCode::NotImplemented => response.insert_header(headers::PUBLIC, SUPPORTED_METHODS),
            StatusCode::MethodNotAllowed => response.insert_header(headers::ALLOW, SUPPORTED_METHODS),
            _ => {}
        }
        response
    }

    /// Handles the next request. `titles` returns the number of tracks of a title, or `None` for an unknown
    /// title.
    pub fn handle_request(
        &mut self,
        request: &Request,
        titles: impl Fn(&str) -> Option<u8>,
    ) -> RequestAction {
        let cseq = messages::cseq(request);
        let respond = |status| RequestAction::Respond(self.reply(status, cseq.as_deref()));
        if cseq.is_none() {
            return respond(StatusCode::BadRequest);
        }
        if let Some(required) = request.header(&headers::REQUIRE).or(request.header(&headers::PROXY_REQUIRE))
        {
            let mut reply = self.reply(StatusCode::OptionNotSupported, cseq.as_deref());
            reply.insert_header(headers::UNSUPPORTED, required.as_str());
            return RequestAction::Respond(reply);
        }
        if let Some((credentials, nonce)) = &self.credentials
            && *request.method() != Method::Options
            && !request
                .header(&headers::AUTHORIZATION)
                .is_some_and(|header| credentials.verify(header.as_str(), nonce, request.method()))
        {
            let mut reply = self.reply(StatusCode::Unauthorized, cseq.as_deref());
            reply.insert_header(headers::WWW_AUTHENTICATE, credentials.challenge(nonce));
            return RequestAction::Respond(reply);
        }
        let session = request.header(&headers::SESSION).map(|s| messages::session_id(s.as_str()));
        if session.is_some() && session != self.session.as_deref() {
            return respond(StatusCode::SessionNotFound);
        }
        if let Err(status) = check_method(request.method(), self.state) {
            return respond(status);
        }
        // Requests within a session must carry its identifier (RFC 2326, 12.37).
        let names_session = session.is_some();
        match request.method() {
            Method::Options => {
                let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
                reply.insert_header(headers::PUBLIC, SUPPORTED_METHODS);
                RequestAction::Respond(reply)
            }
            // Without parameters these test whether the session is alive (RFC 2326, 10.8). No parameters are
            // supported.
            Method::GetParameter | Method::SetParameter if request.body().is_empty() => {
                respond(StatusCode::Ok)
            }
            Method::GetParameter | Method::SetParameter => respond(StatusCode::ParameterNotUnderstood),
            Method::Describe => self.describe(request, cseq, titles),
            Method::Setup => self.setup(request, cseq, names_session, titles),
            _ if !names_session => respond(StatusCode::SessionNotFound),
            Method::Teardown => {
                let reply = self.reply(StatusCode::Ok, cseq.as_deref());
                self.session_ended();
                RequestAction::EndSession(reply)
            }
            _ if self.tracks.len() > 1
                && request
                    .request_uri()
                    .and_then(PresentationUrl::parse)
                    .is_some_and(|url| url.track.is_some()) =>
            {
                respond(StatusCode::OnlyAggregateOperationAllowed)
            }
            Method::Pause if self.state == State::Ready => respond(StatusCode::Ok),
            Method::Pause => {
                self.cseq = cseq;
                RequestAction::Pause
            }
            _ => {
                self.cseq = cseq;
                RequestAction::Play { range: request.header(&headers::RANGE).map(|r| r.as_str().to_string()) }
            }
        }
    }

    fn describe(
        &self,
        request: &Request,
        cseq: Option<String>,
        titles: impl Fn(&str) -> Option<u8>,
    ) -> RequestAction {
        let presentation = request.request_uri().and_then(PresentationUrl::parse);
        let tracks = presentation.as_ref().and_then(|presentation| titles(&presentation.title));
        let (Some(presentation), Some(tracks), Some(url)) = (presentation, tracks, request.request_uri())
        else {
            return RequestAction::Respond(self.reply(StatusCode::NotFound, cseq.as_deref()));
        };
        let accepts_sdp = request.header(&headers::ACCEPT).is_none_or(|accept| {
            let accept = accept.as_str();
            accept.contains("application/sdp") || accept.contains("*/*") || accept.contains("application/*")
        });
        if !accepts_sdp {
            return RequestAction::Respond(self.reply(StatusCode::NotAcceptable, cseq.as_deref()));
        }
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        reply.insert_header(headers::CONTENT_TYPE, "application/sdp");
        let (host, port) = (url.host_str().unwrap_or("localhost"), url.port().unwrap_or(554));
        reply.insert_header(headers::CONTENT_BASE, format!("rtsp://{host}:{port}/{}/", presentation.title));
        let query = url.query().unwrap_or_default();
        let rates = self.clock_rates.iter().take(tracks.into());
        RequestAction::Respond(reply.replace_body(presentation::describe_sdp(
            &presentation.title,
            query,
            rates.copied(),
        )))
    }

    fn setup(
        &mut self,
        request: &Request,
        cseq: Option<String>,
        names_session: bool,
        titles: impl Fn(&str) -> Option<u8>,
    ) -> RequestAction {
        let reject = |this: &Server, status| RequestAction::Respond(this.reply(status, cseq.as_deref()));
        let Some(presentation) = request.request_uri().and_then(PresentationUrl::parse) else {
            return reject(self, StatusCode::NotFound);
        };
        let Some(tracks) = titles(&presentation.title) else { return reject(self, StatusCode::NotFound) };
        // A connection has at most one session, so a SETUP must name the existing one.
        if self.state == State::Ready && !names_session {
            return reject(self, StatusCode::MethodNotValidInThisState);
        }
        let track = match presentation.track {
            Some(track) if track < tracks => track,
            Some(_) => return reject(self, StatusCode::NotFound),
            None if tracks == 1 => 0,
            None => return reject(self, StatusCode::AggregateOperationNotAllowed),
        };
        if self.channels(track).is_some() {
            return reject(self, StatusCode::MethodNotValidInThisState);
        }
        let default = InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
        let transport = request.header(&headers::TRANSPORT).map(|transport| transport.as_str());
        let in_use = |c: &InterleavedChannels| self.tracks.iter().any(|(_, other)| other.overlaps(c));
        let channels = transport.and_then(|t| messages::parse_transport(t, default)).filter(|c| !in_use(c));
        let Some(channels) = channels else { return reject(self, StatusCode::UnsupportedTransport) };
        (self.cseq, self.pending_setup) = (cseq, (track, channels));
        if self.state == State::Ready {
            RequestAction::SetupTrack { track }
        } else {
            RequestAction::RequestSession(presentation)
        }
    }

    /// Returns the response to the SETUP that requested the session, which is now set up at a node. `session`
    /// is the identifier sent to the viewer.
    pub fn session_accepted(&mut self, session: String, ssrc: u32) -> Response {
        (self.state, self.session) = (State::Ready, Some(session));
        self.track_accepted(ssrc)
    }

    /// Returns the response to a SETUP whose track is now set up at the node.
    pub fn track_accepted(&mut self, ssrc: u32) -> Response {
        self.tracks.push(self.pending_setup);
        let cseq = self.cseq.take();
        let mut reply = self.reply(StatusCode::Ok, cseq.as_deref());
        reply.insert_header(headers::TRANSPORT, self.pending_setup.1.transport_header(Some(ssrc)));
        reply
    }

    /// Returns the track of the viewer's last SETUP.
    pub fn setup_track(&self) -> u8 {
        self.pending_setup.0
    }

    /// Returns the response to a SETUP whose session was rejected or failed. A busy reply has `retry_after`
    /// in seconds.
    pub fn session_rejected(&mut self, status: StatusCode, retry_after: Option<f64>) -> Response {
        let cseq = self.cseq.take();
        self.session_ended();
        let mut reply = self.reply(status, cseq.as_deref());
        if let Some(seconds) = retry_after {
            messages::set_retry_after(&mut reply, seconds);
        }
        reply
    }

    /// Returns the response to PLAY after the node accepted it. `range` and `rtp_info` are header values from
    /// the node's response.
    pub fn play_accepted(&mut self, range: Option<&str>, rtp_info: Option<&str>) -> Response {
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

    /// Returns the response to PAUSE after the node accepted it.
    pub fn pause_accepted(&mut self) -> Response {
        self.state = State::Ready;
        let cseq = self.cseq.take();
        self.reply(StatusCode::Ok, cseq.as_deref())
    }

    /// Returns the response to a SETUP of another track, a PLAY or a PAUSE that the node did not carry out.
    pub fn request_failed(&mut self, status: StatusCode) -> Response {
        let cseq = self.cseq.take();
        self.reply(status, cseq.as_deref())
    }

    /// Resets the connection to state [`State::Init`] after the end of its session.
    pub fn session_ended(&mut self) {
        (self.state, self.session) = (State::Init, None);
        self.tracks.clear();
    }
}
