//! Architecture tests: the modules have no cyclic imports, the lower layers import only what they are allowed
//! to, and the load-balancing logic has no network code.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that each lower-layer folder may import, in addition to top-level modules.
const LOWER_LAYERS: [(&str, &[&str]); 2] = [("config", &["config"]), ("load", &["config", "load"])];
/// Folders of the source tree. Files of one folder may import each other through `super::`.
const FOLDERS: [&str; 7] = [
    "adapters", "config", "fleet", "forward", "http1", "load", "request",
];
/// Crates and modules that open connections or implement network protocols.
const NETWORK_CRATES: [&str; 5] = [
    "tokio::net",
    "hyper::",
    "hyper_util::",
    "tonic::",
    "tokio_tungstenite::",
];

fn source_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Collects the text of all source files by module name, such as `load::pool`.
fn collect_modules(folder: &Path, parent: &str, found: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        let stem = path
            .file_stem()
            .expect("the file has a name")
            .to_string_lossy();
        let name = match parent {
            "" => stem.to_string(),
            parent => format!("{parent}::{stem}"),
        };
        if path.is_dir() {
            collect_modules(&path, &name, found);
        } else if stem != "mod" && stem != "lib" {
            let text = fs::read_to_string(&path).expect("the file is readable");
            found.insert(name, text);
        }
    }
}

fn all_modules() -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    collect_modules(&source_root(), "", &mut found);
    found
}

/// Finds the paths in `text` that follow `start`, cut to their first two segments.
fn paths<'a>(text: &'a str, start: &'a str) -> impl Iterator<Item = String> + 'a {
    text.match_indices(start).map(move |(at, _)| {
        let rest = &text[at + start.len()..];
        let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_' || c == ':'));
        let path = &rest[..end.unwrap_or(rest.len())];
        let names: Vec<&str> = path.split("::").filter(|n| !n.is_empty()).collect();
        names[..names.len().min(2)].join("::")
    })
}

/// Returns the modules that a module imports. The import of a parent by its child is left out, as the two are
/// one module in several files.
fn imports(name: &str, text: &str, all: &BTreeMap<String, String>) -> BTreeSet<String> {
    let folder = name.split("::").next().unwrap_or_default();
    let mut candidates: Vec<String> = paths(text, "crate::").collect();
    if FOLDERS.contains(&folder) && name.split("::").count() == 2 {
        candidates.extend(paths(text, "super::").map(|p| format!("{folder}::{p}")));
    }
    let imported = candidates.into_iter().filter_map(|path| {
        let two: Vec<&str> = path.split("::").collect();
        let one = two[0].to_owned();
        let shorter = two[..two.len().min(2)].join("::");
        [shorter, one].into_iter().find(|p| all.contains_key(p))
    });
    imported
        .filter(|other| other != name && !name.starts_with(&format!("{other}::")))
        .collect()
}

#[test]
fn modules_have_no_cyclic_imports() {
    let all = all_modules();
    let graph: BTreeMap<&str, BTreeSet<String>> = all
        .iter()
        .map(|(name, text)| (name.as_str(), imports(name, text, &all)))
        .collect();
    assert!(
        graph.values().map(BTreeSet::len).sum::<usize>() > 100,
        "{graph:?}"
    );

    let mut remaining = graph;
    loop {
        let leaves: Vec<&str> = remaining
            .iter()
            .filter(|(_, imports)| !imports.iter().any(|i| remaining.contains_key(i.as_str())))
            .map(|(name, _)| *name)
            .collect();
        if leaves.is_empty() {
            break;
        }
        for name in leaves {
            remaining.remove(name);
        }
    }

    assert!(
        remaining.is_empty(),
        "these modules import each other or depend on modules that do: {remaining:#?}"
    );
}

#[test]
fn lower_layers_import_no_higher_layers() {
    for (name, text) in all_modules() {
        let folder = name.split("::").next().unwrap_or_default().to_owned();
        let Some((_, allowed)) = LOWER_LAYERS.iter().find(|(lower, _)| *lower == folder) else {
            continue;
        };
        for path in paths(&text, "crate::") {
            let other = path.split("::").next().unwrap_or_default();
            let is_higher = FOLDERS.contains(&other) && !allowed.contains(&other);
            assert!(!is_higher, "{name} imports {path}");
        }
    }
}

#[test]
fn load_balancing_uses_no_network_crates() {
    for (name, text) in all_modules() {
        if name.starts_with("load::") {
            let found = NETWORK_CRATES.iter().find(|n| text.contains(**n));
            assert_eq!(found, None, "{name}");
        }
    }
}
