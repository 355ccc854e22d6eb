//! Exchanges: sends one attempt or load probe to a backend and reads the response.

use super::backend::{Backend, ConnectionGeneration};
use super::connection::Connection;
use super::load_report_header::LoadReportReader;
use super::pool::ConnectionPool;
use super::received_response::{ReceivedBody, ReceivedResponse};
use super::response::{Exchange, ExchangeResponse, ResponseBody};
use crate::http1::download::StreamingResponse;
use crate::http1::upload::{RequestBody, RequestBodyStream, Upload};
use crate::metrics::Metrics;
use crate::send_invariants::{self, Invariant, SendConditions};
use balancer::AttemptOutcome;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use settings::{LoadReportField, SettingNames};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Path on which backends answer load probes.
const LOAD_PROBE_PATH: &str = "/stats";
/// Header that tells the backend how much time is left for the attempt, as `<microseconds>u`.
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// Whether an attempt has been written to its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendProgress {
    /// Nothing has been written.
    #[default]
    NotWritten,
    /// Writing has begun; the attempt may have reached its backend.
    Written,
    /// Nothing has been written, and nothing may be written any more: the attempt counts as never
    /// sent.
    Revoked,
}

/// The limits on when an attempt may be sent and has to be answered.
pub struct AttemptConstraints {
    /// When the response is due. If the request's body is incomplete when sending begins, the time
    /// left until then is counted from the last byte of the body instead.
    pub deadline: Instant,
    /// End of the key window, for a retry that it limits; `None` for any other attempt.
    pub retry_until: Option<Instant>,
    /// Returns whether the client still waits for a response. Called right before the write.
    pub is_client_waiting: Box<dyn Fn() -> bool>,
    /// Progress of the attempt, shared with its owner. It becomes [`SendProgress::Written`] right
    /// before the first byte is written; [`SendProgress::Revoked`] prevents the write.
    pub progress: Rc<Cell<SendProgress>>,
}

/// Sends requests to backends on pooled connections, each request once and without retries.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    load_reports: LoadReportReader,
    metrics: Rc<Metrics>,
}

impl UpstreamClient {
    /// Creates a client. `fields` are the meanings of the load report fields named in `names`, in
    /// the same order.
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

    /// Returns the pool of the connections that requests are sent on.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Returns the node's counters.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// Sends one attempt, provided that the invariants allow it immediately before its first byte
    /// is written, and reads the response. Returns at the deadline at the latest; for a streamed
    /// request body the time left until then is counted from the last byte of the body.
    pub async fn send_attempt(
        &self,
        backend: &Rc<Backend>,
        request: Request<RequestBody>,
        constraints: AttemptConstraints,
    ) -> Exchange {
        let (head, body) = request.into_parts();
        // An earlier attempt has consumed a part of the body, which cannot be sent again.
        let Some(stream) = body.new_stream() else {
            return Exchange::failed(AttemptOutcome::NotSent);
        };
        let request = Request::from_parts(head, stream);
        let (deadline, progress) = (constraints.deadline, constraints.progress.clone());
        // An upload that is complete by now is sent like a buffered body: its deadline is known.
        let upload = body.upload().filter(|upload| !upload.is_complete());
        let check = AttemptCheck {
            backend: backend.clone(),
            metrics: self.metrics.clone(),
            deadline_applies: upload.is_none(),
            constraints,
        };
        let exchange = self.connect_and_send(check, request);
        match upload {
            Some(upload) => await_streamed_exchange(upload, deadline, &progress, exchange).await,
            None => await_buffered_exchange(deadline, &progress, exchange).await,
        }
    }

    /// Asks a backend for its load, which is in the result's load report if the backend answers
    /// within `time_limit`.
    pub async fn send_load_probe(&self, backend: &Backend, time_limit: Duration) -> Exchange {
        let exchange = async {
            let mut connection = match self.pool.acquire(backend).await {
                Ok(connection) => connection,
                Err(error) => return Exchange::failed(error.outcome()),
            };
            let request = Request::get(LOAD_PROBE_PATH)
                .header("host", backend.address().to_string())
                .body(RequestBodyStream::default())
                .expect("a fixed path and a socket address make a valid request");
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

    /// Sends an attempt on a pooled or new connection and reads its response. The caller enforces
    /// the deadline.
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
        // The conditions may have changed while the connection was opened, and may change again
        // before the first byte is written: they are checked at both moments.
        if check.run(generation, None).is_err() {
            self.pool.release(&check.backend, connection).await;
            return Exchange::failed(AttemptOutcome::NotSent);
        }
        let remaining = check
            .constraints
            .deadline
            .saturating_duration_since(computed_at);
        request
            .headers_mut()
            .insert(TIMEOUT, timeout_value(remaining));
        connection.set_write_check(Box::new(move || {
            check.run(generation, Some(computed_at))?;
            check.constraints.progress.set(SendProgress::Written);
            Ok(())
        }));
        match connection.send(request).await {
            Ok(response) => self.read_attempt_response(connection, response).await,
            Err(error) => error.into(),
        }
    }

    /// Reads the response to an attempt: its whole body if it is small, and otherwise the part that
    /// is buffered before a successful response is streamed.
    async fn read_attempt_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Exchange {
        let received = match ReceivedResponse::read(response, self.pool.memory()).await {
            Ok(received) => received,
            Err(error) => return Exchange::connection_reset(error),
        };
        let is_success = received.is_success();
        let ReceivedResponse {
            head,
            outcome,
            body,
        } = received;
        let load_report = self.load_reports.read_headers(&head.headers);
        let (response, connection) = match body {
            ReceivedBody::Complete(body) => {
                let response = Response::from_parts(head, ResponseBody::Buffered(body));
                let response = is_success.then_some(ExchangeResponse::Complete(response));
                (response, Some(connection))
            }
            ReceivedBody::Partial {
                buffered,
                rest,
                memory,
            } => {
                let (body, body_end) = StreamingResponse::new(buffered, rest, memory);
                let body = ResponseBody::Streaming(body);
                let response = Response::from_parts(head, body);
                let response = ExchangeResponse::Streaming { response, body_end };
                (Some(response), Some(connection))
            }
            // The body of an error response is not forwarded, so the rest of it is not read.
            ReceivedBody::Truncated(_) => (None, None),
        };
        Exchange {
            outcome,
            load_report,
            response,
            connection,
            error: None,
        }
    }

    /// Reads the response to a load probe and the load report in its body. Of a body that is too
    /// large or too slow only the buffered part is parsed.
    async fn read_probe_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Exchange {
        let received = match ReceivedResponse::read(response, self.pool.memory()).await {
            Ok(received) => received,
            Err(error) => return Exchange::connection_reset(error),
        };
        let is_success = received.is_success();
        let (body, connection) = match received.body {
            ReceivedBody::Complete(body) => (body, Some(connection)),
            ReceivedBody::Partial { buffered, .. } | ReceivedBody::Truncated(buffered) => {
                (buffered, None)
            }
        };
        let load_report = is_success
            .then(|| self.load_reports.read_json(&body))
            .flatten();
        Exchange {
            load_report,
            connection,
            ..Exchange::failed(received.outcome)
        }
    }
}

/// Checks whether an attempt may be sent at the moment of the call.
struct AttemptCheck {
    backend: Rc<Backend>,
    metrics: Rc<Metrics>,
    /// Whether the deadline applies already. While the request's body is being received it does not,
    /// since the attempt's time starts with the last byte of the body.
    deadline_applies: bool,
    constraints: AttemptConstraints,
}

impl AttemptCheck {
    /// Checks whether the attempt may be sent on a connection of this generation, and counts it as
    /// prevented if not. `timeout_computed_at` is when the remaining time that is stated to the
    /// backend was computed; `None` before that.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that forbids it.
    fn run(
        &self,
        generation: ConnectionGeneration,
        timeout_computed_at: Option<Instant>,
    ) -> Result<(), Invariant> {
        let is_revoked = self.constraints.progress.get() == SendProgress::Revoked;
        let conditions = SendConditions {
            backend_accepts: self.backend.accepts_requests()
                && self.backend.generation() == generation,
            client_waiting: !is_revoked && (self.constraints.is_client_waiting)(),
            deadline: self.deadline_applies.then_some(self.constraints.deadline),
            timeout_computed_at: timeout_computed_at.filter(|_| self.deadline_applies),
            retry_until: self.constraints.retry_until,
        };
        send_invariants::may_send(Instant::now(), &conditions)
            .inspect_err(|invariant| self.metrics.invariants.prevented(*invariant))
    }
}

/// Waits for the exchange of a request whose body is complete, until the deadline at the latest.
async fn await_buffered_exchange(
    deadline: Instant,
    progress: &Cell<SendProgress>,
    exchange: impl Future<Output = Exchange>,
) -> Exchange {
    match timeout_at(deadline, exchange).await {
        Ok(exchange) => exchange,
        Err(_) if progress.get() == SendProgress::Written => {
            Exchange::failed(AttemptOutcome::TimedOut)
        }
        // The attempt was still connecting, so the request cannot have been executed.
        Err(_) => Exchange::failed(AttemptOutcome::ConnectFailed),
    }
}

/// Waits for the exchange of a request whose body is still being received. The time until `deadline`
/// counts from when the last byte has arrived at this machine, whether or not it was read.
///
/// An attempt may connect until `deadline` at most: meanwhile nobody reads the body, whose last byte
/// the client may have sent before.
async fn await_streamed_exchange(
    upload: &Upload,
    deadline: Instant,
    progress: &Cell<SendProgress>,
    exchange: impl Future<Output = Exchange>,
) -> Exchange {
    let started_at = Instant::now();
    let time_limit = deadline.saturating_duration_since(started_at);
    let time_limit_reached = async {
        let arrived_at = upload.arrived().await;
        tokio::time::sleep_until(arrived_at.max(started_at) + time_limit).await;
    };
    let connecting_too_long = async {
        tokio::time::sleep_until(deadline).await;
        if progress.get() == SendProgress::Written {
            std::future::pending::<()>().await;
        }
    };
    let exchange = tokio::select! {
        biased;
        exchange = exchange => exchange,
        () = time_limit_reached => Exchange::failed(AttemptOutcome::TimedOut),
        () = connecting_too_long => Exchange::failed(AttemptOutcome::ConnectFailed),
        () = upload.stalled() => Exchange::failed(AttemptOutcome::ConnectionReset),
    };
    match exchange.outcome {
        // Without its last byte the request was not executed. If the client's body is at fault, the
        // outcome must not count against the backend.
        AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut if upload.error().is_some() => {
            Exchange::failed(AttemptOutcome::NotSent)
        }
        AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut if !upload.is_complete() => {
            Exchange {
                outcome: AttemptOutcome::ConnectFailed,
                ..exchange
            }
        }
        _ => exchange,
    }
}

fn timeout_value(remaining: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{}u", remaining.as_micros()))
        .expect("digits are valid in a header")
}
