//! The clients' side: takes connections and requests, checks them, and writes the final answers.

use crate::downstream::request_head::{RequestError, RequestHead, MAX_TIMEOUT};
use crate::http1::body::{buffer_body, BodyError, BufferedPart};
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_request_head, Expected, Head};
use crate::http1::head_filter::{HeadFilter, MessagePolicy};
use crate::http1::hop_by_hop::end_to_end_headers;
use crate::http1::limits::{MAX_BODY_BYTES, STALL_TIMEOUT};
use crate::http1::upload::{RequestBody, Upload};
use crate::metrics::Metrics;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::request::{FinalResponse, ForwardRequest};
use crate::resizable_semaphore::ResizableSemaphore;
use crate::send_invariants::{self, Invariant};
use crate::shutdown::ShutdownPhase;
use crate::socket::{is_closed_by_peer, is_open_and_drained};
use crate::transient_errors;
use crate::upstream::response::ResponseBody;
use crate::upstream::MAX_WRITE_BUFFER;
use balancer::Idempotency;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Frame, Incoming as Body, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// Kept back from the client's time, for what lies between its send and the head's arrival here and
/// for the answer's way back: at most this ...
const MARGIN: Duration = Duration::from_millis(20);
/// ... and at most this part of the time.
const MARGIN_PART: u32 = 8;
/// The part of the margin that an answer which the balancer owes may take.
const OVERDUE: u32 = 4;
/// A connection may wait this long for its first request, and a head may take as long; for the
/// first one both count from the connecting. A client that sends nothing useful is owed a word or a
/// close within 3 s of it.
const FIRST: Duration = Duration::from_millis(2600);
/// The same for a request with a body that is held, but for the time that the body takes at the
/// least rate: bytes a second.
const WHOLE: Duration = Duration::from_millis(2800);
const LEAST_RATE: f64 = (32 << 10) as f64;
/// A connection may wait this long for its next request ...
const IDLE: Duration = Duration::from_secs(5);
/// ... and at least this long, even where places are needed. One that has said nothing so far, or
/// begun a head, has less of a claim, but what was sent with the connecting needs a moment to come.
const IDLE_LEAST: Duration = Duration::from_secs(2);
const FIRST_LEAST: Duration = Duration::from_millis(10);
const HEAD_LEAST: Duration = Duration::from_millis(200);
/// How often all this is looked at.
const SWEEP: Duration = Duration::from_millis(100);
/// Where places are needed, and nobody can go yet, this is tried again.
const ROOM: Duration = Duration::from_millis(5);
/// For what is still to be written, or read and thrown away, on a connection that ends.
const LAST_WRITES: Duration = Duration::from_secs(1);
const LINGER: Duration = Duration::from_millis(300);
/// Most that is thrown away.
pub const MOST_LINGERING: usize = 256 << 10;
/// A client that has its answer before its request was whole may be writing all the same, with
/// pauses up to this.
const UNREAD: Duration = Duration::from_secs(1);
/// What the system may hold of a large answer for a client that is slow to take it.
const SEND_BUFFER: usize = 256 << 10;
/// Where places are needed, this part of them is made free at a time.
const EVICTED_PART: usize = 8;
/// Where fewer places than this part are free, answers tell clients to close.
const SPARE_PART: usize = 4;
/// For what is on its way on a connection that is to end, or to the listener.
const LAST_CHANCE: Duration = Duration::from_millis(100);
/// `accept` that failed for want of resources is not tried again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a connection needs to know.
pub struct Listener {
    engine: Rc<Dispatcher>,
    effects: Vec<Idempotency>,
    phase: watch::Receiver<ShutdownPhase>,
    slots: ResizableSemaphore,
    /// A connection has ended.
    ended: Notify,
    /// Connections may have come since then.
    listening_since: Instant,
    clients: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_client: Cell<u64>,
}

/// One connection.
struct ClientConnection {
    socket: Rc<TcpStream>,
    stage: Cell<ConnectionState>,
    since: Cell<Instant>,
    /// Why the head under way is turned down, once it is.
    problem: Cell<Option<MessageError>>,
    /// Its last request was malformed: more of it may still come.
    malformed: Cell<bool>,
    /// It has had its answer before its request was read to the end.
    unread: Cell<bool>,
    /// A request of it went to hyper, and its answer has not been taken yet.
    taken: Cell<bool>,
    /// When the last byte of that request was read, if it was when it went there. Requests in a row
    /// wait for each other.
    whole_at: Cell<Option<Instant>>,
    /// Since when the connection may have waited to be accepted, if bytes had come on it by then.
    waiting_since: Cell<Option<Instant>>,
    /// Where it stood when it was to close.
    left: Cell<ConnectionState>,
    wake: Notify,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing has come yet.
    New,
    /// A head has begun: since the connecting on the first request, since its first bytes on
    /// others.
    Head,
    /// The head under way took too long.
    Late,
    /// A request is in hand.
    Busy,
    /// A large answer is passed on, and something of it was taken at last then.
    StreamingResponse,
    /// It waits for the next request.
    Idle,
    /// It is to close.
    Leaving,
    /// The client has closed it while a request was in hand.
    Gone,
}

impl ConnectionState {
    /// For the counters: what went for others.
    fn evicted(self) -> &'static str {
        match self {
            ConnectionState::New => "evicted: no request received",
            ConnectionState::Head | ConnectionState::Late => "evicted: head incomplete",
            _ => "evicted: idle",
        }
    }
}

impl ClientConnection {
    fn enter(&self, stage: ConnectionState) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    fn age(&self) -> Duration {
        self.since.get().elapsed()
    }

    /// Whether it may be closed for others that need its place.
    fn in_the_way(&self) -> bool {
        let least = match self.stage.get() {
            ConnectionState::New => FIRST_LEAST,
            ConnectionState::Head | ConnectionState::Late => HEAD_LEAST,
            ConnectionState::Idle => IDLE_LEAST,
            ConnectionState::Busy
            | ConnectionState::StreamingResponse
            | ConnectionState::Leaving
            | ConnectionState::Gone => return false,
        };
        self.age() >= least && self.may_close().is_ok()
    }

    /// Whether the rules let it be closed at this moment for having nothing to say.
    fn may_close(&self) -> Result<(), Invariant> {
        let in_hand = matches!(
            self.stage.get(),
            ConnectionState::Busy | ConnectionState::StreamingResponse
        );
        send_invariants::may_close(in_hand, !is_open_and_drained(&self.socket))
    }

    fn leave(&self) {
        self.left.set(self.stage.get());
        self.enter(ConnectionState::Leaving);
        self.wake.notify_one();
    }

    /// Whether bytes have come since it was to close for having nothing to say.
    fn crossed(&self) -> bool {
        matches!(
            self.left.get(),
            ConnectionState::New | ConnectionState::Head | ConnectionState::Idle
        ) && self.may_close().is_err()
    }

    /// Ends what has taken too long.
    fn sweep(&self, phase: ShutdownPhase, stats: &Metrics) {
        let (stage, age) = (self.stage.get(), self.age());
        // In a drain each answer says to close: who is idle has been so since before.
        let idle = match phase {
            ShutdownPhase::Serving => IDLE,
            ShutdownPhase::Draining | ShutdownPhase::ShuttingDown | ShutdownPhase::HandingOver => {
                IDLE_LEAST
            }
            ShutdownPhase::Closing => Duration::ZERO,
        };
        match stage {
            // What comes with a connection needs a moment. A request that has begun is answered,
            // and told to close.
            ConnectionState::New
                if phase == ShutdownPhase::Closing
                    && age >= LAST_CHANCE
                    && self.may_close().is_ok() =>
            {
                self.leave();
            }
            // Never one on which a request has come that was not read yet.
            ConnectionState::New if age >= FIRST => {
                stats.count_rejected_message("no request received");
                self.leave();
            }
            // Who has closed waits for nothing. Hyper sees that only where nothing stands before
            // it.
            ConnectionState::Busy | ConnectionState::StreamingResponse
                if is_closed_by_peer(&self.socket) =>
            {
                self.stage.set(ConnectionState::Gone);
                self.wake.notify_one();
            }
            ConnectionState::StreamingResponse if age >= STALL_TIMEOUT => self.leave(),
            ConnectionState::Idle if age >= idle && self.may_close().is_ok() => self.leave(),
            ConnectionState::Head if age >= FIRST => {
                self.stage.set(ConnectionState::Late);
                self.wake.notify_one();
            }
            _ => {}
        }
    }
}

/// A request that takes the place of one that was turned down, in the row of answers on its
/// connection. No client can send one of this method.
const REJECTED_METHOD: &str = "REJECTED";

impl MessagePolicy for Rc<ClientConnection> {
    const BETWEEN_MESSAGES: Expected = Expected::Head;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        parse_request_head(bytes)
    }

    fn reject(&self, problem: MessageError) -> std::io::Result<&'static [u8]> {
        self.problem.set(Some(problem));
        Ok(b"REJECTED / HTTP/1.1\r\n\r\n")
    }

    fn head_started(&self) -> Result<(), MessageError> {
        match self.stage.get() {
            ConnectionState::New => self.stage.set(ConnectionState::Head),
            ConnectionState::Idle => self.enter(ConnectionState::Head),
            ConnectionState::Late => return Err(MessageError::HeadTimeout),
            ConnectionState::Head
            | ConnectionState::Busy
            | ConnectionState::StreamingResponse
            | ConnectionState::Leaving
            | ConnectionState::Gone => {}
        }
        Ok(())
    }

    fn head_accepted(&self, whole_at: Option<Instant>) {
        self.taken.set(true);
        // What had come before the connection was accepted may have come as long ago as that may
        // have been made.
        let waiting_since = self.waiting_since.take();
        self.whole_at
            .set(whole_at.map(|at| waiting_since.unwrap_or(at)));
    }

    fn awaits_response(&self) -> bool {
        self.taken.get()
    }
}

impl Listener {
    /// Takes at most `connections` at a time. They may have been made since `listening_since`.
    pub fn new(
        engine: Rc<Dispatcher>,
        effects: Vec<Idempotency>,
        connections: usize,
        listening_since: Instant,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        Rc::new(Listener {
            engine,
            effects,
            phase,
            slots: ResizableSemaphore::new(connections),
            ended: Notify::new(),
            listening_since,
            clients: RefCell::default(),
            next_client: Cell::new(0),
        })
    }

    /// Takes connections until the node closes, then waits for the last of them to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let sweeping = self.clone();
        let sweeper = spawn_local(async move {
            let mut every = tokio::time::interval(SWEEP);
            loop {
                every.tick().await;
                let phase = *sweeping.phase.borrow();
                sweeping
                    .clients
                    .borrow()
                    .values()
                    .for_each(|c| c.sweep(phase, sweeping.engine.stats()));
            }
        });
        let mut phase = self.phase.clone();
        let mut closing = std::pin::pin!(async move {
            let ending = phase
                .wait_for(|p| *p >= ShutdownPhase::HandingOver)
                .await
                .map_or(ShutdownPhase::Closing, |p| *p);
            // Whose request crosses the closing of an idle connection comes again, and finds a
            // listener.
            if ending == ShutdownPhase::Closing {
                tokio::time::sleep(LAST_CHANCE).await;
            }
        });
        let mut none_waited = self.listening_since;
        loop {
            // Not given up when the node closes: what the system has taken for us may hold
            // requests, and would be lost with the socket. One that is handed over lives on, and so
            // does its queue.
            let permit = self.slot().await;
            if *self.phase.borrow() == ShutdownPhase::HandingOver {
                break;
            }
            tokio::select! {
                biased; // The same holds here: the queue first, then the end.
                accepted = accept(&listener, &mut none_waited) => match accepted {
                    Ok((stream, waiting_since)) => self.clone().connected(stream, waiting_since, permit),
                    Err(error) => accept_failed(&self.engine, "accept", &error).await,
                },
                () = &mut closing => break,
            }
        }
        drop(listener);
        loop {
            let ended = self.ended.notified();
            if self.clients.borrow().is_empty() {
                break;
            }
            ended.await;
        }
        sweeper.abort();
    }

    /// Whether a request is in hand, or an answer on its way.
    pub fn in_hand(&self) -> bool {
        let busy = |c: &Rc<ClientConnection>| {
            matches!(
                c.stage.get(),
                ConnectionState::Head | ConnectionState::Busy | ConnectionState::StreamingResponse
            )
        };
        self.clients.borrow().values().any(busy)
    }

    /// From now on it takes at most so many.
    pub fn resize(&self, connections: usize) {
        self.slots.resize(connections);
        if self.slots.is_over_capacity() {
            self.evict();
        }
    }

    /// Room for one more connection. Where there is none, some that have nothing to say are closed,
    /// so that they don't keep others out: the longest silent first, several at a time, since more
    /// are likely to wait.
    async fn slot(&self) -> OwnedSemaphorePermit {
        loop {
            if self.slots.available() == 0 {
                self.evict();
            }
            if self.slots.is_over_capacity() {
                tokio::time::sleep(ROOM).await;
            } else if let Ok(permit) = timeout(ROOM, self.slots.acquire()).await {
                return permit;
            }
        }
    }

    fn evict(&self) {
        let clients = self.clients.borrow();
        let mut going: Vec<_> = clients.values().filter(|c| c.in_the_way()).collect();
        going.sort_unstable_by_key(|c| c.since.get());
        for client in going
            .iter()
            .take(self.slots.capacity().div_ceil(EVICTED_PART))
        {
            self.engine
                .stats()
                .count_rejected_message(client.stage.get().evicted());
            client.leave();
        }
    }

    fn scarce(&self) -> bool {
        self.slots.available() < self.slots.capacity() / SPARE_PART
    }

    fn connected(
        self: Rc<Self>,
        stream: TcpStream,
        waiting_since: Instant,
        permit: OwnedSemaphorePermit,
    ) {
        let _ = stream.set_nodelay(true);
        let came_with_it = !is_open_and_drained(&stream);
        self.engine.stats().count(|c| c.connections_accepted += 1);
        let client = Rc::new(ClientConnection {
            socket: Rc::new(stream),
            stage: Cell::new(ConnectionState::New),
            since: Cell::new(Instant::now()),
            problem: Cell::new(None),
            malformed: Cell::new(false),
            unread: Cell::new(false),
            taken: Cell::new(false),
            whole_at: Cell::new(None),
            waiting_since: Cell::new(came_with_it.then_some(waiting_since)),
            left: Cell::new(ConnectionState::New),
            wake: Notify::new(),
        });
        let id = self.next_client.replace(self.next_client.get() + 1);
        // Before its task runs: a burst may fill all places within one turn, and where nobody is
        // known to be silent nobody makes room.
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(async move {
            self.serve_connection(&client).await;
            self.clients.borrow_mut().remove(&id);
            drop(permit);
            self.ended.notify_one();
        });
    }

    async fn serve_connection(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let service = service_fn(|request: Request<Body>| async {
            let since = client.since.get();
            client.enter(ConnectionState::Busy);
            let mut response = match client.problem.get() {
                Some(error) if request.method() == REJECTED_METHOD => reject(error.into()),
                _ => {
                    // Nobody but hyper knows where chunks end: what is behind them is not read.
                    let last = request.headers().contains_key(header::TRANSFER_ENCODING);
                    let mut response = self.answer(request, since, client).await;
                    if last {
                        close(&mut response);
                    }
                    response
                }
            };
            client.malformed.set(response.status().is_client_error());
            response
                .extensions()
                .get()
                .iter()
                .for_each(|why: &&RejectedRequest| {
                    self.engine.stats().count_rejected_message(why.0)
                });
            // A client that is told to close goes elsewhere next. Where places run short each is:
            // many ask once and keep their connection, and until those may be closed nobody else
            // would get in.
            if *self.phase.borrow() > ShutdownPhase::Serving || self.scarce() {
                self.engine.stats().count(|c| c.connection_close_sent += 1);
                close(&mut response);
            }
            if let ResponseBody::StreamingResponse(_) = response.body().body {
                client.enter(ConnectionState::StreamingResponse);
                let _ = SockRef::from(&*client.socket).set_send_buffer_size(SEND_BUFFER);
            }
            response.body_mut().client = Some(client.clone());
            Ok::<_, Infallible>(response)
        });
        // Times are kept here, by one look at all connections now and then, not by a timer on each.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_WRITE_BUFFER)
            .serve_connection(
                TokioIo::new(HeadFilter::new(client.socket.clone(), client.clone())),
                service,
            );
        let mut connection = std::pin::pin!(connection);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => break, // Its errors are the client's: it left or spoke no HTTP.
                () = client.wake.notified() => {}
            }
            if client.stage.get() == ConnectionState::Gone {
                return;
            }
            if client.stage.get() == ConnectionState::Leaving {
                if client.crossed() {
                    self.engine
                        .stats()
                        .invariants
                        .prevented(Invariant::ConnectionClose);
                    client.stage.set(client.left.get());
                    continue;
                }
                connection.as_mut().graceful_shutdown();
                // Its last answer may still be on its way. A request that was read meanwhile is
                // answered.
                while timeout(LAST_WRITES, connection.as_mut()).await.is_err()
                    && matches!(
                        client.stage.get(),
                        ConnectionState::Busy | ConnectionState::StreamingResponse
                    )
                {}
                break;
            }
        }
        // Closing on unread bytes would reset the connection, and might take the word about them
        // from the client. Where there was no word the reset is one: what crossed the closing was
        // not read, and its client may send it again.
        if client.malformed.get() {
            let _ = timeout(LINGER, discard(&client.socket, MOST_LINGERING)).await;
        }
        if client.unread.get() {
            discard(&client.socket, MAX_BODY_BYTES as usize).await;
        }
    }

    /// Answers a request that has begun at `since`.
    async fn answer(
        &self,
        request: Request<Body>,
        since: Instant,
        client: &ClientConnection,
    ) -> Response<ClientBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") => {
                let ready = self.engine.ready() && *self.phase.borrow() == ShutdownPhase::Serving;
                return plain(
                    if ready {
                        StatusCode::OK
                    } else {
                        StatusCode::SERVICE_UNAVAILABLE
                    },
                    "",
                );
            }
            (&Method::GET, "/health/live") => {
                return plain(StatusCode::OK, format!("list {}\n", self.engine.revision()));
            }
            _ => {}
        }
        let (parts, mut body) = request.into_parts();
        let order = match RequestHead::parse(&parts, self.engine.names(), &self.effects) {
            Ok(order) => order,
            Err(error) => return reject(error),
        };
        let margin = MARGIN.min(order.timeout / MARGIN_PART);
        let length = body.size_hint().exact();
        let mut held = BytesMut::new();
        let whole = loop {
            let by = since + WHOLE + Duration::from_secs_f64(held.len() as f64 / LEAST_RATE);
            let before = held.len();
            match timeout_at(by, buffer_body(&mut held, &mut body)).await {
                Ok(Ok(part)) => break part == BufferedPart::Complete,
                Ok(Err(_)) => return reject(MessageError::IncompleteBody.into()),
                Err(_) if held.len() > before => {}
                Err(_) => return reject(MessageError::BodyTimeout.into()),
            }
        };
        // The time counts from the last byte, which is here or still to come.
        let whole_at = client.whole_at.take().unwrap_or_else(Instant::now);
        let remaining = order
            .timeout
            .checked_sub(margin)
            .unwrap()
            .saturating_sub(whole_at.elapsed());
        let (body, due) = if whole {
            (
                RequestBody::Buffered(held.freeze()),
                Instant::now() + remaining,
            )
        } else {
            let upload = Upload::new(held.freeze(), body, length);
            (RequestBody::Streaming(upload), Instant::now() + MAX_TIMEOUT)
        };
        let upload = body.upload().cloned();
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = parts.method;
        *outgoing.uri_mut() = order.target;
        *outgoing.headers_mut() = end_to_end_headers(parts.headers);
        let RequestHead {
            class,
            tenant,
            work,
            id,
            ..
        } = order;
        let taken = self.engine.arrival(ForwardRequest {
            class,
            tenant,
            work,
            deadline: due,
            remaining,
            id,
            first_byte_at: since,
            request: outgoing,
            client: Rc::downgrade(&client.socket),
        });
        let Some(taken) = taken else {
            return reject(RequestError::DuplicateRequestId);
        };
        let id = taken.id();
        let over = async {
            match &upload {
                None => tokio::time::sleep_until(due + margin / OVERDUE).await,
                Some(upload) => {
                    upload.ended().await;
                    if upload.is_complete() {
                        self.engine.uploaded(id);
                    }
                    tokio::time::sleep(remaining + margin / OVERDUE).await;
                }
            }
        };
        let answer = taken.answer(over).await;
        if let Some(upload) = upload.filter(|upload| !upload.is_complete()) {
            client.unread.set(true);
            if let Some(error) = upload.error() {
                return reject(error.into());
            }
        }
        let mut response = match answer {
            FinalResponse::Served(response) => {
                let (head, body) = response.into_parts();
                let mut response = Response::new(ClientBody { body, client: None });
                *response.headers_mut() = end_to_end_headers(head.headers);
                response
            }
            FinalResponse::Rejected { retry_after: wait } => {
                let mut response = plain(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "refused: trying again is harmless",
                );
                if let Some(wait) = wait {
                    let wait = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()));
                    let wait = wait.expect("a decimal number is valid in a header");
                    response.headers_mut().insert(header::RETRY_AFTER, wait);
                }
                response
            }
            FinalResponse::Failed => plain(
                StatusCode::GATEWAY_TIMEOUT,
                "failed: the request may have been carried out",
            ),
        };
        if client.unread.get() {
            close(&mut response);
        }
        response
    }
}

/// What goes to a client. Once it is gone the connection waits for the next request.
struct ClientBody {
    body: ResponseBody,
    client: Option<Rc<ClientConnection>>,
}

impl hyper::body::Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let me = self.get_mut();
        match &mut me.body {
            ResponseBody::Whole(body) if body.is_empty() => Poll::Ready(None),
            ResponseBody::Whole(body) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(body))))),
            ResponseBody::StreamingResponse(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                if polled.is_ready() {
                    me.client.iter().for_each(|c| c.since.set(Instant::now()));
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ResponseBody::Whole(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Whole(body) => SizeHint::with_exact(body.len() as u64),
            ResponseBody::StreamingResponse(body) => body.size_hint(),
        }
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.iter().for_each(|c| c.taken.set(false));
        let client = self.client.iter().filter(|c| {
            matches!(
                c.stage.get(),
                ConnectionState::Busy | ConnectionState::StreamingResponse
            )
        });
        client.for_each(|c| c.enter(ConnectionState::Idle));
    }
}

/// Accepts a connection, and tells since when it may have waited for that: one that is there at
/// once may have come since nobody else was waiting, which was at `none_waited`.
async fn accept(
    listener: &TcpListener,
    none_waited: &mut Instant,
) -> std::io::Result<(TcpStream, Instant)> {
    let mut was_empty = false;
    poll_fn(|cx| {
        let polled = listener.poll_accept(cx);
        was_empty |= polled.is_pending();
        if was_empty {
            *none_waited = Instant::now();
        }
        polled.map_ok(|(stream, _)| (stream, *none_waited))
    })
    .await
}

/// Logs a failed `accept`, and waits where the next would fail as well.
pub async fn accept_failed(engine: &Dispatcher, what: &str, error: &std::io::Error) {
    if transient_errors::is_single_connection_error(error) {
        return engine
            .stats()
            .count_rejected_message("closed before it was accepted");
    }
    engine.log(format_args!("{what}: {error}"));
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

fn close(response: &mut Response<ClientBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// What was wrong, for the counters.
#[derive(Clone, Copy)]
struct RejectedRequest(RequestError);

/// The answer to what is malformed. Nothing more is read on its connection: who sends one such
/// thing is not trusted to have begun the next where it seems to.
fn reject(error: RequestError) -> Response<ClientBody> {
    let mut response = plain(error.status(), error.to_string());
    response.extensions_mut().insert(RejectedRequest(error));
    close(&mut response);
    response
}

/// Reads what still comes, up to a bound or a pause.
pub async fn discard(socket: &TcpStream, most: usize) {
    let (mut buffer, mut read) = ([0; 4096], 0);
    while read < most && matches!(timeout(UNREAD, socket.readable()).await, Ok(Ok(()))) {
        match socket.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => read += n,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ClientBody> {
    let body = ResponseBody::Whole(text.into());
    let mut response = Response::new(ClientBody { body, client: None });
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
