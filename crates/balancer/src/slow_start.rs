//! Slow start: limits the traffic and the single requests given to a backend that is warming up.

use crate::settings::ProtocolLimits;
use crate::time::Time;

/// Fraction of a warming backend's limit that the expected traffic of all nodes together may take;
/// the rest is a margin for random variation.
const EXPECTED_TRAFFIC_FRACTION: f64 = 0.3;
/// Upper bound of the relative speed with which a warming backend's share is computed.
const MAX_RELATIVE_SPEED: f64 = 1.5;
/// Fraction of a warming backend's limit that the work of a single request may take.
const SINGLE_REQUEST_FRACTION: f64 = 0.25;
/// Lower bound of the duration of slow start, in seconds; prevents a division by zero.
const MIN_DURATION: f64 = 1e-9;

/// Returns the fraction of its full capacity that a backend which started at `started_at` is
/// certain to have at `now`. It grows linearly during slow start and is 1 once the backend is warm
/// or if there is no start time.
pub fn available_capacity(limits: &ProtocolLimits, started_at: Option<Time>, now: Time) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let duration = limits.slow_start_duration.as_secs_f64().max(MIN_DURATION);
    let age = (now - started_at).as_secs_f64() / duration;
    let initial = limits.slow_start_initial_capacity;
    (initial + (1.0 - initial) * age).min(1.0)
}

/// Returns the largest share of a warming backend: the share at which the traffic of all nodes
/// together stays well within [`ProtocolLimits::overload_multiple`], compared with a warm backend
/// of the same speed.
pub fn max_share(limits: &ProtocolLimits, relative_speed: f64, available_capacity: f64) -> f64 {
    relative_speed.min(MAX_RELATIVE_SPEED)
        * available_capacity
        * limits.overload_multiple
        * EXPECTED_TRAFFIC_FRACTION
}

/// Returns the work, in seconds on a standard core, from which a single request is too heavy for a
/// warming backend. Without an overload duration there is no such limit.
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
