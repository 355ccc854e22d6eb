//! Limits the size of the workspace's source files and functions, so that each can be read as a
//! whole.

use std::fs;
use std::path::{Path, PathBuf};

/// Largest number of lines of a source file.
const MAX_FILE_LINES: usize = 450;
/// Largest number of lines of a function, from the first line of its signature to its closing
/// brace.
const MAX_FUNCTION_LINES: usize = 60;
/// Largest number of columns of a line after formatting; rustfmt does not break string literals and
/// comments.
const MAX_COLUMNS: usize = 110;

/// Files that still have to be split, by their paths below the folder of all crates. The limits on
/// the number of lines do not apply to them, but an entry that is no longer needed fails the test.
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

/// Returns the Rust files in `src` folders below `folder`, without the files of unit tests, whose
/// names end in `tests.rs`. Fails if there are none.
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

/// Whether the path names a Rust file in a `src` folder that is not a file of unit tests.
fn is_source(path: &Path) -> bool {
    let name = path.to_string_lossy();
    name.contains("/src/") && name.ends_with(".rs") && !name.ends_with("tests.rs")
}

/// Adds to `problems` each limit that the file exceeds, and an entry of [`NOT_YET_SPLIT`] that is
/// no longer needed.
fn check_file(name: &str, text: &str, problems: &mut Vec<String>) {
    let lines: Vec<&str> = text.lines().collect();
    let (longest_name, longest) = longest_function(&lines);
    let is_small = lines.len() <= MAX_FILE_LINES && longest <= MAX_FUNCTION_LINES;
    match (NOT_YET_SPLIT.contains(&name), is_small) {
        (true, true) => problems.push(format!(
            "{name}: is within the limits, remove it from NOT_YET_SPLIT"
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

/// Returns the name and the number of lines of a file's longest function; an empty name and 0 if
/// there is none. The file has to be formatted by rustfmt, which puts the closing brace of a
/// function into the column in which its signature begins.
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

/// Returns the name of the function whose signature begins on this line. `None` if none begins
/// here, or if it has no body or ends on the same line.
fn function_name(line: &str) -> Option<&str> {
    let (before, after) = line.trim_start().split_once("fn ")?;
    let qualifiers = ["pub", "async", "const", "unsafe", "extern"];
    let is_signature = before
        .split_whitespace()
        .all(|word| word.starts_with('"') || qualifiers.iter().any(|q| word.starts_with(q)));
    let body_follows = !line.trim_end().ends_with(';') && !line.trim_end().ends_with('}');
    (is_signature && body_follows).then(|| after.split(['(', '<']).next().unwrap_or(after))
}
