//! The balancer's source of random numbers.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A pseudo-random generator: the same seed gives the same numbers.
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// A generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Uniform over all 64-bit integers.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }
}
