//! Rates of events that forget the past exponentially.

use crate::time::Time;

/// Lower bound, in seconds, of the time for which a rate has been observed.
const MIN_OBSERVED: f64 = 1.0;

/// An exponentially weighted rate of events per second.
pub struct Rate {
    /// Events counted, each discounted by its age.
    count: f64,
    started_at: Time,
    updated_at: Time,
    /// Time constant of the discount, in seconds.
    window: f64,
}

impl Rate {
    /// A rate of zero, with a time constant of `window` seconds.
    pub fn new(now: Time, window: f64) -> Self {
        Rate {
            count: 0.0,
            started_at: now,
            updated_at: now,
            window,
        }
    }

    /// Counts `amount` events.
    pub fn record(&mut self, now: Time, amount: f64) {
        self.count = self.discounted_count(now) + amount;
        self.updated_at = now;
    }

    /// Discounts the count up to `now` and returns the events per second.
    pub fn advance(&mut self, now: Time) -> f64 {
        self.record(now, 0.0);
        self.count / self.window
    }

    /// Like [`Rate::advance`], corrected for a rate that is younger than its window.
    pub fn advance_unbiased(&mut self, now: Time) -> f64 {
        let rate = self.advance(now);
        let observed = (now - self.started_at).as_secs_f64().max(MIN_OBSERVED) / self.window;
        rate / (1.0 - (-observed).exp())
    }

    /// Events per second, without a change to the rate.
    pub fn per_second(&self, now: Time) -> f64 {
        self.discounted_count(now) / self.window
    }

    fn discounted_count(&self, now: Time) -> f64 {
        self.count * (-(now - self.updated_at).as_secs_f64() / self.window).exp()
    }
}
