//! Which failures of system calls pass by themselves, and how those of the start are tried again.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write as _};
use std::time::{Duration, Instant};

/// A start goes on trying for so long. A front waits longer for a node that starts again.
pub const START_PATIENCE: Duration = Duration::from_secs(5);
/// Between two tries.
pub const TRY_AGAIN: Duration = Duration::from_millis(20);

/// Whether a failed call may succeed a moment later, with nothing changed by anyone.
pub fn may_pass(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::NotFound
            | ErrorKind::PermissionDenied
            | ErrorKind::InvalidInput
            | ErrorKind::Unsupported
    )
}

/// Whether a call failed for want of something that this process or its machine has run out of:
/// descriptors, memory, buffers or ports.
pub fn is_shortage(error: &io::Error) -> bool {
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

/// Whether `accept` told of one connection's own end, or was interrupted: the next connection can
/// be taken at once. Linux passes network errors that are pending on a new socket on as errors of
/// `accept`.
pub fn is_one_connections(error: &io::Error) -> bool {
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

/// Makes a call of the start until it succeeds, fails for good, or has failed for
/// [`START_PATIENCE`]. The first failure is logged. Nothing else runs in the process yet, so that
/// waiting holds up nothing.
pub fn retry_at_start<T>(
    what: impl Display,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let by = Instant::now() + START_PATIENCE;
    let mut logged = false;
    loop {
        match call() {
            Err(error) if may_pass(&error) && Instant::now() < by => {
                if !std::mem::replace(&mut logged, true) {
                    let _ = writeln!(
                        io::stderr(),
                        "balancer-proxy: {what} failed, and is tried again: {error}"
                    );
                }
                std::thread::sleep(TRY_AGAIN);
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "transient_errors_tests.rs"]
mod tests;
