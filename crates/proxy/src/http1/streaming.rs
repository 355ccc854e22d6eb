//! Messages too large to be held: they pass through as they come, at the pace of whoever takes
//! them.

use crate::http1::head_filter::{Problem, HELD_BODY, MOST_BODY};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// Who takes or gives nothing of a large message for so long is not waited for any more.
pub const STALL: Duration = Duration::from_secs(10);
/// The same for a client that gives nothing of its request.
const SILENCE: Duration = Duration::from_secs(2);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(250);

/// What goes wrong with a body on its way.
pub type BodyError = Box<dyn Error + Send + Sync>;

type Polled = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A request's body, on its way from the client to servers.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it is here.
    Whole(Bytes),
    /// More of it is to come.
    StreamingResponse(Rc<Upload>),
}

impl RequestBody {
    /// What one attempt sends. None: part of it is gone, and it can't be sent again.
    pub fn sending(&self) -> Option<RequestBodyStream> {
        match self {
            RequestBody::Whole(body) => Some(RequestBodyStream::Whole(Full::new(body.clone()))),
            RequestBody::StreamingResponse(upload) if upload.beyond.get() => None,
            RequestBody::StreamingResponse(upload) => {
                let reader = upload.readers.get() + 1;
                upload.readers.set(reader);
                Some(RequestBodyStream::StreamingResponse {
                    upload: upload.clone(),
                    reader,
                    begun: false,
                })
            }
        }
    }

    /// The body, where more of it is to come.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Whole(_) => None,
            RequestBody::StreamingResponse(upload) => Some(upload),
        }
    }
}

/// A large body of a request. Its first part is held until more is taken.
pub struct Upload {
    held: RefCell<Bytes>,
    rest: RefCell<Incoming>,
    length: Option<u64>,
    read: Cell<u64>,
    /// More than what is held was taken.
    beyond: Cell<bool>,
    /// Attempts that have read it. Only the latest may: what one takes another doesn't get.
    readers: Cell<u32>,
    /// How it ended, once it has.
    end: Cell<Option<Result<(), Problem>>>,
    /// When.
    ended_at: Cell<Option<Instant>>,
    ended: Notify,
    /// When something was last given or asked for, and whether the client has been asked for more
    /// since.
    moved: Cell<(Instant, bool)>,
}

impl Upload {
    /// Of a body that is to be so long, if that is known; `held` of it has come.
    pub fn new(held: Bytes, rest: Incoming, length: Option<u64>) -> Rc<Self> {
        Rc::new(Upload {
            read: Cell::new(held.len() as u64),
            held: RefCell::new(held),
            rest: RefCell::new(rest),
            length,
            beyond: Cell::new(false),
            readers: Cell::new(0),
            end: Cell::new(None),
            ended_at: Cell::new(None),
            ended: Notify::new(),
            moved: Cell::new((Instant::now(), false)),
        })
    }

    /// What is wrong with it, once that is known.
    pub fn problem(&self) -> Option<Problem> {
        self.end.get().and_then(Result::err)
    }

    /// Whether all of it was taken.
    pub fn whole(&self) -> bool {
        self.end.get() == Some(Ok(()))
    }

    /// When that was, or when it became known that it never will be.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended_at.get()
    }

    /// Waits until all of it was taken, or never will be.
    pub async fn ended(&self) {
        loop {
            let ended = self.ended.notified();
            if self.end.get().is_some() {
                return;
            }
            ended.await;
        }
    }

    /// Waits until neither side has moved for too long. A client that is silent has spoilt its
    /// request.
    pub async fn stalled(&self) {
        loop {
            tokio::time::sleep(LOOK).await;
            if self.end.get().is_some() {
                return std::future::pending().await;
            }
            let (at, asked) = self.moved.get();
            if asked && at.elapsed() >= SILENCE {
                return self.finish(Err((StatusCode::REQUEST_TIMEOUT, "the body took too long")));
            }
            if at.elapsed() >= STALL {
                return;
            }
        }
    }

    fn finish(&self, end: Result<(), Problem>) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
            self.ended_at.set(Some(Instant::now()));
            self.ended.notify_waiters();
        }
    }

    fn poll(&self, cx: &mut Context) -> Polled {
        loop {
            if let Some(end) = self.end.get() {
                return Poll::Ready(end.err().map(|problem| Err(problem.1.into())));
            }
            let mut rest = self.rest.borrow_mut();
            let Poll::Ready(frame) = Pin::new(&mut *rest).poll_frame(cx) else {
                if !self.moved.get().1 {
                    self.moved.set((Instant::now(), true));
                }
                return Poll::Pending;
            };
            self.moved.set((Instant::now(), false));
            match frame {
                None => self.finish(Ok(())),
                Some(Err(_)) => {
                    self.finish(Err((StatusCode::BAD_REQUEST, "the body is not whole")));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.beyond.set(true);
                    *self.held.borrow_mut() = Bytes::new();
                    self.read.set(self.read.get() + data.len() as u64);
                    if self.read.get() > MOST_BODY {
                        self.finish(Err((
                            StatusCode::PAYLOAD_TOO_LARGE,
                            "the body is too large",
                        )));
                        continue;
                    }
                    if rest.is_end_stream() {
                        self.finish(Ok(()));
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }
}

/// A request's body on its way to one server.
pub enum RequestBodyStream {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// More of it is to come.
    StreamingResponse {
        /// Where from.
        upload: Rc<Upload>,
        /// For which attempt.
        reader: u32,
        /// What is held was taken.
        begun: bool,
    },
}

impl Default for RequestBodyStream {
    fn default() -> Self {
        RequestBodyStream::Whole(Full::default())
    }
}

impl Body for RequestBodyStream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Polled {
        match self.get_mut() {
            RequestBodyStream::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            RequestBodyStream::StreamingResponse { upload, reader, .. }
                if *reader != upload.readers.get() =>
            {
                Poll::Ready(Some(Err("another attempt has the body".into())))
            }
            RequestBodyStream::StreamingResponse { upload, begun, .. } => {
                let held = upload.held.borrow().clone();
                if !std::mem::replace(begun, true) && !held.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(held))));
                }
                upload.poll(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBodyStream::Whole(body) => body.is_end_stream(),
            RequestBodyStream::StreamingResponse { upload, begun, .. } => *begun && upload.whole(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBodyStream::Whole(body) => body.size_hint(),
            RequestBodyStream::StreamingResponse { upload, .. } => upload
                .length
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// How an answer ended that was passed on as it came. Without a word of it the client has left.
pub enum StreamOutcome {
    /// All of it was taken.
    Whole,
    /// It broke.
    Broken(String),
}

/// A server's answer on its way to the client.
pub struct StreamingResponse {
    held: Bytes,
    rest: Incoming,
    read: u64,
    end: Option<oneshot::Sender<StreamOutcome>>,
}

impl StreamingResponse {
    /// What has come of it, and the rest; its end is told through the channel.
    pub fn new(held: Bytes, rest: Incoming) -> (Self, oneshot::Receiver<StreamOutcome>) {
        let (end, ended) = oneshot::channel();
        let read = held.len() as u64;
        (
            StreamingResponse {
                held,
                rest,
                read,
                end: Some(end),
            },
            ended,
        )
    }

    fn finish(&mut self, end: StreamOutcome) {
        if let Some(told) = self.end.take() {
            let _ = told.send(end);
        }
    }
}

impl Body for StreamingResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Polled {
        if !self.held.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.held)))));
        }
        loop {
            let broken = match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.finish(StreamOutcome::Whole);
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.read += data.len() as u64;
                    if self.read <= MOST_BODY {
                        if self.rest.is_end_stream() {
                            self.finish(StreamOutcome::Whole);
                        }
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                    "the body is too large".into()
                }
                Some(Err(error)) => BodyError::from(error),
            };
            let source = broken
                .source()
                .map(|s| format!(": {s}"))
                .unwrap_or_default();
            self.finish(StreamOutcome::Broken(format!("{broken}{source}")));
            return Poll::Ready(Some(Err(broken)));
        }
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint().exact();
        rest.map_or_else(SizeHint::new, |rest| {
            SizeHint::with_exact(rest + self.held.len() as u64)
        })
    }
}

/// Reads a body into what is held until all is there, which it says, or more than may be held.
pub async fn buffer_body(
    held: &mut bytes::BytesMut,
    body: &mut Incoming,
) -> Result<bool, hyper::Error> {
    while held.len() <= HELD_BODY {
        match poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            None => return Ok(true),
            Some(frame) => frame?
                .into_data()
                .iter()
                .for_each(|data| held.extend_from_slice(data)),
        }
    }
    Ok(body.is_end_stream() && held.len() <= HELD_BODY)
}
