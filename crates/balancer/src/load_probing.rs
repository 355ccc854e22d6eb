//! Load probing: where backends report their load only in answers to load probes, a few candidates
//! are probed before an attempt, and the attempt goes to the one with the shortest expected wait.

use crate::backend::Backend;
use crate::estimators::ExponentialMean;
use crate::events::LoadProbeResult;
use crate::fleet::Fleet;
use crate::ids::{BackendId, RequestId, TimerId};
use crate::pricing::finite_non_negative;
use crate::request::{Candidate, CandidateLoad, Request};
use crate::settings::{LoadReporting, Settings};
use crate::time::Time;
use std::time::Duration;

/// Most candidates that are drawn, and probed if necessary, for one attempt.
pub const CANDIDATES_PER_REQUEST: usize = 5;

/// Ratio of the estimated wait at a backend to the longest actual one. Estimates are divided by it
/// because the actual wait can be longer.
const WAIT_ESTIMATE_RATIO: f64 = 0.85;
/// Age, in typical latencies of responses, below which the answer to a load probe, corrected by
/// this node's own attempts since, is used instead of another probe.
const MAX_ANSWER_AGE_LATENCIES: f64 = 0.3;
/// Time for which the answer to a load probe is awaited, in typical latencies of load probes.
const PROBE_TIMEOUT_LATENCIES: f64 = 4.0;
/// Typical latency of load probes that is assumed before the first answer, in seconds.
const INITIAL_PROBE_LATENCY: f64 = 0.003;
/// Weight of one load probe in the exponential mean of their latencies.
const PROBE_LATENCY_GAIN: f64 = 1.0 / 32.0;

/// A request that waits for its candidates' answers to load probes.
struct PendingSelection {
    /// The request that waits.
    request: RequestId,
    /// The timer that ends the wait with whatever answers have arrived by then.
    timer: TimerId,
}

/// The outcome of choosing a backend among a request's candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The candidate with the shortest expected wait, where the request can be in time.
    Backend(BackendId),
    /// Even at the best candidate the response would be too late, and the request would take
    /// capacity from others that can be in time.
    TooLate,
    /// The load of no active candidate is known.
    NoKnownLoad,
}

/// How long a request is expected to wait at a candidate before it is served.
struct ExpectedWait {
    /// The candidate, one of the backends drawn for the request.
    backend: BackendId,
    /// The expected wait in seconds. It includes the time to open a connection, but not the
    /// request's own work.
    seconds: f64,
}

/// The typical latency of load probes, and the requests that wait for their answers.
pub struct LoadProbing {
    /// Typical latency of a load probe, in seconds.
    probe_latency: ExponentialMean,
    /// The requests that wait for answers, the earliest first.
    pending: Vec<PendingSelection>,
}

impl LoadProbing {
    /// Creates the state before the first load probe; no request waits.
    pub fn new() -> Self {
        LoadProbing {
            probe_latency: ExponentialMean::new(INITIAL_PROBE_LATENCY, PROBE_LATENCY_GAIN),
            pending: Vec::new(),
        }
    }

    /// Returns how long the answer to a load probe is awaited, in seconds.
    pub fn timeout(&self) -> f64 {
        PROBE_TIMEOUT_LATENCIES * self.probe_latency.value()
    }

    /// Records how long a successful load probe took.
    pub fn record_latency(&mut self, latency: Duration) {
        self.probe_latency.record(latency.as_secs_f64());
    }

    /// Adds a request that waits for its candidates' answers until `timer` fires.
    pub fn await_candidates(&mut self, request: RequestId, timer: TimerId) {
        self.pending.push(PendingSelection { request, timer });
    }

    /// Returns the request whose wait this timer ends, or `None` if no waiting request has it.
    pub fn request_of_timer(&self, timer: TimerId) -> Option<RequestId> {
        self.pending
            .iter()
            .find(|selection| selection.timer == timer)
            .map(|selection| selection.request)
    }

    /// Returns the number of requests that wait for answers.
    pub fn waiting_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the request at a position, counted from 0, among those that wait, the earliest
    /// first; `None` beyond the last.
    pub fn waiting_request(&self, position: usize) -> Option<RequestId> {
        self.pending
            .get(position)
            .map(|selection| selection.request)
    }

    /// Removes a request from those that wait, if it is one of them.
    pub fn remove(&mut self, request: RequestId) {
        self.pending
            .retain(|selection| selection.request != request);
    }
}

/// Whether candidates are probed before an attempt: load is reported only in answers to load
/// probes, and these are allowed.
pub fn is_enabled(settings: &Settings) -> bool {
    settings.load_reporting == LoadReporting::OnProbe && settings.load_probes_allowed
}

/// Makes a backend a candidate of a request and returns whether a load probe has to be sent to it:
/// not if it answered one a moment ago or one is already in flight. `timeout`, after which a probe
/// no longer counts as in flight, and `typical_latency`, that of a response, are in seconds.
pub fn add_candidate(
    now: Time,
    request: &mut Request,
    backend: &mut Backend,
    timeout: f64,
    typical_latency: f64,
) -> bool {
    let max_age = MAX_ANSWER_AGE_LATENCIES * typical_latency;
    let recent_in_flight = backend.probe.recent_in_flight(now, max_age);
    request.candidates.push(Candidate {
        backend: backend.id,
        load: recent_in_flight.map_or(CandidateLoad::Pending, CandidateLoad::InFlight),
    });
    let needs_probe = recent_in_flight.is_none() && !backend.probe.is_awaited(now, timeout);
    if needs_probe {
        backend.probe.sent_at = Some(now);
    }
    needs_probe
}

/// Returns the load that the answer to a load probe reports: the requests in flight or, without
/// these, the utilization. `Unknown` if neither is reported or the value is negative or not finite.
pub fn reported_load(result: &LoadProbeResult) -> CandidateLoad {
    let report = result.load_report.unwrap_or_default();
    finite_non_negative(report.in_flight.or(report.utilization))
        .map_or(CandidateLoad::Unknown, CandidateLoad::InFlight)
}

/// Selects, among the active candidates whose load is known, the one with the shortest expected
/// wait, and checks that the request can be in time there.
pub fn select(
    now: Time,
    settings: &Settings,
    fleet: &Fleet,
    request: &Request,
    candidates: &[Candidate],
) -> Selection {
    let mean_work = fleet.mean_work.seconds();
    let expected_wait = |candidate: &Candidate| {
        let CandidateLoad::InFlight(answered_in_flight) = candidate.load else {
            return None;
        };
        let backend = fleet.backends.get(candidate.backend)?;
        if !backend.is_active() {
            return None;
        }
        // This node may have sent other requests there since the answer.
        let in_flight = backend.probe.in_flight.unwrap_or(answered_in_flight);
        Some(ExpectedWait {
            backend: backend.id,
            seconds: in_flight * mean_work + fleet.expected_connect_wait(now, backend),
        })
    };
    let best = candidates
        .iter()
        .filter_map(expected_wait)
        .min_by(|one, other| one.seconds.total_cmp(&other.seconds));
    let Some(best) = best else {
        return Selection::NoKnownLoad;
    };
    let work = request.work.unwrap_or(mean_work);
    let objective = settings.class(request.class).objective_seconds(Some(work));
    if best.seconds / WAIT_ESTIMATE_RATIO + work > objective {
        Selection::TooLate
    } else {
        Selection::Backend(best.backend)
    }
}

#[cfg(test)]
#[path = "load_probing_tests.rs"]
mod tests;
