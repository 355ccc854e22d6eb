//! The actions that the balancer asks the embedding process to carry out.

use crate::ids::{BackendId, RequestId, TimerId};
use crate::time::Time;
use std::time::Duration;

/// Why a request is given up, that is, ended without a backend's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// Its work alone exceeds its latency objective.
    ObjectiveUnreachable,
    /// Its deadline had passed when it arrived.
    DeadlineExceeded,
    /// It was rejected on arrival to limit the load of the backends.
    LoadShed,
    /// No eligible backend was found for its next attempt, or none that could answer in time.
    NoEligibleBackend,
    /// Too little time is left for another attempt.
    InsufficientTime,
    /// It has used up the attempts that a request may have.
    AttemptsExhausted,
    /// The node's retry budget is exhausted.
    RetryBudgetExhausted,
}

/// An action that the embedding process has to carry out. Actions are carried out in the order in
/// which the balancer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt: forward the request to a backend. A request's attempts are numbered from 0
    /// in the order of these actions.
    StartAttempt {
        /// The request to be forwarded.
        request: RequestId,
        /// The backend that receives it.
        backend: BackendId,
        /// How long the attempt may take; `None` means until the client stops waiting.
        timeout: Option<Duration>,
    },
    /// Send a rejection as the final response. It tells the client that the request was not
    /// executed or may be repeated harmlessly.
    Reject {
        /// The request to be rejected.
        request: RequestId,
        /// After which time the client should retry; `None` if the rejection names no time.
        retry_after: Option<Duration>,
        /// Why the request is given up.
        reason: GiveUpReason,
    },
    /// Send a failure as the final response. It tells the client that the request may have been
    /// executed.
    Fail {
        /// The request that failed.
        request: RequestId,
        /// Why the request is given up.
        reason: GiveUpReason,
    },
    /// Cancel an attempt: stop waiting for its response.
    CancelAttempt {
        /// The request that the attempt serves.
        request: RequestId,
        /// Number of the attempt within the request, counted from 0.
        attempt: u32,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at a later time.
    SetTimer {
        /// When the timer fires.
        at: Time,
        /// The id to be sent with the event.
        timer: TimerId,
    },
    /// Send a load probe, which asks a backend for its load.
    SendLoadProbe {
        /// The backend to be asked.
        backend: BackendId,
    },
    /// Ask discovery for the changes of the endpoint list from now on; the answer or its failure is
    /// reported by [`Event::EndpointList`](crate::Event::EndpointList).
    RefreshEndpointList,
    /// Write a line to the node's log.
    Log(String),
}
