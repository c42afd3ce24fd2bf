//! Reading protobuf text format, with the line of each field kept for the checks that follow.

use std::collections::BTreeMap;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {field}{}{what}", if field.is_empty() { "" } else { ": " })]
pub struct Trouble {
    pub file: String,
    /// From 1.
    pub line: usize,
    /// Path of the field, as `group[1].utility`; empty where the text itself can't be read.
    pub field: String,
    pub what: String,
}

/// A file that was read, for errors about its fields.
pub struct Source {
    file: String,
    lines: BTreeMap<String, usize>,
}

impl Source {
    /// The trouble with one field; one that is left out is placed where its message begins.
    pub fn trouble(&self, field: &str, what: impl Into<String>) -> Trouble {
        let mut path = field;
        let line = loop {
            if let Some(&line) = self.lines.get(path) {
                break line;
            }
            match path.rfind('.') {
                Some(dot) => path = &path[..dot],
                None => break 1,
            }
        };
        Trouble { file: self.file.clone(), line, field: field.to_string(), what: what.into() }
    }

    /// A field that must be there.
    pub fn need<T>(&self, field: &str, value: Option<T>) -> Result<T, Trouble> {
        value.ok_or_else(|| self.trouble(field, "is left out"))
    }

    /// A field that must be there and within bounds, both included.
    pub fn within(&self, field: &str, value: Option<f64>, from: f64, to: f64) -> Result<f64, Trouble> {
        let value = self.need(field, value)?;
        if value >= from && value <= to {
            return Ok(value);
        }
        Err(self.trouble(field, format!("is {value}; {from} to {to} is wanted")))
    }

    /// The place of `name` among `names`.
    pub fn one_of(&self, field: &str, name: &str, names: &[String]) -> Result<usize, Trouble> {
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| self.trouble(field, format!("names {name:?}; there is {}", list(names))))
    }
}

fn list(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(", ") }
}

/// Reads text as the message `name` of a compiled schema.
pub fn read<T: prost::Message + Default>(
    schema: &[u8],
    name: &str,
    file: &str,
    text: &str,
) -> Result<(T, Source), Trouble> {
    let at = |line, what: String| Trouble { file: file.to_string(), line, field: String::new(), what };
    let pool = DescriptorPool::decode(schema).map_err(|e| at(1, format!("the schema: {e}")))?;
    let message = pool.get_message_by_name(name).ok_or_else(|| at(1, format!("no schema named {name}")))?;
    let parsed = DynamicMessage::parse_text_format(message, text).map_err(|error| {
        let offset = error.labels().and_then(|mut labels| labels.next()).map_or(text.len(), |l| l.offset());
        let line = 1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|&&b| b == b'\n').count();
        let detail = error.help().map(|help| format!("; {help}")).unwrap_or_default();
        let why = std::error::Error::source(&error).map(|source| format!(": {source}")).unwrap_or_default();
        at(line, format!("{error}{why}{detail}"))
    })?;
    let value = parsed.transcode_to::<T>().map_err(|e| at(1, e.to_string()))?;
    Ok((value, Source { file: file.to_string(), lines: lines(text) }))
}

/// The line of each field, by path: a light pass over text that has already been parsed, so it only needs to tell
/// names, braces, strings and comments apart. A repeated field is numbered in its order.
fn lines(text: &str) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    // Paths of the messages that are open.
    let mut open: Vec<String> = Vec::new();
    let mut last = String::new();
    let (mut line, mut quote, mut comment) = (1, None, false);
    let mut word = String::new();
    let mut value = false;
    let mut skip = false;
    for c in text.chars() {
        if c == '\n' {
            (line, comment) = (line + 1, false);
        }
        if comment {
            continue;
        }
        if let Some(mark) = quote {
            if skip {
                skip = false;
            } else if c == '\\' {
                skip = true;
            } else if c == mark {
                quote = None;
            }
            continue;
        }
        if c.is_alphanumeric() || matches!(c, '_' | '.' | '+' | '-') {
            word.push(c);
            continue;
        }
        // A word ends. It names a field unless it stands where a value does.
        if !word.is_empty() {
            if value {
                value = false;
            } else {
                let prefix = open.last().map(|path| format!("{path}.")).unwrap_or_default();
                let plain = format!("{prefix}{word}");
                let count = counts.entry(plain.clone()).or_default();
                last = format!("{plain}[{count}]");
                *count += 1;
                lines.entry(plain).or_insert(line);
                lines.insert(last.clone(), line);
            }
            word.clear();
        }
        match c {
            ':' => value = true,
            '{' | '<' => {
                // One message of a kind is named without its number as well.
                open.push(last.clone());
                value = false;
            }
            '}' | '>' => {
                open.pop();
                value = false;
            }
            ',' | ';' => value = false,
            '"' | '\'' => (quote, value) = (Some(c), false),
            '#' => comment = true,
            _ => {}
        }
    }
    // Paths through single messages may be written without numbers.
    let plain: Vec<(String, usize)> = lines.iter().map(|(path, &at)| (path.replace("[0]", ""), at)).collect();
    for (path, at) in plain {
        lines.entry(path).or_insert(at);
    }
    lines
}
