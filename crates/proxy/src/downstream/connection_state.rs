//! The states of a client connection.

use tokio::time::Instant;

/// What a client connection is doing, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has been received yet.
    AwaitingFirstRequest {
        /// When the connection was accepted.
        since: Instant,
    },
    /// A head is incomplete.
    ReadingHead {
        /// When the connection was accepted, for its first head; when the first bytes of the head
        /// were received, for later ones.
        since: Instant,
    },
    /// The head took too long, and is rejected.
    HeadTimedOut {
        /// When the head began, as in [`ConnectionState::ReadingHead`].
        since: Instant,
    },
    /// A request is in flight: its body is read, or it waits for its response.
    RequestInFlight {
        /// When its head was complete.
        since: Instant,
    },
    /// A large response is streamed.
    StreamingResponse {
        /// When a part of it was last ready for the client.
        last_progress: Instant,
    },
    /// The response is complete, and the next request has not begun.
    Idle {
        /// When the response was complete.
        since: Instant,
    },
    /// The connection is to be closed.
    Closing {
        /// When that was decided.
        since: Instant,
        /// The state to return to if bytes were received before the close took effect; `None` if
        /// it is closed in any case.
        resumable: Option<ResumableState>,
    },
    /// The client has closed the connection while a request was in flight.
    ClientDisconnected {
        /// When the state before this one began.
        since: Instant,
    },
}

/// A state in which a connection is closed only for want of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumableState {
    /// See [`ConnectionState::AwaitingFirstRequest`].
    AwaitingFirstRequest,
    /// See [`ConnectionState::ReadingHead`].
    ReadingHead,
    /// See [`ConnectionState::Idle`].
    Idle,
}

impl ResumableState {
    fn resume(self, since: Instant) -> ConnectionState {
        match self {
            ResumableState::AwaitingFirstRequest => ConnectionState::AwaitingFirstRequest { since },
            ResumableState::ReadingHead => ConnectionState::ReadingHead { since },
            ResumableState::Idle => ConnectionState::Idle { since },
        }
    }
}

impl ConnectionState {
    /// The instant from which the timeouts of the state count.
    pub fn since(mut self) -> Instant {
        *self.since_mut()
    }

    /// The same state with its timeouts counting from `at`.
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

    /// Whether a request has no complete response yet.
    pub fn is_request_in_flight(self) -> bool {
        matches!(
            self,
            ConnectionState::RequestInFlight { .. } | ConnectionState::StreamingResponse { .. }
        )
    }

    /// The state once the connection is to be closed.
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

    /// The state to which a closing connection returns if bytes were received meanwhile, with its
    /// timeouts counting from the decision to close it.
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
