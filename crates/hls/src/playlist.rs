//! Rewrites playlists line by line: every URI is replaced by a URI of the session, variants above the rung
//! are removed, and unknown tags keep their text and position. A parser that builds a tree and serializes it
//! again would move or lose unknown tags; see `docs/hls.md`.
//!
//! A multivariant playlist is what RFC 8216 calls a master playlist; the name is that of its second edition.
//!
//! Low-Latency HLS tags (draft of the second edition of RFC 8216) are removed, as they require blocking
//! playlist reloads and partial segments whose length is not known yet. The playlist remains valid without
//! them, and players fall back to full segments.

use url::Url;

use crate::session::RequestKind;

/// Maximum size of a playlist, in bytes.
pub const MAX_PLAYLIST_BYTES: usize = 1 << 20;
/// Maximum length of a line of a playlist, in bytes.
pub const MAX_LINE_BYTES: usize = 8192;
/// Prefixes of Low-Latency HLS tags.
const LOW_LATENCY_TAGS: [&str; 6] = [
    "#EXT-X-PART:",
    "#EXT-X-PART-INF:",
    "#EXT-X-PRELOAD-HINT:",
    "#EXT-X-RENDITION-REPORT:",
    "#EXT-X-SERVER-CONTROL:",
    "#EXT-X-SKIP:",
];

/// The reason why a playlist can't be rewritten.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlaylistError {
    #[error("playlist of {bytes} bytes exceeds the limit of {MAX_PLAYLIST_BYTES} bytes")]
    TooLarge { bytes: usize },
    #[error("byte {byte}: invalid UTF-8")]
    InvalidUtf8 { byte: usize },
    #[error("line {line}: length of {bytes} bytes exceeds the limit of {MAX_LINE_BYTES} bytes")]
    LineTooLong { line: usize, bytes: usize },
    #[error("line 1: missing #EXTM3U")]
    MissingHeader,
    #[error("line {line}: {what}")]
    Malformed { line: usize, what: String },
    /// A URI resolves to another host or port, or to a path outside of the title's folder.
    #[error("line {line}: {uri:?} is outside of the title's folder at the node")]
    OutsideTitle { line: usize, uri: String },
    #[error("multivariant playlist has no variant")]
    NoVariant,
}

/// A variant stream of a multivariant playlist.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Path of its media playlist at the node, relative to the title's folder, with query.
    pub path: String,
    /// Peak rate in kB/s, from the attribute `BANDWIDTH`.
    pub peak_kb_per_s: f64,
}

/// A rewritten multivariant playlist.
#[derive(Clone, Debug, PartialEq)]
pub struct MultivariantPlaylist {
    pub text: String,
    /// All variants of the node's playlist, in its order.
    pub variants: Vec<Variant>,
    /// Number of variants removed because their rate is too high.
    pub removed_variants: usize,
}

/// A rewritten media playlist.
#[derive(Clone, Debug, PartialEq)]
pub struct MediaPlaylist {
    pub text: String,
    /// Target duration in seconds, the upper bound of segment durations.
    pub target_duration: f64,
    /// The playlist has `#EXT-X-ENDLIST`: no segments will be added, so players do not reload it.
    pub ended: bool,
    /// Number of segments.
    pub segment_count: usize,
}

/// The location of a playlist at its node, which its relative URIs are resolved against.
pub struct PlaylistLocation<'a> {
    /// URL of the playlist at the node.
    pub url: &'a Url,
    /// Path of the title's folder at the node, such as `/renewal/`.
    pub folder: &'a str,
}

impl PlaylistLocation<'_> {
    /// Fast path of `resolve` for plain relative URIs, which nearly all are. Returns `None` if the URI has a
    /// scheme, an absolute path, a dot segment or characters that may need encoding, so that the result
    /// always equals that of `Url::join`.
    fn resolve_plain(&self, uri: &str) -> Option<String> {
        let unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
        let path = uri.split('?').next().unwrap_or_default();
        let query_length = uri.len() - path.len();
        let plain = path.bytes().all(|b| unreserved(b) || b == b'/')
            && uri.bytes().skip(path.len()).all(|b| unreserved(b) || matches!(b, b'?' | b'=' | b'&'))
            && path.split('/').all(|segment| !segment.is_empty() && segment != "." && segment != "..");
        let directory = self.url.path().rsplit_once('/').map_or("", |(directory, _)| directory);
        let directory = format!("{directory}/");
        let relative = directory.strip_prefix(self.folder)?;
        (plain && uri.len() > query_length).then(|| format!("{relative}{uri}"))
    }

    /// Resolves a URI to a path relative to the title's folder, with query.
    fn resolve(&self, line: usize, uri: &str) -> Result<String, PlaylistError> {
        if let Some(path) = self.resolve_plain(uri) {
            return Ok(path);
        }
        let outside = || PlaylistError::OutsideTitle { line, uri: uri.chars().take(200).collect() };
        let resolved = self.url.join(uri).map_err(|_| outside())?;
        let same_origin = (resolved.scheme(), resolved.host(), resolved.port())
            == (self.url.scheme(), self.url.host(), self.url.port());
        let path = resolved.path().strip_prefix(self.folder).filter(|_| same_origin).ok_or_else(outside)?;
        Ok(match resolved.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_string(),
        })
    }
}

/// Checks a playlist's size, encoding and first line, and returns its lines, numbered from 1.
fn numbered_lines(bytes: &[u8]) -> Result<impl Iterator<Item = (usize, &str)>, PlaylistError> {
    if bytes.len() > MAX_PLAYLIST_BYTES {
        return Err(PlaylistError::TooLarge { bytes: bytes.len() });
    }
    let text =
        std::str::from_utf8(bytes).map_err(|e| PlaylistError::InvalidUtf8 { byte: e.valid_up_to() })?;
    let numbered = || (1..).zip(text.lines());
    if let Some((line, long)) = numbered().find(|(_, text)| text.len() > MAX_LINE_BYTES) {
        return Err(PlaylistError::LineTooLong { line, bytes: long.len() });
    }
    if text.lines().next().map(str::trim_end) != Some("#EXTM3U") {
        return Err(PlaylistError::MissingHeader);
    }
    Ok(numbered())
}

/// Parses an attribute list (RFC 8216, section 4.2) into names and values. Values keep their quotes.
fn parse_attributes(line: usize, list: &str) -> Result<Vec<(&str, &str)>, PlaylistError> {
    let malformed = |what: &str| PlaylistError::Malformed { line, what: what.to_string() };
    let mut attributes = Vec::new();
    let mut rest = list;
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=').ok_or_else(|| malformed("attribute has no value"))?;
        let end = match after.strip_prefix('"') {
            Some(quoted) => quoted.find('"').ok_or_else(|| malformed("unterminated quoted string"))? + 2,
            None => after.find(',').unwrap_or(after.len()),
        };
        attributes.push((name.trim(), &after[..end]));
        rest = match after[end..].strip_prefix(',') {
            Some(more) => more,
            None if after.len() == end => "",
            None => return Err(malformed("missing comma after an attribute")),
        };
    }
    Ok(attributes)
}

/// Returns a line with the attribute `URI` of its tag, if any, replaced by the result of `map`.
fn rewrite_uri_attribute(
    line: usize,
    text: &str,
    map: &mut dyn FnMut(usize, &str) -> Result<String, PlaylistError>,
) -> Result<String, PlaylistError> {
    let Some((tag, list)) = text.split_once(':').filter(|(_, list)| list.contains("URI=")) else {
        return Ok(text.to_string());
    };
    let mut rewritten = format!("{tag}:");
    for (i, (name, value)) in parse_attributes(line, list)?.into_iter().enumerate() {
        if i > 0 {
            rewritten.push(',');
        }
        match name {
            "URI" => rewritten += &format!("URI=\"{}\"", map(line, value.trim_matches('"'))?),
            _ => rewritten += &format!("{name}={value}"),
        }
    }
    Ok(rewritten)
}

/// Rewrites a multivariant playlist for a session limited to `max_rate` kB/s. If all variants exceed the
/// limit, the lowest one is kept: the service group's floor is a rung of the ladder, and the node's lowest
/// variant is closest to it. `session_uri` returns the session's URI for the kind of a request and a path
/// relative to the title's folder.
pub fn rewrite_multivariant(
    bytes: &[u8],
    location: &PlaylistLocation,
    max_rate: f64,
    session_uri: &dyn Fn(RequestKind, &str) -> String,
) -> Result<MultivariantPlaylist, PlaylistError> {
    let lines: Vec<(usize, &str)> = numbered_lines(bytes)?.collect();
    let mut variants = Vec::new();
    let mut peak_kb_per_s: Option<f64> = None;
    for &(line, text) in &lines {
        if let Some(list) = text.strip_prefix("#EXT-X-STREAM-INF:") {
            let attributes = parse_attributes(line, list)?;
            let bandwidth = attributes
                .iter()
                .find(|(name, _)| *name == "BANDWIDTH")
                .and_then(|(_, value)| value.parse::<f64>().ok());
            let bandwidth = bandwidth.filter(|bandwidth| bandwidth.is_finite() && *bandwidth > 0.0);
            let what = || "variant has no valid BANDWIDTH".to_string();
            peak_kb_per_s =
                Some(bandwidth.ok_or_else(|| PlaylistError::Malformed { line, what: what() })? / 8e3);
        } else if !text.starts_with('#') && !text.trim().is_empty() {
            let Some(peak_kb_per_s) = peak_kb_per_s.take() else {
                let what = "URI without a preceding #EXT-X-STREAM-INF".to_string();
                return Err(PlaylistError::Malformed { line, what });
            };
            variants.push(Variant { path: location.resolve(line, text.trim())?, peak_kb_per_s });
        }
    }
    let offered = offered_variants(&variants, max_rate).ok_or(PlaylistError::NoVariant)?;
    let (mut output, mut number) = (String::with_capacity(bytes.len() * 2), 0);
    // The lines from a variant's #EXT-X-STREAM-INF up to its URI, which decides whether they are kept.
    let mut variant_lines = String::new();
    for (line, text) in lines {
        // Renditions and I-frame streams refer to playlists; session keys and session data do not.
        let is_playlist =
            ["#EXT-X-MEDIA:", "#EXT-X-I-FRAME-STREAM-INF:"].iter().any(|tag| text.starts_with(tag));
        let kind = if is_playlist { RequestKind::MediaPlaylist(None) } else { RequestKind::Resource(None) };
        let map = &mut |line: usize, uri: &str| Ok(session_uri(kind, &location.resolve(line, uri)?));
        if text.starts_with("#EXT-X-STREAM-INF:") {
            variant_lines = format!("{text}\n");
        } else if text.starts_with("#EXT-X-I-FRAME-STREAM-INF:") {
            // I-frame streams are variants as well and subject to the limit. Without them, only trick play is
            // missing.
            let attributes = parse_attributes(line, text.split_once(':').map_or("", |(_, list)| list))?;
            let bandwidth = attributes
                .iter()
                .find(|(name, _)| *name == "BANDWIDTH")
                .and_then(|(_, value)| value.parse::<f64>().ok());
            if bandwidth.is_some_and(|bandwidth| bandwidth / 8e3 <= max_rate) {
                output += &rewrite_uri_attribute(line, text, map)?;
                output.push('\n');
            }
        } else if text.starts_with('#') || text.trim().is_empty() {
            let target = if variant_lines.is_empty() { &mut output } else { &mut variant_lines };
            *target += &rewrite_uri_attribute(line, text, map)?;
            target.push('\n');
        } else {
            if offered.contains(&number) {
                output += &variant_lines;
                output += &session_uri(RequestKind::MediaPlaylist(Some(number)), &variants[number].path);
                output.push('\n');
            }
            variant_lines.clear();
            number += 1;
        }
    }
    Ok(MultivariantPlaylist { text: output, removed_variants: variants.len() - offered.len(), variants })
}

/// Returns the indices of the variants within `max_rate` kB/s, or of the lowest variant if all exceed it.
/// Returns `None` if there are no variants.
pub fn offered_variants(variants: &[Variant], max_rate: f64) -> Option<Vec<usize>> {
    let within: Vec<usize> = (0..variants.len()).filter(|&i| variants[i].peak_kb_per_s <= max_rate).collect();
    if !within.is_empty() {
        return Some(within);
    }
    let lowest = (0..variants.len())
        .min_by(|&a, &b| variants[a].peak_kb_per_s.total_cmp(&variants[b].peak_kb_per_s))?;
    Some(vec![lowest])
}

/// Rewrites a media playlist. `session_uri` returns the session's URI for a path relative to the title's
/// folder.
pub fn rewrite_media(
    bytes: &[u8],
    location: &PlaylistLocation,
    session_uri: &dyn Fn(&str) -> String,
) -> Result<MediaPlaylist, PlaylistError> {
    let mut rewritten = MediaPlaylist {
        text: String::with_capacity(bytes.len() * 2),
        target_duration: 0.0,
        ended: false,
        segment_count: 0,
    };
    let mut has_duration = false;
    for (line, text) in numbered_lines(bytes)? {
        let map = &mut |line: usize, uri: &str| Ok(session_uri(&location.resolve(line, uri)?));
        if LOW_LATENCY_TAGS.iter().any(|tag| text.starts_with(tag)) {
            continue;
        }
        if text.starts_with('#') || text.trim().is_empty() {
            if let Some(value) = text.strip_prefix("#EXT-X-TARGETDURATION:") {
                let target =
                    value.trim().parse::<f64>().ok().filter(|t| t.is_finite() && *t > 0.0 && *t <= 3600.0);
                let what = || format!("{:?} is not a valid target duration", value.trim());
                rewritten.target_duration =
                    target.ok_or_else(|| PlaylistError::Malformed { line, what: what() })?;
            }
            has_duration |= text.starts_with("#EXTINF:");
            rewritten.ended |= text.trim_end() == "#EXT-X-ENDLIST";
            rewritten.text += &rewrite_uri_attribute(line, text, map)?;
        } else {
            if !std::mem::take(&mut has_duration) {
                return Err(PlaylistError::Malformed { line, what: "segment without #EXTINF".to_string() });
            }
            rewritten.segment_count += 1;
            rewritten.text += &map(line, text.trim())?;
        }
        rewritten.text.push('\n');
    }
    if rewritten.target_duration == 0.0 {
        return Err(PlaylistError::Malformed { line: 1, what: "missing #EXT-X-TARGETDURATION".to_string() });
    }
    Ok(rewritten)
}
