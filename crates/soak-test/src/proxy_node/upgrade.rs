//! Upgrades of a node: a new process takes over from the old one on the same, inherited listener.

use super::shutdown::send_signal;
use super::{ProxyNode, POLL_INTERVAL};
use crate::http::Connection;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time within which the new process must be ready after its start.
const UPGRADE_READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout of the response to a single check of whether the new process is ready.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl ProxyNode {
    /// Starts a new process beside the current one, and sends SIGTERM to the old one once the new
    /// one is ready. If the new one is not ready in time, that is recorded as a violation and the
    /// upgrade goes on. Does nothing while the node starts, is ending or is being upgraded.
    pub async fn upgrade(&self) {
        let is_starting_or_upgrading =
            self.retiring_process.borrow().is_some() || !self.receives_traffic();
        if is_starting_or_upgrading || self.ending.replace(true) {
            return;
        }
        self.checker().upgrade_started(self.index);
        let new_process = match self.spawn() {
            Ok(process) => process,
            Err(error) => {
                self.ending.set(false);
                return self.record_violation(&format!(
                    "new process of an upgrade could not be started: {error}"
                ));
            }
        };
        let old_process = self.process.replace(Some(new_process));
        *self.retiring_process.borrow_mut() = old_process;
        if timeout(UPGRADE_READY_TIMEOUT, self.wait_until_healthy())
            .await
            .is_err()
        {
            self.record_violation("the new process of an upgrade was not ready in time");
        }
        self.checker().upgrade_ready(self.index);
        self.generation.set(self.generation.get() + 1);
        self.ending.set(false);
        self.end_retiring_process().await;
    }

    async fn wait_until_healthy(&self) {
        while !self.is_healthy().await {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the admin server of the current process answers a health check with status 200 in
    /// time.
    async fn is_healthy(&self) -> bool {
        let Ok(socket) = TcpStream::connect(self.admin_address()).await else {
            return false;
        };
        let mut connection = Connection::new(socket);
        let request = b"GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n";
        let _ = connection.write(request).await;
        match timeout(HEALTH_CHECK_TIMEOUT, connection.read()).await {
            Ok(Ok(response)) => response.status() == Some(200),
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Sends SIGTERM to the old process, waits until it has exited or the shutdown timeout is over,
    /// and sends SIGKILL if it still runs then.
    async fn end_retiring_process(&self) {
        send_signal(self.retiring_process.borrow().as_ref(), libc::SIGTERM);
        let deadline = Instant::now() + self.shutdown_timeout();
        while self.retiring_process_runs() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        self.kill_outliving(&self.retiring_process).await;
        *self.retiring_process.borrow_mut() = None;
    }

    /// Whether the old process of an upgrade still runs.
    fn retiring_process_runs(&self) -> bool {
        let mut process = self.retiring_process.borrow_mut();
        process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }
}
