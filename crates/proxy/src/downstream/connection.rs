//! One client connection: its state, from its accept until it is closed.

mod request_policy;
mod timeouts;

pub use request_policy::REJECTED_METHOD;
pub use timeouts::MIN_IDLE_TIME;

use crate::downstream::connection_state::ConnectionState;
use crate::downstream::delivery::Delivery;
use crate::downstream::unread_body::UnreadBody;
use crate::http1::enlarged_buffer::EnlargedBuffer;
use crate::http1::error::MessageError;
use crate::memory_budget::MemoryBudget;
use crate::send_invariants::{self, Invariant};
use crate::socket::is_open_without_unread_bytes;
use socket2::SockRef;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Size of the socket's send buffer, in bytes, once a response is streamed: a slow client fills
/// all of it.
const STREAMING_SEND_BUFFER_BYTES: usize = 256 << 10;

/// Size of the socket's send buffer, in bytes, for the end of a response that finds no room. The
/// system reports room only when a third of the buffer is free, so that it has to be larger by half
/// than what the socket holds.
const FLUSHING_SEND_BUFFER_BYTES: usize = 2 * STREAMING_SEND_BUFFER_BYTES;

/// A client connection: its socket and its state. Shared by the task that serves it, its response
/// bodies and the table of connections.
pub struct ClientConnection {
    socket: Rc<TcpStream>,
    state: Cell<ConnectionState>,
    /// Why the head that was read last is rejected; `None` if it is not.
    rejection: Cell<Option<MessageError>>,
    /// The request whose head went to hyper, until its response is dropped. Pipelined requests wait
    /// for that.
    accepted_request: Cell<Option<AcceptedRequest>>,
    /// The earliest instant at which the connection may have entered the accept queue; `None` if no
    /// bytes had been received by the time of the accept. Taken by the first request.
    queued_since: Cell<Option<Instant>>,
    /// Whether the last request was rejected, so that more of it may still arrive.
    last_request_rejected: Cell<bool>,
    /// Whether a response was complete before all of its request was read.
    upload_unfinished: Cell<bool>,
    /// The output of a lingering connection; empty for any other.
    delivery: OnceCell<Delivery>,
    /// Reservation of the memory by which the read buffer has grown.
    enlarged_buffer: EnlargedBuffer,
    /// What the client still has to send of the body of the request in flight.
    unread_body: UnreadBody,
    /// When bytes of the body that is being buffered were last received; `None` while none is.
    body_progress: Cell<Option<Instant>>,
    /// Notified when the request whose body is being buffered is to be refused.
    body_evicted: Notify,
    /// Notified when the state changes from outside the task that serves the connection.
    state_changed: Notify,
}

/// A request whose head went to hyper.
#[derive(Clone, Copy, Debug)]
struct AcceptedRequest {
    /// When its last byte was received; `None` unless it was received together with the head.
    complete_at: Option<Instant>,
}

impl ClientConnection {
    /// Wraps a connection that was just accepted, and may have waited in the accept queue since
    /// `queued_since`. It reserves `memory` if its buffer is enlarged.
    pub fn new(socket: TcpStream, queued_since: Instant, memory: Rc<MemoryBudget>) -> Self {
        let has_unread_bytes = !is_open_without_unread_bytes(&socket);
        ClientConnection {
            socket: Rc::new(socket),
            state: Cell::new(ConnectionState::AwaitingFirstRequest {
                since: Instant::now(),
            }),
            rejection: Cell::new(None),
            accepted_request: Cell::new(None),
            queued_since: Cell::new(has_unread_bytes.then_some(queued_since)),
            last_request_rejected: Cell::new(false),
            upload_unfinished: Cell::new(false),
            delivery: OnceCell::new(),
            unread_body: UnreadBody::default(),
            body_progress: Cell::new(None),
            body_evicted: Notify::new(),
            enlarged_buffer: EnlargedBuffer::new(memory),
            state_changed: Notify::new(),
        }
    }

    /// Returns the socket, which the head filter and the request in flight share.
    pub fn socket(&self) -> &Rc<TcpStream> {
        &self.socket
    }

    /// Returns the present state.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Waits until the state has been changed from outside the task that serves the connection, by
    /// a timeout or an eviction.
    pub async fn state_changed(&self) {
        self.state_changed.notified().await;
    }

    // ---- requests and responses ----

    /// Records that hyper hands a request to its handler, and returns when the head of that request
    /// began; for the first request of the connection, the time of the accept.
    pub fn start_request(&self) -> Instant {
        let head_started_at = self.state.get().head_since();
        let since = Instant::now();
        self.state.set(ConnectionState::RequestInFlight { since });
        head_started_at
    }

    /// Returns when the last byte of the request in flight was received; `None` unless it was
    /// received together with the head.
    pub fn request_complete_at(&self) -> Option<Instant> {
        self.accepted_request.get()?.complete_at
    }

    /// Returns why the head that was read last is rejected; `None` if it is not.
    pub fn rejection(&self) -> Option<MessageError> {
        self.rejection.get()
    }

    /// Records whether the last request was rejected. If it was, what the client still sends of it
    /// is read before the connection is closed.
    pub fn set_last_request_rejected(&self, rejected: bool) {
        self.last_request_rejected.set(rejected);
    }

    /// Whether the last request was rejected, so that more of it may still arrive.
    pub fn last_request_rejected(&self) -> bool {
        self.last_request_rejected.get()
    }

    /// Whether the system has received the last byte of the request in flight, see
    /// [`UnreadBody::has_arrived`].
    pub fn request_has_arrived(&self) -> bool {
        self.unread_body.has_arrived(&self.socket)
    }

    /// Records that the body of a request is being buffered from now on.
    pub fn start_receiving_body(&self) {
        self.body_progress.set(Some(Instant::now()));
    }

    /// Records that no body is being buffered any more.
    pub fn finish_receiving_body(&self) {
        self.body_progress.set(None);
    }

    /// Returns since when the client has sent nothing of the body that is being buffered; `None` if none
    /// is, or if there are unread bytes of it.
    pub fn body_stalled_since(&self) -> Option<Instant> {
        self.body_progress
            .get()
            .filter(|_| is_open_without_unread_bytes(&self.socket))
    }

    /// Has the request refused whose body is being buffered.
    pub fn evict_body(&self) {
        self.body_progress.set(None);
        self.body_evicted.notify_waiters();
    }

    /// Waits for [`ClientConnection::evict_body`].
    pub async fn body_evicted(&self) {
        self.body_evicted.notified().await;
    }

    /// Records that the response is complete before all of the request was read.
    pub fn set_upload_unfinished(&self) {
        self.upload_unfinished.set(true);
    }

    /// Whether a response was complete before all of its request was read.
    pub fn upload_unfinished(&self) -> bool {
        self.upload_unfinished.get()
    }

    /// Records that the response to the request in flight is streamed, and bounds the socket's send
    /// buffer to [`STREAMING_SEND_BUFFER_BYTES`].
    pub fn start_streaming(&self) {
        let last_progress = Instant::now();
        self.state
            .set(ConnectionState::StreamingResponse { last_progress });
        let socket = SockRef::from(&*self.socket);
        let _ = socket.set_send_buffer_size(STREAMING_SEND_BUFFER_BYTES);
    }

    /// Makes room in the socket for the end of a response, which is no more than hyper holds. What the
    /// socket has taken reaches the client after the exit of the process too. Has no effect where the
    /// system allows no larger buffer.
    fn enlarge_send_buffer(&self) {
        let socket = SockRef::from(&*self.socket);
        let _ = socket.set_send_buffer_size(FLUSHING_SEND_BUFFER_BYTES);
    }

    /// Records that a part of the response, or its end, is ready for the client or was taken by the
    /// socket, which restarts the stall timeout.
    pub fn record_progress(&self) {
        let state = self.state.get().restarted_at(Instant::now());
        self.state.set(state);
    }

    /// Records that hyper has read all of the response, or dropped it. The connection is idle once
    /// the socket has taken what hyper still holds of it, unless it is to be closed.
    pub fn finish_response(&self) {
        self.accepted_request.set(None);
        let state = self.state.get().response_taken(Instant::now());
        self.state.set(state);
    }

    // ---- closing ----

    /// Records that all output is written, and that the connection stays open only while its client
    /// may still send bytes, which would reset it.
    pub fn start_lingering(&self) {
        self.delivery.get_or_init(|| Delivery::start(&self.socket));
    }

    /// Whether the connection lingers and its client is still receiving the output.
    pub fn is_delivering(&self) -> bool {
        let Some(delivery) = self.delivery.get() else {
            return false;
        };
        delivery.update(&self.socket);
        delivery.is_pending()
    }

    /// Checks whether the connection may be closed at this moment: no response is owed, and the
    /// socket has no unread bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Invariant::ConnectionClose`] if it may not be closed.
    pub fn may_close(&self) -> Result<(), Invariant> {
        let owes_response = self.state.get().owes_response();
        let has_unread_bytes = !is_open_without_unread_bytes(&self.socket);
        send_invariants::may_close(owes_response, has_unread_bytes)
    }

    /// Asks the task that serves the connection to close it. The task may still take that back, see
    /// [`ClientConnection::resume_if_readable`].
    pub fn close(&self) {
        self.state.set(self.state.get().closing(Instant::now()));
        self.state_changed.notify_one();
    }

    /// Takes back the decision to close the connection if unread bytes have been received and its
    /// state was one that allows that. Returns whether it was taken back.
    pub fn resume_if_readable(&self) -> bool {
        let Some(resumed) = self.state.get().resumed() else {
            return false;
        };
        let must_resume = self.may_close().is_err();
        if must_resume {
            self.state.set(resumed);
        }
        must_resume
    }
}
