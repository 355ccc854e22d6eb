//! Attempts of requests at backends: from the choice of a backend to a result, a retry, or the
//! request's end.

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

/// Load indicated by a rejected or overdue attempt, in units of the backend's capacity.
const OVERLOADED: f64 = 1.0 + EXCESS_LOAD;

/// An attempt that has ended, with the properties of its request that are learned from.
struct EndedAttempt {
    backend: BackendId,
    class: ClassId,
    /// The request's work in seconds on a standard core, if known.
    work: Option<f64>,
    outcome: AttemptOutcome,
    /// Seconds.
    latency: f64,
    /// Its response was streamed; how long that took is up to the client.
    was_streaming: bool,
    /// The backend's load by the report that came along, in units of its capacity.
    reported_load: Option<f64>,
}

impl Balancer {
    /// Finds a backend for a request's next attempt, by load probes where only they tell load.
    /// Returns whether one was found or probes were sent; otherwise the request is given up.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if load_probing::is_enabled(&self.settings) {
            return self.probe_candidates(now, id, actions);
        }
        let backend = self.pick_backend(now, id, WarmingBackends::Included);
        self.start_attempt(now, id, backend, actions);
        backend.is_some()
    }

    /// Draws a backend for a request from the present shares.
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

    /// Starts an attempt at a backend, or gives the request up where that is not eligible.
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
        // Until the body has been received there is nothing for the backend to work on.
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

    /// Learns from the end of an attempt, and retries its request where it is still owed a
    /// response.
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
        let (backend, is_new) = (attempt.backend, attempt.new_connection);
        self.fleet.release_in_flight(backend, attempt.started_at);
        self.fleet
            .record_connection(now, backend, is_new, result.outcome);
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
        let wants_retry = !request.is_closed() && request.is_idle();
        self.learn_from(now, &ended);
        if wants_retry {
            self.retry(now, result.request, actions);
        } else {
            self.remove_if_finished(result.request);
        }
    }

    fn learn_from(&mut self, now: Time, ended: &EndedAttempt) {
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

    /// Load indicated by an attempt, in units of the backend's capacity; `None` where it indicates none.
    fn indicated_load(&self, ended: &EndedAttempt) -> Option<f64> {
        let overdue = OVERDUE_LATENCY_MULTIPLE * self.fleet.typical_latency.seconds();
        match ended.outcome {
            AttemptOutcome::Rejected => Some(OVERLOADED),
            AttemptOutcome::TimedOut if ended.latency > overdue => Some(OVERLOADED),
            AttemptOutcome::Success if !ended.was_streaming => {
                let class = self.settings.class(ended.class);
                let by_latency = ended.latency / class.objective_seconds(ended.work);
                let reported = ended.reported_load.unwrap_or(0.0);
                Some(reported.max(by_latency.min(OVERLOADED)))
            }
            _ => ended.reported_load,
        }
    }

    /// Takes in a failed attempt or load probe of a backend.
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

    /// Another attempt, where class, time and the retry budget allow.
    fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let reason = retry_policy::reason_against_retry(
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

    /// Sends the final response of a request that is given up: a rejection where the client may
    /// repeat it harmlessly, else a failure.
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

    /// The Retry-After of a rejected client: at least a typical latency, and up to the latency
    /// objective as the shed fraction grows.
    fn retry_after(&self, class: ClassId) -> Option<Duration> {
        let shed_fraction = self.admission.group(class).shed_fraction;
        let objective = self.settings.class(class).latency_objective;
        let typical_latency = Duration::from_secs_f64(self.fleet.typical_latency.seconds());
        let wait = objective.mul_f64(shed_fraction).max(typical_latency);
        self.settings.max_retry_after.map(|max| max.min(wait))
    }
}

/// How long an attempt may take: as long as the client waits. Where no load is reported and a late
/// response earns nothing, it ends with the latency objective: taking so long means that its
/// backend is overloaded.
fn attempt_timeout(now: Time, settings: &Settings, request: &Request) -> Duration {
    let class = settings.class(request.class);
    if settings.load_reporting != LoadReporting::Absent || class.late_weight != 0.0 {
        return request.deadline - now;
    }
    let objective = Duration::from_secs_f64(class.objective_seconds(request.work));
    request.deadline.min(request.arrived_at + objective) - now
}
