//! Guards against cyclic dependencies between the director's modules. `serve` is at the top, then come the
//! fronts and the requests to nodes, then the connections to nodes, then the shared context. The engine's
//! task and its handle depend on none of these.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns, for each file or folder of `src`, the other ones that it names.
fn module_uses() -> BTreeMap<String, BTreeSet<String>> {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut module_uses: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
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
            // A group such as `use crate::{a, b};` names several modules.
            let named = text.split("crate::").skip(1).flat_map(|after| match after.strip_prefix('{') {
                Some(group) => group.split('}').next().unwrap_or_default().split(',').collect::<Vec<_>>(),
                None => vec![after],
            });
            let module_name = |text: &str| {
                let text = text.trim();
                text.split(|c: char| !c.is_alphanumeric() && c != '_').next().unwrap_or_default().to_string()
            };
            let named: BTreeSet<String> =
                named.map(module_name).filter(|other| *other != name && !other.is_empty()).collect();
            module_uses.entry(name).or_default().extend(named);
        }
    }
    let modules: BTreeSet<String> = module_uses.keys().cloned().collect();
    module_uses.values_mut().for_each(|named| named.retain(|other| modules.contains(other)));
    module_uses
}

#[test]
fn modules_have_no_cyclic_dependencies() {
    let mut remaining = module_uses();
    remaining.remove("lib");
    let mut layers = String::new();
    while !remaining.is_empty() {
        let lowest: Vec<String> = remaining
            .iter()
            .filter(|(_, named)| named.iter().all(|other| !remaining.contains_key(other)))
            .map(|(name, _)| name.clone())
            .collect();
        assert!(!lowest.is_empty(), "a dependency cycle among {remaining:?}");
        lowest.iter().for_each(|name| drop(remaining.remove(name)));
        layers = format!("{}\n{layers}", lowest.join(" "));
    }
    expect_test::expect![[r#"
        serve
        node_requests rtsp_connection
        hls probe rtsp_session
        attempt
        node_lists node_session teardown
        context engine_task
        engine_handle files pool
    "#]]
    .assert_eq(&layers);
}
