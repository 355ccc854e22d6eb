//! The memory through which a test controls the preload library in a process under test.
//!
//! A test creates a [`ControlFile`], starts the process with the library in `LD_PRELOAD` and the
//! file's path in [`CONTROL_FILE_VARIABLE`], and changes the file's [`FaultControl`] while the
//! process runs. The library reads it at every system call that it intercepts, and counts failures
//! and pauses there.

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

/// The environment variable that holds the control file's path, read by the preload library.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_INJECTION_CONTROL";

/// The rate of a fault that always occurs. All rates are probabilities in millionths.
pub const ALWAYS: u64 = 1_000_000;

/// Returns `true` with probability `rate`, in millionths. Draws one random number unless the rate
/// is 0.
fn draw_bool(rate: u64, random: &mut impl FnMut() -> u64) -> bool {
    rate > 0 && random() % ALWAYS < rate
}

/// Decrements a count atomically. Returns `false` if it is 0 and stays so.
fn try_decrement(count: &AtomicU64) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |value| {
            value.checked_sub(1)
        })
        .is_ok()
}
