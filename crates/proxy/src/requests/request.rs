//! What the client side hands over for forwarding, and what it gets back.

use crate::http1::upload::RequestBody;
use crate::upstream::response::ResponseBody;
use balancer::{ClassId, RequestArrival, RequestId, TenantId};
use hyper::{Request, Response};
use std::rc::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A client's request, checked and ready to be forwarded.
pub struct ForwardRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Expected work on a standard core, if the client stated it.
    pub work: Option<Duration>,
    /// When the final response is due.
    pub deadline: Instant,
    /// The client's id for it.
    pub id: Box<[u8]>,
    /// When its first byte was received.
    pub first_byte_at: Instant,
    /// Time left for it, from its last byte on.
    pub remaining: Duration,
    /// What is sent to backends.
    pub request: Request<RequestBody>,
    /// The connection that it came on. A client that has closed it waits for no response.
    pub client: Weak<TcpStream>,
}

impl ForwardRequest {
    /// Its arrival for the balancer, which knows it by `id`.
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

/// The one final response to a request.
pub enum FinalResponse {
    /// A backend's response.
    Served(Response<ResponseBody>),
    /// The request was not executed, or may be repeated harmlessly.
    Rejected {
        /// When the client should come back.
        retry_after: Option<Duration>,
    },
    /// The request may have been executed.
    Failed,
}
