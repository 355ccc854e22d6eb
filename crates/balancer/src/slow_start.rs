//! Slow start: what a backend that is still warming up may be given.

use crate::settings::ProtocolLimits;
use crate::time::Time;

/// Fraction of a warming backend's limit that the expected traffic of all nodes may take; the rest
/// is left to chance.
const EXPECTED_TRAFFIC_FRACTION: f64 = 0.3;
/// Highest relative speed that a warming backend is credited with.
const MAX_RELATIVE_SPEED: f64 = 1.5;
/// Fraction of a warming backend's limit that a single request may take.
const SINGLE_REQUEST_FRACTION: f64 = 0.25;
/// Shortest slow start, in seconds, against a division by zero.
const MIN_DURATION: f64 = 1e-9;

/// Fraction of its full capacity that a backend has for certain, from its start time; 1 once it is
/// warm or where the start is unknown.
pub fn available_capacity(limits: &ProtocolLimits, started_at: Option<Time>, now: Time) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let duration = limits.slow_start_duration.as_secs_f64().max(MIN_DURATION);
    let age = (now - started_at).as_secs_f64() / duration;
    let initial = limits.slow_start_initial_capacity;
    (initial + (1.0 - initial) * age).min(1.0)
}

/// Largest share of a warming backend: the share at which all nodes together stay well within
/// [`ProtocolLimits::overload_multiple`], compared with a warm backend of the same speed.
pub fn max_share(limits: &ProtocolLimits, relative_speed: f64, available_capacity: f64) -> f64 {
    relative_speed.min(MAX_RELATIVE_SPEED)
        * available_capacity
        * limits.overload_multiple
        * EXPECTED_TRAFFIC_FRACTION
}

/// Work, in seconds on a standard core, from which a single request is too heavy for a warming
/// backend. Without an overload duration there is no such limit.
pub fn max_request_work(limits: &ProtocolLimits, available_capacity: f64) -> f64 {
    let duration = if limits.overload_duration.is_zero() {
        f64::INFINITY
    } else {
        limits.overload_duration.as_secs_f64()
    };
    SINGLE_REQUEST_FRACTION * limits.overload_multiple * duration * available_capacity
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
