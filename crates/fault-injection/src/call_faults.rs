//! The failures to inject into one system call.

use crate::{draw_bool, try_decrement};
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of error numbers from which a call's failures are drawn; each takes one byte of a
/// `u64`.
const MAX_ERRORS: usize = 8;

/// The failures of one system call, in memory shared by the test, which configures them, and the
/// process under test, which draws them.
#[repr(C)]
pub struct CallFaults {
    /// Probability that a call fails at random, in millionths.
    rate: AtomicU64,
    /// Number of calls that still succeed before the counted failures begin.
    skipped: AtomicU64,
    /// Number of counted failures left; they occur regardless of `rate`.
    remaining: AtomicU64,
    /// Error numbers to choose from, one per byte from the lowest byte on, terminated by 0 if there
    /// are fewer than [`MAX_ERRORS`].
    errors: AtomicU64,
    /// Number of calls that have failed since the control file was created.
    failures: AtomicU64,
}

impl CallFaults {
    /// Makes each call fail with probability `rate`, in millionths, with an error number drawn from
    /// `errors`.
    ///
    /// `errors` replaces the error numbers set before, also for counted failures. Only its first 8
    /// entries before a 0 are used; if there are none, no call fails.
    ///
    /// # Panics
    ///
    /// Panics if one of the first 8 error numbers is negative or above 255.
    pub fn set_rate(&self, rate: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Makes the next `calls` calls fail, each with an error number drawn from `errors`, which is
    /// used as by [`set_rate`](Self::set_rate).
    ///
    /// # Panics
    ///
    /// Panics if one of the first 8 error numbers is negative or above 255.
    pub fn fail_next(&self, calls: u64, errors: &[i32]) {
        self.fail_after(0, calls, errors);
    }

    /// Lets the next `skipped` calls succeed and makes the `calls` calls after them fail, each with
    /// an error number drawn from `errors`, which is used as by [`set_rate`](Self::set_rate).
    ///
    /// The skipped calls are exempt from random failures, too.
    ///
    /// # Panics
    ///
    /// Panics if one of the first 8 error numbers is negative or above 255.
    pub fn fail_after(&self, skipped: u64, calls: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.skipped.store(skipped, Ordering::SeqCst);
        self.remaining.store(calls, Ordering::SeqCst);
    }

    /// Replaces the error numbers by the first [`MAX_ERRORS`] of `errors`.
    fn set_errors(&self, errors: &[i32]) {
        let mut bytes = [0; MAX_ERRORS];
        for (byte, errno) in bytes.iter_mut().zip(errors) {
            *byte = u8::try_from(*errno).expect("an error number from 0 to 255");
        }
        self.errors
            .store(u64::from_le_bytes(bytes), Ordering::SeqCst);
    }

    /// Stops both the random and the counted failures. The count of past failures stays.
    pub(crate) fn clear(&self) {
        self.rate.store(0, Ordering::SeqCst);
        self.remaining.store(0, Ordering::SeqCst);
    }

    /// Returns the number of calls that have failed since the control file was created.
    pub fn failure_count(&self) -> u64 {
        self.failures.load(Ordering::SeqCst)
    }

    /// Returns the number of counted failures that have not occurred yet.
    pub fn remaining_failures(&self) -> u64 {
        self.remaining.load(Ordering::SeqCst)
    }

    /// Decides whether this call fails, and counts a failure.
    ///
    /// Returns the error number to fail with, or `None` if the call should be carried out. `random`
    /// returns the next random number, uniform over all `u64` values.
    pub fn draw(&self, mut random: impl FnMut() -> u64) -> Option<i32> {
        if self.remaining_failures() > 0 && try_decrement(&self.skipped) {
            return None;
        }
        let should_fail = try_decrement(&self.remaining)
            || draw_bool(self.rate.load(Ordering::Relaxed), &mut random);
        if !should_fail {
            return None;
        }
        let errors = self.errors.load(Ordering::SeqCst).to_le_bytes();
        let error_count = errors.iter().take_while(|byte| **byte != 0).count();
        if error_count == 0 {
            return None;
        }
        self.failures.fetch_add(1, Ordering::SeqCst);
        let index = (random() % error_count as u64) as usize;
        Some(i32::from(errors[index]))
    }
}
