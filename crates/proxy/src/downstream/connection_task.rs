//! The task that serves one client connection: runs hyper's HTTP/1 server on it, and closes it when
//! its state asks for that.

use crate::downstream::connection::REJECTED_METHOD;
use crate::downstream::connection_state::ConnectionState;
use crate::downstream::connection_table::OpenConnection;
use crate::downstream::lingering_close::linger;
use crate::downstream::request_handler::{is_health_check, RequestHandler};
use crate::downstream::request_head::{stated_timeout, RequestError};
use crate::downstream::responses::{rejection, rejection_reason, set_connection_close, ClientBody};
use crate::http1::head_filter::HeadFilter;
use crate::metrics::Metrics;
use crate::send_invariants::Invariant;
use crate::shutdown::ShutdownPhase;
use crate::upstream::MAX_WRITE_BUFFER_BYTES;
use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// How long a closing connection has for the output that is still to be written. The time starts
/// anew if a response is still owed at its end.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a surplus connection lingers: others wait for its slot to be told that there is no room.
const SURPLUS_LINGER_TIMEOUT: Duration = Duration::from_millis(50);

/// A request on a surplus connection waits for a place for its time divided by this, then is refused.
const SURPLUS_WAIT_DIVISOR: u32 = 4;

/// Serves one client connection, from its accept until it ends.
pub struct ConnectionTask {
    open_connection: OpenConnection,
    handler: Rc<RequestHandler>,
    phase: watch::Receiver<ShutdownPhase>,
    metrics: Rc<Metrics>,
}

impl ConnectionTask {
    /// Creates the task of an accepted connection. `phase` decides whether responses ask the client
    /// to close.
    pub fn new(
        open_connection: OpenConnection,
        handler: Rc<RequestHandler>,
        phase: watch::Receiver<ShutdownPhase>,
        metrics: Rc<Metrics>,
    ) -> Self {
        ConnectionTask {
            open_connection,
            handler,
            phase,
            metrics,
        }
    }

    /// Serves the connection until the client or the node ends it.
    pub async fn run(self) {
        let connection = self.open_connection.connection();
        // Boxed, so that a connection holds no memory for a request while it has none.
        let service = service_fn(|request| {
            Box::pin(async {
                let response = self.respond(request).await;
                Ok::<_, Infallible>(response)
            })
        });
        // The listener checks the timeouts of all connections at intervals, so hyper needs no timer
        // for each.
        let http = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_WRITE_BUFFER_BYTES)
            .serve_connection(
                TokioIo::new(HeadFilter::new(
                    connection.socket().clone(),
                    connection.clone(),
                )),
                service,
            );
        let mut http = std::pin::pin!(http);
        loop {
            tokio::select! {
                biased;
                // The error is dropped: the client has disconnected or does not speak HTTP, or a
                // streamed response ended early, which its `StreamOutcome` reports.
                _ = http.as_mut() => break,
                () = connection.state_changed() => {}
            }
            match connection.state() {
                ConnectionState::ClientDisconnected { .. } => return,
                ConnectionState::Closing { .. } if connection.resume_if_readable() => {
                    self.metrics
                        .invariants
                        .prevented(Invariant::ConnectionClose);
                }
                ConnectionState::Closing { .. } => {
                    http.as_mut().graceful_shutdown();
                    // A request that hyper has read since the decision to close is answered.
                    while timeout(FINAL_WRITE_TIMEOUT, http.as_mut()).await.is_err()
                        && connection.state().owes_response()
                    {}
                    break;
                }
                _ => {}
            }
        }
        if self.open_connection.is_surplus() {
            let _ = timeout(SURPLUS_LINGER_TIMEOUT, linger(connection)).await;
        } else {
            linger(connection).await;
        }
    }

    /// Returns the response to a request from hyper, and records both in the connection's state.
    async fn respond(&self, request: Request<Incoming>) -> Response<ClientBody> {
        let connection = self.open_connection.connection();
        let head_started_at = connection.start_request();
        let mut response = match connection.rejection() {
            Some(error) if request.method() == REJECTED_METHOD => rejection(error.into()),
            _ => self.handle(request, head_started_at).await,
        };
        let rejection = rejection_reason(&response);
        connection.set_last_request_rejected(rejection.is_some());
        if let Some(error) = rejection {
            self.metrics.count_rejected_message(error);
        }
        // A client that is asked to close its connection sends its next request to another node.
        // While slots are scarce every client is asked: many send a single request and keep their
        // connection, and no other client would get a slot until those connections may be closed.
        let is_shutting_down = *self.phase.borrow() > ShutdownPhase::Serving;
        if is_shutting_down || self.open_connection.table().slots_are_scarce() {
            self.metrics.count(|c| c.connection_close_sent += 1);
            set_connection_close(&mut response);
        }
        if response.body().is_streaming() {
            connection.start_streaming();
        }
        response.body_mut().attach(connection.clone());
        response
    }

    /// Handles a request whose head was valid. A chunked request is the last one of its connection. One
    /// on a surplus connection is refused, unless there is room for it by now.
    async fn handle(
        &self,
        request: Request<Incoming>,
        head_started_at: Instant,
    ) -> Response<ClientBody> {
        // Only hyper finds the end of a chunked body, so the head filter cannot tell where the next
        // request would begin: what follows the body is never read as a request.
        let is_last_request = request.headers().contains_key(header::TRANSFER_ENCODING);
        let connection = self.open_connection.connection();
        let is_surplus = self.open_connection.is_surplus();
        let _slot = if is_surplus && !is_health_check(&request) {
            let table = self.open_connection.table();
            let Some(slot) = table
                .slot_for_surplus_connection(surplus_wait(&request))
                .await
            else {
                if !request.body().is_end_stream() {
                    connection.set_upload_unfinished();
                }
                return rejection(RequestError::Overloaded);
            };
            Some(slot)
        } else {
            None
        };
        let mut response = self
            .handler
            .handle(request, head_started_at, connection)
            .await;
        if is_last_request || is_surplus {
            set_connection_close(&mut response);
        }
        response
    }
}

/// Returns how long a request on a surplus connection waits for a place. One that states no valid time is
/// rejected anyway.
fn surplus_wait(request: &Request<Incoming>) -> Duration {
    stated_timeout(request.headers()).unwrap_or_default() / SURPLUS_WAIT_DIVISOR
}
