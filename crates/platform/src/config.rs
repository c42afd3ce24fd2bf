//! The configuration that the platform hands to a director. It is accepted as a whole or not at all.

use std::net::SocketAddr;

use ashglade_site::DirectorSettings;
use serde::Deserialize;

use crate::bus::Batch;

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this director.
    pub name: String,
    /// Address on which viewers are accepted.
    pub listen: SocketAddr,
    /// Address of the event bus.
    pub bus: SocketAddr,
    /// Resources that the process may use.
    pub limits: Limits,
    /// Events with the media nodes that are known at start.
    pub known_nodes: Batch,
    /// The settings, in parsed form.
    pub site: DirectorSettings,
    /// Text of the settings, kept to detect changes.
    settings: Box<str>,
}

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The JSON object of the configuration.
#[derive(Deserialize)]
struct RawConfig<'a> {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    bus: SocketAddr,
    #[serde(rename = "known")]
    known_nodes: Batch,
    #[serde(borrow)]
    settings: &'a serde_json::value::RawValue,
}

impl Config {
    /// Parses the configuration. An error names the field and the value at fault.
    pub fn parse(text: &str) -> Result<Config, String> {
        let json = &mut serde_json::Deserializer::from_str(text);
        let raw: RawConfig =
            serde_path_to_error::deserialize(&mut *json).map_err(|e| ashglade_site::describe_error(&e))?;
        json.end().map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| format!("seed: {:?} is not a number of up to 16 hex digits", raw.seed))?;
        if raw.limits.sockets < 16 {
            return Err(format!("limits.sockets: {} is below the minimum of 16", raw.limits.sockets));
        }
        if raw.limits.memory_mb <= 0.0 {
            return Err(format!("limits.memory_mb: {} is not above 0", raw.limits.memory_mb));
        }
        let site = ashglade_site::parse(seed, raw.settings.get().as_bytes())?;
        let settings = raw.settings.get().into();
        let RawConfig { name, listen, bus, limits, known_nodes, .. } = raw;
        Ok(Config { name, listen, bus, limits, known_nodes, site, settings })
    }

    /// Names the fields that differ from the `current` configuration and take effect only after a restart.
    /// The node list is not among them, as its changes come by the event bus; nor is the seed, which is drawn
    /// anew for each start.
    pub fn fields_requiring_restart(&self, current: &Config) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != current.name),
            ("listen", self.listen != current.listen),
            ("limits", self.limits != current.limits),
            ("settings", self.settings != current.settings),
        ];
        differ.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
