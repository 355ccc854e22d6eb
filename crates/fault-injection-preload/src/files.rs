//! The replacements of functions on files.

use crate::clock::maybe_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use fault_injection::SystemCall;
use libc::{c_char, c_int, c_uint, c_void, mode_t, ssize_t};

failing_functions! {
    Sync: fdatasync(fd: c_int);
    Rename: rename(from: *const c_char, to: *const c_char);
}

/// Replaces the C library's `fsync`. Pauses before the call, also before one that fails, and
/// injects failures.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(control) = fault_control() {
        maybe_pause(control, &control.before_sync);
    }
    match draw_failure(SystemCall::Sync) {
        Some(errno) => fail(errno),
        None => next_symbol::fsync(fd),
    }
}

/// Replaces the C library's `write`. Injects failures on regular files other than the standard
/// streams.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let may_fail = fd > libc::STDERR_FILENO && fault_control().is_some() && is_regular_file(fd);
    match may_fail.then(|| draw_failure(SystemCall::Write)).flatten() {
        Some(errno) => fail(errno) as ssize_t,
        None => next_symbol::write(fd, buffer, length),
    }
}

/// Replaces the C library's `open64`. Injects failures, [`SystemCall::OpenRead`] if the file is
/// opened for reading only and [`SystemCall::OpenWrite`] otherwise.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let call = if flags & libc::O_ACCMODE == libc::O_RDONLY {
        SystemCall::OpenRead
    } else {
        SystemCall::OpenWrite
    };
    match draw_failure(call) {
        Some(errno) => fail(errno),
        None => next_symbol::open64(path, flags, mode as c_uint),
    }
}

/// Whether the descriptor is open on a regular file; `false` if its status cannot be read.
fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: An all-zero `stat` is valid, and the pointer is to that local structure.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}
