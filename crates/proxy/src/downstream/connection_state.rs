//! The states of a client connection, and how it leaves and re-enters them when it is closed.

use tokio::time::Instant;

/// What a client connection is doing, and since when.
///
/// The normal cycle is `AwaitingFirstRequest`, `ReadingHead`, `RequestInFlight`, perhaps
/// `StreamingResponse`, then `FlushingResponse`, `Idle` and `ReadingHead` again.
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
    /// Hyper has all of the response, and the socket has not taken the end of it yet.
    FlushingResponse {
        /// When the socket last took a part of the response; at first, when hyper had all of it.
        last_progress: Instant,
        /// When the head of the next request began; `None` if none of it has been received.
        next_head_since: Option<Instant>,
    },
    /// The socket has taken all of the response, and the next request has not begun.
    Idle {
        /// When the socket had taken all of the response.
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
            | ConnectionState::FlushingResponse {
                last_progress: since,
                ..
            }
            | ConnectionState::Idle { since }
            | ConnectionState::Closing { since, .. }
            | ConnectionState::ClientDisconnected { since } => since,
        }
    }

    /// Whether a request was handed to its handler and the socket has not taken all of its response
    /// yet.
    pub fn owes_response(self) -> bool {
        matches!(
            self,
            ConnectionState::RequestInFlight { .. }
                | ConnectionState::StreamingResponse { .. }
                | ConnectionState::FlushingResponse { .. }
        )
    }

    /// Whether the socket has not taken the end of a response that hyper has whole.
    pub fn is_flushing(self) -> bool {
        matches!(self, ConnectionState::FlushingResponse { .. })
    }

    /// Returns the state once hyper has all of the response, at `now`. Only a state with a request in
    /// flight changes: a connection that is to be closed stays so.
    pub fn response_taken(self, now: Instant) -> Self {
        match self {
            ConnectionState::RequestInFlight { .. } | ConnectionState::StreamingResponse { .. } => {
                ConnectionState::FlushingResponse {
                    last_progress: now,
                    next_head_since: None,
                }
            }
            state => state,
        }
    }

    /// Returns the state once the socket has taken, at `now`, all that hyper had to write.
    pub fn output_written(self, now: Instant) -> Self {
        match self {
            ConnectionState::FlushingResponse {
                next_head_since: Some(since),
                ..
            } => ConnectionState::ReadingHead { since },
            ConnectionState::FlushingResponse { .. } => ConnectionState::Idle { since: now },
            state => state,
        }
    }

    /// Returns the state once bytes of a head have been received, at `now`. The timeout of the first
    /// head counts from the accept.
    pub fn head_bytes_received(self, now: Instant) -> Self {
        match self {
            ConnectionState::AwaitingFirstRequest { since } => {
                ConnectionState::ReadingHead { since }
            }
            ConnectionState::Idle { .. } => ConnectionState::ReadingHead { since: now },
            ConnectionState::FlushingResponse {
                last_progress,
                next_head_since,
            } => ConnectionState::FlushingResponse {
                last_progress,
                next_head_since: next_head_since.or(Some(now)),
            },
            state => state,
        }
    }

    /// Returns when the head that is being received began; for the first head of the connection, when
    /// the connection was accepted.
    pub fn head_since(self) -> Instant {
        match self {
            ConnectionState::FlushingResponse {
                last_progress,
                next_head_since,
            } => next_head_since.unwrap_or(last_progress),
            state => state.since(),
        }
    }

    /// Returns the state after the decision, at `now`, to close the connection. It can be resumed
    /// unless a response is owed, the head timed out, or it is ending already.
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
            | ConnectionState::FlushingResponse { .. }
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
