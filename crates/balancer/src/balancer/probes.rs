//! The choice of a backend by load probes: candidates are drawn by share and probed, and the
//! attempt goes to the best of them.

use super::Balancer;
use crate::actions::{Action, GiveUpReason};
use crate::events::{AttemptOutcome, LoadProbeResult};
use crate::ids::RequestId;
use crate::load_probing::{self, Selection, CANDIDATES_PER_REQUEST};
use crate::request::CandidateLoad;
use crate::selection::WarmingBackends;
use crate::time::Time;

impl Balancer {
    /// Draws candidates by share and probes those whose load is not known. If no answer has to be
    /// awaited, the attempt starts immediately. Returns whether there are any candidates; otherwise
    /// the request has been given up.
    pub(super) fn probe_candidates(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let timeout = self.probing.timeout();
        self.draw_candidates(now, id, timeout, actions);
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.candidates.is_empty())
        else {
            self.give_up(id, GiveUpReason::NoEligibleBackend, actions);
            return false;
        };
        if request.awaits_candidates() {
            let time_left = (request.deadline - now).as_secs_f64();
            let timer = self.timers.start(now, timeout.min(time_left), actions);
            self.probing.await_candidates(id, timer);
        } else {
            self.select_candidate(now, id, actions);
        }
        true
    }

    /// Draws up to [`CANDIDATES_PER_REQUEST`] candidates for a request and asks for the load probes
    /// that are needed. `timeout` is the time, in seconds, after which an unanswered probe no
    /// longer counts as awaited.
    fn draw_candidates(
        &mut self,
        now: Time,
        id: RequestId,
        timeout: f64,
        actions: &mut Vec<Action>,
    ) {
        for count in 0..CANDIDATES_PER_REQUEST {
            // Only the first candidate may be warming up. If every one could be, a warming backend
            // that looks best would be chosen more often than its share allows.
            let warming_backends = if count == 0 {
                WarmingBackends::Included
            } else {
                WarmingBackends::Excluded
            };
            let Some(drawn) = self.pick_backend(now, id, warming_backends) else {
                break;
            };
            let Some(backend) = self.fleet.backends.get_mut(drawn) else {
                break;
            };
            let Some(request) = self.requests.get_mut(&id) else {
                break;
            };
            let typical_latency = self.fleet.typical_latency.seconds();
            if load_probing::add_candidate(now, request, backend, timeout, typical_latency) {
                actions.push(Action::SendLoadProbe { backend: drawn });
            }
        }
    }

    /// Records the end of a load probe for its backend, and starts the attempts of those requests
    /// that waited for this answer alone.
    pub(super) fn on_load_probe_ended(
        &mut self,
        now: Time,
        result: &LoadProbeResult,
        actions: &mut Vec<Action>,
    ) {
        if let Some(backend) = self.fleet.backends.get_mut(result.backend) {
            backend.probe.sent_at = None;
        }
        let load = self.record_probe_result(now, result);
        // Iterates backwards because `select_candidate` removes a request from the list.
        for position in (0..self.probing.waiting_count()).rev() {
            let Some(id) = self.probing.waiting_request(position) else {
                continue;
            };
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let was_awaited = request.resolve_candidate(result.backend, load);
            if was_awaited && !request.awaits_candidates() {
                self.select_candidate(now, id, actions);
            }
        }
    }

    /// Updates the estimates from the end of a load probe and returns the load that it reports.
    fn record_probe_result(&mut self, now: Time, result: &LoadProbeResult) -> CandidateLoad {
        match result.outcome {
            AttemptOutcome::Success => {
                self.probing.record_latency(result.latency);
                let report = result.load_report.unwrap_or_default();
                self.fleet.record_load_report(now, result.backend, &report);
                let load = load_probing::reported_load(result);
                let backend = self.fleet.backends.get_mut(result.backend);
                if let (Some(backend), CandidateLoad::InFlight(in_flight)) = (backend, load) {
                    backend.probe.in_flight = Some(in_flight);
                    backend.probe.answered_at = now;
                }
                load
            }
            // The probe was never sent for lack of this node's own resources, which says nothing
            // about the backend.
            AttemptOutcome::NotSent => CandidateLoad::Unknown,
            outcome => {
                self.record_failure(now, result.backend, outcome);
                CandidateLoad::Unknown
            }
        }
    }

    /// Ends the wait for load probes and starts an attempt at the candidate with the shortest
    /// expected wait. If no candidate's load is known, a backend is drawn by share instead. If the
    /// request's deadline has passed or even the best candidate is too late, the request is given
    /// up.
    pub(super) fn select_candidate(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let candidates = std::mem::take(&mut request.candidates);
        let is_too_late = request.deadline <= now;
        self.probing.remove(id);
        let selection =
            load_probing::select(now, &self.settings, &self.fleet, request, &candidates);
        let backend = match selection {
            Selection::Backend(backend) => Some(backend),
            Selection::TooLate => None,
            Selection::NoKnownLoad => self.pick_backend(now, id, WarmingBackends::Included),
        };
        let backend = backend.filter(|_| !is_too_late);
        self.start_attempt(now, id, backend, actions);
    }
}
