//! Timers that the embedding process runs for the balancer.

use crate::actions::Action;
use crate::ids::TimerId;
use crate::time::Time;
use std::time::Duration;

/// Hands out timer ids.
#[derive(Default)]
pub struct Timers {
    last_id: u32,
}

impl Timers {
    /// Asks for a timer that fires `delay` seconds from now.
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
