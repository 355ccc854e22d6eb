//! Timers that the embedding process runs for the balancer.

use crate::actions::Action;
use crate::ids::TimerId;
use crate::time::Time;
use std::time::Duration;

/// Assigns the ids of timers, which the embedding process then runs.
#[derive(Default)]
pub struct Timers {
    /// The id assigned last; 0 before the first. It wraps around.
    last_id: u32,
}

impl Timers {
    /// Asks for a timer that fires `delay` seconds after `now` and returns its id. `delay` must be
    /// finite, not negative and within the range of a [`Duration`].
    pub fn start(&mut self, now: Time, delay: f64, actions: &mut Vec<Action>) -> TimerId {
        self.last_id = self.last_id.wrapping_add(1);
        let timer = TimerId(self.last_id);
        actions.push(Action::SetTimer {
            at: now + Duration::from_secs_f64(delay),
            timer,
        });
        timer
    }
}
