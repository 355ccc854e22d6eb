//! Types for reading a body frame by frame, and the buffering of small bodies.

use crate::http1::limits::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// An error of a body that is being received or sent: hyper's, a
/// [`MessageError`](crate::http1::error::MessageError), or a read by an attempt that is not the
/// latest one.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// The result of polling a body for its next frame; `None` at the end of the body.
pub type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// How much of a body is in the buffer after [`buffer_body`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedPart {
    /// All of the body.
    Complete,
    /// Only its beginning; the rest, or the end of a body of unknown length, is still to be read from
    /// the body.
    Incomplete,
}

/// Reads a body into `buffer` until the body is complete or the buffer exceeds
/// [`MAX_BUFFERED_BODY_BYTES`]. A body of declared length whose last byte is in the frame that
/// exceeds that size is complete. Trailers are discarded.
///
/// # Errors
///
/// Returns hyper's error if the body is malformed or ends early.
///
/// # Cancellation
///
/// Cancel safe: everything that was read is in `buffer`, and the next call continues from there.
pub async fn buffer_body(
    buffer: &mut BytesMut,
    body: &mut Incoming,
) -> Result<BufferedPart, hyper::Error> {
    while buffer.len() <= MAX_BUFFERED_BODY_BYTES {
        let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await else {
            return Ok(BufferedPart::Complete);
        };
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    // A body of declared length is polled no further than that by whoever sends it on, so that its
    // end has to be noticed here.
    Ok(if body.is_end_stream() {
        BufferedPart::Complete
    } else {
        BufferedPart::Incomplete
    })
}
