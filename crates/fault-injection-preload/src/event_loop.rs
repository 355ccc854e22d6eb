//! The replacements of the functions in which an event loop waits.

use crate::clock::maybe_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use fault_injection::SystemCall;
use libc::{c_int, pollfd};

failing_functions! {
    Poll: poll(fds: *mut pollfd, count: libc::nfds_t, timeout: c_int);
}

/// Replaces the C library's `epoll_wait`. Injects failures, and pauses after a call that is carried
/// out.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = draw_failure(SystemCall::EpollWait) {
        return fail(errno);
    }
    let ready = next_symbol::epoll_wait(fd, events, max_events, timeout);
    if let Some(control) = fault_control() {
        maybe_pause(control, &control.after_epoll_wait);
    }
    ready
}
