//! Builds responses to clients, whose body notifies the connection of its progress and its end.

use crate::downstream::connection::ClientConnection;
use crate::downstream::request_head::RequestError;
use crate::http1::body::{BodyError, PolledFrame};
use crate::http1::hop_by_hop::end_to_end_headers;
use crate::requests::request::FinalResponse;
use crate::upstream::response::ResponseBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The body of a response to a client. Dropping it finishes the response on its connection, which
/// then waits for the next request.
pub struct ClientBody {
    body: ResponseBody,
    /// The connection to notify; `None` until the body is attached to it.
    connection: Option<Rc<ClientConnection>>,
}

impl ClientBody {
    fn new(body: ResponseBody) -> Self {
        ClientBody {
            body,
            connection: None,
        }
    }

    /// Makes the body report its progress and its end to the connection that it is sent on.
    pub fn attach(&mut self, connection: Rc<ClientConnection>) {
        self.connection = Some(connection);
    }

    /// Whether the body is still being received from the backend, and streamed to the client.
    pub fn is_streaming(&self) -> bool {
        matches!(self.body, ResponseBody::Streaming(_))
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> PolledFrame {
        let body = self.get_mut();
        match &mut body.body {
            ResponseBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ResponseBody::Streaming(response) => {
                let polled = Pin::new(response).poll_frame(cx);
                if let (Poll::Ready(_), Some(connection)) = (&polled, &body.connection) {
                    connection.record_progress();
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ResponseBody::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streaming(response) => response.size_hint(),
        }
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.finish_response();
        }
    }
}

/// The extension of a response that holds why its request was rejected.
#[derive(Clone, Copy)]
struct RejectedRequest(RequestError);

/// Returns a response with a body of plain text.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<ClientBody> {
    let body = ResponseBody::Buffered(text.into());
    let mut response = Response::new(ClientBody::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Returns the response that rejects a request, with the text of the error as its body.
///
/// It closes the connection: after a malformed message, the next one may not begin where it seems
/// to.
pub fn rejection(error: RequestError) -> Response<ClientBody> {
    let mut response = plain_text(error.status(), error.to_string());
    response.extensions_mut().insert(RejectedRequest(error));
    set_connection_close(&mut response);
    response
}

/// Returns why the request of a response was rejected; `None` unless [`rejection`] made the
/// response.
pub fn rejection_reason(response: &Response<ClientBody>) -> Option<RequestError> {
    let RejectedRequest(error) = response.extensions().get()?;
    Some(*error)
}

/// Returns the response to a request that the dispatcher has accepted: the backend's if it was
/// served, else 503 if the client may safely retry, and 504 if the request may have been executed.
pub fn final_response(response: FinalResponse) -> Response<ClientBody> {
    match response {
        FinalResponse::Served(response) => forwarded(response),
        FinalResponse::Rejected { retry_after } => service_unavailable(retry_after),
        FinalResponse::Failed => plain_text(
            StatusCode::GATEWAY_TIMEOUT,
            "failed: the request may have been carried out",
        ),
    }
}

/// Sets the header by which a response asks the client to close its connection; hyper closes it as
/// well after that response.
pub fn set_connection_close(response: &mut Response<ClientBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Makes the client's response from a backend's. Only responses with status 200 are forwarded, so
/// the status is not copied.
fn forwarded(response: Response<ResponseBody>) -> Response<ClientBody> {
    let (head, body) = response.into_parts();
    let mut response = Response::new(ClientBody::new(body));
    *response.headers_mut() = end_to_end_headers(head.headers);
    response
}

/// Returns the response to a request that the client may safely retry, after `retry_after` if that
/// is known. `Retry-After` is in seconds, with three decimals.
fn service_unavailable(retry_after: Option<Duration>) -> Response<ClientBody> {
    let mut response = plain_text(
        StatusCode::SERVICE_UNAVAILABLE,
        "refused: trying again is harmless",
    );
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        let seconds =
            HeaderValue::from_str(&seconds).expect("a decimal number is valid in a header");
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
