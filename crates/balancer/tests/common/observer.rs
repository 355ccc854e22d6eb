//! An observer that checks a balancer's actions against the protocol's rules and against the
//! settings. It keeps its own record of events and actions and simulates nothing.
//!
//! The rules that it checks, by their numbers in the protocol:
//!
//! - Rule 1: each request gets one final response by its client's deadline, up to
//!   [`RESPONSE_TOLERANCE`], and no attempt starts once it is closed or its deadline has passed.
//! - Rule 2: a request is repeated or rejected only if its class's idempotency allows that.
//! - Rule 3: no attempt starts at a draining backend after the drain grace.
//! - Rule 5: no attempt starts at a backend in a zone or of a machine type that its class does not
//!   allow.

use super::{at, attempt_ended, ms};
use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, Endpoint, EndpointState,
    Event, Idempotency, KeyScope, ListUpdate, RequestClass, RequestId, Settings, Time, TimerId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a client's deadline at which a request that is still open counts as overdue.
const RESPONSE_TOLERANCE: Duration = ms(20);

/// What the observer knows of an attempt.
pub struct ObservedAttempt {
    /// The backend at which it was started.
    pub backend: BackendId,
    /// When it was started.
    pub started_at: Time,
    /// When it times out: at the end of its own timeout or at its request's deadline, whichever is
    /// earlier.
    pub ends_at: Time,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl ObservedAttempt {
    /// Whether the backend may have executed the attempt. An attempt in flight counts as such.
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// What the observer knows of a request.
pub struct ObservedRequest {
    /// Its request class, an index into the settings' classes.
    pub class: ClassId,
    /// When its client stops waiting.
    pub deadline: Time,
    /// Whether its client still waits for a response.
    pub is_open: bool,
    /// Its attempts in the order of their numbers, from 0.
    pub attempts: Vec<ObservedAttempt>,
}

/// What the node was last notified of about a backend.
struct ObservedBackend {
    /// Its last entry in an endpoint list.
    endpoint: Endpoint,
    /// When the node was notified that the backend takes no new requests; `None` while it takes
    /// them.
    draining_since: Option<Time>,
}

/// A timer that the balancer has set and that has not fired.
struct ObservedTimer {
    /// Time at which its event is due.
    at: Time,
    /// The id that its event carries.
    timer: TimerId,
}

/// Records events and actions and reports each action that breaks a rule.
pub struct Observer {
    settings: Settings,
    /// All requests that have arrived, open or not.
    pub requests: BTreeMap<RequestId, ObservedRequest>,
    /// All backends that an endpoint list has named, listed or not.
    backends: BTreeMap<BackendId, ObservedBackend>,
    /// The timers that have not fired, in the order in which they were set.
    timers: Vec<ObservedTimer>,
    /// The backend of each load probe that has not ended.
    pub probes: Vec<BackendId>,
}

impl Observer {
    /// Creates an observer that has seen no events, for a balancer with these settings.
    pub fn new(settings: Settings) -> Self {
        Observer {
            settings,
            requests: BTreeMap::new(),
            backends: BTreeMap::new(),
            timers: vec![],
            probes: vec![],
        }
    }

    /// Records an event that is passed to the balancer at `now`.
    pub fn on_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::EndpointList { update, endpoints } => {
                self.on_endpoint_list(now, *update, endpoints);
            }
            Event::RequestArrived(arrival) => {
                let request = ObservedRequest {
                    class: arrival.class,
                    deadline: now + arrival.remaining,
                    is_open: true,
                    attempts: vec![],
                };
                self.requests.insert(arrival.request, request);
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::ClientDisconnected { request } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.is_open = false;
                }
            }
            Event::RequestBodyReceived { .. }
            | Event::ResponseStarted { .. }
            | Event::TimerFired { .. }
            | Event::LoadProbeEnded(_) => {}
        }
    }

    /// Records an endpoint list. A complete list counts as the drain of each known backend that it
    /// does not name; a drain that is already known keeps its start.
    fn on_endpoint_list(&mut self, now: Time, update: ListUpdate, endpoints: &[Endpoint]) {
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Cached) {
            for backend in self.backends.values_mut() {
                backend.draining_since.get_or_insert(now);
            }
        }
        for endpoint in endpoints {
            let known = self.backends.get(&endpoint.backend);
            let since = known.and_then(|backend| backend.draining_since);
            let is_draining = endpoint.state != EndpointState::Active;
            let backend = ObservedBackend {
                endpoint: endpoint.clone(),
                draining_since: is_draining.then(|| since.unwrap_or(now)),
            };
            self.backends.insert(endpoint.backend, backend);
        }
    }

    /// Records the outcome of an attempt and whether it closes its request.
    fn on_attempt_ended(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(&result.request) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(result.attempt as usize) {
            attempt.outcome = Some(result.outcome);
        }
        request.is_open &= !result.request_closed;
    }

    /// Records an action that the balancer returned at `now`; an error names the rule that it
    /// breaks.
    pub fn on_action(&mut self, now: Time, action: &Action) -> Result<(), String> {
        let checked = match action {
            Action::StartAttempt {
                request,
                backend,
                timeout,
            } => self.on_attempt_started(now, *request, *backend, *timeout),
            Action::Reject { request, .. } => self.on_rejected(*request),
            Action::Fail { request, .. } => self.on_response(*request),
            Action::CancelAttempt { request, attempt } => self.check_cancel(*request, *attempt),
            Action::SetTimer { at, timer } => {
                self.timers.push(ObservedTimer {
                    at: *at,
                    timer: *timer,
                });
                Ok(())
            }
            Action::SendLoadProbe { backend } => self.on_probe_sent(*backend),
            Action::RefreshEndpointList if !self.settings.polled_discovery => {
                Err("endpoint list requested although discovery pushes it")
            }
            Action::RefreshEndpointList | Action::Log(_) => Ok(()),
        };
        checked.map_err(|violation| format!("{violation}: {action:?} at {now:?}"))
    }

    /// Records an attempt after checking that it may be started.
    fn on_attempt_started(
        &mut self,
        now: Time,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Duration>,
    ) -> Result<(), &'static str> {
        self.check_attempt(now, id, backend)?;
        let request = self.requests.get_mut(&id).ok_or("unknown request")?;
        let deadline = request.deadline;
        request.attempts.push(ObservedAttempt {
            backend,
            started_at: now,
            ends_at: timeout.map_or(deadline, |timeout| (now + timeout).min(deadline)),
            outcome: None,
        });
        Ok(())
    }

    /// Checks that the request's next attempt may be started at this backend.
    fn check_attempt(
        &self,
        now: Time,
        id: RequestId,
        backend: BackendId,
    ) -> Result<(), &'static str> {
        let request = self.requests.get(&id).ok_or("unknown request")?;
        if !request.is_open || now > request.deadline {
            return Err("rule 1: attempt for a closed request or after its deadline");
        }
        let backend = self.backends.get(&backend).ok_or("unknown backend")?;
        let grace = self.settings.protocol_limits.drain_grace;
        if backend
            .draining_since
            .is_some_and(|since| now - since > grace)
        {
            return Err("rule 3: attempt at a draining backend after the drain grace");
        }
        let class = self.class_of(request);
        if !is_allowed(class, &backend.endpoint) {
            return Err("rule 5: attempt at a backend that the class does not allow");
        }
        if request.attempts.len() as u32 >= self.settings.max_attempts {
            return Err("too many attempts");
        }
        let has_attempt_in_flight = request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        if !self.settings.hedging_allowed && has_attempt_in_flight {
            return Err("two attempts in flight");
        }
        if !self.may_execute_at(now, request, &backend.endpoint) {
            return Err("rule 2: repeat that the class's idempotency forbids");
        }
        Ok(())
    }

    /// Returns the settings of a request's class.
    fn class_of(&self, request: &ObservedRequest) -> &RequestClass {
        &self.settings.classes[usize::from(request.class.0)]
    }

    /// Whether idempotency allows an attempt at this backend, given the request's earlier attempts.
    /// The scope and the window of a key count from the first attempt that may have been executed.
    fn may_execute_at(&self, now: Time, request: &ObservedRequest, endpoint: &Endpoint) -> bool {
        let mut attempts = request.attempts.iter();
        let Some(earlier) = attempts.find(|attempt| attempt.may_have_executed()) else {
            return true;
        };
        let first = &self.backends[&earlier.backend].endpoint;
        match self.class_of(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let is_in_scope = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => first.zone == endpoint.zone,
                    KeyScope::Cell => first.cell == endpoint.cell,
                };
                now - earlier.started_at <= window && is_in_scope
            }
        }
    }

    /// Records a rejection after checking that the client may repeat the request: it was not
    /// executed, or idempotency makes the repeat harmless at any backend.
    fn on_rejected(&mut self, id: RequestId) -> Result<(), &'static str> {
        let request = self.requests.get(&id).ok_or("unknown request")?;
        let may_have_executed = request
            .attempts
            .iter()
            .any(ObservedAttempt::may_have_executed);
        let may_reject = match self.class_of(request).idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_executed,
        };
        if !may_reject {
            return Err("rule 2: rejection of a request that may have been executed");
        }
        self.on_response(id)
    }

    /// Records a final response, which closes the request; a request that is closed already gets
    /// none.
    fn on_response(&mut self, id: RequestId) -> Result<(), &'static str> {
        let request = self.requests.get_mut(&id).ok_or("unknown request")?;
        if std::mem::take(&mut request.is_open) {
            Ok(())
        } else {
            Err("rule 1: response to a request that is already closed")
        }
    }

    /// Checks that the settings allow cancellation and that the attempt was started.
    fn check_cancel(&self, id: RequestId, attempt: u32) -> Result<(), &'static str> {
        let request = self.requests.get(&id);
        let attempts = request.map_or(0, |request| request.attempts.len());
        if self.settings.cancellation_allowed && (attempt as usize) < attempts {
            Ok(())
        } else {
            Err("cancellation not allowed, or of an attempt that was never started")
        }
    }

    /// Records a load probe after checking that the settings allow it and that the backend is
    /// known.
    fn on_probe_sent(&mut self, backend: BackendId) -> Result<(), &'static str> {
        if !self.settings.load_probes_allowed || !self.backends.contains_key(&backend) {
            return Err("load probe not allowed, or of an unknown backend");
        }
        self.probes.push(backend);
        Ok(())
    }

    /// Returns a request that is still open [`RESPONSE_TOLERANCE`] after its deadline, which breaks
    /// rule 1 without any action; `None` if there is none.
    pub fn overdue_response(&self, now: Time) -> Option<RequestId> {
        self.requests
            .iter()
            .find(|(_, request)| request.is_open && now >= request.deadline + RESPONSE_TOLERANCE)
            .map(|(id, _)| *id)
    }

    /// Returns the attempts in flight, ordered by request id and then by attempt number.
    pub fn attempts_in_flight(&self) -> Vec<AttemptInFlight> {
        let mut in_flight = vec![];
        for (&request, observed) in &self.requests {
            for (number, attempt) in (0..).zip(&observed.attempts) {
                if attempt.outcome.is_none() {
                    in_flight.push(AttemptInFlight {
                        ends_at: attempt.ends_at,
                        request,
                        number,
                        backend: attempt.backend,
                    });
                }
            }
        }
        in_flight
    }
}

/// An attempt in flight. The order is by `ends_at` first, so that the least one times out first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptInFlight {
    /// When it times out.
    pub ends_at: Time,
    /// The request that it serves.
    pub request: RequestId,
    /// Its number within the request, counted from 0.
    pub number: u32,
    /// The backend at which it was started.
    pub backend: BackendId,
}

/// Whether the class allows both the zone and the machine type of this endpoint.
fn is_allowed(class: &RequestClass, endpoint: &Endpoint) -> bool {
    let allows_zone = class
        .allowed_zones
        .as_ref()
        .is_none_or(|zones| zones.contains(&endpoint.zone));
    let allows_machine_type = class
        .allowed_machine_types
        .as_ref()
        .is_none_or(|machine_types| machine_types.contains(&endpoint.machine_type));
    allows_zone && allows_machine_type
}

/// A balancer whose events and actions an observer checks.
pub struct ObservedBalancer {
    balancer: Balancer,
    /// The observer of this balancer's events and actions.
    pub observer: Observer,
    /// The current time of the test.
    pub now: Time,
    /// All actions that the balancer has returned so far, in their order.
    pub all_actions: Vec<Action>,
}

impl ObservedBalancer {
    /// Creates a balancer at the start of a test. The settings must be valid.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, at(0)).expect("valid settings");
        ObservedBalancer {
            balancer,
            observer: Observer::new(settings),
            now: at(0),
            all_actions: vec![],
        }
    }

    /// Passes an event to the balancer and returns its actions; an error names the rule that one of
    /// them breaks.
    pub fn feed(&mut self, event: Event) -> Result<Vec<Action>, String> {
        self.observer.on_event(self.now, &event);
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.observer.on_action(self.now, action)?;
        }
        self.all_actions.extend(actions.iter().cloned());
        Ok(actions)
    }

    /// Lets time pass. Timers fire and attempts time out when they are due, in the order of time;
    /// at the same time, timers come first. An error names a rule that is broken meanwhile.
    pub fn wait(&mut self, duration: Duration) -> Result<(), String> {
        let until = self.now + duration;
        loop {
            let timer = self.observer.timers.iter().map(|timer| timer.at).min();
            let timer = timer.filter(|at| *at <= until);
            let attempt = self.observer.attempts_in_flight().into_iter().min();
            let attempt = attempt.filter(|attempt| attempt.ends_at <= until);
            match (timer, attempt) {
                (Some(timer), None) => self.fire_timer(timer)?,
                (Some(timer), Some(attempt)) if timer <= attempt.ends_at => {
                    self.fire_timer(timer)?;
                }
                (_, Some(attempt)) => self.time_out(attempt)?,
                (None, None) => break,
            }
            self.check_overdue()?;
        }
        self.now = until;
        self.check_overdue()
    }

    /// Fires the first of the timers that are set for `at`.
    fn fire_timer(&mut self, at: Time) -> Result<(), String> {
        self.now = self.now.max(at);
        let mut timers = self.observer.timers.iter();
        let position = timers
            .position(|timer| timer.at == at)
            .expect("a timer that is due");
        let timer = self.observer.timers.remove(position).timer;
        self.feed(Event::TimerFired { timer })?;
        Ok(())
    }

    /// Ends an attempt by its timeout.
    fn time_out(&mut self, attempt: AttemptInFlight) -> Result<(), String> {
        self.now = self.now.max(attempt.ends_at);
        let AttemptInFlight {
            request,
            number,
            backend,
            ..
        } = attempt;
        let timed_out = AttemptOutcome::TimedOut;
        self.feed(attempt_ended(request.0, number, backend, timed_out, None))?;
        Ok(())
    }

    /// Checks that no response is overdue.
    fn check_overdue(&self) -> Result<(), String> {
        match self.observer.overdue_response(self.now) {
            Some(id) => Err(format!(
                "rule 1: request {id} has no response after its deadline"
            )),
            None => Ok(()),
        }
    }
}
