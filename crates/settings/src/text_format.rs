//! Parser for protobuf text format that records the line of each field, for the validation errors of its
//! callers.

use std::collections::BTreeMap;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage};

/// A parse or validation error, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {field}{}{reason}", if field.is_empty() { "" } else { ": " })]
pub struct SettingsError {
    /// Name of the file, as the caller gave it.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the field, such as `group[1].utility`. Empty for syntax errors.
    pub field: String,
    /// Description of the error.
    pub reason: String,
}

/// The name of a parsed file and the line of each of its fields. Builds the errors about these fields.
pub struct ParsedFile {
    file: String,
    lines: BTreeMap<String, usize>,
}

impl ParsedFile {
    /// Returns an error about a field. The line of a missing field is that of the closest enclosing message
    /// in the text, or 1.
    pub fn error(&self, field: &str, reason: impl Into<String>) -> SettingsError {
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
        SettingsError { file: self.file.clone(), line, field: field.to_string(), reason: reason.into() }
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing.
    pub fn required<T>(&self, field: &str, value: Option<T>) -> Result<T, SettingsError> {
        value.ok_or_else(|| self.error(field, "is missing"))
    }

    /// Returns the value of a required field whose value must be from `from` to `to`, both inclusive.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing, out of range or not a number.
    pub fn in_range(
        &self,
        field: &str,
        value: Option<f64>,
        from: f64,
        to: f64,
    ) -> Result<f64, SettingsError> {
        let value = self.required(field, value)?;
        if value >= from && value <= to {
            return Ok(value);
        }
        Err(self.error(field, format!("is {value}; expected {from} to {to}")))
    }

    /// Returns the index of `name` in `names`.
    ///
    /// # Errors
    ///
    /// Fails if `names` doesn't contain it.
    pub fn index_of(&self, field: &str, name: &str, names: &[String]) -> Result<usize, SettingsError> {
        names.iter().position(|known| known == name).ok_or_else(|| {
            self.error(field, format!("is {name:?}; expected one of: {}", format_names(names)))
        })
    }
}

fn format_names(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(", ") }
}

/// Parses text as the message type `name` of an encoded descriptor set.
///
/// # Errors
///
/// Fails if the text has a syntax error or doesn't match the message type.
pub fn parse<T: prost::Message + Default>(
    schema: &[u8],
    name: &str,
    file: &str,
    text: &str,
) -> Result<(T, ParsedFile), SettingsError> {
    let error_at =
        |line, reason: String| SettingsError { file: file.to_string(), line, field: String::new(), reason };
    let pool = DescriptorPool::decode(schema).map_err(|e| error_at(1, format!("invalid schema: {e}")))?;
    let descriptor = pool
        .get_message_by_name(name)
        .ok_or_else(|| error_at(1, format!("the schema has no message type {name}")))?;
    let parsed = DynamicMessage::parse_text_format(descriptor, text).map_err(|error| {
        let offset =
            error.labels().and_then(|mut labels| labels.next()).map_or(text.len(), |label| label.offset());
        let line = 1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|&&b| b == b'\n').count();
        let help = error.help().map(|help| format!("; {help}")).unwrap_or_default();
        let cause = std::error::Error::source(&error).map(|source| format!(": {source}")).unwrap_or_default();
        error_at(line, format!("{error}{cause}{help}"))
    })?;
    let value = parsed.transcode_to::<T>().map_err(|e| error_at(1, e.to_string()))?;
    Ok((value, ParsedFile { file: file.to_string(), lines: field_lines(text) }))
}

/// Returns the line of each field by path. The text has already been parsed successfully, so this scan only
/// distinguishes names, braces, strings and comments. The elements of a repeated field are numbered in order.
fn field_lines(text: &str) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    // Paths of the enclosing messages at the current position, outermost first.
    let mut open_messages: Vec<String> = Vec::new();
    let mut last_field = String::new();
    let (mut line, mut open_quote, mut in_comment) = (1, None, false);
    let mut word = String::new();
    let mut expects_value = false;
    let mut escaped = false;
    for c in text.chars() {
        if c == '\n' {
            (line, in_comment) = (line + 1, false);
        }
        if in_comment {
            continue;
        }
        if let Some(quote) = open_quote {
            if escaped {
                escaped = false;
            } else if c == '\\' {
                escaped = true;
            } else if c == quote {
                open_quote = None;
            }
            continue;
        }
        if c.is_alphanumeric() || matches!(c, '_' | '.' | '+' | '-') {
            word.push(c);
            continue;
        }
        // The end of a word, which is a field name unless it is in the position of a value.
        if !word.is_empty() {
            if expects_value {
                expects_value = false;
            } else {
                let prefix = open_messages.last().map(|path| format!("{path}.")).unwrap_or_default();
                let unindexed_path = format!("{prefix}{word}");
                let count = counts.entry(unindexed_path.clone()).or_default();
                last_field = format!("{unindexed_path}[{count}]");
                *count += 1;
                lines.entry(unindexed_path).or_insert(line);
                lines.insert(last_field.clone(), line);
            }
            word.clear();
        }
        match c {
            ':' => expects_value = true,
            '{' | '<' => {
                // The path with the index; paths without indices are added at the end.
                open_messages.push(last_field.clone());
                expects_value = false;
            }
            '}' | '>' => {
                open_messages.pop();
                expects_value = false;
            }
            ',' | ';' => expects_value = false,
            '"' | '\'' => (open_quote, expects_value) = (Some(c), false),
            '#' => in_comment = true,
            _ => {}
        }
    }
    // Paths may leave out the index of a message's first occurrence.
    let unindexed: Vec<(String, usize)> =
        lines.iter().map(|(path, &line)| (path.replace("[0]", ""), line)).collect();
    for (path, line) in unindexed {
        lines.entry(path).or_insert(line);
    }
    lines
}
