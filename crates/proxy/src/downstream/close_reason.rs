//! Why a connection ended without a request, for the log.

use std::fmt;

/// Why a connection ended although its client had no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it while it was in the accept queue.
    ClosedBeforeAccept,
    /// No request was received in time.
    NoRequest,
    /// Its slot was needed before any request was received.
    EvictedBeforeRequest,
    /// Its slot was needed while a head was incomplete.
    EvictedWithIncompleteHead,
    /// Its slot was needed while it was idle.
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
