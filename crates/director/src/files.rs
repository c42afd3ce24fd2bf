//! Files that settings name, and what may be wrong with them at start.

use std::path::{Path, PathBuf};

use ashglade_ledger::journal;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("{path}: {source}")]
    Read { path: PathBuf, source: std::io::Error },
    #[error(transparent)]
    Settings(#[from] ashglade_settings::Trouble),
    #[error("{path}: {source}")]
    List { path: PathBuf, source: ashglade_discovery::ListError },
    #[error("no box list: {0}")]
    NoList(String),
    #[error("{path}: {source}")]
    Ledger { path: PathBuf, source: journal::JournalError },
    #[error("listening at {address}: {source}")]
    Listen { address: std::net::SocketAddr, source: std::io::Error },
    #[error("signals can't be caught: {0}")]
    Signals(std::io::Error),
}

/// A file that settings name, from the folder of the settings.
pub fn beside(settings: &Path, name: &str) -> PathBuf {
    settings.parent().unwrap_or(Path::new(".")).join(name)
}

/// Replaces a file whole: no reader sees half of it.
pub fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
}

pub fn read(path: &Path) -> Result<String, Trouble> {
    std::fs::read_to_string(path).map_err(|source| Trouble::Read { path: path.to_path_buf(), source })
}
