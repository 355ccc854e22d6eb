//! The size of the workspace's source files and functions, so that each can be read in one sitting.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines that a source file may have.
const MAX_FILE_LINES: usize = 450;
/// Lines that a function may have, from its signature to its closing brace.
const MAX_FUNCTION_LINES: usize = 60;
/// Columns that a line may have, as rustfmt leaves it; rustfmt does not break string literals and
/// comments.
const MAX_COLUMNS: usize = 110;

/// Files that are still to be split, with the number of lines and of the longest function that they
/// may have until then. An entry that is no longer needed fails the test.
const NOT_YET_SPLIT: &[(&str, usize, usize)] = &[
    ("balancer/src/interface.rs", 561, 60),
    ("balancer/src/logic.rs", 1051, 107),
    ("balancer/src/state.rs", 650, 60),
    ("proxy/src/config.rs", 450, 77),
    ("proxy/src/discovery/client.rs", 464, 60),
    ("proxy/src/downstream/listener.rs", 913, 131),
    ("proxy/src/http1/head_filter.rs", 450, 74),
    ("proxy/src/node.rs", 450, 196),
    ("proxy/src/requests/dispatcher.rs", 1126, 95),
    ("proxy/src/upstream/backend_registry.rs", 863, 86),
    ("settings/src/lib.rs", 450, 95),
    ("simulator-adapter/src/host.rs", 450, 61),
    ("soak-test/src/judge.rs", 626, 80),
    ("soak-test/src/play.rs", 450, 64),
    ("soak-test/src/server.rs", 450, 78),
];

#[test]
fn source_files_and_functions_stay_small() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the folder of all crates");
    let mut problems = Vec::new();
    for path in source_files(crates) {
        let name = path
            .strip_prefix(crates)
            .expect("below the folder of all crates")
            .to_string_lossy()
            .into_owned();
        let text = fs::read_to_string(&path).expect("readable source");
        check_file(&name, &text, &mut problems);
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

/// The Rust files below `src` folders, without test files.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("readable folder") {
            let path = entry.expect("readable entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if is_source(&path) {
                files.push(path);
            }
        }
    }
    assert!(!files.is_empty(), "no source files found");
    files
}

fn is_source(path: &Path) -> bool {
    let name = path.to_string_lossy();
    name.contains("/src/") && name.ends_with(".rs") && !name.ends_with("tests.rs")
}

fn check_file(name: &str, text: &str, problems: &mut Vec<String>) {
    let lines: Vec<&str> = text.lines().collect();
    let (longest_name, longest) = longest_function(&lines);
    let exception = NOT_YET_SPLIT.iter().find(|entry| entry.0 == name);
    let (max_lines, max_function) = match exception {
        Some(&(_, max_lines, max_function)) => (max_lines, max_function),
        None => (MAX_FILE_LINES, MAX_FUNCTION_LINES),
    };
    if lines.len() > max_lines {
        problems.push(format!(
            "{name}: {} lines, {max_lines} allowed",
            lines.len()
        ));
    }
    if longest > max_function {
        problems.push(format!(
            "{name}: `{longest_name}` has {longest} lines, {max_function} allowed"
        ));
    }
    if exception.is_some() && lines.len() <= MAX_FILE_LINES && longest <= MAX_FUNCTION_LINES {
        problems.push(format!(
            "{name}: is split by now, remove it from NOT_YET_SPLIT"
        ));
    }
    for (number, line) in lines.iter().enumerate() {
        if line.chars().count() > MAX_COLUMNS {
            problems.push(format!(
                "{name}:{}: wider than {MAX_COLUMNS} columns",
                number + 1
            ));
        }
    }
}

/// The longest function of a file formatted by rustfmt, where a function's closing brace stands in
/// the column of its signature.
fn longest_function(lines: &[&str]) -> (String, usize) {
    let mut longest = (String::new(), 0);
    for (start, line) in lines.iter().enumerate() {
        let Some(name) = function_name(line) else {
            continue;
        };
        let indent = line.len() - line.trim_start().len();
        let end = format!("{}}}", " ".repeat(indent));
        let Some(length) = lines[start..].iter().position(|line| *line == end) else {
            continue;
        };
        if length + 1 > longest.1 {
            longest = (name.to_string(), length + 1);
        }
    }
    longest
}

/// The name of the function whose signature begins on this line.
fn function_name(line: &str) -> Option<&str> {
    let (before, after) = line.trim_start().split_once("fn ")?;
    let qualifiers = ["pub", "async", "const", "unsafe", "extern"];
    let is_signature = before
        .split_whitespace()
        .all(|word| word.starts_with('"') || qualifiers.iter().any(|q| word.starts_with(q)));
    let is_body = !line.trim_end().ends_with(';') && !line.trim_end().ends_with('}');
    (is_signature && is_body).then(|| after.split(['(', '<']).next().unwrap_or(after))
}
