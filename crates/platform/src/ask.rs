//! A viewer's set-up, read into what the engine is asked. Every field is checked against the settings: what can't be
//! meant is told to its sender and reaches no node.

use ashglade::ids::{CellId, GroupId, Rung, TitleId};
use ashglade::time::Span;
use ashglade_engine::ViewerRequest;
use ashglade_site::{DirectorSettings, name_index};

use crate::message::{Message, figure};

#[derive(Debug, PartialEq)]
pub struct Ask {
    pub want: ViewerRequest,
    pub class: String,
    pub key: String,
    pub description: String,
    /// The node where it plays already, by name.
    pub plays_at: Option<String>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {what}")]
pub struct Trouble {
    pub field: &'static str,
    pub what: String,
}

fn wrong(field: &'static str, what: impl Into<String>) -> Trouble {
    Trouble { field, what: what.into() }
}

/// The figures of `extras`, by name.
#[derive(Default)]
struct Extras<'a> {
    home: Option<&'a str>,
    copies: Option<&'a str>,
    top: Option<&'a str>,
    viewer: Option<&'a str>,
    at: Option<&'a str>,
}

impl<'a> Extras<'a> {
    fn read(text: &'a str) -> Result<Extras<'a>, Trouble> {
        let mut extras = Extras::default();
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| wrong("extras", format!("{pair:?} has no value")))?;
            let field = match name {
                "home" => &mut extras.home,
                "copies" => &mut extras.copies,
                "top" => &mut extras.top,
                "viewer" => &mut extras.viewer,
                "at" => &mut extras.at,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(wrong("extras", format!("{name} twice")));
            }
        }
        Ok(extras)
    }
}

/// A whole number from `least` to `most`.
fn whole(field: &'static str, text: Option<&str>, least: u16, most: u16) -> Result<u16, Trouble> {
    let text = text.ok_or_else(|| wrong(field, "is missing"))?;
    let fits = |figure: &f64| figure.fract() == 0.0 && (f64::from(least)..=f64::from(most)).contains(figure);
    let figure = figure(text).filter(fits);
    figure.map(|f| f as u16).ok_or_else(|| wrong(field, format!("{text:?} is not from {least} to {most}")))
}

/// It plays at a node already, by its own word.
pub fn is_handed_over(message: &Message) -> bool {
    let extras = message.opts.get("extras").map(Extras::read);
    extras.is_some_and(|extras| extras.is_ok_and(|extras| extras.at.is_some()))
}

pub fn read(message: &Message, site: &DirectorSettings) -> Result<Ask, Trouble> {
    let opts = &message.opts;
    let class = opts.get("class").ok_or_else(|| wrong("class", "is missing"))?;
    let group = name_index(&site.names.groups, class)
        .ok_or_else(|| wrong("class", format!("{class:?} is unknown")))?;
    let tenant = match opts.get("tenant") {
        Some(name) if !site.names.tenants.is_empty() => name_index(&site.names.tenants, name)
            .ok_or_else(|| wrong("tenant", format!("{name:?} is unknown")))?,
        _ => 0,
    };
    let extras = Extras::read(opts.get("extras").unwrap_or_default())?;
    let key = opts.get("key").ok_or_else(|| wrong("key", "is missing"))?;
    let hex =
        |text: &str| !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let title = Some(key).filter(|key| hex(key)).and_then(|key| u64::from_str_radix(key, 16).ok());
    let title = title.ok_or_else(|| wrong("key", format!("{key:?} is not a title")))?;
    let setup_timeout = match opts.get("left") {
        // A session that plays waits for nothing.
        _ if extras.at.is_some() => Span::ZERO,
        None => return Err(wrong("left", "is missing")),
        Some(text) => {
            // No viewer waits longer than its service group's setup timeout.
            let most = site.setup_timeouts.get(group).copied().flatten().map_or(f64::INFINITY, Span::as_ms);
            let left = figure(text).filter(|&ms| ms > 0.0 && ms <= most.min(1e9) + 1.0);
            Span::from_ms(left.ok_or_else(|| wrong("left", format!("{text:?} is not up to {most} ms")))?)
        }
    };
    let cells = site.director.cell_count;
    let description = message.description.clone().ok_or_else(|| wrong("blob", "is missing"))?;
    Ok(Ask {
        want: ViewerRequest {
            group: GroupId(group),
            title: TitleId(title),
            top_rung: Rung(whole("top", extras.top, 0, u16::from(u8::MAX))? as u8),
            first_cell: CellId(whole("home", extras.home, 0, cells.saturating_sub(1))?),
            cell_count: whole("copies", extras.copies, 1, cells)?,
            setup_timeout,
            tenant,
            client: extras.viewer.and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0),
        },
        class: class.to_string(),
        key: key.to_string(),
        description,
        plays_at: extras.at.map(str::to_string),
    })
}
