//! Helpers that build and read the RTSP messages and headers used on both sides of the director.

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, StatusCode, Url, Version};

use crate::load::{self, NodeLoad};
use crate::{Request, Response};

/// Returns the number of bytes of a request's headers and body.
pub fn text_bytes(request: &Request) -> usize {
    let headers = request.headers().map(|(name, value)| name.as_str().len() + value.as_str().len());
    headers.sum::<usize>() + request.body().len()
}

/// Builds a request without a body.
pub fn request(method: Method, url: &Url, cseq: u32) -> Request {
    rtsp_types::Request::builder(method, Version::V1_0)
        .request_uri(url.clone())
        .header(headers::CSEQ, cseq.to_string())
        .build(Vec::new())
}

/// Builds a response without a body. RTSP 1.0 requires the CSeq of the request in it (RFC 2326, 12.17).
pub fn response(status: StatusCode, cseq: Option<&str>) -> Response {
    let builder = rtsp_types::Response::builder(Version::V1_0, status);
    match cseq {
        Some(cseq) => builder.header(headers::CSEQ, cseq).build(Vec::new()),
        None => builder.build(Vec::new()),
    }
}

/// Returns the CSeq of a request.
pub fn cseq(request: &Request) -> Option<String> {
    request.header(&headers::CSEQ).map(|value| value.as_str().trim().to_string())
}

/// Returns the value of a response header without surrounding white space.
pub fn header<'a>(response: &'a Response, name: &HeaderName) -> Option<&'a str> {
    response.header(name).map(|value| value.as_str().trim())
}

/// Returns the session identifier in the value of a `Session` header, without its parameters such as
/// `timeout`.
pub fn session_id(value: &str) -> &str {
    value.split(';').next().unwrap_or_default().trim()
}

/// Returns the load that a response reports, in the `X-Load` header or in a `text/parameters` body.
pub fn load_report(response: &Response) -> Option<NodeLoad> {
    if let Some(line) = header(response, &load::header_name()) {
        return Some(NodeLoad::parse(line));
    }
    let has_parameters = header(response, &headers::CONTENT_TYPE)?.eq_ignore_ascii_case("text/parameters");
    has_parameters.then(|| NodeLoad::parse(&String::from_utf8_lossy(response.body())))
}

/// Sets `Retry-After` to the delay rounded up to whole seconds, at least 1.
pub fn set_retry_after(response: &mut Response, seconds: f64) {
    response.insert_header(headers::RETRY_AFTER, format!("{:.0}", seconds.ceil().max(1.0)));
}

/// Returns the name of the header that requests a stream switch (3GPP TS 26.234), sent with PLAY.
pub fn switch_stream_header() -> HeaderName {
    HeaderName::from_static_str("Switch-Stream").expect("a well-formed name")
}

/// Returns the value of `Switch-Stream` for a change from one rendition to another.
pub fn format_switch_stream(old: &Url, new: &Url) -> String {
    format!("old=\"{old}\";new=\"{new}\"")
}

/// Returns the URL of the new rendition in a `Switch-Stream` value.
pub fn parse_switch_stream(value: &str) -> Option<Url> {
    let new = value.split(';').find_map(|part| part.trim().strip_prefix("new="))?;
    Url::parse(new.trim().trim_matches('"')).ok()
}

/// The pair of interleaved channels that a `Transport` header requests or assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterleavedChannels {
    pub rtp: u8,
    pub rtcp: u8,
}

impl InterleavedChannels {
    /// Returns whether the two pairs have a channel in common.
    pub fn overlaps(&self, other: &InterleavedChannels) -> bool {
        [self.rtp, self.rtcp].iter().any(|c| [other.rtp, other.rtcp].contains(c))
    }

    /// Returns the value of a `Transport` header with these channels and, if given, the SSRC of the stream.
    pub fn transport_header(self, ssrc: Option<u32>) -> String {
        let ssrc = ssrc.map(|ssrc| format!(";ssrc={ssrc:08X}")).unwrap_or_default();
        format!("RTP/AVP/TCP;unicast;interleaved={}-{}{ssrc}", self.rtp, self.rtcp)
    }
}

/// Returns the channels of the first transport in a `Transport` header that is unicast RTP interleaved on the
/// RTSP connection. The header lists transports in order of preference (RFC 2326, 12.39). `default` is used
/// where the transport names no channels.
pub fn parse_transport(transport: &str, default: InterleavedChannels) -> Option<InterleavedChannels> {
    transport.split(',').find_map(|alternative| {
        let mut parameters = alternative.split(';').map(str::trim);
        let spec = parameters.next()?;
        if !spec.eq_ignore_ascii_case("RTP/AVP/TCP") && !spec.eq_ignore_ascii_case("RTP/AVP/TCP/unicast") {
            return None;
        }
        let mut channels = default;
        for parameter in parameters {
            if parameter.eq_ignore_ascii_case("multicast") {
                return None;
            }
            if let Some(range) = parameter.strip_prefix("interleaved=") {
                let (rtp, rtcp) = range.split_once('-').unwrap_or((range, ""));
                channels.rtp = rtp.parse().ok()?;
                channels.rtcp =
                    if rtcp.is_empty() { channels.rtp.checked_add(1)? } else { rtcp.parse().ok()? };
            }
        }
        (channels.rtp != channels.rtcp).then_some(channels)
    })
}
