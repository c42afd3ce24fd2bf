//! Presentation URLs, `RTP-Info` headers and the SDP description returned by DESCRIBE (RFC 2326, C.1).

use rtsp_types::Url;

/// Returns the control name of a track. Track numbers start at 0 in the code and at 1 in URLs: track 0 is
/// `track1`.
fn control_name(track: u8) -> String {
    format!("track{}", track + 1)
}

/// A parsed viewer URL: `rtsp://host/TITLE[/trackN][?group=NAME&top=RUNG&...]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentationUrl {
    pub title: String,
    /// The presentation's URL without track and query.
    pub base_url: String,
    /// The query as received.
    pub query: String,
    /// The track, counted from 0, or `None` for the whole presentation.
    pub track: Option<u8>,
    /// Name of the service group.
    pub group: Option<String>,
    /// Highest rung that the viewer can use, counted from 0.
    pub top_rung: Option<u8>,
    /// All other elements of the query, forwarded to the node unchanged.
    pub forwarded_query: String,
}

impl PresentationUrl {
    /// Parses a URL. Returns `None` if its path is not a title with an optional track. An element `top` that
    /// is not a number is forwarded to the node and otherwise ignored.
    pub fn parse(url: &Url) -> Option<PresentationUrl> {
        let mut parts = url.path().split('/').filter(|part| !part.is_empty());
        let title = parts.next()?.to_string();
        let track = match (parts.next(), parts.next()) {
            (None, None) => None,
            (Some(part), None) => Some(part.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)?),
            _ => return None,
        };
        let port = url.port().map(|port| format!(":{port}")).unwrap_or_default();
        let base_url = format!("rtsp://{}{port}/{title}", url.host_str().unwrap_or_default());
        let query = url.query().unwrap_or_default().to_string();
        let mut parsed = PresentationUrl {
            title,
            base_url,
            query,
            track,
            group: None,
            top_rung: None,
            forwarded_query: String::new(),
        };
        for pair in url.query().unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match (name, value.parse::<u8>()) {
                ("group", _) => parsed.group = Some(value.to_string()),
                ("top", Ok(top)) => parsed.top_rung = Some(top),
                _ => {
                    let separator = if parsed.forwarded_query.is_empty() { "" } else { "&" };
                    parsed.forwarded_query += separator;
                    parsed.forwarded_query += pair;
                }
            }
        }
        Some(parsed)
    }

    /// Returns the value of an element of the query, as received.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the URL of a track as the viewer addresses it.
    pub fn track_url(&self, track: u8) -> String {
        let query = if self.query.is_empty() { String::new() } else { format!("?{}", self.query) };
        format!("{}/{}{query}", self.base_url, control_name(track))
    }

    /// Returns the URL of a rendition of this title at a node: `rtsp://node/TITLE/rN[?...]`.
    pub fn rendition_url(&self, node: std::net::SocketAddr, rung: u8) -> Option<Url> {
        let query = if self.forwarded_query.is_empty() {
            String::new()
        } else {
            format!("?{}", self.forwarded_query)
        };
        Url::parse(&format!("rtsp://{node}/{}/r{rung}{query}", self.title)).ok()
    }
}

/// The start of a track's stream as given by an entry of `RTP-Info` (RFC 2326, 12.33).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackStart {
    pub track: u8,
    pub seq: Option<u16>,
    pub rtptime: Option<u32>,
}

/// Parses the `RTP-Info` header of a node. Entries whose URL does not name a track are ignored.
pub fn parse_rtp_info(value: &str) -> Vec<TrackStart> {
    let entry = |text: &str| {
        let parameter =
            |name: &str| text.split(';').find_map(|p| p.trim().strip_prefix(name)?.strip_prefix('='));
        let path = parameter("url")?.split('?').next()?;
        let track = path.rsplit('/').next()?.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)?;
        let (seq, rtptime) = (parameter("seq"), parameter("rtptime"));
        Some(TrackStart {
            track,
            seq: seq.and_then(|n| n.parse().ok()),
            rtptime: rtptime.and_then(|n| n.parse().ok()),
        })
    };
    value.split(',').filter_map(entry).collect()
}

/// Formats an `RTP-Info` header. `url` returns the URL of a track as the receiver addresses it.
pub fn format_rtp_info(starts: impl Iterator<Item = TrackStart>, url: impl Fn(u8) -> String) -> String {
    let entry = |start: TrackStart| {
        let seq = start.seq.map(|n| format!(";seq={n}")).unwrap_or_default();
        let rtptime = start.rtptime.map(|n| format!(";rtptime={n}")).unwrap_or_default();
        format!("url={}{seq}{rtptime}", url(start.track))
    };
    starts.map(entry).collect::<Vec<_>>().join(",")
}

/// Returns the rung in a rendition's URL as formatted by [`PresentationUrl::rendition_url`].
pub fn rung_from_url(url: &Url) -> Option<u8> {
    url.path().rsplit('/').find_map(|part| part.strip_prefix('r')?.parse().ok())
}

/// Returns the SDP description of a presentation: video and, if there is a second clock rate, audio. Each
/// control URL carries the query, so that a player's SETUP requests have the same query as its DESCRIBE
/// request.
pub fn describe_sdp(title: &str, query: &str, clock_rates: impl Iterator<Item = u32>) -> Vec<u8> {
    let query = if query.is_empty() { String::new() } else { format!("?{query}") };
    let attribute =
        |name: &str, value: String| sdp_types::Attribute { attribute: name.to_string(), value: Some(value) };
    let connection = sdp_types::Connection {
        nettype: "IN".into(),
        addrtype: "IP4".into(),
        connection_address: "0.0.0.0".into(),
    };
    let session = sdp_types::Session {
        origin: sdp_types::Origin {
            username: None,
            sess_id: "0".into(),
            sess_version: 0,
            nettype: "IN".into(),
            addrtype: "IP4".into(),
            unicast_address: "0.0.0.0".into(),
        },
        session_name: title.to_string(),
        session_description: None,
        uri: None,
        emails: Vec::new(),
        phones: Vec::new(),
        connection: Some(connection),
        bandwidths: Vec::new(),
        times: vec![sdp_types::Time { start_time: 0, stop_time: 0, repeats: Vec::new() }],
        time_zones: Vec::new(),
        key: None,
        attributes: vec![attribute("control", "*".into()), attribute("range", "npt=0-".into())],
        medias: (0u8..)
            .zip(clock_rates)
            .map(|(track, rate)| {
                let (media, payload, encoding) = match track {
                    0 => ("video", 96, format!("MP2T/{rate}")),
                    _ => ("audio", 97, format!("L16/{rate}/1")),
                };
                sdp_types::Media {
                    media: media.into(),
                    port: 0,
                    num_ports: None,
                    proto: "RTP/AVP".into(),
                    fmt: payload.to_string(),
                    media_title: None,
                    connections: Vec::new(),
                    bandwidths: Vec::new(),
                    key: None,
                    attributes: vec![
                        attribute("rtpmap", format!("{payload} {encoding}")),
                        attribute("control", format!("{}{query}", control_name(track))),
                    ],
                }
            })
            .collect(),
    };
    let mut text = Vec::new();
    session.write(&mut text).expect("writing to a vector can't fail");
    text
}
