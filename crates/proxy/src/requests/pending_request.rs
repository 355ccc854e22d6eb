//! The client's end of a request in progress.

use super::request::FinalResponse;
use balancer::RequestId;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Receives the end of pending requests.
pub trait PendingRequestObserver {
    /// The client waits for no response any more: it has its response or has disconnected, or its
    /// time is over.
    fn client_finished(&self, request: RequestId);
}

/// A request whose final response is outstanding. Dropping it reports that the client needs none any
/// more: it has disconnected, or its time is over.
pub struct PendingRequest {
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    observer: Rc<dyn PendingRequestObserver>,
}

impl PendingRequest {
    /// The response is received from `response`; the end is reported to `observer`.
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
        self.observer.client_finished(self.id);
    }
}
