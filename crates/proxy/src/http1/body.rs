//! Types for reading a body frame by frame, and the buffering of small bodies.

use crate::http1::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory_budget::Reservation;
use bytes::Bytes;
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

/// How much of a body is in the buffer after [`BodyBuffer::fill`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedPart {
    /// All of the body.
    Complete,
    /// Only its beginning; the rest, or the end of a body of unknown length, is still to be read from
    /// the body.
    Incomplete,
    /// Only its beginning, since the memory budget has no room for more.
    OutOfMemory,
}

/// The beginning of a body that is being received, in memory that is reserved as it grows.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// Declared length of the body, as far as it is buffered at all; `None` if it is unknown.
    length: Option<usize>,
    /// Reservation of the capacity of `bytes`.
    memory: Reservation,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of this declared length, whose memory is added to `memory`.
    pub fn new(length: Option<u64>, memory: Reservation) -> Self {
        let length = length.and_then(|length| usize::try_from(length).ok());
        BodyBuffer {
            bytes: Vec::new(),
            length: length.filter(|length| *length <= MAX_BUFFERED_BODY_BYTES),
            memory,
        }
    }

    /// Creates a buffer for a body of this declared length, which `memory` has reserved.
    pub fn with_reserved_length(length: usize, memory: Reservation) -> Self {
        BodyBuffer {
            bytes: Vec::with_capacity(length),
            length: Some(length),
            memory,
        }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the bytes, which hold the reservation of their memory.
    pub fn into_bytes(self) -> Bytes {
        self.memory.attach_to(self.bytes)
    }

    /// Reads a body until it is complete or the buffer exceeds [`MAX_BUFFERED_BODY_BYTES`]. A body of
    /// declared length whose last byte is in the frame that exceeds that size is complete. Trailers are
    /// discarded.
    ///
    /// If there is no memory for more, it ends with [`BufferedPart::OutOfMemory`]. The frame that found
    /// no room is buffered beyond the budget.
    ///
    /// # Errors
    ///
    /// Returns hyper's error if the body is malformed or ends early.
    ///
    /// # Cancellation
    ///
    /// Cancel safe: everything that was read is in the buffer, and the next call continues from there.
    pub async fn fill(&mut self, body: &mut Incoming) -> Result<BufferedPart, hyper::Error> {
        while self.bytes.len() <= MAX_BUFFERED_BODY_BYTES {
            let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await else {
                return Ok(BufferedPart::Complete);
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if !self.append(&data) {
                return Ok(BufferedPart::OutOfMemory);
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

    /// Appends data. Returns whether the budget had room for it.
    fn append(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        let mut has_room = true;
        if needed > self.bytes.capacity() {
            let capacity = self.grown_capacity(needed);
            has_room = self.memory.try_grow(capacity - self.bytes.capacity());
            let capacity = if has_room { capacity } else { needed };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        has_room
    }

    /// Returns the capacity for `needed` bytes: twice as much as before, but no more than the declared
    /// length.
    fn grown_capacity(&self, needed: usize) -> usize {
        let doubled = 2 * self.bytes.capacity();
        let largest = self.length.unwrap_or(MAX_BUFFERED_BODY_BYTES);
        needed.max(doubled.min(largest))
    }
}
