//! What a URL asks for, and the SDP that DESCRIBE answers (RFC 2326, C.1).

use rtsp_types::Url;

/// The control name of a track, as `track1`; tracks are counted from 0 in the code.
fn control(track: u8) -> String {
    format!("track{}", track + 1)
}

/// What a viewer's URL asks for: `rtsp://host/TITLE[/trackN][?group=NAME&top=RUNG&...]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub title: String,
    /// The presentation's URL without its query, and the query as it came.
    pub base: String,
    pub query: String,
    /// None for the whole presentation.
    pub track: Option<u8>,
    pub group: Option<String>,
    /// Highest rung that the viewer can use, counted from 0.
    pub top: Option<u8>,
    /// What else the query holds, passed on to the node as it came.
    pub rest: String,
}

impl Asked {
    /// Reads a URL; none where its path names no title. A `top` that is no number is passed on, not used.
    pub fn read(url: &Url) -> Option<Asked> {
        let mut parts = url.path().split('/').filter(|part| !part.is_empty());
        let title = parts.next()?.to_string();
        let track = match (parts.next(), parts.next()) {
            (None, None) => None,
            (Some(part), None) => Some(part.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)?),
            _ => return None,
        };
        let port = url.port().map(|port| format!(":{port}")).unwrap_or_default();
        let base = format!("rtsp://{}{port}/{title}", url.host_str().unwrap_or_default());
        let query = url.query().unwrap_or_default().to_string();
        let mut asked = Asked { title, base, query, track, group: None, top: None, rest: String::new() };
        for pair in url.query().unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match (name, value.parse::<u8>()) {
                ("group", _) => asked.group = Some(value.to_string()),
                ("top", Ok(top)) => asked.top = Some(top),
                _ => {
                    let join = if asked.rest.is_empty() { "" } else { "&" };
                    asked.rest += join;
                    asked.rest += pair;
                }
            }
        }
        Some(asked)
    }

    /// The value of an element of the query.
    pub fn element(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// The URL by which the viewer knows a track.
    pub fn track_url(&self, track: u8) -> String {
        let query = if self.query.is_empty() { String::new() } else { format!("?{}", self.query) };
        format!("{}/{}{query}", self.base, control(track))
    }

    /// The rendition of this title at a node: `rtsp://node/TITLE/rN[?rest]`.
    pub fn rendition(&self, node: std::net::SocketAddr, rung: u8) -> Option<Url> {
        let query = if self.rest.is_empty() { String::new() } else { format!("?{}", self.rest) };
        Url::parse(&format!("rtsp://{node}/{}/r{rung}{query}", self.title)).ok()
    }
}

/// Where a track's stream begins, as `RTP-Info` tells it (RFC 2326, 12.33).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begins {
    pub track: u8,
    pub seq: Option<u16>,
    pub rtptime: Option<u32>,
}

/// Reads a node's `RTP-Info`; entries that name no track of ours are passed over.
pub fn rtp_info(value: &str) -> Vec<Begins> {
    let entry = |text: &str| {
        let part = |name: &str| text.split(';').find_map(|p| p.trim().strip_prefix(name)?.strip_prefix('='));
        let path = part("url")?.split('?').next()?;
        let track = path.rsplit('/').next()?.strip_prefix("track")?.parse::<u8>().ok()?.checked_sub(1)?;
        let (seq, rtptime) = (part("seq"), part("rtptime"));
        Some(Begins {
            track,
            seq: seq.and_then(|n| n.parse().ok()),
            rtptime: rtptime.and_then(|n| n.parse().ok()),
        })
    };
    value.split(',').filter_map(entry).collect()
}

/// Writes `RTP-Info` with the URLs by which the reader knows the tracks.
pub fn write_rtp_info(begins: impl Iterator<Item = Begins>, url: impl Fn(u8) -> String) -> String {
    let entry = |b: Begins| {
        let seq = b.seq.map(|n| format!(";seq={n}")).unwrap_or_default();
        let rtptime = b.rtptime.map(|n| format!(";rtptime={n}")).unwrap_or_default();
        format!("url={}{seq}{rtptime}", url(b.track))
    };
    begins.map(entry).collect::<Vec<_>>().join(",")
}

/// The rung of a rendition's URL, as [`Asked::rendition`] writes it.
pub fn rung_of(url: &Url) -> Option<u8> {
    url.path().rsplit('/').find_map(|part| part.strip_prefix('r')?.parse().ok())
}

/// Describes a presentation: video, and audio where it has a second track. The query goes along in each control URL, so
/// that a player that follows them asks for the same as it was described.
pub fn describe(title: &str, query: &str, clock_rates: impl Iterator<Item = u32>) -> Vec<u8> {
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
                let (media, payload, coding) = match track {
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
                        attribute("rtpmap", format!("{payload} {coding}")),
                        attribute("control", format!("{}{query}", control(track))),
                    ],
                }
            })
            .collect(),
    };
    let mut text = Vec::new();
    session.write(&mut text).expect("a vector takes all that is written");
    text
}
