//! Node list files of the directors, with the delays of discovery.

use std::path::PathBuf;
use std::sync::Mutex;

use ashglade::time::Instant;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};
use ashglade_judge::What;
use ashglade_settings::{Names, write_boxes};
use ashglade_standin::Log;

/// The node lists of all directors.
pub struct Lists {
    names: Names,
    log: Log,
    /// By director: its file, and the list as last written.
    files: Mutex<Vec<(PathBuf, NodeList)>>,
    /// Current extra delay of list updates, in seconds.
    stale: Mutex<f64>,
}

impl Lists {
    /// `of` holds, by director, its folder and the nodes with the addresses at which it reaches them.
    pub fn new(names: Names, log: Log, of: Vec<(PathBuf, Vec<NodeEntry>)>) -> Lists {
        let list = |entries| NodeList { generation: 1, entries };
        let files = of.into_iter().map(|(f, entries)| (f.join("boxes.txtpb"), list(entries))).collect();
        Lists { names, log, files: Mutex::new(files), stale: Mutex::new(0.0) }
    }

    /// The current extra delay of list updates, in seconds.
    pub fn stale(&self) -> f64 {
        *self.stale.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Sets the extra delay of list updates, in seconds.
    pub fn set_stale(&self, seconds: f64) {
        *self.stale.lock().unwrap_or_else(|broken| broken.into_inner()) = seconds;
    }

    /// Writes all lists in their current state.
    pub fn write_all(&self) -> std::io::Result<()> {
        let files = self.files.lock().unwrap_or_else(|broken| broken.into_inner());
        files.iter().try_for_each(|(path, list)| put(path, &write_boxes(list, &self.names)))
    }

    /// Updates the state of a node in all lists, and its start time (milliseconds) if given.
    pub fn tell(&self, node: usize, standing: NodeState, started: Option<f64>) -> std::io::Result<()> {
        let mut files = self.files.lock().unwrap_or_else(|broken| broken.into_inner());
        for (director, (path, list)) in files.iter_mut().enumerate() {
            let Some(entry) = list.entries.get_mut(node) else { continue };
            entry.state = standing;
            if let Some(started) = started {
                entry.info.started = Some(Instant::from_ms(started.floor()));
            }
            let node = entry.name.clone();
            list.generation += 1;
            put(path, &write_boxes(list, &self.names))?;
            let (director, ready) = (director as u16, standing == NodeState::Ready);
            self.log.saw(What::Listed { director, node, ready });
        }
        Ok(())
    }
}

/// Replaces a file atomically, so that no reader sees a partial list.
fn put(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}
