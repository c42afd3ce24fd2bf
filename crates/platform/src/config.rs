//! The configuration that the platform hands to a director: read whole or not at all.

use std::net::SocketAddr;

use ashglade_site::DirectorSettings;
use serde::Deserialize;

use crate::bus::Batch;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub bus: SocketAddr,
    pub limits: Limits,
    pub known: Batch,
    pub site: DirectorSettings,
    /// As they stood, so that a change is seen.
    settings: Box<str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

#[derive(Deserialize)]
struct Raw<'a> {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    bus: SocketAddr,
    known: Batch,
    #[serde(borrow)]
    settings: &'a serde_json::value::RawValue,
}

impl Config {
    pub fn read(text: &str) -> Result<Config, String> {
        let json = &mut serde_json::Deserializer::from_str(text);
        let raw: Raw =
            serde_path_to_error::deserialize(&mut *json).map_err(|e| ashglade_site::describe_error(&e))?;
        json.end().map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| format!("seed: {:?} is not a number of up to 16 hex digits", raw.seed))?;
        if raw.limits.sockets < 16 {
            return Err(format!("limits.sockets: {} are too few to serve with", raw.limits.sockets));
        }
        if raw.limits.memory_mb <= 0.0 {
            return Err(format!("limits.memory_mb: {} leave no room to serve in", raw.limits.memory_mb));
        }
        let site = ashglade_site::parse(seed, raw.settings.get().as_bytes())?;
        let settings = raw.settings.get().into();
        let Raw { name, listen, bus, limits, known, .. } = raw;
        Ok(Config { name, listen, bus, limits, known, site, settings })
    }

    /// The fields that a running director doesn't take from a new configuration, where they differ. The list comes by
    /// the bus, and the seed is of one start.
    pub fn waits_for_a_restart(&self, held: &Config) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != held.name),
            ("listen", self.listen != held.listen),
            ("limits", self.limits != held.limits),
            ("settings", self.settings != held.settings),
        ];
        differ.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
