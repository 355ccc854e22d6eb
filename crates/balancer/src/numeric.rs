//! Bounds that keep floating-point results finite.

/// Lower bound of divisors that may be 0; prevents divisions by zero.
pub const MIN_DIVISOR: f64 = 1e-9;
