//! The memory that a test shares with the preloaded library in a process under test.
//!
//! A test creates a [`ControlFile`], names it in [`CONTROL_FILE_VARIABLE`], preloads the library into
//! the process and changes the file's [`FaultControl`] while the process runs. The library reads it
//! at every system call that it stands in for, and counts there what it did.

mod call_faults;
mod control;
mod control_file;
mod pauses;
mod system_call;

pub use call_faults::CallFaults;
pub use control::FaultControl;
pub use control_file::ControlFile;
pub use pauses::Pauses;
pub use system_call::SystemCall;

use std::sync::atomic::{AtomicU64, Ordering};

/// The environment variable that names the control file to the preloaded library.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_INJECTION_CONTROL";

/// The rate of what happens always. All rates are in millionths.
pub const ALWAYS: u64 = 1_000_000;

/// Whether something of this rate, in millionths, happens now. Draws a number unless the rate is 0.
fn happens(rate: u64, random: &mut impl FnMut() -> u64) -> bool {
    rate > 0 && random() % ALWAYS < rate
}

/// Takes one from a count. Returns `false` where there is none left.
fn take_one(count: &AtomicU64) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}
