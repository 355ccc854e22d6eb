//! Calls to the C library's own functions, which are hidden by this library's functions of the same
//! names.

use libc::{c_char, c_int, c_uint, c_void, iovec, pollfd, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicPtr, Ordering};

/// Defines functions that call the next symbol of their name in the dynamic linker's search order.
/// Each looks its symbol up at the first call and keeps the address.
macro_rules! next_symbols {
    ($(fn $name:ident($($argument:ident: $argument_type:ty),*) -> $result:ty;)*) => {$(
        pub(crate) unsafe fn $name($($argument: $argument_type),*) -> $result {
            static SYMBOL: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            let mut symbol = SYMBOL.load(Ordering::Relaxed);
            if symbol.is_null() {
                symbol = libc::dlsym(libc::RTLD_NEXT, concat!(stringify!($name), "\0").as_ptr().cast());
                if symbol.is_null() {
                    libc::abort(); // Every C library has this function.
                }
                SYMBOL.store(symbol, Ordering::Relaxed);
            }
            // SAFETY: The symbol of this name is the C library's function, which has this type.
            let function: unsafe extern "C" fn($($argument_type),*) -> $result = std::mem::transmute(symbol);
            function($($argument),*)
        }
    )*};
}

next_symbols! {
    fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int;
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
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int;
    fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int;
    fn recv(fd: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> ssize_t;
    fn send(fd: c_int, buffer: *const c_void, length: usize, flags: c_int) -> ssize_t;
    fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t;
    fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t;
    fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int;
}
