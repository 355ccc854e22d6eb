//! Limits the attempts at backends that are probably warm but may still be in slow start.
//!
//! As many requests as backends have served within some time they can serve again within the same
//! time, since their capacity only grows during slow start. The attempts of this node may therefore
//! exceed its responses by a factor somewhat below the overload multiple. As each node keeps to the
//! limit by its own counts, all nodes together keep to it as well.

use crate::settings::ProtocolLimits;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the overload multiple that is used; the rest is a margin for random variation.
const USED_FRACTION: f64 = 0.6;
/// Number of attempts from all nodes together that a backend withstands within the overload
/// duration whatever its capacity.
const FREE_ATTEMPTS: f64 = 3.0;

/// Counts this node's attempts at the backends that are probably warm and their responses, and
/// limits the attempts by both.
pub struct AttemptBudget {
    /// Time over which attempts and responses are counted: the overload duration.
    window: Duration,
    /// Attempts that each counted response allows.
    attempts_per_response: f64,
    /// Attempts that this node may send per backend and window without any response.
    free_attempts: f64,
    /// Start times of the attempts within the window.
    attempts: VecDeque<Time>,
    /// Times of the successful responses within the window.
    responses: VecDeque<Time>,
    /// Largest number of responses within one window so far.
    peak_responses: usize,
}

impl AttemptBudget {
    /// Creates a budget without counted attempts and responses for one of `nodes` nodes.
    pub fn new(limits: &ProtocolLimits, nodes: u32) -> Self {
        AttemptBudget {
            window: limits.overload_duration,
            attempts_per_response: USED_FRACTION * limits.overload_multiple,
            free_attempts: FREE_ATTEMPTS / f64::from(nodes),
            attempts: VecDeque::new(),
            responses: VecDeque::new(),
            peak_responses: 0,
        }
    }

    /// Counts an attempt at a backend that is probably warm.
    pub fn record_attempt(&mut self, now: Time) {
        self.attempts.push_back(now);
        self.remove_expired(now);
    }

    /// Counts a successful response of a backend that is probably warm.
    pub fn record_response(&mut self, now: Time) {
        self.responses.push_back(now);
        self.remove_expired(now);
        self.peak_responses = self.peak_responses.max(self.responses.len());
    }

    /// Whether one more attempt stays within the limit, which applies to all probably warm backends
    /// together; `backends` is their number. Without an overload duration there is no limit.
    pub fn has_room(&mut self, now: Time, backends: usize) -> bool {
        if self.window.is_zero() {
            return true;
        }
        self.remove_expired(now);
        let limit = self.free_attempts * backends as f64
            + self.attempts_per_response * self.peak_responses as f64;
        (self.attempts.len() + 1) as f64 <= limit
    }

    /// Removes attempts and responses that are older than the window.
    fn remove_expired(&mut self, now: Time) {
        for times in [&mut self.attempts, &mut self.responses] {
            while times.front().is_some_and(|&at| at + self.window <= now) {
                times.pop_front();
            }
        }
    }
}

#[cfg(test)]
#[path = "attempt_budget_tests.rs"]
mod tests;
