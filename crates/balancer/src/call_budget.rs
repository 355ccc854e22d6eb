//! A limit, by counted attempts, for backends that are probably warm and may yet be in slow start.
//!
//! What backends have answered within some time they can answer again: their capacity only grows
//! during slow start. So this node's attempts may exceed its responses by a little less than the
//! overload multiple. As each node keeps to its own count, all nodes together keep to it as well.

use crate::settings::ProtocolLimits;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the overload multiple that is used; the rest is left to chance.
const USED_FRACTION: f64 = 0.6;
/// Attempts that a backend bears within the overload duration, whatever its capacity, from all nodes
/// together.
const FREE_ATTEMPTS: f64 = 3.0;

/// Counts this node's attempts and responses at the backends that are probably warm.
pub struct CallBudget {
    window: Duration,
    attempts_per_response: f64,
    free_attempts: f64,
    attempts: VecDeque<Time>,
    responses: VecDeque<Time>,
    /// Most responses within one window so far.
    most_responses: usize,
}

impl CallBudget {
    /// Nothing is counted yet. This is one of `nodes` nodes.
    pub fn new(limits: &ProtocolLimits, nodes: u32) -> Self {
        CallBudget {
            window: limits.overload_duration,
            attempts_per_response: USED_FRACTION * limits.overload_multiple,
            free_attempts: FREE_ATTEMPTS / f64::from(nodes),
            attempts: VecDeque::new(),
            responses: VecDeque::new(),
            most_responses: 0,
        }
    }

    /// Counts an attempt.
    pub fn record_attempt(&mut self, now: Time) {
        self.attempts.push_back(now);
        self.forget_old(now);
    }

    /// Counts a successful response.
    pub fn record_response(&mut self, now: Time) {
        self.responses.push_back(now);
        self.forget_old(now);
        self.most_responses = self.most_responses.max(self.responses.len());
    }

    /// Whether another attempt keeps to the limit, for this many backends together. Without an
    /// overload duration there is no limit.
    pub fn has_room(&mut self, now: Time, backends: usize) -> bool {
        if self.window.is_zero() {
            return true;
        }
        self.forget_old(now);
        let limit = self.free_attempts * backends as f64
            + self.attempts_per_response * self.most_responses as f64;
        (self.attempts.len() + 1) as f64 <= limit
    }

    fn forget_old(&mut self, now: Time) {
        for times in [&mut self.attempts, &mut self.responses] {
            while times.front().is_some_and(|&at| at + self.window <= now) {
                times.pop_front();
            }
        }
    }
}

#[cfg(test)]
#[path = "call_budget_tests.rs"]
mod tests;
