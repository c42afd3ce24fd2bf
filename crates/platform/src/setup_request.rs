//! A viewer's SETUP request, parsed into the engine's terms. Every field is checked against the settings: an
//! invalid request is refused and reaches no node.

use ashglade::ids::{CellId, GroupId, Rung, TitleId};
use ashglade::time::Span;
use ashglade_engine::ViewerRequest;
use ashglade_site::{DirectorSettings, name_index};

use crate::message::{Message, parse_finite};

/// A valid SETUP request, or a handover of a playing session.
#[derive(Debug, PartialEq)]
pub struct SetupRequest {
    /// The request in the engine's terms.
    pub viewer_request: ViewerRequest,
    /// Name of the service group, forwarded to the node.
    pub class: String,
    /// Title in hex digits, forwarded to the node.
    pub key: String,
    /// Session description, forwarded to the node.
    pub description: String,
    /// Name of the node where the session plays already, if it is handed over.
    pub playing_node: Option<String>,
}

/// An invalid field of a request.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct RequestError {
    /// Name of the field in the protocol.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

fn invalid(field: &'static str, reason: impl Into<String>) -> RequestError {
    RequestError { field, reason: reason.into() }
}

/// Values of the field `extras`, a list such as `home:0;copies:3`. Unknown names are ignored.
#[derive(Default)]
struct Extras<'a> {
    home: Option<&'a str>,
    copies: Option<&'a str>,
    top: Option<&'a str>,
    viewer: Option<&'a str>,
    at: Option<&'a str>,
}

impl<'a> Extras<'a> {
    fn parse(text: &'a str) -> Result<Extras<'a>, RequestError> {
        let mut extras = Extras::default();
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| invalid("extras", format!("{pair:?} has no value")))?;
            let field = match name {
                "home" => &mut extras.home,
                "copies" => &mut extras.copies,
                "top" => &mut extras.top,
                "viewer" => &mut extras.viewer,
                "at" => &mut extras.at,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(invalid("extras", format!("duplicate {name}")));
            }
        }
        Ok(extras)
    }
}

/// Parses an integer from `min` to `max`.
fn parse_integer(field: &'static str, text: Option<&str>, min: u16, max: u16) -> Result<u16, RequestError> {
    let text = text.ok_or_else(|| invalid(field, "is missing"))?;
    let in_range = |number: &f64| number.fract() == 0.0 && (f64::from(min)..=f64::from(max)).contains(number);
    let number = parse_finite(text).filter(in_range);
    number
        .map(|n| n as u16)
        .ok_or_else(|| invalid(field, format!("{text:?} is not an integer from {min} to {max}")))
}

/// Returns whether the message hands over a session that already plays at a node.
pub fn is_handover(message: &Message) -> bool {
    let extras = message.opts.get("extras").map(Extras::parse);
    extras.is_some_and(|extras| extras.is_ok_and(|extras| extras.at.is_some()))
}

/// Parses a SETUP request and checks it against the settings.
pub fn parse(message: &Message, site: &DirectorSettings) -> Result<SetupRequest, RequestError> {
    let opts = &message.opts;
    let class = opts.get("class").ok_or_else(|| invalid("class", "is missing"))?;
    let group = name_index(&site.names.groups, class)
        .ok_or_else(|| invalid("class", format!("{class:?} is unknown")))?;
    let tenant = match opts.get("tenant") {
        Some(name) if !site.names.tenants.is_empty() => name_index(&site.names.tenants, name)
            .ok_or_else(|| invalid("tenant", format!("{name:?} is unknown")))?,
        _ => 0,
    };
    let extras = Extras::parse(opts.get("extras").unwrap_or_default())?;
    let key = opts.get("key").ok_or_else(|| invalid("key", "is missing"))?;
    let is_hex_u64 =
        |text: &str| !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let title = Some(key).filter(|key| is_hex_u64(key)).and_then(|key| u64::from_str_radix(key, 16).ok());
    let title =
        title.ok_or_else(|| invalid("key", format!("{key:?} is not a number of up to 16 hex digits")))?;
    let setup_timeout = match opts.get("left") {
        // A session that plays already needs no answer.
        _ if extras.at.is_some() => Span::ZERO,
        None => return Err(invalid("left", "is missing")),
        Some(text) => {
            // No viewer waits longer than the setup timeout of its service group.
            let max_ms = site.setup_timeouts.get(group).copied().flatten().map_or(f64::INFINITY, Span::as_ms);
            let left_ms = parse_finite(text).filter(|&ms| ms > 0.0 && ms <= max_ms.min(1e9) + 1.0);
            Span::from_ms(
                left_ms
                    .ok_or_else(|| invalid("left", format!("{text:?} is not a time of up to {max_ms} ms")))?,
            )
        }
    };
    let cells = site.director.cell_count;
    let description = message.description.clone().ok_or_else(|| invalid("blob", "is missing"))?;
    Ok(SetupRequest {
        viewer_request: ViewerRequest {
            group: GroupId(group),
            title: TitleId(title),
            top_rung: Rung(parse_integer("top", extras.top, 0, u16::from(u8::MAX))? as u8),
            first_cell: CellId(parse_integer("home", extras.home, 0, cells.saturating_sub(1))?),
            cell_count: parse_integer("copies", extras.copies, 1, cells)?,
            setup_timeout,
            tenant,
            client: extras.viewer.and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0),
        },
        class: class.to_string(),
        key: key.to_string(),
        description,
        playing_node: extras.at.map(str::to_string),
    })
}
