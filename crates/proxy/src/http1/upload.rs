//! Request bodies: those that are buffered, and those too large to buffer, which are streamed to a
//! backend at its pace.

use crate::http1::body::{BodyError, PolledFrame};
use crate::http1::error::MessageError;
use crate::http1::limits::{MAX_BODY_BYTES, STALL_TIMEOUT};
use crate::memory_budget::Reservation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// An upload fails if the client sends none of its body for this long while a backend waits for
/// more.
const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which [`CLIENT_SILENCE_TIMEOUT`] and [`STALL_TIMEOUT`] of an upload are checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The body of a client's request, from which each attempt gets a stream of its own.
#[derive(Clone)]
pub enum RequestBody {
    /// A body that was received completely.
    Buffered(Bytes),
    /// A body of which a part is still to be received.
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// Returns the body for one more attempt, after which earlier attempts can no longer read a
    /// streamed body; `None` if a part of it was already consumed by an earlier attempt.
    pub fn new_stream(&self) -> Option<RequestBodyStream> {
        match self {
            RequestBody::Buffered(body) => {
                Some(RequestBodyStream::Buffered(Full::new(body.clone())))
            }
            RequestBody::Streaming(upload) if upload.is_consumed.get() => None,
            RequestBody::Streaming(upload) => Some(RequestBodyStream::Streaming {
                reader: upload.new_reader(),
                upload: upload.clone(),
                buffered_part_sent: false,
            }),
        }
    }

    /// Returns the upload; `None` if the body is buffered.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }
}

/// A streamed request body, shared by the attempts of its request.
///
/// Its first part stays buffered until an attempt reads beyond it. Until then another attempt can
/// start from the beginning.
pub struct Upload {
    /// The first part; empty once an attempt has read beyond it.
    buffered: RefCell<Bytes>,
    /// What follows the first part, as hyper receives it from the client.
    rest: RefCell<Incoming>,
    /// Length in bytes of the whole body; `None` if the client did not declare it.
    length: Option<u64>,
    /// Bytes received so far, including the buffered part.
    bytes_read: Cell<u64>,
    /// Whether an attempt has read beyond the buffered part.
    is_consumed: Cell<bool>,
    /// The attempt that may read the body. Earlier ones no longer may, since what one attempt reads
    /// is lost to the others.
    current_reader: Cell<ReaderId>,
    state: Cell<UploadState>,
    /// When the system had received the last byte, if that was noticed before the upload ended.
    arrived_at: Cell<Option<Instant>>,
    /// Notified when the last byte is known to have arrived, and when the upload has ended.
    arrived: Notify,
    activity: Cell<Activity>,
    /// Reservation of the memory in which the upload is streamed.
    _memory: Reservation,
}

/// Identifies an attempt that reads an upload; later attempts have greater numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderId(u32);

/// Whether an upload has ended, and how. An ended upload keeps its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadState {
    Receiving,
    Complete { at: Instant },
    Failed { at: Instant, error: MessageError },
}

/// How much of an upload has been received, for the log.
#[derive(Clone, Copy, Debug)]
pub struct UploadProgress {
    state: UploadState,
    bytes_read: u64,
    /// Declared length in bytes; `None` for a chunked body.
    length: Option<u64>,
}

impl fmt::Display for UploadProgress {
    /// Formats the state and the bytes received, of how many if that was declared:
    /// `receiving:70000/100000` or, for a chunked body, `complete:70000`.
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let state = match self.state {
            UploadState::Receiving => "receiving",
            UploadState::Complete { .. } => "complete",
            UploadState::Failed { .. } => "failed",
        };
        write!(formatter, "{state}:{}", self.bytes_read)?;
        self.length
            .map_or(Ok(()), |length| write!(formatter, "/{length}"))
    }
}

/// The last activity of either side of an upload.
#[derive(Clone, Copy, Debug)]
struct Activity {
    at: Instant,
    /// Whether a backend has asked for more of the body and the client has not sent any since.
    waiting_for_client: bool,
}

impl Activity {
    /// Activity at this moment.
    fn now(waiting_for_client: bool) -> Self {
        Activity {
            at: Instant::now(),
            waiting_for_client,
        }
    }
}

impl Upload {
    /// Creates an upload of which `buffered` was received already and `rest` is to be received.
    /// `length` is the declared length of both together, in bytes; `memory` is reserved for streaming.
    ///
    /// `rest` must not have ended: hyper reads a body of declared length no further than that, and
    /// the upload would never be complete.
    pub fn new(
        buffered: Bytes,
        rest: Incoming,
        length: Option<u64>,
        memory: Reservation,
    ) -> Rc<Self> {
        debug_assert!(!rest.is_end_stream(), "the upload has ended already");
        Rc::new(Upload {
            bytes_read: Cell::new(buffered.len() as u64),
            buffered: RefCell::new(buffered),
            rest: RefCell::new(rest),
            length,
            is_consumed: Cell::new(false),
            current_reader: Cell::default(),
            state: Cell::new(UploadState::Receiving),
            arrived_at: Cell::new(None),
            arrived: Notify::new(),
            activity: Cell::new(Activity::now(false)),
            _memory: memory,
        })
    }

    /// Returns why the upload failed; `None` if it has not.
    pub fn error(&self) -> Option<MessageError> {
        match self.state.get() {
            UploadState::Failed { error, .. } => Some(error),
            UploadState::Receiving | UploadState::Complete { .. } => None,
        }
    }

    /// Returns how much of the body has been received.
    pub fn progress(&self) -> UploadProgress {
        UploadProgress {
            state: self.state.get(),
            bytes_read: self.bytes_read.get(),
            length: self.length,
        }
    }

    /// Whether all of the body was received.
    pub fn is_complete(&self) -> bool {
        matches!(self.state.get(), UploadState::Complete { .. })
    }

    /// Returns when the upload was complete or failed; `None` while it lasts.
    pub fn ended_at(&self) -> Option<Instant> {
        match self.state.get() {
            UploadState::Receiving => None,
            UploadState::Complete { at } | UploadState::Failed { at, .. } => Some(at),
        }
    }

    /// Records that the system had received the last byte at `at`, although not all was read.
    pub fn record_arrival(&self, at: Instant) {
        if self.arrived_at().is_none() {
            self.arrived_at.set(Some(at));
            self.arrived.notify_waiters();
        }
    }

    /// Returns when the last byte had arrived, or the upload failed; `None` while neither is known.
    pub fn arrived_at(&self) -> Option<Instant> {
        self.arrived_at.get().or(self.ended_at())
    }

    /// Waits until the last byte is known to have arrived or the upload has failed, and returns when that
    /// was.
    pub async fn arrived(&self) -> Instant {
        loop {
            let arrived = self.arrived.notified();
            if let Some(at) = self.arrived_at() {
                return at;
            }
            arrived.await;
        }
    }

    /// Waits until neither the client nor the backend has made progress for [`STALL_TIMEOUT`], or
    /// until the client has been silent for [`CLIENT_SILENCE_TIMEOUT`] while the backend waited for
    /// it, which fails the upload with [`MessageError::BodyTimeout`]. Never completes if the upload
    /// ends before that.
    pub async fn stalled(&self) {
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            if self.ended_at().is_some() {
                return std::future::pending().await;
            }
            let activity = self.activity.get();
            let inactive = activity.at.elapsed();
            if activity.waiting_for_client && inactive >= CLIENT_SILENCE_TIMEOUT {
                return self.fail(MessageError::BodyTimeout);
            }
            if inactive >= STALL_TIMEOUT {
                return;
            }
        }
    }

    /// Lets a new attempt read the body, and no earlier one.
    fn new_reader(&self) -> ReaderId {
        let reader = ReaderId(self.current_reader.get().0 + 1);
        self.current_reader.set(reader);
        reader
    }

    fn complete(&self) {
        let at = Instant::now();
        self.end(UploadState::Complete { at });
    }

    fn fail(&self, error: MessageError) {
        let at = Instant::now();
        self.end(UploadState::Failed { at, error });
    }

    /// Sets the final state, unless the upload has ended already.
    fn end(&self, state: UploadState) {
        if self.state.get() == UploadState::Receiving {
            self.state.set(state);
            self.arrived.notify_waiters();
        }
    }

    /// Reads the next frame beyond the buffered part. Fails with the error of the upload once it
    /// has failed.
    fn poll_rest(&self, cx: &mut Context) -> PolledFrame {
        loop {
            match self.state.get() {
                UploadState::Receiving => {}
                UploadState::Complete { .. } => return Poll::Ready(None),
                UploadState::Failed { error, .. } => return Poll::Ready(Some(Err(error.into()))),
            }
            let polled = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            let Poll::Ready(frame) = polled else {
                if !self.activity.get().waiting_for_client {
                    self.activity.set(Activity::now(true));
                }
                return Poll::Pending;
            };
            self.activity.set(Activity::now(false));
            match frame {
                None => self.complete(),
                Some(Err(_)) => self.fail(MessageError::IncompleteBody),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Some(data) = frame.into_data().ok().and_then(|data| self.accept(data)) {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    /// Counts received data, which may be the last. Returns it, or `None` if the body now exceeds
    /// [`MAX_BODY_BYTES`], which fails the upload.
    fn accept(&self, data: Bytes) -> Option<Bytes> {
        self.is_consumed.set(true);
        *self.buffered.borrow_mut() = Bytes::new();
        self.bytes_read
            .set(self.bytes_read.get() + data.len() as u64);
        if self.bytes_read.get() > MAX_BODY_BYTES {
            self.fail(MessageError::BodyTooLarge);
            return None;
        }
        if self.rest.borrow().is_end_stream() {
            self.complete();
        }
        Some(data)
    }
}

/// The body of a request as one attempt sends it to a backend.
pub enum RequestBodyStream {
    /// A body that was received completely.
    Buffered(Full<Bytes>),
    /// A body of which a part was still to be received when the attempt started.
    Streaming {
        /// The upload that the body is read from.
        upload: Rc<Upload>,
        /// The attempt that reads it; reading fails once a later attempt does.
        reader: ReaderId,
        /// Whether this attempt has sent the buffered part.
        buffered_part_sent: bool,
    },
}

impl Default for RequestBodyStream {
    fn default() -> Self {
        RequestBodyStream::Buffered(Full::default())
    }
}

impl Body for RequestBodyStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> PolledFrame {
        match self.get_mut() {
            RequestBodyStream::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            RequestBodyStream::Streaming { upload, reader, .. }
                if *reader != upload.current_reader.get() =>
            {
                Poll::Ready(Some(Err(
                    "the request body is read by a later attempt".into()
                )))
            }
            RequestBodyStream::Streaming {
                upload,
                buffered_part_sent,
                ..
            } => {
                let buffered = upload.buffered.borrow().clone();
                if !std::mem::replace(buffered_part_sent, true) && !buffered.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(buffered))));
                }
                upload.poll_rest(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBodyStream::Buffered(body) => body.is_end_stream(),
            RequestBodyStream::Streaming {
                upload,
                buffered_part_sent,
                ..
            } => *buffered_part_sent && upload.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBodyStream::Buffered(body) => body.size_hint(),
            RequestBodyStream::Streaming { upload, .. } => upload
                .length
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
