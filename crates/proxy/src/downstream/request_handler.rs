//! Handles one client request: answers health checks, and submits every other request to the
//! dispatcher and waits for its final response.

use crate::downstream::connection::ClientConnection;
use crate::downstream::request_head::{RequestError, RequestHead, MAX_TIMEOUT};
use crate::downstream::responses::{
    final_response, plain_text, rejection, set_connection_close, ClientBody,
};
use crate::endpoint_updates::EndpointUpdates;
use crate::http1::body::{BodyBuffer, BufferedPart};
use crate::http1::error::MessageError;
use crate::http1::hop_by_hop::end_to_end_headers;
use crate::http1::limits::STREAMING_BYTES;
use crate::http1::upload::{RequestBody, Upload};
use crate::memory_budget::{MemoryBudget, Purpose, Reservation};
use crate::requests::dispatcher::Dispatcher;
use crate::requests::request::ForwardRequest;
use crate::shutdown::ShutdownPhase;
use crate::upstream::pool;
use balancer::{Idempotency, RequestId};
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Upper bound of the transit margin: the part of a client's timeout that is reserved for the
/// network transit between client and node, in both directions.
const MAX_TRANSIT_MARGIN: Duration = Duration::from_millis(20);

/// The transit margin is at most the client's timeout divided by this.
const TRANSIT_MARGIN_DIVISOR: u32 = 8;

/// After the deadline the balancer's final response is still awaited for the transit margin divided
/// by this.
const OVERDUE_DIVISOR: u32 = 4;

/// How long a request may take from the beginning of its head until its body is buffered, in
/// addition to the time that the received part of the body takes at [`MIN_BODY_BYTES_PER_SECOND`].
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// Lowest rate at which a client may send a body that is buffered.
const MIN_BODY_BYTES_PER_SECOND: f64 = (32 << 10) as f64;

/// Interval at which the system is asked whether the last byte of a request has arrived unread.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Path on which the node tells whether it is ready.
const READY_PATH: &str = "/health/ready";

/// Path on which the node tells the revision of its endpoint list.
const LIVE_PATH: &str = "/health/live";

/// Memory in bytes that a request holds besides its body: its head, its state and the connection of its
/// attempt.
const REQUEST_BYTES: usize = (24 << 10) + pool::CONNECTION_BYTES;

/// A request that finds no memory waits for it for its time divided by this, then is refused.
const MEMORY_WAIT_DIVISOR: u32 = 4;

/// Handles the requests of all client connections of a node.
pub struct RequestHandler {
    dispatcher: Rc<Dispatcher>,
    endpoint_updates: Rc<EndpointUpdates>,
    /// Idempotency of each request class, indexed by class.
    idempotency_by_class: Vec<Idempotency>,
    memory: Rc<MemoryBudget>,
    phase: watch::Receiver<ShutdownPhase>,
}

/// A request whose body was read as far as it is buffered.
struct ReceivedRequest {
    body: RequestBody,
    /// When the final response is due. Only an upper bound for a streamed body, whose last byte has
    /// not been received yet.
    due: Instant,
    /// What is left of the client's timeout, which counts from the request's last byte, after the
    /// transit margin.
    remaining: Duration,
}

impl RequestHandler {
    /// Creates a handler. `idempotency_by_class` is indexed by class; requests reserve `memory`;
    /// `phase` decides whether the node reports that it is ready.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        endpoint_updates: Rc<EndpointUpdates>,
        idempotency_by_class: Vec<Idempotency>,
        memory: Rc<MemoryBudget>,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Self {
        RequestHandler {
            dispatcher,
            endpoint_updates,
            idempotency_by_class,
            memory,
            phase,
        }
    }

    /// Returns the response to a request whose head began at `head_started_at`, which is a
    /// rejection if the request is invalid.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        head_started_at: Instant,
        connection: &ClientConnection,
    ) -> Response<ClientBody> {
        if let Some(response) = self.health_response(request.method(), request.uri()) {
            return response;
        }
        self.forward(request, head_started_at, connection)
            .await
            .unwrap_or_else(rejection)
    }

    /// Returns the response to a health check; `None` if the request is none.
    fn health_response(&self, method: &Method, uri: &Uri) -> Option<Response<ClientBody>> {
        match (method, uri.path()) {
            (&Method::GET, READY_PATH) => {
                let is_ready = self.endpoint_updates.is_ready()
                    && *self.phase.borrow() == ShutdownPhase::Serving;
                let status = if is_ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                Some(plain_text(status, ""))
            }
            (&Method::GET, LIVE_PATH) => {
                let revision = self.endpoint_updates.revision();
                Some(plain_text(StatusCode::OK, format!("list {revision}\n")))
            }
            _ => None,
        }
    }

    /// Submits a request to the dispatcher, and waits for the final response.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected: its head or body is invalid or was received too slowly,
    /// or another request with the same ID is in flight.
    async fn forward(
        &self,
        request: Request<Incoming>,
        head_started_at: Instant,
        connection: &ClientConnection,
    ) -> Result<Response<ClientBody>, RequestError> {
        let (parts, body) = request.into_parts();
        let names = self.dispatcher.names();
        let head = RequestHead::parse(&parts, names, &self.idempotency_by_class)?;
        let margin = MAX_TRANSIT_MARGIN.min(head.timeout / TRANSIT_MARGIN_DIVISOR);
        let timeout = head.timeout.saturating_sub(margin);
        let waiting_since = Instant::now();
        let memory_deadline = waiting_since + head.timeout / MEMORY_WAIT_DIVISOR;
        let _memory = reserve(&self.memory, REQUEST_BYTES, memory_deadline, connection).await?;
        let limits = ReceiveLimits {
            head_started_at,
            timeout,
            memory: &self.memory,
            waiting_since,
            memory_deadline,
        };
        let received = receive_unless_evicted(body, &limits, connection).await?;
        let (due, remaining) = (received.due, received.remaining);
        let upload = received.body.upload().cloned();
        let pending = self
            .dispatcher
            .submit(ForwardRequest {
                class: head.class,
                tenant: head.tenant,
                work: head.work,
                deadline: due,
                remaining,
                id: head.id,
                first_byte_at: head_started_at,
                request: outgoing_request(parts, head.target, received.body),
                client: Rc::downgrade(connection.socket()),
            })
            .ok_or(RequestError::DuplicateRequestId)?;
        let id = pending.id();
        let grace = margin / OVERDUE_DIVISOR;
        let response = match &upload {
            None => {
                let overdue = tokio::time::sleep_until(due + grace);
                pending.response(overdue).await
            }
            Some(upload) => {
                let overdue = self.streaming_overdue(id, upload, remaining + grace, connection);
                pending.response(overdue).await
            }
        };
        check_upload(upload.as_deref(), connection)?;
        let mut response = final_response(response);
        if connection.upload_unfinished() {
            set_connection_close(&mut response);
        }
        Ok(response)
    }

    /// Waits until the response to a request with a streamed body is overdue: until `time_limit`
    /// after its last byte has arrived. Reports to the dispatcher that it has, as soon as that is known.
    async fn streaming_overdue(
        &self,
        id: RequestId,
        upload: &Upload,
        time_limit: Duration,
        connection: &ClientConnection,
    ) {
        let arrived_at = tokio::select! {
            biased;
            arrived_at = upload.arrived() => arrived_at,
            arrived_at = arrival_of_unread(connection) => {
                upload.record_arrival(arrived_at);
                arrived_at
            }
        };
        if upload.error().is_none() {
            self.dispatcher.request_body_received(id);
        }
        tokio::time::sleep_until(arrived_at + time_limit).await;
    }
}

/// Waits until the system has received the last byte of the request in flight. Returns the earliest
/// instant at which it may have.
async fn arrival_of_unread(connection: &ClientConnection) -> Instant {
    let mut not_arrived_at = Instant::now();
    while !connection.request_has_arrived() {
        not_arrived_at = Instant::now();
        tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
    }
    not_arrived_at
}

/// Checks whether a streamed request body was read completely by the time of the response, and
/// marks the connection as having an unfinished upload if not. `None` stands for a buffered body.
///
/// # Errors
///
/// Returns why the upload failed, for which the request is rejected instead of getting its
/// response.
fn check_upload(
    upload: Option<&Upload>,
    connection: &ClientConnection,
) -> Result<(), MessageError> {
    match upload {
        Some(upload) if !upload.is_complete() => {
            connection.set_upload_unfinished();
            upload.error().map_or(Ok(()), Err)
        }
        _ => Ok(()),
    }
}

/// Whether a request asks for the state of the node, and is not forwarded.
pub fn is_health_check<B>(request: &Request<B>) -> bool {
    let path = request.uri().path();
    request.method() == Method::GET && [READY_PATH, LIVE_PATH].contains(&path)
}

/// Reserves memory for a request, or marks its connection as having an unfinished upload.
///
/// # Errors
///
/// Returns [`RequestError::Overloaded`] if there is not enough by the deadline.
async fn reserve(
    memory: &Rc<MemoryBudget>,
    bytes: usize,
    deadline: Instant,
    connection: &ClientConnection,
) -> Result<Reservation, RequestError> {
    let reservation = memory.reserve_until(bytes, Purpose::NewWork, deadline);
    reservation.await.ok_or_else(|| overloaded(connection))
}

/// Marks a connection as having an unfinished upload, and returns the error of its request.
fn overloaded(connection: &ClientConnection) -> RequestError {
    connection.set_upload_unfinished();
    RequestError::Overloaded
}

/// The limits on receiving a request.
struct ReceiveLimits<'a> {
    head_started_at: Instant,
    /// The client's timeout less the transit margin.
    timeout: Duration,
    memory: &'a Rc<MemoryBudget>,
    /// Since when the request has waited for memory, and nobody has read its body.
    waiting_since: Instant,
    /// Until when the request waits for memory.
    memory_deadline: Instant,
}

/// Does the same as [`receive`], unless the place of the connection is needed while the body stalls.
///
/// # Errors
///
/// Returns the error of [`receive`], and [`RequestError::Overloaded`] if the body was evicted.
async fn receive_unless_evicted(
    body: Incoming,
    limits: &ReceiveLimits<'_>,
    connection: &ClientConnection,
) -> Result<ReceivedRequest, RequestError> {
    connection.start_receiving_body();
    let received = tokio::select! {
        biased;
        received = receive(body, limits, connection) => received,
        () = connection.body_evicted() => Err(overloaded(connection)),
    };
    connection.finish_receiving_body();
    received
}

/// Reads a request's body as far as it is buffered.
///
/// # Errors
///
/// Returns the error of [`buffer_in_time`], and [`RequestError::Overloaded`] if there is no memory for
/// the body.
async fn receive(
    mut body: Incoming,
    limits: &ReceiveLimits<'_>,
    connection: &ClientConnection,
) -> Result<ReceivedRequest, RequestError> {
    let length = body.size_hint().exact();
    let memory = reserve(limits.memory, 0, limits.memory_deadline, connection).await?;
    let mut buffer = BodyBuffer::new(length, memory);
    let arrived_at = connection
        .request_has_arrived()
        .then_some(limits.waiting_since);
    let part = buffer_in_time(&mut buffer, &mut body, limits.head_started_at).await?;
    // The timeout counts from the request's last byte. That of a streamed body may not have been
    // received yet, so that all of the timeout is left.
    let complete_at = connection
        .request_complete_at()
        .or(arrived_at)
        .unwrap_or_else(Instant::now);
    let remaining = limits.timeout.saturating_sub(complete_at.elapsed());
    let buffer = buffer.into_bytes();
    Ok(match part {
        BufferedPart::OutOfMemory => return Err(overloaded(connection)),
        BufferedPart::Complete => ReceivedRequest {
            body: RequestBody::Buffered(buffer),
            due: Instant::now() + remaining,
            remaining,
        },
        BufferedPart::Incomplete => {
            let deadline = limits.memory_deadline;
            let memory = reserve(limits.memory, STREAMING_BYTES, deadline, connection).await?;
            ReceivedRequest {
                body: RequestBody::Streaming(Upload::new(buffer, body, length, memory)),
                due: Instant::now() + MAX_TIMEOUT,
                remaining,
            }
        }
    })
}

/// Buffers a body, as long as it is received within [`REQUEST_TIMEOUT`] plus the time that its
/// received part takes at [`MIN_BODY_BYTES_PER_SECOND`].
///
/// # Errors
///
/// Returns [`MessageError::IncompleteBody`] if the body is malformed or ends early, and
/// [`MessageError::BodyTimeout`] if it is received too slowly.
async fn buffer_in_time(
    buffer: &mut BodyBuffer,
    body: &mut Incoming,
    head_started_at: Instant,
) -> Result<BufferedPart, MessageError> {
    loop {
        let length = buffer.len();
        let body_time = Duration::from_secs_f64(length as f64 / MIN_BODY_BYTES_PER_SECOND);
        let deadline = head_started_at + REQUEST_TIMEOUT + body_time;
        match timeout_at(deadline, buffer.fill(body)).await {
            Ok(Ok(part)) => return Ok(part),
            Ok(Err(_)) => return Err(MessageError::IncompleteBody),
            // The bytes received meanwhile have moved the deadline.
            Err(_) if buffer.len() > length => {}
            Err(_) => return Err(MessageError::BodyTimeout),
        }
    }
}

/// Returns the request as backends get it: without the headers that belong to the client's
/// connection.
fn outgoing_request(parts: Parts, target: Uri, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method;
    *request.uri_mut() = target;
    *request.headers_mut() = end_to_end_headers(parts.headers);
    request
}
