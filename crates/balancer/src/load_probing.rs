//! Load probes: where load is reported only to them, a few backends are probed before an attempt.

use crate::backend::Backend;
use crate::estimators::ExponentialMean;
use crate::events::LoadProbeResult;
use crate::fleet::Fleet;
use crate::ids::{BackendId, RequestId, TimerId};
use crate::pricing::usable;
use crate::request::{Candidate, CandidateLoad, Request};
use crate::settings::{LoadReporting, Settings};
use crate::time::Time;
use std::time::Duration;

/// Backends that are probed for one request.
pub const CANDIDATES_PER_REQUEST: usize = 5;

/// Ratio of the estimated wait to the longest actual one; corrects estimates that are too short.
const WAIT_ESTIMATE_RATIO: f64 = 0.85;
/// Age, in typical latencies, below which the answer to a load probe, corrected by this node's own
/// attempts since, is used without another probe.
const RECENT_ANSWER_LATENCIES: f64 = 0.3;
/// Time for which an answer is awaited, in typical latencies of load probes.
const TIMEOUT_PROBE_LATENCIES: f64 = 4.0;
/// Latency of a load probe to begin with, in seconds.
const INITIAL_PROBE_LATENCY: f64 = 0.003;
/// Weight of a load probe in their typical latency.
const PROBE_LATENCY_GAIN: f64 = 1.0 / 32.0;

/// A request that waits for the answers of its candidates.
struct PendingSelection {
    request: RequestId,
    /// Ends the wait.
    timer: TimerId,
}

/// What a candidate's load says of the request's chances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The best candidate.
    Backend(BackendId),
    /// Even the best would answer too late, and take capacity from requests that can be in time.
    TooLate,
    /// No candidate has reported its load.
    NoneKnown,
}

/// How long a request would wait at a candidate.
struct ExpectedWait {
    backend: BackendId,
    seconds: f64,
}

/// Load probes in flight, and the requests that wait for them.
pub struct LoadProbing {
    /// Typical latency of a load probe, in seconds.
    probe_latency: ExponentialMean,
    pending: Vec<PendingSelection>,
}

impl LoadProbing {
    /// No probes yet.
    pub fn new() -> Self {
        LoadProbing {
            probe_latency: ExponentialMean::new(INITIAL_PROBE_LATENCY, PROBE_LATENCY_GAIN),
            pending: Vec::new(),
        }
    }

    /// Seconds for which an answer is awaited.
    pub fn timeout(&self) -> f64 {
        TIMEOUT_PROBE_LATENCIES * self.probe_latency.value()
    }

    /// Takes in how long a load probe took.
    pub fn record_latency(&mut self, latency: Duration) {
        self.probe_latency.record(latency.as_secs_f64());
    }

    /// The request waits for its candidates until the timer fires.
    pub fn await_candidates(&mut self, request: RequestId, timer: TimerId) {
        self.pending.push(PendingSelection { request, timer });
    }

    /// The request whose wait this timer ends.
    pub fn request_of_timer(&self, timer: TimerId) -> Option<RequestId> {
        self.pending
            .iter()
            .find(|selection| selection.timer == timer)
            .map(|selection| selection.request)
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.pending.len()
    }

    /// The request at this position among those that wait, the earliest first.
    pub fn waiting_request(&self, position: usize) -> Option<RequestId> {
        self.pending
            .get(position)
            .map(|selection| selection.request)
    }

    /// The request waits no longer.
    pub fn remove(&mut self, request: RequestId) {
        self.pending
            .retain(|selection| selection.request != request);
    }
}

/// Whether backends are probed before an attempt.
pub fn is_enabled(settings: &Settings) -> bool {
    settings.load_reporting == LoadReporting::OnProbe && settings.load_probes_allowed
}

/// Makes a backend a candidate of a request. Returns whether a load probe is to be sent: not where
/// the load was reported a moment ago or a probe is in flight already. `timeout` and `typical_latency`
/// are in seconds.
pub fn add_candidate(
    now: Time,
    request: &mut Request,
    backend: &mut Backend,
    timeout: f64,
    typical_latency: f64,
) -> bool {
    let max_age = RECENT_ANSWER_LATENCIES * typical_latency;
    let known = backend.probe.recent_in_flight(now, max_age);
    request.candidates.push(Candidate {
        backend: backend.id,
        load: known.map_or(CandidateLoad::Pending, CandidateLoad::InFlight),
    });
    let needs_probe = known.is_none() && !backend.probe.is_awaited(now, timeout);
    if needs_probe {
        backend.probe.sent_at = Some(now);
    }
    needs_probe
}

/// The load reported in the answer to a load probe.
pub fn load_of(result: &LoadProbeResult) -> CandidateLoad {
    let report = result.load_report.unwrap_or_default();
    usable(report.in_flight.or(report.utilization))
        .map_or(CandidateLoad::Unknown, CandidateLoad::InFlight)
}

/// The best of the candidates whose load is known: the one with the shortest expected wait.
pub fn select(
    now: Time,
    settings: &Settings,
    fleet: &Fleet,
    request: &Request,
    candidates: &[Candidate],
) -> Selection {
    let mean_work = fleet.mean_work.seconds();
    let expected_wait = |candidate: &Candidate| {
        let CandidateLoad::InFlight(reported) = candidate.load else {
            return None;
        };
        let backend = fleet.backends.get(candidate.backend)?;
        if !backend.is_active() {
            return None;
        }
        // Other requests of this node may have gone there since.
        let in_flight = backend.probe.in_flight.unwrap_or(reported);
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
        return Selection::NoneKnown;
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
