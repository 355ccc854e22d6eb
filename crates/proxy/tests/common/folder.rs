//! A folder for the state that a proxy process keeps.

use std::path::{Path, PathBuf};

/// An empty folder of one test, named after it.
pub struct StateFolder {
    pub path: PathBuf,
}

impl StateFolder {
    pub fn new(test: &str) -> Self {
        let folders = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = folders.join(format!("{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        StateFolder { path }
    }

    /// The path as text, for an environment variable.
    pub fn as_str(&self) -> &str {
        self.path.to_str().expect("a path of text")
    }
}
