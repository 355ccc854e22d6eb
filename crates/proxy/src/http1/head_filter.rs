//! Stands between a socket and hyper: parses the head of each message itself, and lets exactly that
//! one message through.
//!
//! Hyper drops a `Content-Length` beside a `Transfer-Encoding`, reads a response without a length
//! to the end of the connection, and buffers bytes that follow a message before anyone can ask
//! about them. All of that is decided here, on the raw bytes: what follows a message reaches hyper
//! only once it is expected, and an invalid head never does.

use crate::http1::error::MessageError;
use crate::http1::framing::{may_begin_request, Expected, Head};
use crate::http1::limits::MAX_HEAD_BYTES;
use crate::socket::is_retryable;
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Buffer space reserved for one read of a head or a small body.
const MIN_READ_BYTES: usize = 4 << 10;

/// Buffer space reserved for one read of a large body.
const MAX_READ_BYTES: usize = 16 << 10;

/// Decides about the messages on one side of the proxy, and observes them.
pub trait MessagePolicy {
    /// What is expected first, and after each message.
    const BETWEEN_MESSAGES: Expected;

    /// Parses a head; `None` if more of it is still to come.
    ///
    /// # Errors
    ///
    /// Returns why the message has to be rejected.
    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError>;

    /// Returns what hyper reads in place of a rejected message.
    ///
    /// # Errors
    ///
    /// An error ends the connection.
    fn reject(&self, error: MessageError) -> io::Result<&'static [u8]>;

    /// The first bytes of a head were received.
    ///
    /// # Errors
    ///
    /// Returns why the message has to be rejected, even though its head is not complete.
    fn head_started(&self) -> Result<(), MessageError> {
        Ok(())
    }

    /// Bytes are about to be written.
    ///
    /// Whether a message begins with them only the policy can know: the filter doesn't see the end
    /// of a chunked response, after which the next request is written.
    ///
    /// # Errors
    ///
    /// An error ends the connection before anything is written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }

    /// More than the message was received together with it. Hyper notices only when it reads on,
    /// which may be too late.
    fn bytes_follow_message(&self) {}

    /// A head was accepted and goes to hyper. If its message is complete already, its last byte was
    /// read at `complete_at`.
    fn head_accepted(&self, complete_at: Option<Instant>) {
        let _ = complete_at;
    }

    /// Whether the last accepted message has no complete response yet. Nothing more goes to hyper
    /// until then, since hyper would not see the end of the connection behind it.
    fn awaits_response(&self) -> bool {
        false
    }
}

/// The stream that hyper reads and writes in place of the socket.
pub struct HeadFilter<P> {
    socket: Rc<TcpStream>,
    policy: P,
    buffer: BytesMut,
    /// How many bytes of the buffer may go to hyper.
    readable: usize,
    expected: Expected,
    /// When bytes were last read from the socket.
    read_at: Instant,
    /// Bytes of interim heads since something was written.
    interim_bytes: usize,
}

/// What one step of reading led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStep {
    /// Another step may follow.
    Progress,
    /// The peer has closed its side of the connection.
    EndOfStream,
}

impl<P: MessagePolicy> HeadFilter<P> {
    /// Wraps a socket from which nothing was read yet.
    pub fn new(socket: Rc<TcpStream>, policy: P) -> Self {
        HeadFilter {
            socket,
            policy,
            buffer: BytesMut::new(),
            readable: 0,
            expected: P::BETWEEN_MESSAGES,
            read_at: Instant::now(),
            interim_bytes: 0,
        }
    }

    /// Advances the reading by one step.
    fn poll_step(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        match self.expected {
            Expected::Head if self.policy.awaits_response() => self.poll_read_ahead(cx),
            Expected::Head => self.poll_head(cx),
            Expected::Body(_) | Expected::Chunked if self.buffer.is_empty() => self.poll_fill(cx),
            Expected::Body(remaining) => {
                self.readable = self
                    .buffer
                    .len()
                    .min(usize::try_from(remaining).unwrap_or(usize::MAX));
                self.expected = Expected::Body(remaining - self.readable as u64);
                Poll::Ready(Ok(ReadStep::Progress))
            }
            Expected::Chunked => {
                self.readable = self.buffer.len();
                Poll::Ready(Ok(ReadStep::Progress))
            }
            Expected::Nothing => self.poll_unexpected(cx),
            Expected::Closed => Poll::Pending,
        }
    }

    /// Reads more into the buffer.
    fn poll_fill(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            self.buffer.reserve(match self.expected {
                Expected::Chunked => MAX_READ_BYTES,
                Expected::Body(remaining) => {
                    remaining.clamp(MIN_READ_BYTES as u64, MAX_READ_BYTES as u64) as usize
                }
                Expected::Head | Expected::Nothing | Expected::Closed => MIN_READ_BYTES,
            });
            match self.socket.try_read_buf(&mut self.buffer) {
                Err(error) if is_retryable(&error) => {}
                read => {
                    self.read_at = Instant::now();
                    return Poll::Ready(read.map(|length| match length {
                        0 => ReadStep::EndOfStream,
                        _ => ReadStep::Progress,
                    }));
                }
            }
        }
    }

    /// Reads while the last request is in flight, only to notice the end of the connection.
    ///
    /// Up to a head's length is buffered, in which pipelined requests wait. Anything else beyond
    /// that is discarded, or the end of the connection would never be reached.
    fn poll_read_ahead(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        if self.buffer.len() >= MAX_HEAD_BYTES {
            if may_begin_request(&self.buffer) {
                return Poll::Pending;
            }
            self.buffer.truncate(MAX_HEAD_BYTES);
        }
        self.poll_fill(cx)
    }

    /// Reads until a head is complete, or has to be rejected.
    fn poll_head(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        match self.accept_head() {
            Ok(true) => Poll::Ready(Ok(ReadStep::Progress)),
            Ok(false) => self.poll_fill(cx),
            Err(error) => {
                self.buffer.clear();
                let replacement = self.policy.reject(error)?;
                self.buffer.extend_from_slice(replacement);
                self.readable = self.buffer.len();
                self.expected = Expected::Closed;
                Poll::Ready(Ok(ReadStep::Progress))
            }
        }
    }

    /// Looks for a head in the buffer, and returns whether it is complete.
    fn accept_head(&mut self) -> Result<bool, MessageError> {
        if self.buffer.is_empty() {
            return Ok(false);
        }
        self.policy.head_started()?;
        let Some(head) = self.policy.parse_head(&self.buffer)? else {
            return if self.buffer.len() < MAX_HEAD_BYTES {
                Ok(false)
            } else {
                Err(MessageError::HeadTooLong)
            };
        };
        if self.interim_bytes + head.length > MAX_HEAD_BYTES {
            return Err(MessageError::HeadTooLong);
        }
        self.readable = head.length;
        self.expected = head.next;
        self.interim_bytes = match head.next {
            Expected::Head => self.interim_bytes + head.length,
            _ => 0,
        };
        let is_complete = match head.next {
            Expected::Body(body) => (self.buffer.len() - head.length) as u64 >= body,
            _ => false,
        };
        self.policy
            .head_accepted(is_complete.then_some(self.read_at));
        Ok(true)
    }

    /// Waits for the end of the connection; any byte before that is an error.
    fn poll_unexpected(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        if self.buffer.is_empty() && ready!(self.poll_fill(cx))? == ReadStep::EndOfStream {
            return Poll::Ready(Ok(ReadStep::EndOfStream));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "bytes received without a request",
        )))
    }

    /// Expects the next message, if the last byte of the current one was let through.
    fn finish_message(&mut self) {
        if self.expected != Expected::Body(0) {
            return;
        }
        if self.buffer.len() > self.readable {
            self.policy.bytes_follow_message();
        }
        self.expected = P::BETWEEN_MESSAGES;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // Connections stay idle for long between messages.
        }
    }

    /// Hands to hyper what it may read.
    fn copy_readable(&mut self, buf: &mut ReadBuf) {
        let length = self.readable.min(buf.remaining());
        buf.put_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.readable -= length;
    }
}

impl<P: MessagePolicy + Unpin> AsyncRead for HeadFilter<P> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filter = self.get_mut();
        loop {
            filter.finish_message();
            if filter.readable > 0 {
                filter.copy_readable(buf);
                return Poll::Ready(Ok(()));
            }
            if ready!(filter.poll_step(cx))? == ReadStep::EndOfStream {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<P: MessagePolicy + Unpin> HeadFilter<P> {
    /// Writes for hyper. What is received after that may be the response.
    fn poll_write_with(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let filter = self.get_mut();
        loop {
            ready!(filter.socket.poll_write_ready(cx))?;
            filter.policy.may_write()?;
            match write(&filter.socket) {
                Err(error) if is_retryable(&error) => {}
                written => {
                    if filter.expected == Expected::Nothing && filter.buffer.is_empty() {
                        filter.expected = Expected::Head;
                        filter.interim_bytes = 0;
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<P: MessagePolicy + Unpin> AsyncWrite for HeadFilter<P> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // Nothing is buffered.
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
