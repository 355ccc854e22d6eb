//! The C library's own functions, which this library's functions of the same names hide.

use libc::{c_char, c_int, c_uint, c_void, iovec, pollfd, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicPtr, Ordering};

/// Defines functions that look up the next symbol of their name, once, and call it.
macro_rules! next_symbols {
    ($(fn $name:ident($($argument:ident: $kind:ty),*) -> $result:ty;)*) => {$(
        pub(crate) unsafe fn $name($($argument: $kind),*) -> $result {
            static FOUND: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            let mut found = FOUND.load(Ordering::Relaxed);
            if found.is_null() {
                found = libc::dlsym(libc::RTLD_NEXT, concat!(stringify!($name), "\0").as_ptr().cast());
                if found.is_null() {
                    libc::abort(); // No C library lacks it.
                }
                FOUND.store(found, Ordering::Relaxed);
            }
            // SAFETY: The symbol of this name is the C library's function, which has this type.
            let function: unsafe extern "C" fn($($kind),*) -> $result = std::mem::transmute(found);
            function($($argument),*)
        }
    )*};
}

next_symbols! {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    fn listen(fd: c_int, backlog: c_int) -> c_int;
    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    fn poll(fds: *mut pollfd, count: libc::nfds_t, timeout: c_int) -> c_int;
    fn fsync(fd: c_int) -> c_int;
    fn fdatasync(fd: c_int) -> c_int;
    fn rename(from: *const c_char, to: *const c_char) -> c_int;
    fn epoll_wait(fd: c_int, events: *mut libc::epoll_event, max_events: c_int, timeout: c_int) -> c_int;
    fn shutdown(fd: c_int, how: c_int) -> c_int;
    fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int;
    fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t;
    fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t;
    fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t;
    fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t;
    fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int;
}
