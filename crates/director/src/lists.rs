//! Box lists as files: read when they change and, where changes are not told, every so often. What that comes to is
//! decided in `ashglade_discovery::sources`; what is in force is written down, for the director that comes after this one.

use std::ffi::{OsStr, OsString};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ashglade::time::Span;
use ashglade_discovery::NodeList;
use ashglade_discovery::sources::{SourceEvent, SourceMerger, SourceRead};
use ashglade_engine::Input;
use ashglade_settings::{Names, Settings};
use notify::Watcher as _;
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::files::{self, Trouble};
use crate::shared::Shared;

/// Where lists are read, and where the one in force is kept.
#[derive(Clone, Debug)]
pub struct Files {
    pub sources: Vec<PathBuf>,
    pub kept: Option<PathBuf>,
}

impl Files {
    pub fn new(settings: &Settings, path: &Path) -> Files {
        Files {
            sources: settings.box_lists.iter().map(|name| files::beside(path, name)).collect(),
            kept: settings.kept_list.as_ref().map(|name| files::beside(path, name)),
        }
    }
}

/// A file's text, or why there is none.
type Text = Result<String, String>;

fn text(path: &Path) -> Text {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn read(path: &Path, text: &Text, names: &Names) -> SourceRead {
    match text.as_ref().map(|text| ashglade_settings::watched_boxes(&path.display().to_string(), text, names))
    {
        Ok(Ok((list, leaves_out))) => SourceRead::List { list, leaves_out },
        Ok(Err(trouble)) => SourceRead::Unreadable { reason: trouble.to_string() },
        Err(why) => SourceRead::Unreadable { reason: why.clone() },
    }
}

fn look(path: &Path, names: &Names) -> SourceRead {
    read(path, &text(path), names)
}

/// Reads all sources for the first time. Without a list in any, the one that was kept is in force; an error if there is
/// none either.
pub fn open(
    settings: &Settings,
    files: &Files,
    now: ashglade::time::Instant,
) -> Result<(SourceMerger, NodeList), Trouble> {
    let hold = Span::from_secs(settings.list_hold.as_secs_f64());
    let mut watch = SourceMerger::new(files.sources.len(), hold);
    let found: Vec<SourceRead> = files.sources.iter().map(|path| look(path, &settings.names)).collect();
    let kept = files.kept.as_ref().map(|path| (path, look(path, &settings.names)));
    if let Some((path, SourceRead::List { list, .. })) = kept {
        let resumed = watch.resume(list);
        resumed.map_err(|source| Trouble::List { path: path.clone(), source })?;
    }
    let first = found.iter().find_map(|found| match found {
        SourceRead::Unreadable { reason: why } => Some(why.clone()),
        SourceRead::List { .. } => None,
    });
    for (source, found) in found.into_iter().enumerate() {
        tell(files, &watch.update(source, found, now));
    }
    match watch.current() {
        Some(list) => {
            let list = list.clone();
            Ok((watch, list))
        }
        None => Err(Trouble::NoList(first.unwrap_or_else(|| "every list was refused".into()))),
    }
}

/// Says what is new.
fn tell(files: &Files, news: &[SourceEvent]) {
    let path = |source: &usize| files.sources.get(*source).map(|path| path.display().to_string());
    for news in news {
        match news {
            SourceEvent::InForce(_) => {}
            SourceEvent::Rejected { source, reason: why } => {
                warn!(path = path(source), why, "box list left out; the one held stays in force");
            }
            SourceEvent::HeldBack { source, left_out, ready: of, until } => warn!(
                path = path(source),
                left_out,
                of,
                until_ms = until.as_ms(),
                "BOX LIST HELD BACK: it leaves out many ready boxes at once; taken if it stays so, or with `leaves_out`"
            ),
            SourceEvent::Accepted { source, left_out } => {
                warn!(path = path(source), left_out, "box list taken, though it leaves out many");
            }
            SourceEvent::Unavailable { source, reason: why } => {
                warn!(path = path(source), why, "box list can't be read; the one held stays in force");
            }
            SourceEvent::Available { source } => info!(path = path(source), "box list can be read again"),
        }
    }
}

/// Writes the list in force down, for a start without any other.
fn keep(files: &Files, list: Option<&NodeList>, names: &Names) {
    if let (Some(path), Some(list)) = (&files.kept, list)
        && let Err(error) = files::replace(path, &ashglade_settings::write_boxes(list, names))
    {
        warn!(path = %path.display(), %error, "the list in force can't be kept");
    }
}

/// Whether an event in a list's folder may be one of the list. Reading is none: a look at the list would bring on the next.
/// Nor is what is written into other files there, as a log; but a link or folder that is put in place may lead to the list.
fn concerns(event: &notify::Event, ours: &[OsString]) -> bool {
    use notify::EventKind;
    use notify::event::ModifyKind;
    match event.kind {
        EventKind::Access(_) => false,
        EventKind::Modify(ModifyKind::Data(_)) => event
            .paths
            .iter()
            .filter_map(|path| path.file_name())
            .any(|name| ours.iter().any(|our| our == name)),
        _ => true,
    }
}

/// Follows the sources for as long as the director runs.
pub async fn follow(shared: Arc<Shared>, files: Files, mut watch: SourceMerger) {
    let names = shared.settings.names.clone();
    let (changed, mut changes) = mpsc::channel::<()>(1);
    // One that waits to be read is as good as many.
    let ours: Vec<_> =
        files.sources.iter().filter_map(|path| path.file_name().map(OsStr::to_owned)).collect();
    let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        if event.map_or(true, |event| concerns(&event, &ours)) {
            let _ = changed.try_send(());
        }
    });
    let mut watcher =
        watcher.map_err(|error| warn!(%error, "changes of files aren't told; they are looked for")).ok();
    for folder in files.sources.iter().filter_map(|path| path.parent()) {
        let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
        // The folder, not the file: a file that is renamed into place is another one.
        let watched = watcher.as_mut().map(|w| w.watch(folder, notify::RecursiveMode::NonRecursive));
        if let Some(Err(error)) = watched {
            warn!(folder = %folder.display(), %error, "changes aren't told; they are looked for");
        }
    }
    // Not its time, which says nothing where a clock or a copy sets it: a file is new if it reads otherwise.
    let mut last: Vec<Option<Text>> = vec![None; files.sources.len()];
    keep(&files, watch.current(), &names);
    let mut tick = tokio::time::interval(shared.settings.front.list_poll);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Some(()) = changes.recv() => {}
        }
        let now = shared.clock.now();
        let mut news = Vec::new();
        for (source, path) in files.sources.iter().enumerate() {
            let (at, names, before) = (path.clone(), names.clone(), last[source].take());
            // A long list is read and parsed aside from the tasks that carry media.
            let done = tokio::task::spawn_blocking(move || {
                let now = text(&at);
                let found = (before.as_ref() != Some(&now)).then(|| read(&at, &now, &names));
                (now, found)
            });
            let Ok((text, found)) = done.await else { continue };
            last[source] = Some(text);
            if let Some(found) = found {
                news.extend(watch.update(source, found, now));
            }
        }
        if watch.next_deadline().is_some_and(|due| due <= now) {
            news.extend(watch.poll(now));
        }
        tell(&files, &news);
        let list = news.into_iter().rev().find_map(|news| match news {
            SourceEvent::InForce(list) => Some(list),
            _ => None,
        });
        if let Some(list) = list {
            keep(&files, Some(&list), &names);
            shared.core.tell(Input::DiscoverySnapshot(list)).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc;
    use std::time::Duration;

    use super::*;

    /// A watcher's events on a folder, as real ones are told, through the filter.
    #[test]
    fn reading_a_list_brings_on_no_other_look() {
        let folder = tempfile::tempdir().unwrap();
        let (list, log) = (folder.path().join("boxes.txtpb"), folder.path().join("log.txt"));
        std::fs::write(&list, "generation: 1").unwrap();
        std::fs::write(&log, "").unwrap();
        let (sender, told) = mpsc::channel();
        let mut watcher = notify::recommended_watcher(move |event| drop(sender.send(event))).unwrap();
        watcher.watch(folder.path(), notify::RecursiveMode::NonRecursive).unwrap();
        // Each is followed by a change of a name that ends what it brought on.
        let ours = [OsString::from("boxes.txtpb")];
        let concerns_us = |done: &dyn Fn()| {
            done();
            std::fs::create_dir(folder.path().join("end")).unwrap();
            let mut any = false;
            loop {
                let event: notify::Event = told.recv_timeout(Duration::from_secs(20)).unwrap().unwrap();
                if event.paths.iter().any(|path| path.ends_with("end")) && event.kind.is_create() {
                    std::fs::remove_dir(folder.path().join("end")).unwrap();
                    while !told.recv_timeout(Duration::from_secs(20)).unwrap().unwrap().kind.is_remove() {}
                    return any;
                }
                any |= concerns(&event, &ours);
            }
        };
        assert!(!concerns_us(&|| drop(std::fs::read(&list))), "it is read");
        assert!(!concerns_us(&|| std::fs::write(&log, "more").unwrap()), "a log grows");
        assert!(concerns_us(&|| std::fs::write(&list, "generation: 2").unwrap()), "it is written");
        let new = folder.path().join("new");
        std::fs::write(&new, "generation: 3").unwrap();
        assert!(concerns_us(&|| std::fs::rename(&new, &list).unwrap()), "another is put in its place");
        assert!(concerns_us(&|| std::fs::remove_file(&list).unwrap()), "it is gone");
    }
}
