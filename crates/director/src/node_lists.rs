//! Node discovery from files (`box_list` in the settings). The files are read when they change, and at a
//! fixed interval in case a change isn't notified. `ashglade_discovery::sources` merges them and decides
//! which list is in force. That list is also written to a file (`kept_list`), from which a later start can
//! resume.

use std::ffi::{OsStr, OsString};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ashglade::time::Span;
use ashglade_discovery::NodeList;
use ashglade_discovery::sources::{SourceEvent, SourceMerger, SourceRead};
use ashglade_engine::Input;
use ashglade_settings::{HeadendNames, Settings};
use notify::Watcher as _;
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::context::DirectorContext;
use crate::files::{self, StartupError};

/// Files of node lists.
#[derive(Clone, Debug)]
pub struct NodeListFiles {
    /// Files to read, the one with the highest precedence first.
    pub sources: Vec<PathBuf>,
    /// Where the list in force is written.
    pub kept: Option<PathBuf>,
}

impl NodeListFiles {
    /// `path` is the settings file, to which the other paths are relative.
    pub fn new(settings: &Settings, path: &Path) -> NodeListFiles {
        NodeListFiles {
            sources: settings.node_list_paths.iter().map(|name| files::resolve_path(path, name)).collect(),
            kept: settings.saved_list_path.as_ref().map(|name| files::resolve_path(path, name)),
        }
    }
}

/// A file's text, or why it can't be read.
type FileContent = Result<String, String>;

/// Reads a file; the error names it.
fn read_file(path: &Path) -> FileContent {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Parses a file's text as a node list.
fn parse_list(path: &Path, text: &FileContent, names: &HeadendNames) -> SourceRead {
    match text.as_ref().map(|text| {
        ashglade_settings::parse_node_list_with_omissions(&path.display().to_string(), text, names)
    }) {
        Ok(Ok((list, leaves_out))) => SourceRead::List { list, leaves_out },
        Ok(Err(error)) => SourceRead::Unreadable { reason: error.to_string() },
        Err(why) => SourceRead::Unreadable { reason: why.clone() },
    }
}

/// Reads and parses a source.
fn read_source(path: &Path, names: &HeadendNames) -> SourceRead {
    parse_list(path, &read_file(path), names)
}

/// Reads all sources for the first time. If none holds a valid list, the kept list is used. Fails if there is
/// none either.
pub fn load(
    settings: &Settings,
    files: &NodeListFiles,
    now: ashglade::time::Instant,
) -> Result<(SourceMerger, NodeList), StartupError> {
    let hold = Span::from_secs(settings.list_hold_period.as_secs_f64());
    let mut merger = SourceMerger::new(files.sources.len(), hold);
    let reads: Vec<SourceRead> =
        files.sources.iter().map(|path| read_source(path, &settings.names)).collect();
    let kept = files.kept.as_ref().map(|path| (path, read_source(path, &settings.names)));
    if let Some((path, SourceRead::List { list, .. })) = kept {
        let resumed = merger.resume(list);
        resumed.map_err(|source| StartupError::List { path: path.clone(), source })?;
    }
    let first_error = reads.iter().find_map(|read| match read {
        SourceRead::Unreadable { reason: why } => Some(why.clone()),
        SourceRead::List { .. } => None,
    });
    for (source, read) in reads.into_iter().enumerate() {
        log_events(files, &merger.update(source, read, now));
    }
    match merger.current() {
        Some(list) => {
            let list = list.clone();
            Ok((merger, list))
        }
        None => Err(StartupError::NoList(first_error.unwrap_or_else(|| "every list was rejected".into()))),
    }
}

/// Logs the events of the node lists.
fn log_events(files: &NodeListFiles, events: &[SourceEvent]) {
    let path = |source: &usize| files.sources.get(*source).map(|path| path.display().to_string());
    for event in events {
        match event {
            SourceEvent::InForce(_) => {}
            SourceEvent::Rejected { source, reason: why } => {
                warn!(path = path(source), why, "node list rejected; the current one stays in force");
            }
            SourceEvent::HeldBack { source, left_out, ready: of, until } => warn!(
                path = path(source),
                left_out,
                of,
                until_ms = until.as_ms(),
                "NODE LIST HELD BACK: it omits many ready nodes; accepted if it stays unchanged or sets `leaves_out`"
            ),
            SourceEvent::Accepted { source, left_out } => {
                warn!(path = path(source), left_out, "node list accepted although it omits many ready nodes");
            }
            SourceEvent::Unavailable { source, reason: why } => {
                warn!(path = path(source), why, "node list can't be read; the current one stays in force");
            }
            SourceEvent::Available { source } => info!(path = path(source), "node list can be read again"),
        }
    }
}

/// Writes the list in force to a file, for a later start without another list.
fn write_kept_list(files: &NodeListFiles, list: Option<&NodeList>, names: &HeadendNames) {
    if let (Some(path), Some(list)) = (&files.kept, list)
        && let Err(error) = files::replace_file(path, &ashglade_settings::format_node_list(list, names))
    {
        warn!(path = %path.display(), %error, "writing the node list in force failed");
    }
}

/// Returns whether an event in a list's folder may mean that the list has changed. Read access doesn't count,
/// as otherwise reading the list would trigger the next read. Neither do writes to other files there, such as
/// a log. A new link or folder counts, as the path of the list may lead through it.
fn may_change_list(event: &notify::Event, list_names: &[OsString]) -> bool {
    use notify::EventKind;
    use notify::event::ModifyKind;
    match event.kind {
        EventKind::Access(_) => false,
        EventKind::Modify(ModifyKind::Data(_)) => event
            .paths
            .iter()
            .filter_map(|path| path.file_name())
            .any(|name| list_names.iter().any(|list_name| list_name == name)),
        _ => true,
    }
}

/// Reads the sources again whenever they may have changed, and passes each new list in force to the engine.
pub async fn follow(context: Arc<DirectorContext>, files: NodeListFiles, mut merger: SourceMerger) {
    let names = context.settings.names.clone();
    // One queued notification stands for any number of changes, as all sources are read.
    let (change_sender, mut change_receiver) = mpsc::channel::<()>(1);
    let list_names: Vec<_> =
        files.sources.iter().filter_map(|path| path.file_name().map(OsStr::to_owned)).collect();
    let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        if event.map_or(true, |event| may_change_list(&event, &list_names)) {
            let _ = change_sender.try_send(());
        }
    });
    let mut watcher = watcher
        .map_err(|error| warn!(%error, "file notifications are not available; node lists are polled"))
        .ok();
    for folder in files.sources.iter().filter_map(|path| path.parent()) {
        let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
        // Watches the folder rather than the file, as a file that is renamed into place is a different one.
        let watched = watcher.as_mut().map(|w| w.watch(folder, notify::RecursiveMode::NonRecursive));
        if let Some(Err(error)) = watched {
            warn!(folder = %folder.display(), %error, "can't watch the folder; its node lists are polled");
        }
    }
    // Compared by content, as modification times are unreliable: a clock change or a copy can set them.
    let mut last_contents: Vec<Option<FileContent>> = vec![None; files.sources.len()];
    write_kept_list(&files, merger.current(), &names);
    let mut tick = tokio::time::interval(context.settings.rtsp.list_poll_interval);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Some(()) = change_receiver.recv() => {}
        }
        let now = context.clock.now();
        let mut events = Vec::new();
        for (source, path) in files.sources.iter().enumerate() {
            let (file, names, previous) = (path.clone(), names.clone(), last_contents[source].take());
            // Reading and parsing a long list on this thread would delay the tasks that relay media.
            let result = tokio::task::spawn_blocking(move || {
                let content = read_file(&file);
                let read = (previous.as_ref() != Some(&content)).then(|| parse_list(&file, &content, &names));
                (content, read)
            });
            let Ok((content, read)) = result.await else { continue };
            last_contents[source] = Some(content);
            if let Some(read) = read {
                events.extend(merger.update(source, read, now));
            }
        }
        if merger.next_deadline().is_some_and(|deadline| deadline <= now) {
            events.extend(merger.poll(now));
        }
        log_events(&files, &events);
        let list = events.into_iter().rev().find_map(|event| match event {
            SourceEvent::InForce(list) => Some(list),
            _ => None,
        });
        if let Some(list) = list {
            write_kept_list(&files, Some(&list), &names);
            context.engine.submit(Input::DiscoverySnapshot(list)).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc;
    use std::time::Duration;

    use super::*;

    /// Guards against a loop in which reading a list triggers the next read. Passes the events of a real
    /// watcher through the filter.
    #[test]
    fn reading_a_list_triggers_no_further_read() {
        let folder = tempfile::tempdir().unwrap();
        let (list, log) = (folder.path().join("boxes.txtpb"), folder.path().join("log.txt"));
        std::fs::write(&list, "generation: 1").unwrap();
        std::fs::write(&log, "").unwrap();
        let (sender, event_receiver) = mpsc::channel();
        let mut watcher = notify::recommended_watcher(move |event| drop(sender.send(event))).unwrap();
        watcher.watch(folder.path(), notify::RecursiveMode::NonRecursive).unwrap();
        // Each action is followed by the creation of a folder, whose event marks the end of the action's
        // events.
        let list_names = [OsString::from("boxes.txtpb")];
        let triggers_read = |action: &dyn Fn()| {
            action();
            std::fs::create_dir(folder.path().join("end")).unwrap();
            let mut any = false;
            loop {
                let event: notify::Event =
                    event_receiver.recv_timeout(Duration::from_secs(20)).unwrap().unwrap();
                if event.paths.iter().any(|path| path.ends_with("end")) && event.kind.is_create() {
                    std::fs::remove_dir(folder.path().join("end")).unwrap();
                    while !event_receiver
                        .recv_timeout(Duration::from_secs(20))
                        .unwrap()
                        .unwrap()
                        .kind
                        .is_remove()
                    {}
                    return any;
                }
                any |= may_change_list(&event, &list_names);
            }
        };
        assert!(!triggers_read(&|| drop(std::fs::read(&list))), "the list is read");
        assert!(!triggers_read(&|| std::fs::write(&log, "more").unwrap()), "another file is written");
        assert!(triggers_read(&|| std::fs::write(&list, "generation: 2").unwrap()), "the list is written");
        let new = folder.path().join("new");
        std::fs::write(&new, "generation: 3").unwrap();
        assert!(triggers_read(&|| std::fs::rename(&new, &list).unwrap()), "the list is replaced");
        assert!(triggers_read(&|| std::fs::remove_file(&list).unwrap()), "the list is removed");
    }
}
