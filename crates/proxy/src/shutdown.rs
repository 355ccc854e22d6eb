//! The phases of a process from serving to its end, and the graceful shutdown.

use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// How long connections are still accepted after a termination signal, unless a peer process
/// accepts them. [`ShutdownPhase::Closing`] begins after that time in either case.
const LAST_CONNECTIONS_DURATION: Duration = Duration::from_millis(500);
/// Time after the longest deadline of a request in which its response may still be written.
const LAST_WRITES_DURATION: Duration = Duration::from_millis(100);
/// Time after that in which large messages may still be streamed.
const MAX_STREAMING_DURATION: Duration = Duration::from_secs(30);
/// Interval at which the shutdown checks whether messages are still being streamed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Phase of a process from serving to its end. Later phases compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process serves, and the node is not drained.
    Serving,
    /// An operator has drained the node: the process serves, and sends `Connection: close` so that
    /// clients go elsewhere, until the drain ends.
    Draining,
    /// A signal has started the shutdown: the process serves, and sends `Connection: close` so that
    /// clients go elsewhere.
    ShuttingDown,
    /// The same as [`ShuttingDown`](Self::ShuttingDown), except that a peer process accepts the new
    /// connections.
    HandingOver,
    /// The process stops accepting connections and finishes the requests and messages in flight.
    Closing,
}

/// The current phase, and for how long it has lasted.
#[derive(Clone, Copy, Debug)]
pub struct PhaseProgress {
    /// The current phase.
    pub current: ShutdownPhase,
    /// Time since the phase began, as far as it was noticed.
    pub age: Duration,
}

/// Owns the [`ShutdownPhase`] of the process and runs the shutdown.
pub struct ShutdownController {
    phase: watch::Sender<ShutdownPhase>,
}

impl ShutdownController {
    /// Creates a controller in [`ShutdownPhase::Serving`].
    pub fn new() -> Self {
        ShutdownController {
            phase: watch::Sender::new(ShutdownPhase::Serving),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Returns a receiver that observes the changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<ShutdownPhase> {
        self.phase.subscribe()
    }

    /// Starts or ends a drain. Has no effect once the process is shutting down.
    pub fn set_draining(&self, draining: bool) {
        let target = if draining {
            ShutdownPhase::Draining
        } else {
            ShutdownPhase::Serving
        };
        self.phase.send_if_modified(|phase| {
            let is_changed = *phase <= ShutdownPhase::Draining && *phase != target;
            if is_changed {
                *phase = target;
            }
            is_changed
        });
    }

    /// Runs the graceful shutdown to its end: connections are accepted for
    /// [`LAST_CONNECTIONS_DURATION`], unless a peer process accepts them, and then requests and
    /// messages in flight are finished.
    ///
    /// `handing_over` is whether a peer process accepts the connections. `longest_deadline` is the
    /// longest of any request. `server` is the task that accepts connections and ends with the last
    /// of them. `is_busy` returns whether a request or a message is still in flight.
    pub async fn run(
        &self,
        handing_over: bool,
        longest_deadline: Duration,
        mut server: JoinHandle<()>,
        is_busy: impl Fn() -> bool,
    ) {
        self.phase.send_replace(if handing_over {
            ShutdownPhase::HandingOver
        } else {
            ShutdownPhase::ShuttingDown
        });
        sleep(LAST_CONNECTIONS_DURATION).await;
        self.phase.send_replace(ShutdownPhase::Closing);
        // The request accepted last must be answered within the longest deadline. Large messages
        // take as long as their peers need.
        let within_deadline = timeout(longest_deadline + LAST_WRITES_DURATION, &mut server).await;
        if within_deadline.is_ok() {
            return;
        }
        let streaming_deadline = Instant::now() + MAX_STREAMING_DURATION;
        while is_busy() && Instant::now() < streaming_deadline && !server.is_finished() {
            sleep(POLL_INTERVAL).await;
        }
    }
}
