//! Functions on sockets.

use crate::clock::draw_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use crate::random::random;
use fault_injection::SystemCall;
use libc::{c_int, c_void, iovec, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, Ordering};

/// Bytes that a short read or write moves.
const SHORT_IO_BYTES: usize = 3;
/// Descriptors of which the origin is known.
const TRACKED_DESCRIPTORS: usize = 4096;

/// Marks the descriptors of connections that the process has made, not accepted.
static CONNECTED: [AtomicBool; TRACKED_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];

failing_functions! {
    Socket: socket(domain: c_int, kind: c_int, protocol: c_int);
    Bind: bind(fd: c_int, address: *const sockaddr, length: socklen_t);
    Listen: listen(fd: c_int, backlog: c_int);
}

/// The C library's function of this name, with failures.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(number) = draw_failure(SystemCall::Connect) {
        return fail(number);
    }
    set_connected(fd, true);
    next_symbol::connect(fd, address, length)
}

/// The C library's function of this name, with failures.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(number) = draw_failure(SystemCall::Accept) {
        return fail(number);
    }
    let accepted = next_symbol::accept4(fd, address, length, flags);
    set_connected(accepted, false);
    accepted
}

/// The C library's function of this name, with pauses before it where it ends the sending.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if let Some(control) = fault_control().filter(|_| how == libc::SHUT_WR) {
        draw_pause(control, &control.before_shutdown);
    }
    next_symbol::shutdown(fd, how)
}

/// The C library's function of this name, with short reads on TCP sockets, and with failures on those
/// that the process has connected itself: the end of an accepted connection may not show as an error
/// of which its peer knows nothing.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    if fault_control().is_none() || !is_tcp(fd) {
        return next_symbol::recv(fd, buffer, length, flags);
    }
    let failure = is_connected(fd)
        .then(|| draw_failure(SystemCall::Receive))
        .flatten();
    match failure {
        Some(number) => fail(number) as ssize_t,
        None => next_symbol::recv(fd, buffer, draw_io_length(length), flags),
    }
}

/// The C library's function of this name, with failures and short writes on TCP sockets.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    if fault_control().is_none() || !is_tcp(fd) {
        return next_symbol::send(fd, buffer, length, flags);
    }
    match draw_failure(SystemCall::Send) {
        Some(number) => fail(number) as ssize_t,
        None => next_symbol::send(fd, buffer, draw_io_length(length), flags),
    }
}

/// The C library's function of this name, with failures and short writes on TCP sockets.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if fault_control().is_none() || !is_tcp(fd) {
        return next_symbol::writev(fd, parts, count);
    }
    if let Some(number) = draw_failure(SystemCall::Send) {
        return fail(number) as ssize_t;
    }
    let first = (count > 0).then(|| &*parts);
    let shortened =
        first.filter(|part| part.iov_len > 0 && draw_io_length(part.iov_len) < part.iov_len);
    match shortened {
        Some(part) => next_symbol::send(fd, part.iov_base, SHORT_IO_BYTES, libc::MSG_NOSIGNAL),
        None => next_symbol::writev(fd, parts, count),
    }
}

/// How many of `length` bytes a read or write moves.
fn draw_io_length(length: usize) -> usize {
    match fault_control() {
        Some(control) if length > SHORT_IO_BYTES && control.draw_short_io(|| random(control)) => {
            SHORT_IO_BYTES
        }
        _ => length,
    }
}

fn is_tcp(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: The pointers are to an integer and to its length.
    let result = unsafe {
        libc::getsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    result == 0 && domain == libc::AF_INET
}

/// Whether the process has made the connection itself.
fn is_connected(fd: c_int) -> bool {
    connected_mark(fd).is_some_and(|mark| mark.load(Ordering::Relaxed))
}

fn set_connected(fd: c_int, connected: bool) {
    if let Some(mark) = connected_mark(fd) {
        mark.store(connected, Ordering::Relaxed);
    }
}

fn connected_mark(fd: c_int) -> Option<&'static AtomicBool> {
    CONNECTED.get(usize::try_from(fd).ok()?)
}
