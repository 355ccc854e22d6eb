//! An observer of the protocol's rules and of legal actions. It checks; it simulates nothing.

use super::{at, attempt_ended, ms};
use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, Endpoint, EndpointState,
    Event, Idempotency, KeyScope, ListUpdate, RequestClass, RequestId, Settings, Time, TimerId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the client's deadline by which its response must have been sent.
const RESPONSE_TOLERANCE: Duration = ms(20);

/// An attempt as the observer has seen it.
pub struct ObservedAttempt {
    pub backend: BackendId,
    pub started_at: Time,
    /// When it times out.
    pub ends_at: Time,
    /// How it ended, if it has.
    pub outcome: Option<AttemptOutcome>,
}

impl ObservedAttempt {
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// A request as the observer has seen it.
pub struct ObservedRequest {
    pub class: ClassId,
    pub deadline: Time,
    /// A response is owed.
    pub is_open: bool,
    pub attempts: Vec<ObservedAttempt>,
}

/// A backend as the node was last notified of it.
struct ObservedBackend {
    endpoint: Endpoint,
    /// Since when it takes no new requests.
    draining_since: Option<Time>,
}

/// A timer that was asked for.
struct ObservedTimer {
    at: Time,
    timer: TimerId,
}

/// Watches events and actions and says which rule an action breaks.
pub struct Observer {
    settings: Settings,
    pub requests: BTreeMap<RequestId, ObservedRequest>,
    backends: BTreeMap<BackendId, ObservedBackend>,
    timers: Vec<ObservedTimer>,
    /// Load probes that have not ended.
    pub probes: Vec<BackendId>,
}

impl Observer {
    pub fn new(settings: Settings) -> Self {
        Observer {
            settings,
            requests: BTreeMap::new(),
            backends: BTreeMap::new(),
            timers: vec![],
            probes: vec![],
        }
    }

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

    fn on_attempt_ended(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(&result.request) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(result.attempt as usize) {
            attempt.outcome = Some(result.outcome);
        }
        request.is_open &= !result.request_closed;
    }

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
                Err("asks for a list that comes by itself")
            }
            Action::RefreshEndpointList | Action::Log(_) => Ok(()),
        };
        checked.map_err(|broken| format!("{broken}: {action:?} at {now:?}"))
    }

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

    fn check_attempt(
        &self,
        now: Time,
        id: RequestId,
        backend: BackendId,
    ) -> Result<(), &'static str> {
        let request = self.requests.get(&id).ok_or("unknown request")?;
        if !request.is_open || now > request.deadline {
            return Err("rule 1, sent after the end");
        }
        let backend = self.backends.get(&backend).ok_or("unknown backend")?;
        let grace = self.settings.protocol_limits.drain_grace;
        if backend
            .draining_since
            .is_some_and(|since| now - since > grace)
        {
            return Err("rule 3, sent to a backend that drains");
        }
        let class = self.class_of(request);
        if !is_allowed(class, &backend.endpoint) {
            return Err("rule 5, sent where its class may not go");
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
            return Err("rule 2, sent again");
        }
        Ok(())
    }

    fn class_of(&self, request: &ObservedRequest) -> &RequestClass {
        &self.settings.classes[usize::from(request.class.0)]
    }

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

    fn on_rejected(&mut self, id: RequestId) -> Result<(), &'static str> {
        let request = self.requests.get(&id).ok_or("unknown request")?;
        let may_have_executed = request
            .attempts
            .iter()
            .any(ObservedAttempt::may_have_executed);
        let is_harmless = match self.class_of(request).idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_executed,
        };
        if !is_harmless {
            return Err("rule 2, rejected though it may have been executed");
        }
        self.on_response(id)
    }

    fn on_response(&mut self, id: RequestId) -> Result<(), &'static str> {
        let request = self.requests.get_mut(&id).ok_or("unknown request")?;
        if std::mem::take(&mut request.is_open) {
            Ok(())
        } else {
            Err("rule 1, a second response")
        }
    }

    fn check_cancel(&self, id: RequestId, attempt: u32) -> Result<(), &'static str> {
        let request = self.requests.get(&id);
        let attempts = request.map_or(0, |request| request.attempts.len());
        if self.settings.cancellation_allowed && (attempt as usize) < attempts {
            Ok(())
        } else {
            Err("cancels what was never sent")
        }
    }

    fn on_probe_sent(&mut self, backend: BackendId) -> Result<(), &'static str> {
        if !self.settings.load_probes_allowed || !self.backends.contains_key(&backend) {
            return Err("probe not allowed");
        }
        self.probes.push(backend);
        Ok(())
    }

    /// Rule 1 from the other side: a response that is owed though the client's time is over.
    pub fn overdue_response(&self, now: Time) -> Option<RequestId> {
        self.requests
            .iter()
            .find(|(_, request)| request.is_open && now >= request.deadline + RESPONSE_TOLERANCE)
            .map(|(id, _)| *id)
    }

    /// The attempts in flight, in the order of their requests.
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

/// An attempt that has not ended; the one that times out first is the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptInFlight {
    pub ends_at: Time,
    pub request: RequestId,
    pub number: u32,
    pub backend: BackendId,
}

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

/// A balancer under observation.
pub struct ObservedBalancer {
    balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    /// All actions so far.
    pub log: Vec<Action>,
}

impl ObservedBalancer {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, at(0)).expect("valid settings");
        ObservedBalancer {
            balancer,
            observer: Observer::new(settings),
            now: at(0),
            log: vec![],
        }
    }

    /// Feeds an event; an error says which rule the actions break.
    pub fn feed(&mut self, event: Event) -> Result<Vec<Action>, String> {
        self.observer.on_event(self.now, &event);
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.observer.on_action(self.now, action)?;
        }
        self.log.extend(actions.iter().cloned());
        Ok(actions)
    }

    /// Lets time pass; timers and attempts that fall due are delivered, timers first.
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

    fn fire_timer(&mut self, at: Time) -> Result<(), String> {
        self.now = self.now.max(at);
        let mut timers = self.observer.timers.iter();
        let position = timers
            .position(|timer| timer.at == at)
            .expect("a timer that falls due");
        let timer = self.observer.timers.remove(position).timer;
        self.feed(Event::TimerFired { timer })?;
        Ok(())
    }

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

    fn check_overdue(&self) -> Result<(), String> {
        match self.observer.overdue_response(self.now) {
            Some(id) => Err(format!("rule 1, request {id} is owed a response")),
            None => Ok(()),
        }
    }
}
