//! The load report of a media node. It is sent as `text/parameters` in the response to GET_PARAMETER (RFC
//! 2326, 10.8) and in the `X-Load` header of any other response; peers that don't know the header ignore it
//! (RFC 2326, 1.5).

use rtsp_types::HeaderName;

/// The load of a media node. Each value is a fraction of the respective capacity and may exceed 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeLoad {
    /// Demand on the node's link, divided by the link's capacity.
    pub link: Option<f64>,
    /// Demand on the uplink of the node's rack, divided by the uplink's capacity.
    pub uplink: Option<f64>,
    /// Streams that the node plays or sets up, divided by the number of streams that it can serve.
    pub streams: Option<f64>,
}

/// Returns the name of the header that carries a load report.
pub fn header_name() -> HeaderName {
    HeaderName::from_static_str("X-Load").expect("a well-formed name")
}

impl NodeLoad {
    /// Parses `name: value` or `name=value` pairs separated by line ends or commas. Unknown names and values
    /// that are not finite numbers of at least 0 are ignored, as a node may report more than is used here.
    pub fn parse(text: &str) -> NodeLoad {
        let mut load = NodeLoad::default();
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

    fn reported_values(&self) -> impl Iterator<Item = (&'static str, f64)> {
        let pairs = [("link", self.link), ("uplink", self.uplink), ("streams", self.streams)];
        pairs.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    /// Returns the report as a `text/parameters` body.
    pub fn to_parameters(&self) -> String {
        self.reported_values().map(|(name, value)| format!("{name}: {value:.4}\r\n")).collect()
    }

    /// Returns the report as the value of `X-Load`.
    pub fn to_header_value(&self) -> String {
        self.reported_values()
            .map(|(name, value)| format!("{name}={value:.4}"))
            .collect::<Vec<_>>()
            .join(", ")
    }
}
