//! Files named in the settings, and the errors that prevent a director from starting.

use std::path::{Path, PathBuf};

use ashglade_ledger::journal;

/// Why a director can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// A file can't be read, created or replaced.
    #[error("{path}: {source}")]
    Read { path: PathBuf, source: std::io::Error },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] ashglade_settings::SettingsError),
    /// The node list kept by an earlier run is invalid.
    #[error("{path}: {source}")]
    List { path: PathBuf, source: ashglade_discovery::ListError },
    /// None of the files holds a valid node list, and none was kept by an earlier run.
    #[error("no node list: {0}")]
    NoList(String),
    /// The session ledger holds an invalid entry.
    #[error("{path}: {source}")]
    Ledger { path: PathBuf, source: journal::JournalError },
    /// An address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen { address: std::net::SocketAddr, source: std::io::Error },
    /// The handlers of SIGTERM and SIGINT can't be installed.
    #[error("can't install the signal handlers: {0}")]
    Signals(std::io::Error),
}

/// Resolves a path in the settings relative to the folder of the settings file.
pub fn resolve_path(settings: &Path, name: &str) -> PathBuf {
    settings.parent().unwrap_or(Path::new(".")).join(name)
}

/// Replaces a file atomically, so that no reader sees it partly written.
pub fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// Reads a file that a director needs in order to start.
pub fn read_file(path: &Path) -> Result<String, StartupError> {
    std::fs::read_to_string(path).map_err(|source| StartupError::Read { path: path.to_path_buf(), source })
}
