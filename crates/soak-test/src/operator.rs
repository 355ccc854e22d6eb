//! Simulated operators, who take backends into maintenance and back through the nodes' admin
//! servers.

use crate::http::Connection;
use crate::invariants::ADMIN_CALL_LIMIT;
use crate::plan::BackendIndex;
use crate::proxy_node::ProxyNode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// Pause before an admin call is repeated that could not be made or was rejected.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time beyond [`ADMIN_CALL_LIMIT`] for which a response is awaited. A response that takes more
/// than the limit and half of this time is a violation as well.
const EXTRA_WAIT: Duration = Duration::from_millis(300);

/// Outcome of an admin call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// Status 200: the change is in force.
    Applied,
    /// This other status: nothing has changed.
    Rejected(u16),
    /// No response: there was no process, or it ended first, or it did not respond in time.
    NoProcess,
}

/// Takes a backend into maintenance at a node, and puts it back into use after `duration`. The
/// first call is repeated until it succeeds or that time is over. The second call is made either
/// way, and repeated until it succeeds or the node is stopped for good. Once the node responds that
/// it does not list the backend, no more calls are made.
pub async fn run_maintenance(node: &Rc<ProxyNode>, backend: BackendIndex, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        match call_admin_server(node, &format!("/backends/s{backend}/maint")).await {
            CallOutcome::Applied => {
                node.checker().maintenance_started(node.index, backend);
                break;
            }
            // The backend is not listed any more.
            CallOutcome::Rejected(404) => return,
            CallOutcome::Rejected(_) | CallOutcome::NoProcess => sleep(RETRY_INTERVAL).await,
        }
    }
    sleep_until(end.into()).await;
    while !node.has_stopped() {
        node.checker().maintenance_ended(node.index, backend);
        match call_admin_server(node, &format!("/backends/s{backend}/ready")).await {
            CallOutcome::Applied | CallOutcome::Rejected(404) => return,
            // Nothing has changed: the backend is still in maintenance.
            CallOutcome::Rejected(_) => node.checker().maintenance_started(node.index, backend),
            CallOutcome::NoProcess => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Makes an admin call and checks its response. Reports to the checker a response that is missing
/// or late, and a rejection, other than 404 for a backend that is not listed, without a failed
/// write of operator state. Checks nothing if the process was replaced or signalled to exit
/// meanwhile.
async fn call_admin_server(node: &Rc<ProxyNode>, path: &str) -> CallOutcome {
    let generation = node.generation();
    let writes_failed_before = node.state_writes_failed();
    let started_at = Instant::now();
    let status = timeout(ADMIN_CALL_LIMIT + EXTRA_WAIT, post(node, path)).await;
    let response_time = started_at.elapsed();
    // A process that was signalled to exit meanwhile need only close the connection.
    if node.generation() != generation || node.is_ending() {
        return status
            .ok()
            .flatten()
            .map_or(CallOutcome::NoProcess, CallOutcome::from_status);
    }
    let report_failure =
        |problem: &str| node.checker().admin_call_failed(node.index, path, problem);
    let Ok(status) = status else {
        report_failure("no response in time");
        return CallOutcome::NoProcess;
    };
    let Some(status) = status else {
        return CallOutcome::NoProcess;
    };
    if response_time > ADMIN_CALL_LIMIT + EXTRA_WAIT / 2 {
        report_failure(&format!("response took {} ms", response_time.as_millis()));
    }
    let state_write_failed = node.state_writes_failed() > writes_failed_before;
    if !matches!(status, 200 | 404) && !state_write_failed {
        report_failure(&format!(
            "rejected with status {status} although no write of operator state failed"
        ));
    }
    CallOutcome::from_status(status)
}

impl CallOutcome {
    /// Returns the outcome that a response status stands for.
    fn from_status(status: u16) -> Self {
        if status == 200 {
            CallOutcome::Applied
        } else {
            CallOutcome::Rejected(status)
        }
    }
}

/// Sends a POST request to a node's admin server and returns the response status; `None` if there
/// is no process, or if the connection ends before the response.
async fn post(node: &ProxyNode, path: &str) -> Option<u16> {
    let socket = TcpStream::connect(node.admin_address()).await.ok()?;
    let mut connection = Connection::new(socket);
    let request = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    connection.write(request.as_bytes()).await.ok()?;
    connection.read().await.ok()?.status()
}
