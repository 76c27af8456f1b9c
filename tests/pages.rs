//! Checks of the documentation against the source: paths, functions and types on the architecture page, the imports that it
//! allows, and the log lines and metrics on the on-call page.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const ARCHITECTURE: &str = include_str!("../docs/architecture.md");
const ON_CALL: &str = include_str!("../docs/operating/on-call.md");

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns all Rust files relative a folder, with their contents.
fn sources(folder: &str) -> Vec<(PathBuf, String)> {
    let mut files = Vec::new();
    let mut folders = vec![root().join(folder)];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "rs") {
                files.push((path.clone(), std::fs::read_to_string(&path).unwrap()));
            }
        }
    }
    files
}

/// Returns the text in backticks outside of code blocks.
fn code_spans(page: &str) -> Vec<&str> {
    let mut spans = Vec::new();
    let mut in_block = false;
    for line in page.lines() {
        if line.starts_with("```") {
            in_block = !in_block;
        } else if !in_block {
            spans.extend(line.split('`').skip(1).step_by(2));
        }
    }
    spans
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

/// Returns whether the text contains the word between characters that cannot be part of a name.
fn has_word(text: &str, word: &str) -> bool {
    text.match_indices(word).any(|(at, _)| {
        let is_part =
            |byte: Option<&u8>| byte.is_some_and(|byte| byte.is_ascii_alphanumeric() || *byte == b'_');
        let before = at.checked_sub(1).and_then(|before| text.as_bytes().get(before));
        !is_part(before) && !is_part(text.as_bytes().get(at + word.len()))
    })
}

fn defines_type(text: &str, name: &str) -> bool {
    ["struct", "enum", "trait", "type"].iter().any(|kind| has_word(text, &format!("{kind} {name}")))
}

/// Returns whether `Type::function` or `module::function` exists.
fn function_exists(files: &[(PathBuf, String)], owner: &str, function: &str) -> bool {
    let has_function = |text: &str| has_word(text, &format!("fn {function}"));
    if owner.starts_with(char::is_uppercase) {
        let implements =
            |text: &str| has_word(text, &format!("impl {owner}")) || has_word(text, &format!("for {owner}"));
        files.iter().any(|(_, text)| implements(text) && has_function(text))
    } else {
        files
            .iter()
            .any(|(path, text)| path.file_stem().is_some_and(|stem| stem == owner) && has_function(text))
    }
}

/// Guards against an architecture page that names renamed or moved items.
#[test]
fn paths_functions_and_types_on_the_architecture_page_exist() {
    let files = sources("src");
    let (mut paths, mut functions, mut types) = (0, 0, 0);
    let mut missing = Vec::new();
    for span in code_spans(ARCHITECTURE) {
        let is_path = ["src/", "rig/", "tests/", "docs/", "deploy/", "examples/"]
            .iter()
            .any(|top| span.starts_with(top));
        if is_path {
            paths += 1;
            if !root().join(span).exists() {
                missing.push(span);
            }
        } else if let Some((owner, function)) =
            span.split_once("::").filter(|(a, b)| is_name(a) && is_name(b))
        {
            functions += 1;
            if owner != "crate" && !function_exists(&files, owner, function) {
                missing.push(span);
            }
        } else if is_name(span) && span.starts_with(char::is_uppercase) && span.contains(char::is_lowercase) {
            types += 1;
            let is_variant = |text: &str| {
                text.lines().any(|line| has_word(line.trim(), span) && !line.trim_start().starts_with("//"))
            };
            if !files.iter().any(|(_, text)| defines_type(text, span) || is_variant(text)) {
                missing.push(span);
            }
        }
    }
    assert!(missing.is_empty(), "the page names items that do not exist: {missing:?}");
    assert!(
        paths >= 10 && functions >= 40 && types >= 20,
        "{paths} paths, {functions} functions, {types} types were found"
    );
}

/// Guards against source paths on any page that do not exist.
#[test]
fn source_paths_on_all_pages_exist() {
    let pages = ["README.md", "docs", "docs/design", "docs/operating"].map(|name| root().join(name));
    let mut files = Vec::new();
    for page in pages {
        if page.is_file() {
            files.push(page);
        } else {
            let entries = std::fs::read_dir(&page).unwrap().map(|entry| entry.unwrap().path());
            files.extend(entries.filter(|path| path.extension().is_some_and(|end| end == "md")));
        }
    }
    let (mut count, mut missing) = (0, Vec::new());
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for span in
            code_spans(&text).into_iter().filter(|span| span.starts_with("src/") || span.starts_with("rig/"))
        {
            count += 1;
            let path = span.split([' ', ':']).next().unwrap();
            if !root().join(path).exists() {
                missing.push(format!("{}: {span}", file.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(count > 50, "only {count} paths were found");
}

/// Returns the rows of the table of layers: each module with the modules that it may import.
fn layers() -> BTreeMap<&'static str, BTreeSet<&'static str>> {
    let rows = ARCHITECTURE.lines().skip_while(|line| !line.starts_with("| module | may import")).skip(2);
    rows.take_while(|line| line.starts_with('|'))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').collect();
            let names = |cell: &'static str| cell.split('`').skip(1).step_by(2);
            (names(cells[1]).next().unwrap(), names(cells[2]).collect())
        })
        .collect()
}

/// Guards against imports of a higher layer, and against a table that lacks a module.
#[test]
fn modules_import_only_what_the_table_of_layers_allows() {
    let layers = layers();
    let mut found = BTreeSet::new();
    for (path, text) in sources("src") {
        let relative = path.strip_prefix(root().join("src")).unwrap();
        let module =
            relative.components().next().unwrap().as_os_str().to_str().unwrap().trim_end_matches(".rs");
        let is_test = relative.components().any(|part| {
            let name = part.as_os_str().to_str().unwrap().trim_end_matches(".rs");
            name == "tests" || name.ends_with("_tests") || name == "wire_fixture"
        });
        if is_test || ["lib", "main", "bin"].contains(&module) {
            continue;
        }
        let allowed =
            layers.get(module).unwrap_or_else(|| panic!("{module} is missing in the table of layers"));
        found.insert(module.to_string());
        for (at, _) in text.match_indices("crate::") {
            let rest = &text[at + "crate::".len()..];
            let imported: String =
                rest.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect();
            let is_allowed = imported == module || imported == "say" || allowed.contains(imported.as_str());
            assert!(
                is_allowed,
                "{} imports {imported}, which the table of layers does not allow",
                relative.display()
            );
        }
    }
    assert_eq!(found, layers.keys().map(ToString::to_string).collect());
}

/// Guards against an on-call page that names log lines or metrics which the program does not write, or lacks a metric.
#[test]
fn log_lines_and_metrics_on_the_on_call_page_match_the_program() {
    let sources: String = sources("src").into_iter().map(|(_, text)| text).collect();
    let table = |title: &str| -> Vec<&str> {
        let rows = ON_CALL
            .lines()
            .skip_while(|line| !line.starts_with(title))
            .skip_while(|line| !line.starts_with('|'))
            .skip(2);
        let first_cells =
            rows.take_while(|line| line.starts_with('|')).map(|line| line.split('|').nth(1).unwrap());
        first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect()
    };
    let (log_lines, metrics) = (table("## The log"), table("## Figures of a fleet"));
    assert!(
        log_lines.len() >= 20 && metrics.len() >= 20,
        "{} lines, {} metrics",
        log_lines.len(),
        metrics.len()
    );
    let missing: Vec<_> = log_lines.iter().chain(&metrics).filter(|text| !sources.contains(**text)).collect();
    assert!(missing.is_empty(), "the page names texts that the program does not write: {missing:?}");
    // Every metric of a fleet must be on the page.
    let known = include_str!("fixtures/figures.txt").lines().filter_map(|line| line.split([' ', '{']).next());
    for metric in known {
        assert!(ON_CALL.contains(metric), "{metric} is not on the page");
    }
}
