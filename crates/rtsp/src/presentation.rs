//! What a URL asks for, and the SDP that DESCRIBE answers (RFC 2326, C.1).

use rtsp_types::Url;

/// The control name of the one track of a presentation.
pub const TRACK: &str = "track1";

/// What a viewer's URL asks for: `rtsp://host/TITLE[/track1][?group=NAME&top=RUNG&...]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub title: String,
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
        match (parts.next(), parts.next()) {
            (None | Some(TRACK), None) => {}
            _ => return None,
        }
        let mut asked = Asked { title, group: None, top: None, rest: String::new() };
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

    /// The rendition of this title at a node: `rtsp://node/TITLE/rN[?rest]`.
    pub fn rendition(&self, node: std::net::SocketAddr, rung: u8) -> Option<Url> {
        let query = if self.rest.is_empty() { String::new() } else { format!("?{}", self.rest) };
        Url::parse(&format!("rtsp://{node}/{}/r{rung}{query}", self.title)).ok()
    }
}

/// The rung of a rendition's URL, as [`Asked::rendition`] writes it.
pub fn rung_of(url: &Url) -> Option<u8> {
    url.path().rsplit('/').find_map(|part| part.strip_prefix('r')?.parse().ok())
}

/// Describes a presentation of one video track.
pub fn describe(title: &str, clock_rate: u32) -> Vec<u8> {
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
        medias: vec![sdp_types::Media {
            media: "video".into(),
            port: 0,
            num_ports: None,
            proto: "RTP/AVP".into(),
            fmt: "96".into(),
            media_title: None,
            connections: Vec::new(),
            bandwidths: Vec::new(),
            key: None,
            attributes: vec![
                attribute("rtpmap", format!("96 MP2T/{clock_rate}")),
                attribute("control", TRACK.into()),
            ],
        }],
    };
    let mut text = Vec::new();
    session.write(&mut text).expect("a vector takes all that is written");
    text
}
