//! The client's side of a request in progress: waits for the final response, and reports when the
//! client stops waiting.

use super::request::FinalResponse;
use balancer::RequestId;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Receives the end of pending requests.
pub trait PendingRequestObserver {
    /// Called once per pending request, when its client no longer waits for a response: it has
    /// received one, has disconnected, or its time is over.
    fn client_finished(&self, request: RequestId);
}

/// A request whose final response is outstanding.
///
/// Dropping it reports to the observer that the client no longer waits. If there is no final
/// response by then, the client has disconnected or its time is over.
pub struct PendingRequest {
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    observer: Rc<dyn PendingRequestObserver>,
}

impl PendingRequest {
    /// Creates a pending request that receives its final response from `response` and reports its
    /// end to `observer`.
    pub fn new(
        id: RequestId,
        response: oneshot::Receiver<FinalResponse>,
        observer: Rc<dyn PendingRequestObserver>,
    ) -> Self {
        PendingRequest {
            id,
            response,
            observer,
        }
    }

    /// Returns the id that this node has given to the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the final response, and returns [`FinalResponse::Failed`] if `deadline` completes
    /// before there is one.
    ///
    /// # Cancellation
    ///
    /// Dropping the future counts as a disconnect of the client.
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
        self.observer.client_finished(self.id);
    }
}
