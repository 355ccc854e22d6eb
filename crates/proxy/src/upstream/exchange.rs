//! Sends one attempt or load probe to a backend and reads the response.

use super::backend::{Backend, ConnectionGeneration};
use super::connection::Connection;
use super::load_report_header::LoadReportReader;
use super::pool::ConnectionPool;
use super::response::{Exchange, ExchangeResponse, ResponseBody};
use crate::http1::body::{buffer_body, BufferedPart};
use crate::http1::download::StreamingResponse;
use crate::http1::limits::MAX_BUFFERED_BODY_BYTES;
use crate::http1::upload::{RequestBody, RequestBodyStream, Upload};
use crate::metrics::Metrics;
use crate::send_invariants::{self, AttemptFacts, Invariant};
use balancer::{AttemptOutcome, LoadReport};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use settings::{LoadReportField, SettingNames};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Time for which a response of unknown length is buffered in case it is small.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(50);
/// Path at which backends answer load probes.
const LOAD_PROBE_PATH: &str = "/stats";
/// States the attempt's remaining time to the backend.
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
/// Marks a response that proves that the request was not executed.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendProgress {
    /// Nothing has been written.
    #[default]
    NotWritten,
    /// The attempt may have reached its backend.
    Written,
    /// Nothing has been written, and nothing may be: the attempt counts as never sent.
    Revoked,
}

/// The conditions under which an attempt may be sent.
pub struct AttemptTerms {
    /// When the attempt has to be answered. While the request's body is incomplete, only the time
    /// left until then counts, and it starts with the last byte.
    pub deadline: Instant,
    /// End of the idempotency window, if this is a retry that is limited to it.
    pub retry_until: Option<Instant>,
    /// Whether the client is still waiting for a response.
    pub is_client_waiting: Box<dyn Fn() -> bool>,
    /// Set to [`SendProgress::Written`] right before the first byte; [`SendProgress::Revoked`]
    /// prevents the sending.
    pub progress: Rc<Cell<SendProgress>>,
}

/// Sends requests to backends over pooled connections. It never repeats one.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    load_reports: LoadReportReader,
    metrics: Rc<Metrics>,
}

impl UpstreamClient {
    /// Creates a client that reads load reports of these fields.
    pub fn new(
        pool: Rc<ConnectionPool>,
        names: &SettingNames,
        fields: &[LoadReportField],
        metrics: Rc<Metrics>,
    ) -> Self {
        UpstreamClient {
            pool,
            load_reports: LoadReportReader::new(&names.load_report_fields, fields),
            metrics,
        }
    }

    /// The connections that requests are sent on.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// The node's counters.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Sends one attempt, if the invariants allow it immediately before its first byte, and reads the
    /// response until the deadline at the latest.
    pub async fn send_attempt(
        &self,
        backend: &Rc<Backend>,
        request: Request<RequestBody>,
        terms: AttemptTerms,
    ) -> Exchange {
        let (head, body) = request.into_parts();
        // Part of the body is gone: it cannot be sent again.
        let Some(stream) = body.new_stream() else {
            return Exchange::failed(AttemptOutcome::NotSent);
        };
        let request = Request::from_parts(head, stream);
        let (deadline, progress) = (terms.deadline, terms.progress.clone());
        let time_limit = deadline.saturating_duration_since(Instant::now());
        let upload = body.upload();
        let check = AttemptCheck {
            backend: backend.clone(),
            metrics: self.metrics.clone(),
            has_started: upload.is_none(),
            terms,
        };
        let exchange = self.connect_and_send(check, request);
        match upload {
            Some(upload) => await_upload(upload, time_limit, exchange).await,
            None => await_deadline(deadline, &progress, exchange).await,
        }
    }

    /// Asks a backend for its load.
    pub async fn send_load_probe(&self, backend: &Backend, time_limit: Duration) -> Exchange {
        let exchange = async {
            let mut connection = match self.pool.acquire(backend).await {
                Ok(connection) => connection,
                Err(error) => return Exchange::failed(error.outcome()),
            };
            let request = Request::get(LOAD_PROBE_PATH)
                .header("host", backend.address().to_string())
                .body(RequestBodyStream::default())
                .expect("a fixed path and an address are valid");
            let response = match connection.send(request).await {
                Ok(response) => response,
                Err(error) => return error.into(),
            };
            self.read_probe_response(connection, response).await
        };
        timeout(time_limit, exchange)
            .await
            .unwrap_or_else(|_| Exchange::failed(AttemptOutcome::TimedOut))
    }

    async fn connect_and_send(
        &self,
        check: AttemptCheck,
        mut request: Request<RequestBodyStream>,
    ) -> Exchange {
        let mut connection = match self.pool.acquire(&check.backend).await {
            Ok(connection) => connection,
            Err(error) => return Exchange::failed(error.outcome()),
        };
        let computed_at = Instant::now();
        let generation = connection.generation();
        // Anything may have changed while the connection was opened, and some more time passes
        // before the first byte is written: both moments are checked.
        if check.run(generation, None).is_err() {
            self.pool.release(&check.backend, connection).await;
            return Exchange::failed(AttemptOutcome::NotSent);
        }
        let remaining = check.terms.deadline.saturating_duration_since(computed_at);
        request
            .headers_mut()
            .insert(TIMEOUT, timeout_value(remaining));
        connection.set_write_check(Box::new(move || {
            check.run(generation, Some(computed_at))?;
            check.terms.progress.set(SendProgress::Written);
            Ok(())
        }));
        match connection.send(request).await {
            Ok(response) => self.read_attempt_response(connection, response).await,
            Err(error) => error.into(),
        }
    }

    async fn read_attempt_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let outcome = response_outcome(head.status, &head.headers);
        let is_success = outcome == AttemptOutcome::Success;
        let body = match receive_body(body, is_success).await {
            Ok(body) => body,
            Err(error) => return Exchange::connection_reset(error),
        };
        let load_report = self.load_reports.read_headers(&head.headers);
        let (response, connection) = match body {
            ReceivedBody::Complete(body) => {
                let response = Response::from_parts(head, ResponseBody::Buffered(body));
                let response = is_success.then_some(ExchangeResponse::Complete(response));
                (response, Some(connection))
            }
            ReceivedBody::Partial { buffered, rest } if is_success => {
                let (body, body_end) = StreamingResponse::new(buffered, rest);
                let body = ResponseBody::Streaming(body);
                let response = Response::from_parts(head, body);
                let response = ExchangeResponse::Streaming { response, body_end };
                (Some(response), Some(connection))
            }
            // Nobody needs the rest of an error's body.
            ReceivedBody::Partial { .. } => (None, None),
        };
        Exchange {
            outcome,
            load_report,
            response,
            connection,
            error: None,
        }
    }

    async fn read_probe_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let outcome = response_outcome(head.status, &head.headers);
        let is_success = outcome == AttemptOutcome::Success;
        let body = match receive_body(body, is_success).await {
            Ok(body) => body,
            Err(error) => return Exchange::connection_reset(error),
        };
        let (body, connection) = match body {
            ReceivedBody::Complete(body) => (body, Some(connection)),
            ReceivedBody::Partial { buffered, .. } => (buffered, None),
        };
        Exchange {
            load_report: self.probed_load(is_success, &body),
            connection,
            ..Exchange::failed(outcome)
        }
    }

    fn probed_load(&self, is_success: bool, body: &[u8]) -> Option<LoadReport> {
        is_success
            .then(|| self.load_reports.read_json(body))
            .flatten()
    }
}

/// Checks whether an attempt may be sent at this moment.
struct AttemptCheck {
    backend: Rc<Backend>,
    metrics: Rc<Metrics>,
    /// Whether the attempt's time has started, which it does with the request's last byte.
    has_started: bool,
    terms: AttemptTerms,
}

impl AttemptCheck {
    /// Checks it for a connection of this generation. `timeout_computed_at` is when the remaining
    /// time stated to the backend was computed, once it was.
    fn run(
        &self,
        generation: ConnectionGeneration,
        timeout_computed_at: Option<Instant>,
    ) -> Result<(), Invariant> {
        let is_revoked = self.terms.progress.get() == SendProgress::Revoked;
        let facts = AttemptFacts {
            backend_accepts: self.backend.accepts_requests()
                && self.backend.generation() == generation,
            client_waiting: !is_revoked && (self.terms.is_client_waiting)(),
            deadline: self.has_started.then_some(self.terms.deadline),
            timeout_computed_at: timeout_computed_at.filter(|_| self.has_started),
            retry_until: self.terms.retry_until,
        };
        send_invariants::may_send(Instant::now(), &facts)
            .inspect_err(|invariant| self.metrics.invariants.prevented(*invariant))
    }
}

/// Waits for the exchange of a request whose body is complete.
async fn await_deadline(
    deadline: Instant,
    progress: &Cell<SendProgress>,
    exchange: impl Future<Output = Exchange>,
) -> Exchange {
    match timeout_at(deadline, exchange).await {
        Ok(exchange) => exchange,
        Err(_) if progress.get() == SendProgress::Written => {
            Exchange::failed(AttemptOutcome::TimedOut)
        }
        // It was still connecting: the request cannot have been executed.
        Err(_) => Exchange::failed(AttemptOutcome::ConnectFailed),
    }
}

/// Waits for the exchange of a request whose body is still being received. A backend starts to
/// execute it with its last byte, and so does the time limit.
async fn await_upload(
    upload: &Upload,
    time_limit: Duration,
    exchange: impl Future<Output = Exchange>,
) -> Exchange {
    let time_limit_reached = async {
        upload.ended().await;
        tokio::time::sleep(time_limit).await;
    };
    let exchange = tokio::select! {
        biased;
        exchange = exchange => exchange,
        () = time_limit_reached => Exchange::failed(AttemptOutcome::TimedOut),
        () = upload.stalled() => Exchange::failed(AttemptOutcome::ConnectionReset),
    };
    match exchange.outcome {
        // Without its last byte the request was not executed; and a fault of the client's body says
        // nothing of the backend.
        AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut if upload.error().is_some() => {
            Exchange::failed(AttemptOutcome::NotSent)
        }
        AttemptOutcome::ConnectionReset if !upload.is_complete() => Exchange {
            outcome: AttemptOutcome::ConnectFailed,
            ..exchange
        },
        _ => exchange,
    }
}

/// A response's body as far as it was buffered.
enum ReceivedBody {
    Complete(Bytes),
    Partial { buffered: Bytes, rest: Incoming },
}

/// Buffers a body that is small enough.
async fn receive_body(mut body: Incoming, is_success: bool) -> Result<ReceivedBody, hyper::Error> {
    let length = body.size_hint().exact();
    let mut buffered = BytesMut::new();
    let part = match length {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => BufferedPart::Incomplete,
        // A trickle of unknown length could be buffered for as long as it lasts.
        None if is_success => {
            let buffering = buffer_body(&mut buffered, &mut body);
            timeout(BUFFERING_TIMEOUT, buffering)
                .await
                .unwrap_or(Ok(BufferedPart::Incomplete))?
        }
        _ => buffer_body(&mut buffered, &mut body).await?,
    };
    let buffered = buffered.freeze();
    Ok(match part {
        BufferedPart::Complete => ReceivedBody::Complete(buffered),
        BufferedPart::Incomplete => ReceivedBody::Partial {
            buffered,
            rest: body,
        },
    })
}

/// What a response says of the request.
fn response_outcome(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    match status {
        StatusCode::OK => AttemptOutcome::Success,
        // Without the mark the status proves nothing.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if is_marked_not_processed(headers) =>
        {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::ServerError,
    }
}

fn is_marked_not_processed(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_PROCESSED)
        .is_some_and(|value| value.as_bytes() == b"1")
}

fn timeout_value(remaining: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{}u", remaining.as_micros()))
        .expect("digits are valid in a header")
}
