//! The servers' side: their addresses and states, connections to them, and what is sent over these.

use crate::discovery::wire::{EndpointList, EndpointPhase, ListedEndpoint};
use crate::http1::body::{buffer_body, BufferedPart};
use crate::http1::download::{StreamOutcome, StreamingResponse};
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_response_head, Expected, Head};
use crate::http1::head_filter::{HeadFilter, MessagePolicy};
use crate::http1::limits::MAX_BUFFERED_BODY_BYTES;
use crate::http1::upload::{RequestBody, RequestBodyStream};
use crate::metrics::Metrics;
use crate::operator_state::store::OperatorState;
use crate::resizable_semaphore::ResizableSemaphore;
use crate::send_invariants::{self, AttemptFacts, BackendIdentity, Invariant};
use crate::socket::is_open_and_drained;
use crate::start_times::StartTimes;
use crate::transient_errors;
use balancer::{
    AttemptOutcome, BackendId, Endpoint, EndpointState, LoadReport, MachineTypeId, Time, ZoneId,
};
use bytes::{Bytes, BytesMut};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use settings::{LoadReportField, SettingNames};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection is idle again once its answer is read; one that takes longer has something wrong
/// with it.
const SETTLE: Duration = Duration::from_millis(5);
/// Before it is used again a connection has to be quiet for so long: bytes behind an answer, on
/// their way when it was given back, would pass for the answer to the next request.
const QUARANTINE: Duration = Duration::from_millis(5);

/// An answer of unknown length is held for so long in the hope that it is small. What is large is
/// timed by its first bytes.
const HELD_FOR: Duration = Duration::from_millis(50);
/// Milliseconds between the tries of a connection for which the node itself has no descriptor, port
/// or buffer.
const SHORTAGE_PAUSES_MS: [u64; 6] = [1, 2, 4, 8, 16, 32];
/// Most that waits to be written on one connection, beside one read's worth.
pub const MOST_BUFFERED: usize = 32 << 10;

/// One server, as long as the list names it or something is out there.
pub struct Backend {
    /// Its id at this node.
    pub id: BackendId,
    name: String,
    address: Cell<SocketAddr>,
    /// By the list ...
    listed: Cell<EndpointState>,
    /// ... and by the operators' word on top of that.
    state: Cell<EndpointState>,
    started: Cell<Option<Time>>,
    weight: Cell<f64>,
    /// Grows whenever the connections made so far are of no more use.
    generation: Cell<u64>,
    /// The most recently used one is last.
    idle: RefCell<Vec<Idle>>,
    place: Cell<(ZoneId, MachineTypeId, u16)>,
}

impl Backend {
    /// Where it stands.
    pub fn place(&self) -> BackendIdentity {
        let (zone, _, cell) = self.place.get();
        BackendIdentity {
            zone,
            cell: balancer::CellId(cell),
        }
    }

    /// Whether anything new may go there.
    pub fn takes_new(&self) -> bool {
        self.state.get() == EndpointState::Active
    }

    fn entry(&self) -> Endpoint {
        let (zone, kind, cell) = self.place.get();
        Endpoint {
            backend: self.id,
            zone,
            machine_type: kind,
            cell: balancer::CellId(cell),
            state: self.state.get(),
            weight: self.weight.get(),
            started_at: self.started.get(),
        }
    }

    fn abandon_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// One connection to a server; dropping it closes it.
pub struct Connection {
    sender: http1::SendRequest<RequestBodyStream>,
    driver: AbortHandle,
    /// Not a hold on it: it is closed with its driver, also while the connection is idle.
    socket: Weak<TcpStream>,
    /// More than the answer came with it.
    more: Rc<Cell<bool>>,
    permit: Rc<WritePermit>,
    generation: u64,
}

impl Connection {
    /// Whether the server has closed it or sent what nobody asked for, as far as the system knows
    /// by now.
    fn good(&self) -> bool {
        !self.more.get()
            && self.sender.is_ready()
            && self
                .socket
                .upgrade()
                .is_some_and(|socket| is_open_and_drained(&socket))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Asked right before the first byte of a request is written.
type WriteCheck = Box<dyn Fn() -> Result<(), Invariant>>;

/// Whether the request that is to be written next may be.
#[derive(Default)]
struct WritePermit {
    check: RefCell<Option<WriteCheck>>,
    refused: Cell<bool>,
}

/// Reads the heads of answers. What is no good ends the connection, and with it the attempt.
struct ResponsePolicy {
    more: Rc<Cell<bool>>,
    permit: Rc<WritePermit>,
}

impl MessagePolicy for ResponsePolicy {
    const BETWEEN_MESSAGES: Expected = Expected::Nothing;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        parse_response_head(bytes)
    }

    fn reject(&self, error: MessageError) -> std::io::Result<&'static [u8]> {
        Err(std::io::Error::new(std::io::ErrorKind::InvalidData, error))
    }

    fn bytes_follow_message(&self) {
        self.more.set(true);
    }

    fn may_write(&self) -> std::io::Result<()> {
        match self.permit.check.take().map_or(Ok(()), |check| check()) {
            Ok(()) => Ok(()),
            Err(rule) => {
                self.permit.refused.set(true);
                Err(std::io::Error::other(format!("held back: {rule:?}")))
            }
        }
    }
}

/// The body of an answer.
pub enum ResponseBody {
    /// All of it is here.
    Whole(Bytes),
    /// More of it is to come.
    StreamingResponse(StreamingResponse),
}

/// What a server's answer comes to.
pub struct Exchange {
    /// How the attempt or probe ended.
    pub outcome: AttemptOutcome,
    /// The load report that came along.
    pub report: Option<LoadReport>,
    /// The answer to pass on, of one that was served.
    pub answer: Option<Response<ResponseBody>>,
    /// Tells how an answer ends that is still to come.
    pub passing: Option<oneshot::Receiver<StreamOutcome>>,
    /// The connection, if it is good for another request.
    pub connection: Option<Connection>,
    /// What was wrong with the connection or the answer, where that is known.
    pub problem: Option<String>,
}

impl Exchange {
    fn failed(outcome: AttemptOutcome) -> Self {
        Exchange {
            outcome,
            report: None,
            answer: None,
            passing: None,
            connection: None,
            problem: None,
        }
    }

    fn broken(error: &dyn Error) -> Self {
        let source = error.source().map(|s| format!(": {s}")).unwrap_or_default();
        Exchange {
            problem: Some(format!("{error}{source}")),
            ..Exchange::failed(AttemptOutcome::ConnectionReset)
        }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of it was written.
    #[default]
    Waiting,
    /// It may have reached its server.
    Written,
    /// Nothing of it was written, and nothing may be: it counts as never sent.
    Revoked,
}

/// On what an attempt may begin.
pub struct AttemptTerms {
    /// Whether its client waits for the answer still, at any moment.
    pub client_waits: Box<dyn Fn() -> bool>,
    /// Until when it may be repeated, if it is a repeat that is so limited.
    pub repeat_by: Option<Instant>,
}

/// The limits on connections to servers.
pub struct Limits {
    /// Most connections to all servers together.
    pub connections: usize,
    /// For a connection to come up.
    pub connect_timeout: Duration,
    /// After this a server closes an idle connection.
    pub conn_idle: Duration,
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The process's configuration, as it was held before the start.
    Configuration,
    /// Discovery itself.
    Discovery,
}

/// All servers and the connections to them.
pub struct BackendRegistry {
    limits: Limits,
    names: SettingNames,
    fields: Vec<LoadReportField>,
    slots: ResizableSemaphore,
    by_name: RefCell<FxHashMap<String, Rc<Backend>>>,
    by_id: RefCell<FxHashMap<BackendId, Rc<Backend>>>,
    next_id: Cell<u32>,
    /// When servers started.
    starts: RefCell<StartTimes>,
    /// What operators have said of backends. It outlives what lists say of them.
    word: RefCell<OperatorState>,
    stats: Rc<Metrics>,
}

/// Names the header of a load report.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Marks an answer that proves that the request was not run.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

impl BackendRegistry {
    /// Starts with no servers.
    pub fn new(limits: Limits, names: SettingNames, fields: Vec<LoadReportField>) -> Self {
        BackendRegistry {
            slots: ResizableSemaphore::new(limits.connections),
            limits,
            names,
            fields,
            by_name: RefCell::default(),
            by_id: RefCell::default(),
            next_id: Cell::new(0),
            starts: RefCell::default(),
            word: RefCell::default(),
            stats: Rc::new(Metrics::new()),
        }
    }

    /// The server with this id, if it is listed.
    pub fn get(&self, id: BackendId) -> Option<Rc<Backend>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// The node's counters.
    pub fn stats(&self) -> Rc<Metrics> {
        self.stats.clone()
    }

    /// Connections open, or about to be.
    pub fn connections(&self) -> usize {
        self.slots.in_use()
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &SettingNames {
        &self.names
    }

    // ---- the list ----
    /// Brings the servers in line with a list and puts it in the balancer's terms.
    pub fn apply_endpoint_list(
        &self,
        now: Time,
        list: &EndpointList,
        source: Source,
    ) -> Vec<Endpoint> {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut starts = self.starts.borrow_mut();
        starts.observe_timestamps(
            now,
            list.endpoints.iter().map(ListedEndpoint::start_timestamp),
        );
        let mut by_name = self.by_name.borrow_mut();
        let mut by_id = self.by_id.borrow_mut();
        let word = self.word.borrow();
        if list.is_snapshot {
            let named: rustc_hash::FxHashSet<&str> =
                list.endpoints.iter().map(|m| m.name.as_str()).collect();
            by_name.retain(|name, server| {
                let stays = named.contains(name.as_str());
                if !stays {
                    server.state.set(EndpointState::Removed);
                    server.abandon_connections();
                    by_id.remove(&server.id);
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for member in &list.endpoints {
            let listed = match member.phase {
                EndpointPhase::Active => EndpointState::Active,
                EndpointPhase::Draining => EndpointState::Draining,
                EndpointPhase::Removed => EndpointState::Removed,
            };
            let started = starts.start_of(now, wall, &member.name, member.start_timestamp());
            let state = state(&word, &member.name, listed);
            let server = match (by_name.get(&member.name), member.address) {
                (Some(server), _) => server.clone(),
                (None, Some(address)) if state != EndpointState::Removed => {
                    let id = BackendId(self.next_id.get());
                    self.next_id.set(id.0.wrapping_add(1));
                    let server = Rc::new(Backend {
                        id,
                        name: member.name.clone(),
                        address: Cell::new(address),
                        listed: Cell::new(listed),
                        state: Cell::new(state),
                        started: Cell::new(started),
                        weight: Cell::new(member.weight),
                        generation: Cell::new(0),
                        idle: RefCell::default(),
                        place: Cell::default(),
                    });
                    by_name.insert(server.name.clone(), server.clone());
                    by_id.insert(id, server.clone());
                    server
                }
                _ => continue,
            };
            server.listed.set(listed);
            server.state.set(state);
            server.weight.set(member.weight);
            if state == EndpointState::Removed {
                server.abandon_connections();
                by_name.remove(&member.name);
                by_id.remove(&server.id);
            } else {
                server.place.set((
                    ZoneId(position(&self.names.zones, &member.zone)),
                    MachineTypeId(position(&self.names.machine_types, &member.machine_type)),
                    member.cell,
                ));
                let moved = member
                    .address
                    .is_some_and(|a| server.address.replace(a) != a);
                // What was connected to the process before this one is dead, whether or not it says
                // so.
                let restarted = server.started.replace(started) != started;
                // And what nothing new may go over is only in the way of others.
                if restarted || moved || state == EndpointState::Draining {
                    server.abandon_connections();
                }
            }
            entries.push(server.entry());
        }
        if source == Source::Discovery {
            starts.list_applied(by_name.len(), |name| by_name.contains_key(name));
        }
        entries
    }

    // ---- maintenance ----
    /// Goes by what operators have said, from now on and whatever lists say. Returns what changes
    /// for the balancer.
    pub fn apply_operator_state(&self, now: Time, word: &OperatorState) -> Vec<Endpoint> {
        *self.word.borrow_mut() = word.clone();
        let mut starts = self.starts.borrow_mut();
        starts.observe_returned(now, word.returned_from_maintenance.iter());
        let mut changed = Vec::new();
        for server in self.by_id.borrow().values() {
            let (before, since) = (server.state.get(), server.started.get());
            let state = state(word, &server.name, server.listed.get());
            let started = since.max(starts.returned_at(&server.name));
            if (state, started) == (before, since) {
                continue;
            }
            server.state.set(state);
            server.started.set(started);
            server.abandon_connections();
            changed.push(server.entry());
        }
        changed.sort_unstable_by_key(|e| e.backend);
        changed
    }

    /// Whether a list names this backend.
    pub fn knows(&self, name: &str) -> bool {
        self.by_name.borrow().contains_key(name)
    }

    /// Whether a server that operators have put back into use is warm again, as far as this process
    /// knows.
    pub fn warmed_up(&self, now: Time, name: &str, warm_up: Duration) -> bool {
        self.starts
            .borrow()
            .returned_at(name)
            .is_some_and(|heard| now - heard >= warm_up)
    }

    /// How many backends are left out.
    pub fn left_out(&self) -> usize {
        self.word.borrow().in_maintenance.len()
    }

    // ---- connections ----
    /// The most recently used idle connection that has been quiet since, or a new one.
    async fn acquire(&self, server: &Backend) -> Result<Connection, AttemptOutcome> {
        while let Some(connection) = self.take_idle(server) {
            if connection.good() {
                return Ok(connection);
            }
        }
        let permit = self.slot().await.ok_or(AttemptOutcome::NotSent)?;
        let generation = server.generation.get();
        self.stats.count(|c| c.backend_connects += 1);
        let connect = connect_despite_shortage(server.address.get());
        let stream = match timeout(self.limits.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            // The node's own shortage says nothing of the server.
            Ok(Err(error)) if transient_errors::is_shortage(&error) => {
                return Err(AttemptOutcome::NotSent)
            }
            _ => return Err(AttemptOutcome::ConnectFailed),
        };
        // Word may have come meanwhile that the server moved or restarted: what answers at the
        // address that it had is another's, or gone.
        if generation != server.generation.get() {
            self.stats.invariants.prevented(Invariant::Drain);
            return Err(AttemptOutcome::NotSent);
        }
        let _ = stream.set_nodelay(true);
        let (stream, more) = (Rc::new(stream), Rc::new(Cell::new(false)));
        let write_permit: Rc<WritePermit> = Rc::default();
        let socket = Rc::downgrade(&stream);
        let gate = HeadFilter::new(
            stream,
            ResponsePolicy {
                more: more.clone(),
                permit: write_permit.clone(),
            },
        );
        let made = http1::Builder::new()
            .max_buf_size(MOST_BUFFERED)
            .handshake(TokioIo::new(gate))
            .await;
        let (sender, connection) = made.map_err(|_| AttemptOutcome::ConnectFailed)?;
        let driver = tokio::task::spawn_local(drive(connection, permit)).abort_handle();
        Ok(Connection {
            sender,
            driver,
            socket,
            more,
            permit: write_permit,
            generation,
        })
    }

    fn take_idle(&self, server: &Backend) -> Option<Connection> {
        let mut idle = server.idle.borrow_mut();
        let rested = QUARANTINE..self.retire_after();
        let at = idle
            .iter()
            .rposition(|i| rested.contains(&i.since.elapsed()))?;
        Some(idle.remove(at).connection)
    }

    /// Well before the server closes it: a request that crosses the closing may be lost.
    fn retire_after(&self) -> Duration {
        self.limits.conn_idle * 3 / 4
    }

    /// Room for one more connection, made if need be by closing the one that has been idle the
    /// longest.
    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        self.close_longest_idle();
        // The slot comes free once the driver of that connection has been dropped, in its next
        // turn.
        tokio::task::yield_now().await;
        self.slots.try_acquire()
    }

    /// From now on there may be so many connections. Idle ones beyond that are closed at once,
    /// others once they end.
    pub fn resize(&self, connections: usize) {
        let beyond = self.slots.in_use().saturating_sub(connections);
        self.slots.resize(connections);
        (0..beyond).for_each(|_| self.close_longest_idle());
    }

    fn close_longest_idle(&self) {
        let by_id = self.by_id.borrow();
        let idle = |s: &Rc<Backend>| s.idle.borrow().first().map(|i| i.since);
        if let Some((_, server)) = by_id
            .values()
            .filter_map(|s| Some((idle(s)?, s)))
            .min_by_key(|s| s.0)
        {
            server.idle.borrow_mut().remove(0);
        }
    }

    /// Takes back a connection after its answer has been read.
    pub async fn release(&self, server: &Backend, mut connection: Connection) {
        let settled = matches!(timeout(SETTLE, connection.sender.ready()).await, Ok(Ok(())));
        if settled
            && connection.good()
            && connection.generation == server.generation.get()
            && server.takes_new()
        {
            server.idle.borrow_mut().push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Closes connections that have been idle for long, for good.
    pub async fn retire_idle(&self) {
        let mut every =
            tokio::time::interval((self.retire_after() / 8).max(Duration::from_millis(250)));
        loop {
            every.tick().await;
            for server in self.by_id.borrow().values() {
                server
                    .idle
                    .borrow_mut()
                    .retain(|i| i.since.elapsed() < self.retire_after());
            }
        }
    }

    // ---- attempts and probes ----
    /// Sends one request, if the rules allow it right before its first byte goes, and reads its
    /// answer, until `until` at the latest. Never sends it again. `progress` tells whether its
    /// first byte has gone.
    pub async fn attempt(
        &self,
        server: &Rc<Backend>,
        request: Request<RequestBody>,
        until: Instant,
        terms: AttemptTerms,
        progress: Rc<Cell<Progress>>,
    ) -> Exchange {
        let (head, body) = request.into_parts();
        // What can't be sent again isn't.
        let Some(sending) = body.new_stream() else {
            return Exchange::failed(AttemptOutcome::NotSent);
        };
        let limit = until.saturating_duration_since(Instant::now());
        let mut request = Request::from_parts(head, sending);
        let time_runs = body.upload().is_none();
        let exchange = async {
            let connection = match self.acquire(server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::failed(outcome),
            };
            let reckoned = Instant::now();
            let generation = connection.generation;
            let (to, stats, asked) = (server.clone(), self.stats.clone(), progress.clone());
            let check = move |told: Option<Instant>| {
                let facts = AttemptFacts {
                    backend_accepts: to.takes_new() && to.generation.get() == generation,
                    client_waiting: asked.get() != Progress::Revoked && (terms.client_waits)(),
                    deadline: time_runs.then_some(until),
                    timeout_computed_at: told.filter(|_| time_runs),
                    retry_until: terms.repeat_by,
                };
                send_invariants::may_send(Instant::now(), &facts)
                    .inspect_err(|rule| stats.invariants.prevented(*rule))
            };
            // Connecting took time, in which anything may have changed; and some more passes before
            // the writing.
            if check(None).is_err() {
                self.release(server, connection).await;
                return Exchange::failed(AttemptOutcome::NotSent);
            }
            let left = until.saturating_duration_since(reckoned);
            let left = HeaderValue::from_str(&format!("{}u", left.as_micros()));
            request
                .headers_mut()
                .insert("x-timeout", left.expect("digits are valid in a header"));
            let begun = progress.clone();
            let at_the_write =
                move || check(Some(reckoned)).inspect(|()| begun.set(Progress::Written));
            *connection.permit.check.borrow_mut() = Some(Box::new(at_the_write));
            self.exchange(connection, request, true).await
        };
        let Some(upload) = body.upload() else {
            return match timeout_at(until, exchange).await {
                Ok(exchange) => exchange,
                Err(_) if progress.get() == Progress::Written => {
                    Exchange::failed(AttemptOutcome::TimedOut)
                }
                // It was still connecting: nothing of it can have run.
                Err(_) => Exchange::failed(AttemptOutcome::ConnectFailed),
            };
        };
        // A server begins with a request's last byte: so does its time.
        let over = async {
            upload.ended().await;
            tokio::time::sleep(limit).await;
        };
        let exchange = tokio::select! {
            biased;
            exchange = exchange => exchange,
            () = over => Exchange::failed(AttemptOutcome::TimedOut),
            () = upload.stalled() => Exchange::failed(AttemptOutcome::ConnectionReset),
        };
        match exchange.outcome {
            // Where the last byte was not written, nothing has run; and if that is the client's
            // doing, it says nothing of the server.
            AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut
                if upload.error().is_some() =>
            {
                Exchange::failed(AttemptOutcome::NotSent)
            }
            AttemptOutcome::ConnectionReset if !upload.is_complete() => Exchange {
                outcome: AttemptOutcome::ConnectFailed,
                ..exchange
            },
            _ => exchange,
        }
    }

    /// Asks a server for its load.
    pub async fn probe(&self, server: &Backend, limit: Duration) -> Exchange {
        let exchange = async {
            let connection = match self.acquire(server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::failed(outcome),
            };
            let request = Request::get("/stats").header("host", server.address.get().to_string());
            let request = request
                .body(RequestBodyStream::default())
                .expect("a fixed path and an address are valid");
            self.exchange(connection, request, false).await
        };
        timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Exchange::failed(AttemptOutcome::TimedOut))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<RequestBodyStream>,
        attempt: bool,
    ) -> Exchange {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // Nothing of it was written: that was not allowed any more.
            Err(_) if connection.permit.refused.get() => {
                return Exchange::failed(AttemptOutcome::NotSent)
            }
            // Handed back unsent. Anything else may have reached the server, and may have run
            // there.
            Err(error) if error.message().is_some() => {
                return Exchange::failed(AttemptOutcome::ConnectFailed)
            }
            Err(error) => return Exchange::broken(error.error()),
        };
        let (head, mut body) = response.into_parts();
        let outcome = outcome(head.status, &head.headers);
        let served = outcome == AttemptOutcome::Success;
        let mut held = BytesMut::new();
        let large = body
            .size_hint()
            .exact()
            .map(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
        let whole = if let Some(true) = large {
            false
        } else {
            let holding = buffer_body(&mut held, &mut body);
            // Who waits for it to be whole could wait for as long as a trickle lasts.
            let held = match large {
                None if served => timeout(HELD_FOR, holding)
                    .await
                    .unwrap_or(Ok(BufferedPart::Incomplete)),
                _ => holding.await,
            };
            match held {
                Ok(part) => part == BufferedPart::Complete,
                Err(error) => return Exchange::broken(&error),
            }
        };
        let (held, mut passing, mut connection) = (held.freeze(), None, Some(connection));
        let body = match whole {
            true => ResponseBody::Whole(held.clone()),
            false if served && attempt => {
                let (body, ended) = StreamingResponse::new(held.clone(), body);
                passing = Some(ended);
                ResponseBody::StreamingResponse(body)
            }
            // Nobody wants the rest.
            false => {
                connection = None;
                ResponseBody::Whole(Bytes::new())
            }
        };
        let report = match attempt {
            true => head
                .headers
                .get(LOAD)
                .and_then(|v| self.load_report(v.as_bytes())),
            false if served => self.load_report(&held),
            false => None,
        };
        let answer = (attempt && served).then(|| Response::from_parts(head, body));
        Exchange {
            outcome,
            report,
            answer,
            passing,
            connection,
            problem: None,
        }
    }

    /// Reads a load report by the names of its fields; without any of them it is none.
    fn load_report(&self, text: &[u8]) -> Option<LoadReport> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let report = ReportReader(self).deserialize(&mut reader).ok()?;
        reader.end().ok()?;
        (report != LoadReport::default()).then_some(report)
    }
}

/// Reads a load report field by field, with no map in between: one comes with every probe.
struct ReportReader<'a>(&'a BackendRegistry);

impl<'de> DeserializeSeed<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<LoadReport, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReportReader<'_> {
    type Value = LoadReport;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a load report")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut values: A) -> Result<LoadReport, A::Error> {
        let mut report = LoadReport::default();
        while let Some(name) = values.next_key::<Cow<str>>()? {
            match self
                .0
                .names
                .load_report_fields
                .iter()
                .position(|f| *f == name)
                .and_then(|at| self.0.fields.get(at))
            {
                Some(field) => field.set(&mut report, values.next_value()?),
                None => drop(values.next_value::<IgnoredAny>()?),
            }
        }
        Ok(report)
    }
}

/// What an answer says of the request.
fn outcome(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    let not_run = || {
        headers
            .get(NOT_PROCESSED)
            .is_some_and(|v| v.as_bytes() == b"1")
    };
    match status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => {
            AttemptOutcome::Rejected
        }
        // A 503 without the mark proves nothing.
        _ => AttemptOutcome::ServerError,
    }
}

type Driver = http1::Connection<TokioIo<HeadFilter<ResponsePolicy>>, RequestBodyStream>;

async fn drive(connection: Driver, permit: OwnedSemaphorePermit) {
    let _ = connection.await;
    drop(permit);
}

/// Connects, and tries a few times more where the node itself is short of something for a moment.
async fn connect_despite_shortage(address: SocketAddr) -> std::io::Result<TcpStream> {
    for pause in SHORTAGE_PAUSES_MS.map(Duration::from_millis) {
        match TcpStream::connect(address).await {
            Err(error) if transient_errors::is_shortage(&error) => tokio::time::sleep(pause).await,
            result => return result,
        }
    }
    TcpStream::connect(address).await
}

/// A server's state by a list, under what operators have said of it.
fn state(word: &OperatorState, name: &str, listed: EndpointState) -> EndpointState {
    match listed {
        EndpointState::Active if word.in_maintenance.contains(name) => EndpointState::Draining,
        listed => listed,
    }
}

/// Position of a name among those that the settings give; names they don't give share one of their
/// own.
fn position(names: &[String], name: &str) -> u8 {
    names
        .iter()
        .position(|n| n == name)
        .and_then(|at| u8::try_from(at).ok())
        .unwrap_or(u8::MAX)
}
