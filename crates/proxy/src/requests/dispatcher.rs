//! Owner of the balancer: passes events to it and executes the actions that it returns.
//!
//! Tasks report what happened; the dispatcher passes these events to the balancer one by one and
//! turns the actions into I/O. It runs on one thread and never waits, so only those events have to
//! be queued that an action causes while it is being executed.

use super::attempts::{
    Attempt, AttemptEnd, AttemptId, AttemptObserver, AttemptTask, FinishedAttempt,
};
use super::class_policies::ClassPolicies;
use super::load_probe::{run_load_probe, unsent_probe_result};
use super::pending_request::{PendingRequest, PendingRequestObserver};
use super::registry::{has_disconnected, RequestRecord, RequestRegistry};
use super::request::ForwardRequest;
use super::request_log::{exchange_failed_line, printable_id, GivenUpResponse};
use super::responder::Responder;
use super::statistics_log::{AttemptCounts, Statistics};
use crate::clock::Clock;
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::send_invariants::Invariant;
use crate::upstream::backend::Backend;
use crate::upstream::backend_registry::BackendRegistry;
use crate::upstream::exchange::{AttemptConstraints, UpstreamClient};
use crate::upstream::response::ResponseBody;
use balancer::{
    Action, BackendId, Balancer, Endpoint, Event, GiveUpReason, ListUpdate, RequestId, Settings,
    SettingsError, Time, TimerId,
};
use hyper::Response;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

struct State {
    balancer: Balancer,
    /// Events that executing an action has caused; the balancer handles them next.
    events: VecDeque<Event>,
    requests: RequestRegistry,
    /// Attempts by backend since the last statistics line in the log.
    attempt_counts: FxHashMap<BackendId, AttemptCounts>,
}

/// Owner of the balancer and of the requests in progress.
pub struct Dispatcher {
    /// Reference to itself, for the tasks that it spawns.
    weak_self: Weak<Dispatcher>,
    log: EventLog,
    clock: Clock,
    backends: Rc<BackendRegistry>,
    client: Rc<UpstreamClient>,
    metrics: Rc<Metrics>,
    /// Requests the endpoint list from discovery. Called while `state` is borrowed, so it must not
    /// call back into the dispatcher.
    refresh_endpoint_list: Box<dyn Fn()>,
    classes: Rc<ClassPolicies>,
    responder: Responder,
    state: RefCell<State>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no backends or requests yet.
    ///
    /// # Errors
    ///
    /// Returns the balancer's error if it rejects the settings.
    pub fn new(
        log: EventLog,
        settings: Settings,
        seed: u64,
        backends: Rc<BackendRegistry>,
        client: Rc<UpstreamClient>,
        refresh_endpoint_list: impl Fn() + 'static,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let classes = Rc::new(ClassPolicies::new(&settings));
        let state = State {
            balancer: Balancer::new(settings, seed, clock.now())?,
            events: VecDeque::new(),
            requests: RequestRegistry::default(),
            attempt_counts: FxHashMap::default(),
        };
        let metrics = client.metrics().clone();
        let responder = Responder {
            classes: classes.clone(),
            metrics: metrics.clone(),
            log: log.clone(),
        };
        Ok(Rc::new_cyclic(|weak_self| Dispatcher {
            weak_self: weak_self.clone(),
            log,
            clock,
            backends,
            client,
            metrics,
            refresh_endpoint_list: Box::new(refresh_endpoint_list),
            classes,
            responder,
            state: RefCell::new(state),
        }))
    }

    /// Writes a line to the process's log.
    pub fn log(&self, line: fmt::Arguments) {
        self.log.log(line);
    }

    /// Returns the names that the settings define, such as those of classes and tenants.
    pub fn names(&self) -> &settings::SettingNames {
        self.backends.names()
    }

    /// Returns the node's counters.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Returns the clock that gives the balancer its time.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Passes changes of the endpoint list, or the failure to get them, to the balancer.
    pub fn endpoint_list_updated(&self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.handle_event(Event::EndpointList { update, endpoints });
    }

    /// Accepts a client's request. Returns `None` if a request with the same id is in progress:
    /// backends would mistake the second one for a retry of the first.
    pub fn submit(self: &Rc<Self>, request: ForwardRequest) -> Option<PendingRequest> {
        let (sender, response) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let id = state.requests.reserve(&request.id)?;
        self.metrics.count(|c| c.requests += 1);
        self.metrics.count_class(request.class, |c| c.requests += 1);
        let arrival = request.arrival(id);
        state.requests.insert(id, request, sender);
        drop(state);
        self.handle_event(Event::RequestArrived(arrival));
        self.remove_if_settled(id);
        Some(PendingRequest::new(id, response, self.clone()))
    }

    /// Reports that the last byte of a streamed request's body has been received.
    pub fn request_body_received(&self, request: RequestId) {
        self.handle_event(Event::RequestBodyReceived { request });
    }

    /// Returns the number of requests whose final response is outstanding.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.open_requests()
    }

    /// Logs the messages rejected since the last call and, unless the node was idle, its counters
    /// and the balancer's state.
    pub fn log_statistics(&self) {
        for (reason, count) in self.metrics.take_rejected_messages() {
            self.log(format_args!("rejected count={count} reason=\"{reason}\""));
        }
        let Some((counters, interval)) = self.metrics.take() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let statistics = Statistics {
            names: self.names(),
            interval,
            counters,
            classes: self.metrics.take_classes(),
            attempts: std::mem::take(&mut state.attempt_counts),
            requests_in_flight: state.requests.len(),
            pool: self.client.pool().usage(),
            in_maintenance: self.backends.in_maintenance(),
            balancer: state.balancer.snapshot(self.clock.now()),
        };
        drop(state);
        let line = statistics.to_line(&self.metrics.invariants);
        self.log(format_args!("{line}"));
    }

    /// Stops those attempts of a closed request of which nothing has been written yet.
    fn revoke_unsent_attempts(&self, state: &mut State, request: RequestId) {
        for result in state.requests.revoke_unsent_attempts(request) {
            self.metrics.count(|c| c.count_attempt_end(result.outcome));
            state.events.push_back(Event::AttemptEnded(result));
        }
    }

    /// Marks an attempt as ended and counts it. Returns `None` if it had already ended.
    fn end_attempt(
        &self,
        state: &mut State,
        id: AttemptId,
        finished: &FinishedAttempt,
    ) -> Option<AttemptEnd> {
        let record = state.requests.get_mut(id.request)?;
        let end = record.end_attempt(id.index, finished.outcome, finished.load_report)?;
        let backend = record.attempts[id.index as usize].backend;
        self.metrics.count(|c| c.count_attempt_end(end.outcome));
        let counts = state.attempt_counts.entry(backend).or_default();
        counts.count_end(end.outcome);
        if let Some(error) = &finished.error {
            if self.metrics.may_log_error() {
                let line = exchange_failed_line(record, id.index, backend, &end, error);
                self.log(format_args!("{line}"));
            }
        }
        Some(end)
    }

    fn remove_if_settled(&self, request: RequestId) {
        self.state.borrow_mut().requests.remove_if_settled(request);
    }

    /// Passes an event, and those that it leads to, to the balancer and executes the actions.
    fn handle_event(&self, event: Event) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        state.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(state, action);
            }
        }
    }

    fn execute_action(&self, state: &mut State, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                backend,
                timeout,
            } => self.start_attempt(state, request, backend, timeout),
            Action::Reject {
                request,
                retry_after,
                reason,
            } => {
                let response = GivenUpResponse::Rejected { retry_after };
                self.give_up(state, request, response, reason);
            }
            Action::Fail { request, reason } => {
                self.give_up(state, request, GivenUpResponse::Failed, reason);
            }
            Action::CancelAttempt { request, attempt } => {
                let index = attempt;
                let result = state.requests.cancel_attempt(AttemptId { request, index });
                state.events.extend(result.map(Event::AttemptEnded));
            }
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::SendLoadProbe { backend } => self.send_load_probe(state, backend),
            Action::RefreshEndpointList => (self.refresh_endpoint_list)(),
            Action::Log(line) => self.log(format_args!("{line}")),
        }
    }

    fn start_attempt(
        &self,
        state: &mut State,
        request: RequestId,
        backend_id: BackendId,
        timeout: Option<Duration>,
    ) {
        let started_at = Instant::now();
        let Some(record) = state.requests.get_mut(request) else {
            return;
        };
        let index = record.attempts.len() as u32;
        let id = AttemptId { request, index };
        let backend = self
            .backends
            .get(backend_id)
            .filter(|_| record.is_open())
            .filter(|backend| self.is_allowed(record, backend));
        let Some(backend) = backend else {
            let (attempt, end) = Attempt::not_sent(backend_id, started_at);
            self.metrics.count(|c| c.count_attempt_end(end.outcome));
            record.attempts.push(attempt);
            let result = record.attempt_result(id, end);
            state.events.push_back(Event::AttemptEnded(result));
            return;
        };
        let attempt = self.spawn_attempt(record, id, backend, started_at, timeout);
        record.attempts.push(attempt);
        self.metrics.count(|c| c.attempts += 1);
        state.attempt_counts.entry(backend_id).or_default().started += 1;
    }

    fn spawn_attempt(
        &self,
        record: &RequestRecord,
        id: AttemptId,
        backend: Rc<Backend>,
        started_at: Instant,
        timeout: Option<Duration>,
    ) -> Attempt {
        let client = record.client.clone();
        let constraints = AttemptConstraints {
            deadline: timeout.map_or(record.deadline, |timeout| {
                record.deadline.min(started_at + timeout)
            }),
            retry_until: self.classes.retry_until(record),
            is_client_waiting: Box::new(move || !has_disconnected(&client)),
            progress: Rc::default(),
        };
        let task = AttemptTask {
            id,
            backend,
            request: record.request.clone(),
            constraints,
            client: self.client.clone(),
            observer: self.weak_self.clone(),
        };
        Attempt::spawn(task, started_at)
    }

    /// Whether the invariants allow one more attempt of a request at a backend. The balancer's own
    /// decisions respect them, unless the endpoint list has changed since the decision.
    fn is_allowed(&self, record: &RequestRecord, backend: &Backend) -> bool {
        if !backend.accepts_requests() {
            self.metrics.invariants.prevented(Invariant::Drain);
            return false;
        }
        let allowed = self.classes.may_retry(record, backend.key_scopes());
        if let Err(invariant) = allowed {
            self.metrics.invariants.violated(invariant);
            debug_assert!(false, "{invariant:?}: {}", printable_id(&record.id));
        }
        allowed.is_ok()
    }

    /// Closes a request without a response from a backend.
    fn give_up(
        &self,
        state: &mut State,
        request: RequestId,
        response: GivenUpResponse,
        reason: GiveUpReason,
    ) {
        let Some(record) = state.requests.get_mut(request) else {
            return;
        };
        if self.responder.give_up(record, response, reason) {
            self.revoke_unsent_attempts(state, request);
        }
    }

    fn set_timer(&self, at: Time, timer: TimerId) {
        let fires_at = self.clock.instant_at(at);
        let dispatcher = self.weak_self.clone();
        spawn_local(async move {
            tokio::time::sleep_until(fires_at).await;
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.handle_event(Event::TimerFired { timer });
            }
        });
    }

    fn send_load_probe(&self, state: &mut State, backend_id: BackendId) {
        let Some(backend) = self.backends.get(backend_id) else {
            let result = unsent_probe_result(backend_id);
            state.events.push_back(Event::LoadProbeEnded(result));
            return;
        };
        let dispatcher = self.weak_self.clone();
        let on_result = move |result| {
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.handle_event(Event::LoadProbeEnded(result));
            }
        };
        let started_at = Instant::now();
        let probe = run_load_probe(self.client.clone(), backend, started_at, on_result);
        spawn_local(probe);
    }
}

impl PendingRequestObserver for Dispatcher {
    fn client_finished(&self, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(record) = state.requests.get_mut(request) else {
            return;
        };
        if record.close().is_none() {
            return;
        }
        self.metrics.count(|c| c.client_disconnected += 1);
        self.revoke_unsent_attempts(&mut state, request);
        drop(state);
        self.handle_event(Event::ClientDisconnected { request });
        self.remove_if_settled(request);
    }
}

impl AttemptObserver for Dispatcher {
    fn response_started(&self, id: AttemptId, response: Response<ResponseBody>) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(record) = state.requests.get_mut(id.request) else {
            return false;
        };
        let attempt = record.attempts.get(id.index as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else {
            return false;
        };
        let latency = record.elapsed_since(attempt.started_at);
        if !record.is_open() {
            return false;
        }
        self.metrics.count(|c| c.streamed += 1);
        self.responder.serve(record, response);
        drop(state);
        self.handle_event(Event::ResponseStarted {
            request: id.request,
            attempt: id.index,
            latency,
        });
        true
    }

    fn attempt_finished(&self, id: AttemptId, finished: FinishedAttempt) {
        let mut state = self.state.borrow_mut();
        let Some(end) = self.end_attempt(&mut state, id, &finished) else {
            return;
        };
        let Some(record) = state.requests.get_mut(id.request) else {
            return;
        };
        if let Some(response) = finished.response {
            self.responder.serve(record, response);
        }
        // A retry is pointless once the client has disconnected.
        if record.is_abandoned() {
            record.close();
            self.metrics.count(|c| c.client_disconnected += 1);
        }
        let result = record.attempt_result(id, end);
        if result.request_closed {
            self.revoke_unsent_attempts(&mut state, id.request);
        }
        drop(state);
        self.handle_event(Event::AttemptEnded(result));
        self.remove_if_settled(id.request);
    }
}
