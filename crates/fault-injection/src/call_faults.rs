//! The failures of one system call.

use crate::{happens, take_one};
use std::sync::atomic::{AtomicU64, Ordering};

/// Most error numbers from which the failures of one call are drawn.
const MAX_ERRORS: usize = 8;

/// The failures of one system call, in memory that the test and the process under test share.
#[repr(C)]
pub struct CallFaults {
    /// Rate of random failures, in millionths.
    rate: AtomicU64,
    /// Calls that still succeed before the counted failures begin.
    skipped: AtomicU64,
    /// Counted failures left; they come whatever the rate.
    remaining: AtomicU64,
    /// Error numbers, one in each byte, ended by 0.
    errors: AtomicU64,
    /// Calls that have failed.
    failures: AtomicU64,
}

impl CallFaults {
    /// Lets each call fail at this rate, in millionths, with one of these error numbers.
    ///
    /// # Panics
    ///
    /// Panics if an error number is above 255.
    pub fn set_rate(&self, rate: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Lets the next calls fail with one of these error numbers.
    ///
    /// # Panics
    ///
    /// Panics if an error number is above 255.
    pub fn fail_next(&self, calls: u64, errors: &[i32]) {
        self.fail_after(0, calls, errors);
    }

    /// Lets `calls` calls fail with one of these error numbers, after `skipped` calls that succeed.
    ///
    /// # Panics
    ///
    /// Panics if an error number is above 255.
    pub fn fail_after(&self, skipped: u64, calls: u64, errors: &[i32]) {
        self.set_errors(errors);
        self.skipped.store(skipped, Ordering::SeqCst);
        self.remaining.store(calls, Ordering::SeqCst);
    }

    fn set_errors(&self, errors: &[i32]) {
        let mut bytes = [0; MAX_ERRORS];
        for (byte, number) in bytes.iter_mut().zip(errors) {
            *byte = u8::try_from(*number).expect("an error number below 256");
        }
        self.errors
            .store(u64::from_le_bytes(bytes), Ordering::SeqCst);
    }

    /// Ends the random failures and the counted ones.
    pub(crate) fn clear(&self) {
        self.rate.store(0, Ordering::SeqCst);
        self.remaining.store(0, Ordering::SeqCst);
    }

    /// How many calls have failed so far.
    pub fn failure_count(&self) -> u64 {
        self.failures.load(Ordering::SeqCst)
    }

    /// How many counted failures are still to come.
    pub fn remaining_failures(&self) -> u64 {
        self.remaining.load(Ordering::SeqCst)
    }

    /// The error number with which this call fails, if it does. `random` draws a number.
    pub fn draw(&self, mut random: impl FnMut() -> u64) -> Option<i32> {
        if self.remaining_failures() > 0 && take_one(&self.skipped) {
            return None;
        }
        let fails =
            take_one(&self.remaining) || happens(self.rate.load(Ordering::Relaxed), &mut random);
        if !fails {
            return None;
        }
        let errors = self.errors.load(Ordering::SeqCst).to_le_bytes();
        let given = errors.iter().take_while(|byte| **byte != 0).count();
        if given == 0 {
            return None;
        }
        self.failures.fetch_add(1, Ordering::SeqCst);
        let chosen = (random() % given as u64) as usize;
        Some(i32::from(errors[chosen]))
    }
}
