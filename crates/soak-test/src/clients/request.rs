//! Draws the requests that clients send.

use super::slow_reader::SLOW_RESPONSE_BYTES;
use super::{ClientKind, Clients};
use crate::message_body;
use crate::plan::{ClassIndex, Idempotency, RequestClass, Scenario};
use rand::Rng;
use std::time::Duration;

/// Probability that a body is large, drawn for requests and responses separately. Only plans with
/// operations have large bodies.
const LARGE_BODY_PROBABILITY: f64 = 0.03;
/// Range of the sizes of large bodies, in bytes: more than a node buffers.
const LARGE_BODY_BYTES: std::ops::Range<f64> = 70_000.0..300_000.0;

/// A request to be sent.
pub(super) struct ClientRequest {
    /// The whole request, head and body.
    pub(super) text: String,
    /// Time that the client gives the request, sent as its `X-Timeout`.
    pub(super) timeout: Duration,
    /// Requested size of a successful response's body, in bytes; 0 for a small response of any
    /// size.
    pub(super) response_bytes: usize,
}

impl Clients {
    /// Draws the class of a request.
    pub(super) fn draw_class(&self) -> ClassIndex {
        let classes = self.cluster.plan.classes.len();
        ClassIndex(self.random.borrow_mut().random_range(0..classes))
    }

    /// Draws a request's timeout, between 0.3 and 1 times its class's deadline, and its body sizes.
    pub(super) fn draw_request(&self, id: &str, class: ClassIndex) -> ClientRequest {
        let plan = &self.cluster.plan;
        let class = &plan.classes[class.0];
        let timeout = class.deadline.mul_f64(0.3 + 0.7 * self.uniform());
        let timeout_ms = timeout.as_millis() as u64;
        let cost = plan.service_time.as_micros();
        let head = format!(
            "HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout_ms}m\r\nX-Cost: {cost}\r\n"
        );
        let response_bytes = self.draw_response_bytes();
        ClientRequest {
            text: self.request_text(id, class, &head, response_bytes),
            timeout: Duration::from_millis(timeout_ms),
            response_bytes,
        }
    }

    /// Returns the whole request. `head` holds the end of its request line and the headers that all
    /// requests have.
    fn request_text(
        &self,
        id: &str,
        class: &RequestClass,
        head: &str,
        response_bytes: usize,
    ) -> String {
        let name = class.name;
        let query = if response_bytes > 0 {
            message_body::size_query(response_bytes)
        } else {
            String::new()
        };
        if class.idempotency == Idempotency::Idempotent {
            return format!("GET /{name}/x{query} {head}\r\n");
        }
        let key = match class.idempotency {
            Idempotency::Keyed => format!("Idempotency-Key: k{id}\r\n"),
            Idempotency::Idempotent | Idempotency::NonIdempotent => String::new(),
        };
        let mut body = "body".to_owned();
        message_body::pad(&mut body, self.draw_body_bytes());
        let length = body.len();
        format!("POST /{name}/x{query} {head}{key}Content-Length: {length}\r\n\r\n{body}")
    }

    /// Draws the size of a response's body, in bytes; 0 for a small one.
    fn draw_response_bytes(&self) -> usize {
        match self.kind {
            ClientKind::SlowReader => {
                self.random.borrow_mut().random_range(SLOW_RESPONSE_BYTES) as usize
            }
            ClientKind::OpenLoop | ClientKind::IdleTimeout => self.draw_body_bytes(),
        }
    }

    /// Draws the size of a body, in bytes; 0 for a small one.
    fn draw_body_bytes(&self) -> usize {
        let sends_large_bodies = self.cluster.plan.scenario == Scenario::Operations;
        if !sends_large_bodies || self.uniform() >= LARGE_BODY_PROBABILITY {
            return 0;
        }
        self.random.borrow_mut().random_range(LARGE_BODY_BYTES) as usize
    }
}
