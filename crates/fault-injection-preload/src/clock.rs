//! Clocks and pauses.

use crate::control::fault_control;
use crate::next_symbol;
use crate::random::random;
use fault_injection::{FaultControl, Pauses};
use libc::{c_int, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// The C library's function of this name, with the wall clock set off as the control file directs.
///
/// # Safety
///
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = next_symbol::clock_gettime(clock, time);
    if let (libc::CLOCK_REALTIME, 0, Some(control)) = (clock, result, fault_control()) {
        let shifted = nanoseconds(&*time) + control.wall_clock_offset();
        (*time).tv_sec = shifted.div_euclid(NANOSECONDS_PER_SECOND);
        (*time).tv_nsec = shifted.rem_euclid(NANOSECONDS_PER_SECOND);
    }
    result
}

/// Pauses the calling thread if the control file directs so.
pub(crate) fn draw_pause(control: &FaultControl, pauses: &Pauses) {
    /// When the last pause ended, by the monotonic clock in nanoseconds.
    static LAST_ENDED: AtomicU64 = AtomicU64::new(0);
    let since_last = || {
        let elapsed = monotonic_nanoseconds().saturating_sub(LAST_ENDED.load(Ordering::Relaxed));
        Duration::from_nanos(elapsed)
    };
    if let Some(length) = pauses.draw(|| random(control), since_last) {
        pause(length);
        LAST_ENDED.store(monotonic_nanoseconds(), Ordering::Relaxed);
    }
}

fn nanoseconds(time: &timespec) -> i64 {
    time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec
}

fn monotonic_nanoseconds() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is to a valid structure of this function.
    unsafe { next_symbol::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    nanoseconds(&time) as u64
}

fn pause(length: Duration) {
    let mut left = timespec {
        tv_sec: length.as_secs() as i64,
        tv_nsec: i64::from(length.subsec_nanos()),
    };
    // SAFETY: Both pointers are to one valid structure of this function. A signal interrupts the
    // sleep, which then goes on with the time that is left.
    unsafe { while libc::nanosleep(&raw const left, &raw mut left) != 0 {} }
}
