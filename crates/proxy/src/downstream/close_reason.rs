//! Why a connection ended while it had no complete request; counted by reason in the log.

use std::fmt;

/// Why a connection ended while it had no complete request, so that no response tells its client
/// why.
///
/// The text is the reason under which [`Metrics`](crate::metrics::Metrics) counts the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, or the network failed it, while it was in the accept
    /// queue.
    ClosedBeforeAccept,
    /// Nothing was received within the timeout for the first request.
    NoRequest,
    /// Its slot was needed for another connection before anything was received.
    EvictedBeforeRequest,
    /// Its slot was needed for another connection while a request's head was incomplete.
    EvictedWithIncompleteHead,
    /// Its slot was needed for another connection while it was idle between two requests.
    EvictedIdle,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ClosedBeforeAccept => "closed before it was accepted",
            CloseReason::NoRequest => "no request received",
            CloseReason::EvictedBeforeRequest => "evicted: no request received",
            CloseReason::EvictedWithIncompleteHead => "evicted: head incomplete",
            CloseReason::EvictedIdle => "evicted: idle",
        })
    }
}
