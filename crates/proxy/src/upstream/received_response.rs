//! Reads a backend's response: its head, what the head says about the attempt, and its body as far as
//! it is buffered.

use crate::http1::body::{BodyBuffer, BufferedPart};
use crate::http1::limits::{MAX_BUFFERED_BODY_BYTES, STREAMING_BYTES};
use crate::memory_budget::{MemoryBudget, Purpose, Reservation};
use balancer::AttemptOutcome;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a successful response of unknown length is buffered, in case it is small, before it is
/// streamed.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(50);
/// Header that, with value `1` on a response of status 503 or 504, proves that the request was not
/// executed.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// A response whose body was read as far as it is buffered.
pub struct ReceivedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Outcome of the attempt by the head of its response.
    pub outcome: AttemptOutcome,
    /// The body, as far as it was buffered.
    pub body: ReceivedBody,
}

/// The body of a response, as far as it was buffered.
pub enum ReceivedBody {
    /// The whole body is buffered.
    Complete(Bytes),
    /// The body of a successful response is too large or too slow to buffer.
    Partial {
        /// The beginning of the body.
        buffered: Bytes,
        /// What has not been read yet.
        rest: Incoming,
        /// Reservation of the memory in which the rest is streamed.
        memory: Reservation,
    },
    /// The body of any other response is too large to buffer; this is its beginning.
    Truncated(Bytes),
}

impl ReceivedResponse {
    /// Reads the body of a response until it is complete or turns out to be too large to buffer. A
    /// successful response of unknown length is read for [`BUFFERING_TIMEOUT`] at most. Waits until
    /// `memory` has room for what is buffered and, of a successful response, for what is streamed.
    ///
    /// # Errors
    ///
    /// Returns hyper's error if the connection fails or the body is malformed or ends early.
    pub async fn read(
        response: Response<Incoming>,
        memory: &Rc<MemoryBudget>,
    ) -> Result<Self, hyper::Error> {
        let (head, body) = response.into_parts();
        let outcome = outcome_of(head.status, &head.headers);
        let body = receive_body(body, outcome == AttemptOutcome::Success, memory).await?;
        Ok(ReceivedResponse {
            head,
            outcome,
            body,
        })
    }

    /// Whether the backend has served the request.
    pub fn is_success(&self) -> bool {
        self.outcome == AttemptOutcome::Success
    }
}

async fn receive_body(
    mut body: Incoming,
    is_success: bool,
    memory: &Rc<MemoryBudget>,
) -> Result<ReceivedBody, hyper::Error> {
    let length = body.size_hint().exact();
    let mut buffer = response_buffer(length, memory).await;
    let part = match length {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => BufferedPart::Incomplete,
        // A slow body of unknown length could otherwise be buffered for as long as it lasts.
        None if is_success => timeout(BUFFERING_TIMEOUT, buffer.fill(&mut body))
            .await
            .unwrap_or(Ok(BufferedPart::Incomplete))?,
        _ => buffer.fill(&mut body).await?,
    };
    let buffered = buffer.into_bytes();
    Ok(match part {
        BufferedPart::Complete => ReceivedBody::Complete(buffered),
        BufferedPart::Incomplete | BufferedPart::OutOfMemory if is_success => {
            ReceivedBody::Partial {
                buffered,
                rest: body,
                memory: memory.reserve(STREAMING_BYTES, Purpose::AcceptedWork).await,
            }
        }
        BufferedPart::Incomplete | BufferedPart::OutOfMemory => ReceivedBody::Truncated(buffered),
    })
}

/// Returns the buffer for a response of this declared length. A length that is known is reserved whole,
/// so that the response is buffered to its end once it has begun.
async fn response_buffer(length: Option<u64>, memory: &Rc<MemoryBudget>) -> BodyBuffer {
    let buffered_length = length
        .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES as u64)
        .map(|length| length as usize);
    let reserved = buffered_length.unwrap_or(0);
    let reservation = memory.reserve(reserved, Purpose::AcceptedWork).await;
    match buffered_length {
        Some(length) => BodyBuffer::with_reserved_length(length, reservation),
        None => BodyBuffer::new(length, reservation),
    }
}

/// Returns the outcome of an attempt by the head of its response.
fn outcome_of(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    match status {
        StatusCode::OK => AttemptOutcome::Success,
        // Without the header these statuses do not prove that the request was not executed.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if is_marked_not_processed(headers) =>
        {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::ServerError,
    }
}

fn is_marked_not_processed(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_PROCESSED)
        .is_some_and(|value| value.as_bytes() == b"1")
}
