//! The life cycle of attempts: choosing a backend, starting the attempt, learning from its result,
//! and then retrying the request or giving it up.

use super::Balancer;
use crate::actions::{Action, GiveUpReason};
use crate::events::{AttemptOutcome, AttemptResult};
use crate::ids::{BackendId, ClassId, RequestId};
use crate::load_probing;
use crate::pricing::{PriceChange, EXCESS_LOAD, OVERDUE_LATENCY_MULTIPLE};
use crate::request::{Attempt, AttemptStatus, Request, ResponseState};
use crate::retry_policy;
use crate::selection::{self, WarmingBackends};
use crate::settings::{LoadReporting, Settings};
use crate::time::Time;
use std::time::Duration;

/// Load that a rejected or overdue attempt indicates, in units of the backend's capacity.
const OVERLOADED_LOAD: f64 = 1.0 + EXCESS_LOAD;

/// An attempt that has ended, with what the estimates need to know of its request and backend.
struct EndedAttempt {
    /// Where the attempt was sent.
    backend: BackendId,
    /// The class of the request that the attempt served, an index into the settings' classes.
    class: ClassId,
    /// The request's work in seconds on a standard core, if known.
    work: Option<f64>,
    /// How the attempt ended.
    outcome: AttemptOutcome,
    /// Time from the attempt's start to its end, in seconds.
    latency: f64,
    /// Whether its response was streamed; how long that took depends on the client.
    was_streaming: bool,
    /// The backend's load according to the report that came with the response, in units of its
    /// capacity; `None` without a report.
    reported_load: Option<f64>,
}

impl Balancer {
    /// Chooses a backend for a request's next attempt and starts the attempt. Where load is known
    /// only from load probes, candidates are probed first. Returns whether a backend was drawn or
    /// candidates were found; otherwise the request has been given up.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if load_probing::is_enabled(&self.settings) {
            return self.probe_candidates(now, id, actions);
        }
        let backend = self.pick_backend(now, id, WarmingBackends::Included);
        self.start_attempt(now, id, backend, actions);
        backend.is_some()
    }

    /// Draws a backend for a request from the current shares, after refreshing them if that is due.
    /// `None` if the request is not known or no eligible backend was drawn.
    pub(crate) fn pick_backend(
        &mut self,
        now: Time,
        id: RequestId,
        warming_backends: WarmingBackends,
    ) -> Option<BackendId> {
        self.refresh_allocation(now);
        let uniform = self.random.uniform();
        let request = self.requests.get(&id)?;
        selection::draw_backend(
            now,
            &self.settings,
            &self.fleet,
            self.allocation.class(request.class),
            request,
            warming_backends,
            uniform,
        )
    }

    /// Starts an attempt at a backend. Gives the request up if `backend` is `None`, unknown or not
    /// eligible for it.
    pub(crate) fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        backend: Option<BackendId>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let eligible = backend
            .and_then(|backend| self.fleet.backends.get_mut(backend))
            .filter(|backend| selection::is_eligible(now, &self.settings, request, backend));
        let Some(backend) = eligible else {
            return self.give_up(id, GiveUpReason::NoEligibleBackend, actions);
        };
        let backend_id = backend.id;
        let new_connection = !backend.is_connected(now, self.settings.idle_timeout);
        // Until the whole body has been received the backend cannot work on the request.
        if !request.body_pending {
            backend.in_flight.push(now);
        }
        if let Some(in_flight) = &mut backend.probe.in_flight {
            *in_flight += 1.0;
        }
        request.attempts.push(Attempt {
            backend: backend.id,
            zone: backend.zone,
            cell: backend.cell,
            started_at: now,
            new_connection,
            status: AttemptStatus::InFlight,
        });
        let timeout = attempt_timeout(now, &self.settings, request);
        actions.push(Action::StartAttempt {
            request: id,
            backend: backend.id,
            timeout: Some(timeout),
        });
        self.allocation.record_attempt(now, request.class);
        self.traffic_fraction.record_attempt(now);
        self.fleet.record_attempt(now, backend_id);
    }

    /// Updates the estimates from the end of an attempt. Then retries the request if its client
    /// still waits for a response and it has no other attempt in flight, or removes it once it is
    /// finished.
    ///
    /// The load report is recorded even if the request or the attempt is no longer known.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        if let Some(report) = &result.load_report {
            self.fleet.record_load_report(now, result.backend, report);
        }
        let Some(request) = self.requests.get_mut(&result.request) else {
            return;
        };
        let attempt = request.attempts.get_mut(result.attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.status = if result.outcome.never_executed() {
            AttemptStatus::NotExecuted
        } else {
            AttemptStatus::MayHaveExecuted
        };
        let (backend, is_new_connection) = (attempt.backend, attempt.new_connection);
        self.fleet.release_in_flight(backend, attempt.started_at);
        self.fleet
            .record_connection(now, backend, is_new_connection, result.outcome);
        if result.request_closed {
            request.response = request.response.closed();
        }
        let ended = EndedAttempt {
            backend,
            class: request.class,
            work: request.work,
            outcome: result.outcome,
            latency: result.latency.as_secs_f64(),
            was_streaming: request.response.has_started(),
            reported_load: result.load_report.and_then(|_| self.fleet.load_of(backend)),
        };
        let needs_retry = !request.is_closed() && request.is_idle();
        self.update_estimates(now, &ended);
        if needs_retry {
            self.retry(now, result.request, actions);
        } else {
            self.remove_if_finished(result.request);
        }
    }

    /// Updates mean work, shed fraction, latency and price estimates from an ended attempt. The
    /// latency of a streamed response is left out: it was recorded when the response started.
    fn update_estimates(&mut self, now: Time, ended: &EndedAttempt) {
        let has_whole_response = ended.outcome == AttemptOutcome::Success && !ended.was_streaming;
        if has_whole_response && ended.work.is_none() {
            let mean_work = self.allocation.mean_work_mut(ended.class);
            mean_work.record(ended.latency);
        }
        if self.settings.is_capacity_unknown() {
            if let Some(load) = self.indicated_load(ended) {
                self.admission.update_shed_fraction(now, ended.class, load);
            }
        }
        match ended.outcome {
            AttemptOutcome::Success if !ended.was_streaming => {
                self.fleet
                    .record_response(now, ended.backend, ended.latency, ended.work);
            }
            AttemptOutcome::Success | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::ServerError
            | AttemptOutcome::Rejected
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset => {
                self.record_failure(now, ended.backend, ended.outcome);
            }
        }
    }

    /// Returns the load that an attempt indicates, in units of the backend's capacity, or `None` if
    /// it indicates none.
    fn indicated_load(&self, ended: &EndedAttempt) -> Option<f64> {
        let overdue_latency = OVERDUE_LATENCY_MULTIPLE * self.fleet.typical_latency.seconds();
        match ended.outcome {
            AttemptOutcome::Rejected => Some(OVERLOADED_LOAD),
            AttemptOutcome::TimedOut if ended.latency > overdue_latency => Some(OVERLOADED_LOAD),
            AttemptOutcome::Success if !ended.was_streaming => {
                let class = self.settings.class(ended.class);
                let latency_load = ended.latency / class.objective_seconds(ended.work);
                let reported_load = ended.reported_load.unwrap_or(0.0);
                Some(reported_load.max(latency_load.min(OVERLOADED_LOAD)))
            }
            _ => ended.reported_load,
        }
    }

    /// Records a failed attempt or load probe of a backend. If that raised its price, the shares
    /// are solved again before the next draw.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        backend: BackendId,
        outcome: AttemptOutcome,
    ) {
        if self.fleet.record_failure(now, backend, outcome) == PriceChange::Raised {
            self.allocation.invalidate();
        }
    }

    /// Starts another attempt if the time left, the number of attempts and the retry budget allow
    /// it and a backend is eligible; otherwise gives the request up.
    fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let reason = retry_policy::retry_denial_reason(
            now,
            request,
            &self.settings,
            &self.retry_budget,
            self.fleet.typical_latency.seconds(),
        );
        if let Some(reason) = reason {
            self.give_up(id, reason, actions);
        } else if self.dispatch(now, id, actions) {
            self.retry_budget.spend();
        }
    }

    /// Ends a request without a backend's response: with a rejection if the client may repeat it
    /// harmlessly, otherwise with a failure. Does nothing if a response has started or the client
    /// no longer waits for one.
    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        reason: GiveUpReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.response != ResponseState::Pending {
            return;
        }
        request.response = request.response.closed();
        let class = request.class;
        if retry_policy::may_reject(request, self.settings.class(class).idempotency) {
            actions.push(Action::Reject {
                request: id,
                retry_after: self.retry_after(class),
                reason,
            });
        } else {
            actions.push(Action::Fail {
                request: id,
                reason,
            });
        }
        self.remove_if_finished(id);
    }

    /// Returns the Retry-After of a rejected request. It grows with the shed fraction up to the
    /// latency objective, is at least a typical latency, and at most
    /// [`Settings::max_retry_after`]; `None` if that is not set.
    fn retry_after(&self, class: ClassId) -> Option<Duration> {
        let shed_fraction = self.admission.group(class).shed_fraction;
        let objective = self.settings.class(class).latency_objective;
        let typical_latency = Duration::from_secs_f64(self.fleet.typical_latency.seconds());
        let wait = objective.mul_f64(shed_fraction).max(typical_latency);
        self.settings.max_retry_after.map(|max| max.min(wait))
    }
}

/// Returns how long an attempt may take. In general this is until the client stops waiting. Where
/// no load is reported and a late response earns nothing, the attempt ends with the latency
/// objective, if that comes first: taking so long indicates that the backend is overloaded.
fn attempt_timeout(now: Time, settings: &Settings, request: &Request) -> Duration {
    let class = settings.class(request.class);
    if settings.load_reporting != LoadReporting::Absent || class.late_weight != 0.0 {
        return request.deadline - now;
    }
    let objective = Duration::from_secs_f64(class.objective_seconds(request.work));
    request.deadline.min(request.arrived_at + objective) - now
}
