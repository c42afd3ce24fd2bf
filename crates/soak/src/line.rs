//! Lines of the platform's protocol, as the stand-ins read and write them. Shares no code with the director.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub verb: String,
    pub tag: String,
    #[serde(default)]
    pub opts: BTreeMap<String, serde_json::Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rc: Option<u16>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blob: Option<String>,
}

impl Line {
    pub fn new(verb: &str, tag: &str) -> Line {
        Line { verb: verb.to_string(), tag: tag.to_string(), opts: BTreeMap::new(), rc: None, blob: None }
    }

    pub fn with_cause(self, cause: u16) -> Line {
        Line { rc: Some(cause), ..self }
    }

    pub fn with_description(self, text: String) -> Line {
        Line { blob: Some(text), ..self }
    }

    pub fn with_option(mut self, name: &str, value: String) -> Line {
        self.opts.insert(name.to_string(), value.into());
        self
    }

    /// Returns an option's value if it is a string.
    pub fn option(&self, name: &str) -> Option<&str> {
        self.opts.get(name)?.as_str()
    }

    pub fn parse(text: &str) -> Option<Line> {
        serde_json::from_str(text).ok()
    }

    /// Returns the line with its line feed.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }
}

/// Description that the stand-in node gives a session, which only a node can know.
pub fn description(tag: &str, node: &str) -> String {
    format!("session {tag} at {node}\r\n")
}
