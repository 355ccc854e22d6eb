//! The client's end of a request in progress.

use super::request::FinalResponse;
use balancer::RequestId;
use std::future::Future;
use tokio::sync::oneshot;

/// A request whose final response is outstanding. Dropping it reports that the client needs none any
/// more: it has disconnected, or its time is over.
pub struct PendingRequest {
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    on_drop: Box<dyn Fn(RequestId)>,
}

impl PendingRequest {
    /// The response is received from `response`; `on_drop` is called with the id at the end.
    pub fn new(
        id: RequestId,
        response: oneshot::Receiver<FinalResponse>,
        on_drop: impl Fn(RequestId) + 'static,
    ) -> Self {
        PendingRequest {
            id,
            response,
            on_drop: Box::new(on_drop),
        }
    }

    /// Its id at this node.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the final response. It is [`FinalResponse::Failed`] once `deadline` completes.
    ///
    /// # Cancellation
    ///
    /// Dropping the future counts as the client's disconnecting.
    pub async fn response(mut self, deadline: impl Future<Output = ()>) -> FinalResponse {
        tokio::select! {
            biased;
            response = &mut self.response => response.unwrap_or(FinalResponse::Failed),
            () = deadline => FinalResponse::Failed,
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        (self.on_drop)(self.id);
    }
}
