//! The functions in which an event loop waits.

use crate::clock::draw_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use fault_injection::SystemCall;
use libc::{c_int, pollfd};

failing_functions! {
    Poll: poll(fds: *mut pollfd, count: libc::nfds_t, timeout: c_int);
}

/// The C library's function of this name, with failures, and with pauses after it.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(number) = draw_failure(SystemCall::EpollWait) {
        return fail(number);
    }
    let ready = next_symbol::epoll_wait(fd, events, max_events, timeout);
    if let Some(control) = fault_control() {
        draw_pause(control, &control.after_epoll_wait);
    }
    ready
}
