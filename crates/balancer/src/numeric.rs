//! Bounds of floating-point arithmetic.

/// Smallest divisor, against divisions by zero.
pub const MIN_DIVISOR: f64 = 1e-9;
