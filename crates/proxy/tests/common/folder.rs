//! Folders in which proxy processes under test keep their state.

use std::path::{Path, PathBuf};

/// A state folder that belongs to one test. It is not removed afterwards.
pub struct StateFolder {
    /// Where the folder is, below the build's folder for temporary files.
    pub path: PathBuf,
}

impl StateFolder {
    /// Creates an empty folder named after the test and this process. Each test of a file needs a
    /// name of its own.
    pub fn new(test: &str) -> Self {
        let folders = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = folders.join(format!("{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the state folder could not be created");
        StateFolder { path }
    }

    /// Returns the path as text, for an environment variable.
    pub fn as_str(&self) -> &str {
        self.path.to_str().expect("the path should be valid UTF-8")
    }
}
