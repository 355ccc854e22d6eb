//! A client's request as the downstream side submits it for forwarding, and its final response.

use crate::http1::upload::RequestBody;
use crate::upstream::response::ResponseBody;
use balancer::{ClassId, RequestArrival, RequestId, TenantId};
use hyper::{Request, Response};
use std::rc::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A client's request, validated and ready to be forwarded.
pub struct ForwardRequest {
    /// Class of the request, which determines its latency objective and where it may be retried.
    pub class: ClassId,
    /// Tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// Expected work on a standard core; `None` if the client did not state it.
    pub work: Option<Duration>,
    /// When the final response is due. For a streamed body, whose last byte has not been received
    /// yet, only an upper bound.
    pub deadline: Instant,
    /// Id that the client has given to the request; any bytes.
    pub id: Box<[u8]>,
    /// When the first byte of the request was received.
    pub first_byte_at: Instant,
    /// Time until the final response is due, counted from the last byte of the request.
    pub remaining: Duration,
    /// Request as it is sent to backends.
    pub request: Request<RequestBody>,
    /// Socket of the client connection that the request was received on. A client that has closed
    /// it no longer waits for a response.
    pub client: Weak<TcpStream>,
}

impl ForwardRequest {
    /// Returns the arrival event's data for the balancer, which knows the request by `id`.
    pub(super) fn arrival(&self, id: RequestId) -> RequestArrival {
        RequestArrival {
            request: id,
            class: self.class,
            tenant: self.tenant,
            remaining: self.remaining,
            work: self.work,
            body_pending: self.request.body().upload().is_some(),
        }
    }
}

/// The final response to a request. Each request gets one at most.
pub enum FinalResponse {
    /// The response of a backend.
    Served(Response<ResponseBody>),
    /// The request was not executed, or repeating it is harmless.
    Rejected {
        /// How long the client should wait before it retries; `None` gives no advice.
        retry_after: Option<Duration>,
    },
    /// The request may have been executed.
    Failed,
}
