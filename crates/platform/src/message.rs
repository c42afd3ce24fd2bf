//! Protocol messages as types: incoming lines are parsed with every field checked, outgoing lines are encoded
//! from checked values.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::de::{Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::line_decoder;

/// Identifies a session in the protocol: 16 hex digits, kept in the case in which they were received.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag([u8; 16]);

/// Prints the digits alone, as in the protocol, so that one session can be followed through the logs.
impl std::fmt::Debug for Tag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

impl Tag {
    /// Returns the tag written in `text`, or `None` unless that is exactly 16 hex digits.
    pub fn new(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Tag(digits))
    }

    /// Returns the tag with the digits of `number`, in lower case.
    pub fn from_number(number: u64) -> Tag {
        let mut digits = [b'0'; 16];
        let text = format!("{number:016x}");
        digits.copy_from_slice(text.as_bytes());
        Tag(digits)
    }

    /// Returns the digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a message asks for or reports; written in upper case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    /// SETUP request, from a viewer or to a node.
    Start,
    /// A node has received the SETUP.
    Pending,
    /// The session is set up.
    Started,
    /// Release: refuses or cancels a SETUP, or ends a playing session. Carries a cause.
    Finish,
    /// Confirms a release.
    Finished,
    /// Health check.
    Echo,
    /// Reply to a health check; cause 1 means that it passed.
    Echoed,
    /// A node's report: its load, the share delivered, or the rung in force.
    Notice,
    /// Asks the viewer to set its session up again.
    Move,
    /// Changes the rung of a playing session.
    Rate,
}

/// Names of the fields that are used. Others are checked and dropped, so that a message needs no more memory
/// than its line.
const FIELD_NAMES: [&str; 8] = ["class", "extras", "key", "left", "load", "note", "tenant", "value"];

/// The named fields of a message that are used, as text. Numbers keep their digits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opts(BTreeMap<String, String>);

impl Opts {
    /// Returns the text of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Returns the value of a field if it is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        parse_finite(self.get(name)?)
    }
}

/// Parses a finite number.
pub fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

impl<'de> Deserialize<'de> for Opts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Opts, D::Error> {
        struct OptsVisitor;
        impl<'de> Visitor<'de> for OptsVisitor {
            type Value = Opts;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object of strings and numbers")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Opts, A::Error> {
                let mut fields = BTreeMap::new();
                while let Some((name, value)) = map.next_entry::<String, Scalar>()? {
                    if fields.contains_key(&name) {
                        return Err(A::Error::custom(format!("duplicate field {name:?}")));
                    }
                    fields.insert(name, value.0);
                }
                fields.retain(|name, _| FIELD_NAMES.contains(&name.as_str()));
                Ok(Opts(fields))
            }
        }
        deserializer.deserialize_map(OptsVisitor)
    }
}

/// A string or a number, as text.
struct Scalar(String);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Scalar, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum TextOrNumber {
            Text(String),
            Number(serde_json::Number),
        }
        Ok(Scalar(match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Text(text) => text,
            TextOrNumber::Number(number) => number.to_string(),
        }))
    }
}

/// A received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What the message asks for or reports.
    pub verb: Verb,
    /// The session that it is about; `None` if the tag is missing or malformed.
    pub tag: Option<Tag>,
    /// Further fields by name.
    pub opts: Opts,
    /// Cause of a release, or result of a health check (`rc`).
    pub cause: Option<u16>,
    /// Session description of a SETUP or of its answer (`blob`).
    pub description: Option<String>,
}

/// The JSON object of an incoming message.
#[derive(Deserialize)]
struct IncomingMessage<'a> {
    verb: Verb,
    #[serde(default, borrow)]
    tag: Option<Cow<'a, str>>,
    #[serde(default)]
    opts: Opts,
    #[serde(default)]
    rc: Option<u16>,
    #[serde(default)]
    blob: Option<String>,
}

impl Message {
    /// Parses one line. A malformed tag is read as none: whether the message can do without depends on its
    /// sender.
    pub fn parse(line: &[u8]) -> Result<Message, serde_json::Error> {
        // serde would also accept a JSON array with the values in order, which the protocol does not allow.
        if line.trim_ascii_start().first().is_some_and(|&first| first != b'{') {
            return Err(serde_json::Error::custom("expected a JSON object"));
        }
        let incoming: IncomingMessage = serde_json::from_slice(line)?;
        Ok(Message {
            verb: incoming.verb,
            tag: incoming.tag.and_then(|text| Tag::new(&text)),
            opts: incoming.opts,
            cause: incoming.rc,
            description: incoming.blob,
        })
    }

    /// Returns the number of bytes of the message's texts.
    pub fn text_bytes(&self) -> usize {
        self.opts.0.values().map(String::len).sum::<usize>()
            + self.description.as_ref().map_or(0, String::len)
    }
}

/// The JSON object of an outgoing message.
#[derive(Serialize)]
struct OutgoingMessage<'a> {
    verb: Verb,
    tag: &'a str,
    opts: BTreeMap<&'a str, &'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rc: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    blob: Option<&'a str>,
}

/// Encodes a message as one line that ends in a line feed. Returns `None` if the message, without the line feed,
/// would exceed [`line_decoder::MAX_LINE_BYTES`]: the same limit as for received messages.
pub fn encode(
    verb: Verb,
    tag: Tag,
    opts: &[(&str, &str)],
    cause: Option<u16>,
    description: Option<&str>,
) -> Option<Bytes> {
    let opts = opts.iter().copied().collect();
    let outgoing = OutgoingMessage { verb, tag: tag.as_str(), opts, rc: cause, blob: description };
    let mut line = serde_json::to_vec(&outgoing).ok()?;
    if line.len() > line_decoder::MAX_LINE_BYTES {
        return None;
    }
    line.push(b'\n');
    // Without the spare capacity, which may be as large as the line.
    Some(line.into_boxed_slice().into())
}
