//! The balancer of one node. It owns all load-balancing state, changes it only in response to
//! events, and returns the actions that the embedding process has to carry out.

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

/// Number of bits by which the seed is rotated to obtain the seed of this node's backend order, so
/// that the order and the random draws use different seeds.
const BACKEND_ORDER_SEED_ROTATION: u32 = 32;
/// Upper bound, in seconds, of the elapsed time that one refresh of the shares and of the shedding
/// thresholds accounts for.
const MAX_REFRESH_TIME: f64 = 1.0;

/// The load balancer of one node: backends, shares, admission, retries and the open requests.
pub struct Balancer {
    /// The checked settings; they stay the same for the balancer's lifetime.
    pub(crate) settings: Arc<Settings>,
    /// Source of all random draws; their order is part of what makes runs repeatable.
    pub(crate) random: Random,
    pub(crate) timers: Timers,
    pub(crate) endpoint_list: EndpointListPoller,
    pub(crate) fleet: Fleet,
    pub(crate) allocation: ShareAllocation,
    pub(crate) traffic_fraction: TrafficFraction,
    pub(crate) admission: Admission,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) probing: LoadProbing,
    /// Requests whose client still waits for a final response or that have an attempt in flight.
    pub(crate) requests: FxHashMap<RequestId, Request>,
}

impl Balancer {
    /// Creates a balancer without backends and requests. The same settings, seed and events give
    /// the same actions.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Settings::check`], which names the first setting that is out of its
    /// range.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Balancer {
            random: Random::new(seed),
            timers: Timers::default(),
            endpoint_list: EndpointListPoller::new(settings.clone(), now),
            fleet: Fleet::new(
                settings.clone(),
                seed.rotate_left(BACKEND_ORDER_SEED_ROTATION),
            ),
            allocation: ShareAllocation::new(settings.clone(), now),
            traffic_fraction: TrafficFraction::new(now, settings.nodes),
            admission: Admission::new(settings.clone(), now),
            retry_budget: RetryBudget::new(),
            probing: LoadProbing::new(),
            requests: FxHashMap::default(),
            settings,
        })
    }

    /// Handles one event that occurred at `now` and appends the resulting actions to `actions`, in
    /// the order in which they are to be carried out.
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

    /// Returns the current prices, shares, load shedding and retry budget, for the node's log.
    /// Shares and the shed fraction are those of the first class.
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

    /// Applies an endpoint list or a delta, and schedules the next poll if one is needed. After a
    /// failed call the backends stay as they are.
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

    /// Handles a timer: either the endpoint list is due to be polled, or a request has waited long
    /// enough for load probes. Any other timer is ignored.
    fn on_timer(&mut self, now: Time, timer: TimerId, actions: &mut Vec<Action>) {
        if self.endpoint_list.on_timer(now, timer, actions) {
            return;
        }
        if let Some(request) = self.probing.request_of_timer(timer) {
            self.select_candidate(now, request, actions);
        }
    }

    /// Admits a request and starts its first attempt, or gives it up. A request whose id is already
    /// known is ignored; a class beyond the settings' list counts as the last class.
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
        if let Some(reason) = self.rejection_reason(class, work, weight, arrival.remaining) {
            self.give_up(arrival.request, reason, actions);
        } else {
            self.admission.record_admitted(now, arrival.tenant);
            self.dispatch(now, arrival.request, actions);
        }
    }

    /// Returns why an arriving request is not admitted, or `None` if it is admitted.
    ///
    /// `work` and `priority_weight` are the request's own, the work in seconds; `remaining` is the
    /// time until its deadline. The work is recorded in the mean work of the class and of the fleet
    /// unless it exceeds the latency objective by itself.
    fn rejection_reason(
        &mut self,
        class: ClassId,
        work: Option<f64>,
        priority_weight: f64,
        remaining: Duration,
    ) -> Option<GiveUpReason> {
        if let Some(work) = work {
            // A request whose work alone exceeds the objective is certain to be late, and would
            // take capacity from requests that can still be in time.
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

    /// Restarts the timing of a request whose body has been received completely: its attempts count
    /// as in flight at their backends from now on.
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

    /// Records that the response to an attempt is being streamed. `latency` is the time to its
    /// first bytes; where capacity is unknown it also moves the shed fraction.
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
        // In a class whose responses are streamed, work does not predict when a response starts.
        let work = request.work.filter(|_| !settings.streaming);
        self.fleet.release_in_flight(backend, started_at);
        let latency = latency.as_secs_f64();
        self.fleet.record_response(now, backend, latency, work);
        if self.settings.is_capacity_unknown() {
            let load = (latency / settings.objective_seconds(work)).min(1.0 + EXCESS_LOAD);
            self.admission.update_shed_fraction(now, class, load);
        }
    }

    /// Closes a request whose client has gone; it is removed once no attempt is in flight.
    fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response = request.response.closed();
            self.remove_if_finished(id);
        }
    }

    /// Updates prices, shares, shedding thresholds and this node's traffic fraction if a refresh is
    /// due, and otherwise does nothing.
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

    /// Removes a request if its client no longer waits for a response and no attempt is in flight.
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
