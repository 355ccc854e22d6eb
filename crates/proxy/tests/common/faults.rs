//! Fault injection: system calls that fail in a proxy process under test.

use fault_injection::{ControlFile, CONTROL_FILE_VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Makes system calls of a proxy process fail, by a preloaded library and a control file that the
/// process shares with the test.
pub struct FaultInjection {
    /// Which calls fail or pause; may be changed while the process runs.
    pub control: ControlFile,
    /// Path of the control file.
    path: PathBuf,
    /// Path of the preloaded library.
    library: PathBuf,
}

impl FaultInjection {
    /// Creates a control file under which no call fails yet.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = path.join(format!("{}-{number}.faults", std::process::id()));
        let control = ControlFile::create(&path).expect("the control file could not be created");
        let test_program = std::env::current_exe().expect("the path of the test program");
        let library = test_program.with_file_name("libfault_injection_preload.so");
        assert!(library.exists(), "{} was not built", library.display());
        FaultInjection {
            control,
            path,
            library,
        }
    }

    /// Returns the environment variables that preload the library and name the control file to it.
    pub fn variables(&self) -> [(&str, &str); 2] {
        [
            (
                "LD_PRELOAD",
                self.library
                    .to_str()
                    .expect("the path should be valid UTF-8"),
            ),
            (
                CONTROL_FILE_VARIABLE,
                self.path.to_str().expect("the path should be valid UTF-8"),
            ),
        ]
    }
}
