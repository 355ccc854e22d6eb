//! The state of one client request: its timing, how far its response has progressed, its attempts,
//! and the candidates that are probed for the next one.

use crate::events::RequestArrival;
use crate::ids::{BackendId, CellId, ClassId, ZoneId};
use crate::time::Time;

/// One attempt to have a request served by a backend.
pub struct Attempt {
    /// Where the attempt was sent.
    pub backend: BackendId,
    /// The backend's zone when the attempt started.
    pub zone: ZoneId,
    /// The backend's cell when the attempt started.
    pub cell: CellId,
    /// When the attempt started, or when the last byte of the request's body was sent, if that is
    /// later.
    pub started_at: Time,
    /// Whether the node had no connection to the backend that was certain to be open when the
    /// attempt started.
    pub new_connection: bool,
    /// Whether it has ended, and whether the backend may have executed it.
    pub status: AttemptStatus,
}

/// Whether an attempt has ended, and whether the backend may have executed it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It has not ended; the backend may execute it.
    InFlight,
    /// It has ended, and the backend certainly has not executed it.
    NotExecuted,
    /// It has ended, and the backend may have executed it.
    MayHaveExecuted,
}

impl Attempt {
    /// Whether the attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.status == AttemptStatus::InFlight
    }

    /// Whether the backend may have executed it or may still do so.
    pub fn may_have_executed(&self) -> bool {
        self.status != AttemptStatus::NotExecuted
    }
}

/// How far the response to the client has progressed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ResponseState {
    /// The client waits for a response, and none has started.
    Pending,
    /// A response is being streamed to the client.
    Streaming,
    /// The client no longer waits for a response.
    Closed {
        /// Whether a streamed response had started.
        was_streaming: bool,
    },
}

impl ResponseState {
    /// Whether a streamed response has started, even if it is closed by now.
    pub fn has_started(self) -> bool {
        matches!(
            self,
            ResponseState::Streaming
                | ResponseState::Closed {
                    was_streaming: true
                }
        )
    }

    /// Returns the state after a streamed response has started; a closed one stays closed.
    pub fn started(self) -> Self {
        match self {
            ResponseState::Pending | ResponseState::Streaming => ResponseState::Streaming,
            ResponseState::Closed { .. } => ResponseState::Closed {
                was_streaming: true,
            },
        }
    }

    /// Returns the state once the client no longer waits for a response; keeps whether a streamed
    /// response had started.
    pub fn closed(self) -> Self {
        ResponseState::Closed {
            was_streaming: self.has_started(),
        }
    }
}

/// The load of a candidate according to its answer to a load probe.
#[derive(Clone, Copy, PartialEq)]
pub enum CandidateLoad {
    /// The answer is still awaited.
    Pending,
    /// The answer gave this number of requests in flight, or a utilization in place of it.
    InFlight(f64),
    /// The probe failed, or its answer gave no load.
    Unknown,
}

/// A backend that is considered for a request's next attempt. The loads of all candidates decide
/// which of them receives it.
pub struct Candidate {
    /// The backend that may receive the attempt.
    pub backend: BackendId,
    /// Its load, as far as it is known.
    pub load: CandidateLoad,
}

/// A client request, kept from its arrival until the client no longer waits for a response and no
/// attempt is in flight.
pub struct Request {
    /// Its class, which is among those of the settings.
    pub class: ClassId,
    /// When it arrived, or when the last byte of its body did, if that is later.
    pub arrived_at: Time,
    /// When the client stops waiting. Once the body is complete, this is moved so that the client's
    /// waiting time counts from then.
    pub deadline: Time,
    /// Expected work in seconds on a standard core, or `None` if it is not known.
    pub work: Option<f64>,
    /// Whether part of its body has not been received yet.
    pub body_pending: bool,
    /// How far the response has progressed, and whether the client still waits for one.
    pub response: ResponseState,
    /// Its attempts, in the order in which they started.
    pub attempts: Vec<Attempt>,
    /// Candidates for the next attempt; empty except while one of them is being chosen by load.
    pub candidates: Vec<Candidate>,
}

impl Request {
    /// Creates the state of a request that arrived at `now`, with a class that the settings
    /// contain.
    pub fn new(now: Time, class: ClassId, arrival: &RequestArrival) -> Self {
        Request {
            class,
            arrived_at: now,
            deadline: now + arrival.remaining,
            work: arrival.work.map(|work| work.as_secs_f64()),
            body_pending: arrival.body_pending,
            response: ResponseState::Pending,
            attempts: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Whether none of its attempts is in flight.
    pub fn is_idle(&self) -> bool {
        !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether the client no longer waits for a response.
    pub fn is_closed(&self) -> bool {
        matches!(self.response, ResponseState::Closed { .. })
    }

    /// Returns the earliest attempt that the backend may have executed or may still execute.
    pub fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
    }

    /// Whether an attempt has been started at this backend.
    pub fn has_tried(&self, backend: BackendId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.backend == backend)
    }

    /// Whether this backend is a candidate for the next attempt.
    pub fn is_candidate(&self, backend: BackendId) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.backend == backend)
    }

    /// Whether the load of any candidate is still awaited.
    pub fn awaits_candidates(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.load == CandidateLoad::Pending)
    }

    /// Sets the load of a candidate whose answer is awaited. Returns whether there was one.
    pub fn resolve_candidate(&mut self, backend: BackendId, load: CandidateLoad) -> bool {
        let awaited = self.candidates.iter_mut().find(|candidate| {
            candidate.backend == backend && candidate.load == CandidateLoad::Pending
        });
        let Some(candidate) = awaited else {
            return false;
        };
        candidate.load = load;
        true
    }

    /// Records that the whole body has been received: the arrival, the deadline and the start of
    /// the attempts in flight count from `now` instead.
    pub fn body_received(&mut self, now: Time) {
        self.body_pending = false;
        self.deadline = now + (self.deadline - self.arrived_at);
        self.arrived_at = now;
        for attempt in &mut self.attempts {
            if attempt.is_in_flight() {
                attempt.started_at = now;
            }
        }
    }
}
