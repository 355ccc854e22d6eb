//! Failing system calls in a proxy process under test.

use fault_injection::{SharedControl, VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// System calls of a node that fail as a test says.
pub struct FaultInjection {
    pub control: SharedControl,
    path: PathBuf,
    library: PathBuf,
}

impl FaultInjection {
    /// None fails yet.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = path.join(format!("{}-{number}.faults", std::process::id()));
        let control = SharedControl::create(&path).expect("a control file");
        let this = std::env::current_exe().expect("this program");
        let library = this.with_file_name("libfault_injection_preload.so");
        assert!(library.exists(), "{library:?} was not built");
        FaultInjection {
            control,
            path,
            library,
        }
    }

    /// What a node is started with to have them.
    pub fn variables(&self) -> [(&str, &str); 2] {
        [
            ("LD_PRELOAD", self.library.to_str().expect("a path of text")),
            (VARIABLE, self.path.to_str().expect("a path of text")),
        ]
    }
}
