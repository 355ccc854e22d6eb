//! Operators, who call the admin servers of nodes.

use crate::http::Connection;
use crate::invariants::ADMIN_CALL_LIMIT;
use crate::plan::BackendIndex;
use crate::proxy_node::ProxyNode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// Pause before a call that could not be made or stored is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer than it may take an answer is waited for.
const PATIENCE: Duration = Duration::from_millis(300);

/// How an admin call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// It is in force.
    Yes,
    /// Nothing has changed.
    No(u16),
    /// There was no process to answer it.
    NoProcess,
}

/// Takes a backend out of use at a node, and puts it back after this time. A call that fails is
/// made again until the time is over; the backend is put back in any case.
pub async fn maintain(node: &Rc<ProxyNode>, backend: BackendIndex, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        match call(node, &format!("/backends/s{backend}/maint")).await {
            Answer::Yes => {
                node.checker().maintenance_started(node.index, backend);
                break;
            }
            // It is not listed any more.
            Answer::No(404) => return,
            Answer::No(_) | Answer::NoProcess => sleep(RETRY_INTERVAL).await,
        }
    }
    sleep_until(until.into()).await;
    while !node.has_stopped() {
        node.checker().maintenance_ended(node.index, backend);
        match call(node, &format!("/backends/s{backend}/ready")).await {
            Answer::Yes | Answer::No(404) => return,
            // Nothing has changed: it is still out of use.
            Answer::No(_) => node.checker().maintenance_started(node.index, backend),
            Answer::NoProcess => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Makes a call, and checks the time of its answer and that a refusal has a reason.
async fn call(node: &Rc<ProxyNode>, path: &str) -> Answer {
    let generation = node.generation();
    let writes_failed_before = node.state_writes_failed();
    let began = Instant::now();
    let status = timeout(ADMIN_CALL_LIMIT + PATIENCE, answer_status(node, path)).await;
    let took = began.elapsed();
    // A process that was told to end meanwhile owes nothing more than a closed connection.
    if node.generation() != generation || node.is_ending() {
        return status.ok().flatten().map_or(Answer::NoProcess, Answer::of);
    }
    let fail = |problem: &str| node.checker().admin_call_failed(node.index, path, problem);
    let Ok(status) = status else {
        fail("no answer in time");
        return Answer::NoProcess;
    };
    let Some(status) = status else {
        return Answer::NoProcess;
    };
    if took > ADMIN_CALL_LIMIT + PATIENCE / 2 {
        fail(&format!("answered after {} ms", took.as_millis()));
    }
    let may_fail = node.state_writes_failed() > writes_failed_before;
    if !matches!(status, 200 | 404) && !may_fail {
        fail(&format!("{status} although its state can be stored"));
    }
    Answer::of(status)
}

impl Answer {
    fn of(status: u16) -> Self {
        if status == 200 {
            Answer::Yes
        } else {
            Answer::No(status)
        }
    }
}

/// The status of the answer; `None` where there is no process or it ends first.
async fn answer_status(node: &ProxyNode, path: &str) -> Option<u16> {
    let socket = TcpStream::connect(node.admin_address()).await.ok()?;
    let mut connection = Connection::new(socket);
    let request = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    connection.write(request.as_bytes()).await.ok()?;
    connection.read().await.ok()?.status()
}
