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

/// Files that are still to be split, to which the limits on lines do not apply until then. An entry
/// that is no longer needed fails the test.
const NOT_YET_SPLIT: &[&str] = &[];

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
    let is_small = lines.len() <= MAX_FILE_LINES && longest <= MAX_FUNCTION_LINES;
    match (NOT_YET_SPLIT.contains(&name), is_small) {
        (true, true) => problems.push(format!(
            "{name}: is split by now, remove it from NOT_YET_SPLIT"
        )),
        (false, false) => problems.push(format!(
            "{name}: {} lines, {MAX_FILE_LINES} allowed; `{longest_name}` has {longest} lines, \
             {MAX_FUNCTION_LINES} allowed",
            lines.len()
        )),
        (true, false) | (false, true) => {}
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
