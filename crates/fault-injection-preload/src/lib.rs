//! A library to preload into a node under test. It stands in for some of the C library's functions
//! and makes them fail, pause or tell another time, as the control file says that
//! `FAULT_SHIM_CONTROL` names; without one it changes nothing.
//!
//! Faults of reads and writes are for TCP sockets and regular files alone: the runtime's own pipes,
//! events and signals and the log never fail.

#![allow(unsafe_code)] // Stands in for functions of the C library.

mod next;

use fault_injection::{Call, Control, Pauses, VARIABLE};
use libc::{
    c_char, c_int, c_uint, c_void, iovec, mode_t, pollfd, sockaddr, socklen_t, ssize_t, timespec,
};
use std::ffi::CString;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

/// What a short read or write moves.
const SHORT: usize = 3;
/// Of higher descriptors it isn't known where they come from.
const MOST_DESCRIPTORS: usize = 4096;
const NANOSECONDS: i64 = 1_000_000_000;

/// The control file, mapped at its first use. None: there is none, and nothing is changed.
fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<&'static Control>> = OnceLock::new();
    *CONTROL.get_or_init(|| {
        let path = CString::new(std::env::var(VARIABLE).ok()?).ok()?;
        // SAFETY: The system calls are made directly, so that no function of this library is
        // entered again. The file holds a `Control`, whose fields are atomic; the mapping is never
        // undone.
        unsafe {
            let file = libc::syscall(
                libc::SYS_openat,
                libc::AT_FDCWD,
                path.as_ptr(),
                libc::O_RDWR | libc::O_CLOEXEC,
            );
            if file < 0 {
                return None;
            }
            let protection = libc::PROT_READ | libc::PROT_WRITE;
            let length = size_of::<Control>();
            let memory = libc::mmap(
                std::ptr::null_mut(),
                length,
                protection,
                libc::MAP_SHARED,
                file as c_int,
                0,
            );
            libc::syscall(libc::SYS_close, file);
            (memory != libc::MAP_FAILED).then(|| &*memory.cast::<Control>())
        }
    })
}

/// A number from the control file's seed and the count of numbers drawn so far.
fn random(control: &Control) -> u64 {
    static DRAWN: AtomicU64 = AtomicU64::new(0);
    let drawn = DRAWN.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
    let mut z = control
        .seed
        .load(Ordering::Relaxed)
        .wrapping_add(drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The error number that this call fails with, if it does.
fn failure(call: Call) -> Option<c_int> {
    let control = control()?;
    control.faults(call).draw(|| random(control))
}

/// Sets the error number; returns what a failed call returns.
fn fail(number: c_int) -> c_int {
    // SAFETY: The pointer is to the calling thread's own error number.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// How much of `length` a call moves.
fn moved(length: usize) -> usize {
    let Some(control) = control() else {
        return length;
    };
    let rate = control.short_rate.load(Ordering::Relaxed);
    let short = rate > 0 && length > SHORT && random(control) % fault_injection::MILLION < rate;
    if short {
        SHORT
    } else {
        length
    }
}

/// Pauses if the control file says so.
fn draw_pause(control: &Control, pauses: &Pauses) {
    static ENDED: AtomicU64 = AtomicU64::new(0);
    let since = || Duration::from_nanos(monotonic().saturating_sub(ENDED.load(Ordering::Relaxed)));
    if let Some(time) = pauses.draw(|| random(control), since) {
        pause(time);
        ENDED.store(monotonic(), Ordering::Relaxed);
    }
}

/// The monotonic clock, in nanoseconds.
fn monotonic() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is to a good structure of this function's.
    unsafe { next::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    (time.tv_sec * NANOSECONDS + time.tv_nsec) as u64
}

fn pause(time: Duration) {
    let mut left = timespec {
        tv_sec: time.as_secs() as i64,
        tv_nsec: i64::from(time.subsec_nanos()),
    };
    // SAFETY: Both pointers are to one good structure of this function's.
    unsafe { while libc::nanosleep(&raw const left, &raw mut left) != 0 {} }
}

fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: The pointers are to an integer and to its length.
    let asked = unsafe {
        libc::getsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    asked == 0 && domain == libc::AF_INET
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: A `stat` of zeros is good, and the pointer is to it.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Defines functions that fail as the control file says, and else call the C library's.
macro_rules! failing {
    ($($call:ident: $name:ident($($argument:ident: $kind:ty),*);)*) => {$(
        /// The C library's function of this name, which fails where the control file says so.
        ///
        /// # Safety
        /// As the C library's.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> c_int {
            match failure(Call::$call) {
                Some(number) => fail(number),
                None => next::$name($($argument),*),
            }
        }
    )*};
}

failing! {
    Socket: socket(domain: c_int, kind: c_int, protocol: c_int);
    Bind: bind(fd: c_int, address: *const sockaddr, length: socklen_t);
    Listen: listen(fd: c_int, backlog: c_int);
    Poll: poll(fds: *mut pollfd, count: libc::nfds_t, timeout: c_int);
    Sync: fsync(fd: c_int);
    Sync: fdatasync(fd: c_int);
    Rename: rename(from: *const c_char, to: *const c_char);
}

/// Descriptors of connections that the process has made, not accepted.
static MADE: [AtomicBool; MOST_DESCRIPTORS] = [const { AtomicBool::new(false) }; MOST_DESCRIPTORS];

/// Whether the process made a connection itself. Its end may show as an error that its peer knows
/// nothing of.
fn was_made(fd: c_int) -> bool {
    usize::try_from(fd)
        .ok()
        .and_then(|at| MADE.get(at))
        .is_some_and(|made| made.load(Ordering::Relaxed))
}

fn note_made(fd: c_int, made: bool) {
    if let Some(noted) = usize::try_from(fd).ok().and_then(|at| MADE.get(at)) {
        noted.store(made, Ordering::Relaxed);
    }
}

/// As the C library's, with failures.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(number) = failure(Call::Connect) {
        return fail(number);
    }
    note_made(fd, true);
    next::connect(fd, address, length)
}

/// As the C library's, with failures.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(number) = failure(Call::Accept) {
        return fail(number);
    }
    let accepted = next::accept4(fd, address, length, flags);
    note_made(accepted, false);
    accepted
}

/// As the C library's, with failures, and pauses behind it.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(number) = failure(Call::Wait) {
        return fail(number);
    }
    let ready = next::epoll_wait(fd, events, most, timeout);
    if let Some(control) = control() {
        draw_pause(control, &control.after_wait);
    }
    ready
}

/// As the C library's, with pauses before it.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if let Some(control) = control().filter(|_| how == libc::SHUT_WR) {
        draw_pause(control, &control.before_shutdown);
    }
    next::shutdown(fd, how)
}

/// As the C library's; the wall clock differs by what the control file says.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let told = next::clock_gettime(clock, time);
    if let (libc::CLOCK_REALTIME, 0, Some(control)) = (clock, told, control()) {
        let shifted = (*time).tv_sec * NANOSECONDS + (*time).tv_nsec + control.wall_clock();
        ((*time).tv_sec, (*time).tv_nsec) = (
            shifted.div_euclid(NANOSECONDS),
            shifted.rem_euclid(NANOSECONDS),
        );
    }
    told
}

/// As the C library's, with short reads on TCP sockets, and failures on those that the process has
/// connected itself.
///
/// # Safety
///
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    if control().is_none() || !is_tcp(fd) {
        return next::recv(fd, buffer, length, flags);
    }
    match was_made(fd).then(|| failure(Call::Receive)).flatten() {
        Some(number) => fail(number) as ssize_t,
        None => next::recv(fd, buffer, moved(length), flags),
    }
}

/// As the C library's, with failures and short writes on TCP sockets.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    if control().is_none() || !is_tcp(fd) {
        return next::send(fd, buffer, length, flags);
    }
    match failure(Call::Send) {
        Some(number) => fail(number) as ssize_t,
        None => next::send(fd, buffer, moved(length), flags),
    }
}

/// As the C library's, with failures and short writes on TCP sockets.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if control().is_none() || !is_tcp(fd) {
        return next::writev(fd, parts, count);
    }
    if let Some(number) = failure(Call::Send) {
        return fail(number) as ssize_t;
    }
    let first = (count > 0).then(|| &*parts);
    match first.filter(|part| part.iov_len > 0 && moved(part.iov_len) < part.iov_len) {
        Some(part) => next::send(fd, part.iov_base, SHORT, libc::MSG_NOSIGNAL),
        None => next::writev(fd, parts, count),
    }
}

/// As the C library's, with failures on regular files.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let file = fd > libc::STDERR_FILENO && control().is_some() && is_file(fd);
    match file.then(|| failure(Call::Write)).flatten() {
        Some(number) => fail(number) as ssize_t,
        None => next::write(fd, buffer, length),
    }
}

/// As the C library's, with failures.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let reads = flags & libc::O_ACCMODE == libc::O_RDONLY;
    match failure(if reads {
        Call::OpenRead
    } else {
        Call::OpenWrite
    }) {
        Some(number) => fail(number),
        None => next::open64(path, flags, mode as c_uint),
    }
}
