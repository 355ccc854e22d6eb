//! Exponentially weighted rates of events, which discount past events by their age.

use crate::time::Time;

/// Lower bound, in seconds, of the observation time that [`Rate::advance_unbiased`] assumes.
const MIN_OBSERVED: f64 = 1.0;

/// An exponentially weighted rate of events per second.
pub struct Rate {
    /// Number of events, each discounted by its age at `updated_at`.
    count: f64,
    /// When the observation began.
    started_at: Time,
    /// When the count was last discounted.
    updated_at: Time,
    /// Time constant of the discount, in seconds.
    window: f64,
}

impl Rate {
    /// Creates a rate of zero with a time constant of `window` seconds, observed from `now` on.
    pub fn new(now: Time, window: f64) -> Self {
        Rate {
            count: 0.0,
            started_at: now,
            updated_at: now,
            window,
        }
    }

    /// Counts `amount` events at `now`.
    pub fn record(&mut self, now: Time, amount: f64) {
        self.count = self.discounted_count(now) + amount;
        self.updated_at = now;
    }

    /// Discounts the count up to `now` and returns the events per second.
    pub fn advance(&mut self, now: Time) -> f64 {
        self.record(now, 0.0);
        self.count / self.window
    }

    /// Does the same as [`Rate::advance`], but corrects the returned rate for the events that a
    /// rate younger than its window cannot have counted yet.
    pub fn advance_unbiased(&mut self, now: Time) -> f64 {
        let rate = self.advance(now);
        let observed = (now - self.started_at).as_secs_f64().max(MIN_OBSERVED) / self.window;
        rate / (1.0 - (-observed).exp())
    }

    /// Returns the events per second at `now` and leaves the rate as it is.
    pub fn per_second(&self, now: Time) -> f64 {
        self.discounted_count(now) / self.window
    }

    /// Returns the count discounted up to `now`.
    fn discounted_count(&self, now: Time) -> f64 {
        self.count * (-(now - self.updated_at).as_secs_f64() / self.window).exp()
    }
}
