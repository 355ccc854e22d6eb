//! Owner of the balancer: feeds events to it and carries out its actions.
//!
//! Tasks report what happened; the dispatcher hands the events to the balancer one by one and turns
//! the actions into I/O. It runs on one thread and never waits, so events need no queue beyond those
//! that an action causes at once.

use super::attempts::{
    Attempt, AttemptEnd, AttemptObserver, AttemptState, AttemptTask, FinishedAttempt,
};
use super::registry::{has_disconnected, AttemptId, RequestRecord, RequestRegistry};
use super::request::{FinalResponse, ForwardRequest};
use super::request_log::{exchange_failed_line, given_up_line, printable_id, GivenUpResponse};
use super::statistics_log::{AttemptCounts, Statistics};
use crate::clock::Clock;
use crate::discovery::wire::EndpointList;
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::operator_state::store::OperatorState;
use crate::send_invariants::{self, Invariant, PriorAttempt};
use crate::upstream::backend::Backend;
use crate::upstream::backend_registry::{BackendRegistry, ListSource};
use crate::upstream::exchange::{AttemptTerms, SendProgress, UpstreamClient};
use crate::upstream::response::ResponseBody;
use balancer::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, EndpointState, Event,
    GiveUpReason, Idempotency, ListUpdate, LoadProbeResult, RequestArrival, RequestId, Settings,
    SettingsError, Time, TimerId,
};
use hyper::Response;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time in which a load probe is of use: the balancer picks among probed backends within a few
/// milliseconds.
const LOAD_PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// What the node itself has to know of a class of requests.
struct ClassPolicy {
    idempotency: Idempotency,
    /// Time in which a response earns the class's full weight, without the extension for heavy
    /// requests.
    latency_objective: Duration,
}

struct State {
    balancer: Balancer,
    /// Events that an action has caused, for the balancer to handle next.
    events: VecDeque<Event>,
    requests: RequestRegistry,
    /// Attempts by backend since the last line of statistics.
    attempt_counts: FxHashMap<BackendId, AttemptCounts>,
}

/// Owner of the balancer and of the requests in progress.
pub struct Dispatcher {
    /// Itself, for the tasks it starts.
    this: Weak<Dispatcher>,
    log: EventLog,
    clock: Clock,
    backends: Rc<BackendRegistry>,
    client: Rc<UpstreamClient>,
    metrics: Rc<Metrics>,
    /// Asks discovery for the endpoint list. Called with the state borrowed.
    refresh_endpoint_list: Box<dyn Fn()>,
    hedging_allowed: bool,
    /// By [`ClassId`].
    classes: Vec<ClassPolicy>,
    state: RefCell<State>,
    revision: Cell<u64>,
    servers_listed: Cell<bool>,
}

impl Dispatcher {
    /// Creates a dispatcher without backends and requests.
    ///
    /// # Errors
    ///
    /// Returns the balancer's error if it can't use the settings.
    pub fn new(
        log: EventLog,
        settings: Settings,
        seed: u64,
        backends: Rc<BackendRegistry>,
        client: Rc<UpstreamClient>,
        refresh_endpoint_list: impl Fn() + 'static,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let hedging_allowed = settings.hedging_allowed;
        let classes = settings
            .classes
            .iter()
            .map(|class| ClassPolicy {
                idempotency: class.idempotency,
                latency_objective: class.latency_objective,
            })
            .collect();
        let state = State {
            balancer: Balancer::new(settings, seed, clock.now())?,
            events: VecDeque::new(),
            requests: RequestRegistry::default(),
            attempt_counts: FxHashMap::default(),
        };
        Ok(Rc::new_cyclic(|this| Dispatcher {
            this: this.clone(),
            log,
            clock,
            metrics: client.metrics().clone(),
            backends,
            client,
            refresh_endpoint_list: Box::new(refresh_endpoint_list),
            hedging_allowed,
            classes,
            state: RefCell::new(state),
            revision: Cell::new(0),
            servers_listed: Cell::new(false),
        }))
    }

    /// Writes a line to the process's log.
    pub fn log(&self, line: fmt::Arguments) {
        self.log.log(line);
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &settings::SettingNames {
        self.backends.names()
    }

    /// The node's counters.
    pub fn stats(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Version of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether a list has named a server that takes requests.
    pub fn ready(&self) -> bool {
        self.servers_listed.get()
    }

    /// Takes in the list as last known before the start. The balancer is owed one, be it empty.
    pub fn known(&self, list: Option<&EndpointList>) {
        let entries = list
            .map(|l| self.apply_endpoint_list(l, ListSource::Configuration))
            .unwrap_or_default();
        self.handle_event(Event::EndpointList {
            update: ListUpdate::Cached,
            endpoints: entries,
        });
    }

    /// An endpoint list was asked for, and the answer has begun without one.
    pub fn endpoint_list_unchanged(&self) {
        self.handle_event(Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints: Vec::new(),
        });
    }

    /// An endpoint list was asked for, and the call has failed or ended.
    pub fn endpoint_list_failed(&self) {
        self.handle_event(Event::EndpointList {
            update: ListUpdate::Failed,
            endpoints: Vec::new(),
        });
    }

    /// Takes in an endpoint list, or a change to it, that discovery has sent.
    pub fn list(&self, list: &EndpointList) {
        let kind = if list.is_snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let entries = self.apply_endpoint_list(list, ListSource::Discovery);
        // Logged where it says anything: discovery may send lists of no change.
        if !entries.is_empty() {
            let count = |state| entries.iter().filter(|e| e.state == state).count();
            let youngest = entries.iter().filter_map(|e| e.started_at).max();
            let age = youngest.map_or(f64::NAN, |at| (self.clock.now() - at).as_secs_f64());
            self.log(format_args!(
                "list revision={} kind={kind:?} youngest_s={age:.1} ready={} draining={} gone={}",
                list.revision,
                count(EndpointState::Active),
                count(EndpointState::Draining),
                count(EndpointState::Removed)
            ));
        }
        self.handle_event(Event::EndpointList {
            update: kind,
            endpoints: entries,
        });
    }

    /// Goes by what operators have said, from now on.
    pub fn apply_operator_state(&self, word: &OperatorState) {
        let entries = self.backends.apply_operator_state(self.clock.now(), word);
        if !entries.is_empty() {
            self.handle_event(Event::EndpointList {
                update: ListUpdate::Delta,
                endpoints: entries,
            });
        }
    }

    /// Whether a list names this backend.
    pub fn knows(&self, backend: &str) -> bool {
        self.backends.is_listed(backend)
    }

    /// Whether a backend that operators have put back into use is warm again, as far as this
    /// process knows.
    pub fn warmed_up(&self, backend: &str, warm_up: Duration) -> bool {
        self.backends
            .has_warmed_up(self.clock.now(), backend, warm_up)
    }

    fn apply_endpoint_list(
        &self,
        list: &EndpointList,
        source: ListSource,
    ) -> Vec<balancer::Endpoint> {
        self.revision.set(list.revision);
        let entries = self
            .backends
            .apply_endpoint_list(self.clock.now(), list, source);
        let usable = entries.iter().any(|e| e.state == EndpointState::Active);
        self.servers_listed.set(self.servers_listed.get() || usable);
        entries
    }

    /// Accepts a client's request. Returns `None` if one of the same id is in progress, as backends
    /// would take a second one for its retry.
    pub fn arrival(&self, request: ForwardRequest) -> Option<PendingRequest> {
        let (sender, response) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let id = state.requests.reserve(&request.id)?;
        self.metrics.count(|c| c.requests += 1);
        self.metrics.count_class(request.class, |c| c.requests += 1);
        let arrival = RequestArrival {
            request: id,
            class: request.class,
            tenant: request.tenant,
            remaining: request.remaining,
            work: request.work,
            body_pending: request.request.body().upload().is_some(),
        };
        state.requests.insert(id, request, sender);
        drop(state);
        self.handle_event(Event::RequestArrived(arrival));
        self.remove_if_settled(id);
        Some(PendingRequest {
            dispatcher: self.this.upgrade(),
            id,
            response,
        })
    }

    /// The last byte of an accepted request's body has been received.
    pub fn uploaded(&self, request: RequestId) {
        self.handle_event(Event::RequestBodyReceived { request });
    }

    /// Number of requests whose final response is still owed.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.open_requests()
    }

    /// Writes the counters since the last call, and the balancer's state, to the log.
    pub fn log_stats(&self) {
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
            backend_connections: self.client.pool().open_connections(),
            in_maintenance: self.backends.in_maintenance(),
            balancer: state.balancer.snapshot(self.clock.now()),
        };
        drop(state);
        let line = statistics.to_line(&self.metrics.invariants);
        self.log(format_args!("{line}"));
    }

    fn client_disconnected(&self, request: RequestId) {
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

    /// Stops the attempts of a closed request of which nothing has been written.
    fn revoke_unsent_attempts(&self, state: &mut State, request: RequestId) {
        let Some(record) = state.requests.get_mut(request) else {
            return;
        };
        for index in 0..record.attempts.len() as u32 {
            let Some(end) = record.attempts[index as usize].revoke_unsent() else {
                continue;
            };
            self.metrics.count(|c| c.count_attempt_end(end.outcome));
            let result = record.attempt_result(AttemptId { request, index }, end);
            state.events.push_back(Event::AttemptEnded(result));
        }
    }

    /// Marks an attempt as ended. Returns `None` if it has ended before.
    fn end_attempt(
        &self,
        state: &mut State,
        id: AttemptId,
        finished: &FinishedAttempt,
    ) -> Option<AttemptEnd> {
        let record = state.requests.get_mut(id.request)?;
        let attempt = record.attempts.get(id.index as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        let end = AttemptEnd {
            outcome: finished.outcome,
            latency: record.elapsed_since(attempt.started_at),
            load_report: finished.load_report,
        };
        let attempt = &mut record.attempts[id.index as usize];
        attempt.state = AttemptState::Ended(end);
        self.metrics.count(|c| c.count_attempt_end(end.outcome));
        state
            .attempt_counts
            .entry(attempt.backend)
            .or_default()
            .count_end(end.outcome);
        if let Some(error) = &finished.error {
            if self.metrics.may_log_error() {
                let attempt = &record.attempts[id.index as usize];
                let line = exchange_failed_line(record, id.index, attempt, error);
                self.log(format_args!("{line}"));
            }
        }
        Some(end)
    }

    /// Sends a request's response to its client, unless it has had one: then this is the response to
    /// a hedged attempt, and is dropped.
    fn serve(&self, record: &mut RequestRecord, response: Response<ResponseBody>) {
        if let Some(client) = record.close() {
            self.count_served(record);
            // The client may have disconnected in the meantime.
            let _ = client.send(FinalResponse::Served(response));
        }
    }

    fn count_served(&self, record: &RequestRecord) {
        let is_late = self.class_policy(record.class).is_some_and(|class| {
            record.elapsed_since(record.accepted_at) > class.latency_objective
        });
        self.metrics.count(|c| c.served += 1);
        self.metrics.count_class(record.class, |c| {
            c.served += 1;
            c.late += u32::from(is_late);
        });
    }

    fn remove_if_settled(&self, request: RequestId) {
        self.state.borrow_mut().requests.remove_if_settled(request);
    }

    /// Gives an event to the balancer and carries out the actions that it wants.
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
                let response = FinalResponse::Rejected { retry_after };
                self.give_up(state, request, response, reason);
            }
            Action::Fail { request, reason } => {
                self.give_up(state, request, FinalResponse::Failed, reason);
            }
            Action::CancelAttempt { request, attempt } => {
                let index = attempt;
                cancel_attempt(state, AttemptId { request, index });
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
        let progress: Rc<Cell<SendProgress>> = Rc::default();
        let client = record.client.clone();
        let terms = AttemptTerms {
            deadline: timeout.map_or(record.deadline, |timeout| {
                record.deadline.min(started_at + timeout)
            }),
            retry_until: self.retry_until(record),
            is_client_waiting: Box::new(move || !has_disconnected(&client)),
            progress: progress.clone(),
        };
        let identity = backend.identity();
        let backend_id = backend.id();
        let task = AttemptTask {
            id,
            backend,
            request: record.request.clone(),
            terms,
            client: self.client.clone(),
            observer: self.this.clone(),
        };
        Attempt {
            backend: backend_id,
            identity,
            started_at,
            state: AttemptState::InFlight {
                task: spawn_local(task.run()).abort_handle(),
                progress,
            },
        }
    }

    /// Until when one more attempt may be sent, if an earlier one may have executed. The balancer
    /// looks at the idempotency window when it decides; connecting takes time after that.
    fn retry_until(&self, record: &RequestRecord) -> Option<Instant> {
        let executed = record
            .attempts
            .iter()
            .find(|attempt| attempt.as_prior().may_have_executed())?;
        let window = self.idempotency(record.class).window()?;
        Some(executed.started_at + window)
    }

    /// Whether the invariants allow one more attempt of a request at a backend. The balancer keeps
    /// them by itself, except where the list has changed since it decided.
    fn is_allowed(&self, record: &RequestRecord, backend: &Backend) -> bool {
        if !backend.accepts_requests() {
            self.metrics.invariants.prevented(Invariant::Drain);
            return false;
        }
        let prior_attempts: Vec<PriorAttempt> =
            record.attempts.iter().map(Attempt::as_prior).collect();
        let allowed = send_invariants::may_retry(
            self.idempotency(record.class),
            self.hedging_allowed,
            backend.identity(),
            &prior_attempts,
        );
        if let Err(invariant) = allowed {
            self.metrics.invariants.violated(invariant);
            debug_assert!(false, "{invariant:?}: {}", printable_id(&record.id));
        }
        allowed.is_ok()
    }

    fn class_policy(&self, class: ClassId) -> Option<&ClassPolicy> {
        self.classes.get(usize::from(class.0))
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.class_policy(class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Gives a request its final response without a backend's.
    fn give_up(
        &self,
        state: &mut State,
        request: RequestId,
        response: FinalResponse,
        reason: GiveUpReason,
    ) {
        let Some(record) = state.requests.get_mut(request) else {
            return;
        };
        // A client that has disconnected is owed nothing.
        let Some(client) = record.close() else {
            return;
        };
        let kind = match response {
            FinalResponse::Rejected { .. } => GivenUpResponse::Rejected,
            FinalResponse::Served(_) | FinalResponse::Failed => GivenUpResponse::Failed,
        };
        self.metrics.count_class(record.class, |c| {
            *c.given_up.entry(reason).or_default() += 1
        });
        self.metrics.count(|c| match kind {
            GivenUpResponse::Rejected => c.rejected += 1,
            GivenUpResponse::Failed => c.failed += 1,
        });
        let _ = client.send(response);
        if self.metrics.may_log_request(reason) {
            let line = given_up_line(record, kind, reason);
            self.log(format_args!("{line}"));
        }
        self.revoke_unsent_attempts(state, request);
    }

    fn set_timer(&self, at: Time, timer: TimerId) {
        let fires_at = self.clock.instant_at(at);
        let dispatcher = self.this.clone();
        spawn_local(async move {
            tokio::time::sleep_until(fires_at).await;
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.handle_event(Event::TimerFired { timer });
            }
        });
    }

    fn send_load_probe(&self, state: &mut State, backend_id: BackendId) {
        let Some(backend) = self.backends.get(backend_id) else {
            let result = LoadProbeResult {
                backend: backend_id,
                outcome: AttemptOutcome::NotSent,
                latency: Duration::ZERO,
                load_report: None,
            };
            state.events.push_back(Event::LoadProbeEnded(result));
            return;
        };
        let (dispatcher, client) = (self.this.clone(), self.client.clone());
        let started_at = Instant::now();
        spawn_local(async move {
            let exchange = client.send_load_probe(&backend, LOAD_PROBE_TIMEOUT).await;
            let result = LoadProbeResult {
                backend: backend_id,
                outcome: exchange.outcome,
                latency: started_at.elapsed(),
                load_report: exchange.load_report,
            };
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.handle_event(Event::LoadProbeEnded(result));
            }
            if let Some(connection) = exchange.connection {
                client.pool().release(&backend, connection).await;
            }
        });
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
        self.serve(record, response);
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
            self.serve(record, response);
        }
        // A client that has disconnected is owed no retry.
        if record.is_abandoned() {
            record.close();
            self.metrics.count(|c| c.client_disconnected += 1);
        }
        let result: AttemptResult = record.attempt_result(id, end);
        if result.request_closed {
            self.revoke_unsent_attempts(&mut state, id.request);
        }
        drop(state);
        self.handle_event(Event::AttemptEnded(result));
        self.remove_if_settled(id.request);
    }
}

fn cancel_attempt(state: &mut State, id: AttemptId) {
    let Some(record) = state.requests.get_mut(id.request) else {
        return;
    };
    let Some(attempt) = record.attempts.get_mut(id.index as usize) else {
        return;
    };
    if let Some(end) = attempt.cancel() {
        let result = record.attempt_result(id, end);
        state.events.push_back(Event::AttemptEnded(result));
    }
}

/// An accepted request whose final response is outstanding. Dropping it tells the dispatcher that
/// the client has disconnected.
pub struct PendingRequest {
    dispatcher: Option<Rc<Dispatcher>>,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
}

impl PendingRequest {
    /// Its id at this node.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the final response, until `deadline` completes at the latest.
    pub async fn answer(mut self, deadline: impl Future<Output = ()>) -> FinalResponse {
        tokio::select! {
            biased;
            response = &mut self.response => response.unwrap_or(FinalResponse::Failed),
            () = deadline => FinalResponse::Failed,
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.client_disconnected(self.id);
        }
    }
}
