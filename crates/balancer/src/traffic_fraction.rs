//! Estimates this node's fraction of the traffic of all nodes.

use crate::fleet::Fleet;
use crate::rate::Rate;
use crate::time::Time;

/// Time constant, in seconds, of the rate of this node's attempts.
const ATTEMPT_WINDOW: f64 = 1.0;
/// Time after the start, in seconds, during which the rate of attempts is too uncertain to be used.
const MIN_AGE: f64 = 4.0 * ATTEMPT_WINDOW;
/// Time constant, in seconds, with which the estimate follows the measured fraction.
const LEARNING_TIME: f64 = 10.0;

/// An estimate of the fraction of all requests that this node sends, from its own attempts and the
/// throughput that backends report.
pub struct TrafficFraction {
    fraction: f64,
    attempts: Rate,
    started_at: Time,
}

impl TrafficFraction {
    /// Creates an estimate that starts at an even fraction among `nodes` nodes.
    pub fn new(now: Time, nodes: u32) -> Self {
        TrafficFraction {
            fraction: 1.0 / f64::from(nodes),
            attempts: Rate::new(now, ATTEMPT_WINDOW),
            started_at: now,
        }
    }

    /// Returns the estimated fraction of all requests that this node sends.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Counts an attempt that this node starts.
    pub fn record_attempt(&mut self, now: Time) {
        self.attempts.record(now, 1.0);
    }

    /// Updates the estimate from the rate of this node's attempts and the throughput that backends
    /// report. While load is shed the estimate stays, since the two then describe different
    /// traffic; it also stays while the rate of attempts is too uncertain and while nothing is
    /// served. `elapsed` is the time since the last update in seconds.
    pub fn update(&mut self, now: Time, elapsed: f64, fleet: &Fleet, is_shedding: bool) {
        let served = fleet.served_per_second();
        let sent = self.attempts.advance(now);
        let age = (now - self.started_at).as_secs_f64();
        if !is_shedding && served > 0.0 && age > MIN_AGE {
            self.fraction += (sent / served - self.fraction) * (elapsed / LEARNING_TIME).min(1.0);
        }
    }
}
