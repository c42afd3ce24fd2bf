//! Playlists, rewritten line by line: every URI becomes one of the session's, variants above the rung are left out,
//! and what is not known is kept as it stands, in its place. (A parser that builds a tree and writes it again moves or
//! loses what it doesn't know; see `docs/hls.md`.)
//!
//! Low-latency parts (draft of RFC 8216's second edition) are left out: they ask for held reloads and for parts that have
//! no length yet. A playlist without them is a whole one; players fall back to segments.

use url::Url;

use crate::session::Ask;

/// What a playlist may be at most.
pub const MOST_BYTES: usize = 1 << 20;
pub const MOST_LINE: usize = 8192;
/// Lines that begin so are of the low-latency kind.
const LOW_LATENCY: [&str; 6] = [
    "#EXT-X-PART:",
    "#EXT-X-PART-INF:",
    "#EXT-X-PRELOAD-HINT:",
    "#EXT-X-RENDITION-REPORT:",
    "#EXT-X-SERVER-CONTROL:",
    "#EXT-X-SKIP:",
];

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Trouble {
    #[error("the playlist has {bytes} bytes; {MOST_BYTES} is the most")]
    TooLong { bytes: usize },
    #[error("byte {byte}: no UTF-8")]
    NotText { byte: usize },
    #[error("line {line}: {bytes} bytes long; {MOST_LINE} is the most")]
    LongLine { line: usize, bytes: usize },
    #[error("line 1: #EXTM3U is wanted")]
    NoPlaylist,
    #[error("line {line}: {what}")]
    Malformed { line: usize, what: String },
    #[error("line {line}: {uri:?} leaves its title at its node")]
    Leaves { line: usize, uri: String },
    #[error("no variant is within the rung")]
    NoVariant,
}

/// One of the renditions that a multivariant playlist names.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Its playlist at the node, within the title's folder, query included.
    pub path: String,
    /// kB a second at its peak.
    pub rate: f64,
}

/// A multivariant playlist.
#[derive(Clone, Debug, PartialEq)]
pub struct Master {
    pub text: String,
    /// All that the node has, in the order of the playlist.
    pub variants: Vec<Variant>,
    /// Those left out as too high.
    pub left_out: usize,
}

/// A media playlist.
#[derive(Clone, Debug, PartialEq)]
pub struct Media {
    pub text: String,
    /// Longest segment, in seconds.
    pub target: f64,
    /// It has all its segments: nobody will load it again.
    pub ended: bool,
    pub segments: usize,
}

/// Where a playlist was found, and what its URIs become.
pub struct Place<'a> {
    /// Its URL at the node.
    pub url: &'a Url,
    /// The folder of the title there, as `/renewal/`.
    pub folder: &'a str,
}

impl Place<'_> {
    /// The same for a URI that can only mean what it says: a name beside the playlist, as nearly all are. Nothing in
    /// it is a scheme, a root, a step up or to be encoded, so that joining it can't lead elsewhere.
    fn plain(&self, uri: &str) -> Option<String> {
        let named = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
        let path = uri.split('?').next().unwrap_or_default();
        let query = uri.len() - path.len();
        let simple = path.bytes().all(|b| named(b) || b == b'/')
            && uri.bytes().skip(path.len()).all(|b| named(b) || matches!(b, b'?' | b'=' | b'&'))
            && path.split('/').all(|part| !part.is_empty() && part != "." && part != "..");
        let beside = self.url.path().rsplit_once('/').map_or("", |(dir, _)| dir);
        let beside = format!("{beside}/");
        let dir = beside.strip_prefix(self.folder)?;
        (simple && uri.len() > query).then(|| format!("{dir}{uri}"))
    }

    /// The path within the title's folder, with its query.
    fn within(&self, line: usize, uri: &str) -> Result<String, Trouble> {
        if let Some(plain) = self.plain(uri) {
            return Ok(plain);
        }
        let leaves = || Trouble::Leaves { line, uri: uri.chars().take(200).collect() };
        let full = self.url.join(uri).map_err(|_| leaves())?;
        let same = (full.scheme(), full.host(), full.port())
            == (self.url.scheme(), self.url.host(), self.url.port());
        let rest = full.path().strip_prefix(self.folder).filter(|_| same).ok_or_else(leaves)?;
        Ok(match full.query() {
            Some(query) => format!("{rest}?{query}"),
            None => rest.to_string(),
        })
    }
}

/// The lines of a playlist with their numbers, checked.
fn lines(bytes: &[u8]) -> Result<impl Iterator<Item = (usize, &str)>, Trouble> {
    if bytes.len() > MOST_BYTES {
        return Err(Trouble::TooLong { bytes: bytes.len() });
    }
    let text = std::str::from_utf8(bytes).map_err(|e| Trouble::NotText { byte: e.valid_up_to() })?;
    let numbered = || (1..).zip(text.lines());
    if let Some((line, long)) = numbered().find(|(_, text)| text.len() > MOST_LINE) {
        return Err(Trouble::LongLine { line, bytes: long.len() });
    }
    if text.lines().next().map(str::trim_end) != Some("#EXTM3U") {
        return Err(Trouble::NoPlaylist);
    }
    Ok(numbered())
}

/// A tag's attributes: name and value as written, quotes and all (RFC 8216, section 4.2).
fn attributes(line: usize, list: &str) -> Result<Vec<(&str, &str)>, Trouble> {
    let bad = |what: &str| Trouble::Malformed { line, what: what.to_string() };
    let mut found = Vec::new();
    let mut rest = list;
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=').ok_or_else(|| bad("an attribute without a value"))?;
        let end = match after.strip_prefix('"') {
            Some(quoted) => quoted.find('"').ok_or_else(|| bad("a quote that doesn't end"))? + 2,
            None => after.find(',').unwrap_or(after.len()),
        };
        found.push((name.trim(), &after[..end]));
        rest = match after[end..].strip_prefix(',') {
            Some(more) => more,
            None if after.len() == end => "",
            None => return Err(bad("a comma is wanted after an attribute")),
        };
    }
    Ok(found)
}

/// A tag with the URI among its attributes, if it has one, put through `map`.
fn with_uri(
    line: usize,
    text: &str,
    map: &mut dyn FnMut(usize, &str) -> Result<String, Trouble>,
) -> Result<String, Trouble> {
    let Some((tag, list)) = text.split_once(':').filter(|(_, list)| list.contains("URI=")) else {
        return Ok(text.to_string());
    };
    let mut out = format!("{tag}:");
    for (i, (name, value)) in attributes(line, list)?.into_iter().enumerate() {
        if i > 0 {
            out.push(',');
        }
        match name {
            "URI" => out += &format!("URI=\"{}\"", map(line, value.trim_matches('"'))?),
            _ => out += &format!("{name}={value}"),
        }
    }
    Ok(out)
}

/// Rewrites a multivariant playlist for a session that may have up to `most` kB a second. Where even the lowest is more,
/// the lowest is offered: the module's floor is a rung of the ladder, and the node's lowest is its nearest.
/// `give` makes the session's URI of a path within the title and what it will be asked for.
pub fn master(
    bytes: &[u8],
    place: &Place,
    most: f64,
    give: &dyn Fn(Ask, &str) -> String,
) -> Result<Master, Trouble> {
    let all: Vec<(usize, &str)> = lines(bytes)?.collect();
    let mut variants = Vec::new();
    let mut rate: Option<f64> = None;
    for &(line, text) in &all {
        if let Some(list) = text.strip_prefix("#EXT-X-STREAM-INF:") {
            let attributes = attributes(line, list)?;
            let bits = attributes
                .iter()
                .find(|(name, _)| *name == "BANDWIDTH")
                .and_then(|(_, v)| v.parse::<f64>().ok());
            let bits = bits.filter(|bits| bits.is_finite() && *bits > 0.0);
            let what = || "a variant without a BANDWIDTH".to_string();
            rate = Some(bits.ok_or_else(|| Trouble::Malformed { line, what: what() })? / 8e3);
        } else if !text.starts_with('#') && !text.trim().is_empty() {
            let Some(rate) = rate.take() else {
                let what = "a URI that no #EXT-X-STREAM-INF goes before".to_string();
                return Err(Trouble::Malformed { line, what });
            };
            variants.push(Variant { path: place.within(line, text.trim())?, rate });
        }
    }
    let offered = offered(&variants, most).ok_or(Trouble::NoVariant)?;
    let (mut text, mut number) = (String::with_capacity(bytes.len() * 2), 0);
    let mut held_back = String::new();
    for (line, now) in all {
        // Other renditions and trick play are playlists; keys and data are not.
        let playlist = ["#EXT-X-MEDIA:", "#EXT-X-I-FRAME-STREAM-INF:"].iter().any(|tag| now.starts_with(tag));
        let ask = if playlist { Ask::Media(None) } else { Ask::Part(None) };
        let shared = &mut |line: usize, uri: &str| Ok(give(ask, &place.within(line, uri)?));
        if now.starts_with("#EXT-X-STREAM-INF:") {
            held_back = format!("{now}\n");
        } else if now.starts_with("#EXT-X-I-FRAME-STREAM-INF:") {
            // Trick play is a variant as well: only those under the cap, and without them no more than fast forward.
            let bits = attributes(line, now.split_once(':').map_or("", |(_, list)| list))?;
            let bits =
                bits.iter().find(|(name, _)| *name == "BANDWIDTH").and_then(|(_, v)| v.parse::<f64>().ok());
            if bits.is_some_and(|bits| bits / 8e3 <= most) {
                text += &with_uri(line, now, shared)?;
                text.push('\n');
            }
        } else if now.starts_with('#') || now.trim().is_empty() {
            let into = if held_back.is_empty() { &mut text } else { &mut held_back };
            *into += &with_uri(line, now, shared)?;
            into.push('\n');
        } else {
            if offered.contains(&number) {
                text += &held_back;
                text += &give(Ask::Media(Some(number)), &variants[number].path);
                text.push('\n');
            }
            held_back.clear();
            number += 1;
        }
    }
    Ok(Master { text, left_out: variants.len() - offered.len(), variants })
}

/// The variants that fit, or the lowest of all; none if there is none.
pub fn offered(variants: &[Variant], most: f64) -> Option<Vec<usize>> {
    let fit: Vec<usize> = (0..variants.len()).filter(|&i| variants[i].rate <= most).collect();
    if !fit.is_empty() {
        return Some(fit);
    }
    let lowest = (0..variants.len()).min_by(|&a, &b| variants[a].rate.total_cmp(&variants[b].rate))?;
    Some(vec![lowest])
}

/// Rewrites a media playlist.
pub fn media(bytes: &[u8], place: &Place, give: &dyn Fn(&str) -> String) -> Result<Media, Trouble> {
    let mut out =
        Media { text: String::with_capacity(bytes.len() * 2), target: 0.0, ended: false, segments: 0 };
    let mut timed = false;
    for (line, text) in lines(bytes)? {
        let map = &mut |line: usize, uri: &str| Ok(give(&place.within(line, uri)?));
        if LOW_LATENCY.iter().any(|tag| text.starts_with(tag)) {
            continue;
        }
        if text.starts_with('#') || text.trim().is_empty() {
            if let Some(value) = text.strip_prefix("#EXT-X-TARGETDURATION:") {
                let target =
                    value.trim().parse::<f64>().ok().filter(|t| t.is_finite() && *t > 0.0 && *t <= 3600.0);
                let what = || format!("{:?} is no target duration", value.trim());
                out.target = target.ok_or_else(|| Trouble::Malformed { line, what: what() })?;
            }
            timed |= text.starts_with("#EXTINF:");
            out.ended |= text.trim_end() == "#EXT-X-ENDLIST";
            out.text += &with_uri(line, text, map)?;
        } else {
            if !std::mem::take(&mut timed) {
                return Err(Trouble::Malformed { line, what: "a segment without #EXTINF".to_string() });
            }
            out.segments += 1;
            out.text += &map(line, text.trim())?;
        }
        out.text.push('\n');
    }
    if out.target == 0.0 {
        return Err(Trouble::Malformed { line: 1, what: "no #EXT-X-TARGETDURATION follows".to_string() });
    }
    Ok(out)
}
