//! One attempt of a request: starts it, passes on its response, and records how it ended.

use crate::http1::download::StreamOutcome;
use crate::http1::upload::RequestBody;
use crate::send_invariants::{BackendKeyScopes, Execution, PriorAttempt};
use crate::upstream::backend::Backend;
use crate::upstream::exchange::{AttemptConstraints, SendProgress, UpstreamClient};
use crate::upstream::response::{Exchange, ExchangeError, ExchangeResponse, ResponseBody};
use balancer::{AttemptOutcome, BackendId, LoadReport, RequestId};
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// Identifies one attempt of a request in progress.
#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Position among the request's attempts, counted from 0 in the order of their start.
    pub index: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Result of the attempt, as reported to the balancer.
    pub outcome: AttemptOutcome,
    /// Time from the attempt's start to its end, counted from the request's last byte if that came
    /// later. For attempts stopped by [`Attempt::cancel`] or [`Attempt::revoke_unsent`] it always
    /// counts from the start; for attempts that were never started it is zero.
    pub latency: Duration,
    /// Load report that the backend sent with its response, if any.
    pub load_report: Option<LoadReport>,
}

impl AttemptEnd {
    fn without_report(outcome: AttemptOutcome, latency: Duration) -> Self {
        AttemptEnd {
            outcome,
            latency,
            load_report: None,
        }
    }
}

/// Whether an attempt is still running.
pub enum AttemptState {
    /// The attempt's task is running.
    InFlight {
        /// Handle to abort the task that runs the attempt.
        task: AbortHandle,
        /// Whether the request has been written, shared with the task. Setting it to
        /// [`SendProgress::Revoked`] prevents the write.
        progress: Rc<Cell<SendProgress>>,
    },
    /// The attempt has ended, and the event for the balancer has been handled or queued.
    Ended(AttemptEnd),
}

/// One attempt of a request.
pub struct Attempt {
    /// Backend that the attempt is sent to.
    pub backend: BackendId,
    /// Key scopes of the backend when the attempt started; the default value if it never started.
    pub key_scopes: BackendKeyScopes,
    /// When the balancer requested the attempt.
    pub started_at: Instant,
    /// Whether the attempt is still running, and otherwise how it ended.
    pub state: AttemptState,
}

impl Attempt {
    /// Returns an attempt that was never started, and its end. An invariant, a closed request or a
    /// backend that is no longer listed prevents the start.
    pub fn not_sent(backend: BackendId, started_at: Instant) -> (Self, AttemptEnd) {
        let end = AttemptEnd::without_report(AttemptOutcome::NotSent, Duration::ZERO);
        let attempt = Attempt {
            backend,
            key_scopes: BackendKeyScopes::default(),
            started_at,
            state: AttemptState::Ended(end),
        };
        (attempt, end)
    }

    /// Spawns the task of an attempt on the current thread's local task set.
    pub fn spawn<O: AttemptObserver + 'static>(task: AttemptTask<O>, started_at: Instant) -> Self {
        let backend = task.backend.id();
        let key_scopes = task.backend.key_scopes();
        let progress = task.constraints.progress.clone();
        Attempt {
            backend,
            key_scopes,
            started_at,
            state: AttemptState::InFlight {
                task: spawn_local(task.run()).abort_handle(),
                progress,
            },
        }
    }

    /// Whether the attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight { .. })
    }

    /// Returns how the attempt ended, or `None` while it is in flight.
    pub fn end(&self) -> Option<&AttemptEnd> {
        match &self.state {
            AttemptState::InFlight { .. } => None,
            AttemptState::Ended(end) => Some(end),
        }
    }

    /// Returns what the check of a later attempt needs to know about this one.
    pub fn to_prior_attempt(&self) -> PriorAttempt {
        let execution = match self.end() {
            None => Execution::InFlight,
            Some(end) if end.outcome.never_executed() => Execution::Never,
            Some(_) => Execution::Possible,
        };
        PriorAttempt {
            backend: self.key_scopes,
            execution,
        }
    }

    /// Stops an attempt in flight and closes its connection. Returns `None` if the attempt has
    /// already ended.
    pub fn cancel(&mut self) -> Option<AttemptEnd> {
        let AttemptState::InFlight { task, .. } = &self.state else {
            return None;
        };
        task.abort();
        let latency = self.started_at.elapsed();
        let end = AttemptEnd::without_report(AttemptOutcome::Cancelled, latency);
        self.state = AttemptState::Ended(end);
        Some(end)
    }

    /// Stops an attempt in flight of which nothing has been written; its outcome is
    /// [`AttemptOutcome::NotSent`]. Returns `None` for any other attempt.
    pub fn revoke_unsent(&mut self) -> Option<AttemptEnd> {
        let AttemptState::InFlight { task, progress } = &self.state else {
            return None;
        };
        if progress.get() != SendProgress::NotWritten {
            return None;
        }
        // The task ends only when the runtime next polls it. The revoked state prevents a write in
        // the meantime.
        progress.set(SendProgress::Revoked);
        task.abort();
        let latency = self.started_at.elapsed();
        let end = AttemptEnd::without_report(AttemptOutcome::NotSent, latency);
        self.state = AttemptState::Ended(end);
        Some(end)
    }
}

/// The result of an attempt whose task has run to its end.
pub struct FinishedAttempt {
    /// Result of the attempt, including the end of a streamed response.
    pub outcome: AttemptOutcome,
    /// Load report that the backend sent with its response, if any.
    pub load_report: Option<LoadReport>,
    /// Complete response for the client; `None` if the attempt failed or its response was streamed.
    pub response: Option<Response<ResponseBody>>,
    /// Cause of the failure, where it is known.
    pub error: Option<ExchangeError>,
}

/// Receives the streamed responses and the results of attempts.
pub trait AttemptObserver {
    /// Takes over a response whose body is still being received. Returns `false` if the response is
    /// no longer wanted, because the request is closed or the attempt has ended.
    fn response_started(&self, attempt: AttemptId, response: Response<ResponseBody>) -> bool;

    /// Takes the result of an attempt that has ended.
    fn attempt_finished(&self, attempt: AttemptId, finished: FinishedAttempt);
}

/// Everything that one attempt needs to run.
pub struct AttemptTask<O> {
    /// Id under which the attempt is reported to the observer.
    pub id: AttemptId,
    /// Backend that the attempt is sent to.
    pub backend: Rc<Backend>,
    /// Request to send.
    pub request: Request<RequestBody>,
    /// Limits on when the request may be sent.
    pub constraints: AttemptConstraints,
    /// Client that sends the request.
    pub client: Rc<UpstreamClient>,
    /// Receives the response and the result, unless it has been dropped by then.
    pub observer: Weak<O>,
}

impl<O: AttemptObserver> AttemptTask<O> {
    /// Runs the attempt to its end, reports the result to the observer, and then releases the
    /// connection for reuse.
    ///
    /// # Cancellation
    ///
    /// Dropping the future closes the connection. The observer is not notified.
    pub async fn run(self) {
        let AttemptTask {
            id,
            backend,
            request,
            constraints,
            client,
            observer,
        } = self;
        let mut exchange = client.send_attempt(&backend, request, constraints).await;
        let response = match exchange.response.take() {
            Some(ExchangeResponse::Complete(response)) => Some(response),
            Some(ExchangeResponse::Streaming { response, body_end }) => {
                let is_accepted = observer
                    .upgrade()
                    .is_some_and(|observer| observer.response_started(id, response));
                let stream_end = await_stream_end(is_accepted, body_end).await;
                let is_complete = matches!(stream_end, Some(StreamOutcome::Complete));
                if is_accepted && !is_complete {
                    client.metrics().count(|c| c.stream_aborted += 1);
                }
                apply_stream_end(&mut exchange, stream_end);
                None
            }
            None => None,
        };
        let connection = exchange.connection.take();
        if let Some(observer) = observer.upgrade() {
            let finished = FinishedAttempt {
                outcome: exchange.outcome,
                load_report: exchange.load_report,
                response,
                error: exchange.error,
            };
            observer.attempt_finished(id, finished);
        }
        if let Some(connection) = connection {
            client.pool().release(&backend, connection).await;
        }
    }
}

/// Waits for the end of a streamed response. Returns `None` if the response was not accepted, or if
/// the client disconnected before its end.
async fn await_stream_end(
    is_accepted: bool,
    body_end: oneshot::Receiver<StreamOutcome>,
) -> Option<StreamOutcome> {
    if is_accepted {
        body_end.await.ok()
    } else {
        None
    }
}

/// Updates the outcome of an exchange with the end of its streamed response: a failed response
/// counts as [`AttemptOutcome::ConnectionReset`], one that the client did not read to the end as
/// [`AttemptOutcome::Cancelled`]. In both cases the connection cannot be reused.
fn apply_stream_end(exchange: &mut Exchange, stream_end: Option<StreamOutcome>) {
    match stream_end {
        Some(StreamOutcome::Complete) => return,
        Some(StreamOutcome::Failed(reason)) => {
            exchange.outcome = AttemptOutcome::ConnectionReset;
            exchange.error = Some(ExchangeError::ResponseBody(reason));
        }
        None => exchange.outcome = AttemptOutcome::Cancelled,
    }
    exchange.connection = None;
}
