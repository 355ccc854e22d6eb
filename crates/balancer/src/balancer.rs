//! The balancer of one node: takes in events and owns all state.

mod attempts;
mod probes;

use crate::actions::{Action, GiveUpReason};
use crate::admission::Admission;
use crate::endpoint_list::EndpointListPoller;
use crate::events::{Endpoint, Event, ListUpdate, RequestArrival};
use crate::fleet::{Fleet, NodeTraffic};
use crate::ids::{ClassId, RequestId, TimerId};
use crate::load_probing::LoadProbing;
use crate::pricing::EXCESS_LOAD;
use crate::random::Random;
use crate::request::Request;
use crate::retry_policy::RetryBudget;
use crate::settings::{Settings, SettingsError};
use crate::share_allocation::{total_rate, ShareAllocation};
use crate::snapshot::BalancerSnapshot;
use crate::time::Time;
use crate::timers::Timers;
use crate::traffic_fraction::TrafficFraction;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::time::Duration;

/// Bits by which the seed is rotated, so that the order of backends and the draws use different seeds.
const RANK_SEED_ROTATION: u32 = 32;
/// Longest time since the last refresh of the shares, in seconds, that a refresh accounts for.
const MAX_REFRESH_TIME: f64 = 1.0;

/// The balancer of one node.
pub struct Balancer {
    pub(crate) settings: Arc<Settings>,
    pub(crate) random: Random,
    pub(crate) timers: Timers,
    pub(crate) endpoint_list: EndpointListPoller,
    pub(crate) fleet: Fleet,
    pub(crate) allocation: ShareAllocation,
    pub(crate) traffic_fraction: TrafficFraction,
    pub(crate) admission: Admission,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) probing: LoadProbing,
    /// Requests without a final response, or with an attempt in flight.
    pub(crate) requests: FxHashMap<RequestId, Request>,
}

impl Balancer {
    /// A balancer without backends and requests. The same settings, seed and events give the same
    /// actions.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Balancer {
            random: Random::new(seed),
            timers: Timers::default(),
            endpoint_list: EndpointListPoller::new(settings.clone(), now),
            fleet: Fleet::new(settings.clone(), seed.rotate_left(RANK_SEED_ROTATION)),
            allocation: ShareAllocation::new(settings.clone(), now),
            traffic_fraction: TrafficFraction::new(now, settings.nodes),
            admission: Admission::new(settings.clone(), now),
            retry_budget: RetryBudget::new(),
            probing: LoadProbing::new(),
            requests: FxHashMap::default(),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`, in the order in which they
    /// are to be carried out.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { update, endpoints } => {
                self.on_endpoint_list(now, update, &endpoints, actions);
            }
            Event::RequestArrived(arrival) => self.on_request_arrived(now, &arrival, actions),
            Event::RequestBodyReceived { request } => self.on_request_body_received(now, request),
            Event::ResponseStarted {
                request,
                attempt,
                latency,
            } => self.on_response_started(now, request, attempt, latency),
            Event::AttemptEnded(result) => self.on_attempt_ended(now, &result, actions),
            Event::ClientDisconnected { request } => self.on_client_disconnected(request),
            Event::TimerFired { timer } => self.on_timer(now, timer, actions),
            Event::LoadProbeEnded(result) => self.on_load_probe_ended(now, &result, actions),
        }
    }

    /// The present state of prices, shares and shedding, for the node's log.
    pub fn snapshot(&self, now: Time) -> BalancerSnapshot {
        let first_class = ClassId(0);
        let shares = &self.allocation.class(first_class).shares;
        BalancerSnapshot {
            shed_fraction: self.admission.group(first_class).shed_fraction,
            mean_load: self.fleet.pricing.mean_load,
            typical_latency: self.fleet.typical_latency.seconds(),
            retry_budget: self.retry_budget.retries(),
            quota_usage: self.admission.quota_usage(now),
            backends: self.fleet.snapshot(now, shares),
        }
    }

    fn on_endpoint_list(
        &mut self,
        now: Time,
        update: ListUpdate,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        let (random, timers) = (&mut self.random, &mut self.timers);
        self.endpoint_list
            .on_update(now, update, endpoints, random, timers, actions);
        if update != ListUpdate::Failed {
            self.fleet.apply_endpoint_list(now, update, endpoints);
            self.allocation.invalidate();
        }
    }

    fn on_timer(&mut self, now: Time, timer: TimerId, actions: &mut Vec<Action>) {
        if self.endpoint_list.on_timer(now, timer, actions) {
            return;
        }
        if let Some(request) = self.probing.request_of_timer(timer) {
            self.select_candidate(now, request, actions);
        }
    }

    fn on_request_arrived(
        &mut self,
        now: Time,
        arrival: &RequestArrival,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        let last_class = self.settings.classes.len() as u8 - 1;
        let class = ClassId(arrival.class.0.min(last_class));
        let request = Request::new(now, class, arrival);
        let work = request.work;
        self.requests.insert(arrival.request, request);
        self.retry_budget.record_request();
        self.allocation.record_arrival(now, class);
        let weight = self.admission.record_arrival(now, class, arrival.tenant);
        self.refresh_allocation(now);
        if let Some(reason) = self.reason_against_admission(class, work, weight, arrival.remaining)
        {
            self.give_up(arrival.request, reason, actions);
        } else {
            self.admission.record_admitted(now, arrival.tenant);
            self.dispatch(now, arrival.request, actions);
        }
    }

    /// Why a request that has arrived is not admitted, or `None` where it is. Learns from its work,
    /// in seconds, unless that is out of reach.
    fn reason_against_admission(
        &mut self,
        class: ClassId,
        work: Option<f64>,
        priority_weight: f64,
        remaining: Duration,
    ) -> Option<GiveUpReason> {
        if let Some(work) = work {
            // Work beyond the objective can only be late, and takes capacity from requests that can
            // be in time.
            if work > self.settings.class(class).objective_seconds(Some(work)) {
                return Some(GiveUpReason::ObjectiveUnreachable);
            }
            self.allocation.mean_work_mut(class).record(work);
            self.fleet.mean_work.record(work);
        }
        if remaining.is_zero() {
            return Some(GiveUpReason::DeadlineExceeded);
        }
        let shed_probability = self.admission.shed_probability(class, priority_weight);
        (self.random.uniform() < shed_probability).then_some(GiveUpReason::LoadShed)
    }

    fn on_request_body_received(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.body_pending) else {
            return;
        };
        request.body_received(now);
        for attempt in request.attempts.iter().filter(|a| a.is_in_flight()) {
            if let Some(backend) = self.fleet.backends.get_mut(attempt.backend) {
                backend.in_flight.push(now);
            }
        }
    }

    fn on_response_started(&mut self, now: Time, id: RequestId, attempt: u32, latency: Duration) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get(attempt as usize) else {
            return;
        };
        let (backend, started_at) = (attempt.backend, attempt.started_at);
        request.response = request.response.started();
        let class = request.class;
        let settings = self.settings.class(class);
        // Where all responses are streamed, the work says nothing of when they start.
        let work = request.work.filter(|_| !settings.streaming);
        self.fleet.release_in_flight(backend, started_at);
        let latency = latency.as_secs_f64();
        self.fleet.record_response(now, backend, latency, work);
        if self.settings.is_capacity_unknown() {
            let load = (latency / settings.objective_seconds(work)).min(1.0 + EXCESS_LOAD);
            self.admission.update_shed_fraction(now, class, load);
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response = request.response.closed();
            self.remove_if_finished(id);
        }
    }

    /// Brings prices and shares up to date, if that is due.
    pub(crate) fn refresh_allocation(&mut self, now: Time) {
        let active_backends = self.fleet.backends.active_count();
        let Some(elapsed) = self.allocation.begin_refresh(now, active_backends) else {
            return;
        };
        self.fleet.refresh(now, elapsed);
        self.fleet.update_probably_warm(now);
        let arrival_rates = self.allocation.arrival_rates(now);
        let traffic = NodeTraffic {
            fraction: self.traffic_fraction.fraction(),
            arrivals_per_second: total_rate(&arrival_rates),
        };
        let inputs = self.fleet.share_inputs(now, traffic);
        let refresh_time = elapsed.min(MAX_REFRESH_TIME);
        let placements = self.allocation.allocate_shares(
            now,
            refresh_time,
            &mut self.fleet,
            &inputs,
            &arrival_rates,
        );
        self.admission.update_thresholds(refresh_time, &placements);
        if self.fleet.speeds.is_capacity_known() {
            let is_shedding = self.admission.is_shedding();
            self.traffic_fraction
                .update(now, elapsed, &self.fleet, is_shedding);
        }
    }

    /// Removes a request whose response is closed and that has no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_closed() && request.is_idle());
        if is_finished {
            self.requests.remove(&id);
            self.probing.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "balancer_tests.rs"]
mod tests;
