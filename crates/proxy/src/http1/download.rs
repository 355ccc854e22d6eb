//! Responses that are too large or too slow to buffer, which are streamed to the client at its
//! pace.

use crate::http1::body::{BodyError, PolledFrame};
use crate::http1::error::MessageError;
use crate::http1::limits::MAX_BODY_BYTES;
use crate::memory_budget::Reservation;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::oneshot;

/// How a streamed response ended. If the channel closes without an outcome, the client has
/// disconnected.
pub enum StreamOutcome {
    /// All of the response was read from the backend.
    Complete,
    /// The response failed before its end, for this reason.
    Failed(String),
}

/// The body of a backend's response on its way to the client.
pub struct StreamingResponse {
    /// The beginning, which was buffered before the response turned out to be streamed.
    buffered: Bytes,
    rest: Incoming,
    /// Bytes of the body read so far, including the buffered ones.
    bytes_read: u64,
    /// `None` once the outcome was sent.
    outcome: Option<oneshot::Sender<StreamOutcome>>,
    /// Reservation of the memory in which the response is streamed.
    _memory: Reservation,
}

impl StreamingResponse {
    /// Continues a response of which `buffered` was read already and `rest` is to be read, in the
    /// reserved `memory`. The receiver gets its outcome.
    pub fn new(
        buffered: Bytes,
        rest: Incoming,
        memory: Reservation,
    ) -> (Self, oneshot::Receiver<StreamOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let bytes_read = buffered.len() as u64;
        let response = StreamingResponse {
            buffered,
            rest,
            bytes_read,
            outcome: Some(sender),
            _memory: memory,
        };
        (response, receiver)
    }

    /// Sends the outcome, unless one was sent before.
    fn finish(&mut self, outcome: StreamOutcome) {
        if let Some(sender) = self.outcome.take() {
            let _ = sender.send(outcome);
        }
    }

    /// Counts a frame of data, which may be the last one, and fails the response if its body
    /// exceeds [`MAX_BODY_BYTES`].
    fn accept(&mut self, data: Bytes) -> Result<Frame<Bytes>, BodyError> {
        self.bytes_read += data.len() as u64;
        if self.bytes_read > MAX_BODY_BYTES {
            return Err(self.fail(MessageError::BodyTooLarge.into()));
        }
        if self.rest.is_end_stream() {
            self.finish(StreamOutcome::Complete);
        }
        Ok(Frame::data(data))
    }

    /// Sends the error, with its source, as the outcome, and returns it.
    fn fail(&mut self, error: BodyError) -> BodyError {
        let source = error
            .source()
            .map(|source| format!(": {source}"))
            .unwrap_or_default();
        self.finish(StreamOutcome::Failed(format!("{error}{source}")));
        error
    }
}

impl Body for StreamingResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> PolledFrame {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.finish(StreamOutcome::Complete);
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.accept(data)));
                    }
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(self.fail(error.into())))),
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint().exact();
        rest.map_or_else(SizeHint::new, |rest| {
            SizeHint::with_exact(rest + self.buffered.len() as u64)
        })
    }
}
