//! Phases of a process from serving to its end, and the graceful shutdown.

use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// How long connections are still accepted after a signal.
const LAST_CONNECTIONS_DURATION: Duration = Duration::from_millis(500);
/// Beyond the longest deadline of a request, for its response to be written.
const LAST_WRITES_DURATION: Duration = Duration::from_millis(100);
/// Beyond that, for large messages that are still being streamed.
const MAX_STREAMING_DURATION: Duration = Duration::from_secs(30);
/// How often the shutdown checks for messages that are being streamed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Phase of a process from serving to its end. Later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process serves.
    Serving,
    /// An operator has drained the node: the process serves, and asks clients to go elsewhere until
    /// the drain ends.
    Draining,
    /// A signal has started the shutdown: the process serves, and asks clients to go elsewhere.
    ShuttingDown,
    /// The same, while a peer process accepts the connections.
    HandingOver,
    /// The process accepts no connections and finishes what it has.
    Closing,
}

/// Owner of the [`ShutdownPhase`].
pub struct ShutdownController {
    phase: watch::Sender<ShutdownPhase>,
}

impl ShutdownController {
    /// Creates a controller of a process that serves.
    pub fn new() -> Self {
        ShutdownController {
            phase: watch::Sender::new(ShutdownPhase::Serving),
        }
    }

    /// The present phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// A receiver that follows the phase.
    pub fn subscribe(&self) -> watch::Receiver<ShutdownPhase> {
        self.phase.subscribe()
    }

    /// Begins or ends a drain, unless the process is shutting down.
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

    /// Runs the graceful shutdown to its end: connections are accepted for a moment, unless a peer
    /// process accepts them, and then requests and messages in flight are finished.
    ///
    /// `longest_deadline` is that of any request, `server` the task that accepts connections and ends
    /// with the last of them. `is_busy` returns whether a request or a message is still in flight.
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
        // The request that was accepted last is due within the longest deadline. Large messages take
        // the time that their peers need.
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
