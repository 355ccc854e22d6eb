//! Choosing a backend by load probes.

use super::Balancer;
use crate::actions::{Action, GiveUpReason};
use crate::events::{AttemptOutcome, LoadProbeResult};
use crate::ids::RequestId;
use crate::load_probing::{self, Selection, CANDIDATES_PER_REQUEST};
use crate::request::CandidateLoad;
use crate::selection::WarmingBackends;
use crate::time::Time;

impl Balancer {
    /// Draws a few candidates by share and probes those whose load is not known. Returns whether
    /// there are any; otherwise the request is given up.
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

    /// `timeout` is the time in seconds for which answers are awaited.
    fn draw_candidates(
        &mut self,
        now: Time,
        id: RequestId,
        timeout: f64,
        actions: &mut Vec<Action>,
    ) {
        for count in 0..CANDIDATES_PER_REQUEST {
            // Only the first may be warming up: if the best of several were, it would get more than
            // its share.
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

    /// Takes in the end of a load probe, for the backend and for the requests that wait for it.
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
        // From the last to the first, since a request that is dispatched leaves the list.
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

    /// Learns from the end of a load probe and returns the load that it reports.
    fn record_probe_result(&mut self, now: Time, result: &LoadProbeResult) -> CandidateLoad {
        match result.outcome {
            AttemptOutcome::Success => {
                self.probing.record_latency(result.latency);
                let report = result.load_report.unwrap_or_default();
                self.fleet.record_load_report(now, result.backend, &report);
                let load = load_probing::load_of(result);
                let backend = self.fleet.backends.get_mut(result.backend);
                if let (Some(backend), CandidateLoad::InFlight(in_flight)) = (backend, load) {
                    backend.probe.in_flight = Some(in_flight);
                    backend.probe.answered_at = now;
                }
                load
            }
            // The node's own shortage says nothing of the backend.
            AttemptOutcome::NotSent => CandidateLoad::Unknown,
            outcome => {
                self.record_failure(now, result.backend, outcome);
                CandidateLoad::Unknown
            }
        }
    }

    /// Starts an attempt at the best candidate, by what is known of their loads.
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
            Selection::NoneKnown => self.pick_backend(now, id, WarmingBackends::Included),
        };
        let backend = backend.filter(|_| !is_too_late);
        self.start_attempt(now, id, backend, actions);
    }
}
