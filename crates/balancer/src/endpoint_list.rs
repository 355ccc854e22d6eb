//! When discovery is polled for the endpoint list, where changes come only on request.

use crate::actions::Action;
use crate::events::{Endpoint, EndpointState, ListUpdate};
use crate::ids::TimerId;
use crate::random::Random;
use crate::settings::Settings;
use crate::time::Time;
use crate::timers::Timers;
use std::sync::Arc;

/// Longest wait, in seconds, after a first failed call. Each further failure doubles it.
const MIN_BACKOFF: f64 = 0.25;
/// Upper bound of the doubled wait, in seconds: two further calls have to fit into the time after
/// which a change counts as notified.
const MAX_BACKOFF: f64 = 2.0;
/// Longest poll interval, in seconds, of a node that knows active backends.
const MAX_POLL_INTERVAL: f64 = 30.0;
/// Longest poll interval, in seconds, of a node that knows none and so cannot serve.
const MAX_POLL_INTERVAL_WITHOUT_BACKENDS: f64 = POLLS_PER_INTERVAL * MAX_BACKOFF;
/// Shortest poll interval in seconds.
const MIN_POLL_INTERVAL: f64 = 1.0;
/// Calls that fit into one poll interval; the first one after a cached list comes within one part.
const POLLS_PER_INTERVAL: f64 = 5.0;
/// Failures from which the backoff is no longer doubled; keeps its shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// Polls discovery after a cached list or a failed call, at random times: all nodes may have
/// started together.
pub struct EndpointListPoller {
    settings: Arc<Settings>,
    timer: Option<TimerId>,
    /// When the latest call began.
    called_at: Time,
    /// Calls that have failed since a list last came.
    consecutive_failures: u32,
}

impl EndpointListPoller {
    /// A poller that has made no call.
    pub fn new(settings: Arc<Settings>, now: Time) -> Self {
        EndpointListPoller {
            settings,
            timer: None,
            called_at: now,
            consecutive_failures: 0,
        }
    }

    /// Sets the time of the next call after an update, if one is needed.
    pub fn on_update(
        &mut self,
        now: Time,
        update: ListUpdate,
        endpoints: &[Endpoint],
        random: &mut Random,
        timers: &mut Timers,
        actions: &mut Vec<Action>,
    ) {
        let max_wait = match update {
            ListUpdate::Cached | ListUpdate::Failed if !self.settings.polled_discovery => None,
            ListUpdate::Cached => Some(self.max_poll_wait(endpoints)),
            ListUpdate::Failed => Some(self.backoff(now).min(self.max_poll_wait(endpoints))),
            ListUpdate::Delta | ListUpdate::Snapshot => None,
        };
        let Some(max_wait) = max_wait else {
            self.consecutive_failures = 0;
            return;
        };
        let wait = random.uniform() * max_wait;
        if update == ListUpdate::Failed {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
        self.timer = Some(timers.start(now, wait, actions));
    }

    /// Calls discovery if this is the poller's timer. Returns whether it is.
    pub fn on_timer(&mut self, now: Time, timer: TimerId, actions: &mut Vec<Action>) -> bool {
        if self.timer != Some(timer) {
            return false;
        }
        self.timer = None;
        self.called_at = now;
        actions.push(Action::RefreshEndpointList);
        true
    }

    /// Longest wait in seconds for a regular call.
    fn max_poll_wait(&self, endpoints: &[Endpoint]) -> f64 {
        let has_active = endpoints
            .iter()
            .any(|endpoint| endpoint.state == EndpointState::Active);
        let max_interval = if has_active {
            MAX_POLL_INTERVAL
        } else {
            MAX_POLL_INTERVAL_WITHOUT_BACKENDS
        };
        let limit = self.settings.protocol_limits.poll_interval_limit;
        limit.as_secs_f64().clamp(MIN_POLL_INTERVAL, max_interval) / POLLS_PER_INTERVAL
    }

    /// Longest wait in seconds after a failed call. Consecutive failures double it, less the time
    /// that the latest call took: one that was given up as unanswered has been a pause already.
    fn backoff(&self, now: Time) -> f64 {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let max_wait = (MIN_BACKOFF * f64::from(1u32 << doublings)).min(MAX_BACKOFF);
        if self.consecutive_failures == 0 {
            // A watch that broke after a long time, perhaps: its duration was no pause.
            return max_wait;
        }
        (max_wait - (now - self.called_at).as_secs_f64()).max(MIN_BACKOFF)
    }
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
