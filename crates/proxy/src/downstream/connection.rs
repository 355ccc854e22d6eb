//! One client connection: its state, its timeouts, and the policy for the messages on it.

use crate::downstream::close_reason::CloseReason;
use crate::downstream::connection_state::ConnectionState;
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_request_head, Expected, Head};
use crate::http1::head_filter::MessagePolicy;
use crate::http1::limits::STALL_TIMEOUT;
use crate::metrics::Metrics;
use crate::send_invariants::{self, Invariant};
use crate::shutdown::ShutdownPhase;
use crate::socket::{is_closed_by_peer, is_open_and_drained};
use socket2::SockRef;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection may wait for its first request, and how long a head may take; for the
/// first head both count from the accept. The protocol requires a response or a close within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);

/// How long a connection may wait for its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may wait for its next request at the least, when connections are scarce or
/// are being drained.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// How long a request sent right after the handshake may take to arrive, once the node no longer
/// accepts connections.
const FIRST_BYTES_GRACE: Duration = Duration::from_millis(100);

/// Size of the socket's send buffer for a streamed response, which a slow client fills.
const STREAMING_SEND_BUFFER_BYTES: usize = 256 << 10;

/// The method of the request that hyper reads in place of a rejected one, so that the rejection
/// keeps its position among pipelined responses. No client can send it: the head filter rejects
/// every method but GET and POST.
pub const REJECTED_METHOD: &str = "REJECTED";
const REJECTED_HEAD: &[u8] = b"REJECTED / HTTP/1.1\r\n\r\n";

/// A client connection, shared by the task that serves it, its response bodies and the table of
/// connections.
pub struct ClientConnection {
    socket: Rc<TcpStream>,
    state: Cell<ConnectionState>,
    /// Why the head that was read last is rejected, if it is.
    rejection: Cell<Option<MessageError>>,
    /// The request that hyper has, until its response is dropped. Pipelined requests wait for it.
    accepted_request: Cell<Option<AcceptedRequest>>,
    /// The earliest instant at which the connection may have entered the accept queue, if bytes
    /// had been received by the time of the accept. Consumed by the first request.
    queued_since: Cell<Option<Instant>>,
    /// Whether the last request was rejected: more of it may still arrive.
    last_request_rejected: Cell<bool>,
    /// Whether a response was complete before all of its request was read.
    upload_unfinished: Cell<bool>,
    state_changed: Notify,
}

/// A request whose head went to hyper.
#[derive(Clone, Copy, Debug)]
struct AcceptedRequest {
    /// When its last byte was received, if it was received together with its head.
    complete_at: Option<Instant>,
}

impl ClientConnection {
    /// A connection that was just accepted, and may have waited for that since `queued_since`.
    pub fn new(socket: TcpStream, queued_since: Instant) -> Self {
        let has_unread_bytes = !is_open_and_drained(&socket);
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
            state_changed: Notify::new(),
        }
    }

    /// The socket.
    pub fn socket(&self) -> &Rc<TcpStream> {
        &self.socket
    }

    /// The state at this moment.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Waits until the state was changed from outside the task that serves the connection.
    pub async fn state_changed(&self) {
        self.state_changed.notified().await;
    }

    // ---- requests and responses ----

    /// Records that a request goes from hyper to its handler. Returns when its head began.
    pub fn start_request(&self) -> Instant {
        let head_since = self.state.get().since();
        let since = Instant::now();
        self.state.set(ConnectionState::RequestInFlight { since });
        head_since
    }

    /// When the last byte of the request in flight was received, if it was received together with
    /// its head.
    pub fn request_complete_at(&self) -> Option<Instant> {
        self.accepted_request.get()?.complete_at
    }

    /// Why the head that was read last is rejected, if it is.
    pub fn rejection(&self) -> Option<MessageError> {
        self.rejection.get()
    }

    /// Records whether the last request was rejected.
    pub fn set_last_request_rejected(&self, rejected: bool) {
        self.last_request_rejected.set(rejected);
    }

    /// Whether the last request was rejected: more of it may still arrive.
    pub fn last_request_rejected(&self) -> bool {
        self.last_request_rejected.get()
    }

    /// Records that the response is complete before all of the request was read.
    pub fn set_upload_unfinished(&self) {
        self.upload_unfinished.set(true);
    }

    /// Whether a response was complete before all of its request was read.
    pub fn upload_unfinished(&self) -> bool {
        self.upload_unfinished.get()
    }

    /// Records that the response in flight is streamed, and bounds the socket's send buffer.
    pub fn start_streaming(&self) {
        let last_progress = Instant::now();
        self.state
            .set(ConnectionState::StreamingResponse { last_progress });
        let socket = SockRef::from(&*self.socket);
        let _ = socket.set_send_buffer_size(STREAMING_SEND_BUFFER_BYTES);
    }

    /// Records that a part of the streamed response, or its end, is ready for the client.
    pub fn record_progress(&self) {
        let state = self.state.get().restarted_at(Instant::now());
        self.state.set(state);
    }

    /// Records that hyper has read all of the response, or dropped it.
    pub fn finish_response(&self) {
        self.accepted_request.set(None);
        if self.state.get().is_request_in_flight() {
            let since = Instant::now();
            self.state.set(ConnectionState::Idle { since });
        }
    }

    // ---- timeouts and closing ----

    /// Checks whether it may be closed at this moment for want of a request.
    ///
    /// # Errors
    ///
    /// Returns the invariant that forbids it.
    pub fn may_close(&self) -> Result<(), Invariant> {
        let is_request_in_flight = self.state.get().is_request_in_flight();
        let has_unread_bytes = !is_open_and_drained(&self.socket);
        send_invariants::may_close(is_request_in_flight, has_unread_bytes)
    }

    /// Asks the task that serves the connection to close it.
    pub fn close(&self) {
        self.state.set(self.state.get().closing(Instant::now()));
        self.state_changed.notify_one();
    }

    /// Takes back the decision to close it if bytes have been received since, and returns whether
    /// that is so.
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

    /// Ends whatever has exceeded its timeout.
    pub fn close_expired(&self, phase: ShutdownPhase, metrics: &Metrics) {
        let state = self.state.get();
        let since = state.since();
        let age = since.elapsed();
        match state {
            // A request sent right after the handshake may still arrive. One that has begun is
            // answered, with `Connection: close`.
            ConnectionState::AwaitingFirstRequest { .. }
                if phase == ShutdownPhase::Closing
                    && age >= FIRST_BYTES_GRACE
                    && self.may_close().is_ok() =>
            {
                self.close();
            }
            // Unread bytes are not checked here: if there are any, the task that serves the
            // connection resumes it.
            ConnectionState::AwaitingFirstRequest { .. } if age >= HEAD_TIMEOUT => {
                metrics.count_rejected_message(CloseReason::NoRequest);
                self.close();
            }
            // A client that has closed waits for no response. Hyper notices that only if no unread
            // bytes precede it.
            ConnectionState::RequestInFlight { .. } | ConnectionState::StreamingResponse { .. }
                if is_closed_by_peer(&self.socket) =>
            {
                self.state
                    .set(ConnectionState::ClientDisconnected { since });
                self.state_changed.notify_one();
            }
            ConnectionState::StreamingResponse { .. } if age >= STALL_TIMEOUT => self.close(),
            ConnectionState::Idle { .. }
                if age >= idle_timeout(phase) && self.may_close().is_ok() =>
            {
                self.close();
            }
            ConnectionState::ReadingHead { .. } if age >= HEAD_TIMEOUT => {
                self.state.set(ConnectionState::HeadTimedOut { since });
                self.state_changed.notify_one();
            }
            _ => {}
        }
    }
}

/// How long a connection may wait for its next request.
fn idle_timeout(phase: ShutdownPhase) -> Duration {
    match phase {
        ShutdownPhase::Serving => IDLE_TIMEOUT,
        // While draining, every response has `Connection: close`: a connection that is idle has
        // been so since before.
        ShutdownPhase::Draining | ShutdownPhase::ShuttingDown | ShutdownPhase::HandingOver => {
            MIN_IDLE_TIME
        }
        ShutdownPhase::Closing => Duration::ZERO,
    }
}

impl MessagePolicy for Rc<ClientConnection> {
    const BETWEEN_MESSAGES: Expected = Expected::Head;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        parse_request_head(bytes)
    }

    fn reject(&self, error: MessageError) -> std::io::Result<&'static [u8]> {
        self.rejection.set(Some(error));
        Ok(REJECTED_HEAD)
    }

    fn head_started(&self) -> Result<(), MessageError> {
        match self.state.get() {
            // The first head counts from the accept.
            ConnectionState::AwaitingFirstRequest { since } => {
                self.state.set(ConnectionState::ReadingHead { since });
            }
            ConnectionState::Idle { .. } => {
                let since = Instant::now();
                self.state.set(ConnectionState::ReadingHead { since });
            }
            ConnectionState::HeadTimedOut { .. } => return Err(MessageError::HeadTimeout),
            ConnectionState::ReadingHead { .. }
            | ConnectionState::RequestInFlight { .. }
            | ConnectionState::StreamingResponse { .. }
            | ConnectionState::Closing { .. }
            | ConnectionState::ClientDisconnected { .. } => {}
        }
        Ok(())
    }

    fn head_accepted(&self, complete_at: Option<Instant>) {
        // What had been received before the accept may have been received as early as the
        // connection may have entered the queue.
        let queued_since = self.queued_since.take();
        let complete_at = complete_at.map(|at| queued_since.unwrap_or(at));
        self.accepted_request
            .set(Some(AcceptedRequest { complete_at }));
    }

    fn awaits_response(&self) -> bool {
        self.accepted_request.get().is_some()
    }
}
