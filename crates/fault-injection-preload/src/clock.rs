//! The replacement of `clock_gettime`, and pauses of the calling thread.

use crate::control::fault_control;
use crate::next_symbol;
use crate::random::random;
use fault_injection::{FaultControl, Pauses};
use libc::{c_int, timespec};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Replaces the C library's `clock_gettime`. Adds the control file's offset to the wall clock
/// (`CLOCK_REALTIME`); other clocks are unchanged.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
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

/// Pauses the calling thread if `pauses` draws a pause. A random pause keeps its minimum gap from
/// the end of the process's last pause, at whichever place that was.
pub(crate) fn maybe_pause(control: &FaultControl, pauses: &Pauses) {
    /// When the process's last pause ended, on the monotonic clock in nanoseconds; 0 before the
    /// first pause.
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

/// Converts a time to nanoseconds.
fn nanoseconds(time: &timespec) -> i64 {
    time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec
}

/// Reads the monotonic clock, in nanoseconds.
fn monotonic_nanoseconds() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is to a valid local `timespec`.
    unsafe { next_symbol::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    nanoseconds(&time) as u64
}

/// Sleeps for `length`, also if signals arrive meanwhile.
fn pause(length: Duration) {
    let mut remaining = timespec {
        tv_sec: length.as_secs() as i64,
        tv_nsec: i64::from(length.subsec_nanos()),
    };
    // SAFETY: Both pointers are to the same valid local `timespec`. If a signal interrupts the
    // sleep, the loop sleeps for the remaining time.
    unsafe { while libc::nanosleep(&raw const remaining, &raw mut remaining) != 0 {} }
}
