//! How a node tells its load: as `text/parameters` in the answer to GET_PARAMETER (RFC 2326, 10.8), and in the
//! header `X-Load` of any other answer, which peers that don't know it pass over (RFC 2326, 1.5).

use rtsp_types::HeaderName;

/// What a node tells of itself, each a part of what it can give.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// What is asked of its link over what it gives.
    pub link: Option<f64>,
    /// The same of its rack's uplink.
    pub uplink: Option<f64>,
    /// Streams that it runs or sets up.
    pub streams: Option<f64>,
}

pub fn header() -> HeaderName {
    HeaderName::from_static_str("X-Load").expect("a well-formed name")
}

impl Load {
    /// Reads `name: value` pairs parted by line ends or commas. What is not known, or not a figure of zero or
    /// more, is passed over: a node that tells more than we ask for is no fault.
    pub fn read(text: &str) -> Load {
        let mut load = Load::default();
        for pair in text.split(['\n', ',']) {
            let Some((name, value)) = pair.split_once([':', '=']) else { continue };
            let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else {
                continue;
            };
            match name.trim() {
                "link" => load.link = Some(value),
                "uplink" => load.uplink = Some(value),
                "streams" => load.streams = Some(value),
                _ => {}
            }
        }
        load
    }

    fn told(&self) -> impl Iterator<Item = (&'static str, f64)> {
        let pairs = [("link", self.link), ("uplink", self.uplink), ("streams", self.streams)];
        pairs.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    /// As a `text/parameters` body.
    pub fn body(&self) -> String {
        self.told().map(|(name, value)| format!("{name}: {value:.4}\r\n")).collect()
    }

    /// As the value of `X-Load`.
    pub fn line(&self) -> String {
        self.told().map(|(name, value)| format!("{name}={value:.4}")).collect::<Vec<_>>().join(", ")
    }
}
