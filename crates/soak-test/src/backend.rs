//! Backends: each works on its requests with a few cores and treats them by its behavior.

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

/// Largest number of requests in flight at a backend, which rejects any beyond.
const MAX_IN_FLIGHT: usize = 40;
/// A backend that closes its connections unannounced does so this long after a response.
const UNANNOUNCED_CLOSE_DELAY: Duration = Duration::from_millis(30);

/// A backend that rejects late does so this long after the request.
const LATE_REJECTION_DELAY: Duration = Duration::from_millis(300);

const REJECTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const SERVER_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection is good for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Continue,
    Close,
}

/// Serves a backend's connections for good.
pub async fn serve(cluster: Rc<TestCluster>, backend: BackendIndex, listener: TcpListener) {
    let cores = Rc::new(Semaphore::new(CORES_PER_BACKEND));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let handler = Handler {
            cluster: cluster.clone(),
            backend,
            cores: cores.clone(),
        };
        spawn_local(handler.serve_until_restart(Connection::new(socket)));
    }
}

/// Serves one connection of a backend.
struct Handler {
    cluster: Rc<TestCluster>,
    backend: BackendIndex,
    cores: Rc<Semaphore>,
}

impl Handler {
    async fn serve_until_restart(self, connection: Connection) {
        let mut starts = self.cluster.backends[self.backend.0].starts.subscribe();
        starts.mark_unchanged();
        let socket = connection.socket.clone();
        tokio::select! {
            () = self.serve_requests(connection) => {}
            _ = starts.changed() => drop(socket.set_zero_linger()),
        }
    }

    async fn serve_requests(&self, mut connection: Connection) {
        while let Ok(request) = connection.read().await {
            if self.serve(&connection, &request).await == ConnectionUse::Close {
                return;
            }
        }
    }

    async fn serve(&self, connection: &Connection, request: &Message) -> ConnectionUse {
        let request_id = request.header("x-request-id").unwrap_or_default();
        let arrival = AttemptArrival {
            backend: self.backend,
            first_byte: request.first_byte,
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
            return respond(connection, REJECTED).await;
        }
        if behavior == BackendBehavior::RejectLate {
            tokio::time::sleep(LATE_REJECTION_DELAY).await;
            self.attempt_ended(&attempt, Execution::Never);
            return respond(connection, REJECTED).await;
        }
        self.check_body(request_id, &request.body);
        let response_bytes = message_body::requested_bytes(&request.start_line);
        self.execute().await;
        match behavior {
            BackendBehavior::Hang => std::future::pending().await,
            BackendBehavior::Reset => {
                connection.reset();
                ConnectionUse::Close
            }
            BackendBehavior::PartialResponse => {
                let _ = connection.write(b"HTTP/1.1 200 OK\r\nContent-Le").await;
                connection.reset();
                ConnectionUse::Close
            }
            BackendBehavior::Garbage => {
                let _ = connection.write(b"what is this\r\n\r\n").await;
                ConnectionUse::Close
            }
            BackendBehavior::ServerError => {
                self.attempt_ended(&attempt, Execution::Possible);
                respond(connection, SERVER_ERROR).await
            }
            BackendBehavior::Normal | BackendBehavior::Reject | BackendBehavior::RejectLate => {
                self.succeed(connection, &attempt, response_bytes).await
            }
            BackendBehavior::CloseAfterResponse => {
                self.succeed(connection, &attempt, response_bytes).await;
                tokio::time::sleep(UNANNOUNCED_CLOSE_DELAY).await;
                ConnectionUse::Close
            }
        }
    }

    fn check_body(&self, request_id: &str, body: &[u8]) {
        if !message_body::is_intact(body) {
            let backend = self.backend;
            let problem = format!("backend {backend} got an altered body of {request_id}");
            let mut checker = self.cluster.checker();
            checker.violated(Invariant::NoInventedMessage, problem);
        }
    }

    /// Waits for a core and works on it.
    async fn execute(&self) {
        let backend = &self.cluster.backends[self.backend.0];
        let start = *backend.starts.borrow();
        backend.in_flight.set(backend.in_flight.get() + 1);
        let core = self.cores.acquire().await;
        tokio::time::sleep(self.cluster.plan.service_time).await;
        drop(core);
        // A restart has forgotten the requests before it.
        if *backend.starts.borrow() == start {
            backend.in_flight.set(backend.in_flight.get() - 1);
        }
    }

    /// Responds with a body of at least this many bytes.
    async fn succeed(
        &self,
        connection: &Connection,
        attempt: &AttemptId,
        response_bytes: usize,
    ) -> ConnectionUse {
        self.attempt_ended(attempt, Execution::Possible);
        let mut body = format!("{} of backend {}", attempt.request, self.backend);
        message_body::fill(&mut body, response_bytes);
        let load_report = self.load_report_header();
        let response = format!(
            "HTTP/1.1 200 OK\r\n{load_report}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        respond(connection, &response).await
    }

    fn load_report_header(&self) -> String {
        if !self.cluster.plan.load_reports {
            return String::new();
        }
        let in_flight = self.cluster.backends[self.backend.0].in_flight.get();
        let utilization = (in_flight as f64 / CORES_PER_BACKEND as f64).min(1.0);
        let queue_depth = in_flight.saturating_sub(CORES_PER_BACKEND);
        format!("X-Server-Load: {{\"utilization\":{utilization:.2},\"backlog\":{queue_depth}}}\r\n")
    }

    fn attempt_ended(&self, attempt: &AttemptId, execution: Execution) {
        self.cluster.checker().attempt_ended(attempt, execution);
    }
}

async fn respond(connection: &Connection, response: &str) -> ConnectionUse {
    match connection.write(response.as_bytes()).await {
        Ok(()) => ConnectionUse::Continue,
        Err(_) => ConnectionUse::Close,
    }
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    match unit {
        "m" => Some(Duration::from_millis(number.parse().ok()?)),
        "u" => Some(Duration::from_micros(number.parse().ok()?)),
        _ => None,
    }
}
