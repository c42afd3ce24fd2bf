//! Messages as types: read with every field checked, written anew.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::de::{Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::line;

/// Names a session on the wire: 16 hex digits, kept as they came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag([u8; 16]);

/// As it stands on the wire, so that one session can be followed through the logs.
impl std::fmt::Debug for Tag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

impl Tag {
    pub fn new(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Tag(digits))
    }

    pub fn of(number: u64) -> Tag {
        let mut digits = [b'0'; 16];
        let text = format!("{number:016x}");
        digits.copy_from_slice(text.as_bytes());
        Tag(digits)
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    Start,
    Pending,
    Started,
    Finish,
    Finished,
    Echo,
    Echoed,
    Notice,
    Move,
    Rate,
}

/// Fields by name, as text: a number on the wire is its digits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opts(BTreeMap<String, String>);

impl Opts {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// A figure, if it is one and finite.
    pub fn figure(&self, name: &str) -> Option<f64> {
        figure(self.get(name)?)
    }
}

pub fn figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|figure: &f64| figure.is_finite())
}

impl<'de> Deserialize<'de> for Opts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Opts, D::Error> {
        struct Fields;
        impl<'de> Visitor<'de> for Fields {
            type Value = Opts;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object of strings and numbers")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Opts, A::Error> {
                let mut fields = BTreeMap::new();
                while let Some((name, value)) = map.next_entry::<String, Scalar>()? {
                    if fields.contains_key(&name) {
                        return Err(A::Error::custom(format!("two fields named {name:?}")));
                    }
                    fields.insert(name, value.0);
                }
                Ok(Opts(fields))
            }
        }
        deserializer.deserialize_map(Fields)
    }
}

struct Scalar(String);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Scalar, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(serde_json::Number),
        }
        Ok(Scalar(match Either::deserialize(deserializer)? {
            Either::Text(text) => text,
            Either::Number(number) => number.to_string(),
        }))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub verb: Verb,
    pub tag: Option<Tag>,
    pub opts: Opts,
    pub cause: Option<u16>,
    pub description: Option<String>,
}

#[derive(Deserialize)]
struct Raw<'a> {
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
    /// Reads one line. A tag that isn't one is left out: whether that matters depends on who sent it.
    pub fn read(line: &[u8]) -> Result<Message, serde_json::Error> {
        // A list of the same values would be read as well, and is no message.
        if line.trim_ascii_start().first().is_some_and(|&first| first != b'{') {
            return Err(serde_json::Error::custom("an object is wanted"));
        }
        let raw: Raw = serde_json::from_slice(line)?;
        Ok(Message {
            verb: raw.verb,
            tag: raw.tag.and_then(|text| Tag::new(&text)),
            opts: raw.opts,
            cause: raw.rc,
            description: raw.blob,
        })
    }
}

/// A message to be written.
#[derive(Serialize)]
struct Written<'a> {
    verb: Verb,
    tag: &'a str,
    opts: BTreeMap<&'a str, &'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rc: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    blob: Option<&'a str>,
}

/// One line with its line feed; none where it would be longer than a message may be.
pub fn write(
    verb: Verb,
    tag: Tag,
    opts: &[(&str, &str)],
    cause: Option<u16>,
    description: Option<&str>,
) -> Option<Bytes> {
    let opts = opts.iter().copied().collect();
    let written = Written { verb, tag: tag.as_str(), opts, rc: cause, blob: description };
    let mut line = serde_json::to_vec(&written).ok()?;
    line.push(b'\n');
    (line.len() <= line::MOST).then(|| line.into())
}
