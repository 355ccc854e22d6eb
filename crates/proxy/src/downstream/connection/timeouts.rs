//! The timeouts of a client connection.

use super::ClientConnection;
use crate::downstream::close_reason::CloseReason;
use crate::downstream::connection_state::ConnectionState;
use crate::http1::limits::STALL_TIMEOUT;
use crate::metrics::Metrics;
use crate::shutdown::{PhaseProgress, ShutdownPhase};
use crate::socket::is_closed_by_peer;
use std::time::Duration;

/// How long a connection may wait for its first request, and how long a head may take to be
/// complete; for the first head both count from the accept. The protocol requires a response or a
/// close within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);

/// How long a connection may wait for its next request while the process is serving.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may wait for its next request at least: it is not evicted earlier, and
/// this is the idle timeout in every phase between [`ShutdownPhase::Serving`] and
/// [`ShutdownPhase::Closing`], for [`MAX_IDLE_TIME_AFTER_DRAIN`].
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// How long a drained process holds idle connections at all. The protocol requires that it holds none
/// 4 s after the drain.
const MAX_IDLE_TIME_AFTER_DRAIN: Duration = Duration::from_millis(3500);

/// Minimum age at which a connection without any request is closed in [`ShutdownPhase::Closing`]: a
/// request that the client sent right after the handshake may take that long to arrive.
const FIRST_BYTES_GRACE: Duration = Duration::from_millis(100);

impl ClientConnection {
    /// Ends what has exceeded its timeout: closes the connection, or marks its incomplete head as
    /// timed out. Also notices that a client that is owed a response has disconnected, and what the
    /// client of a lingering connection has received. `phase` shortens the timeouts; `metrics` counts
    /// connections without any request and responses that are cut off.
    pub fn close_expired(&self, phase: PhaseProgress, metrics: &Metrics) {
        if let Some(delivery) = self.delivery.get() {
            return delivery.update(&self.socket);
        }
        let state = self.state.get();
        let since = state.since();
        let age = since.elapsed();
        match state {
            // A request that was sent right after the handshake may still arrive. One that has
            // begun to arrive is answered, with `Connection: close`.
            ConnectionState::AwaitingFirstRequest { .. }
                if phase.current == ShutdownPhase::Closing
                    && age >= FIRST_BYTES_GRACE
                    && self.may_close().is_ok() =>
            {
                self.close();
            }
            // Unread bytes need no check here: if there are any, the task that serves the
            // connection resumes it.
            ConnectionState::AwaitingFirstRequest { .. } if age >= HEAD_TIMEOUT => {
                metrics.count_rejected_message(CloseReason::NoRequest);
                self.close();
            }
            // A client that has closed the connection waits for no response. Hyper notices the
            // close only if no unread bytes precede it.
            ConnectionState::RequestInFlight { .. }
            | ConnectionState::StreamingResponse { .. }
            | ConnectionState::FlushingResponse { .. }
                if is_closed_by_peer(&self.socket) =>
            {
                self.state
                    .set(ConnectionState::ClientDisconnected { since });
                self.state_changed.notify_one();
            }
            ConnectionState::StreamingResponse { .. } if age >= STALL_TIMEOUT => self.close(),
            ConnectionState::FlushingResponse { .. } if age >= STALL_TIMEOUT => {
                metrics.count(|c| c.responses_cut += 1);
                self.close();
            }
            ConnectionState::FlushingResponse { .. } => self.enlarge_send_buffer(),
            ConnectionState::Idle { .. }
                if age >= idle_timeout(phase) && self.may_close().is_ok() =>
            {
                self.close();
            }
            ConnectionState::ReadingHead { .. } if age >= HEAD_TIMEOUT => {
                self.state.set(ConnectionState::HeadTimedOut { since });
                self.state_changed.notify_one();
            }
            _ => {}
        }
    }
}

/// Returns how long a connection may wait for its next request in a phase.
fn idle_timeout(phase: PhaseProgress) -> Duration {
    match phase.current {
        ShutdownPhase::Serving => IDLE_TIMEOUT,
        // In these phases every response that begins has `Connection: close`: a connection that is
        // idle has been so since before they began, or since a response that had begun before.
        ShutdownPhase::Draining | ShutdownPhase::ShuttingDown | ShutdownPhase::HandingOver
            if phase.age < MAX_IDLE_TIME_AFTER_DRAIN =>
        {
            MIN_IDLE_TIME
        }
        ShutdownPhase::Draining | ShutdownPhase::ShuttingDown | ShutdownPhase::HandingOver => {
            Duration::ZERO
        }
        ShutdownPhase::Closing => Duration::ZERO,
    }
}
