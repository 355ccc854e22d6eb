//! Ends the processes of a node: by SIGTERM, and by SIGKILL if they outlive the shutdown timeout.

use super::open_connections::client_ports;
use super::{ProxyNode, POLL_INTERVAL, READY_TIMEOUT, SIGNAL_INTERVAL};
use crate::plan::Scenario;
use std::cell::RefCell;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Clients open connections for this long after SIGTERM, as if a load balancer noticed it late.
const TRAFFIC_STOP_DELAY: Duration = Duration::from_millis(300);
/// Least time from SIGTERM to SIGKILL, beyond the longest deadline of any request class.
const KILL_DELAY_BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// Deadline that the shutdown timeout is computed with if all request classes have shorter ones.
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time that a process may take to exit at the end of the run, beyond the shutdown timeout.
const FINAL_STOP_ALLOWANCE: Duration = Duration::from_secs(1);

impl ProxyNode {
    /// Sends SIGKILL to a process that has outlived the shutdown timeout. What its clients have not
    /// received by then is excused.
    pub(super) async fn kill_outliving(&self, process: &RefCell<Option<Child>>) {
        let id = process.borrow().as_ref().and_then(Child::id);
        if let Some(id) = id {
            let address = self.address;
            // Reading the operating system's tables takes long where there are many connections.
            let ports = spawn_blocking(move || client_ports(id, address)).await;
            let ports = ports.unwrap_or_default();
            self.ports_open_at_kill.borrow_mut().extend(ports);
        }
        send_signal(process.borrow().as_ref(), libc::SIGKILL);
    }

    /// Whether SIGKILL ended a client's connection because its process had outlived the shutdown
    /// timeout. `socket` is the client's side of the connection.
    pub fn cut_off_by_kill(&self, socket: &TcpStream) -> bool {
        let ports = self.ports_open_at_kill.borrow();
        socket
            .local_addr()
            .is_ok_and(|address| ports.contains(&address.port()))
    }

    /// Sends SIGTERM. In plans with operations, SIGHUP and another SIGTERM follow at intervals.
    async fn terminate(&self) {
        self.signal(libc::SIGTERM);
        if self.cluster.plan.scenario == Scenario::Operations {
            for signal in [libc::SIGHUP, libc::SIGTERM] {
                sleep(SIGNAL_INTERVAL).await;
                self.signal(signal);
            }
        }
    }

    /// Waits until the process has exited. Returns `false` if it still runs at the deadline.
    async fn exits_by(&self, deadline: Instant) -> bool {
        while self.check_running() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Returns how long a process may take to exit after SIGTERM.
    pub(super) fn shutdown_timeout(&self) -> Duration {
        let longest_deadline = self.cluster.plan.longest_deadline();
        longest_deadline.max(MIN_LONGEST_DEADLINE) + KILL_DELAY_BEYOND_DEADLINE
    }

    /// Sends SIGTERM, also SIGKILL if the process outlives the shutdown timeout, and starts a new
    /// one afterwards. Does nothing if the current process is already ending or being replaced.
    pub async fn restart(&self) {
        if self.ending.replace(true) {
            return;
        }
        let signalled_at = Instant::now();
        self.terminate().await;
        sleep(TRAFFIC_STOP_DELAY.saturating_sub(signalled_at.elapsed())).await;
        self.receives_traffic.set(false);
        if !self.exits_by(signalled_at + self.shutdown_timeout()).await {
            self.kill_outliving(&self.process).await;
            self.exits_by(Instant::now() + READY_TIMEOUT).await;
        }
        self.start().await;
    }

    /// Sends SIGKILL, and starts a new process as soon as the old one has exited. Does nothing if
    /// the current process is already ending or being replaced.
    pub async fn kill(&self) {
        if self.ending.replace(true) {
            return;
        }
        self.killed_generation.set(self.generation.get());
        if self.listener.is_some() {
            // The inherited listener stays open: new connections would wait for the next process.
            self.receives_traffic.set(false);
        }
        self.signal(libc::SIGKILL);
        self.exits_by(Instant::now() + READY_TIMEOUT).await;
        self.receives_traffic.set(false);
        self.start().await;
    }

    /// Stops the node for good with SIGTERM, after any restart or upgrade in progress. Records a
    /// violation, and sends SIGKILL, if the process does not exit in time.
    pub async fn stop(&self) {
        let is_restarting = || self.ending.get() && !self.receives_traffic.get();
        while is_restarting() || self.retiring_process.borrow().is_some() {
            sleep(POLL_INTERVAL).await;
        }
        self.has_stopped.set(true);
        self.ending.set(true);
        self.signal(libc::SIGTERM);
        let deadline = Instant::now() + self.shutdown_timeout() + FINAL_STOP_ALLOWANCE;
        if !self.exits_by(deadline).await {
            self.record_violation("did not exit in time after SIGTERM");
            self.signal(libc::SIGKILL);
        }
    }
}

/// Sends a signal to a process. Does nothing if there is none, or if it was already waited for.
pub(super) fn send_signal(process: Option<&Child>, signal: i32) {
    let Some(pid) = process
        .and_then(Child::id)
        .and_then(|id| i32::try_from(id).ok())
    else {
        return;
    };
    // SAFETY: The process is a child that was not waited for yet, so its id was not reused.
    #[expect(unsafe_code, reason = "signals a process by its number")]
    unsafe {
        libc::kill(pid, signal);
    }
}
