//! One HTTP/1.1 connection to a backend.

use super::backend::ConnectionGeneration;
use crate::http1::enlarged_buffer::EnlargedBuffer;
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_response_head, Expected, Head};
use crate::http1::head_filter::{HeadFilter, MessagePolicy};
use crate::http1::upload::RequestBodyStream;
use crate::memory_budget::MemoryBudget;
use crate::send_invariants::Invariant;
use crate::socket::is_open_without_unread_bytes;
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

/// How long to wait for a connection whose response was read to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum number of bytes that wait to be written on one connection, in addition to the bytes of
/// one read.
pub const MAX_WRITE_BUFFER_BYTES: usize = 32 << 10;

/// The future that does the I/O of a connection.
type Driver = http1::Connection<TokioIo<HeadFilter<ResponsePolicy>>, RequestBodyStream>;

/// Check that is run immediately before the first byte of a request is written. An error prevents
/// the write and ends the connection.
pub type WriteCheck = Box<dyn Fn() -> Result<(), Invariant>>;

/// Why a request received no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The [`WriteCheck`] failed. Nothing of the request was written.
    #[error("an invariant prevented the request before its first byte was written")]
    Prevented,
    /// The connection ended before anything of the request was written.
    #[error("the connection ended before the request was written: {0}")]
    NotWritten(hyper::Error),
    /// The connection failed later, so the request may have been executed.
    #[error("the connection failed after the request may have been written: {0}")]
    MayBeWritten(hyper::Error),
}

/// A connection to a backend, which is closed when this is dropped.
pub struct Connection {
    sender: http1::SendRequest<RequestBodyStream>,
    driver: AbortHandle,
    /// Weak reference, so that the socket of an idle connection is closed when the driver ends.
    socket: Weak<TcpStream>,
    flags: Rc<ConnectionFlags>,
    generation: ConnectionGeneration,
}

/// State that a connection shares with the filter on its socket.
struct ConnectionFlags {
    /// Check for the next request to be written; `None` once it was run.
    write_check: RefCell<Option<WriteCheck>>,
    /// Whether the check has failed.
    write_prevented: Cell<bool>,
    /// Whether bytes were received that belong to no response.
    has_surplus_bytes: Cell<bool>,
    /// Reservation of the memory by which the read buffer has grown.
    enlarged_buffer: EnlargedBuffer,
}

impl Connection {
    /// Opens an HTTP connection on a connected socket. It holds `permit` until its driver has
    /// ended, and reserves `memory` if its buffer is enlarged.
    ///
    /// # Errors
    ///
    /// Returns hyper's error if hyper cannot set up the connection.
    pub async fn open(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        memory: Rc<MemoryBudget>,
        generation: ConnectionGeneration,
    ) -> hyper::Result<Self> {
        let stream = Rc::new(stream);
        let socket = Rc::downgrade(&stream);
        let flags = Rc::new(ConnectionFlags {
            write_check: RefCell::default(),
            write_prevented: Cell::default(),
            has_surplus_bytes: Cell::default(),
            enlarged_buffer: EnlargedBuffer::new(memory),
        });
        let policy = ResponsePolicy {
            flags: flags.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_WRITE_BUFFER_BYTES)
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

    /// Returns the generation that the backend had when connecting began.
    pub fn generation(&self) -> ConnectionGeneration {
        self.generation
    }

    /// Whether another request may be sent on the connection: as far as the kernel knows, the
    /// backend has neither closed it nor sent any unsolicited bytes.
    pub fn is_reusable(&self) -> bool {
        !self.flags.has_surplus_bytes.get()
            && self.sender.is_ready()
            && self
                .socket
                .upgrade()
                .is_some_and(|socket| is_open_without_unread_bytes(&socket))
    }

    /// Waits for the connection to become ready for the next request. Returns `false` if it has
    /// failed or is not ready within [`READY_TIMEOUT`].
    pub async fn ready(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sets the check that is run before the next request is written.
    pub fn set_write_check(&self, check: WriteCheck) {
        *self.flags.write_check.borrow_mut() = Some(check);
    }

    /// Sends a request once, without retries, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether anything of the request may have been written.
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
        // Hyper returns the request with the error if it has written nothing of it.
        let is_unwritten = error.message().is_some();
        let error = error.into_error();
        Err(if is_unwritten {
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

/// Runs a connection until it ends, then returns its permit.
async fn drive(connection: Driver, permit: OwnedSemaphorePermit) {
    // The sender receives the failure of a connection as the error of the request in progress.
    let _ = connection.await;
    drop(permit);
}

/// Policy of the filter on a connection to a backend: parses the heads of responses and runs the
/// [`WriteCheck`]. An invalid head ends the connection, and with it the attempt.
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

    fn may_enlarge_buffer(&self) -> bool {
        self.flags.enlarged_buffer.try_reserve()
    }

    fn may_write(&self) -> io::Result<()> {
        let Some(check) = self.flags.write_check.take() else {
            return Ok(());
        };
        check().map_err(|invariant| {
            self.flags.write_prevented.set(true);
            io::Error::other(format!("write prevented by invariant {invariant:?}"))
        })
    }
}
