//! One HTTP/1.1 connection to a backend.

use super::backend::ConnectionGeneration;
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_response_head, Expected, Head};
use crate::http1::head_filter::{HeadFilter, MessagePolicy};
use crate::http1::upload::RequestBodyStream;
use crate::send_invariants::Invariant;
use crate::socket::is_open_and_drained;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time in which a connection whose response was read becomes ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Bytes that may wait to be written on one connection, beside those of one read.
pub const MAX_WRITE_BUFFER: usize = 32 << 10;

type Driver = http1::Connection<TokioIo<HeadFilter<ResponsePolicy>>, RequestBodyStream>;

/// Asked immediately before the first byte of a request is written.
pub type WriteCheck = Box<dyn Fn() -> Result<(), Invariant>>;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The check before the first byte failed. Nothing was written.
    #[error("the check before the first byte failed")]
    Prevented,
    /// The connection ended before anything was written.
    #[error("the connection ended before the request was written: {0}")]
    NotWritten(hyper::Error),
    /// The connection failed later. The request may have been executed.
    #[error("the connection failed after the request may have been written: {0}")]
    MayBeWritten(hyper::Error),
}

/// A connection to a backend; dropping it closes it.
pub struct Connection {
    sender: http1::SendRequest<RequestBodyStream>,
    driver: AbortHandle,
    /// Weak, so that the driver's end closes the socket of an idle connection.
    socket: Weak<TcpStream>,
    flags: Rc<ConnectionFlags>,
    generation: ConnectionGeneration,
}

/// What a connection shares with the filter on its socket.
#[derive(Default)]
struct ConnectionFlags {
    /// For the request to be written next.
    write_check: RefCell<Option<WriteCheck>>,
    write_prevented: Cell<bool>,
    /// Bytes have come that belong to no response.
    has_surplus_bytes: Cell<bool>,
}

impl Connection {
    /// Makes an HTTP connection of a socket. It holds `permit` until its driver has ended.
    ///
    /// # Errors
    ///
    /// Returns hyper's error if the handshake fails.
    pub async fn open(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        generation: ConnectionGeneration,
    ) -> hyper::Result<Self> {
        let stream = Rc::new(stream);
        let socket = Rc::downgrade(&stream);
        let flags: Rc<ConnectionFlags> = Rc::default();
        let policy = ResponsePolicy {
            flags: flags.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_WRITE_BUFFER)
            .handshake(TokioIo::new(HeadFilter::new(stream, policy)))
            .await?;
        let driver = tokio::task::spawn_local(drive(connection, permit)).abort_handle();
        Ok(Connection {
            sender,
            driver,
            socket,
            flags,
            generation,
        })
    }

    /// The backend's generation when this connection was made.
    pub fn generation(&self) -> ConnectionGeneration {
        self.generation
    }

    /// Whether another request may be sent on it: the backend has neither closed it nor sent
    /// anything unasked, as far as the system knows.
    pub fn is_reusable(&self) -> bool {
        !self.flags.has_surplus_bytes.get()
            && self.sender.is_ready()
            && self
                .socket
                .upgrade()
                .is_some_and(|socket| is_open_and_drained(&socket))
    }

    /// Waits for the connection to become ready for the next request. Returns `false` if it does not.
    pub async fn ready(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sets the check for the next request.
    pub fn set_write_check(&self, check: WriteCheck) {
        *self.flags.write_check.borrow_mut() = Some(check);
    }

    /// Sends a request once and waits for the response's head.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that says whether anything may have been written.
    pub async fn send(
        &mut self,
        request: Request<RequestBodyStream>,
    ) -> Result<Response<Incoming>, SendError> {
        let error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if self.flags.write_prevented.get() {
            return Err(SendError::Prevented);
        }
        let is_handed_back = error.message().is_some();
        let error = error.into_error();
        Err(if is_handed_back {
            SendError::NotWritten(error)
        } else {
            SendError::MayBeWritten(error)
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn drive(connection: Driver, permit: OwnedSemaphorePermit) {
    // Its failure reaches the sender as the error of the request under way.
    let _ = connection.await;
    drop(permit);
}

/// Reads the heads of responses. An invalid one ends the connection, and its attempt with it.
struct ResponsePolicy {
    flags: Rc<ConnectionFlags>,
}

impl MessagePolicy for ResponsePolicy {
    const BETWEEN_MESSAGES: Expected = Expected::Nothing;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        parse_response_head(bytes)
    }

    fn reject(&self, error: MessageError) -> io::Result<&'static [u8]> {
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }

    fn bytes_follow_message(&self) {
        self.flags.has_surplus_bytes.set(true);
    }

    fn may_write(&self) -> io::Result<()> {
        let Some(check) = self.flags.write_check.take() else {
            return Ok(());
        };
        check().map_err(|invariant| {
            self.flags.write_prevented.set(true);
            io::Error::other(format!("prevented by {invariant:?}"))
        })
    }
}
