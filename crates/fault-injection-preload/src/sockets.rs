//! The replacements of functions on sockets.

use crate::clock::maybe_pause;
use crate::control::fault_control;
use crate::failures::{draw_failure, fail, failing_functions};
use crate::next_symbol;
use crate::random::random;
use fault_injection::{FaultControl, SystemCall};
use libc::{c_int, c_void, iovec, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of bytes that a short read or write transfers at most.
const SHORT_IO_BYTES: usize = 3;
/// Number of descriptors, from 0 on, whose origin is tracked; higher ones count as accepted.
const TRACKED_DESCRIPTORS: usize = 4096;

/// For each descriptor, whether the process connected it itself, as opposed to accepting it.
static CONNECTED: [AtomicBool; TRACKED_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];

failing_functions! {
    Socket: socket(domain: c_int, socket_type: c_int, protocol: c_int);
    Bind: bind(fd: c_int, address: *const sockaddr, length: socklen_t);
    Listen: listen(fd: c_int, backlog: c_int);
}

/// Replaces the C library's `connect`. Injects failures, and marks the descriptor as connected by
/// the process itself.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(errno) = draw_failure(SystemCall::Connect) {
        return fail(errno);
    }
    set_connected(fd, true);
    next_symbol::connect(fd, address, length)
}

/// Replaces the C library's `accept4`. Injects failures, and marks the new descriptor as accepted.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = draw_failure(SystemCall::Accept) {
        return fail(errno);
    }
    let accepted = next_symbol::accept4(fd, address, length, flags);
    set_connected(accepted, false);
    accepted
}

/// Replaces the C library's `shutdown`. Pauses before a call that shuts down only the sending half
/// (`SHUT_WR`).
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if let Some(control) = fault_control().filter(|_| how == libc::SHUT_WR) {
        maybe_pause(control, &control.before_shutdown);
    }
    next_symbol::shutdown(fd, how)
}

/// Replaces the C library's `setsockopt`. Limits the size of send buffers.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    let limit = fault_control()
        .filter(|_| level == libc::SOL_SOCKET && name == libc::SO_SNDBUF)
        .and_then(FaultControl::max_send_buffer);
    let Some(limit) = limit.and_then(|limit| c_int::try_from(limit).ok()) else {
        return next_symbol::setsockopt(fd, level, name, value, length);
    };
    // SAFETY: The value of this option is an integer.
    let limited = (*value.cast::<c_int>()).min(limit);
    next_symbol::setsockopt(fd, level, name, (&raw const limited).cast(), length)
}

/// Replaces the C library's `recv`. Shortens reads on TCP sockets, and injects failures on those
/// that the process connected itself. Accepted connections get no failures: the process must not
/// see such a connection end with an error that its peer knows nothing of.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
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
        Some(errno) => fail(errno) as ssize_t,
        None => next_symbol::recv(fd, buffer, draw_io_length(length), flags),
    }
}

/// Replaces the C library's `send`. Injects failures and shortens writes on TCP sockets.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
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
        Some(errno) => fail(errno) as ssize_t,
        None => next_symbol::send(fd, buffer, draw_io_length(length), flags),
    }
}

/// Replaces the C library's `writev`. Injects failures and shortens writes on TCP sockets. A short
/// write sends only the beginning of the first buffer, by `send` with `MSG_NOSIGNAL`.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if fault_control().is_none() || !is_tcp(fd) {
        return next_symbol::writev(fd, parts, count);
    }
    if let Some(errno) = draw_failure(SystemCall::Send) {
        return fail(errno) as ssize_t;
    }
    let first = (count > 0).then(|| &*parts);
    let shortened =
        first.filter(|part| part.iov_len > 0 && draw_io_length(part.iov_len) < part.iov_len);
    match shortened {
        Some(part) => next_symbol::send(fd, part.iov_base, SHORT_IO_BYTES, libc::MSG_NOSIGNAL),
        None => next_symbol::writev(fd, parts, count),
    }
}

/// Decides how many of `length` bytes a read or write may transfer: [`SHORT_IO_BYTES`] if it is
/// drawn to be short, otherwise all.
fn draw_io_length(length: usize) -> usize {
    match fault_control() {
        Some(control) if length > SHORT_IO_BYTES && control.draw_short_io(|| random(control)) => {
            SHORT_IO_BYTES
        }
        _ => length,
    }
}

/// Whether the descriptor is an IPv4 socket, which is taken for a TCP socket.
fn is_tcp(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: The pointers are to a local integer and to its length.
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

/// Whether the process connected the descriptor itself. `false` if its origin is not tracked.
fn is_connected(fd: c_int) -> bool {
    connected_mark(fd).is_some_and(|mark| mark.load(Ordering::Relaxed))
}

/// Records whether the process connected the descriptor itself. Does nothing for a negative or
/// untracked descriptor.
fn set_connected(fd: c_int, connected: bool) {
    if let Some(mark) = connected_mark(fd) {
        mark.store(connected, Ordering::Relaxed);
    }
}

/// Returns the descriptor's entry in [`CONNECTED`], or `None` if it is negative or not tracked.
fn connected_mark(fd: c_int) -> Option<&'static AtomicBool> {
    CONNECTED.get(usize::try_from(fd).ok()?)
}
