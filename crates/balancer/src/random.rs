//! The balancer's source of random numbers, which is seeded so that runs can be repeated.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A pseudo-random number generator: the same seed gives the same sequence of numbers.
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// Creates a generator whose sequence is determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns the next number, uniform over all 64-bit integers.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns the next number, uniform in [0, 1) with 53 random bits.
    pub fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
