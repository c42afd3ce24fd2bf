//! Node list files of the directors, with the delays of discovery.

use std::path::PathBuf;
use std::sync::Mutex;

use ashglade::time::Instant;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};
use ashglade_judge::EventKind;
use ashglade_settings::{HeadendNames, format_node_list};
use ashglade_standin::TrafficRecorder;

/// The node lists of all directors.
pub struct NodeLists {
    names: HeadendNames,
    log: TrafficRecorder,
    /// By director: its file, and the list as last written.
    files: Mutex<Vec<(PathBuf, NodeList)>>,
    /// Current extra delay of list updates, in seconds.
    extra_delay_s: Mutex<f64>,
}

impl NodeLists {
    /// `of` holds, by director, its folder and the nodes with the addresses at which it reaches them.
    pub fn new(
        names: HeadendNames,
        log: TrafficRecorder,
        folders_and_nodes: Vec<(PathBuf, Vec<NodeEntry>)>,
    ) -> NodeLists {
        let list = |entries| NodeList { generation: 1, entries };
        let files = folders_and_nodes
            .into_iter()
            .map(|(folder, entries)| (folder.join("boxes.txtpb"), list(entries)))
            .collect();
        NodeLists { names, log, files: Mutex::new(files), extra_delay_s: Mutex::new(0.0) }
    }

    /// The current extra delay of list updates, in seconds.
    pub fn extra_delay(&self) -> f64 {
        *self.extra_delay_s.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the extra delay of list updates, in seconds.
    pub fn set_extra_delay(&self, seconds: f64) {
        *self.extra_delay_s.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = seconds;
    }

    /// Writes all lists in their current state.
    pub fn write_all(&self) -> std::io::Result<()> {
        let files = self.files.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        files.iter().try_for_each(|(path, list)| replace_file(path, &format_node_list(list, &self.names)))
    }

    /// Updates the state of a node in all lists, and its start time (milliseconds) if given.
    pub fn update(&self, node: usize, state: NodeState, started_ms: Option<f64>) -> std::io::Result<()> {
        let mut files = self.files.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (director, (path, list)) in files.iter_mut().enumerate() {
            let Some(entry) = list.entries.get_mut(node) else { continue };
            entry.state = state;
            if let Some(started_ms) = started_ms {
                entry.info.started = Some(Instant::from_ms(started_ms.floor()));
            }
            let node = entry.name.clone();
            list.generation += 1;
            replace_file(path, &format_node_list(list, &self.names))?;
            let (director, ready) = (director as u16, state == NodeState::Ready);
            self.log.record(EventKind::NodeListed { director, node, ready });
        }
        Ok(())
    }
}

/// Replaces a file atomically, so that no reader sees a partial list.
fn replace_file(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}
