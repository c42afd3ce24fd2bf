//! Building and reading the few messages that both sides need.

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode, Url, Version};

use crate::load::{self, Load};
use crate::{Request, Response};

pub fn request(method: Method, url: &Url, cseq: u32) -> Request {
    rtsp_types::Request::builder(method, Version::V1_0)
        .request_uri(url.clone())
        .header(headers::CSEQ, cseq.to_string())
        .build(Vec::new())
}

/// An answer; RTSP 1.0 wants the request's CSeq in it (RFC 2326, 12.17).
pub fn response(status: StatusCode, cseq: Option<&str>) -> Response {
    let builder = rtsp_types::Response::builder(Version::V1_0, status);
    match cseq {
        Some(cseq) => builder.header(headers::CSEQ, cseq).build(Vec::new()),
        None => builder.build(Vec::new()),
    }
}

pub fn cseq(headers: &Request) -> Option<String> {
    headers.header(&headers::CSEQ).map(|value| value.as_str().trim().to_string())
}

pub fn header<'a>(response: &'a Response, name: &HeaderName) -> Option<&'a str> {
    response.header(name).map(|value| value.as_str().trim())
}

/// The session id of a `Session` header, without its timeout.
pub fn session_id(value: &str) -> &str {
    value.split(';').next().unwrap_or_default().trim()
}

/// The load that an answer tells, by its body or its header.
pub fn load_of(response: &Response) -> Option<Load> {
    if let Some(line) = header(response, &load::header()) {
        return Some(Load::read(line));
    }
    let told = header(response, &headers::CONTENT_TYPE)?.eq_ignore_ascii_case("text/parameters");
    told.then(|| Load::read(&String::from_utf8_lossy(response.body())))
}

/// `Retry-After` in whole seconds, never sooner than told.
pub fn retry_after(response: &mut Response, seconds: f64) {
    response.insert_header(headers::RETRY_AFTER, format!("{:.0}", seconds.ceil().max(1.0)));
}

/// The header of 3GPP TS 26.234's stream switch, sent with PLAY.
pub fn switch_stream() -> HeaderName {
    HeaderName::from_static_str("Switch-Stream").expect("a well-formed name")
}

/// The value of `Switch-Stream` for a change from one rendition to another.
pub fn switch_value(old: &Url, new: &Url) -> String {
    format!("old=\"{old}\";new=\"{new}\"")
}

/// The new rendition named by a `Switch-Stream` value.
pub fn switched_to(value: &str) -> Option<Url> {
    let new = value.split(';').find_map(|part| part.trim().strip_prefix("new="))?;
    Url::parse(new.trim().trim_matches('"')).ok()
}

/// The pair of interleaved channels that a transport line asks for or grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Channels {
    pub rtp: u8,
    pub rtcp: u8,
}

impl Channels {
    pub fn overlaps(&self, other: &Channels) -> bool {
        [self.rtp, self.rtcp].iter().any(|c| [other.rtp, other.rtcp].contains(c))
    }

    pub fn granted(self, ssrc: Option<u32>) -> String {
        let ssrc = ssrc.map(|ssrc| format!(";ssrc={ssrc:08X}")).unwrap_or_default();
        format!("RTP/AVP/TCP;unicast;interleaved={}-{}{ssrc}", self.rtp, self.rtcp)
    }
}

/// The first alternative of a `Transport` header that is RTP over this connection (RFC 2326, 12.39: in order of
/// preference), with the channels it asks for; those of `left_out` where it names none.
pub fn interleaved(transport: &str, left_out: Channels) -> Option<Channels> {
    transport.split(',').find_map(|one| {
        let mut parts = one.split(';').map(str::trim);
        let spec = parts.next()?;
        if !spec.eq_ignore_ascii_case("RTP/AVP/TCP") && !spec.eq_ignore_ascii_case("RTP/AVP/TCP/unicast") {
            return None;
        }
        let mut channels = left_out;
        for part in parts {
            if part.eq_ignore_ascii_case("multicast") {
                return None;
            }
            if let Some(range) = part.strip_prefix("interleaved=") {
                let (rtp, rtcp) = range.split_once('-').unwrap_or((range, ""));
                channels.rtp = rtp.parse().ok()?;
                channels.rtcp =
                    if rtcp.is_empty() { channels.rtp.checked_add(1)? } else { rtcp.parse().ok()? };
            }
        }
        (channels.rtp != channels.rtcp).then_some(channels)
    })
}
