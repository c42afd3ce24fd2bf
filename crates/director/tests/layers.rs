//! The director's files use each other one way: starting and stopping on top, then fronts and errands, then connections to
//! nodes, then what they share; the task that owns the engine, and the words to it, know none of them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// By file, or folder: the others that it names.
fn uses() -> BTreeMap<String, BTreeSet<String>> {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut uses: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut folders = vec![src.clone()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let name = path.strip_prefix(&src).unwrap().iter().next().unwrap().to_string_lossy();
            let name = name.trim_end_matches(".rs").to_string();
            let text = std::fs::read_to_string(&path).unwrap();
            // A group, as in `use crate::{a, b};`, names several.
            let named = text.split("crate::").skip(1).flat_map(|after| match after.strip_prefix('{') {
                Some(group) => group.split('}').next().unwrap_or_default().split(',').collect::<Vec<_>>(),
                None => vec![after],
            });
            let first = |word: &str| {
                let word = word.trim();
                word.split(|c: char| !c.is_alphanumeric() && c != '_').next().unwrap_or_default().to_string()
            };
            let named: BTreeSet<String> =
                named.map(first).filter(|other| *other != name && !other.is_empty()).collect();
            uses.entry(name).or_default().extend(named);
        }
    }
    let files: BTreeSet<String> = uses.keys().cloned().collect();
    uses.values_mut().for_each(|named| named.retain(|other| files.contains(other)));
    uses
}

#[test]
fn arrows_between_the_files_go_one_way() {
    let mut left = uses();
    left.remove("lib");
    let mut layers = String::new();
    while !left.is_empty() {
        let lowest: Vec<String> = left
            .iter()
            .filter(|(_, named)| named.iter().all(|o| !left.contains_key(o)))
            .map(|(n, _)| n.clone())
            .collect();
        assert!(!lowest.is_empty(), "a circle among {left:?}");
        lowest.iter().for_each(|name| drop(left.remove(name)));
        layers = format!("{}\n{layers}", lowest.join(" "));
    }
    expect_test::expect![[r#"
        serve
        errands viewer
        hls probe session
        attempt
        lists node owed
        core shared
        files orders pool
    "#]]
    .assert_eq(&layers);
}
