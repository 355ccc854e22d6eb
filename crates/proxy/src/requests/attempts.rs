//! The life of one attempt: from its start, over the forwarding of its response, to its end.

use crate::http1::download::StreamOutcome;
use crate::http1::upload::RequestBody;
use crate::send_invariants::{BackendIdentity, Execution, PriorAttempt};
use crate::upstream::backend::Backend;
use crate::upstream::exchange::{AttemptTerms, SendProgress, UpstreamClient};
use crate::upstream::response::{Exchange, ExchangeError, ExchangeResponse, ResponseBody};
use balancer::{AttemptOutcome, BackendId, LoadReport, RequestId};
use hyper::{Request, Response};
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// Names one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its position among the request's attempts.
    pub index: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Time since it started, or since the request's last byte.
    pub latency: Duration,
    /// The backend's load report, if one came along.
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

/// How far an attempt has come.
pub enum AttemptState {
    /// Its task is running.
    InFlight {
        /// Runs the attempt.
        task: AbortHandle,
        /// Shared with the task.
        progress: Rc<Cell<SendProgress>>,
    },
    /// It has ended, and the event for the balancer is handled or queued.
    Ended(AttemptEnd),
}

/// One attempt of a request.
pub struct Attempt {
    /// Where it goes.
    pub backend: BackendId,
    /// The backend's key scopes at the start.
    pub identity: BackendIdentity,
    /// When the balancer asked for it.
    pub started_at: Instant,
    /// How far it has come.
    pub state: AttemptState,
}

impl Attempt {
    /// An attempt that invariants or a closed request have kept from starting.
    pub fn not_sent(backend: BackendId, started_at: Instant) -> (Self, AttemptEnd) {
        let end = AttemptEnd::without_report(AttemptOutcome::NotSent, Duration::ZERO);
        let attempt = Attempt {
            backend,
            identity: BackendIdentity::default(),
            started_at,
            state: AttemptState::Ended(end),
        };
        (attempt, end)
    }

    /// Starts an attempt's task.
    pub fn spawn<O: AttemptObserver + 'static>(task: AttemptTask<O>, started_at: Instant) -> Self {
        let backend = task.backend.id();
        let identity = task.backend.identity();
        let progress = task.terms.progress.clone();
        Attempt {
            backend,
            identity,
            started_at,
            state: AttemptState::InFlight {
                task: spawn_local(task.run()).abort_handle(),
                progress,
            },
        }
    }

    /// Whether it has not ended.
    pub fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight { .. })
    }

    /// How it ended, if it has.
    pub fn end(&self) -> Option<&AttemptEnd> {
        match &self.state {
            AttemptState::InFlight { .. } => None,
            AttemptState::Ended(end) => Some(end),
        }
    }

    /// What the invariants have to know of it.
    pub fn as_prior(&self) -> PriorAttempt {
        let execution = match self.end() {
            None => Execution::InFlight,
            Some(end) if end.outcome.never_executed() => Execution::Never,
            Some(_) => Execution::Possible,
        };
        PriorAttempt {
            backend: self.identity,
            execution,
        }
    }

    /// Stops an attempt in flight; its connection is closed. Returns `None` if it had ended already.
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

    /// Stops an attempt of which nothing has been written. Returns `None` for any other.
    pub fn revoke_unsent(&mut self) -> Option<AttemptEnd> {
        let AttemptState::InFlight { task, progress } = &self.state else {
            return None;
        };
        if progress.get() != SendProgress::NotWritten {
            return None;
        }
        // The task ends when the runtime polls it next: nothing may be written until then.
        progress.set(SendProgress::Revoked);
        task.abort();
        let latency = self.started_at.elapsed();
        let end = AttemptEnd::without_report(AttemptOutcome::NotSent, latency);
        self.state = AttemptState::Ended(end);
        Some(end)
    }
}

/// The result of an attempt whose response has been read or forwarded.
pub struct FinishedAttempt {
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// The backend's load report, if one came along.
    pub load_report: Option<LoadReport>,
    /// The complete response, if it was not streamed.
    pub response: Option<Response<ResponseBody>>,
    /// What was wrong, where that is known.
    pub error: Option<ExchangeError>,
}

/// Receives what becomes of attempts.
pub trait AttemptObserver {
    /// A response has begun that has to be streamed. Returns whether its client takes it.
    fn response_started(&self, attempt: AttemptId, response: Response<ResponseBody>) -> bool;

    /// An attempt has ended.
    fn attempt_finished(&self, attempt: AttemptId, finished: FinishedAttempt);
}

/// What one attempt needs to run.
pub struct AttemptTask<O> {
    /// Its id.
    pub id: AttemptId,
    /// Where it goes.
    pub backend: Rc<Backend>,
    /// What it sends.
    pub request: Request<RequestBody>,
    /// When it may be sent.
    pub terms: AttemptTerms,
    /// Sends it.
    pub client: Rc<UpstreamClient>,
    /// Receives the result, if it still exists.
    pub observer: Weak<O>,
}

impl<O: AttemptObserver> AttemptTask<O> {
    /// Runs the attempt to its end, then releases its connection for reuse.
    ///
    /// # Cancellation
    ///
    /// Dropping the future closes the connection, and the observer receives nothing.
    pub async fn run(self) {
        let AttemptTask {
            id,
            backend,
            request,
            terms,
            client,
            observer,
        } = self;
        let mut exchange = client.send_attempt(&backend, request, terms).await;
        let response = match exchange.response.take() {
            Some(ExchangeResponse::Complete(response)) => Some(response),
            Some(ExchangeResponse::Streaming { response, body_end }) => {
                let has_started = observer
                    .upgrade()
                    .is_some_and(|observer| observer.response_started(id, response));
                let stream_end = await_stream_end(has_started, body_end).await;
                let is_complete = matches!(stream_end, Some(StreamOutcome::Complete));
                if has_started && !is_complete {
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

/// Waits for the end of a streamed response. Returns `None` if the client does not take all of it.
async fn await_stream_end(
    has_started: bool,
    body_end: oneshot::Receiver<StreamOutcome>,
) -> Option<StreamOutcome> {
    if has_started {
        body_end.await.ok()
    } else {
        None
    }
}

/// Changes the exchange's result if its response was not streamed to the end.
fn apply_stream_end(exchange: &mut Exchange, stream_end: Option<StreamOutcome>) {
    match stream_end {
        Some(StreamOutcome::Complete) => return,
        Some(StreamOutcome::Broken(reason)) => {
            exchange.outcome = AttemptOutcome::ConnectionReset;
            exchange.error = Some(ExchangeError::ResponseBody(reason));
        }
        None => exchange.outcome = AttemptOutcome::Cancelled,
    }
    exchange.connection = None;
}
