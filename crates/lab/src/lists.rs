//! Box lists as directors get to see them: late, and later still where that is the day's trouble.

use std::path::PathBuf;
use std::sync::Mutex;

use ashglade::time::Instant;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};
use ashglade_judge::What;
use ashglade_settings::{Names, write_boxes};
use ashglade_standin::Log;

pub struct Lists {
    names: Names,
    log: Log,
    /// By director: its file and the list as last written.
    files: Mutex<Vec<(PathBuf, NodeList)>>,
    /// How much later than usual lists come just now, in seconds.
    stale: Mutex<f64>,
}

impl Lists {
    /// By director: its folder, and the nodes as it finds them.
    pub fn new(names: Names, log: Log, of: Vec<(PathBuf, Vec<NodeEntry>)>) -> Lists {
        let list = |entries| NodeList { generation: 1, entries };
        let files = of.into_iter().map(|(f, entries)| (f.join("boxes.txtpb"), list(entries))).collect();
        Lists { names, log, files: Mutex::new(files), stale: Mutex::new(0.0) }
    }

    pub fn stale(&self) -> f64 {
        *self.stale.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn set_stale(&self, seconds: f64) {
        *self.stale.lock().unwrap_or_else(|broken| broken.into_inner()) = seconds;
    }

    /// Writes all lists as they stand.
    pub fn write_all(&self) -> std::io::Result<()> {
        let files = self.files.lock().unwrap_or_else(|broken| broken.into_inner());
        files.iter().try_for_each(|(path, list)| put(path, &write_boxes(list, &self.names)))
    }

    /// Tells every director that a node now stands so, and when it started if that is new.
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

/// Replaces a file whole: no reader sees half of it.
fn put(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}
