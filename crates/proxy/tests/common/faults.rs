//! Failing system calls in a proxy process under test.

use fault_injection::{ControlFile, CONTROL_FILE_VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Control over the system calls of one proxy process.
pub struct FaultInjection {
    pub control: ControlFile,
    path: PathBuf,
    library: PathBuf,
}

impl FaultInjection {
    /// No call fails yet.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = path.join(format!("{}-{number}.faults", std::process::id()));
        let control = ControlFile::create(&path).expect("a control file");
        let this = std::env::current_exe().expect("this program");
        let library = this.with_file_name("libfault_injection_preload.so");
        assert!(library.exists(), "{} was not built", library.display());
        FaultInjection {
            control,
            path,
            library,
        }
    }

    /// The environment variables that preload the library.
    pub fn variables(&self) -> [(&str, &str); 2] {
        [
            ("LD_PRELOAD", self.library.to_str().expect("a path of text")),
            (
                CONTROL_FILE_VARIABLE,
                self.path.to_str().expect("a path of text"),
            ),
        ]
    }
}
