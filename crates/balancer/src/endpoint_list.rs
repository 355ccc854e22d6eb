//! The times at which discovery is asked for the endpoint list, where changes arrive only on
//! request.

use crate::actions::Action;
use crate::events::{Endpoint, EndpointState, ListUpdate};
use crate::ids::TimerId;
use crate::random::Random;
use crate::settings::Settings;
use crate::time::Time;
use crate::timers::Timers;
use std::sync::Arc;

/// Longest wait, in seconds, after the first failed call. Each consecutive failure doubles it.
const MIN_BACKOFF: f64 = 0.25;
/// Upper bound of the doubled wait, in seconds. It is low enough for two further calls within the
/// time after which a change counts as notified to this node.
const MAX_BACKOFF: f64 = 2.0;
/// Upper bound of the poll interval, in seconds, of a node that knows active backends.
const MAX_POLL_INTERVAL: f64 = 30.0;
/// Upper bound of the poll interval, in seconds, of a node that knows no active backend and so
/// cannot serve. It makes the longest wait between calls equal to that of the backoff.
const MAX_POLL_INTERVAL_WITHOUT_BACKENDS: f64 = POLLS_PER_INTERVAL * MAX_BACKOFF;
/// Lower bound of the poll interval, in seconds.
const MIN_POLL_INTERVAL: f64 = 1.0;
/// Number of calls that fit into one poll interval. After a cached list, the next call begins
/// within one interval divided by this number.
const POLLS_PER_INTERVAL: f64 = 5.0;
/// Number of consecutive failures after which the backoff is no longer doubled; keeps the shift
/// that computes it in range.
const MAX_DOUBLINGS: u32 = 16;

/// Schedules calls to discovery after a cached list or a failed call. Their times are random
/// because all nodes may have started together.
pub struct EndpointListPoller {
    settings: Arc<Settings>,
    /// The timer of the next call; `None` if none is scheduled.
    timer: Option<TimerId>,
    /// When the latest scheduled call began; before the first, when the poller was created.
    called_at: Time,
    /// Number of calls that have failed since a snapshot or delta last arrived.
    consecutive_failures: u32,
}

impl EndpointListPoller {
    /// Creates a poller that has made no call and has none scheduled.
    pub fn new(settings: Arc<Settings>, now: Time) -> Self {
        EndpointListPoller {
            settings,
            timer: None,
            called_at: now,
            consecutive_failures: 0,
        }
    }

    /// Schedules the next call after an update if one is needed: after a cached list or a failed
    /// call, where discovery is polled. Draws one random number if so, and none otherwise.
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

    /// Asks discovery for the endpoint list if this is the poller's timer. Returns whether it is.
    pub fn on_timer(&mut self, now: Time, timer: TimerId, actions: &mut Vec<Action>) -> bool {
        if self.timer != Some(timer) {
            return false;
        }
        self.timer = None;
        self.called_at = now;
        actions.push(Action::RefreshEndpointList);
        true
    }

    /// Returns the longest wait, in seconds, until a regular call. It is shorter if none of
    /// `endpoints` is active.
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

    /// Returns the longest wait, in seconds, after a failed call. Consecutive failures double it.
    /// The time that the latest call took is subtracted, down to the shortest backoff: a call that
    /// timed out without an answer has already been a pause.
    fn backoff(&self, now: Time) -> f64 {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let max_wait = (MIN_BACKOFF * f64::from(1u32 << doublings)).min(MAX_BACKOFF);
        if self.consecutive_failures == 0 {
            // This may be a watch that broke after a long time; its duration was no pause.
            return max_wait;
        }
        (max_wait - (now - self.called_at).as_secs_f64()).max(MIN_BACKOFF)
    }
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
