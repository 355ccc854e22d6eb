//! Classifies errors of system calls that are transient, and retries calls that fail with them
//! while the process starts.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write as _};
use std::time::{Duration, Instant};

/// How long a call is retried while the process starts.
pub const MAX_START_RETRY_DURATION: Duration = Duration::from_secs(5);
/// Pause between two attempts of a call.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Returns whether a failed call may succeed a moment later without any change to the configuration
/// or the system. All errors count as transient except for those that a retry cannot resolve.
pub fn is_transient(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::InvalidInput
            | ErrorKind::Unsupported
    )
}

/// Returns whether a call failed because this process or its machine has run out of a resource
/// (descriptors, memory, buffers or ports), or because the call was interrupted.
pub fn is_resource_shortage_or_interrupted(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::EADDRNOTAVAIL
                | libc::EAGAIN
                | libc::EINTR
        )
    )
}

/// Returns whether `accept` reported the failure of a single connection or was interrupted, so that
/// the next connection can be accepted immediately. Linux reports network errors that are pending
/// on a new socket as errors of `accept`.
pub fn is_single_connection_error(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::ECONNABORTED
                | libc::ECONNRESET
                | libc::EINTR
                | libc::EPERM
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::EOPNOTSUPP
                | libc::ETIMEDOUT
        )
    )
}

/// Repeats a call while the process starts, until the call succeeds, fails with an error that is
/// not transient, or has failed for [`MAX_START_RETRY_DURATION`].
///
/// The first transient error is logged, with `operation` as the subject of the line. Blocks the
/// thread, since nothing else runs in the process yet.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn retry_at_start<T>(
    operation: impl Display,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + MAX_START_RETRY_DURATION;
    let mut is_logged = false;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                if !is_logged {
                    let _ = writeln!(
                        io::stderr(),
                        "balancer-proxy: {operation} failed, retrying: {error}"
                    );
                }
                is_logged = true;
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "transient_errors_tests.rs"]
mod tests;
