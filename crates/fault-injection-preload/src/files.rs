//! Functions on regular files.

use crate::clock::draw_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use fault_injection::SystemCall;
use libc::{c_char, c_int, c_uint, c_void, mode_t, ssize_t};

failing_functions! {
    Sync: fdatasync(fd: c_int);
    Rename: rename(from: *const c_char, to: *const c_char);
}

/// The C library's function of this name, with pauses before it and failures.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(control) = fault_control() {
        draw_pause(control, &control.before_sync);
    }
    match draw_failure(SystemCall::Sync) {
        Some(number) => fail(number),
        None => next_symbol::fsync(fd),
    }
}

/// The C library's function of this name, with failures on regular files.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let may_fail = fd > libc::STDERR_FILENO && fault_control().is_some() && is_regular_file(fd);
    match may_fail.then(|| draw_failure(SystemCall::Write)).flatten() {
        Some(number) => fail(number) as ssize_t,
        None => next_symbol::write(fd, buffer, length),
    }
}

/// The C library's function of this name, with failures.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let call = if flags & libc::O_ACCMODE == libc::O_RDONLY {
        SystemCall::OpenRead
    } else {
        SystemCall::OpenWrite
    };
    match draw_failure(call) {
        Some(number) => fail(number),
        None => next_symbol::open64(path, flags, mode as c_uint),
    }
}

fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: A `stat` of zeros is valid, and the pointer is to it.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}
