//! The node's side of one session as a state machine (RFC 2326, A.1), without I/O: it makes the requests, knows what
//! each answer is for, and tells what is overdue. It has a way out of every state: an answer, the time-out of one, or
//! the end of the connection.

use std::collections::VecDeque;

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode, Url};

use crate::messages::{self, Channels};
use crate::{Request, Response};

/// What a request to a node was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Setup {
        track: u8,
    },
    Play,
    Pause,
    /// A change from one rung to another.
    Switch {
        from: u8,
    },
    KeepAlive,
    Teardown,
}

impl Purpose {
    /// A viewer waits for the answer.
    fn awaited(self) -> bool {
        matches!(self, Purpose::Setup { .. } | Purpose::Play | Purpose::Pause)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Init,
    Ready,
    Playing,
    /// Torn down, or never to be used again.
    Over,
}

/// What an answer means.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was done.
    Done(Purpose),
    /// The node said no, or something that can't be used.
    Refused(Purpose, StatusCode),
    /// Nothing waits for it.
    Stray,
}

/// Requests out on one connection at most: more means that the node answers nothing.
const MOST_PENDING: usize = 8;

#[derive(Debug)]
pub struct Client {
    state: State,
    /// The rendition that is set up, or was switched to.
    url: Url,
    session: Option<String>,
    /// Seconds after which the node forgets the session (RFC 2326, 12.37: 60 where it doesn't say).
    timeout: u32,
    cseq: u32,
    pending: VecDeque<(u32, Purpose, u64)>,
    tracks: Vec<(u8, Channels)>,
}

impl Client {
    pub fn new(url: Url) -> Client {
        let (session, pending) = (None, VecDeque::new());
        Client { state: State::Init, url, session, timeout: 60, cseq: 0, pending, tracks: Vec::new() }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    pub fn url(&self) -> &Url {
        &self.url
    }

    pub fn timeout(&self) -> u32 {
        self.timeout
    }

    /// The track whose RTP or RTCP comes on this channel, and whether it is RTP.
    pub fn track_of(&self, channel: u8) -> Option<(u8, bool)> {
        self.tracks.iter().find_map(|&(track, c)| match channel {
            n if n == c.rtp => Some((track, true)),
            n if n == c.rtcp => Some((track, false)),
            _ => None,
        })
    }

    fn request(&mut self, method: Method, url: &Url, purpose: Purpose, now_us: u64) -> Request {
        self.cseq += 1;
        self.pending.push_back((self.cseq, purpose, now_us));
        let mut request = messages::request(method, url, self.cseq);
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        request
    }

    /// SETUP of a track; the first makes the session, others join it.
    pub fn setup(&mut self, track: u8, now_us: u64) -> Request {
        let mut url = self.url.clone();
        url.set_path(&format!("{}/track{}", self.url.path().trim_end_matches('/'), track + 1));
        let mut request = self.request(Method::Setup, &url, Purpose::Setup { track }, now_us);
        let channels = Channels { rtp: track * 2, rtcp: track * 2 + 1 };
        request.insert_header(headers::TRANSPORT, channels.granted(None));
        request
    }

    pub fn play(&mut self, range: Option<String>, now_us: u64) -> Request {
        let url = self.url.clone();
        let mut request = self.request(Method::Play, &url, Purpose::Play, now_us);
        if let Some(range) = range {
            request.insert_header(headers::RANGE, range);
        }
        request
    }

    pub fn pause(&mut self, now_us: u64) -> Request {
        let url = self.url.clone();
        self.request(Method::Pause, &url, Purpose::Pause, now_us)
    }

    /// Another rendition within the session (3GPP TS 26.234's stream switch): no second SETUP.
    pub fn switch(&mut self, from: u8, to: Url, now_us: u64) -> Request {
        let value = messages::switch_value(&self.url, &to);
        let url = self.url.clone();
        let mut request = self.request(Method::Play, &url, Purpose::Switch { from }, now_us);
        request.insert_header(messages::switch_stream(), value);
        self.url = to;
        request
    }

    /// Keeps the session alive and asks for load (RFC 2326, 10.8); none while too much is unanswered.
    pub fn keep_alive(&mut self, now_us: u64) -> Option<Request> {
        if self.pending.len() >= MOST_PENDING {
            return None;
        }
        let url = self.url.clone();
        Some(self.request(Method::GetParameter, &url, Purpose::KeepAlive, now_us))
    }

    pub fn teardown(&mut self, now_us: u64) -> Request {
        let url = self.url.clone();
        self.request(Method::Teardown, &url, Purpose::Teardown, now_us)
    }

    /// What an answer is for and what it means. Answers come in order: requests before the one that is answered
    /// were left out by the node. What a viewer waits for among them stays, to become overdue: dropped in silence, it
    /// would be waited for for ever.
    pub fn answered(&mut self, response: &Response) -> Answer {
        let cseq = messages::header(response, &headers::CSEQ).and_then(|cseq| cseq.parse::<u32>().ok());
        let Some(at) = self.pending.iter().position(|(sent, ..)| Some(*sent) == cseq) else {
            return Answer::Stray;
        };
        let Some((_, purpose, _)) = self.pending.remove(at) else { return Answer::Stray };
        let mut place = 0;
        self.pending.retain(|(_, purpose, _)| {
            place += 1;
            place > at || purpose.awaited()
        });
        if response.status() != StatusCode::Ok {
            // TEARDOWN of what the node doesn't know is done as well.
            if purpose == Purpose::Teardown && response.status() == StatusCode::SessionNotFound {
                self.state = State::Over;
                return Answer::Done(purpose);
            }
            return Answer::Refused(purpose, response.status());
        }
        match purpose {
            Purpose::Setup { track } => {
                let header = |name: &HeaderName| messages::header(response, name);
                let session = header(&headers::SESSION);
                // An answer of 200 that names no session, or another one, is a fault like any other.
                let id = session.map(messages::session_id).filter(|id| !id.is_empty());
                let known = self.session.as_deref();
                let Some(id) = id.filter(|id| known.is_none_or(|known| known == *id)) else {
                    return Answer::Refused(purpose, StatusCode::BadGateway);
                };
                let timeout =
                    session.and_then(|s| s.split(';').find_map(|p| p.trim().strip_prefix("timeout=")));
                self.timeout = timeout.and_then(|t| t.parse().ok()).unwrap_or(self.timeout);
                self.session = Some(id.to_string());
                let asked = Channels { rtp: track * 2, rtcp: track * 2 + 1 };
                let granted = header(&headers::TRANSPORT).and_then(|t| messages::interleaved(t, asked));
                self.tracks.push((track, granted.unwrap_or(asked)));
                self.state = State::Ready;
            }
            Purpose::Play => self.state = State::Playing,
            Purpose::Pause => self.state = State::Ready,
            Purpose::Teardown => self.state = State::Over,
            Purpose::Switch { .. } | Purpose::KeepAlive => {}
        }
        Answer::Done(purpose)
    }

    /// A viewer waits in vain: what it asked for has had no answer for so many microseconds.
    pub fn overdue(&self, now_us: u64, within_us: u64) -> bool {
        self.pending
            .iter()
            .any(|&(_, purpose, at)| purpose.awaited() && now_us.saturating_sub(at) > within_us)
    }
}
