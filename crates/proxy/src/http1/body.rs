//! Reading bodies frame by frame.

use crate::http1::limits::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming};
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// What goes wrong with a body in transit.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// What polling a body for its next frame yields.
pub type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// How much of a body is in the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedPart {
    /// All of it.
    Complete,
    /// Its beginning only.
    Incomplete,
}

/// Reads a body into `buffer` until it is complete or exceeds [`MAX_BUFFERED_BODY_BYTES`].
///
/// # Errors
///
/// Returns the error of the body, which was malformed or ended early.
///
/// # Cancellation
///
/// Cancel safe: whatever was read is in `buffer`, and the next call continues from there.
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
    Ok(BufferedPart::Incomplete)
}
