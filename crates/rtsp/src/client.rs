//! The RTSP client state machine (RFC 2326, A.1) of one session at a media node, without I/O. It builds
//! requests, matches responses to them and detects overdue responses. Every state can be left: by a response,
//! by the timeout of a response or by the end of the connection.

use std::collections::VecDeque;

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode, Url};

use crate::messages::{self, InterleavedChannels};
use crate::{Request, Response};

/// The purpose of a request to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Setup {
        track: u8,
    },
    Play,
    Pause,
    /// A switch to another rung; `from` is the previous one.
    Switch {
        from: u8,
    },
    KeepAlive,
    Teardown,
}

impl Purpose {
    /// Returns whether the viewer waits for the response.
    fn is_viewer_waiting(self) -> bool {
        matches!(self, Purpose::Setup { .. } | Purpose::Play | Purpose::Pause)
    }
}

/// State of the session at the node (RFC 2326, A.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Init,
    Ready,
    Playing,
    /// Torn down. The session can't be used again.
    Ended,
}

/// The result of a request, derived from its response.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The node carried out the request.
    Completed(Purpose),
    /// The node rejected the request, or its response is unusable.
    Rejected(Purpose, StatusCode),
    /// The response matches no pending request.
    Unmatched,
}

/// Maximum number of pending requests on one connection. A node with more of them has stopped responding.
const MAX_PENDING_REQUESTS: usize = 8;

/// One session at a media node.
#[derive(Debug)]
pub struct Client {
    state: State,
    /// URL of the rendition that was set up or last switched to.
    url: Url,
    /// Session identifier assigned by the node.
    session_id: Option<String>,
    /// Seconds after which the node drops an idle session. 60 if the node does not specify it (RFC 2326,
    /// 12.37).
    session_timeout_seconds: u32,
    /// CSeq of the last request.
    cseq: u32,
    /// Requests without a response, in order: CSeq, purpose and time of sending in microseconds.
    pending: VecDeque<(u32, Purpose, u64)>,
    /// Tracks that were set up, with their interleaved channels.
    tracks: Vec<(u8, InterleavedChannels)>,
}

impl Client {
    /// Creates a client for a rendition's URL, in state [`State::Init`].
    pub fn new(url: Url) -> Client {
        let (session_id, pending) = (None, VecDeque::new());
        Client {
            state: State::Init,
            url,
            session_id,
            session_timeout_seconds: 60,
            cseq: 0,
            pending,
            tracks: Vec::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the session identifier that the node assigned.
    pub fn session_id(&self) -> Option<&str> {
        self.session_id.as_deref()
    }

    /// Returns the URL of the current rendition.
    pub fn url(&self) -> &Url {
        &self.url
    }

    /// Returns the node's session timeout in seconds.
    pub fn session_timeout_seconds(&self) -> u32 {
        self.session_timeout_seconds
    }

    /// Returns the track that an interleaved channel belongs to, and whether it carries RTP rather than RTCP.
    pub fn track_for_channel(&self, channel: u8) -> Option<(u8, bool)> {
        self.tracks.iter().find_map(|&(track, channels)| match channel {
            n if n == channels.rtp => Some((track, true)),
            n if n == channels.rtcp => Some((track, false)),
            _ => None,
        })
    }

    /// Builds a request of the session and adds it to the pending requests.
    fn new_request(&mut self, method: Method, url: &Url, purpose: Purpose, now_us: u64) -> Request {
        self.cseq += 1;
        self.pending.push_back((self.cseq, purpose, now_us));
        let mut request = messages::request(method, url, self.cseq);
        if let Some(session) = &self.session_id {
            request.insert_header(headers::SESSION, session.as_str());
        }
        request
    }

    /// Builds a SETUP of a track. The first one creates the session, later ones add tracks to it.
    pub fn setup(&mut self, track: u8, now_us: u64) -> Request {
        let mut url = self.url.clone();
        url.set_path(&format!("{}/track{}", self.url.path().trim_end_matches('/'), track + 1));
        let mut request = self.new_request(Method::Setup, &url, Purpose::Setup { track }, now_us);
        let channels = InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
        request.insert_header(headers::TRANSPORT, channels.transport_header(None));
        request
    }

    /// Builds a PLAY with an optional `Range`.
    pub fn play(&mut self, range: Option<String>, now_us: u64) -> Request {
        let url = self.url.clone();
        let mut request = self.new_request(Method::Play, &url, Purpose::Play, now_us);
        if let Some(range) = range {
            request.insert_header(headers::RANGE, range);
        }
        request
    }

    /// Builds a PAUSE.
    pub fn pause(&mut self, now_us: u64) -> Request {
        let url = self.url.clone();
        self.new_request(Method::Pause, &url, Purpose::Pause, now_us)
    }

    /// Builds a switch from rung `from` to the rendition at `to` within the session (stream switch of 3GPP TS
    /// 26.234), which needs no second SETUP.
    pub fn switch(&mut self, from: u8, to: Url, now_us: u64) -> Request {
        let value = messages::format_switch_stream(&self.url, &to);
        let url = self.url.clone();
        let mut request = self.new_request(Method::Play, &url, Purpose::Switch { from }, now_us);
        request.insert_header(messages::switch_stream_header(), value);
        self.url = to;
        request
    }

    /// Builds a GET_PARAMETER that keeps the session alive and requests the node's load (RFC 2326, 10.8).
    /// Returns `None` while the number of pending requests is at its limit.
    pub fn keep_alive(&mut self, now_us: u64) -> Option<Request> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        let url = self.url.clone();
        Some(self.new_request(Method::GetParameter, &url, Purpose::KeepAlive, now_us))
    }

    /// Builds a TEARDOWN.
    pub fn teardown(&mut self, now_us: u64) -> Request {
        let url = self.url.clone();
        self.new_request(Method::Teardown, &url, Purpose::Teardown, now_us)
    }

    /// Matches a response to its request, updates the state and returns the result. Responses arrive in
    /// order, so the node skipped all requests before the matched one. Skipped requests that the viewer waits
    /// for remain pending until they are overdue; otherwise the viewer would wait forever.
    pub fn handle_response(&mut self, response: &Response) -> ResponseOutcome {
        let cseq = messages::header(response, &headers::CSEQ).and_then(|cseq| cseq.parse::<u32>().ok());
        let Some(matched) = self.pending.iter().position(|(sent, ..)| Some(*sent) == cseq) else {
            return ResponseOutcome::Unmatched;
        };
        let Some((_, purpose, _)) = self.pending.remove(matched) else { return ResponseOutcome::Unmatched };
        let mut position = 0;
        self.pending.retain(|(_, purpose, _)| {
            position += 1;
            position > matched || purpose.is_viewer_waiting()
        });
        if response.status() != StatusCode::Ok {
            // A TEARDOWN of a session that the node doesn't know has reached its goal.
            if purpose == Purpose::Teardown && response.status() == StatusCode::SessionNotFound {
                self.state = State::Ended;
                return ResponseOutcome::Completed(purpose);
            }
            return ResponseOutcome::Rejected(purpose, response.status());
        }
        match purpose {
            Purpose::Setup { track } => {
                let header = |name: &HeaderName| messages::header(response, name);
                let session = header(&headers::SESSION);
                // A 200 response without a session identifier, or with a different one, is an error.
                let id = session.map(messages::session_id).filter(|id| !id.is_empty());
                let current = self.session_id.as_deref();
                let Some(id) = id.filter(|id| current.is_none_or(|current| current == *id)) else {
                    return ResponseOutcome::Rejected(purpose, StatusCode::BadGateway);
                };
                let timeout =
                    session.and_then(|s| s.split(';').find_map(|p| p.trim().strip_prefix("timeout=")));
                self.session_timeout_seconds =
                    timeout.and_then(|t| t.parse().ok()).unwrap_or(self.session_timeout_seconds);
                self.session_id = Some(id.to_string());
                let requested = InterleavedChannels { rtp: track * 2, rtcp: track * 2 + 1 };
                let assigned =
                    header(&headers::TRANSPORT).and_then(|t| messages::parse_transport(t, requested));
                self.tracks.push((track, assigned.unwrap_or(requested)));
                self.state = State::Ready;
            }
            Purpose::Play => self.state = State::Playing,
            Purpose::Pause => self.state = State::Ready,
            Purpose::Teardown => self.state = State::Ended,
            Purpose::Switch { .. } | Purpose::KeepAlive => {}
        }
        ResponseOutcome::Completed(purpose)
    }

    /// Returns whether a request that the viewer waits for has been pending for longer than `timeout_us`
    /// microseconds.
    pub fn has_overdue_request(&self, now_us: u64, timeout_us: u64) -> bool {
        self.pending.iter().any(|&(_, purpose, sent_us)| {
            purpose.is_viewer_waiting() && now_us.saturating_sub(sent_us) > timeout_us
        })
    }
}
