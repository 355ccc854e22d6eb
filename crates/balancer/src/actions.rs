//! What the balancer asks the embedding process to do.

use crate::ids::{BackendId, RequestId, TimerId};
use crate::time::Time;
use std::time::Duration;

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// Its work alone takes longer than its latency objective.
    ObjectiveUnreachable,
    /// Its deadline had passed when it arrived.
    DeadlineExceeded,
    /// Rejected on arrival because of the backends' load.
    LoadShed,
    /// No backend is eligible for it.
    NoEligibleBackend,
    /// Too little time is left for another attempt.
    InsufficientTime,
    /// It has had all its attempts.
    AttemptsExhausted,
    /// The retry budget is spent.
    RetryBudgetExhausted,
}

/// What the balancer wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// How long it may take; `None`: until the client stops waiting.
        timeout: Option<Duration>,
    },
    /// Final response: rejected. The request was not executed, or may be repeated harmlessly.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after: Option<Duration>,
        /// Why.
        reason: GiveUpReason,
    },
    /// Final response: failed. The request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: GiveUpReason,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at a later time.
    SetTimer {
        /// When.
        at: Time,
        /// Its id.
        timer: TimerId,
    },
    /// Ask a backend for its load.
    SendLoadProbe {
        /// Which.
        backend: BackendId,
    },
    /// Ask discovery for the changes of the endpoint list from now on.
    RefreshEndpointList,
    /// A line for the node's log.
    Log(String),
}
