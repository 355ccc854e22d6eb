//! Owner of the balancer and of all that is in hand: requests, their attempts, timers.
//!
//! Tasks tell it what happened; it hands the events to the balancer one by one and turns the
//! actions into I/O. It runs on one thread and never waits, so events need no queue beyond those
//! that actions bring about at once.

use crate::clock::Clock;
use crate::discovery::wire::EndpointList;
use crate::event_log::EventLog;
use crate::http1::download::StreamOutcome;
use crate::http1::upload::RequestBody;
use crate::metrics::Metrics;
use crate::operator_state::store::OperatorState;
use crate::send_invariants::{self, BackendIdentity, Execution, Invariant, PriorAttempt};
use crate::socket::is_closed_by_peer;
use crate::upstream::backend::Backend;
use crate::upstream::backend_registry::{BackendRegistry, ListSource};
use crate::upstream::exchange::{AttemptTerms, SendProgress, UpstreamClient};
use crate::upstream::response::{Exchange, ExchangeError, ExchangeResponse, ResponseBody};
use balancer::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, ClassId, EndpointState, Event,
    GiveUpReason, Idempotency, ListUpdate, LoadProbeResult, LoadReport, RequestArrival, RequestId,
    Settings, SettingsError, TenantId,
};
use hyper::{Request, Response};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::fmt::{self, Write as _};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// Most servers of which a line of counters tells each by itself.
const SERVERS_WRITTEN: usize = 64;
/// A choice among probed servers is made within a few milliseconds: what a probe says later serves
/// none.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// A client's request in the node's own terms.
pub struct ForwardRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Expected work, if the client told.
    pub work: Option<Duration>,
    /// When the final answer is due.
    pub due: Instant,
    /// The client's name for it.
    pub id: Box<[u8]>,
    /// When its first byte came.
    pub since: Instant,
    /// Time left for it, from its last byte on.
    pub remaining: Duration,
    /// What goes on to a server.
    pub request: Request<RequestBody>,
    /// The connection that it came on: whoever has closed it waits for nothing.
    pub client: Weak<TcpStream>,
}

/// A final answer.
pub enum FinalResponse {
    /// What a server answered.
    Served(Response<ResponseBody>),
    /// Trying again is harmless, best after the wait.
    Refused(Option<Duration>),
    /// Nothing is promised.
    Failed,
}

/// A request in hand.
struct RequestRecord {
    id: Box<[u8]>,
    class: ClassId,
    tenant: TenantId,
    since: Instant,
    taken: Instant,
    request: Request<RequestBody>,
    due: Instant,
    client: Weak<TcpStream>,
    /// Taken by the one final answer, or by the client's leaving.
    reply: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Attempt>,
}

impl RequestRecord {
    /// Whether the client has left without its answer, by what the system knows at this moment.
    fn abandoned(&self) -> bool {
        self.reply.is_some() && left(&self.client)
    }
}

/// Whether a client has closed its connection, or the node has.
fn left(client: &Weak<TcpStream>) -> bool {
    client
        .upgrade()
        .is_none_or(|socket| is_closed_by_peer(&socket))
}

struct Attempt {
    server: BackendId,
    place: BackendIdentity,
    began: Instant,
    /// False once it is known that it did not run and will not.
    may_have_run: bool,
    /// How it ended, after how long, and the server's report.
    end: Option<(AttemptOutcome, Duration, Option<LoadReport>)>,
    /// None once it has ended.
    task: Option<AbortHandle>,
    /// Whether it may have reached the server.
    progress: Rc<Cell<SendProgress>>,
}

struct State {
    balancer: Balancer,
    events: VecDeque<Event>,
    ledger: FxHashMap<RequestId, RequestRecord>,
    /// The clients' names for what is in the ledger. Clients choose them, hence the hasher with a
    /// secret.
    ids: HashSet<Box<[u8]>>,
    next_request: u64,
    /// Attempts at each server since the counters were last written, and how many of them it turned
    /// away or answered with an error, or with nothing of use.
    sent: FxHashMap<BackendId, [u32; 3]>,
}

/// See the module's own words.
pub struct Dispatcher {
    /// Itself, for the tasks it starts.
    me: Weak<Dispatcher>,
    log: EventLog,
    clock: Clock,
    backends: Rc<BackendRegistry>,
    client: Rc<UpstreamClient>,
    stats: Rc<Metrics>,
    /// Asks discovery for the endpoint list. Called with the state borrowed.
    refresh_endpoint_list: Box<dyn Fn()>,
    /// Two attempts of one request may be out together.
    second_copies: bool,
    /// By class: how far its requests may be repeated.
    effects: Vec<Idempotency>,
    /// By class: within which time an answer earns its worth, the stretch for heavy requests left
    /// aside.
    aims: Vec<Duration>,
    state: RefCell<State>,
    revision: Cell<u64>,
    servers_listed: Cell<bool>,
}

impl Dispatcher {
    /// Starts with no servers and no requests.
    pub fn new(
        log: EventLog,
        settings: Settings,
        seed: u64,
        backends: Rc<BackendRegistry>,
        client: Rc<UpstreamClient>,
        refresh_endpoint_list: impl Fn() + 'static,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let second_copies = settings.hedging_allowed;
        let effects = settings.classes.iter().map(|c| c.idempotency).collect();
        let aims = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .collect();
        let state = State {
            balancer: Balancer::new(settings, seed, clock.now())?,
            events: VecDeque::new(),
            ledger: FxHashMap::default(),
            ids: HashSet::new(),
            next_request: 0,
            sent: FxHashMap::default(),
        };
        Ok(Rc::new_cyclic(|me| Dispatcher {
            me: me.clone(),
            log,
            clock,
            stats: client.metrics().clone(),
            backends,
            client,
            refresh_endpoint_list: Box::new(refresh_endpoint_list),
            second_copies,
            effects,
            aims,
            state: RefCell::new(state),
            revision: Cell::new(0),
            servers_listed: Cell::new(false),
        }))
    }

    /// A line for the node's log.
    pub fn log(&self, line: fmt::Arguments) {
        self.log.log(line);
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &settings::SettingNames {
        self.backends.names()
    }

    /// The node's counters.
    pub fn stats(&self) -> &Rc<Metrics> {
        &self.stats
    }

    /// Version of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether a list has named a server that takes requests.
    pub fn ready(&self) -> bool {
        self.servers_listed.get()
    }

    // ---- what happens ----
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

    /// Takes a client's request. The answer comes through the channel; dropping [`Taken`] is the
    /// client's leaving. None: one of that id is open or still out at a server, where a second
    /// would pass for its repeat.
    pub fn arrival(&self, incoming: ForwardRequest) -> Option<Taken> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if !state.ids.insert(incoming.id.clone()) {
            return None;
        }
        let id = RequestId(state.next_request);
        state.next_request += 1;
        self.stats.count(|c| c.requests += 1);
        self.stats.count_class(incoming.class, |c| c.requests += 1);
        let ForwardRequest {
            class,
            tenant,
            work,
            due,
            remaining,
            id: name,
            since,
            request,
            client,
        } = incoming;
        let coming = request.body().upload().is_some();
        let (taken, reply, attempts) = (Instant::now(), Some(reply), Vec::new());
        let entry = RequestRecord {
            id: name,
            class,
            tenant,
            since,
            taken,
            request,
            due,
            client,
            reply,
            attempts,
        };
        state.ledger.insert(id, entry);
        drop(state);
        self.handle_event(Event::RequestArrived(RequestArrival {
            request: id,
            class,
            tenant,
            remaining,
            work,
            body_pending: coming,
        }));
        self.settle(id);
        Some(Taken {
            engine: self.me.upgrade(),
            id,
            answer,
        })
    }

    /// The last byte of a request has come that was taken before.
    pub fn uploaded(&self, request: RequestId) {
        self.handle_event(Event::RequestBodyReceived { request });
    }

    fn client_gone(&self, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let open = state.ledger.get_mut(&request).and_then(|e| e.reply.take());
        if open.is_some() {
            self.stats.count(|c| c.client_disconnected += 1);
            self.withhold(&mut state, request);
            drop(state);
            self.handle_event(Event::ClientDisconnected { request });
            self.settle(request);
        }
    }

    /// Ends what nobody waits for any more and no server has got yet: no attempt of it that is
    /// still connecting goes out.
    fn withhold(&self, state: &mut State, request: RequestId) {
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        for (attempt, a) in (0..).zip(&mut entry.attempts) {
            let Some(task) = a
                .task
                .take_if(|_| a.progress.get() == SendProgress::NotWritten)
            else {
                continue;
            };
            // The task ends in a later turn: nothing of it may be written until then.
            a.progress.set(SendProgress::Revoked);
            task.abort();
            let (outcome, latency) = (AttemptOutcome::NotSent, a.began.elapsed());
            (a.may_have_run, a.end) = (false, Some((outcome, latency, None)));
            self.stats.count(|c| c.count_attempt_end(outcome));
            let (server, closed, report) = (a.server, true, None);
            let ended = AttemptResult {
                request,
                attempt,
                backend: server,
                outcome,
                latency,
                request_closed: closed,
                load_report: report,
            };
            state.events.push_back(Event::AttemptEnded(ended));
        }
    }

    /// The first bytes of an answer are there, and go to the client. False: nobody wants them.
    fn attempt_begun(
        &self,
        request: RequestId,
        attempt: u32,
        response: Response<ResponseBody>,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.ledger.get_mut(&request) else {
            return false;
        };
        let Some(a) = entry
            .attempts
            .get(attempt as usize)
            .filter(|a| a.task.is_some())
        else {
            return false;
        };
        let latency = since(&entry.request, a.began);
        let Some(reply) = entry.reply.take() else {
            return false;
        };
        self.stats.count(|c| c.streamed += 1);
        self.count_served(entry);
        let _ = reply.send(FinalResponse::Served(response));
        drop(state);
        self.handle_event(Event::ResponseStarted {
            request,
            attempt,
            latency,
        });
        true
    }

    /// Waits for the end of an answer that is passed on as it comes.
    async fn attempt_passing(&self, request: RequestId, attempt: u32, exchange: &mut Exchange) {
        let (response, body_end) = match exchange.response.take() {
            Some(ExchangeResponse::Streaming { response, body_end }) => (response, body_end),
            complete => {
                exchange.response = complete;
                return;
            }
        };
        let begun = self.attempt_begun(request, attempt, response);
        let ended = if begun { body_end.await.ok() } else { None };
        match ended {
            Some(StreamOutcome::Complete) => return,
            Some(StreamOutcome::Broken(problem)) => {
                exchange.outcome = AttemptOutcome::ConnectionReset;
                exchange.error = Some(ExchangeError::ResponseBody(problem));
            }
            None => exchange.outcome = AttemptOutcome::Cancelled,
        }
        exchange.connection = None;
        if begun {
            self.stats.count(|c| c.stream_aborted += 1);
        }
    }

    fn attempt_ended(&self, request: RequestId, attempt: u32, exchange: &mut Exchange) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        let Some(a) = entry.attempts.get_mut(attempt as usize) else {
            return;
        };
        if a.task.take().is_none() {
            return; // Cancelled meanwhile: its end is told already.
        }
        a.may_have_run = !exchange.outcome.never_executed();
        let (server, latency) = (a.server, since(&entry.request, a.began));
        a.end = Some((exchange.outcome, latency, exchange.load_report));
        self.stats.count(|c| c.count_attempt_end(exchange.outcome));
        let count = state.sent.entry(server).or_default();
        match exchange.outcome {
            AttemptOutcome::Rejected => count[1] += 1,
            AttemptOutcome::ServerError | AttemptOutcome::ConnectionReset => count[2] += 1,
            _ => {}
        }
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        if let Some(problem) = exchange.error.take().filter(|_| self.stats.may_log_error()) {
            let id = printable(&entry.id);
            let ms = latency.as_secs_f64() * 1e3;
            self.log(format_args!(
                "exchange_failed id={id} backend={server} attempt={attempt} ms={ms:.2} error=\"{problem}\""
            ));
        }
        if let Some(ExchangeResponse::Complete(answer)) = exchange.response.take() {
            // The first answer closes the request; a later one is the copy's and is dropped.
            if let Some(reply) = entry.reply.take() {
                self.count_served(entry);
                let _ = reply.send(FinalResponse::Served(answer));
            }
        }
        // No further attempt for a client that has left.
        if entry.abandoned() {
            entry.reply = None;
            self.stats.count(|c| c.client_disconnected += 1);
        }
        let closed = entry.reply.is_none();
        let (outcome, report) = (exchange.outcome, exchange.load_report);
        if closed {
            self.withhold(&mut state, request);
        }
        drop(state);
        self.handle_event(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            backend: server,
            outcome,
            latency,
            request_closed: closed,
            load_report: report,
        }));
        self.settle(request);
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&self, request: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let over =
            |e: &RequestRecord| e.reply.is_none() && e.attempts.iter().all(|a| a.task.is_none());
        if state.ledger.get(&request).is_some_and(over) {
            let _ = state
                .ledger
                .remove(&request)
                .is_some_and(|e| state.ids.remove(&e.id));
        }
    }

    // ---- what is to be done ----
    /// Gives an event to the balancer and carries out what it wants done.
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
                backend: server,
                timeout: limit,
            } => self.send(state, request, server, limit),
            Action::Reject {
                request,
                retry_after: wait,
                reason,
            } => {
                self.finish(state, request, FinalResponse::Refused(wait), reason);
            }
            Action::Fail { request, reason } => {
                self.finish(state, request, FinalResponse::Failed, reason)
            }
            Action::CancelAttempt { request, attempt } => Self::cancel(state, request, attempt),
            Action::SetTimer { at, timer } => {
                let (me, at) = (self.me.clone(), self.clock.instant_at(at));
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    me.upgrade()
                        .iter()
                        .for_each(|engine| engine.handle_event(Event::TimerFired { timer }));
                });
            }
            Action::SendLoadProbe { backend: server } => self.probe(state, server),
            Action::RefreshEndpointList => (self.refresh_endpoint_list)(),
            Action::Log(line) => self.log(format_args!("{line}")),
        }
    }

    fn finish(
        &self,
        state: &mut State,
        request: RequestId,
        answer: FinalResponse,
        reason: GiveUpReason,
    ) {
        // A client that has left takes no answer; nothing is owed then.
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        let Some(reply) = entry.reply.take() else {
            return;
        };
        let refused = matches!(answer, FinalResponse::Refused(_));
        self.stats
            .count_class(entry.class, |c| *c.given_up.entry(reason).or_default() += 1);
        self.stats.count(|c| {
            *(if refused {
                &mut c.rejected
            } else {
                &mut c.failed
            }) += 1;
        });
        let _ = reply.send(answer);
        if self.stats.may_log_request(reason) {
            self.log_given_up(entry, if refused { "rejected" } else { "failed" }, reason);
        }
        self.withhold(state, request);
    }

    // ---- what is logged ----
    fn count_served(&self, entry: &RequestRecord) {
        let late = self
            .aims
            .get(usize::from(entry.class.0))
            .is_some_and(|aim| since(&entry.request, entry.taken) > *aim);
        self.stats.count(|c| c.served += 1);
        self.stats.count_class(entry.class, |c| {
            c.served += 1;
            c.late += u32::from(late);
        });
    }

    /// One line on a request that ends badly, with all that became of it.
    fn log_given_up(&self, entry: &RequestRecord, answer: &str, reason: GiveUpReason) {
        let ms = |d: Duration| d.as_secs_f64() * 1e3;
        let id = printable(&entry.id);
        let mut line = format!(
            "request id={id} class={} tenant={} response={answer} \
             reason={reason:?} read_ms={:.2} age_ms={:.2} remaining_ms={:.0}",
            entry.class,
            entry.tenant,
            ms(entry.taken - entry.since),
            ms(entry.since.elapsed()),
            ms(entry.due.saturating_duration_since(Instant::now())),
        );
        for a in &entry.attempts {
            let at = ms(a.began - entry.since);
            let _ = write!(line, " attempt={}@{at:.2}", a.server);
            if let Some((outcome, latency, report)) = &a.end {
                let _ = write!(line, ":{outcome:?}:{:.2}", ms(*latency));
                let report = report.unwrap_or_default();
                let figures = [
                    ("utilization", report.utilization),
                    ("queue_depth", report.queue_depth),
                ];
                for (name, figure) in figures.iter().filter_map(|f| Some((f.0, f.1?))) {
                    let _ = write!(line, ":{name}={figure:.2}");
                }
            }
        }
        self.log(format_args!("{line}"));
    }

    /// The counters since they were last written, and what the balancer goes by.
    pub fn log_stats(&self) {
        for (reason, count) in self.stats.take_rejected_messages() {
            self.log(format_args!("rejected count={count} reason=\"{reason}\""));
        }
        let Some((c, time)) = self.stats.take() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let sent = std::mem::take(&mut state.sent);
        let view = state.balancer.snapshot(self.clock.now());
        let (clients, open) = (
            c.connections_accepted,
            self.client.pool().open_connections(),
        );
        let mut line = format!(
            "stats seconds={:.1} requests={} served={} rejected={} failed={} client_disconnected={} \
             unlogged={} in_flight={} attempts={} server_errors={} attempts_rejected={} \
             timed_out={} connect_failed={} connection_reset={} not_sent={} streamed={} \
             stream_aborted={} connections_accepted={clients} connection_close_sent={} \
             backend_connects={} backend_connections={open} in_maintenance={} shed={:.3} \
             load={:.2} latency_ms={:.1} retry_budget={:.1}",
            time.as_secs_f64(),
            c.requests,
            c.served,
            c.rejected,
            c.failed,
            c.client_disconnected,
            c.unlogged,
            state.ledger.len(),
            c.attempts,
            c.server_errors,
            c.attempts_rejected,
            c.timed_out,
            c.connect_failed,
            c.connection_reset,
            c.not_sent,
            c.streamed,
            c.stream_aborted,
            c.connection_close_sent,
            c.backend_connects,
            self.backends.in_maintenance(),
            view.shed_fraction,
            view.mean_load,
            view.typical_latency * 1e3,
            view.retry_budget,
        );
        for (name, rate) in self.names().tenants.iter().zip(&view.quota_usage) {
            let _ = write!(line, " {}={rate:.2}", name.escape_debug());
        }
        for (class, counts) in self.stats.take_classes() {
            let name = self
                .names()
                .classes
                .get(usize::from(class.0))
                .map_or("", String::as_str);
            let (asked, served, late) = (counts.requests, counts.served, counts.late);
            let _ = write!(
                line,
                " class={}:requests={asked},served={served},late={late}",
                name.escape_debug()
            );
            for (reason, count) in &counts.given_up {
                let _ = write!(line, ",{reason:?}={count}");
            }
        }
        // Those that it deals with, the busiest first, and no more than a line bears: there may be
        // a thousand.
        let mut dealt: Vec<_> = view
            .backends
            .iter()
            .map(|s| (sent.get(&s.backend).copied(), s))
            .collect();
        dealt.retain(|(sent, s)| sent.is_some() || s.in_flight > 0 || s.share > 0.0);
        dealt.sort_by_key(|(sent, s)| (std::cmp::Reverse(sent.unwrap_or_default()[0]), s.backend));
        let unwritten = view.backends.len() - dealt.len().min(SERVERS_WRITTEN);
        let _ = write!(
            line,
            " backends={} omitted={unwritten}",
            view.backends.len()
        );
        for (sent, s) in dealt.into_iter().take(SERVERS_WRITTEN) {
            let load = s.load.unwrap_or(f64::NAN);
            let [sent, full, bad] = sent.unwrap_or_default();
            let (util, queue) = (
                s.load_report.utilization.unwrap_or(f64::NAN),
                s.load_report.queue_depth.unwrap_or(f64::NAN),
            );
            let _ = write!(
                line,
                " {}:weight={:.2},price={:.2},load={load:.2},utilization={util:.2},\
                 queue_depth={queue:.2},available_capacity={:.2},speed={:.2},share={:.2},\
                 in_flight={},attempts={sent},rejected={full},errors={bad}",
                s.backend, s.weight, s.price, s.available_capacity, s.speed, s.share, s.in_flight
            );
        }
        drop(state);
        let _ = self.stats.invariants.write_to(&mut line);
        self.log(format_args!("{line}"));
    }

    fn send(
        &self,
        state: &mut State,
        request: RequestId,
        server: BackendId,
        limit: Option<Duration>,
    ) {
        let began = Instant::now();
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        let attempt = entry.attempts.len() as u32;
        let backend = self.backends.get(server).filter(|_| entry.reply.is_some());
        let backend = backend.filter(|backend| self.may_send(entry, backend));
        let Some(backend) = backend else {
            let (outcome, latency, closed) = (
                AttemptOutcome::NotSent,
                Duration::ZERO,
                entry.reply.is_none(),
            );
            let end = Some((outcome, latency, None));
            self.stats.count(|c| c.count_attempt_end(outcome));
            let (task, progress, place) = (None, Rc::default(), BackendIdentity::default());
            let may_have_run = false;
            entry.attempts.push(Attempt {
                server,
                place,
                began,
                may_have_run,
                end,
                task,
                progress,
            });
            let report = None;
            let ended = AttemptResult {
                request,
                attempt,
                backend: server,
                outcome,
                latency,
                request_closed: closed,
                load_report: report,
            };
            return state.events.push_back(Event::AttemptEnded(ended));
        };
        let until = limit.map_or(entry.due, |limit| entry.due.min(began + limit));
        // The balancer looks at the window when it decides; connecting takes time after that, in
        // which the client may leave.
        let risky = entry.attempts.iter().find(|a| a.may_have_run);
        let repeat_by = risky.and_then(|a| Some(a.began + self.effect(entry.class).window()?));
        let client = entry.client.clone();
        let progress: Rc<Cell<SendProgress>> = Rc::default();
        let terms = AttemptTerms {
            deadline: until,
            retry_until: repeat_by,
            is_client_waiting: Box::new(move || !left(&client)),
            progress: progress.clone(),
        };
        let outgoing = entry.request.clone();
        let (me, upstream) = (self.me.clone(), self.client.clone());
        let place = backend.identity();
        let task = spawn_local(async move {
            let mut exchange = upstream.send_attempt(&backend, outgoing, terms).await;
            if let Some(engine) = me.upgrade() {
                engine
                    .attempt_passing(request, attempt, &mut exchange)
                    .await;
            }
            let connection = exchange.connection.take();
            me.upgrade()
                .iter()
                .for_each(|e| e.attempt_ended(request, attempt, &mut exchange));
            if let Some(connection) = connection {
                upstream.pool().release(&backend, connection).await;
            }
        });
        self.stats.count(|c| c.attempts += 1);
        state.sent.entry(server).or_default()[0] += 1;
        let task = Some(task.abort_handle());
        let (may_have_run, end) = (true, None);
        entry.attempts.push(Attempt {
            server,
            place,
            began,
            may_have_run,
            end,
            task,
            progress,
        });
    }

    /// Whether the rules allow one more attempt of a request at a server. The balancer keeps them
    /// by itself: that it asks for what they forbid is a fault of its own, except where the list
    /// has changed since.
    fn may_send(&self, entry: &RequestRecord, backend: &Backend) -> bool {
        if !backend.accepts_requests() {
            self.stats.invariants.prevented(Invariant::Drain);
            return false;
        }
        let earlier: Vec<PriorAttempt> = entry
            .attempts
            .iter()
            .map(|attempt| PriorAttempt {
                backend: attempt.place,
                execution: match (&attempt.task, attempt.may_have_run) {
                    (Some(_), _) => Execution::InFlight,
                    (None, true) => Execution::Possible,
                    (None, false) => Execution::Never,
                },
            })
            .collect();
        let effect = self.effect(entry.class);
        let allowed =
            send_invariants::may_retry(effect, self.second_copies, backend.identity(), &earlier);
        if let Err(rule) = allowed {
            self.stats.invariants.violated(rule);
            debug_assert!(false, "{rule:?}: {}", printable(&entry.id));
        }
        allowed.is_ok()
    }

    /// How far a class of requests may be repeated.
    fn effect(&self, class: ClassId) -> Idempotency {
        self.effects
            .get(usize::from(class.0))
            .copied()
            .unwrap_or(Idempotency::NonIdempotent)
    }

    /// How many requests have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.state
            .borrow()
            .ledger
            .values()
            .filter(|entry| entry.reply.is_some())
            .count()
    }

    fn cancel(state: &mut State, request: RequestId, attempt: u32) {
        let Some(entry) = state.ledger.get_mut(&request) else {
            return;
        };
        let Some(a) = entry.attempts.get_mut(attempt as usize) else {
            return;
        };
        let Some(task) = a.task.take() else { return };
        a.end = Some((AttemptOutcome::Cancelled, a.began.elapsed(), None));
        task.abort(); // Its connection goes with it.
        let (server, latency, closed) = (a.server, a.began.elapsed(), entry.reply.is_none());
        let outcome = AttemptOutcome::Cancelled;
        let ended = AttemptResult {
            request,
            attempt,
            backend: server,
            outcome,
            latency,
            request_closed: closed,
            load_report: None,
        };
        state.events.push_back(Event::AttemptEnded(ended));
    }

    fn probe(&self, state: &mut State, server: BackendId) {
        let Some(backend) = self.backends.get(server) else {
            let (outcome, latency, report) = (AttemptOutcome::NotSent, Duration::ZERO, None);
            return state
                .events
                .push_back(Event::LoadProbeEnded(LoadProbeResult {
                    backend: server,
                    outcome,
                    latency,
                    load_report: report,
                }));
        };
        let (me, upstream, began) = (self.me.clone(), self.client.clone(), Instant::now());
        spawn_local(async move {
            let exchange = upstream.send_load_probe(&backend, PROBE_TIMEOUT).await;
            let (outcome, latency, report) =
                (exchange.outcome, began.elapsed(), exchange.load_report);
            let probed = LoadProbeResult {
                backend: server,
                outcome,
                latency,
                load_report: report,
            };
            me.upgrade()
                .iter()
                .for_each(|e| e.handle_event(Event::LoadProbeEnded(probed)));
            if let Some(connection) = exchange.connection {
                upstream.pool().release(&backend, connection).await;
            }
        });
    }
}

/// An attempt's time, which runs from the last byte of its request.
fn since(request: &Request<RequestBody>, began: Instant) -> Duration {
    let whole = request.body().upload().and_then(|upload| upload.ended_at());
    whole.map_or(began, |at| began.max(at)).elapsed()
}

/// A client's name for a request, cut and made harmless: anyone may have chosen it.
fn printable(id: &[u8]) -> impl fmt::Display + '_ {
    id[..id.len().min(64)].escape_ascii()
}

/// A request that the engine has taken.
pub struct Taken {
    engine: Option<Rc<Dispatcher>>,
    id: RequestId,
    answer: oneshot::Receiver<FinalResponse>,
}

impl Taken {
    /// Its name for the engine.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The final answer, when `due` is over at the latest whatever the balancer does.
    pub async fn answer(mut self, due: impl Future<Output = ()>) -> FinalResponse {
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(FinalResponse::Failed),
            () = due => FinalResponse::Failed,
        }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        // The client left, or its time ran out: if no answer was given, nothing is owed any more.
        self.engine
            .iter()
            .for_each(|engine| engine.client_gone(self.id));
    }
}
