//! A client's request and its attempts.

use crate::events::RequestArrival;
use crate::ids::{BackendId, CellId, ClassId, ZoneId};
use crate::time::Time;

/// One attempt of a request at a backend.
pub struct Attempt {
    /// The backend.
    pub backend: BackendId,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's cell.
    pub cell: CellId,
    /// When it was sent, or when the last byte of the request's body was.
    pub started_at: Time,
    /// It needed a new connection.
    pub new_connection: bool,
    /// How far it has come.
    pub status: AttemptStatus,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// No result yet.
    InFlight,
    /// It has ended, and the backend has not executed it.
    NotExecuted,
    /// It has ended, and the backend may have executed it.
    MayHaveExecuted,
}

impl Attempt {
    /// Whether no result is known yet.
    pub fn is_in_flight(&self) -> bool {
        self.status == AttemptStatus::InFlight
    }

    /// Whether the backend may have executed it, or may do so yet.
    pub fn may_have_executed(&self) -> bool {
        self.status != AttemptStatus::NotExecuted
    }
}

/// How far the response to the client has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ResponseState {
    /// The client waits for it.
    Pending,
    /// It is being streamed to the client.
    Streaming,
    /// Nothing is owed to the client any more.
    Closed {
        /// A streamed response had begun.
        was_streaming: bool,
    },
}

impl ResponseState {
    /// Whether a streamed response has begun.
    pub fn has_started(self) -> bool {
        matches!(
            self,
            ResponseState::Streaming
                | ResponseState::Closed {
                    was_streaming: true
                }
        )
    }

    /// The state once a streamed response has begun.
    pub fn started(self) -> Self {
        match self {
            ResponseState::Pending | ResponseState::Streaming => ResponseState::Streaming,
            ResponseState::Closed { .. } => ResponseState::Closed {
                was_streaming: true,
            },
        }
    }

    /// The state once nothing is owed to the client.
    pub fn closed(self) -> Self {
        ResponseState::Closed {
            was_streaming: self.has_started(),
        }
    }
}

/// The load of a candidate, by the answer to a load probe.
#[derive(Clone, Copy, PartialEq)]
pub enum CandidateLoad {
    /// No answer yet.
    Pending,
    /// Requests that it has in flight.
    InFlight(f64),
    /// The probe failed, or its answer gave no load.
    Unknown,
}

/// A backend that is probed for its load before an attempt starts there.
pub struct Candidate {
    /// The backend.
    pub backend: BackendId,
    /// Its load.
    pub load: CandidateLoad,
}

/// A request from its arrival until it is answered and has no attempt in flight.
pub struct Request {
    /// Its class.
    pub class: ClassId,
    /// When it arrived, or when the last byte of its body did.
    pub arrived_at: Time,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Expected work in seconds on a standard core, if known.
    pub work: Option<f64>,
    /// More of its body is to come.
    pub body_pending: bool,
    /// What the client is owed.
    pub response: ResponseState,
    /// Its attempts, in the order in which they started.
    pub attempts: Vec<Attempt>,
    /// Backends that are probed for their load before the next attempt.
    pub candidates: Vec<Candidate>,
}

impl Request {
    /// A request that has just arrived.
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

    /// Whether no attempt is in flight.
    pub fn is_idle(&self) -> bool {
        !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether nothing is owed to the client any more.
    pub fn is_closed(&self) -> bool {
        matches!(self.response, ResponseState::Closed { .. })
    }

    /// The earliest attempt that may have been executed.
    pub fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
    }

    /// Whether there was an attempt at this backend.
    pub fn has_tried(&self, backend: BackendId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.backend == backend)
    }

    /// Whether this backend is among those probed for their load.
    pub fn is_candidate(&self, backend: BackendId) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.backend == backend)
    }

    /// Whether the load of a candidate is awaited.
    pub fn awaits_candidates(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.load == CandidateLoad::Pending)
    }

    /// Takes in the load of a candidate. Returns whether it was awaited.
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

    /// Records that the body has been received: the deadline, and the times of the attempts in
    /// flight, count from now on.
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
