//! The states of a client connection, and how it leaves and re-enters them when it is closed.

use tokio::time::Instant;

/// What a client connection is doing, and since when.
///
/// The normal cycle is `AwaitingFirstRequest`, `ReadingHead`, `RequestInFlight`, perhaps
/// `StreamingResponse`, then `Idle` and `ReadingHead` again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No bytes have been received yet.
    AwaitingFirstRequest {
        /// When the connection was accepted.
        since: Instant,
    },
    /// The head of a request is being received and is not complete.
    ReadingHead {
        /// For the connection's first head, when the connection was accepted; for a later one, when
        /// its first bytes were received.
        since: Instant,
    },
    /// The head was not complete in time, and is rejected.
    HeadTimedOut {
        /// When the head began, as in [`ConnectionState::ReadingHead`].
        since: Instant,
    },
    /// A request is in flight: its body is being received, or it waits for its response.
    RequestInFlight {
        /// When hyper handed the request to its handler, with a complete head.
        since: Instant,
    },
    /// A response that is large, or of unknown length and slow, is being streamed to the client.
    StreamingResponse {
        /// When a part of the response was last ready for the client.
        last_progress: Instant,
    },
    /// The response is complete, and the next request has not begun.
    Idle {
        /// When the response was complete.
        since: Instant,
    },
    /// The connection is to be closed.
    Closing {
        /// When the close was decided.
        since: Instant,
        /// The state to return to if bytes were received before the close took effect; `None` if
        /// it is closed in any case.
        resumable: Option<ResumableState>,
    },
    /// The client has closed the connection while a request was in flight.
    ClientDisconnected {
        /// When the state before this one began, or last made progress.
        since: Instant,
    },
}

/// A state in which a connection is closed only because no request is in flight, so that bytes
/// which arrive in time keep it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumableState {
    /// No bytes have been received yet, as in [`ConnectionState::AwaitingFirstRequest`].
    AwaitingFirstRequest,
    /// The head of a request is not complete, as in [`ConnectionState::ReadingHead`].
    ReadingHead,
    /// The next request has not begun, as in [`ConnectionState::Idle`].
    Idle,
}

impl ResumableState {
    /// Returns the state, with its timeouts counting from `since`.
    fn resume(self, since: Instant) -> ConnectionState {
        match self {
            ResumableState::AwaitingFirstRequest => ConnectionState::AwaitingFirstRequest { since },
            ResumableState::ReadingHead => ConnectionState::ReadingHead { since },
            ResumableState::Idle => ConnectionState::Idle { since },
        }
    }
}

impl ConnectionState {
    /// Returns the instant from which the timeouts of the state count.
    pub fn since(mut self) -> Instant {
        *self.since_mut()
    }

    /// Returns the same state with its timeouts counting from `at`.
    pub fn restarted_at(mut self, at: Instant) -> Self {
        *self.since_mut() = at;
        self
    }

    fn since_mut(&mut self) -> &mut Instant {
        match self {
            ConnectionState::AwaitingFirstRequest { since }
            | ConnectionState::ReadingHead { since }
            | ConnectionState::HeadTimedOut { since }
            | ConnectionState::RequestInFlight { since }
            | ConnectionState::StreamingResponse {
                last_progress: since,
            }
            | ConnectionState::Idle { since }
            | ConnectionState::Closing { since, .. }
            | ConnectionState::ClientDisconnected { since } => since,
        }
    }

    /// Whether a request was handed to its handler and its response is not complete yet.
    pub fn is_request_in_flight(self) -> bool {
        matches!(
            self,
            ConnectionState::RequestInFlight { .. } | ConnectionState::StreamingResponse { .. }
        )
    }

    /// Returns the state after the decision, at `now`, to close the connection. It can be resumed
    /// unless a request is in flight, its head timed out, or it is ending already.
    pub fn closing(self, now: Instant) -> Self {
        let resumable = match self {
            ConnectionState::AwaitingFirstRequest { .. } => {
                Some(ResumableState::AwaitingFirstRequest)
            }
            ConnectionState::ReadingHead { .. } => Some(ResumableState::ReadingHead),
            ConnectionState::Idle { .. } => Some(ResumableState::Idle),
            ConnectionState::HeadTimedOut { .. }
            | ConnectionState::RequestInFlight { .. }
            | ConnectionState::StreamingResponse { .. }
            | ConnectionState::Closing { .. }
            | ConnectionState::ClientDisconnected { .. } => None,
        };
        ConnectionState::Closing {
            since: now,
            resumable,
        }
    }

    /// Returns the state to which a closing connection returns if bytes were received meanwhile,
    /// with its timeouts counting from the decision to close it; `None` if it is closed in any
    /// case.
    pub fn resumed(self) -> Option<Self> {
        match self {
            ConnectionState::Closing {
                since,
                resumable: Some(state),
            } => Some(state.resume(since)),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "connection_state_tests.rs"]
mod tests;
