//! The process's random numbers, which depend on the control file's seed alone.

use fault_injection::FaultControl;
use std::sync::atomic::{AtomicU64, Ordering};

/// The next number of the `SplitMix64` generator. All threads share one sequence.
pub(crate) fn random(control: &FaultControl) -> u64 {
    static DRAWN: AtomicU64 = AtomicU64::new(0);
    let drawn = DRAWN.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
    let mut mixed = control
        .seed()
        .wrapping_add(drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
