//! Requests in progress: those without a final response and those with an attempt in flight.

use super::attempts::{Attempt, AttemptEnd, AttemptId, AttemptState};
use super::request::{FinalResponse, ForwardRequest};
use crate::http1::upload::RequestBody;
use crate::socket::is_closed_by_peer;
use balancer::{AttemptOutcome, AttemptResult, ClassId, LoadReport, RequestId, TenantId};
use hyper::Request;
use rustc_hash::FxHashMap;
use std::collections::HashSet;
use std::rc::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Whether the client still waits for the final response.
enum ClientState {
    /// The client waits for the final response, which is sent on this channel.
    Waiting(oneshot::Sender<FinalResponse>),
    /// The final response was sent, or the client no longer waits for one.
    Closed,
}

/// A request in progress.
pub struct RequestRecord {
    /// Id that the client has given to the request; any bytes.
    pub id: Box<[u8]>,
    /// Class of the request, which determines its latency objective and where it may be retried.
    pub class: ClassId,
    /// Tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// When the first byte of the request was received.
    pub first_byte_at: Instant,
    /// When the request was accepted for forwarding.
    pub accepted_at: Instant,
    /// When the final response is due. For a request whose body is still being received, only an
    /// upper bound.
    pub deadline: Instant,
    /// Request as it is sent to backends.
    pub request: Request<RequestBody>,
    /// Socket of the client connection that the request was received on.
    pub client: Weak<TcpStream>,
    /// Attempts of the request, in the order of their start.
    pub attempts: Vec<Attempt>,
    client_state: ClientState,
}

impl RequestRecord {
    /// Whether the final response is outstanding and the client, as far as reported, still waits.
    pub fn is_open(&self) -> bool {
        matches!(self.client_state, ClientState::Waiting(_))
    }

    /// Closes the request and returns the channel for its final response. Returns `None` if the
    /// request was already closed.
    pub fn close(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        match std::mem::replace(&mut self.client_state, ClientState::Closed) {
            ClientState::Waiting(sender) => Some(sender),
            ClientState::Closed => None,
        }
    }

    /// Whether the client has disconnected before its final response, by the present state of its
    /// socket.
    pub fn is_abandoned(&self) -> bool {
        self.is_open() && has_disconnected(&self.client)
    }

    /// Returns the time since `start`, or since the last byte of a streamed request body if that
    /// came later.
    pub fn elapsed_since(&self, start: Instant) -> Duration {
        let upload = self.request.body().upload();
        let last_byte_at = upload.and_then(|upload| upload.arrived_at());
        last_byte_at.map_or(start, |at| start.max(at)).elapsed()
    }

    /// Marks an attempt as ended now. Returns `None` if it had already ended or does not exist.
    pub fn end_attempt(
        &mut self,
        index: u32,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
    ) -> Option<AttemptEnd> {
        let attempt = self.attempts.get(index as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        let end = AttemptEnd {
            outcome,
            latency: self.elapsed_since(attempt.started_at),
            load_report,
        };
        self.attempts[index as usize].state = AttemptState::Ended(end);
        Some(end)
    }

    /// Returns the result of one of the request's attempts in the form that the balancer expects.
    pub fn attempt_result(&self, attempt: AttemptId, end: AttemptEnd) -> AttemptResult {
        AttemptResult {
            request: attempt.request,
            attempt: attempt.index,
            backend: self.attempts[attempt.index as usize].backend,
            outcome: end.outcome,
            latency: end.latency,
            request_closed: !self.is_open(),
            load_report: end.load_report,
        }
    }

    /// Whether the request is closed and none of its attempts is in flight.
    fn is_settled(&self) -> bool {
        !self.is_open() && !self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// Owner of the requests in progress.
#[derive(Default)]
pub struct RequestRegistry {
    records: FxHashMap<RequestId, RequestRecord>,
    /// Client-assigned ids of all records. Since clients choose them, the set uses the standard
    /// library's secretly keyed hasher rather than `FxHash`, which allows deliberate collisions.
    client_ids: HashSet<Box<[u8]>>,
    next_id: u64,
}

impl RequestRegistry {
    /// Reserves a client-assigned id and returns the node's own id for the request, which is never
    /// reused. Returns `None` if a request with the same client-assigned id is in progress.
    pub fn reserve(&mut self, client_id: &[u8]) -> Option<RequestId> {
        if !self.client_ids.insert(client_id.into()) {
            return None;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        Some(id)
    }

    /// Adds a request under the id that [`reserve`](Self::reserve) returned for it. Its final
    /// response is sent through `sender`.
    pub fn insert(
        &mut self,
        id: RequestId,
        request: ForwardRequest,
        sender: oneshot::Sender<FinalResponse>,
    ) {
        let record = RequestRecord {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            first_byte_at: request.first_byte_at,
            accepted_at: Instant::now(),
            deadline: request.deadline,
            request: request.request,
            client: request.client,
            attempts: Vec::new(),
            client_state: ClientState::Waiting(sender),
        };
        self.records.insert(id, record);
    }

    /// Returns the record of a request, or `None` if the request is not in progress.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRecord> {
        self.records.get_mut(&id)
    }

    /// Returns the number of requests in progress, including closed ones with an attempt in flight.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of requests whose final response is outstanding.
    pub fn open_requests(&self) -> usize {
        self.records
            .values()
            .filter(|record| record.is_open())
            .count()
    }

    /// Cancels an attempt and returns its result, or `None` if it has already ended.
    pub fn cancel_attempt(&mut self, id: AttemptId) -> Option<AttemptResult> {
        let record = self.records.get_mut(&id.request)?;
        let end = record.attempts.get_mut(id.index as usize)?.cancel()?;
        Some(record.attempt_result(id, end))
    }

    /// Stops those attempts of a request of which nothing has been written yet, and returns their
    /// results.
    pub fn revoke_unsent_attempts(&mut self, request: RequestId) -> Vec<AttemptResult> {
        let Some(record) = self.records.get_mut(&request) else {
            return Vec::new();
        };
        let mut results = Vec::new();
        for index in 0..record.attempts.len() as u32 {
            if let Some(end) = record.attempts[index as usize].revoke_unsent() {
                results.push(record.attempt_result(AttemptId { request, index }, end));
            }
        }
        results
    }

    /// Removes a request if it is closed and has no attempt in flight. Its client-assigned id may
    /// then be used again.
    pub fn remove_if_settled(&mut self, id: RequestId) {
        if !self.records.get(&id).is_some_and(RequestRecord::is_settled) {
            return;
        }
        if let Some(record) = self.records.remove(&id) {
            self.client_ids.remove(&record.id);
        }
    }
}

/// Whether a client connection has been closed, by the client or by the node.
pub fn has_disconnected(client: &Weak<TcpStream>) -> bool {
    client
        .upgrade()
        .is_none_or(|socket| is_closed_by_peer(&socket))
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
