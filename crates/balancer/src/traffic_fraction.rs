//! This node's part of the traffic of all nodes.

use crate::fleet::Fleet;
use crate::rate::Rate;
use crate::time::Time;

/// Time constant, in seconds, of the rate of attempts.
const ATTEMPT_WINDOW: f64 = 1.0;
/// Seconds after the start until which the rate of attempts is too uncertain.
const MIN_AGE: f64 = 4.0 * ATTEMPT_WINDOW;
/// Time constant, in seconds, with which the fraction is learned.
const LEARNING_TIME: f64 = 10.0;

/// Estimates the fraction of all requests that this node sends.
pub struct TrafficFraction {
    fraction: f64,
    attempts: Rate,
    started_at: Time,
}

impl TrafficFraction {
    /// Starts at an even fraction among `nodes`.
    pub fn new(now: Time, nodes: u32) -> Self {
        TrafficFraction {
            fraction: 1.0 / f64::from(nodes),
            attempts: Rate::new(now, ATTEMPT_WINDOW),
            started_at: now,
        }
    }

    /// The fraction of all requests that this node sends.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Counts an attempt that starts.
    pub fn record_attempt(&mut self, now: Time) {
        self.attempts.record(now, 1.0);
    }

    /// Learns from this node's attempts and the throughput that backends report. While load is shed
    /// these describe different traffic. `elapsed` is in seconds since the last update.
    pub fn update(&mut self, now: Time, elapsed: f64, fleet: &Fleet, is_shedding: bool) {
        let served = fleet.served_per_second();
        let sent = self.attempts.advance(now);
        let age = (now - self.started_at).as_secs_f64();
        if !is_shedding && served > 0.0 && age > MIN_AGE {
            self.fraction += (sent / served - self.fraction) * (elapsed / LEARNING_TIME).min(1.0);
        }
    }
}
