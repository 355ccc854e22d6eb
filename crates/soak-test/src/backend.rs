//! Simulated backends. Each executes requests on a few simulated cores, and responds to them by its
//! current [`BackendBehavior`].

use crate::cluster::TestCluster;
use crate::http::{Connection, Message};
use crate::invariants::{AttemptArrival, AttemptId, Execution, Invariant};
use crate::message_body;
use crate::plan::{BackendBehavior, BackendIndex, CORES_PER_BACKEND};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// Largest number of requests in flight at a backend; further requests are rejected.
const MAX_IN_FLIGHT: usize = 40;
/// Time from a response until a backend that closes connections without notice does so.
const UNANNOUNCED_CLOSE_DELAY: Duration = Duration::from_millis(30);

/// Time from a request until a backend that rejects late responds.
const LATE_REJECTION_DELAY: Duration = Duration::from_millis(300);

/// Response that rejects a request, with a promise that it has not been executed.
const REJECTION_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
/// Response of a backend that fails requests; the request may have been executed.
const SERVER_ERROR_RESPONSE: &str =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection stays open for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Continue,
    Close,
}

/// Accepts and serves the connections of a backend. Never returns; must be called within a
/// `LocalSet`.
pub async fn serve(cluster: Rc<TestCluster>, backend: BackendIndex, listener: TcpListener) {
    let cores = Rc::new(Semaphore::new(CORES_PER_BACKEND));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let handler = ConnectionHandler {
            cluster: cluster.clone(),
            backend,
            cores: cores.clone(),
        };
        spawn_local(handler.serve_until_restart(Connection::new(socket)));
    }
}

/// Serves one connection of a backend.
struct ConnectionHandler {
    cluster: Rc<TestCluster>,
    backend: BackendIndex,
    /// The backend's free cores, shared by all of its connections.
    cores: Rc<Semaphore>,
}

impl ConnectionHandler {
    /// Serves requests until the connection ends. If the backend restarts first, the connection is
    /// reset.
    async fn serve_until_restart(self, connection: Connection) {
        let mut restart_count = self.cluster.backends[self.backend.0]
            .restart_count
            .subscribe();
        restart_count.mark_unchanged();
        let socket = connection.socket.clone();
        tokio::select! {
            () = self.serve_requests(connection) => {}
            _ = restart_count.changed() => drop(socket.set_zero_linger()),
        }
    }

    /// Serves requests, one after another, until the connection ends.
    async fn serve_requests(&self, mut connection: Connection) {
        while let Ok(request) = connection.read().await {
            if self.serve(&connection, &request).await == ConnectionUse::Close {
                return;
            }
        }
    }

    /// Reports an attempt's arrival to the checker, and responds to it by the backend's behavior at
    /// that time. Closes the connection if no client has sent the request.
    async fn serve(&self, connection: &Connection, request: &Message) -> ConnectionUse {
        let request_id = request.header("x-request-id").unwrap_or_default();
        let arrival = AttemptArrival {
            backend: self.backend,
            first_byte_at: request.first_byte_at,
            timeout: request.header("x-timeout").and_then(parse_timeout),
            socket: Rc::downgrade(&connection.socket),
        };
        let Some(attempt) = self.cluster.checker().attempt_arrived(request_id, arrival) else {
            return ConnectionUse::Close;
        };
        let backend = &self.cluster.backends[self.backend.0];
        let behavior = backend.behavior.get();
        if behavior == BackendBehavior::Reject || backend.in_flight.get() >= MAX_IN_FLIGHT {
            self.attempt_ended(&attempt, Execution::Never);
            return respond(connection, REJECTION_RESPONSE).await;
        }
        if behavior == BackendBehavior::RejectLate {
            tokio::time::sleep(LATE_REJECTION_DELAY).await;
            self.attempt_ended(&attempt, Execution::Never);
            return respond(connection, REJECTION_RESPONSE).await;
        }
        self.check_body(request_id, &request.body);
        let response_bytes = message_body::requested_bytes(&request.start_line);
        self.execute().await;
        match behavior {
            BackendBehavior::Hang => std::future::pending().await,
            BackendBehavior::Reset => {
                connection.reset_on_close();
                ConnectionUse::Close
            }
            BackendBehavior::PartialResponse => {
                let _ = connection.write(b"HTTP/1.1 200 OK\r\nContent-Le").await;
                connection.reset_on_close();
                ConnectionUse::Close
            }
            BackendBehavior::Garbage => {
                let _ = connection.write(b"what is this\r\n\r\n").await;
                ConnectionUse::Close
            }
            BackendBehavior::ServerError => {
                self.attempt_ended(&attempt, Execution::Possible);
                respond(connection, SERVER_ERROR_RESPONSE).await
            }
            BackendBehavior::Normal | BackendBehavior::Reject | BackendBehavior::RejectLate => {
                self.respond_with_success(connection, &attempt, response_bytes)
                    .await
            }
            BackendBehavior::CloseAfterResponse => {
                self.respond_with_success(connection, &attempt, response_bytes)
                    .await;
                tokio::time::sleep(UNANNOUNCED_CLOSE_DELAY).await;
                ConnectionUse::Close
            }
        }
    }

    /// Records a violation of [`Invariant::NoInventedMessage`] if a request's body was altered.
    fn check_body(&self, request_id: &str, body: &[u8]) {
        if !message_body::is_intact(body) {
            let backend = self.backend;
            let problem =
                format!("backend {backend} received an altered body of request {request_id}");
            let mut checker = self.cluster.checker();
            checker.record_violation(Invariant::NoInventedMessage, problem);
        }
    }

    /// Executes a request: waits for a free core and occupies it for the plan's service time.
    async fn execute(&self) {
        let backend = &self.cluster.backends[self.backend.0];
        let restart_count_before = *backend.restart_count.borrow();
        backend.in_flight.set(backend.in_flight.get() + 1);
        let core = self.cores.acquire().await;
        tokio::time::sleep(self.cluster.plan.service_time).await;
        drop(core);
        // A restart has reset the count: it no longer includes this request.
        if *backend.restart_count.borrow() == restart_count_before {
            backend.in_flight.set(backend.in_flight.get() - 1);
        }
    }

    /// Responds with status 200 and a body of at least `response_bytes` bytes that names the
    /// request.
    async fn respond_with_success(
        &self,
        connection: &Connection,
        attempt: &AttemptId,
        response_bytes: usize,
    ) -> ConnectionUse {
        self.attempt_ended(attempt, Execution::Possible);
        let mut body = format!("{} of backend {}", attempt.request, self.backend);
        message_body::pad(&mut body, response_bytes);
        let load_report = self.load_report_header();
        let response = format!(
            "HTTP/1.1 200 OK\r\n{load_report}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        respond(connection, &response).await
    }

    /// Returns the `X-Server-Load` header line with the backend's current load, or an empty string
    /// if the plan's backends send no load reports.
    fn load_report_header(&self) -> String {
        if !self.cluster.plan.load_reports {
            return String::new();
        }
        let in_flight = self.cluster.backends[self.backend.0].in_flight.get();
        let utilization = (in_flight as f64 / CORES_PER_BACKEND as f64).min(1.0);
        let queue_depth = in_flight.saturating_sub(CORES_PER_BACKEND);
        format!("X-Server-Load: {{\"utilization\":{utilization:.2},\"backlog\":{queue_depth}}}\r\n")
    }

    /// Tells the checker that an attempt has ended at this backend.
    fn attempt_ended(&self, attempt: &AttemptId, execution: Execution) {
        self.cluster.checker().attempt_ended(attempt, execution);
    }
}

/// Writes a response. Returns whether the connection can be used for another request.
async fn respond(connection: &Connection, response: &str) -> ConnectionUse {
    match connection.write(response.as_bytes()).await {
        Ok(()) => ConnectionUse::Continue,
        Err(_) => ConnectionUse::Close,
    }
}

/// Parses an `X-Timeout` value: a number and a unit, `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    match unit {
        "m" => Some(Duration::from_millis(number.parse().ok()?)),
        "u" => Some(Duration::from_micros(number.parse().ok()?)),
        _ => None,
    }
}
