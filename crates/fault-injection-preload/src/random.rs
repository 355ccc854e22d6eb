//! The random numbers by which faults are drawn; their sequence depends only on the control file's
//! seed.

use fault_injection::FaultControl;
use std::sync::atomic::{AtomicU64, Ordering};

/// Returns the next number of the `SplitMix64` generator, uniform over all `u64` values. All
/// threads of the process share one sequence.
pub(crate) fn random(control: &FaultControl) -> u64 {
    static DRAW_COUNT: AtomicU64 = AtomicU64::new(0);
    let draw_number = DRAW_COUNT.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
    let mut mixed = control
        .seed()
        .wrapping_add(draw_number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
